// Package planner is the duty of the holder of a cell's lease: it keeps the cell's placement and orders engines.
//
// It is the I/O around package placement. Every intent is stored before its order is sent, and nothing is sent while it
// is open whether the placement in memory is the stored one.
package planner

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ownership"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const (
	roundInterval = 200 * time.Millisecond
	// idlePoll is the longest time between two reports of an endpoint without unresolved intents. Asking 43 endpoints
	// in every round took the holder over its budget of 2.3% of a core. A lost report is asked again 0.6 s later at the
	// latest, so a restart is noticed and three calls have failed before deadAfter.
	idlePoll = 1500 * time.Millisecond
	// idleRound is the time between two planning rounds of a cell in which nothing has changed.
	idleRound = time.Second
	// reportTimeout is shorter than the rounds in which an endpoint counts as dead, so that a lost report is asked again.
	reportTimeout = 400 * time.Millisecond
	storeTimeout  = time.Second
	// deadAfter is the age of the latest report from which on the copies of an endpoint don't count.
	deadAfter = 3 * time.Second
	// maxOrderTimeout bounds the call that sends an order, and is less with a short bound on late orders.
	maxOrderTimeout = time.Second
	// workers bounds concurrent calls to engines: a cell of 50 endpoints has at most one report and a few orders each.
	workers = 64
)

// ErrSuperseded is returned by Run when the stored placement has a higher epoch than the planner's own.
var ErrSuperseded = errors.New("placement belongs to a later holder")

// Deps are what the planner needs of its process.
type Deps struct {
	Cell     string
	Store    objects.Store
	Engines  *engine.Client
	Snapshot func() *config.Snapshot            // latest configuration, nil before the first
	Valid    func() bool                        // whether the lease is still held by the process's own clock; called concurrently
	Demand   func() map[string]wire.ModelDemand // demand since the previous call
	Publish  func(wire.Placement)               // called after each stored placement with a copy
	Log      telemetry.Logger
	Explain  func(placement.Decision)       // called for each decision after it was stored; may be nil
	Frozen   func(error)                    // called when the placement can't be stored, and with nil when it can again; may be nil
	Reported func(map[string]engine.Report) // called with the reports of each round; may be nil
	Policy   placement.Policy               // PolicyMixed but for measurements of the baselines
	Region   string                         // of the cell
	// OwnersEvery is the time between two reads of the owners of endpoints, and a tenth of the time without a renewal of
	// its lease after which another cell is dead. 0 means 6 s.
	OwnersEvery time.Duration
	// Served returns the cells by model according to the directory, nil if unknown, and the time within which other cells
	// see a change of it. Without it all models are planned.
	Served func() (map[string][]string, time.Duration)
	Dead   func(map[string]bool) // called with the cells whose lease has not been renewed for long; may be nil
	// LateBound replaces placement.LateBound if it is not 0.
	LateBound time.Duration
}

