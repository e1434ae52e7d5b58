package soak

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Limits that the audit checks. They are those of the users' deployments.
const (
	faultGracePeriod = 3 * time.Second        // time after a fault that still counts as part of it
	configApplyLimit = 2 * time.Second        // from storing a configuration until every host uses it
	drainLimit       = 2 * time.Second        // from listing a server as draining until no request reaches it
	stopLimit        = 8 * time.Second        // from SIGTERM until the process ends
	recoveryLimit    = 12 * time.Second       // from the last event until everything is served
	cancelLimit      = 500 * time.Millisecond // from a caller's cancel until the server stops the request
	maxOverdueShare  = 0.25                   // share of the cancelled requests that may exceed cancelLimit
	minCancelledRuns = 8                      // cancelled requests below which the share is not checked
	retryWindow      = 10 * time.Second       // sliding window of the retry budget
	retryRatio       = 0.2                    // retries allowed per request
	retryExtra       = 100                    // retries allowed per window in addition to the ratio
	streamEvents     = 12                     // events of a complete stream
	maxMemoryMB      = 200                    // memory limit in a host's settings
)

// requestKind classifies requests by how they may be retried.
type requestKind uint8

const (
	idempotent requestKind = iota // may be retried
	onceOnly                      // must not run twice
	stream                        // must not run twice
	resumable                     // may be resumed on another server
)

// request is the audit's state of one request of a caller.
type request struct {
	kind        requestKind
	call        platformtest.Call
	sentAt      time.Time
	runs        int       // number of times that a server ran it
	cancelledAt time.Time // when its caller cancelled it; zero if it did not
	refused     bool      // answered with a status that states that it did not run and will not
	arrived     bool      // at a server, at least once
}

// Violation is a breach of one of the rules that the audit checks.
type Violation struct {
	At   time.Duration // since the start of the run
	Rule string
	Text string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%6.2fs %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// maxViolations bounds the report of one run. A host with a serious fault would otherwise fill the output.
const maxViolations = 40

// span is the time during which a fault is active.
type span struct{ from, to time.Time } // to is zero while the fault lasts

// arrival records that a server received a request.
type arrival struct {
	at    time.Time
	retry bool // the request had arrived at a server before
}

// drainingServer is a server that is listed as draining.
type drainingServer struct {
	since        time.Time
	lateRequests int // requests received after drainLimit, outside faults
}

// Audit checks the rules during a run. It implements platformtest.Observer.
type Audit struct {
	start time.Time

	mu                sync.Mutex
	requests          map[string]*request // by request ID
	violations        []Violation
	faults            []span
	holderByFence     map[uint64]string          // host that sent orders, by fencing token
	draining          map[string]*drainingServer // by server ID
	arrivalsByService map[string][]arrival
	sentByService     map[string][]time.Time // send times of the requests, by service
	cancelledRuns     int                    // requests that a server was still running when their caller cancelled them
	overdueRuns       int                    // of those, requests that exceeded cancelLimit
	statuses          map[int]int            // number of answers by status; 0 stands for no answer
	configs           configAudit
	accounts          bool        // the configurations have client accounts
	partCrashes       []time.Time // engines that a prompt has crashed
	deadlyArrivals    int         // of requests with the part, when all hosts should know it
}

// NewAudit returns an audit without requests.
func NewAudit() *Audit {
	return &Audit{
		start: time.Now(), requests: make(map[string]*request), holderByFence: make(map[uint64]string), draining: make(map[string]*drainingServer),
		arrivalsByService: make(map[string][]arrival), sentByService: make(map[string][]time.Time), statuses: make(map[int]int),
		configs: configAudit{acknowledgedAt: make(map[int]time.Time), newestServed: make(map[string]servedVersion)},
	}
}

// reportLocked records a violation. The caller holds the lock.
func (a *Audit) reportLocked(rule, format string, args ...any) {
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, Violation{time.Since(a.start), rule, fmt.Sprintf(format, args...)})
	}
}

// Report records a violation that was found outside the audit.
func (a *Audit) Report(rule, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportLocked(rule, format, args...)
}

// Violations returns the violations found so far.
func (a *Audit) Violations() []Violation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Violation(nil), a.violations...)
}

// BeginFault records the start of an unplanned fault. The returned function records its end.
func (a *Audit) BeginFault() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := len(a.faults)
	a.faults = append(a.faults, span{from: time.Now()})
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.faults[i].to = time.Now()
	}
}

