package soak

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Bounds of the promises. They are those of the users' deployments.
const (
	stableFor     = 3 * time.Second // after a fault, until promises with a time bound hold again
	applyWithin   = 2 * time.Second // a configuration is in force
	drainWithin   = 2 * time.Second // a leaving server gets nothing any more
	stopWithin    = 8 * time.Second // a process ends after its signal
	recoverWithin = 12 * time.Second
	leftWithin    = 500 * time.Millisecond // work ends after its caller has left
	leftShare     = 0.25                   // of such work may go on longer
	leastLeft     = 8                      // requests below which the share says nothing
	repeatWindow  = 10 * time.Second
	repeatRatio   = 0.2
	repeatExtra   = 100
	streamEvents  = 12
	memoryMB      = 200 // that a host may use, as its settings state
)

// Kinds of requests, by what may be repeated.
type requestKind uint8

const (
	plain     requestKind = iota // repeatable
	once                         // must not run twice
	stream                       // must not run twice
	resumable                    // may go on elsewhere
)

// request is what the audit knows of one request of a caller.
type request struct {
	kind      requestKind
	call      platformtest.Call
	begun     time.Time
	runs      int
	left      time.Time // when its caller gave up, zero if it did not
	refused   bool
	firstSeen bool
}

// Violation is a promise that was broken.
type Violation struct {
	At   time.Duration // since the start of the run
	Rule string
	Text string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%6.2fs %s: %s", v.At.Seconds(), v.Rule, v.Text)
}

// mostViolations bounds what one run reports: a broken run would fill the output.
const mostViolations = 40

type span struct{ from, to time.Time } // to is zero while it lasts

type arrival struct {
	at     time.Time
	repeat bool
}

type drained struct {
	at   time.Time
	seen int
}

// Audit checks promises while a run goes on. It implements platformtest.Observer.
type Audit struct {
	start time.Time

	mu         sync.Mutex
	requests   map[string]*request
	violations []Violation
	faults     []span
	fences     map[uint64]string // holder by fence
	drains     map[string]*drained
	arrivals   map[string][]arrival // by service
	sent       map[string][]time.Time
	leftRuns   int // runs whose caller left and that would have lasted longer
	leftLate   int // of those, that went on too long
	statuses   map[int]int
	configs    configAudit
}

// NewAudit returns an audit without any request.
func NewAudit() *Audit {
	return &Audit{
		start: time.Now(), requests: make(map[string]*request), fences: make(map[uint64]string), drains: make(map[string]*drained),
		arrivals: make(map[string][]arrival), sent: make(map[string][]time.Time), statuses: make(map[int]int),
		configs: configAudit{acknowledged: make(map[int]time.Time), seen: make(map[string]seenVersion)},
	}
}

func (a *Audit) violate(rule, format string, args ...any) {
	if len(a.violations) < mostViolations {
		a.violations = append(a.violations, Violation{time.Since(a.start), rule, fmt.Sprintf(format, args...)})
	}
}

// Violate records a violation found by somebody else.
func (a *Audit) Violate(rule, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violate(rule, format, args...)
}

// Violations returns what was found so far.
func (a *Audit) Violations() []Violation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Violation(nil), a.violations...)
}

// FaultBegins notes an unplanned fault. The returned function notes its end.
func (a *Audit) FaultBegins() func() {
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

// calm tells whether no fault fell between a time less stableFor and another time. The caller holds the lock.
func (a *Audit) calm(from, to time.Time) bool {
	from = from.Add(-stableFor)
	for _, f := range a.faults {
		if f.from.Before(to) && (f.to.IsZero() || f.to.After(from)) {
			return false
		}
	}
	return true
}

// Calm is calm for callers without the lock.
func (a *Audit) Calm(from, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calm(from, to)
}

// Asked notes a request before it is sent.
func (a *Audit) Asked(id string, kind requestKind, call platformtest.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id] = &request{kind: kind, call: call, begun: time.Now()}
	service := serviceOf(kind)
	a.sent[service] = append(a.sent[service], time.Now())
}

func serviceOf(k requestKind) string {
	if k == stream || k == resumable {
		return platformtest.EngineService
	}
	return platformtest.PlainService
}

// Left notes that a caller gave a request up.
func (a *Audit) Left(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[id].left = time.Now()
}

// RequestArrived implements platformtest.Observer.
func (a *Audit) RequestArrived(x platformtest.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[x.ID]
	if r == nil {
		a.violate("UNASKED", "server %s got request %q that nobody sent", x.Server, x.ID)
		return
	}
	if x.Method != r.call.Method || x.Target != r.call.Path || x.Body != r.call.Body || x.Model != r.call.Model || x.Host != platformtest.Host {
		a.violate("UNASKED", "request %s changed: %s %s host %s model %q body %q", x.ID, x.Method, x.Target, x.Host, x.Model, x.Body)
	}
	if x.Service != serviceOf(r.kind) {
		a.violate("ROUTE", "request %s for %s reached server %s of %s", x.ID, r.call.Path, x.Server, x.Service)
	}
	a.arrivals[x.Service] = append(a.arrivals[x.Service], arrival{x.ArrivedAt, r.firstSeen})
	r.firstSeen = true
	if d := a.drains[x.Server]; d != nil && x.ArrivedAt.Sub(d.at) > drainWithin && a.calm(d.at, x.ArrivedAt) {
		if d.seen++; d.seen == 1 {
			a.violate("DRAIN", "request %s reached server %s %v after it was listed as leaving", x.ID, x.Server, x.ArrivedAt.Sub(d.at))
		}
	}
	if !x.Ran {
		return
	}
	r.runs++
	if r.runs > 1 && (r.kind == once || r.kind == stream) {
		a.violate("TWICE", "request %s %s ran %d times, now at server %s", x.ID, r.call.Path, r.runs, x.Server)
	}
	if r.refused {
		a.violate("REFUSED", "request %s %s ran at server %s after it was refused as not run", x.ID, r.call.Path, x.Server)
	}
}

