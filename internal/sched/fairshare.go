package sched

import (
	"math"
	"time"
)

// Slots are shared between accounts by start-time fair queueing. In every rank of a service, each account has a virtual time:
// the seconds of its quota that its requests have used. Among waiting requests of one rank that can still be on time, or among
// those that can't, the next slot goes to the account with the least virtual time. A hot account therefore waits for its own
// requests, and not the others for them. The virtual time of the rank is the largest at which a request has been granted. An
// account that asks for less than its share falls behind it by at most two bursts, so that an idle account doesn't save up
// slots but may send its burst at once. Requests without an account count together as one account.

const (
	maxShareFlows = 4096 // accounts per rank of a service; bounds the memory. Further ones count as requests without an account
	maxShareRanks = 64   // ranks per service; requests of further ones are served without regard to accounts
	rateSmoothing = 0.02 // for the mean rate of accounts
	// lagBursts is how many bursts of its quota an account may be behind the rank. With one, the smallest accounts lost up to
	// 6% of their answers on time beside a hot one, in seconds in which two clumps of their requests came; with two, up to 3%.
	lagBursts = 2
	// maxBurstTime limits the burst to that of a second. An idle account with a quota for long bursts would otherwise take all
	// slots for as long.
	maxBurstTime = 1.0 // seconds
	// shareLife is how long the use of an account counts after its last granted request.
	shareLife = 10 * time.Second
)

// shareKey is the rank of a request.
type shareKey struct{ priority, routeRank uint8 }

// shareRank holds the virtual times of the accounts with requests of one rank of a service.
type shareRank struct {
	virtual  float64
	flows    map[string]*shareFlow // by account
	meanRate float64               // mean requests per second of the accounts with a quota; the rate of those without one
}

// shareFlow is the use of one account.
type shareFlow struct {
	used      float64 // virtual time after its last granted request
	lag       float64 // how far the account may be behind the rank
	step      float64 // mean charge of a request
	grantedAt time.Duration
}

// account returns the account under which a request is counted.
func (k *shareRank) account(r *request) string {
	if k.flows[r.ask.Account] == nil && len(k.flows) >= maxShareFlows {
		return ""
	}
	return r.ask.Account
}

// at returns the virtual time at which a flow is served next.
func (k *shareRank) at(f *shareFlow) float64 { return max(f.used, k.virtual-f.lag) }

// shareRankOf returns the virtual times for the rank of a request, or nil if no request of the rank had an account.
func (s *State) shareRankOf(r *request) *shareRank {
	return s.serviceEstimateOf(r.ask.Service).shares[shareKey{r.ask.Priority, r.ask.RouteRank}]
}

// charge returns the seconds of its account's quota that a request uses, and how far the account may be behind the rank.
func (s *State) charge(k *shareRank, r *request) (cost, lag float64) {
	if l := s.limitOf(r.ask.Account); l != nil {
		units := r.ask.Cost
		if units <= 0 {
			units = 1
			if l.ByTokens {
				units = max(l.PlainCost, 1)
			}
		}
		burst := max(min(l.Burst, maxBurstTime*l.PerSec), clump*units)
		return units / l.PerSec, lagBursts * burst / l.PerSec
	}
	rate := 1.0
	if k != nil && k.meanRate > 0 {
		rate = k.meanRate
	}
	return 1 / rate, lagBursts * clump / rate
}

// share returns the virtual time at which the next request of r's account is served, and the mean charge of the account's
// requests. Both are 0 if the rank has no accounts.
func (s *State) share(r *request) (at, step float64) {
	k := s.shareRankOf(r)
	if k == nil {
		return 0, 0
	}
	if f := k.flows[k.account(r)]; f != nil {
		return k.at(f), f.step
	}
	cost, lag := s.charge(k, r)
	return k.virtual - lag, cost
}

// chargeShare counts a granted request towards the share of its account.
func (s *State) chargeShare(r *request) {
	g := s.serviceEstimateOf(r.ask.Service)
	key := shareKey{r.ask.Priority, r.ask.RouteRank}
	k := g.shares[key]
	if k == nil {
		if r.ask.Account == "" || len(g.shares) >= maxShareRanks {
			return
		}
		if g.shares == nil {
			g.shares = make(map[shareKey]*shareRank)
		}
		k = &shareRank{flows: make(map[string]*shareFlow)}
		g.shares[key] = k
	}
	cost, lag := s.charge(k, r)
	if r.ask.Cost > 0 {
		k.meanRate = smoothed(k.meanRate, 1/cost, rateSmoothing)
	}
	name := k.account(r)
	f := k.flows[name]
	if f == nil {
		f = &shareFlow{used: math.Inf(-1), step: cost}
		k.flows[name] = f
	}
	f.lag, f.grantedAt = lag, s.now
	f.step += holdSmoothing * (cost - f.step)
	at := k.at(f)
	f.used = at + cost
	k.virtual = max(k.virtual, at)
}

// forgetShares drops the accounts that are as far behind their rank as idle ones or have been idle, and the ranks without
// accounts.
func (g *serviceEstimate) forgetShares(now time.Duration) {
	for key, k := range g.shares {
		for name, f := range k.flows {
			if f.used <= k.virtual-f.lag || now-f.grantedAt > shareLife {
				delete(k.flows, name)
			}
		}
		if len(k.flows) == 0 {
			delete(g.shares, key)
		}
	}
}
