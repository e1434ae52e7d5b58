package placement

import (
	"math"
	"time"

	"sycamoredeal/internal/wire"
)

// Time constants of the smoothed demand. A rise is followed within seconds, so that copies are added fast; a fall within
// minutes, so that a pause between bursts doesn't take copies away.
const (
	riseTime = 5 * time.Second
	fallTime = 5 * time.Minute
)

// demand is the smoothed rate of work per model and adapter, in tokens per second.
type demand struct {
	rate map[string]float64
	last time.Time
}

// add accounts for the work that arrived since the previous call.
func (d *demand) add(now time.Time, work map[string]wire.ModelDemand) {
	if d.rate == nil {
		d.rate = make(map[string]float64)
	}
	elapsed := now.Sub(d.last)
	if d.last.IsZero() || elapsed <= 0 {
		elapsed = time.Second
	}
	d.last = now
	for name := range work {
		if _, ok := d.rate[name]; !ok {
			d.rate[name] = 0
		}
	}
	for name, old := range d.rate {
		// A request without a token count is charged as one token, so that refused work counts too.
		w := work[name]
		current := (float64(w.Tokens) + float64(w.Requests)) / elapsed.Seconds()
		constant := fallTime
		if current > old {
			constant = riseTime
		}
		d.rate[name] = old + (current-old)*(1-math.Exp(-elapsed.Seconds()/constant.Seconds()))
	}
}
