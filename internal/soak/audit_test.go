package soak

import (
	"strings"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// fixture is an audit that has recorded one request of each kind.
type fixture struct {
	*Audit
	ids map[requestKind]string
}

func newFixture() *fixture {
	f := &fixture{NewAudit(), make(map[requestKind]string)}
	for _, c := range []callTemplate{lookup, booking, modelCall(stream, platformtest.StreamPath, "m0"), modelCall(resumable, platformtest.ResumablePath, "m0")} {
		id := platformtest.NextID()
		f.ids[c.kind] = id
		f.RecordRequest(id, c.kind, c.call)
	}
	return f
}

// arrival returns the arrival of the request of a kind at a server of the right service.
func (f *fixture) arrival(k requestKind) platformtest.Arrival {
	r := f.requests[f.ids[k]]
	return platformtest.Arrival{
		Server: "s1", Service: serviceOf(k), ID: f.ids[k], Method: r.call.Method, Target: r.call.Path, Host: platformtest.Host,
		Model: r.call.Model, Body: r.call.Body, Ran: true, ArrivedAt: time.Now(),
	}
}

// outcome returns a correct outcome of the request of a kind.
func (f *fixture) outcome(k requestKind) platformtest.Outcome {
	o := platformtest.Outcome{ID: f.ids[k], EchoedID: f.ids[k], Status: 200, BodyComplete: true, Sealed: true, RequestSent: true, StartedAt: time.Now(), Duration: time.Millisecond}
	if o.Body = "answer to " + o.ID; k == stream || k == resumable {
		o.Body = eventStream(1, streamEvents)
	}
	return o
}

// eventStream returns the body of a stream that has the events with the ids from and to and those between.
func eventStream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + string(rune('0'+i/10)) + string(rune('0'+i%10)) + "\ndata: x\n\n")
	}
	return b.String()
}

// TestAudit guards against an audit that misses violations, so that a soak passes without checking anything. Each violation
// must be reported, and nothing that is allowed may be.
func TestAudit(t *testing.T) {
	arrive := func(f *fixture, k requestKind, change func(*platformtest.Arrival)) {
		a := f.arrival(k)
		if change != nil {
			change(&a)
		}
		f.RequestArrived(a)
	}
	answer := func(f *fixture, k requestKind, change func(*platformtest.Outcome)) {
		o := f.outcome(k)
		if change != nil {
			change(&o)
		}
		f.CheckOutcome(o)
	}
	for _, c := range []struct {
		name, rule string // rule is empty if the sequence is allowed
		run        func(f *fixture)
	}{
		{"good answers", "", func(f *fixture) {
			for _, k := range []requestKind{idempotent, onceOnly, stream, resumable} {
				arrive(f, k, nil)
				answer(f, k, nil)
			}
		}},
		{"repeated lookup", "", func(f *fixture) { arrive(f, idempotent, nil); arrive(f, idempotent, nil) }},
		{"resumed stream", "", func(f *fixture) { arrive(f, resumable, nil); arrive(f, resumable, nil) }},
		{"booking runs twice", "TWICE", func(f *fixture) { arrive(f, onceOnly, nil); arrive(f, onceOnly, nil) }},
		{"stream runs twice", "TWICE", func(f *fixture) { arrive(f, stream, nil); arrive(f, stream, nil) }},
		{"booking not run by one server, then run", "", func(f *fixture) {
			arrive(f, onceOnly, func(a *platformtest.Arrival) { a.Ran = false })
			arrive(f, onceOnly, nil)
		}},
		{"refused after it ran", "REFUSED", func(f *fixture) {
			arrive(f, onceOnly, nil)
			answer(f, onceOnly, func(o *platformtest.Outcome) { o.Status, o.Sealed = 503, false })
		}},
		{"runs after it was refused", "REFUSED", func(f *fixture) {
			answer(f, idempotent, func(o *platformtest.Outcome) { o.Status, o.Sealed = 429, false })
			arrive(f, idempotent, nil)
		}},
		{"unknown request", "UNASKED", func(f *fixture) { arrive(f, idempotent, func(a *platformtest.Arrival) { a.ID = "none" }) }},
		{"changed body", "UNASKED", func(f *fixture) { arrive(f, onceOnly, func(a *platformtest.Arrival) { a.Body += "x" }) }},
		{"changed model", "UNASKED", func(f *fixture) { arrive(f, stream, func(a *platformtest.Arrival) { a.Model = "m1" }) }},
		{"wrong service", "ROUTE", func(f *fixture) {
			arrive(f, idempotent, func(a *platformtest.Arrival) { a.Service = platformtest.EngineService })
		}},
		{"answer to another request", "MIXED", func(f *fixture) {
			answer(f, idempotent, func(o *platformtest.Outcome) { o.EchoedID = f.ids[onceOnly] })
		}},
		{"wrong body", "MIXED", func(f *fixture) { answer(f, onceOnly, func(o *platformtest.Outcome) { o.Body = "answer to another" }) }},
		{"no seal", "MIXED", func(f *fixture) { answer(f, idempotent, func(o *platformtest.Outcome) { o.Sealed = false }) }},
		{"not found", "DENIED", func(f *fixture) {
			answer(f, idempotent, func(o *platformtest.Outcome) { o.Status, o.Sealed = 404, false })
		}},
		{"event missing", "ORDER", func(f *fixture) {
			answer(f, stream, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) + eventStream(6, streamEvents) })
		}},
		{"event twice", "ORDER", func(f *fixture) {
			answer(f, resumable, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) + eventStream(4, streamEvents) })
		}},
		{"short stream that ends without an error", "ORDER", func(f *fixture) {
			answer(f, stream, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) })
		}},
		{"cut stream", "LOST", func(f *fixture) {
			answer(f, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = eventStream(1, 4), false })
		}},
		{"cut stream during a fault", "", func(f *fixture) {
			f.BeginFault()()
			answer(f, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = eventStream(1, 4), false })
		}},
		{"cut stream of a caller that cancelled", "", func(f *fixture) {
			f.RecordCancel(f.ids[stream])
			answer(f, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = eventStream(1, 4), false })
		}},
		{"received by a server, then closed", "LOST", func(f *fixture) {
			arrive(f, onceOnly, nil)
			answer(f, onceOnly, func(o *platformtest.Outcome) { o.Status = 0 })
		}},
		{"closed before a server received it", "", func(f *fixture) { answer(f, onceOnly, func(o *platformtest.Outcome) { o.Status = 0 }) }},
		{"held until its deadline", "LOST", func(f *fixture) {
			answer(f, onceOnly, func(o *platformtest.Outcome) { o.Status, o.Duration = 0, callDeadline })
		}},
		{"two holders with one fencing token", "ONE", func(f *fixture) {
			f.OrderReceived(platformtest.ReceivedOrder{Server: "s1", Holder: "h1", Fence: 3})
			f.OrderReceived(platformtest.ReceivedOrder{Server: "s2", Holder: "h2", Fence: 3})
		}},
		{"sent to a server that has been draining for long", "DRAIN", func(f *fixture) {
			f.RecordDraining("s1")
			arrive(f, idempotent, func(a *platformtest.Arrival) { a.ArrivedAt = time.Now().Add(drainLimit + time.Second) })
		}},
		{"sent to a server that has just begun to drain", "", func(f *fixture) {
			f.RecordDraining("s1")
			arrive(f, idempotent, nil)
		}},
	} {
		f := newFixture()
		c.run(f)
		f.Finish()
		got := f.Violations()
		switch {
		case c.rule == "" && len(got) > 0:
			t.Errorf("%s: %v", c.name, got)
		case c.rule != "" && (len(got) == 0 || got[0].Rule != c.rule):
			t.Errorf("%s: %v, want %s", c.name, got, c.rule)
		}
	}
}