// Run plans until ctx ends or a later holder has written the placement. The caller starts it when it has acquired the
// lease with the given epoch and ends ctx when it loses it.
func Run(ctx context.Context, epoch uint64, d Deps) error {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true))
	if err != nil {
		return errors.Trace(err)
	}
	defer pool.Release()
	if d.LateBound <= 0 {
		d.LateBound = placement.LateBound
	}
	if d.OwnersEvery <= 0 {
		d.OwnersEvery = defaultOwnersEvery
	}
	p := &planner{Deps: d, epoch: epoch, pool: pool, started: time.Now(), polls: newPolls(), rounds: placement.Planner{Policy: d.Policy}}
	p.owners.live = ownership.Liveness{Bound: deadIntervals * d.OwnersEvery, MaxGap: gapIntervals * d.OwnersEvery}
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		err := p.round(ctx)
		if errors.Is(err, ErrSuperseded) {
			p.Log.Info().Uint64("epoch", epoch).Msg("A later holder plans.")
			return err
		}
		if ctx.Err() == nil {
			p.freeze(err)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type planner struct {
	Deps
	epoch   uint64
	pool    *ants.Pool
	started time.Time
	polls   *polls

	object object
	owners owners
	models ownership.Models

	assigned time.Time // latest update of models
	ledger   *placement.Ledger
	rounds   placement.Planner
	sender   placement.Sender
	frozen   bool // the latest round could not store the placement
	seen     seen
	stale    atomic.Bool // an engine refused an order because of its fencing token
}

// round observes, plans, stores and sends, in this order.
func (p *planner) round(ctx context.Context) error {
	snap := p.Snapshot()
	if snap == nil || !p.Valid() {
		return nil
	}
	if p.stale.Swap(false) {
		p.object.known = false
	}
	if err := p.settle(ctx); err != nil {
		if p.object.loaded {
			own, _ := p.owned(snap, nil)
			p.poll(ctx, own)
		}
		return err
	}
	now := time.Now()
	changed := p.own(ctx, snap, now)
	releasing := ownership.Releasing(&p.object.state, p.Cell, p.owners.wanted)
	own, plan := p.owned(snap, releasing)
	p.poll(ctx, own)
	changed = p.observe(own, now) || changed
	alive, draining, all := p.polls.states(own, now)
	if (all || now.Sub(p.started) >= deadAfter) && (changed || p.due(now, snap, alive, draining)) {
		in := placement.Input{Now: now, Snapshot: plan, Ledger: p.ledger, Alive: alive, Draining: draining, Demand: p.Demand()}
		p.assign(&in, snap, now)
		changed = p.rounds.Round(in) || changed
	}
	changed = p.release(releasing) || changed
	if changed {
		err := p.store(ctx)
		p.explain(err)
		if err != nil {
			return err
		}
	}
	if !p.pending() {
		return nil
	}
	for _, s := range p.sender.Due(now, own, p.ledger, alive) {
		p.send(ctx, own.Endpoint(s.Endpoint).Address, s)
	}
	return nil
}

// explain passes on the decisions of a round. A store whose answer was lost may have taken effect, so decisions whose
// store failed are passed on too.
func (p *planner) explain(stored error) {
	for _, d := range p.rounds.Decisions() {
		if stored != nil {
			d.Reason += " (not known to be stored: " + stored.Error() + ")"
		}
		if p.Explain != nil {
			p.Explain(d)
		}
	}
}

// freeze notes whether the placement can be stored. It logs changes only, because rounds go on during an outage.
func (p *planner) freeze(err error) {
	if (err != nil) == p.frozen {
		return
	}
	p.frozen = err != nil
	if p.frozen {
		p.Log.Warn().Err(err).Msg("Placement is frozen.")
	} else {
		p.Log.Info().Msg("Placement is no longer frozen.")
	}
	if p.Frozen != nil {
		p.Frozen(err)
	}
}

// seen is what the latest planning round was computed from, as far as a change of it makes the next round urgent.
type seen struct {
	at              time.Time
	snap            *config.Snapshot
	alive, draining map[string]bool
}

// due tells whether a planning round is due although no report changed the ledger.
func (p *planner) due(now time.Time, snap *config.Snapshot, alive, draining map[string]bool) bool {
	s := &p.seen
	if s.snap == snap && now.Sub(s.at) < idleRound && !p.pending() && maps.Equal(s.alive, alive) && maps.Equal(s.draining, draining) {
		return false
	}
	*s = seen{now, snap, alive, draining}
	return true
}

// pending tells whether any intent is unresolved.
func (p *planner) pending() bool {
	for i := range p.object.state.Endpoints {
		if len(p.object.state.Endpoints[i].Intents) > 0 {
			return true
		}
	}
	return false
}

// observe applies the latest reports to the ledger.
func (p *planner) observe(snap *config.Snapshot, now time.Time) bool {
	changed := false
	p.ledger.Base = func(adapter string) string {
		if a := snap.Adapter(adapter); a != nil {
			return a.Model
		}
		return ""
	}
	reports := p.polls.take()
	if p.Reported != nil {
		p.Reported(reports)
	}
	for i := range snap.Endpoints {
		e := &snap.Endpoints[i]
		rep, ok := reports[e.Name]
		p.ledger.Declare(e.Name, capacity(e, p.polls.memory(e.Name)))
		if ok {
			changed = p.ledger.Observe(e.Name, rep, now) || changed
		}
	}
	return changed
}

// capacity returns the declared memory, or less if the engine reports that it has less.
func capacity(e *config.Endpoint, reported int64) placement.Capacity {
	c := placement.Capacity{Models: int64(e.Memory), Adapters: int64(e.AdapterMemory)}
	if reported > 0 {
		c.Adapters = min(c.Adapters, reported)
		c.Models = min(c.Models, reported-c.Adapters)
	}
	return c
}

// sendWindow is the longest time between the decision to send an order and its sending: half of the bound on late
// orders. A quarter is for the call and the rest for the network.
func (p *planner) sendWindow() time.Duration { return p.LateBound / 2 }

// send hands an order to a worker. If none is free, or the call fails, the order is sent again after ResendAfter.
func (p *planner) send(ctx context.Context, addr string, s placement.Send) {
	decided, in, base := time.Now(), s.Intent, p.ledger.Endpoint(s.Endpoint).FenceBase
	err := p.pool.Submit(func() {
		if ctx.Err() != nil || !p.Valid() || time.Since(decided) > p.sendWindow() {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, min(maxOrderTimeout, p.LateBound/4))
		defer cancel()
		err := p.Engines.Order(ctx, addr, order(in, base))
		if errors.Is(err, engine.ErrStaleFence) {
			p.stale.Store(true)
		}
		if err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Uint64("order", in.ID).Str("address", addr).Str("name", in.Name).Msg("Order failed.")
		}
	})
	if err != nil {
		p.Log.Warn().Err(err).Uint64("order", in.ID).Str("address", addr).Str("name", in.Name).Msg("No worker for an order.")
	}
}

func order(in wire.Intent, fenceBase uint64) engine.Order {
	action := engine.ActionLoad
	if in.Action == wire.ActionUnload {
		action = engine.ActionUnload
	}
	return engine.Order{ID: in.ID, Fence: fenceBase + in.Epoch, Action: action, Name: in.Name, Adapter: in.Adapter, Base: in.Base, Bytes: in.Bytes}
}
