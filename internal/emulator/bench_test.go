package emulator

import (
	"testing"

	"sycamoredeal/internal/copies"
)

// BenchmarkLargeScenario measures one simulation of a large fleet. Its duration limits experiments over hundreds of seeds.
func BenchmarkLargeScenario(b *testing.B) {
	for _, s := range Scenarios() {
		if s.Name == "large-shifts" {
			for b.Loop() {
				Simulate(s, 1, copies.DefaultTuning())
			}
		}
	}
}
