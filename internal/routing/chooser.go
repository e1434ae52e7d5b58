package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

// Policy names how endpoints are chosen.
type Policy string

// Policies. All but the first two are decided by each entry alone; all but PolicyDispatcher and PolicyIndependent are
// baselines for measurements.
const (
	PolicyDispatcher  Policy = "dispatcher"
	PolicyFirstCome   Policy = "first-come" // a dispatcher without ranks and callers
	PolicyIndependent Policy = "independent"
	PolicyTwoChoices  Policy = "two-choices"
	PolicyRoundRobin  Policy = "round-robin"
)

// Chooser is an entry's decision without the dispatcher. It knows the entry's own work exactly and assumes that the
// other entries have sent as much. Time is monotonic since an arbitrary start. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	rng    *rand.Rand
	eject  *Ejector
	own    map[string]int // requests of this entry in progress, by endpoint
	next   uint64
}

// NewChooser returns a Chooser whose random choices depend on the seed only.
func NewChooser(policy Policy, seed uint64) *Chooser {
	return &Chooser{policy: policy, rng: rand.New(rand.NewPCG(seed, 3)), eject: NewEjector(seed), own: make(map[string]int)}
}

// Choose returns an endpoint for the request among the residents of its model, or "" if there is none. With limited set,
// an endpoint whose slots, divided by the number of entries, are in use by this entry is left out.
func (c *Chooser) Choose(now time.Duration, v *View, ask *wire.Ask, entries int, limited bool) string {
	entries = max(entries, 1)
	all := c.eject.Allowed(now, v.Residents(ask.Model))
	res := make([]string, 0, len(all))
	for _, e := range all {
		if slices.Contains(ask.Exclude, e) || limited && c.own[e] >= StaticShare(slots(v, e), entries) {
			continue
		}
		res = append(res, e)
	}
	if len(res) == 0 {
		return ""
	}
	switch c.policy {
	case PolicyRoundRobin:
		c.next++
		return res[c.next%uint64(len(res))]
	case PolicyTwoChoices:
		a, b := res[c.rng.IntN(len(res))], res[c.rng.IntN(len(res))]
		if reported(v, b) < reported(v, a) {
			return b
		}
		return a
	}
	return c.best(v, res, entries)
}

// best returns the endpoint with the least estimated load per slot; ties are broken at random.
func (c *Chooser) best(v *View, res []string, entries int) string {
	best, load, ties := "", 0.0, 0
	for _, e := range res {
		l := float64(c.own[e]*entries) / float64(slots(v, e))
		switch {
		case best == "" || l < load:
			best, load, ties = e, l, 1
		case l == load:
			ties++
			if c.rng.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// StaticShare returns how many of an endpoint's slots one of several entries may use on its own decision: at least one,
// so that every model stays reachable.
func StaticShare(slots, entries int) int { return max(slots/max(entries, 1), 1) }

func slots(v *View, endpoint string) int {
	if d := v.Snapshot.Endpoint(endpoint); d != nil {
		return max(d.Slots, 1)
	}
	return 1
}

func reported(v *View, endpoint string) float64 {
	s := v.States[endpoint]
	return float64(s.Running+s.Waiting) / float64(slots(v, endpoint))
}

// Started counts a request of this entry at an endpoint, whoever chose it.
func (c *Chooser) Started(endpoint string) { c.own[endpoint]++ }

// Own returns the number of this entry's requests in progress at an endpoint.
func (c *Chooser) Own(endpoint string) int { return c.own[endpoint] }

// Ended takes back Started and records whether the endpoint failed.
func (c *Chooser) Ended(now time.Duration, endpoint string, failed bool) {
	if c.own[endpoint]--; c.own[endpoint] <= 0 {
		delete(c.own, endpoint)
	}
	c.eject.Report(now, endpoint, failed)
}
