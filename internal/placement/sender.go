package placement

import (
	"cmp"
	"slices"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// ResendAfter is the time after which the order of an unresolved intent is sent again with the same id. Engines execute
// an id once, so a repeated order costs a call and nothing else.
const ResendAfter = time.Second

// Send is an order that may be sent now.
type Send struct {
	Endpoint string
	Intent   wire.Intent
}

// Sender decides which stored intents are sent when, within the budget of the weight store. An intent of an earlier
// holder is sent again under the same rules: only its execution proves that it is not executed later.
type Sender struct {
	budget Budget
	sent   map[orderKey]time.Time // latest sending by this holder
}

// orderKey names an order. Cells count their ids separately, so inherited intents may share one at different endpoints.
type orderKey struct {
	endpoint string
	id       uint64
}

// Due returns the orders to send now. All intents of the ledger must have been stored.
func (s *Sender) Due(now time.Time, snap *config.Snapshot, l *Ledger, alive map[string]bool) []Send {
	s.budget.Configure(snap.WeightStore, now)
	var out, fresh []Send
	models, adapters := 0, 0
	seen := make(map[orderKey]time.Time)
	ready := readyCopies(l, alive)
	for i := range l.p.Endpoints {
		ep := &l.p.Endpoints[i]
		if !alive[ep.Endpoint] || snap.Endpoint(ep.Endpoint) == nil {
			continue
		}
		for _, in := range ep.Intents {
			at, sent := s.sent[orderKey{ep.Endpoint, in.ID}]
			if sent {
				seen[orderKey{ep.Endpoint, in.ID}] = at
			}
			switch {
			case l.Failed(ep.Endpoint, in.ID):
			case sent || in.Action == wire.ActionUnload:
				if in.Action == wire.ActionLoad && in.Adapter {
					adapters++
				} else if in.Action == wire.ActionLoad {
					models++
				}
				if !sent || now.Sub(at) >= ResendAfter {
					out = append(out, Send{ep.Endpoint, in})
				}
			case !in.Adapter || snap.Model(in.Base) == nil || findResident(ep, in.Base) >= 0:
				fresh = append(fresh, Send{ep.Endpoint, in})
			}
		}
	}
	slices.SortStableFunc(fresh, func(a, b Send) int {
		return cmp.Or(cmp.Compare(ready[a.Intent.Name], ready[b.Intent.Name]), cmp.Compare(a.Intent.ID, b.Intent.ID))
	})
	for _, f := range fresh {
		if !s.budget.take(f.Intent.Adapter, models, adapters) {
			continue
		}
		if f.Intent.Adapter {
			adapters++
		} else {
			models++
		}
		out = append(out, f)
	}
	s.sent = seen
	for _, o := range out {
		s.sent[orderKey{o.Endpoint, o.Intent.ID}] = now
		if o.Intent.Action == wire.ActionLoad {
			l.Sent(o.Endpoint, o.Intent.Name, now)
		}
	}
	return out
}

// readyCopies returns 1 for each name with a resident copy on a live endpoint that is not leaving.
func readyCopies(l *Ledger, alive map[string]bool) map[string]int {
	out := make(map[string]int)
	for i := range l.p.Endpoints {
		ep := &l.p.Endpoints[i]
		if !alive[ep.Endpoint] || ep.Leaving {
			continue
		}
		for _, r := range ep.Residents {
			out[r.Name] = 1
		}
	}
	return out
}
