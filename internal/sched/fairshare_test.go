package sched

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// sharedFlood returns 16 accounts that use half of their quotas in total 0.75 of the capacity. The quotas are skewed: the i-th
// account has a share in proportion to 1/i. From 5 s to 13 s, the given accounts send a multiple of their usual rate.
func sharedFlood(seed uint64, hot map[int]float64) plainFlood {
	f := plainFlood{length: 22 * time.Second, objective: 300 * time.Millisecond, deadline: 4 * time.Second, seed: seed}
	sum := 0.0
	for i := range 16 {
		sum += 1 / float64(i+1)
	}
	for i := range 16 {
		usual := 0.75 * plainCapacity / float64(i+1) / sum
		f.accounts = append(f.accounts, floodAccount{
			name: fmt.Sprintf("account-%02d", i), perSec: 2 * usual,
			rate: func(now time.Duration) float64 {
				if times := hot[i]; times > 0 && now >= 5*time.Second && now < 13*time.Second {
					return times * usual
				}
				return usual
			},
		})
	}
	return f
}

// TestHotAccountsDelayNoOthers guards against accounts that send a multiple of their usual requests taking the slots from the
// others.
func TestHotAccountsDelayNoOthers(t *testing.T) {
	for _, test := range []struct {
		name string
		hot  map[int]float64
	}{
		{"largest account at 5 times its rate", map[int]float64{0: 5}},
		{"third account at 12 times its rate", map[int]float64{2: 12}},
		{"two accounts at 12 and 8 times their rates", map[int]float64{1: 12, 5: 8}},
		{"two small accounts at 12 times their rates", map[int]float64{9: 12, 14: 12}},
	} {
		var calm, hot, unshared plainFloodResult
		for seed := uint64(1); seed <= 6; seed++ {
			calm.add(sharedFlood(seed, nil).run(t))
			f := sharedFlood(seed, test.hot)
			hot.add(f.run(t))
			f.unshared = true
			unshared.add(f.run(t))
		}
		var calmOthers, hotOthers, unsharedOthers plainFloodResult
		worst := 0.0
		for i, a := range sharedFlood(1, nil).accounts {
			if test.hot[i] > 0 {
				continue
			}
			calmOthers.add(*calm.byAccount[a.name])
			hotOthers.add(*hot.byAccount[a.name])
			unsharedOthers.add(*unshared.byAccount[a.name])
			worst = max(worst, onTimeShare(calm.byAccount[a.name])-onTimeShare(hot.byAccount[a.name]))
		}
		calmOthers.log(t, test.name+", others without the excess:")
		unsharedOthers.log(t, test.name+", others without shares:")
		hotOthers.log(t, test.name+", others:")
		hot.log(t, test.name+", all:")
		t.Logf("median and 90th percentile of the others %v, %v without the excess, %v, %v with it, %v, %v without shares; the worst account loses %.1f%% on time",
			calmOthers.quantile(0.5), calmOthers.quantile(0.9), hotOthers.quantile(0.5), hotOthers.quantile(0.9), unsharedOthers.quantile(0.5),
			unsharedOthers.quantile(0.9), 100*worst)
		if lost := onTimeShare(&calmOthers) - onTimeShare(&hotOthers); lost > 0.02 || worst > 0.04 {
			t.Errorf("%s: the others lose %.3f on time, one of them %.3f", test.name, lost, worst)
		}
		// Without free slots, a request waits for the next end of a run, which takes 5 ms in the mean.
		for _, share := range []float64{0.5, 0.9} {
			if h, c := hotOthers.quantile(share), calmOthers.quantile(share); h > c+15*time.Millisecond {
				t.Errorf("%s: quantile %.1f of the others' times %v, %v without the excess", test.name, share, h, c)
			}
		}
	}
}

func onTimeShare(r *plainFloodResult) float64 { return float64(r.onTime) / float64(r.callers) }

// shareState returns a State with one slot of a plain service, which request 1 uses, and accounts with the given quotas.
func shareState(perSec map[string]float64) *State {
	v := testView(1, nil, 1)
	v.Config.Accounts = fleet.NewAccounts()
	for name, n := range perSec {
		v.Config.Accounts.Add(fleet.Account{Name: name, Limit: fleet.AccountLimit{PerSec: n, Burst: 1}}, nil)
	}
	s := New(0, testConfig(), v)
	s.Ask(0, "h", wire.Ask{ID: 1, Service: plainService, DeadlineMs: 60000, TargetMs: 60000})
	return s
}

