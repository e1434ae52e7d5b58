// Package ownership decides which cell owns each endpoint. It is a deterministic state machine without I/O.
//
// The record is one object of the platform and, for each cell, its placement object. A cell may order an endpoint only
// while its stored placement holds an account of the endpoint that is not released. The account moves in three
// conditional updates: the owner's placement marks it released, the owners object names the next owner with a copy of
// the account, and the placement of the next owner adopts that copy. Each change of the owner increases the endpoint's
// generation, so that a copy is adopted at most once.
package ownership

import (
	"maps"
	"slices"
	"sort"

	"sycamoredeal/internal/wire"
)

// Name is the name of the one owners object.
const Name = "owners"

// Account is what the next owner inherits of an endpoint.
type Account struct {
	Endpoint   wire.EndpointPlacement `json:"endpoint"`
	NextIntent uint64                 `json:"nextIntent"` // order ids up to this one may have been used at the endpoint
	Fence      uint64                 `json:"fence"`      // highest fencing token that may have been sent to it
}

// Record names the owner of an endpoint.
type Record struct {
	Owner      string   `json:"owner"`
	Generation uint64   `json:"generation,omitempty"`
	Transit    *Account `json:"transit,omitempty"` // account until the owner has adopted it
}

// Owners is the content of the object.
type Owners struct {
	Cells     map[string]string `json:"cells"`     // cell -> region
	Endpoints map[string]Record `json:"endpoints"` // endpoint -> owner
}

// Import returns the owners object of a fleet that has none yet: each account in a stored placement belongs to its cell.
func Import(placements []wire.Placement) Owners {
	o := Owners{Cells: make(map[string]string), Endpoints: make(map[string]Record)}
	for _, p := range placements {
		for _, e := range p.Endpoints {
			if _, ok := o.Endpoints[e.Endpoint]; !ok {
				o.Endpoints[e.Endpoint] = Record{Owner: p.Cell, Generation: e.Generation}
			}
		}
	}
	return o
}

// Input is what a cell's planner knows when it decides.
type Input struct {
	Cell      string
	Region    string
	Endpoints map[string]string // declared endpoint -> region
	Dead      map[string]bool   // cells whose lease has not been renewed for long
	Placement *wire.Placement   // own placement as it is stored
	// Taken are accounts in the placements of dead cells that are stored as released, by endpoint.
	Taken map[string]Account
}

// Wanted returns the cell that should own each declared endpoint, according to the cells of o that are not dead.
func (in *Input) Wanted(o Owners) map[string]string {
	cells := maps.Clone(o.Cells)
	if cells == nil {
		cells = make(map[string]string)
	}
	maps.DeleteFunc(cells, func(c, _ string) bool { return in.Dead[c] })
	cells[in.Cell] = in.Region
	return Assign(in.Endpoints, cells)
}

// Next returns the owners object that the cell should store, and whether it differs from o. It does not modify o.
func Next(o Owners, in Input) (Owners, bool) {
	out := Owners{Cells: maps.Clone(o.Cells), Endpoints: maps.Clone(o.Endpoints)}
	if out.Cells == nil {
		out.Cells = make(map[string]string)
	}
	if out.Endpoints == nil {
		out.Endpoints = make(map[string]Record)
	}
	changed := register(out, in)
	wanted := in.Wanted(o)
	own := index(in.Placement)
	for name := range in.Endpoints {
		if _, ok := out.Endpoints[name]; !ok && wanted[name] == in.Cell {
			out.Endpoints[name] = Record{Owner: in.Cell, Generation: 1}
			changed = true
		}
	}
	for name, r := range out.Endpoints {
		next, ok := in.advance(name, r, own[name], wanted[name])
		if ok {
			out.Endpoints[name] = next
			changed = true
		}
	}
	return out, changed
}

// register enters the cell and removes dead ones that own nothing any more.
func register(o Owners, in Input) bool {
	changed := false
	if region, ok := o.Cells[in.Cell]; !ok || region != in.Region {
		o.Cells[in.Cell] = in.Region
		changed = true
	}
	owns := make(map[string]bool)
	for _, r := range o.Endpoints {
		owns[r.Owner] = true
	}
	for c := range in.Dead {
		if _, ok := o.Cells[c]; ok && c != in.Cell && !owns[c] {
			delete(o.Cells, c)
			changed = true
		}
	}
	return changed
}

