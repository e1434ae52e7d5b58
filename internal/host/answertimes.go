package host

import (
	"slices"
	"sync"
	"time"

	"sycamoredeal/internal/fleet"
)

const (
	answerTimeSamples    = 64   // latest answers of a route that count
	minAnswerTimeSamples = 16   // fewer say nothing about the longest ones
	maxTimedRoutes       = 4096 // routes whose answers are timed; configurations add and remove routes
)

// timed returns the entry of a route or service, and creates it if needed. Entries are dropped together if there are too many.
func timed[V any](entries map[string]*V, name string, create func() *V) *V {
	v := entries[name]
	if v == nil {
		if len(entries) >= maxTimedRoutes {
			clear(entries)
		}
		v = create()
		entries[name] = v
	}
	return v
}

// answerTimes holds how long the latest requests of a route took from their first slot to their end, and how long those in
// progress have taken so far.
type answerTimes struct {
	recent  []time.Duration // a ring of at most answerTimeSamples
	next    int
	running map[*exchange]time.Time // when they got their slot
}

func newAnswerTimes() *answerTimes { return &answerTimes{running: make(map[*exchange]time.Time)} }

func (a *answerTimes) add(d time.Duration) {
	if len(a.recent) < answerTimeSamples {
		a.recent = append(a.recent, d)
		return
	}
	a.recent[a.next] = d
	a.next = (a.next + 1) % answerTimeSamples
}

// tail returns the time in which a share of the requests ends. Those in progress count if they have taken longer than that
// already, since answers that got slow show there first. known is false if there are too few to tell.
func (a *answerTimes) tail(share float64, now time.Time) (d time.Duration, known bool) {
	all := slices.Clone(a.recent)
	d = quantile(all, share)
	for _, since := range a.running {
		if age := now.Sub(since); age > d {
			all = append(all, age)
		}
	}
	return quantile(all, share), len(a.recent) >= minAnswerTimeSamples
}

// quantile returns the smallest value that a share of the values does not exceed, or 0 without values. It sorts them.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(share*float64(len(values))), len(values)-1)]
}

// answerTimer times the answers of all routes.
type answerTimer struct {
	mu      sync.Mutex
	routes  map[string]*answerTimes
	streams *answerTimes // of all routes
}

func newAnswerTimer() *answerTimer {
	return &answerTimer{routes: make(map[string]*answerTimes), streams: newAnswerTimes()}
}

// of returns the times that a request counts for. The caller holds the lock.
func (t *answerTimer) of(r *fleet.Route) []*answerTimes {
	a := timed(t.routes, r.Name, newAnswerTimes)
	if r.Kind == fleet.Stream {
		return []*answerTimes{a, t.streams}
	}
	return []*answerTimes{a}
}

// begin records that a request has got its first slot.
func (t *answerTimer) begin(x *exchange, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.of(x.q.Route) {
		if _, begun := a.running[x]; !begun {
			a.running[x] = now
		}
	}
}

// end records the end of a request, if it had a slot. Only one that was answered, or lasted until its time was over, shows how
// long answers take.
func (t *answerTimer) end(x *exchange, now time.Time, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.of(x.q.Route) {
		if since, ok := a.running[x]; ok {
			delete(a.running, x)
			if complete {
				a.add(now.Sub(since))
			}
		}
	}
}

// needed returns the time to reserve for an answer of a route, and false if it is not known. A stream of a route with few
// requests is taken for one like all others.
func (t *answerTimer) needed(r *fleet.Route, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.of(r)
	if r.Kind != fleet.Stream {
		d, known := times[0].tail(plainTailShare, now)
		return time.Duration(plainTimeFactor * float64(d)), known
	}
	d, known := times[0].tail(streamTailShare, now)
	if !known {
		d, known = t.streams.tail(streamTailShare, now)
	}
	return time.Duration(streamTimeFactor * float64(d)), known
}
