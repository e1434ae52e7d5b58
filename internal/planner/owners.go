package planner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ownership"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/wire"
)

const (
	defaultOwnersEvery = 6 * time.Second // of a read of the leases and of the owners object
	deadIntervals      = 10              // intervals without a renewal after which a cell is dead
	gapIntervals       = 3               // intervals without a read after which earlier ones prove nothing
)

// owners is what the planner knows of the owners object.
type owners struct {
	state    ownership.Owners
	version  string
	known    bool // read after the placement was last loaded, and no write since is open
	dirty    bool // the placement or the declarations have changed since the last decision
	snapshot *config.Snapshot
	next     time.Time // no read before
	live     ownership.Liveness
	dead     map[string]bool
	wanted   map[string]string
}

// own brings the ownership of endpoints forward by at most one write of the owners object, and returns whether the
// placement in memory has changed. Without the platform the cell keeps what its stored placement says. The placement
// must be settled.
func (p *planner) own(ctx context.Context, snap *config.Snapshot, now time.Time) bool {
	o := &p.owners
	if o.snapshot != snap {
		o.snapshot, o.dirty = snap, true
	}
	fresh := false
	if now.After(o.next) {
		o.next = now.Add(p.OwnersEvery - rand.N(p.OwnersEvery/4+1))
		if err := p.readOwners(ctx); err != nil {
			p.Log.Debug().Err(err).Msg("Owners not read.")
			o.next = now.Add(p.OwnersEvery / 4)
			return false
		}
		fresh = true
	}
	if !o.known || !fresh && !o.dirty {
		return false
	}
	o.dirty = false
	in := p.ownershipInput(snap)
	if fresh {
		in.Taken = p.takeOver(ctx, in)
	}
	if next, changed := ownership.Next(o.state, in); changed {
		if err := p.writeOwners(ctx, next); err != nil {
			p.Log.Debug().Err(err).Msg("Owners not written.")
			o.known, o.next = false, now.Add(p.OwnersEvery/8+rand.N(p.OwnersEvery/8+1))
			return false
		}
	}
	o.wanted = in.Wanted(o.state)
	return p.reconcile(now)
}

func (p *planner) ownershipInput(snap *config.Snapshot) ownership.Input {
	in := ownership.Input{Cell: p.Cell, Region: p.Region, Endpoints: make(map[string]string, len(snap.Endpoints)), Dead: p.owners.dead, Placement: &p.object.state}
	for i := range snap.Endpoints {
		in.Endpoints[snap.Endpoints[i].Name] = snap.Endpoints[i].Region
	}
	return in
}

// readOwners reads the owners object and which cells are dead. The first reader imports the stored placements.
func (p *planner) readOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o := &p.owners
	at := time.Now()
	leases, _, err := p.Store.List(ctx, objects.KindLease)
	if err != nil {
		return errors.Annotate(err, "list leases")
	}
	got, err := p.Store.Get(ctx, objects.KindOwners, ownership.Name)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		if o.state, err = p.importPlacements(ctx); err != nil {
			return err
		}
	case err != nil:
		return errors.Annotate(err, "read the owners")
	default:
		if o.state, err = objects.Decode[ownership.Owners](got); err != nil {
			return err
		}
	}
	o.version, o.known = got.Version, true
	seen := make(map[string]ownership.Lease)
	for _, l := range leases {
		rec, _ := objects.Decode[lease.Record](l) // of an unreadable lease the version counts alone
		seen[l.Name] = ownership.Lease{Version: l.Version, Term: time.Duration(rec.TermMs) * time.Millisecond}
	}
	var cells []string
	for c := range o.state.Cells {
		if c != p.Cell {
			cells = append(cells, c)
		}
	}
	o.live.Observe(at, cells, seen)
	o.dead = o.live.Dead()
	if p.Dead != nil {
		p.Dead(o.dead)
	}
	return nil
}

func (p *planner) importPlacements(ctx context.Context) (ownership.Owners, error) {
	list, _, err := p.Store.List(ctx, objects.KindPlacement)
	if err != nil {
		return ownership.Owners{}, errors.Annotate(err, "list placements")
	}
	var all []wire.Placement
	for _, obj := range list {
		pl, err := objects.Decode[wire.Placement](obj)
		if err != nil {
			return ownership.Owners{}, err
		}
		all = append(all, pl)
	}
	return ownership.Import(all), nil
}

