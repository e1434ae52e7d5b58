package placement

import (
	"testing"

	"sycamoredeal/internal/config"
)

// TestShare guards against cells that together load faster than the weight store allows, and against a cell that can't
// load at all because its share is rounded down to nothing.
func TestShare(t *testing.T) {
	for _, c := range []struct {
		declared config.WeightStore
		cells    int
		want     config.WeightStore
	}{
		{config.WeightStore{}, 0, config.WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 5, AdaptersInFlight: 40}},
		{config.WeightStore{LoadsPerSecond: 1.8, ConcurrentLoads: 6, AdaptersInFlight: 50}, 2, config.WeightStore{LoadsPerSecond: 0.9, ConcurrentLoads: 3, AdaptersInFlight: 25}},
		{config.WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 5, AdaptersInFlight: 40}, 20, config.WeightStore{LoadsPerSecond: 0.1, ConcurrentLoads: 1, AdaptersInFlight: 2}},
	} {
		if got := Share(c.declared, c.cells); got != c.want {
			t.Errorf("%+v over %d cells: %+v, want %+v", c.declared, c.cells, got, c.want)
		}
	}
}
