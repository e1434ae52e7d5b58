package placement

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/config"
)

// TestScatteredMemory guards against a declared model that never finds room although the endpoints together have enough:
// its memory is free in parts, or taken by further copies that other models declare.
func TestScatteredMemory(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		small     []config.Bytes
		replicas  int
		large     config.Bytes
	}{
		{"spare copies in the way", 3, []config.Bytes{6, 6, 6, 6, 6, 6}, 1, 20},
		{"no move", 3, []config.Bytes{11, 11, 11}, 1, 9}, // fits at once
		{"free parts", 4, []config.Bytes{9, 9, 9, 9, 4, 4, 4, 4}, 1, 17},
		{"declared copies", 3, []config.Bytes{10, 10, 10}, 2, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := declarations(c.endpoints, 0, 0, 2)
			for i, m := range c.small {
				d.Models = append(d.Models, config.Model{Name: fmt.Sprint("small", i), Memory: m, MinReplicas: c.replicas})
			}
			f := newFleet(d)
			f.run(2*time.Minute, nil)
			d.Models = append(d.Models, config.Model{Name: "large", Memory: c.large, MinReplicas: 1})
			f.snap = config.NewSnapshot(2, d)
			for end := f.now.Add(2 * time.Minute); f.now.Before(end); {
				f.round(nil)
				for _, m := range f.missing() {
					if m != "large" {
						t.Fatalf("%s became unreachable", m)
					}
				}
				if e := f.overcommitted(); e != "" {
					t.Fatalf("%s is overcommitted", e)
				}
			}
			if m := f.missing(); len(m) > 0 {
				for name, g := range f.engines {
					t.Log(name, g.residents)
				}
				t.Fatalf("unreachable: %v", m)
			}
			moved := len(f.sent)
			f.run(10*time.Minute, nil)
			if n := len(f.sent) - moved; n > 2 {
				t.Errorf("%d loads in 10 minutes after the last model was placed", n)
			}
		})
	}
}