// advance returns the next record of an endpoint, if this cell is to change it.
func (in *Input) advance(name string, r Record, own *wire.EndpointPlacement, wanted string) (Record, bool) {
	switch {
	case r.Owner == in.Cell && own != nil && own.Generation == r.Generation && own.Released:
		if wanted == "" {
			wanted = in.Cell // no longer declared
		}
		a := NewAccount(in.Placement, *own)
		return Record{Owner: wanted, Generation: r.Generation + 1, Transit: &a}, true
	case r.Owner == in.Cell && r.Transit != nil && own != nil && own.Generation == r.Generation:
		r.Transit = nil
		return r, true
	case r.Owner != in.Cell && wanted == in.Cell && in.Dead[r.Owner]:
		if a, ok := in.Taken[name]; ok && a.Endpoint.Generation == r.Generation {
			return Record{Owner: in.Cell, Generation: r.Generation + 1, Transit: &a}, true
		}
	}
	return r, false
}

// NewAccount returns the account of an endpoint in a placement.
func NewAccount(p *wire.Placement, e wire.EndpointPlacement) Account {
	e.Residents, e.Intents = slices.Clone(e.Residents), slices.Clone(e.Intents)
	return Account{Endpoint: e, NextIntent: p.NextIntent, Fence: e.FenceBase + p.Epoch}
}

// Takeable returns the endpoints of a dead cell that this cell should own, in the order of their names.
func Takeable(o Owners, in Input, dead string) []string {
	wanted := in.Wanted(o)
	var out []string
	for name, r := range o.Endpoints {
		if r.Owner == dead && wanted[name] == in.Cell {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Take marks endpoints of a dead cell as released in its placement, so that no update of a planner that resumes there
// can succeed without having seen that. It returns the accounts that the stored placement then proves, and whether the
// placement must be stored first.
func Take(p *wire.Placement, o Owners, names []string) (map[string]Account, bool) {
	taken := make(map[string]Account)
	changed := false
	for _, name := range names {
		r := o.Endpoints[name]
		i := slices.IndexFunc(p.Endpoints, func(e wire.EndpointPlacement) bool { return e.Endpoint == name })
		switch {
		case i < 0 || p.Endpoints[i].Generation < r.Generation:
			// The dead cell had not adopted the endpoint.
			e, ok := inherited(p, r, name)
			if !ok {
				continue
			}
			e.Released, changed = true, true
			if i < 0 {
				p.Endpoints = append(p.Endpoints, e)
				i = len(p.Endpoints) - 1
			}
			p.Endpoints[i] = e
		case p.Endpoints[i].Generation > r.Generation:
			continue // o is older than the placement
		case !p.Endpoints[i].Released:
			p.Endpoints[i].Released, changed = true, true
		}
		taken[name] = NewAccount(p, p.Endpoints[i])
	}
	if changed {
		p.Takeovers++
		p.Version++
	}
	return taken, changed
}

// inherited returns the account with which a cell starts to own an endpoint, and raises the next order id of its
// placement. It returns false for a record that the cell must have adopted before.
func inherited(p *wire.Placement, r Record, name string) (wire.EndpointPlacement, bool) {
	if r.Transit == nil {
		return wire.EndpointPlacement{Endpoint: name, Generation: r.Generation}, r.Generation == 1
	}
	e := r.Transit.Endpoint
	e.Residents, e.Intents = slices.Clone(e.Residents), slices.Clone(e.Intents)
	e.Generation, e.Released, e.FenceBase = r.Generation, false, r.Transit.Fence
	p.NextIntent = max(p.NextIntent, r.Transit.NextIntent)
	return e, true
}

// Changes are what a cell's placement must take over from the owners object.
type Changes struct {
	Adopt []wire.EndpointPlacement
	Drop  []string // released endpoints that their next owner has adopted
}

// Reconcile compares the cell's placement with an owners object that was read after the placement. It raises the next
// order id of p and changes nothing else.
func Reconcile(p *wire.Placement, o Owners, cell string) Changes {
	var c Changes
	own := index(p)
	for name, r := range o.Endpoints {
		e := own[name]
		switch {
		case r.Owner == cell && (e == nil || e.Generation < r.Generation):
			if a, ok := inherited(p, r, name); ok {
				c.Adopt = append(c.Adopt, a)
			}
		case r.Owner != cell && e != nil && e.Released && e.Generation < r.Generation && r.Transit == nil:
			c.Drop = append(c.Drop, name)
		}
	}
	sort.Slice(c.Adopt, func(i, j int) bool { return c.Adopt[i].Endpoint < c.Adopt[j].Endpoint })
	sort.Strings(c.Drop)
	return c
}

func index(p *wire.Placement) map[string]*wire.EndpointPlacement {
	out := make(map[string]*wire.EndpointPlacement)
	for i := range p.Endpoints {
		out[p.Endpoints[i].Endpoint] = &p.Endpoints[i]
	}
	return out
}
