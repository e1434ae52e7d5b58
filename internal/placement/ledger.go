// Package placement decides which endpoint holds which models, and accounts for the memory that this takes.
//
// It has no goroutine, socket, clock or log: time comes in as an argument. Package planner does the I/O.
package placement

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/wire"
)

// LateBound is the longest time after its sending at which an order can still arrive at an engine that has restarted
// since. An engine that has not restarted recognises the id of a late order, however late it is, while it remembers it.
const LateBound = 30 * time.Second

// MaxIntents bounds the unresolved intents of one endpoint, so that a report of the latest ended orders can't miss one.
const MaxIntents = 32

// Errors of Ledger.Load and Ledger.Unload. Compare with errors.Is.
var (
	ErrNoMemory = errors.New("endpoint has too little free memory")
	ErrBusy     = errors.New("an order for the same name is unresolved or the endpoint has too many intents")
	ErrTooEarly = errors.New("copy is younger than the bound on late orders")
	ErrUnknown  = errors.New("endpoint has no accepted report or does not hold the name")
)

// Capacity is the memory of an endpoint in bytes.
type Capacity struct {
	Models   int64
	Adapters int64 // reserved slab
}

// Ledger accounts for the memory of the endpoints of one cell. It changes the placement that it was created with.
//
// Invariants, for each endpoint and separately for models and adapters:
//   - The charge, which is the residents and every unresolved load, never grows above the capacity.
//   - A name has at most one unresolved intent, so orders for one name can't overtake each other.
//   - A charge is dropped only by a report that shows the order ended and the model gone.
//   - A copy is unloaded, and a load that failed is dropped, only when more than LateBound has passed since its order
//     may have been sent. A restart drops no charge: former residents become loads of the new incarnation. So a late order that a
//     restarted engine no longer recognises finds its memory charged.
type Ledger struct {
	// Base returns the base model of an adapter, which the stored residents lack.
	Base func(adapter string) string
	// Bound is LateBound unless the settings give another one.
	Bound time.Duration

	p     *wire.Placement
	index map[string]int
	info  map[string]*endpointInfo
}

// endpointInfo is what the present holder knows of an endpoint beyond the stored placement.
type endpointInfo struct {
	capacity Capacity
	accepted bool                 // the holder has accepted a report
	since    map[string]time.Time // latest time at which the load of a name may have been sent
	failed   map[uint64]bool      // intents whose order ended without effect and that stay charged until LateBound
}

// NewLedger returns a ledger over a stored placement. Copies and intents that it inherits count as ordered now, because
// the holder before may have sent their orders up to this time.
func NewLedger(p *wire.Placement, now time.Time) *Ledger {
	l := &Ledger{Base: func(string) string { return "" }, Bound: LateBound, p: p, index: make(map[string]int), info: make(map[string]*endpointInfo)}
	for i := range p.Endpoints {
		ep := &p.Endpoints[i]
		l.index[ep.Endpoint] = i
		info := newInfo()
		l.info[ep.Endpoint] = info
		for _, r := range ep.Residents {
			info.since[r.Name] = now
		}
		for _, in := range ep.Intents {
			info.since[in.Name] = now
		}
	}
	return l
}

func newInfo() *endpointInfo {
	return &endpointInfo{since: make(map[string]time.Time), failed: make(map[uint64]bool)}
}

// Takeover stamps the epoch of a new holder on the placement and on all inherited intents. The intents keep their ids,
// so an engine recognises a copy of the order that the holder before sends late.
func (l *Ledger) Takeover(epoch uint64) {
	l.p.Epoch = epoch
	for i := range l.p.Endpoints {
		for j := range l.p.Endpoints[i].Intents {
			l.p.Endpoints[i].Intents[j].Epoch = epoch
		}
	}
}

// Adopt adds the account of an endpoint that another cell has given up, or replaces an older one. Its copies and intents
// count as ordered now, as in NewLedger.
func (l *Ledger) Adopt(e wire.EndpointPlacement, now time.Time) {
	info := newInfo()
	for _, r := range e.Residents {
		info.since[r.Name] = now
	}
	for j := range e.Intents {
		e.Intents[j].Epoch = l.p.Epoch
		info.since[e.Intents[j].Name] = now
	}
	l.info[e.Endpoint] = info
	if i, ok := l.index[e.Endpoint]; ok {
		l.p.Endpoints[i] = e
		return
	}
	l.index[e.Endpoint] = len(l.p.Endpoints)
	l.p.Endpoints = append(l.p.Endpoints, e)
}

// Drop removes the account of an endpoint that another cell has adopted.
func (l *Ledger) Drop(name string) {
	l.p.Endpoints = slices.DeleteFunc(l.p.Endpoints, func(e wire.EndpointPlacement) bool { return e.Endpoint == name })
	delete(l.info, name)
	clear(l.index)
	for i := range l.p.Endpoints {
		l.index[l.p.Endpoints[i].Endpoint] = i
	}
}

