package placement

import (
	"slices"
	"strings"
	"time"

	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/wire"
)

// Observe accounts for a report. It returns whether the stored placement changed. A report that is older than the one
// that proved the stored residents is ignored: engines report with a lag, and an old report would bring back residents
// whose memory has been given to others since.
func (l *Ledger) Observe(endpoint string, rep engine.Report, now time.Time) bool {
	ep := l.Endpoint(endpoint)
	if ep == nil {
		return false
	}
	info := l.info[endpoint]
	same := rep.Incarnation == ep.Incarnation
	if same && rep.Sequence < ep.Sequence {
		return false
	}
	info.accepted, ep.Sequence = true, rep.Sequence
	o := observation{l: l, ep: ep, info: info, now: now, shown: make(map[string]engine.Resident), ended: make(map[uint64]string)}
	for _, r := range rep.Residents {
		o.shown[r.Name] = r
	}
	for _, r := range rep.Orders {
		o.ended[r.ID] = r.State
	}
	if !same {
		o.restart()
		ep.Incarnation = rep.Incarnation
	}
	return o.apply() || !same
}

// observation applies one report to the account of one endpoint.
type observation struct {
	l     *Ledger
	ep    *wire.EndpointPlacement
	info  *endpointInfo
	now   time.Time
	shown map[string]engine.Resident
	ended map[uint64]string // state by order id
}

// restart prepares the account for a new incarnation, which has forgotten all orders. Unloads are dropped together with
// the copies that they were for; apply turns the residents into loads.
func (o *observation) restart() {
	clear(o.info.failed)
	o.ep.Intents = slices.DeleteFunc(o.ep.Intents, func(in wire.Intent) bool { return in.Action == wire.ActionUnload })
}

func (o *observation) apply() bool {
	residents, intents := slices.Clone(o.ep.Residents), slices.Clone(o.ep.Intents)
	next := o.residents()
	unloaded := make(map[string]bool)
	var kept, again []wire.Intent
	for _, in := range intents {
		switch o.judge(in) {
		case keepIntent:
			kept = append(kept, in)
		case repeatIntent:
			again = append(again, in)
		default:
			unloaded[in.Name] = in.Action == wire.ActionUnload
		}
	}
	o.ep.Intents = kept
	for _, r := range residents {
		if _, ok := o.shown[r.Name]; ok || unloaded[r.Name] {
			continue
		}
		switch i := findIntent(o.ep, r.Name); {
		case i < 0:
			again = append(again, wire.Intent{Name: r.Name, Adapter: r.Adapter, Bytes: r.Bytes})
		case o.ep.Intents[i].Action == wire.ActionUnload:
			next = append(next, r) // stays charged until its unload has ended
		}
	}
	for _, in := range again {
		o.reload(in)
	}
	slices.SortFunc(next, func(a, b wire.Resident) int { return strings.Compare(a.Name, b.Name) })
	o.ep.Residents = next
	return !slices.Equal(residents, next) || !slices.Equal(intents, o.ep.Intents)
}

// reload orders again what has vanished without an unload. It adds no charge. Dropping the charge instead would be
// wrong, because a copy of the order that loaded it may still arrive.
func (o *observation) reload(in wire.Intent) {
	base := ""
	if in.Adapter {
		base = o.l.Base(in.Name)
	}
	o.l.add(o.ep, wire.Intent{Action: wire.ActionLoad, Name: in.Name, Adapter: in.Adapter, Base: base, Bytes: in.Bytes}, o.now)
}

// residents returns what the report shows in memory, in any state, but for loads that an intent is charged for.
func (o *observation) residents() []wire.Resident {
	var out []wire.Resident
	for _, r := range o.shown {
		i := findIntent(o.ep, r.Name)
		loading := i >= 0 && o.ep.Intents[i].Action == wire.ActionLoad && o.ended[o.ep.Intents[i].ID] == ""
		if r.State == "loading" && loading {
			continue
		}
		out = append(out, wire.Resident{Name: r.Name, Adapter: r.Adapter, Bytes: r.Bytes})
	}
	return out
}

type verdict uint8

const (
	dropIntent verdict = iota
	keepIntent
	repeatIntent
)

// judge decides what the report proves about an intent.
func (o *observation) judge(in wire.Intent) verdict {
	state, ended := o.ended[in.ID]
	shown, present := o.shown[in.Name]
	switch {
	case !ended:
		return keepIntent
	case in.Action == wire.ActionUnload:
		if state == "done" && present && shown.State != "ready" {
			return keepIntent
		}
		return dropIntent
	case present:
		return dropIntent
	case state == "done":
		return repeatIntent
	case o.l.Settled(o.ep.Endpoint, in.Name, o.now):
		delete(o.info.failed, in.ID)
		return dropIntent
	}
	o.info.failed[in.ID] = true
	return keepIntent
}

// Failed tells whether the order of an intent has ended without effect. Such an intent is charged until LateBound has
// passed and is not sent again.
func (l *Ledger) Failed(endpoint string, id uint64) bool { return l.info[endpoint].failed[id] }
