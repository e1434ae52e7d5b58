package sched

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// Bounds of the users' platform for an endpoint that names its limit.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5 // times what the limit allows in limitWindow
	limitSlack  = 5   // requests
)

// limitReplay sends requests for a plain service from many hosts, and records when the endpoint p0 gets one.
type limitReplay struct {
	s       *State
	now     time.Duration
	nextID  uint64
	due     float64
	ends    map[uint64]time.Duration
	hosts   map[uint64]string
	sent    []time.Duration
	granted int
	refused map[uint64]time.Duration // Retry-After
	asked   map[uint64]time.Duration
	waited  time.Duration // longest time until a refusal
}

func newLimitReplay(view *fleet.View, hosts int) *limitReplay {
	r := &limitReplay{s: New(0, testConfig(), view), ends: make(map[uint64]time.Duration), hosts: make(map[uint64]string),
		refused: make(map[uint64]time.Duration), asked: make(map[uint64]time.Duration)}
	for h := range hosts {
		r.s.HostUp(0, fmt.Sprint("h", h))
	}
	return r
}

func (r *limitReplay) play(end time.Duration, perSec float64) {
	const step, hold = 5 * time.Millisecond, 40 * time.Millisecond
	for ; r.now < end; r.now += step {
		for r.due += perSec * step.Seconds(); r.due >= 1; r.due-- {
			r.nextID++
			r.hosts[r.nextID], r.asked[r.nextID] = fmt.Sprint("h", r.nextID%13), r.now
			r.s.Ask(r.now, r.hosts[r.nextID], wire.Ask{ID: r.nextID, Service: plainService, DeadlineMs: 2000, TargetMs: 300})
		}
		for id, at := range r.ends {
			if r.now >= at {
				delete(r.ends, id)
				r.s.Done(r.now, r.hosts[id], wire.Done{ID: id, TotalMs: uint32(hold.Milliseconds())})
			}
		}
		r.s.Tick(r.now)
		for _, o := range r.s.TakeOutputs() {
			switch m := o.Message.(type) {
			case *wire.Grant:
				r.granted++
				r.ends[m.ID] = r.now + hold
				if m.Endpoint == "p0" {
					r.sent = append(r.sent, r.now)
				}
			case *wire.Refuse:
				r.refused[m.ID] = ms(m.RetryAfterMs)
				r.waited = max(r.waited, r.now-r.asked[m.ID])
			}
		}
	}
}

