package soak

import (
	"strings"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// auditFixture is an audit that has recorded one request of each kind.
type auditFixture struct {
	*Audit
	ids map[requestKind]string
}

func newAuditFixture() *auditFixture {
	b := &auditFixture{NewAudit(), make(map[requestKind]string)}
	for _, c := range []callTemplate{lookup, booking, modelCall(stream, platformtest.StreamPath, "m0"), modelCall(resumable, platformtest.ResumablePath, "m0")} {
		id := platformtest.NextID()
		b.ids[c.kind] = id
		b.RecordRequest(id, c.kind, c.call)
	}
	return b
}

// arrival returns the arrival of the request of a kind at a server of the right service.
func (b *auditFixture) arrival(k requestKind) platformtest.Arrival {
	r := b.requests[b.ids[k]]
	return platformtest.Arrival{
		Server: "s1", Service: serviceOf(k), ID: b.ids[k], Method: r.call.Method, Target: r.call.Path, Host: platformtest.Host,
		Model: r.call.Model, Body: r.call.Body, Ran: true, At: time.Now(),
	}
}

// outcome returns a correct outcome of the request of a kind.
func (b *auditFixture) outcome(k requestKind) platformtest.Outcome {
	o := platformtest.Outcome{ID: b.ids[k], Echo: b.ids[k], Status: 200, Whole: true, Sealed: true, Sent: true, Begun: time.Now(), Duration: time.Millisecond}
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
	arrive := func(b *auditFixture, k requestKind, change func(*platformtest.Arrival)) {
		a := b.arrival(k)
		if change != nil {
			change(&a)
		}
		b.Arrived(a)
	}
	answer := func(b *auditFixture, k requestKind, change func(*platformtest.Outcome)) {
		o := b.outcome(k)
		if change != nil {
			change(&o)
		}
		b.CheckOutcome(o)
	}
	for _, c := range []struct {
		name, rule string // rule is empty if the sequence is allowed
		run        func(b *auditFixture)
	}{
		{"good answers", "", func(b *auditFixture) {
			for _, k := range []requestKind{idempotent, nonIdempotent, stream, resumable} {
				arrive(b, k, nil)
				answer(b, k, nil)
			}
		}},
		{"repeated lookup", "", func(b *auditFixture) { arrive(b, idempotent, nil); arrive(b, idempotent, nil) }},
		{"resumed stream", "", func(b *auditFixture) { arrive(b, resumable, nil); arrive(b, resumable, nil) }},
		{"booking runs twice", "TWICE", func(b *auditFixture) { arrive(b, nonIdempotent, nil); arrive(b, nonIdempotent, nil) }},
		{"stream runs twice", "TWICE", func(b *auditFixture) { arrive(b, stream, nil); arrive(b, stream, nil) }},
		{"booking not run by one server, then run", "", func(b *auditFixture) {
			arrive(b, nonIdempotent, func(a *platformtest.Arrival) { a.Ran = false })
			arrive(b, nonIdempotent, nil)
		}},
		{"refused after it ran", "REFUSED", func(b *auditFixture) {
			arrive(b, nonIdempotent, nil)
			answer(b, nonIdempotent, func(o *platformtest.Outcome) { o.Status, o.Sealed = 503, false })
		}},
		{"runs after it was refused", "REFUSED", func(b *auditFixture) {
			answer(b, idempotent, func(o *platformtest.Outcome) { o.Status, o.Sealed = 429, false })
			arrive(b, idempotent, nil)
		}},
		{"unknown request", "UNASKED", func(b *auditFixture) { arrive(b, idempotent, func(a *platformtest.Arrival) { a.ID = "none" }) }},
		{"changed body", "UNASKED", func(b *auditFixture) { arrive(b, nonIdempotent, func(a *platformtest.Arrival) { a.Body += "x" }) }},
		{"changed model", "UNASKED", func(b *auditFixture) { arrive(b, stream, func(a *platformtest.Arrival) { a.Model = "m1" }) }},
		{"wrong service", "ROUTE", func(b *auditFixture) {
			arrive(b, idempotent, func(a *platformtest.Arrival) { a.Service = platformtest.EngineService })
		}},
		{"answer to another request", "MIXED", func(b *auditFixture) {
			answer(b, idempotent, func(o *platformtest.Outcome) { o.Echo = b.ids[nonIdempotent] })
		}},
		{"wrong body", "MIXED", func(b *auditFixture) {
			answer(b, nonIdempotent, func(o *platformtest.Outcome) { o.Body = "answer to another" })
		}},
		{"no seal", "MIXED", func(b *auditFixture) { answer(b, idempotent, func(o *platformtest.Outcome) { o.Sealed = false }) }},
		{"not found", "DENIED", func(b *auditFixture) {
			answer(b, idempotent, func(o *platformtest.Outcome) { o.Status, o.Sealed = 404, false })
		}},
		{"event missing", "ORDER", func(b *auditFixture) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) + eventStream(6, streamEvents) })
		}},
		{"event twice", "ORDER", func(b *auditFixture) {
			answer(b, resumable, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) + eventStream(4, streamEvents) })
		}},
		{"short stream that ends without an error", "ORDER", func(b *auditFixture) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body = eventStream(1, 4) })
		}},
		{"cut stream", "LOST", func(b *auditFixture) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.Whole = eventStream(1, 4), false })
		}},
		{"cut stream during a fault", "", func(b *auditFixture) {
			b.BeginFault()()
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.Whole = eventStream(1, 4), false })
		}},
		{"cut stream of a caller that cancelled", "", func(b *auditFixture) {
			b.RecordCancel(b.ids[stream])
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.Whole = eventStream(1, 4), false })
		}},
		{"received by a server, then closed", "LOST", func(b *auditFixture) {
			arrive(b, nonIdempotent, nil)
			answer(b, nonIdempotent, func(o *platformtest.Outcome) { o.Status = 0 })
		}},
		{"closed before a server received it", "", func(b *auditFixture) { answer(b, nonIdempotent, func(o *platformtest.Outcome) { o.Status = 0 }) }},
		{"held until its deadline", "LOST", func(b *auditFixture) {
			answer(b, nonIdempotent, func(o *platformtest.Outcome) { o.Status, o.Duration = 0, callDeadline })
		}},
		{"two holders with one fencing token", "ONE", func(b *auditFixture) {
			b.Ordered(platformtest.Ordered{Server: "s1", Holder: "h1", Fence: 3})
			b.Ordered(platformtest.Ordered{Server: "s2", Holder: "h2", Fence: 3})
		}},
		{"sent to a server that has been draining for long", "DRAIN", func(b *auditFixture) {
			b.RecordDraining("s1")
			arrive(b, idempotent, func(a *platformtest.Arrival) { a.At = time.Now().Add(drainLimit + time.Second) })
		}},
		{"sent to a server that has just begun to drain", "", func(b *auditFixture) {
			b.RecordDraining("s1")
			arrive(b, idempotent, nil)
		}},
	} {
		b := newAuditFixture()
		c.run(b)
		b.Finish()
		got := b.Violations()
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
		a.Ended(platformtest.Arrival{ID: id}, true)
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
			a.Arrived(platformtest.Arrival{
				ID: id, Service: platformtest.PlainService, Method: lookup.call.Method, Target: lookup.call.Path, Host: platformtest.Host, At: time.Now(),
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
		return platformtest.Outcome{Status: status, Whole: true, Begun: begun}
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