// TestAuditCancelledRequests guards against requests that keep running after their callers cancelled them.
func TestAuditCancelledRequests(t *testing.T) {
	a := NewAudit()
	for i := range 2 * minCancelledRuns {
		id := platformtest.NextID()
		a.RecordRequest(id, idempotent, lookup.call)
		a.RecordCancel(id)
		if i%2 == 0 {
			a.requests[id].cancelledAt = time.Now().Add(-cancelLimit - time.Second)
		}
		a.RequestEnded(platformtest.Arrival{ID: id}, true)
	}
	if a.Finish(); len(a.Violations()) != 1 || a.Violations()[0].Rule != "GONE" {
		t.Errorf("half of the cancelled requests kept running: %v", a.Violations())
	}
}

// TestAuditRetryBudget guards against retries beyond the budget.
func TestAuditRetryBudget(t *testing.T) {
	for retries, violated := range map[int]bool{retryExtra: false, retryExtra + 2: true} {
		a := NewAudit()
		id := platformtest.NextID()
		a.RecordRequest(id, idempotent, lookup.call)
		for range retries + 1 {
			a.RequestArrived(platformtest.Arrival{
				ID: id, Service: platformtest.PlainService, Method: lookup.call.Method, Target: lookup.call.Path, Host: platformtest.Host, ArrivedAt: time.Now(),
			})
		}
		a.Finish()
		if got := a.Violations(); (len(got) > 0) != violated {
			t.Errorf("%d retries: %v", retries, got)
		}
	}
}

// TestAuditConfigVersions guards against hosts that revert to an older configuration or apply a new one late.
func TestAuditConfigVersions(t *testing.T) {
	long := time.Now().Add(configApplyLimit + time.Second)
	answer := func(status int, begun time.Time) platformtest.Outcome {
		return platformtest.Outcome{Status: status, BodyComplete: true, StartedAt: begun}
	}
	for _, c := range []struct {
		name string
		rule string
		run  func(a *Audit)
	}{
		{"versions in order", "", func(a *Audit) { a.CheckProbe("h", 3, answer(200, time.Now())); a.CheckProbe("h", 1, answer(404, long)) }},
		{"dropped route served after the version that drops it", "CONFIG", func(a *Audit) {
			a.CheckProbe("h", 3, answer(200, time.Now()))
			a.CheckProbe("h", 1, answer(200, long))
		}},
		{"older version served by another process", "", func(a *Audit) {
			a.CheckProbe("h", 3, answer(200, time.Now()))
			a.CheckProbe("i", 1, answer(200, time.Now()))
		}},
		{"new route not found later", "CONFIG", func(a *Audit) {
			a.CheckProbe("h", 3, answer(200, time.Now()))
			a.CheckProbe("h", 3, answer(404, long))
		}},
		{"new route overdue", "CONFIG", func(a *Audit) { a.CheckProbe("h", 3, answer(404, long)) }},
		{"new route not yet due", "", func(a *Audit) { a.CheckProbe("h", 3, answer(404, time.Now())) }},
		{"dropped route served when overdue", "CONFIG", func(a *Audit) { a.CheckProbe("h", 1, answer(200, long)) }},
	} {
		a := NewAudit()
		for v := 1; v <= 3; v++ {
			a.RecordVersion(v)
		}
		c.run(a)
		got := a.Violations()
		if (len(got) > 0) != (c.rule != "") {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
