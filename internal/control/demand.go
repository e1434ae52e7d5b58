package control

import (
	"sync"

	"sycamoredeal/internal/wire"
)

// demandSum adds up demand until the planner takes it.
type demandSum struct {
	mu  sync.Mutex
	sum map[string]wire.ModelDemand
}

func plus(a, b wire.ModelDemand) wire.ModelDemand {
	return wire.ModelDemand{Name: b.Name, Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, Refused: a.Refused + b.Refused}
}

func (d *demandSum) add(list []wire.ModelDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sum == nil {
		d.sum = make(map[string]wire.ModelDemand)
	}
	for _, m := range list {
		d.sum[m.Name] = plus(d.sum[m.Name], m)
	}
}

// take returns the demand since the previous call.
func (d *demandSum) take() map[string]wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.sum
	d.sum = nil
	return sum
}