// most returns the largest number of requests that p0 got in some limitWindow from the given time on.
func (r *limitReplay) most(from time.Duration) int {
	most, first := 0, 0
	for i, at := range r.sent {
		for r.sent[first] < from || at-r.sent[first] > limitWindow {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowedIn(window time.Duration, perSec float64) int {
	return int(limitOver*perSec*window.Seconds()) + limitSlack
}

// TestLimitHeld guards against an endpoint that gets more requests than its limit from all hosts together (LIMIT), and against
// one that gets none although it takes some. The limit changes and ends.
func TestLimitHeld(t *testing.T) {
	for _, perSec := range []float64{0, 0.3, 1.7, 12} {
		t.Run(fmt.Sprint(perSec, " a second"), func(t *testing.T) {
			r := newLimitReplay(testView(16, nil, 3), 13)
			r.play(2*time.Second, 120)
			r.s.SetLimit(r.now, wire.EndpointLimit{Endpoint: "p0", PerSec: perSec})
			from := r.now
			r.play(14*time.Second, 120)
			if n := r.most(from); n > allowedIn(limitWindow, perSec) || n < int(0.8*perSec*limitWindow.Seconds()) {
				t.Errorf("%d requests in %v", n, limitWindow)
			}
			if len(r.refused) > 0 {
				t.Errorf("%d requests refused although other endpoints have room", len(r.refused))
			}
			r.s.SetLimit(r.now, wire.EndpointLimit{Endpoint: "p0", PerSec: 20})
			from = r.now
			r.play(24*time.Second, 120)
			if n := r.most(from); n > allowedIn(limitWindow, 20) || n < 60 {
				t.Errorf("%d requests in %v after the limit was raised to 20 a second", n, limitWindow)
			}
			r.s.SetLimit(r.now, wire.EndpointLimit{Endpoint: "p0", Ended: true})
			from = r.now
			r.play(30*time.Second, 120)
			if n := r.most(from); n > allowedIn(limitWindow, 20) {
				t.Errorf("%d requests in %v after a single answer without a limit", n, limitWindow)
			}
			r.s.SetLimit(r.now, wire.EndpointLimit{Endpoint: "p0", Ended: true})
			from = r.now
			r.play(36*time.Second, 120)
			if n := r.most(from); n < 100 {
				t.Errorf("%d requests in %v after the limit has ended", n, limitWindow)
			}
		})
	}
}

// TestOnlyLimitedEndpoints guards against requests that wait until their deadline for an endpoint whose limit can't serve
// them, and against times to come back that are too early.
func TestOnlyLimitedEndpoints(t *testing.T) {
	r := newLimitReplay(testView(16, nil, 1), 13)
	r.play(time.Second, 10)
	r.s.SetLimit(r.now, wire.EndpointLimit{Endpoint: "p0", PerSec: 2})
	from := r.now
	r.play(11*time.Second, 10)
	if n := r.most(from); n > allowedIn(limitWindow, 2) || n < 6 {
		t.Errorf("%d requests in %v", n, limitWindow)
	}
	late := 0
	for id, retryAfter := range r.refused {
		if retryAfter < minRetryDelay/2 {
			t.Errorf("request %d may come back after %v", id, retryAfter)
		}
		late++
	}
	if late < 60 || r.waited > 2100*time.Millisecond {
		t.Errorf("%d requests refused, the last after %v", late, r.waited)
	}
}

// TestLimitSurvives guards against bursts to a limited endpoint when the dispatcher changes, when its process is followed by
// another one under the same id, and while its entry lapses.
func TestLimitSurvives(t *testing.T) {
	view := testView(16, nil, 3)
	r := newLimitReplay(view, 13)
	r.s.SetLimit(0, wire.EndpointLimit{Endpoint: "p0", PerSec: 2})
	r.play(6*time.Second, 120)
	list := r.s.Limits()
	r.s = New(r.now, testConfig(), view)
	r.ends = make(map[uint64]time.Duration)
	for h := range 13 {
		host := fmt.Sprint("h", h)
		r.s.HostUp(r.now, host)
		r.s.Resync(r.now, host, wire.Resync{Limits: list})
	}
	r.play(9*time.Second, 120)
	restarted := *view
	restarted.Endpoints = append([]fleet.Endpoint(nil), view.Endpoints...)
	restarted.Endpoints[0].StartUnixMs = 99
	r.s.SetView(r.now, &restarted)
	r.play(12*time.Second, 120)
	lapsed := restarted
	lapsed.Endpoints = restarted.Endpoints[1:]
	r.s.SetView(r.now, &lapsed)
	r.play(14*time.Second, 120)
	r.s.SetView(r.now, &restarted)
	r.play(20*time.Second, 120)
	if n := r.most(0); n > allowedIn(limitWindow, 2) || n < 6 {
		t.Errorf("%d requests in %v", n, limitWindow)
	}
}

// TestLimitOfTwoDispatchers guards against two dispatchers that each grant the whole limit of an endpoint: one that few hosts
// use takes their share.
func TestLimitOfTwoDispatchers(t *testing.T) {
	view := testView(16, nil, 3)
	for h := range 13 {
		view.Hosts = append(view.Hosts, fleet.Host{Name: fmt.Sprint("h", h)})
	}
	sum := 0
	for _, hosts := range []int{3, 10} {
		r := newLimitReplay(view, hosts)
		r.s.SetLimit(0, wire.EndpointLimit{Endpoint: "p0", PerSec: 10})
		r.play(10*time.Second, 120)
		sum += r.most(0)
	}
	if sum > allowedIn(limitWindow, 10) {
		t.Errorf("%d requests by two dispatchers in %v", sum, limitWindow)
	}
}

// TestOrdersCountForLimit guards against orders for adapters on top of the requests that a limit allows.
func TestOrdersCountForLimit(t *testing.T) {
	view := testView(16, [][]string{{"m"}}, 0)
	s := New(0, testConfig(), view)
	s.HostUp(0, "h")
	s.SetHolder(0, &wire.HolderBeat{Host: "h"})
	s.SetLimit(0, wire.EndpointLimit{Endpoint: "e0", PerSec: 2})
	sends := 0
	now := time.Duration(0)
	for id := uint64(1); now < 8*time.Second; id++ {
		a := chat(id, "m")
		a.Adapter = fmt.Sprint("a", id%5)
		s.Ask(now, "h", a)
		now += 100 * time.Millisecond
		s.Tick(now)
		for id, m := range answers(s) {
			if g, ok := m.(*wire.Grant); ok {
				if sends++; g.Prepare {
					sends++
				}
				if g.Evict.Model != "" {
					sends++
				}
				s.Done(now, "h", wire.Done{ID: id, TotalMs: 20})
			}
		}
	}
	if sends > 2*8+3 || sends < 8 {
		t.Errorf("%d requests and orders in 8 s", sends)
	}
}

// TestManyLimits guards against limits of endpoints that are gone and stay in memory.
func TestManyLimits(t *testing.T) {
	s := New(0, testConfig(), testView(16, nil, 1))
	for i := range 3 * maxLimited {
		s.SetLimit(0, wire.EndpointLimit{Endpoint: fmt.Sprint("x", i), PerSec: 2})
	}
	if len(s.limits) > maxLimited {
		t.Errorf("%d limits", len(s.limits))
	}
	s.SetLimit(0, wire.EndpointLimit{Endpoint: "p0", PerSec: 2})
	s.Tick(limitLife + time.Second)
	if n := len(s.Limits()); n > 1 {
		t.Errorf("%d limits of endpoints that are not listed", n)
	}
}
