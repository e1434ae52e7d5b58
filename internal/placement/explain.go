package placement

import (
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// maxDecisions bounds the decisions that are kept until they are taken.
const maxDecisions = 1024

// Decision tells what the planner ordered or decided about an endpoint, and why.
type Decision struct {
	Action   string // load, unload, drain or serve
	Name     string // model or adapter, empty for a decision about the endpoint itself
	Endpoint string
	Intent   uint64 // id of the order
	Reason   string
}

// Decisions returns the decisions since the last call.
func (p *Planner) Decisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}

// explained runs one part of a round and notes the intents that it added with its reason. An unload makes room for what
// the reason names.
func (p *Planner) explained(v *view, reason string, part func(*view)) {
	before := v.l.p.NextIntent
	part(v)
	if v.l.p.NextIntent == before {
		return
	}
	for i := range v.l.p.Endpoints {
		for _, in := range v.l.p.Endpoints[i].Intents {
			if in.ID <= before {
				continue
			}
			d := Decision{Action: "load", Name: in.Name, Endpoint: v.l.p.Endpoints[i].Endpoint, Intent: in.ID, Reason: reason}
			if in.Action == wire.ActionUnload {
				d.Action = "unload"
				if v.snap.Serves(in.Name) {
					d.Reason = "makes room: " + reason
				}
			}
			p.note(d)
		}
	}
}

func (p *Planner) explainStage(in Input, e *config.Endpoint, leaving bool) {
	if leaving {
		p.note(Decision{Action: "drain", Endpoint: e.Name, Reason: LeavingReason(in.Snapshot, e, in.Now)})
		return
	}
	p.note(Decision{Action: "serve", Endpoint: e.Name, Reason: "no longer leaving"})
}

func (p *Planner) note(d Decision) {
	if len(p.decisions) < maxDecisions {
		p.decisions = append(p.decisions, d)
	}
}