// faultFreeLocked reports whether no fault was active from faultGracePeriod before from until to. The caller holds the lock.
func (a *Audit) faultFreeLocked(from, to time.Time) bool {
	from = from.Add(-faultGracePeriod)
	for _, f := range a.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			return false
		}
	}
	return true
}

// FaultFree is faultFreeLocked for callers that do not hold the lock.
func (a *Audit) FaultFree(from, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faultFreeLocked(from, to)
}

// RecordRequest records a request. It is called before the request is sent.
func (a *Audit) RecordRequest(id string, kind requestKind, call platformtest.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = &request{kind: kind, call: call, sentAt: time.Now()}
	service := serviceOf(kind)
	a.sentByService[service] = append(a.sentByService[service], time.Now())
}

// serviceOf returns the service that requests of a kind are for.
func serviceOf(k requestKind) string {
	if k == stream || k == resumable {
		return platformtest.EngineService
	}
	return platformtest.PlainService
}

// RecordCancel records that a caller cancelled a request.
func (a *Audit) RecordCancel(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].cancelledAt = time.Now()
}

// RequestArrived implements platformtest.Observer. It checks a request that a server received.
func (a *Audit) RequestArrived(x platformtest.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[x.ID]
	if r == nil {
		a.reportLocked("UNASKED", "server %s received request %q, which no caller sent", x.Server, x.ID)
		return
	}
	if x.Method != r.call.Method || x.Target != r.call.Path || x.Body != r.call.Body || x.Model != r.call.Model || x.Host != platformtest.Host {
		a.reportLocked("UNASKED", "request %s was changed on its way: %s %s host %s model %q body %q", x.ID, x.Method, x.Target, x.Host, x.Model, x.Body)
	}
	if x.Service != serviceOf(r.kind) {
		a.reportLocked("ROUTE", "request %s for %s reached server %s of service %s", x.ID, r.call.Path, x.Server, x.Service)
	}
	a.arrivalsByService[x.Service] = append(a.arrivalsByService[x.Service], arrival{x.ArrivedAt, r.arrived})
	r.arrived = true
	a.checkDeadlyArrival(r, x)
	a.checkKeyLocked(r, &x)
	if d := a.draining[x.Server]; d != nil && x.ArrivedAt.Sub(d.since) > drainLimit && a.faultFreeLocked(d.since, x.ArrivedAt) {
		if d.lateRequests++; d.lateRequests == 1 {
			a.reportLocked("DRAIN", "request %s reached server %s %v after the server was listed as draining", x.ID, x.Server, x.ArrivedAt.Sub(d.since))
		}
	}
	if !x.Ran {
		return
	}
	r.runs++
	if r.runs > 1 && (r.kind == onceOnly || r.kind == stream) {
		a.reportLocked("TWICE", "request %s %s ran %d times, most recently at server %s", x.ID, r.call.Path, r.runs, x.Server)
	}
	if r.refused {
		a.reportLocked("REFUSED", "request %s %s ran at server %s although it had been refused as not run", x.ID, r.call.Path, x.Server)
	}
}

// RequestEnded implements platformtest.Observer. It counts the cancelled requests and those that ran for too long.
func (a *Audit) RequestEnded(x platformtest.Arrival, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.requests[x.ID], time.Now()
	if r == nil || r.cancelledAt.IsZero() || r.kind == onceOnly || !a.faultFreeLocked(r.sentAt, now) {
		return
	}
	a.cancelledRuns++
	if now.Sub(r.cancelledAt) > cancelLimit {
		a.overdueRuns++
	}
}

// OrderReceived implements platformtest.Observer. It checks that only one host sends orders with a given fencing token.
func (a *Audit) OrderReceived(o platformtest.ReceivedOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if holder, ok := a.holderByFence[o.Fence]; ok && holder != o.Holder {
		a.reportLocked("ONE", "hosts %s and %s sent orders with the same fencing token %d", holder, o.Holder, o.Fence)
	}
	a.holderByFence[o.Fence] = o.Holder
}

// RecordDraining records that a server is listed as draining.
func (a *Audit) RecordDraining(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining[server] = &drainingServer{since: time.Now()}
}

