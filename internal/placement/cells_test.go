package placement

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/config"
)

// TestOtherCells guards against a last copy that is unloaded although its cell must keep it, a model that no cell serves
// and that gets no memory, and copies of models that other cells plan.
func TestOtherCells(t *testing.T) {
	d := config.Declarations{Endpoints: []config.Endpoint{{Name: "e1", Host: "h1", Zone: "z1", Memory: 20, Slots: 2}}}
	for i := range 4 {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprint("m", i), Memory: 10, MinReplicas: 1})
	}
	is := func(names ...string) func(string) bool {
		return func(m string) bool {
			for _, n := range names {
				if n == m {
					return true
				}
			}
			return false
		}
	}
	f := newFleet(d)
	f.cells = Input{Planned: is("m0", "m1")}
	f.run(time.Minute, nil)
	want := func(step string, held ...string) {
		t.Helper()
		for _, m := range d.Models {
			if got := len(f.holders(m.Name)) > 0; got != is(held...)(m.Name) {
				t.Errorf("%s: %s held %v", step, m.Name, got)
			}
		}
	}
	want("only planned models", "m0", "m1")
	f.cells = Input{Planned: is("m0", "m1", "m2"), Elsewhere: is("m0", "m1"), Expendable: is()}
	f.run(2*time.Minute, nil)
	want("no copy may go", "m0", "m1")
	f.cells.Expendable = is("m1")
	f.run(2*time.Minute, nil)
	want("a model that no cell serves", "m0", "m2")
	f.cells = Input{Planned: is("m2", "m3"), Elsewhere: is("m0"), Expendable: is(), Retired: is("m0")}
	f.run(2*time.Minute, nil)
	want("a model that its home cells serve", "m2", "m3")
}