// Declare sets the capacity of an endpoint and adds it if it is new.
func (l *Ledger) Declare(name string, c Capacity) {
	if _, ok := l.index[name]; !ok {
		l.index[name] = len(l.p.Endpoints)
		l.p.Endpoints = append(l.p.Endpoints, wire.EndpointPlacement{Endpoint: name})
		l.info[name] = newInfo()
	}
	l.info[name].capacity = c
}

// Endpoint returns the account of an endpoint, or nil. The caller may change nothing but Leaving.
func (l *Ledger) Endpoint(name string) *wire.EndpointPlacement {
	i, ok := l.index[name]
	if !ok {
		return nil
	}
	return &l.p.Endpoints[i]
}

// Free returns the memory of an endpoint that is neither used nor charged, in bytes. It is negative if the capacity was
// declared smaller than what the endpoint holds.
func (l *Ledger) Free(name string) Capacity {
	ep := l.Endpoint(name)
	if ep == nil {
		return Capacity{}
	}
	free := l.info[name].capacity
	for _, r := range ep.Residents {
		free.take(r.Adapter, r.Bytes)
	}
	for _, in := range ep.Intents {
		if in.Action == wire.ActionLoad {
			free.take(in.Adapter, max(0, in.Bytes-held(ep, in.Name)))
		}
	}
	return free
}

func (c *Capacity) take(adapter bool, bytes int64) {
	if adapter {
		c.Adapters -= bytes
	} else {
		c.Models -= bytes
	}
}

// held returns the bytes of a resident. A load of a resident name is charged only for what exceeds them.
func held(ep *wire.EndpointPlacement, name string) int64 {
	if i := findResident(ep, name); i >= 0 {
		return ep.Residents[i].Bytes
	}
	return 0
}

func findResident(ep *wire.EndpointPlacement, name string) int {
	return slices.IndexFunc(ep.Residents, func(r wire.Resident) bool { return r.Name == name })
}

func findIntent(ep *wire.EndpointPlacement, name string) int {
	return slices.IndexFunc(ep.Intents, func(in wire.Intent) bool { return in.Name == name })
}

// Load adds the intent to load a model or adapter if it fits.
func (l *Ledger) Load(endpoint string, r wire.Resident, base string, now time.Time) (wire.Intent, error) {
	ep := l.Endpoint(endpoint)
	if ep == nil || !l.info[endpoint].accepted {
		return wire.Intent{}, errors.Annotate(ErrUnknown, endpoint)
	}
	if findIntent(ep, r.Name) >= 0 || findResident(ep, r.Name) >= 0 || len(ep.Intents) >= MaxIntents {
		return wire.Intent{}, errors.Annotatef(ErrBusy, "%s on %s", r.Name, endpoint)
	}
	free := l.Free(endpoint)
	if free.take(r.Adapter, r.Bytes); r.Bytes <= 0 || r.Adapter && free.Adapters < 0 || !r.Adapter && free.Models < 0 {
		return wire.Intent{}, errors.Annotatef(ErrNoMemory, "%s on %s", r.Name, endpoint)
	}
	return l.add(ep, wire.Intent{Action: wire.ActionLoad, Name: r.Name, Adapter: r.Adapter, Base: base, Bytes: r.Bytes}, now), nil
}

// Unload adds the intent to unload a resident. Its charge stays until a report shows it gone.
func (l *Ledger) Unload(endpoint, name string, now time.Time) (wire.Intent, error) {
	ep := l.Endpoint(endpoint)
	if ep == nil || findResident(ep, name) < 0 {
		return wire.Intent{}, errors.Annotatef(ErrUnknown, "%s on %s", name, endpoint)
	}
	if findIntent(ep, name) >= 0 || len(ep.Intents) >= MaxIntents {
		return wire.Intent{}, errors.Annotatef(ErrBusy, "%s on %s", name, endpoint)
	}
	if !l.Settled(endpoint, name, now) {
		return wire.Intent{}, errors.Annotatef(ErrTooEarly, "%s on %s", name, endpoint)
	}
	r := ep.Residents[findResident(ep, name)]
	return l.add(ep, wire.Intent{Action: wire.ActionUnload, Name: name, Adapter: r.Adapter, Bytes: r.Bytes}, now), nil
}

// Settled tells whether no copy of the order that loaded the name can still be on its way to a restarted engine.
func (l *Ledger) Settled(endpoint, name string, now time.Time) bool {
	return l.age(endpoint, name, now) > l.Bound // an order may arrive exactly at the bound
}

// age returns the time since the load of a name may last have been sent.
func (l *Ledger) age(endpoint, name string, now time.Time) time.Duration {
	return now.Sub(l.info[endpoint].since[name])
}

func (l *Ledger) add(ep *wire.EndpointPlacement, in wire.Intent, now time.Time) wire.Intent {
	l.p.NextIntent++
	in.ID, in.Epoch = l.p.NextIntent, l.p.Epoch
	ep.Intents = append(ep.Intents, in)
	if in.Action == wire.ActionLoad {
		l.Sent(ep.Endpoint, in.Name, now)
	}
	return in
}

// Sent notes that the load of a name may have been sent at a time.
func (l *Ledger) Sent(endpoint, name string, at time.Time) { l.info[endpoint].since[name] = at }
