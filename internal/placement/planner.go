package placement

import (
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// Policy selects how copies are placed.
type Policy uint8

// Policies. All but PolicyMixed are baselines for measurements.
const (
	PolicyMixed  Policy = iota // fewest shared neighbours, copies in proportion to demand
	PolicyStatic               // fewest shared neighbours, demand ignored, nothing moved
	PolicyGroups               // the same models together on the same endpoints
)

// Policies maps the names of policies for settings.
var Policies = map[string]Policy{"mixed": PolicyMixed, "static": PolicyStatic, "groups": PolicyGroups}

// Rules of moves.
const (
	// Horizon is the time over which the gain of a move is counted.
	Horizon = 10 * time.Minute
	// MinDwell is the least age of a copy that a move may unload.
	MinDwell = 2 * time.Minute
	// moveFactor is the hysteresis of moves: the model that gains must have this much more work per copy.
	moveFactor = 1.5
	// shiftFactor is the relative change of a model's demand that allows it another move within Horizon.
	shiftFactor = 1.25
	// moveTime is the assumed time in which a move occupies an endpoint's share of the fleet.
	moveTime = 20 * time.Second
)

// Input is what one planning round is computed from.
type Input struct {
	Now      time.Time
	Snapshot *config.Snapshot
	Ledger   *Ledger                     // all declared endpoints are declared in it
	Alive    map[string]bool             // endpoints that have reported lately
	Draining map[string]bool             // endpoints whose reports say that they drain
	Demand   map[string]wire.ModelDemand // since the previous round
	// Planned tells for which models copies are loaded, and Retired which ones are unloaded because other cells serve
	// them. nil means all and none.
	Planned func(model string) bool
	Retired func(model string) bool
	// Elsewhere tells whether another cell serves a model, and Expendable whether the last copy in this cell may then be
	// unloaded in favour of a model that no cell serves. nil means none.
	Elsewhere  func(model string) bool
	Expendable func(model string) bool
	Cells      int // number of cells that share the least number of copies of each model; 0 means one
}

// Planner decides which intents to add. It keeps smoothed demand and the history of moves between rounds.
type Planner struct {
	Policy Policy

	demand demand
	moved  map[string]move
	hot    map[string]time.Time // when a model last had a hotShare of the demand
	shared []uint16

	decisions []Decision
}

type move struct {
	at     time.Time
	weight float64
}

// Round adds intents to the ledger and marks leaving endpoints in it. It returns whether the placement changed.
func (p *Planner) Round(in Input) bool {
	p.demand.add(in.Now, in.Demand)
	p.noteHot(in.Now)
	stages, changed := p.stages(in)
	before := in.Ledger.p.NextIntent
	v := p.newView(in, stages)
	p.explained(v, "too few copies", p.cover)
	p.explained(v, "copies in a single availability zone", p.spread)
	p.explained(v, "adapter has too few copies", p.adapters)
	p.explained(v, "no longer declared, or served by other cells", func(v *view) { p.retire(v, in.Retired) })
	if p.settledLayout(v) {
		p.explained(v, "spare memory, most work per copy", p.grow)
		p.explained(v, "a model with more work per copy needs the memory", p.exchange)
	}
	return changed || before != in.Ledger.p.NextIntent
}

// stages returns the stage of each endpoint and stores which ones are leaving.
func (p *Planner) stages(in Input) ([]stage, bool) {
	changed := false
	out := make([]stage, len(in.Snapshot.Endpoints))
	rate := Share(in.Snapshot.WeightStore, 1).LoadsPerSecond
	for i := range out {
		e := &in.Snapshot.Endpoints[i]
		account := in.Ledger.Endpoint(e.Name)
		out[i] = maintenanceStage(in.Snapshot, e, len(account.Residents), rate, in.Now)
		if e.Leaving || in.Draining[e.Name] {
			out[i] = stageLeaving
		}
		if leaving := out[i] == stageLeaving; leaving != account.Leaving {
			account.Leaving, changed = leaving, true
			p.explainStage(in, e, leaving)
		}
	}
	return out, changed
}

// weight is the demand of a model without its adapters. It is never 0, so that spare memory is shared evenly without
// demand.
func (p *Planner) weight(name string) float64 {
	if p.Policy == PolicyStatic {
		return 1
	}
	return 1 + p.demand.rate[name]
}

// hotShare is the share of a cell's demand from which on the cell serves a model itself instead of forwarding. A cell
// of 36 endpoints serves 200 models when each of 2,000 is in 2 of 20 cells, so an average one has 0.5%.
const hotShare = 0.05

// noteHot records which models have a great share of the demand.
func (p *Planner) noteHot(now time.Time) {
	var total float64
	for _, r := range p.demand.rate {
		total += r
	}
	for name, r := range p.demand.rate {
		if r < 1 || r < hotShare*total {
			continue
		}
		if p.hot == nil {
			p.hot = make(map[string]time.Time)
		}
		p.hot[name] = now
	}
}

// Hot tells whether a model had a great share of the cell's demand within Horizon.
func (p *Planner) Hot(model string, now time.Time) bool {
	at, ok := p.hot[model]
	return ok && now.Sub(at) < Horizon
}
