package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// retryFleet simulates hosts that send as many retries as they may, under dispatchers that change.
type retryFleet struct {
	limits      RetryLimits
	rng         *rand.Rand
	now         time.Duration
	view        *fleet.View
	dispatchers []*State
	hosts       []*retryHost
	lastID      uint64
	requests    []time.Duration // times of the requests of callers
	retries     []time.Duration // times at which retries may have arrived, of which only one counts for each
	pending     []pendingRetry
	byHost      int // retries that hosts sent by themselves
	lent        int // retries that dispatchers lent
}

type retryHost struct {
	name       string
	retries    *HostRetries
	dispatcher int // index of the dispatcher in use, -1 if the host decides alone
}

// pendingRetry is a retry that was sent and has no outcome yet.
type pendingRetry struct {
	host, dispatcher int // dispatcher is -1 if the host sent it by itself
	id               uint64
	until            time.Duration
}

func newRetryFleet(seed uint64, hosts, dispatchers int) *retryFleet {
	f := &retryFleet{limits: testConfig().Retries, rng: rand.New(rand.NewPCG(seed, 1)), view: testView(10000, nil, 1)}
	for i := range hosts {
		f.view.Hosts = append(f.view.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
		f.hosts = append(f.hosts, &retryHost{name: fmt.Sprint("h", i), retries: NewHostRetries(0)})
	}
	for range dispatchers {
		f.dispatchers = append(f.dispatchers, f.newDispatcher())
	}
	for _, h := range f.hosts {
		f.turnTo(h, 0, false)
	}
	return f
}

func (f *retryFleet) newDispatcher() *State {
	return New(f.now, Config{Seed: 1, Retries: f.limits}, f.view)
}

// turnTo makes a host use another dispatcher. The one before does not notice if it is cut off.
func (f *retryFleet) turnTo(h *retryHost, dispatcher int, unnoticed bool) {
	if h.dispatcher >= 0 && !unnoticed {
		f.dispatchers[h.dispatcher].HostDown(f.now, h.name)
	}
	if h.dispatcher = dispatcher; dispatcher >= 0 {
		f.dispatchers[dispatcher].HostUp(f.now, h.name)
	}
}

// disturb changes the dispatcher of a host, restarts a host, or replaces a dispatcher.
func (f *retryFleet) disturb() {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	switch f.rng.IntN(8) {
	case 0: // the dispatcher is lost, and all its hosts turn to another one or decide alone
		lost, next := f.rng.IntN(len(f.dispatchers)), f.rng.IntN(len(f.dispatchers)+1)-1
		f.dispatchers[lost] = f.newDispatcher()
		for _, x := range f.hosts {
			if x.dispatcher == lost {
				x.dispatcher = -1
				f.turnTo(x, next, false)
			}
		}
	case 1:
		h.retries = NewHostRetries(f.now)
		f.pending = slices.DeleteFunc(f.pending, func(p pendingRetry) bool { return f.hosts[p.host] == h })
		f.turnTo(h, f.rng.IntN(len(f.dispatchers)), false)
	default:
		f.turnTo(h, f.rng.IntN(len(f.dispatchers)+1)-1, f.rng.IntN(2) == 0)
	}
}

// step lets each host send a request and several retries, and ends earlier ones.
func (f *retryFleet) step(requestShare float64) {
	f.pending = slices.DeleteFunc(f.pending, func(p pendingRetry) bool {
		if p.until > f.now {
			return false
		}
		h := f.hosts[p.host]
		if p.dispatcher < 0 {
			h.retries.Settle(f.now, plainService)
		} else if h.dispatcher == p.dispatcher {
			f.dispatchers[p.dispatcher].Done(f.now, h.name, wire.Done{ID: p.id, TotalMs: 1})
		}
		return true
	})
	for i, h := range f.hosts {
		h.retries.SetHosts(len(f.hosts))
		if f.rng.Float64() < requestShare {
			h.retries.AddRequest(f.now, plainService, f.limits)
			f.requests = append(f.requests, f.now)
		}
		for range 3 {
			f.retry(i, h)
		}
	}
}

// retry sends a retry of a host if it may.
func (f *retryFleet) retry(i int, h *retryHost) {
	f.lastID++
	p := pendingRetry{host: i, dispatcher: -1, id: f.lastID, until: f.now + time.Duration(f.rng.Int64N(int64(2*time.Second)))}
	if h.retries.Reserve(f.now, plainService, f.limits) {
		f.byHost++
	} else {
		if h.dispatcher < 0 {
			return
		}
		p.dispatcher = h.dispatcher
		d := f.dispatchers[h.dispatcher]
		d.Ask(f.now, h.name, wire.Ask{ID: p.id, Service: plainService, DeadlineMs: 1000, TargetMs: 300, Retry: true, SharedRetry: true})
		if _, ok := answers(d)[p.id].(*wire.Grant); !ok {
			return
		}
		f.lent++
	}
	f.pending = append(f.pending, p)
	f.retries = append(f.retries, f.now+time.Duration(f.rng.Float64()*float64(p.until-f.now)))
}

// inWindow returns how many of the sorted times lie in the window from a time on.
func inWindow(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+window)
	return end - first
}