// CheckOutcome checks the outcome of a request that a caller observed.
func (a *Audit) CheckOutcome(o platformtest.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[o.ID]
	a.statuses[o.Status]++
	switch {
	case o.Status == 0:
		a.checkUnanswered(o, r)
	case o.EchoedID != "" && o.EchoedID != o.ID:
		a.reportLocked("MIXED", "request %s received the answer to request %s", o.ID, o.EchoedID)
	case o.Status < 300:
		a.checkSuccess(o, r)
	case o.Status == http.StatusServiceUnavailable, o.Status == http.StatusTooManyRequests, o.Status == http.StatusRequestTimeout,
		o.Status == http.StatusMisdirectedRequest:
		if r.refused = true; r.runs > 0 {
			a.reportLocked("REFUSED", "request %s %s was refused as not run with status %d, but it ran", o.ID, r.call.Path, o.Status)
		}
	case o.Status == http.StatusUnauthorized && a.accounts:
		a.checkRejectedKeyLocked(&o, r)
	case o.Status < 500:
		a.reportLocked("DENIED", "request %s %s: status %d %.80s", o.ID, r.call.Path, o.Status, o.Body)
	}
}

// checkUnanswered checks a request that got no status. Outside faults, this is allowed only if no server received the
// request and the host did not hold it until its deadline.
func (a *Audit) checkUnanswered(o platformtest.Outcome, r *request) {
	end := o.StartedAt.Add(o.Duration)
	if !r.cancelledAt.IsZero() || !a.faultFreeLocked(o.StartedAt, end) {
		return
	}
	switch {
	case r.arrived:
		a.reportLocked("LOST", "request %s %s reached a server and got no answer within %v", o.ID, r.call.Path, o.Duration)
	case o.RequestSent && o.Duration >= r.call.Deadline:
		a.reportLocked("LOST", "request %s %s was held by the host until its deadline, without an answer", o.ID, r.call.Path)
	}
}

// checkSuccess checks an answer with a success status.
func (a *Audit) checkSuccess(o platformtest.Outcome, r *request) {
	if !o.Sealed {
		a.reportLocked("MIXED", "request %s %s: successful answer without the seal of a server", o.ID, r.call.Path)
	}
	if r.kind != stream && r.kind != resumable {
		if o.BodyComplete && o.Body != "answer to "+o.ID {
			a.reportLocked("MIXED", "request %s %s: unexpected body %.80q", o.ID, r.call.Path, o.Body)
		}
	} else {
		a.checkEvents(o, r)
	}
	if end := o.StartedAt.Add(o.Duration); !o.BodyComplete && r.cancelledAt.IsZero() && a.faultFreeLocked(o.StartedAt, end) {
		a.reportLocked("LOST", "the answer to request %s %s was cut off after %v", o.ID, r.call.Path, o.Duration)
	}
}

// checkEvents checks that the event ids of a stream are consecutive, and that a complete stream has all events.
func (a *Audit) checkEvents(o platformtest.Outcome, r *request) {
	ids := o.EventIDs()
	for i, id := range ids {
		if id != i+1 {
			a.reportLocked("ORDER", "request %s %s: event %d has id %d", o.ID, r.call.Path, i+1, id)
			return
		}
	}
	if o.BodyComplete && len(ids) != streamEvents {
		a.reportLocked("ORDER", "the stream of request %s %s ended without an error after %d events", o.ID, r.call.Path, len(ids))
	}
}

// Finish makes the checks that need the data of the whole run.
func (a *Audit) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelledRuns >= minCancelledRuns && float64(a.overdueRuns) > maxOverdueShare*float64(a.cancelledRuns) {
		a.reportLocked("GONE", "%d of %d cancelled requests ran for more than %v after their callers had cancelled them", a.overdueRuns, a.cancelledRuns, cancelLimit)
	}
	for service, arrivals := range a.arrivalsByService {
		a.checkRetryBudget(service, arrivals)
	}
}

// checkRetryBudget checks the number of retries in the sliding windows that begin with a retry. Every arrival of a request
// after its first counts as a retry.
func (a *Audit) checkRetryBudget(service string, arrivals []arrival) {
	var retries []time.Time
	for _, x := range arrivals {
		if x.retry {
			retries = append(retries, x.at)
		}
	}
	for i, from := range retries {
		to := from.Add(retryWindow)
		n := sort.Search(len(retries), func(k int) bool { return retries[k].After(to) }) - i
		requests := 0
		for _, t := range a.sentByService[service] {
			if t.After(from) && t.Before(to) {
				requests++
			}
		}
		if limit := retryRatio*float64(requests) + retryExtra; float64(n) > limit {
			a.reportLocked("BUDGET", "service %s: %d retries in %v, %.0f are allowed", service, n, retryWindow, limit)
			return
		}
	}
}

// Counts returns the number of requests and the number of answers by status; status 0 stands for no answer.
func (a *Audit) Counts() (requests int, statuses map[int]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[int]int, len(a.statuses))
	for k, v := range a.statuses {
		out[k] = v
	}
	return len(a.requests), out
}
