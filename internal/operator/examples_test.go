package operator

import (
	"path/filepath"
	"testing"

	"sycamoredeal/internal/config"
)

// TestExamples guards against examples with findings or with other sizes than those of today's fleets.
func TestExamples(t *testing.T) {
	for name, want := range map[string][5]int{"consorcio": {17, 55, 9, 3, 4}, "pastos": {18, 40, 9, 4, 4}} {
		files, err := ReadFolder(filepath.Join("..", "..", "examples", name))
		if err != nil {
			t.Fatal(err)
		}
		d, findings := config.Check(files)
		if len(findings) > 0 || len(d.Services) != 1 || len(d.Ranks) != 3 {
			t.Fatalf("%s: %v", name, findings)
		}
		got := [5]int{len(d.Models), len(d.Adapters), len(d.Endpoints), len(d.Services[0].Endpoints), len(d.Callers)}
		if got != want {
			t.Errorf("%s: models, adapters, endpoints, service endpoints, callers %v, want %v", name, got, want)
		}
		var models, memory config.Bytes
		for _, m := range d.Models {
			models += m.Memory
		}
		for _, e := range d.Endpoints {
			memory += e.Memory
		}
		if copies := float64(memory) / float64(models); copies < 2 || copies > 3 {
			t.Errorf("%s: memory for %.2f copies of each model, want 2 to 3", name, copies)
		}
	}
}