// serveNext ends the running request, and returns the one that is granted instead.
func serveNext(t *testing.T, s *State, now time.Duration, running uint64) uint64 {
	t.Helper()
	answers(s)
	s.Done(now, "h", wire.Done{ID: running})
	for id, m := range answers(s) {
		if _, ok := m.(*wire.Grant); ok {
			return id
		}
	}
	t.Fatal("no request is granted")
	return 0
}

// TestSharesByWeight guards against shares of the slots that don't follow the quotas of the accounts that wait.
func TestSharesByWeight(t *testing.T) {
	perSec := map[string]float64{"a": 10, "b": 30, "c": 60}
	s := shareState(perSec)
	accounts := make(map[uint64]string)
	for i := range uint64(600) {
		id := i + 2
		accounts[id] = []string{"a", "b", "c"}[i%3]
		s.Ask(0, "h", wire.Ask{ID: id, Service: plainService, DeadlineMs: 60000, TargetMs: 60000, Account: accounts[id], Cost: 1, Charged: true})
	}
	served := make(map[string]float64)
	running := uint64(1)
	for i := range 200 {
		running = serveNext(t, s, time.Duration(i)*time.Millisecond, running)
		served[accounts[running]]++
	}
	for name, n := range perSec {
		if want := 2 * n; math.Abs(served[name]-want) > 5 {
			t.Errorf("account %s got %.0f of 200 slots, want %.0f", name, served[name], want)
		}
	}
}

// TestRouteRankBeforeShare guards against serving a request of a less urgent route first because its account has used less, and
// against a share that counts before the rank or the target.
func TestRouteRankBeforeShare(t *testing.T) {
	s := shareState(map[string]float64{"a": 10, "b": 10})
	ask := func(id uint64, account string, priority, routeRank uint8, targetMs uint32) {
		s.Ask(0, "h", wire.Ask{
			ID: id, Service: plainService, DeadlineMs: 60000, TargetMs: targetMs, Account: account, Cost: 1, Charged: true, Priority: priority, RouteRank: routeRank,
		})
	}
	ask(10, "b", 1, 0, 30000)
	ask(11, "b", 0, 1, 30000)
	ask(12, "a", 0, 0, 30000)
	ask(13, "a", 0, 0, 40000)
	ask(14, "a", 0, 0, 50000)
	ask(15, "a", 0, 0, 51000)
	ask(16, "b", 0, 0, 52000)
	ask(17, "a", 0, 0, 0) // late
	var got []uint64
	running := uint64(1)
	for i := range 8 {
		running = serveNext(t, s, time.Duration(i+1)*time.Millisecond, running)
		got = append(got, running)
	}
	if want := []uint64{12, 16, 13, 14, 15, 11, 10, 17}; !slices.Equal(got, want) {
		t.Errorf("served in the order %v, want %v", got, want)
	}
}

// TestOrderOfOneAccount guards against an order of the requests of one account, or of those without one, other than by target.
func TestOrderOfOneAccount(t *testing.T) {
	for _, account := range []string{"", "a", "unknown"} {
		s := shareState(map[string]float64{"a": 10})
		for _, id := range []uint64{7, 3, 9, 5} {
			s.Ask(0, "h", wire.Ask{ID: id, Service: plainService, DeadlineMs: 60000, TargetMs: uint32(id) * 1000, Account: account})
		}
		running := uint64(1)
		for i, want := range []uint64{3, 5, 7, 9} {
			if running = serveNext(t, s, time.Duration(i)*time.Millisecond, running); running != want {
				t.Errorf("account %q: request %d is served, want %d", account, running, want)
			}
		}
	}
}

// TestSharesAreForgotten guards against memory that grows with the number of accounts, and against requests that are not
// granted for want of it.
func TestSharesAreForgotten(t *testing.T) {
	s := shareState(nil)
	s.Done(0, "h", wire.Done{ID: 1})
	const accounts = maxShareFlows + 100
	for id := uint64(10); id < 10+accounts; id++ {
		s.Ask(0, "h", wire.Ask{ID: id, Service: plainService, DeadlineMs: 60000, TargetMs: 60000, Account: fmt.Sprint(id)})
		if _, ok := answers(s)[id].(*wire.Grant); !ok {
			t.Fatalf("request %d is not granted", id)
		}
		s.Done(0, "h", wire.Done{ID: id})
	}
	g := s.serviceEstimateOf(plainService)
	if n := len(g.shares[shareKey{}].flows); n > maxShareFlows+1 {
		t.Errorf("the use of %d accounts is remembered", n)
	}
	s.Tick(shareLife + time.Second)
	if len(g.shares) != 0 {
		t.Errorf("%d ranks are remembered after %v", len(g.shares), shareLife)
	}
}
