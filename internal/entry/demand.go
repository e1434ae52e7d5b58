package entry

import (
	"sync"

	"sycamoredeal/internal/wire"
)

// Demand counts the work that arrives per model or adapter. The zero value is ready for use; methods may be called
// concurrently by the request path.
type Demand struct {
	mu  sync.Mutex
	sum map[string]*wire.ModelDemand
}

// Arrived counts a request with its prompt tokens.
func (d *Demand) Arrived(name string, promptTokens uint64) {
	d.add(wire.ModelDemand{Name: name, Requests: 1, Tokens: promptTokens})
}

// Generated counts tokens of an answer.
func (d *Demand) Generated(name string, tokens uint64) {
	d.add(wire.ModelDemand{Name: name, Tokens: tokens})
}

// Refused counts a request that was refused for lack of capacity.
func (d *Demand) Refused(name string) { d.add(wire.ModelDemand{Name: name, Refused: 1}) }

func (d *Demand) add(m wire.ModelDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sum == nil {
		d.sum = make(map[string]*wire.ModelDemand)
	}
	s := d.sum[m.Name]
	if s == nil {
		s = &wire.ModelDemand{Name: m.Name}
		d.sum[m.Name] = s
	}
	s.Requests += m.Requests
	s.Tokens += m.Tokens
	s.Refused += m.Refused
}

// take returns the counts since the previous call.
func (d *Demand) take() []wire.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []wire.ModelDemand
	for _, s := range d.sum {
		out = append(out, *s)
	}
	d.sum = nil
	return out
}

// putBack adds counts that could not be reported.
func (d *Demand) putBack(list []wire.ModelDemand) {
	for _, m := range list {
		d.add(m)
	}
}