func (p *planner) writeOwners(ctx context.Context, next ownership.Owners) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := objects.Encode(objects.KindOwners, ownership.Name, p.owners.version, next)
	if err != nil {
		return err
	}
	write := p.Store.Update
	if obj.Version == "" {
		write = p.Store.Create
	}
	if obj, err = write(ctx, obj); err != nil {
		return err
	}
	p.owners.state, p.owners.version = next, obj.Version
	return nil
}

// takeOver marks the endpoints of dead cells that this cell should own as released there, and returns their accounts.
func (p *planner) takeOver(ctx context.Context, in ownership.Input) map[string]ownership.Account {
	all := make(map[string]ownership.Account)
	for dead := range p.owners.dead {
		names := ownership.Takeable(p.owners.state, in, dead)
		if len(names) == 0 {
			continue
		}
		taken, err := p.takeFrom(ctx, dead, names)
		if err != nil {
			p.Log.Warn().Err(err).Str("cell", dead).Msg("Endpoints of a dead cell not taken over.")
			continue
		}
		p.Log.Info().Str("cell", dead).Int("endpoints", len(taken)).Msg("Taking over the endpoints of a dead cell.")
		for name, a := range taken {
			all[name] = a
		}
	}
	return all
}

// takeFrom stores the release in the dead cell's placement. After an unknown outcome the next attempt finds out.
func (p *planner) takeFrom(ctx context.Context, dead string, names []string) (map[string]ownership.Account, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := p.Store.Get(ctx, objects.KindPlacement, dead)
	pl := wire.Placement{Cell: dead}
	if err == nil {
		pl, err = objects.Decode[wire.Placement](obj)
	} else if errors.Is(err, objects.ErrNotFound) {
		err = nil
	}
	if err != nil {
		return nil, err
	}
	taken, changed := ownership.Take(&pl, p.owners.state, names)
	if !changed {
		return taken, nil
	}
	next, err := objects.Encode(objects.KindPlacement, dead, obj.Version, &pl)
	if err != nil {
		return nil, err
	}
	if next.Version == "" {
		_, err = p.Store.Create(ctx, next)
	} else {
		_, err = p.Store.Update(ctx, next)
	}
	return taken, err
}

// reconcile adopts and drops endpoints in memory.
func (p *planner) reconcile(now time.Time) bool {
	c := ownership.Reconcile(&p.object.state, p.owners.state, p.Cell)
	for _, e := range c.Adopt {
		p.ledger.Adopt(e, now)
		p.Log.Info().Str("endpoint", e.Endpoint).Uint64("generation", e.Generation).Msg("Endpoint adopted.")
	}
	for _, name := range c.Drop {
		p.ledger.Drop(name)
	}
	if len(c.Adopt) > 0 {
		p.started = now // the reports of the new endpoints are waited for
	}
	p.owners.dirty = p.owners.dirty || len(c.Adopt)+len(c.Drop) > 0
	return len(c.Adopt)+len(c.Drop) > 0
}

// release gives up endpoints that have nothing unresolved, and returns whether there are any.
func (p *planner) release(names []string) bool {
	if !ownership.Release(&p.object.state, names) {
		return false
	}
	p.owners.dirty = true
	return true
}

// liveCells returns the number of cells that share the weight store, as last read.
func (o *owners) liveCells() int {
	n := 0
	for c := range o.state.Cells {
		if !o.dead[c] {
			n++
		}
	}
	return n
}

// owned returns the part of the declarations that the cell may order, and the part for which it plans, with the cell's
// share of the weight store.
func (p *planner) owned(snap *config.Snapshot, releasing []string) (own, plan *config.Snapshot) {
	leaves := make(map[string]bool)
	for _, name := range releasing {
		leaves[name] = true
	}
	holds := func(e *config.Endpoint) bool {
		a := p.ledger.Endpoint(e.Name)
		return a != nil && !a.Released
	}
	own = snap.WithEndpoints(holds)
	own.WeightStore = placement.Share(snap.WeightStore, p.owners.liveCells())
	if len(leaves) == 0 {
		return own, own
	}
	return own, own.WithEndpoints(func(e *config.Endpoint) bool { return !leaves[e.Name] })
}
