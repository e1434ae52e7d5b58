package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// quotaTestSettings are those of the operators' platform.
var quotaTestSettings = QuotaSettings{Window: 8 * time.Second, Over: 0.1, Slack: 17000}

// quotaView returns a view with a plain service of ample slots and accounts a0, a1, ... that have the given limits.
func quotaView(hosts int, accounts ...fleet.AccountLimit) *fleet.View {
	v := testView(1_000_000, nil, 1)
	for i := range hosts {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
	}
	v.Config.Accounts = fleet.NewAccounts()
	for i, l := range accounts {
		v.Config.Accounts.Add(fleet.Account{Name: fmt.Sprint("a", i), Limit: l}, nil)
	}
	return v
}

// tokens returns a limit in tokens.
func tokens(perSec, burst float64) fleet.AccountLimit {
	return fleet.AccountLimit{PerSec: perSec, Burst: burst, ByTokens: true}
}

// quotaState returns a State with connected hosts h0, h1, ...
func quotaState(now time.Duration, v *fleet.View, q QuotaSettings, hosts int) *State {
	c := testConfig()
	c.Quotas = q
	s := New(now, c, v)
	for i := range hosts {
		s.HostUp(now, fmt.Sprint("h", i))
	}
	return s
}

// beat lets time pass until now, with the messages and ticks that a dispatcher gets from the hosts h0, h1, ...
func beat(s *State, now time.Duration, hosts int) {
	for t := s.now + 50*time.Millisecond; t <= now; t += 50 * time.Millisecond {
		for i := range hosts {
			s.Cancel(t, fmt.Sprint("h", i), 0)
		}
		s.Tick(t)
	}
}

// costing returns an ask of account a0.
func costing(id uint64, cost float64) wire.Ask {
	return wire.Ask{ID: id, Service: plainService, DeadlineMs: 2000, TargetMs: 300, Account: "a0", Cost: cost}
}

// askQuota sends an ask and returns the final answer.
func askQuota(s *State, now time.Duration, host string, a wire.Ask) wire.Message {
	s.Ask(now, host, a)
	return answers(s)[a.ID]
}

// level returns the units that account a0 may use now.
func level(s *State) float64 {
	b, _ := s.quotaOf("a0", s.limitOf("a0"))
	return b.Level
}

// TestOverLimit guards against requests over the quota that are served, and against a Retry-After before the bucket holds the units
// of the request and of those refused before it.
func TestOverLimit(t *testing.T) {
	s := quotaState(0, quotaView(1, tokens(1000, 2000)), QuotaSettings{}, 1)
	beat(s, 5*time.Second, 1)
	for i, c := range []struct {
		cost    float64
		retryMs uint32 // 0 if granted
	}{{1500, 0}, {1000, 500}, {600, 1100}, {400, 0}, {200, 1700}} {
		switch m := askQuota(s, s.now, "h0", costing(uint64(i+1), c.cost)).(type) {
		case *wire.Grant:
			if c.retryMs != 0 {
				t.Errorf("request %d was granted", i)
			}
		case *wire.Refuse:
			if c.retryMs == 0 || !m.OverLimit || m.RetryAfterMs != c.retryMs {
				t.Errorf("request %d: %+v, want a retry after %d ms", i, m, c.retryMs)
			}
		default:
			t.Errorf("request %d: %#v", i, m)
		}
	}
}

// TestLongRetryOfOverLimit guards against a retry time that is cut at the one for refusals without capacity: callers return
// although their account has no units yet.
func TestLongRetryOfOverLimit(t *testing.T) {
	s := quotaState(0, quotaView(1, tokens(100, 1000)), QuotaSettings{}, 1)
	m := askQuota(s, 0, "h0", costing(1, 1000)).(*wire.Refuse)
	if m.RetryAfterMs != 10000 {
		t.Errorf("retry after %d ms, want 10000", m.RetryAfterMs)
	}
}

