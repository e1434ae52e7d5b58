package sched

import (
	"math"
	"time"
)

// A plain service answers at the end of its run, so a request is on time only if a slot becomes free one run before its
// target. In an overloaded queue, nearly every request is served at the latest time that the rules allow: with a rule that only
// asks for a start before the target, an answer came one run after it (222 requests per second with an objective of 300 ms
// were answered after 295 to 325 ms, more than half of them late). The margin is therefore a quantile of the run times.

const (
	runBuckets  = 240
	runGrowth   = 1.05      // ratio of the bounds of neighbouring buckets; the last bound is about 2 minutes
	runDecay    = 1.0 / 500 // decay per answer; follows a change of the run times within 500 answers
	minRuns     = 30.0      // answers before the estimate is used; fewer say little about a high quantile
	marginLife  = 100 * time.Millisecond
	maxMargins  = 64                   // cached margins; bounds the memory
	marginStep  = 4 * time.Millisecond // resolution of the objectives for which margins are cached
	typicalRun  = 0.5                  // quantile of a typical run
	clump       = 3.0                  // requests that callers send at the same time
	callerPath  = 10 * time.Millisecond
	maxHostPath = 50 * time.Millisecond // limit of the time that messages between host and dispatcher add to a run
)

// runEstimate is a histogram of the times from a grant to the end of the answer at a plain service, or to the first event of
// a stream. Its buckets grow geometrically, and older answers decay exponentially.
type runEstimate struct {
	weights    []float64 // nil before the first answer
	total      float64
	margins    map[time.Duration]time.Duration // by objective in units of marginStep, valid until marginsEnd
	marginsEnd time.Duration
}

// runBound returns the upper bound of a bucket.
func runBound(i int) time.Duration {
	return time.Duration(math.Pow(runGrowth, float64(i)) * float64(time.Millisecond))
}

// observe adds the run time of an answered request.
func (e *runEstimate) observe(run time.Duration) {
	if e.weights == nil {
		e.weights = make([]float64, runBuckets)
	}
	for i := range e.weights {
		e.weights[i] *= 1 - runDecay
	}
	e.total = e.total*(1-runDecay) + 1
	i := math.Ceil(math.Log(max(run.Seconds()*1000, 1)) / math.Log(runGrowth))
	e.weights[min(int(i), runBuckets-1)]++
}

// known reports whether enough answers have been observed.
func (e *runEstimate) known() bool { return e.total >= minRuns }

// quantile returns an upper bound of the given share of the run times, 0 if they are not known.
func (e *runEstimate) quantile(share float64) time.Duration {
	if !e.known() {
		return 0
	}
	sum := 0.0
	for i, w := range e.weights {
		if sum += w; sum >= share*e.total {
			return runBound(i)
		}
	}
	return runBound(runBuckets - 1)
}

// margin returns the run time for which requests with an objective must have time at their start, given the number of
// requests that the endpoints can start per second. It maximises the expected number of answers on time in an overloaded
// queue: the share of the runs that are within the margin, times the share of the capacity that is used if requests wait no
// longer than the rest of the objective. With room for n clumps in the queue, the latter is n/(n+1), as in a queue of one
// server at full load. The margin is at least a typical run, with which a request is as likely late as on time.
func (e *runEstimate) margin(objective time.Duration, perSec float64) time.Duration {
	best, most := time.Duration(0), 0.0
	within := 0.0
	for i, w := range e.weights {
		within += w
		bound := runBound(i)
		if bound >= objective {
			break
		}
		if w == 0 || within < typicalRun*e.total {
			continue
		}
		room := perSec * (objective - bound).Seconds() / clump
		if v := within / e.total * room / (room + 1); v > most {
			best, most = bound, v
		}
	}
	return max(best, e.quantile(typicalRun))
}

// cachedMargin returns the margin for an objective. Every tick needs it for each waiting request.
func (e *runEstimate) cachedMargin(now, objective time.Duration, perSec float64) time.Duration {
	if now >= e.marginsEnd || e.margins == nil || len(e.margins) >= maxMargins {
		e.margins, e.marginsEnd = make(map[time.Duration]time.Duration), now+marginLife
	}
	k := max(objective, 0) / marginStep
	m, ok := e.margins[k]
	if !ok {
		m = e.margin(k*marginStep, perSec)
		e.margins[k] = m
	}
	return m
}

// timeToTarget predicts how long before its target a request must start at an idle endpoint to be on time.
func (s *State) timeToTarget(r *request) time.Duration {
	if r.ask.Model != "" {
		return s.idleFirstToken(r)
	}
	runs := &s.serviceEstimateOf(r.ask.Service).runs
	if !runs.known() {
		return 0
	}
	return callerPath + runs.cachedMargin(s.now, r.target-r.askedAt-callerPath, s.capacity(r.model).requestsPerSec)
}

// timeToStartDeadline predicts how long before its start deadline a request for a plain service must start. The deadline of
// a request that has to be complete by then leaves time for a typical run. A host that is stopping states an earlier one,
// which leaves that time already.
func (s *State) timeToStartDeadline(r *request) time.Duration {
	if r.endBy == 0 {
		return 0
	}
	return max(s.typicalRun(r)-max(r.endBy-r.startBy, 0), 0)
}

// typicalRun returns the median time from the grant of a request for a plain service until its caller has the answer, 0 if it
// is not known.
func (s *State) typicalRun(r *request) time.Duration {
	runs := &s.serviceEstimateOf(r.ask.Service).runs
	if !runs.known() {
		return 0
	}
	return callerPath + runs.quantile(typicalRun)
}
