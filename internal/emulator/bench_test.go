package emulator

import (
	"testing"

	"sycamoredeal/internal/copies"
)

// BenchmarkLargeScenario measures a day of a large fleet: experiments over hundreds of seeds depend on it.
func BenchmarkLargeScenario(b *testing.B) {
	for _, s := range Scenarios() {
		if s.Name == "large-shifts" {
			for b.Loop() {
				Simulate(s, 1, copies.DefaultTuning())
			}
		}
	}
}