// check fails if some window has more retries than allowed: by the requests in it, in the window before, or half a window
// before, whichever has most.
func (f *retryFleet) check(t *testing.T, what string) {
	t.Helper()
	slices.Sort(f.retries)
	w := f.limits.Window
	for _, from := range f.retries {
		requests := max(inWindow(f.requests, from, w), inWindow(f.requests, from-w, w), inWindow(f.requests, from-w/2, w))
		if n, allowed := inWindow(f.retries, from, w), f.limits.Ratio*float64(requests)+f.limits.Extra; float64(n) > allowed {
			t.Fatalf("%s: %d retries in %v from %v on, %.0f are allowed for %d requests", what, n, w, from, allowed, requests)
		}
	}
}

// TestRetriesBounded guards against hosts and dispatchers that together exceed the retries that are allowed (BUDGET), while
// dispatchers are lost and replaced, hosts are cut off, turn from one to another and restart, and all of them retry whatever
// they may. With a budget for each dispatcher that assumed 0.4 of the extra retries as used, 425 retries reached the servers in
// ten seconds, of 384 allowed.
func TestRetriesBounded(t *testing.T) {
	for seed := range uint64(30) {
		f := newRetryFleet(seed, 2+int(seed)%12, 1+int(seed)%4)
		disturbEvery := time.Duration(100+100*(seed%7)) * time.Millisecond
		const tick = 20 * time.Millisecond
		for ; f.now < time.Minute; f.now += tick {
			if f.now > 15*time.Second && f.now%disturbEvery < tick {
				f.disturb()
			}
			share := 0.2
			if f.now/(5*time.Second)%3 == 1 {
				share = 0.5 // more requests for some seconds
			}
			f.step(share)
		}
		if f.lent == 0 && seed%7 > 4 || f.byHost == 0 {
			t.Errorf("seed %d: %d retries by hosts, %d lent", seed, f.byHost, f.lent)
		}
		f.check(t, fmt.Sprint("seed ", seed))
	}
}

// TestRetriesOfCalmFleet guards against a bound that leaves much of the allowed retries unused while one dispatcher serves all
// hosts, also for one that alone has failures.
func TestRetriesOfCalmFleet(t *testing.T) {
	f := newRetryFleet(1, 4, 1)
	const tick = 20 * time.Millisecond
	run := func(until time.Duration) {
		for ; f.now < until; f.now += tick {
			f.step(0.2)
		}
	}
	run(40 * time.Second)
	slices.Sort(f.retries)
	w := f.limits.Window
	from := 30*time.Second - w/2
	allowed := f.limits.Ratio*float64(inWindow(f.requests, from, w)) + f.limits.Extra
	// The parts leave a fifth unused, and a retry counts for up to 12.5 s: until its outcome and a window, in buckets of 0.5 s.
	if n := inWindow(f.retries, from, w); float64(n) < 0.8*10/12.5*allowed {
		t.Errorf("%d retries in %v, %.0f are allowed", n, w, allowed)
	}
	f.check(t, "calm")
	f.now += 2 * w
	before := f.lent
	for range 200 {
		for _, h := range f.hosts {
			f.dispatchers[0].hear(f.now, h.name)
		}
		f.retry(0, f.hosts[0])
	}
	if n, shared := f.lent-before, sharedRetryShare*f.limits.Extra; n != int(shared) {
		t.Errorf("a host that alone has failures got %d retries lent, want %.0f", n, shared)
	}
}

// TestRestartedHostRetries guards against a host that uses its share of the extra retries again after each restart, and against
// one that has just started and can't retry its first requests at all.
func TestRestartedHostRetries(t *testing.T) {
	limits := testConfig().Retries
	h := NewHostRetries(time.Hour)
	h.SetHosts(4)
	count := func(now time.Duration) int {
		n := 0
		for h.Reserve(now, plainService, limits) {
			h.Settle(now, plainService)
			n++
		}
		return n
	}
	for range 50 {
		h.AddRequest(time.Hour, plainService, limits)
	}
	if n, want := count(time.Hour+time.Second), int(retryRatioShare*limits.Ratio*50+youngRetryShare*limits.Extra/4); n != want {
		t.Errorf("%d retries after the start, want %d", n, want)
	}
	if n, want := count(time.Hour+2*limits.Window), int(hostRetryShare*limits.Extra/4); n != want {
		t.Errorf("%d retries after two windows, want %d", n, want)
	}
}
