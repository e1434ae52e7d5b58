package directory

import (
	"reflect"
	"testing"

	"sycamoredeal/internal/wire"
)

// TestMerge guards against a cell that removes another cell's part, keeps a model it no longer serves, or writes again
// without a change.
func TestMerge(t *testing.T) {
	a, b := []wire.Member{{Host: "a1"}}, []wire.Member{{Host: "b1"}}
	d, _ := Merge(Directory{}, "b", []string{"m1", "m2"}, b)
	d, changed := Merge(d, "a", []string{"m1"}, a)
	want := Directory{Models: map[string][]string{"m1": {"a", "b"}, "m2": {"b"}}, Cells: map[string][]wire.Member{"a": a, "b": b}}
	if !changed || !reflect.DeepEqual(d, want) {
		t.Fatalf("%v, changed %v; want %v", d, changed, want)
	}
	if _, changed := Merge(d, "a", []string{"m1"}, a); changed {
		t.Error("an equal part counts as a change")
	}
	if d, changed = Merge(d, "b", []string{"m1"}, b); !changed || len(d.Models) != 1 {
		t.Errorf("%v after m2 was withdrawn, changed %v", d.Models, changed)
	}
}