// TestQuotaRefunds guards against units that stay used for requests that haven't run, and against a refund for requests that may have.
func TestQuotaRefunds(t *testing.T) {
	for name, c := range map[string]struct {
		slots    int // 0 if the request waits
		end      func(s *State, now time.Duration)
		refunded bool
	}{
		"endpoint refused": {1, func(s *State, now time.Duration) {
			s.Done(now, "h0", wire.Done{ID: 1, Endpoint: "p0", Outcome: uint8(attempt.Refused)})
		}, true},
		"not sent": {1, func(s *State, now time.Duration) {
			s.Done(now, "h0", wire.Done{ID: 1, Endpoint: "p0", Outcome: uint8(attempt.NotSent)})
		}, true},
		"answered": {1, func(s *State, now time.Duration) {
			s.Done(now, "h0", wire.Done{ID: 1, Endpoint: "p0", Outcome: uint8(attempt.Answered), TotalMs: 5})
		}, false},
		"unknown": {1, func(s *State, now time.Duration) {
			s.Done(now, "h0", wire.Done{ID: 1, Endpoint: "p0", Outcome: uint8(attempt.Unknown)})
		}, false},
		"grant not used":       {1, func(s *State, now time.Duration) { s.Cancel(now, "h0", 1) }, true},
		"waiting, cancelled":   {0, func(s *State, now time.Duration) { s.Cancel(now, "h0", 1) }, true},
		"waiting, host lost":   {0, func(s *State, now time.Duration) { s.HostDown(now, "h0"); s.HostUp(now, "h0") }, true},
		"granted, host lost":   {1, func(s *State, now time.Duration) { s.HostDown(now, "h0"); s.HostUp(now, "h0") }, false},
		"waiting, not in time": {0, func(s *State, now time.Duration) { beat(s, now+3*time.Second, 2) }, true},
		"running after resync": {1, func(s *State, now time.Duration) { s.Resync(now, "h0", runningResync()) }, false},
		"waiting after resync": {0, func(s *State, now time.Duration) { s.Resync(now, "h0", wire.Resync{}) }, true},
		"not run after resync": {1, func(s *State, now time.Duration) { s.Resync(now, "h0", runningResync()); notRun(s, now) }, true},
		"refused without a repeat": {1, func(s *State, now time.Duration) {
			a := costing(3, 1000)
			a.Retry, a.SharedRetry = true, true
			if m, ok := askQuota(s, now, "h0", a).(*wire.Refuse); !ok || m.OverLimit {
				t.Errorf("%#v, want a refusal for want of a repeat", m)
			}
			s.Cancel(now, "h0", 1)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := quotaView(2, tokens(1000, 8000))
			s := quotaState(0, v, QuotaSettings{}, 2)
			beat(s, 9*time.Second, 2)
			v.Endpoints[0].Slots = 1
			s.SetView(s.now, v)
			if c.slots == 0 {
				s.Ask(s.now, "h1", wire.Ask{ID: 9, Service: plainService, DeadlineMs: 2000, TargetMs: 300})
			}
			level(s)
			s.quotas.byAccount["a0"].Level = 4000 // so that a refund fits
			before := level(s)
			s.Ask(s.now, "h0", costing(1, 1000))
			served := s.quotas.served
			c.end(s, s.now)
			got := level(s) - 1000*(s.quotas.served-served).Seconds()
			want := before
			if !c.refunded {
				want -= 1000
			}
			if math.Abs(got-want) > 1e-6 {
				t.Errorf("level %v after the end, want %v", got, want)
			}
		})
	}
}

func runningResync() wire.Resync {
	return wire.Resync{Running: []wire.Running{{Ask: costing(1, 1000), Endpoint: "p0"}}}
}

func notRun(s *State, now time.Duration) {
	s.Done(now, "h0", wire.Done{ID: 1, Endpoint: "p0", Outcome: uint8(attempt.NotSent)})
}

// TestNoDoubleCharge guards against units that are counted again for a request whose earlier attempt was charged, or that is a
// second attempt beside the first.
func TestNoDoubleCharge(t *testing.T) {
	s := quotaState(0, quotaView(1, tokens(1000, 2000)), QuotaSettings{}, 1)
	charged, speculative := costing(1, 3000), costing(2, 3000)
	charged.Retry, charged.Charged, speculative.Speculative = true, true, true
	if _, ok := askQuota(s, 0, "h0", charged).(*wire.Grant); !ok {
		t.Error("a charged request was refused")
	}
	if m, ok := askQuota(s, 0, "h0", speculative).(*wire.Refuse); ok && m.OverLimit {
		t.Error("a speculative request was refused over the limit")
	}
	s.Resync(0, "h0", runningResync())
	if l := level(s); l != 0 {
		t.Errorf("level %v, want 0", l)
	}
}

// TestChosenEndpointIsCharged guards against requests that hosts send without the dispatcher and that count against nothing: the
// balance may become negative.
func TestChosenEndpointIsCharged(t *testing.T) {
	s := quotaState(0, quotaView(1, tokens(1000, 2000)), QuotaSettings{}, 1)
	a := costing(1, 700)
	a.ChosenEndpoint = "p0"
	s.Ask(0, "h0", a)
	if l := level(s); l != -700 {
		t.Errorf("level %v, want -700", l)
	}
}

// TestFrozenDispatcher guards against a refill for the time of a freeze: the hosts may have used the quota elsewhere meanwhile.
func TestFrozenDispatcher(t *testing.T) {
	s := quotaState(0, quotaView(4, tokens(1000, 9000)), QuotaSettings{}, 4)
	beat(s, 2*time.Second, 4)
	before := level(s)
	for i := range 4 { // messages that were sent before the hosts left
		s.Cancel(7*time.Second, fmt.Sprint("h", i), 0)
	}
	if l := level(s); l > before+300 {
		t.Errorf("level %v after a freeze of 5s, %v before", l, before)
	}
}

