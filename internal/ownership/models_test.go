package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestModels guards against models that no cell plans, that all cells plan at once, or that are unloaded before their
// home cells serve them.
func TestModels(t *testing.T) {
	var names, cells []string
	for i := range 2000 {
		names = append(names, fmt.Sprintf("model-%04d", i))
	}
	for i := range 20 {
		cells = append(cells, fmt.Sprintf("cell-%02d", i))
	}
	start := time.Unix(1000, 0)
	planners, perCell := make(map[string][]*Models), make(map[string]int)
	for _, c := range cells {
		m := &Models{Cell: c, Wait: time.Minute}
		m.Update(start, names, cells, nil)
		for _, n := range names {
			if m.Planned(start, n, false) {
				planners[n] = append(planners[n], m)
				perCell[c]++
			}
		}
	}
	for _, n := range names {
		if len(planners[n]) != HomeCells {
			t.Fatalf("%s is planned by %d cells", n, len(planners[n]))
		}
	}
	for c, n := range perCell {
		if n < 140 || n > 260 {
			t.Errorf("%s plans %d of 2000 models", c, n)
		}
	}
	name, homes := names[0], []string{planners[names[0]][0].Cell, planners[names[0]][1].Cell}
	other := &Models{Cell: cells[slices.IndexFunc(cells, func(c string) bool { return !slices.Contains(homes, c) })], Wait: time.Minute}
	see := func(at time.Time, serving ...string) {
		other.Update(at, names, cells, map[string][]string{name: serving})
	}
	see(start)
	see(start.Add(20 * time.Minute))
	if !other.Planned(start.Add(20*time.Minute), name, false) {
		t.Error("a model that no cell serves for long is not planned by another cell")
	}
	see(start.Add(21*time.Minute), homes[0], "cell-gone", other.Cell)
	if at := start.Add(21 * time.Minute); other.Planned(at, name, false) || other.Retired(at, name, false) {
		t.Error("retired while a home cell does not serve it, or planned while one does")
	}
	see(start.Add(22*time.Minute), homes...)
	if at := start.Add(22 * time.Minute); !other.Retired(at, name, false) || other.Retired(at, name, true) {
		t.Error("not retired while the home cells serve it, or retired in great demand")
	}
}
