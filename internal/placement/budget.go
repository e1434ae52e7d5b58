package placement

import (
	"time"

	"sycamoredeal/internal/config"
)

// Limits of the weight store that apply when the declarations give none.
const (
	defaultLoadsPerSecond  = 2
	defaultConcurrentLoads = 5
	defaultAdapters        = 40
)

// Budget limits the orders that read from the weight store.
type Budget struct {
	rate       float64 // model loads per second
	concurrent int     // model loads in flight
	adapters   int     // adapter loads in flight
	tokens     float64
	last       time.Time
}

// Share returns the limits of one of several cells, with defaults for those that are not declared. Each cell may have one
// load in flight, so the sum over the cells can exceed the declared number; the rate bounds the loads then.
func Share(w config.WeightStore, cells int) config.WeightStore {
	if w.LoadsPerSecond <= 0 {
		w.LoadsPerSecond = defaultLoadsPerSecond
	}
	if w.ConcurrentLoads <= 0 {
		w.ConcurrentLoads = defaultConcurrentLoads
	}
	if w.AdaptersInFlight <= 0 {
		w.AdaptersInFlight = defaultAdapters
	}
	cells = max(cells, 1)
	w.LoadsPerSecond /= float64(cells)
	w.ConcurrentLoads = max(w.ConcurrentLoads/cells, 1)
	w.AdaptersInFlight = max(w.AdaptersInFlight/cells, 1)
	return w
}

// Configure sets the limits from the declarations. A new budget starts with one token: the holder before may have used
// the others just now.
func (b *Budget) Configure(w config.WeightStore, now time.Time) {
	w = Share(w, 1)
	b.rate, b.concurrent, b.adapters = w.LoadsPerSecond, w.ConcurrentLoads, w.AdaptersInFlight
	if b.last.IsZero() {
		b.tokens, b.last = 1, now
	}
	b.tokens = min(1, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
}

// take returns whether one more load may start while the given numbers are in flight, and uses up its token.
func (b *Budget) take(adapter bool, models, adapters int) bool {
	if adapter {
		return adapters < b.adapters
	}
	if models >= b.concurrent || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
