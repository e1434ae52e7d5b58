package host

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
)

// hedgeRefusal tells why a request that was slow to be answered was not hedged.
type hedgeRefusal uint8

const (
	hedgeAllowed      hedgeRefusal = iota
	hedgeLimitReached              // the share of the requests that may be hedged is used up
	hedgesPaused                   // the dispatcher has just refused a hedge of the service
	hedgeStopping                  // this host stops
	hedgeWaiting                   // this reason and the next ones are the dispatcher's, see sched.HedgeWaitingReason
	hedgeLoad
	hedgeSlow
	hedgeNoRoom
	hedgeBudget    // no repeat is left
	hedgeUndecided // the dispatcher did not decide in time, or for a reason that is not listed
	hedgeEndpoint  // the second endpoint can't be used any more
	hedgeTooLate   // the first attempt or the request has ended
	hedgeRefusals  // number of the values above
)

// String returns the name of the reason in metrics.
func (r hedgeRefusal) String() string {
	return [hedgeRefusals]string{"none", "limit", "paused", "stopping", "requests wait", "load", "slow service", "no room", "retry budget", "undecided", "endpoint left", "too late"}[r]
}

// hedgeRefusalOf returns the reason for which a hedge got no slot.
func hedgeRefusalOf(err error) hedgeRefusal {
	var ref *refusal
	if errors.As(err, &ref) {
		switch ref.reason {
		case sched.HedgeWaitingReason:
			return hedgeWaiting
		case sched.HedgeLoadReason:
			return hedgeLoad
		case sched.HedgeSlowReason:
			return hedgeSlow
		case sched.HedgeNoRoomReason:
			return hedgeNoRoom
		case sched.RetriesUsedReason:
			return hedgeBudget
		}
	}
	return hedgeUndecided
}

// hedgeResult is the result of a hedge that was sent.
type hedgeResult uint8

const (
	hedgeWon    hedgeResult = iota // it answered the request
	hedgeLost                      // the first attempt answered the request
	hedgeFailed                    // neither did
	hedgeResults
)

// String returns the name of the result in metrics.
func (r hedgeResult) String() string { return [hedgeResults]string{"won", "lost", "failed"}[r] }

// hedges decides about the hedges of this host, and counts them.
type hedges struct {
	sent    atomic.Uint64
	results [hedgeResults]atomic.Uint64
	refused [hedgeRefusals]atomic.Uint64

	mu     sync.Mutex
	policy *hedgePolicy
}

func newHedges() *hedges { return &hedges{policy: newHedgePolicy()} }

// delay counts a request that is about to be sent for the first time, and returns the time after which it may be hedged, or 0 if
// it may not.
func (g *hedges) delay(service string, r *fleet.Route, predicted time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy.addRequest(clock.Boot(), service)
	d, _ := g.policy.delay(r.Name, predicted)
	return d
}

// addBegin records that the answer to a request of a route began after d.
func (g *hedges) addBegin(r *fleet.Route, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy.addBegin(r.Name, d)
}

// reserve counts a hedge if the limit allows one more.
func (g *hedges) reserve(service string, share float64) (hedgeReservation, hedgeRefusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.policy.reserve(clock.Boot(), service, share)
}

// release gives back a hedge that is not sent for the given reason, hedgeAllowed if none is needed any more.
func (g *hedges) release(r hedgeReservation, why hedgeRefusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Boot()
	g.policy.release(now, r)
	switch why {
	case hedgeWaiting, hedgeLoad, hedgeSlow, hedgeNoRoom, hedgeBudget, hedgeUndecided:
		g.policy.pause(now, r.service) // the dispatcher has refused it
	}
}

// countRefusal counts a hedge that was not sent.
func (g *hedges) countRefusal(why hedgeRefusal) { g.refused[why].Add(1) }

// resultSeries returns the number of hedges by result, for the metrics.
func (g *hedges) resultSeries() []telemetry.AttributedCount {
	out := make([]telemetry.AttributedCount, 0, hedgeResults)
	for r := range hedgeResults {
		out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"result": r.String()}, Count: g.results[r].Load()})
	}
	return out
}

// refusalSeries returns the number of hedges that were not sent, by reason, for the metrics.
func (g *hedges) refusalSeries() []telemetry.AttributedCount {
	out := make([]telemetry.AttributedCount, 0, hedgeRefusals-1)
	for r := hedgeAllowed + 1; r < hedgeRefusals; r++ {
		out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"reason": r.String()}, Count: g.refused[r].Load()})
	}
	return out
}

// registerHedgeMetrics registers the metrics of hedged requests.
func (h *Host) registerHedgeMetrics() error {
	m, g := h.opts.Metrics, h.hedges
	for _, err := range []error{
		m.Counter("sycamore.hedges.sent", "Second attempts sent while the first one was slow to begin its answer.", g.sent.Load),
		m.AttributedCounter("sycamore.hedges.results", "Second attempts, by whether they gave the answer.", g.resultSeries),
		m.AttributedCounter("sycamore.hedges.refused", "Second attempts that were due and not sent, by reason.", g.refusalSeries),
	} {
		if err != nil {
			return errors.Annotate(err, "hedges")
		}
	}
	return nil
}