// TestIsolatedDispatcher guards against a dispatcher that keeps refilling a quota for hosts that no longer reach it.
func TestIsolatedDispatcher(t *testing.T) {
	s := quotaState(0, quotaView(4, tokens(1000, 9000)), QuotaSettings{}, 4)
	beat(s, 2*time.Second, 4)
	before := level(s)
	beat(s, 6*time.Second, 1)
	if before <= 9000/8 {
		t.Fatalf("level %v before the partition", before)
	}
	if l := level(s); l > 9000/4 {
		t.Errorf("level %v, want at most the share of one of four hosts", l)
	}
}

// TestInitialCreditOnce guards against hosts that reconnect and get their part of the initial credit each time.
func TestInitialCreditOnce(t *testing.T) {
	s := quotaState(0, quotaView(4, tokens(1000, 9000)), quotaTestSettings, 2)
	want := quotaCreditShare * (0.1*17000 + 17000) / 2
	for range 5 {
		s.HostDown(0, "h1")
		s.HostUp(0, "h1")
	}
	if l := level(s); math.Abs(l-want) > 1e-6 {
		t.Errorf("level %v with two of four hosts, want %v", l, want)
	}
}

// TestLoweredLimit guards against a bucket that keeps the units of a higher limit.
func TestLoweredLimit(t *testing.T) {
	s := quotaState(0, quotaView(1, tokens(1000, 9000)), QuotaSettings{}, 1)
	beat(s, 9*time.Second, 1)
	s.SetView(s.now, quotaView(1, tokens(1000, 500)))
	if l := level(s); l > 500 {
		t.Errorf("level %v, want at most 500", l)
	}
}

// TestAccountAddedAgain guards against a full bucket for an account that is removed and added again after it has used its units.
func TestAccountAddedAgain(t *testing.T) {
	v := quotaView(1, tokens(1000, 9000))
	s := quotaState(0, v, quotaTestSettings, 1)
	beat(s, 9*time.Second, 1)
	askQuota(s, s.now, "h0", costing(1, 9000))
	before := level(s)
	s.SetView(s.now, quotaView(1))
	s.SetView(s.now, v)
	if l := level(s); l != before {
		t.Errorf("level %v, want %v", l, before)
	}
}

// TestUnknownAccount guards against refusing requests of an account that this host's configuration doesn't have yet.
func TestUnknownAccount(t *testing.T) {
	s := quotaState(0, quotaView(1), QuotaSettings{}, 1)
	if _, ok := askQuota(s, 0, "h0", costing(1, 9000)).(*wire.Grant); !ok {
		t.Error("not granted")
	}
}

// TestHostQuotas guards against a host without a dispatcher that uses more than its part of a quota, or units from the time when a
// dispatcher had that part.
func TestHostQuotas(t *testing.T) {
	a := &fleet.Account{Name: "a0", Limit: tokens(4000, 8000)}
	h := NewHostQuotas()
	h.SetHosts(4)
	h.SetHosts(1) // a view that has shrunk
	take := func(now, since time.Duration, units float64) bool {
		return h.Take(now, since, QuotaSettings{}, a, units)
	}
	if take(10*time.Second, 9*time.Second, 1001) || !take(10*time.Second, 9*time.Second, 1000) || take(10*time.Second, 9*time.Second, 1) {
		t.Error("not 1000 units in the first second")
	}
	h.Return(9*time.Second, "a0", 600)
	if !take(10*time.Second, 9*time.Second, 600) {
		t.Error("returned units are not available")
	}
	if take(11*time.Second, 11*time.Second, 1) {
		t.Error("units from before the dispatcher was heard again")
	}
	h.Return(9*time.Second, "a0", 600)
	if take(11*time.Second, 11*time.Second, 1) {
		t.Error("units returned for an earlier time")
	}
	if take(99*time.Second, 11*time.Second, 2001) || !take(99*time.Second, 11*time.Second, 2000) {
		t.Error("the capacity is not a quarter of the burst")
	}
}

// TestManyDepartures guards against an account that keeps the units of hosts that left while the account was not used, also when
// more hosts left than are remembered.
func TestManyDepartures(t *testing.T) {
	const hosts = maxQuotaCuts + 20
	for _, left := range []int{1, hosts - 1} {
		s := quotaState(0, quotaView(hosts, tokens(1000, 4000)), QuotaSettings{}, hosts)
		beat(s, 5*time.Second, hosts)
		if l := level(s); l < 3900 {
			t.Fatalf("level %v before, want a full bucket", l)
		}
		for i := range left {
			s.HostDown(s.now, fmt.Sprint("h", hosts-1-i))
		}
		for i := range left {
			s.HostUp(s.now, fmt.Sprint("h", hosts-1-i))
		}
		if l, most := level(s), 4000*float64(hosts-left)/hosts; l > most+1e-6 || left == 1 && l < 0.9*most {
			t.Errorf("level %v after %d of %d hosts had left, want at most %v", l, left, hosts, most)
		}
	}
}