// RequestEnded implements platformtest.Observer.
func (a *Audit) RequestEnded(x platformtest.Arrival, _ bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, now := a.requests[x.ID], time.Now()
	if r == nil || r.left.IsZero() || r.kind == once || !a.calm(r.begun, now) {
		return
	}
	a.leftRuns++
	if now.Sub(r.left) > leftWithin {
		a.leftLate++
	}
}

// OrderReceived implements platformtest.Observer.
func (a *Audit) OrderReceived(o platformtest.ReceivedOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if before, ok := a.fences[o.Fence]; ok && before != o.Holder {
		a.violate("ONE", "hosts %s and %s gave orders under the fence %d", before, o.Holder, o.Fence)
	}
	a.fences[o.Fence] = o.Holder
}

// Draining notes that a server is listed as leaving.
func (a *Audit) Draining(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drains[server] = &drained{at: time.Now()}
}

// Answered checks what a caller saw.
func (a *Audit) Answered(o platformtest.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.requests[o.ID]
	a.statuses[o.Status]++
	switch {
	case o.Status == 0:
		a.unanswered(o, r)
	case o.EchoedID != "" && o.EchoedID != o.ID:
		a.violate("MIXED", "request %s got the answer to %s", o.ID, o.EchoedID)
	case o.Status < 300:
		a.success(o, r)
	case o.Status == http.StatusServiceUnavailable, o.Status == http.StatusTooManyRequests, o.Status == http.StatusRequestTimeout,
		o.Status == http.StatusMisdirectedRequest:
		if r.refused = true; r.runs > 0 {
			a.violate("REFUSED", "request %s %s was refused as not run with %d, and ran", o.ID, r.call.Path, o.Status)
		}
	case o.Status < 500:
		a.violate("DENIED", "request %s %s: status %d %.80s", o.ID, r.call.Path, o.Status, o.Body)
	}
}

// unanswered judges a request that got no status. Without a fault it must not have been passed on, nor hang.
func (a *Audit) unanswered(o platformtest.Outcome, r *request) {
	end := o.StartedAt.Add(o.Duration)
	if !r.left.IsZero() || !a.calm(o.StartedAt, end) {
		return
	}
	switch {
	case r.firstSeen:
		a.violate("LOST", "request %s %s was passed on and got no answer in %v", o.ID, r.call.Path, o.Duration)
	case o.RequestSent && o.Duration >= r.call.Deadline:
		a.violate("LOST", "request %s %s was held without an answer until its deadline", o.ID, r.call.Path)
	}
}

func (a *Audit) success(o platformtest.Outcome, r *request) {
	if !o.Sealed {
		a.violate("MIXED", "request %s %s: success without a server's seal", o.ID, r.call.Path)
	}
	if r.kind != stream && r.kind != resumable {
		if o.BodyComplete && o.Body != "answer to "+o.ID {
			a.violate("MIXED", "request %s %s: body %.80q", o.ID, r.call.Path, o.Body)
		}
	} else {
		a.events(o, r)
	}
	if end := o.StartedAt.Add(o.Duration); !o.BodyComplete && r.left.IsZero() && a.calm(o.StartedAt, end) {
		a.violate("LOST", "request %s %s was cut after %v", o.ID, r.call.Path, o.Duration)
	}
}

// events checks a stream: its events are in order without a gap, and a whole one has all of them.
func (a *Audit) events(o platformtest.Outcome, r *request) {
	ids := o.EventIDs()
	for i, id := range ids {
		if id != i+1 {
			a.violate("ORDER", "request %s %s: event %d has the id %d", o.ID, r.call.Path, i+1, id)
			return
		}
	}
	if o.BodyComplete && len(ids) != streamEvents {
		a.violate("ORDER", "request %s %s ends as whole after %d events", o.ID, r.call.Path, len(ids))
	}
}

// Finish makes the checks that need the whole run.
func (a *Audit) Finish() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leftRuns >= leastLeft && float64(a.leftLate) > leftShare*float64(a.leftRuns) {
		a.violate("GONE", "%d of %d runs went on for more than %v after their callers had left", a.leftLate, a.leftRuns, leftWithin)
	}
	for service, list := range a.arrivals {
		a.budget(service, list)
	}
}

// budget counts the arrivals beyond the first of each request in sliding windows that begin with one of them.
func (a *Audit) budget(service string, list []arrival) {
	var repeats []time.Time
	for _, x := range list {
		if x.repeat {
			repeats = append(repeats, x.at)
		}
	}
	for i, from := range repeats {
		to := from.Add(repeatWindow)
		n := sort.Search(len(repeats), func(k int) bool { return repeats[k].After(to) }) - i
		asked := 0
		for _, t := range a.sent[service] {
			if t.After(from) && t.Before(to) {
				asked++
			}
		}
		if limit := repeatRatio*float64(asked) + repeatExtra; float64(n) > limit {
			a.violate("BUDGET", "%s: %d repeats in %v, %.0f are allowed", service, n, repeatWindow, limit)
			return
		}
	}
}

// Counts returns the number of requests and their answers by status; 0 stands for none.
func (a *Audit) Counts() (requests int, statuses map[int]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[int]int, len(a.statuses))
	for k, v := range a.statuses {
		out[k] = v
	}
	return len(a.requests), out
}
