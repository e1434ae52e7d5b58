package slopes

import (
	"math"
	"testing"

	"sycamoredeal/internal/config"
)

// TestFit guards against a fit over points of different roles or metrics, and against a line through a single size.
func TestFit(t *testing.T) {
	lines := fit([]Point{
		{"hosts", 8, "control", "m", 19}, {"hosts", 3, "control", "m", 9}, {"hosts", 20, "control", "m", 43},
		{"hosts", 3, "holder", "m", 1000}, {"hosts", 3, "control", "other", 1000},
	})
	if len(lines) != 3 {
		t.Fatalf("%d lines, want one for each role and metric", len(lines))
	}
	if l := lines[0]; !l.fitted || math.Abs(l.slope-2) > 1e-9 || math.Abs(l.intercept-3) > 1e-9 || l.r2 < 0.999 {
		t.Errorf("line of control: %+v, want 3 + 2x", l)
	}
	if lines[1].fitted || lines[2].fitted {
		t.Error("a line through one size")
	}
}

// TestDeclarations guards against fleets whose configuration is refused, which would only show in a long run.
func TestDeclarations(t *testing.T) {
	s, err := config.Build(1, configFiles())
	if err != nil {
		t.Fatal(err)
	}
	running := 0
	for i := range s.Endpoints {
		if !absent(&s.Endpoints[i]) {
			running++
		}
	}
	if len(s.Models) != targetModels || len(s.Adapters) != targetAdapters || len(s.Endpoints) != targetEndpoints || running != 9 {
		t.Errorf("%d models, %d adapters, %d endpoints of which %d run", len(s.Models), len(s.Adapters), len(s.Endpoints), running)
	}
}

// TestCellSettles guards against a planner benchmark of a cell that still loads models.
func TestCellSettles(t *testing.T) {
	c := newCell(size{endpoints: 9, models: 20})
	for range 2000 {
		if c.round(); c.finish() == 0 {
			return
		}
	}
	t.Error("orders after 2000 rounds")
}
