package soak

import (
	"strings"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// bench has an audit with one request of each kind.
type auditBench struct {
	*Audit
	ids map[requestKind]string
}

func newAuditBench() *auditBench {
	b := &auditBench{NewAudit(), make(map[requestKind]string)}
	for _, c := range []call{lookup, booking, modelCall(stream, platformtest.StreamPath, "m0"), modelCall(resumable, platformtest.ResumablePath, "m0")} {
		id := platformtest.NextID()
		b.ids[c.kind] = id
		b.Asked(id, c.kind, c.call)
	}
	return b
}

// arrival is what a server sees of the request of a kind.
func (b *auditBench) arrival(k requestKind) platformtest.Arrival {
	r := b.requests[b.ids[k]]
	return platformtest.Arrival{
		Server: "s1", Service: serviceOf(k), ID: b.ids[k], Method: r.call.Method, Target: r.call.Path, Host: platformtest.Host,
		Model: r.call.Model, Body: r.call.Body, Ran: true, ArrivedAt: time.Now(),
	}
}

// outcome is a good answer to the request of a kind.
func (b *auditBench) outcome(k requestKind) platformtest.Outcome {
	o := platformtest.Outcome{ID: b.ids[k], EchoedID: b.ids[k], Status: 200, BodyComplete: true, Sealed: true, RequestSent: true, StartedAt: time.Now(), Duration: time.Millisecond}
	if o.Body = "answer to " + o.ID; k == stream || k == resumable {
		o.Body = events(1, streamEvents)
	}
	return o
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + string(rune('0'+i/10)) + string(rune('0'+i%10)) + "\ndata: x\n\n")
	}
	return b.String()
}

// TestAudit guards against a soak that passes because its checks see nothing: each broken promise has to be reported, and
// what is allowed must not be.
func TestAudit(t *testing.T) {
	arrive := func(b *auditBench, k requestKind, change func(*platformtest.Arrival)) {
		a := b.arrival(k)
		if change != nil {
			change(&a)
		}
		b.RequestArrived(a)
	}
	answer := func(b *auditBench, k requestKind, change func(*platformtest.Outcome)) {
		o := b.outcome(k)
		if change != nil {
			change(&o)
		}
		b.Answered(o)
	}
	for _, c := range []struct {
		name, rule string // no rule: allowed
		play       func(b *auditBench)
	}{
		{"good answers", "", func(b *auditBench) {
			for _, k := range []requestKind{plain, once, stream, resumable} {
				arrive(b, k, nil)
				answer(b, k, nil)
			}
		}},
		{"repeated lookup", "", func(b *auditBench) { arrive(b, plain, nil); arrive(b, plain, nil) }},
		{"resumed stream", "", func(b *auditBench) { arrive(b, resumable, nil); arrive(b, resumable, nil) }},
		{"booking runs twice", "TWICE", func(b *auditBench) { arrive(b, once, nil); arrive(b, once, nil) }},
		{"stream runs twice", "TWICE", func(b *auditBench) { arrive(b, stream, nil); arrive(b, stream, nil) }},
		{"booking turned down, then run", "", func(b *auditBench) {
			arrive(b, once, func(a *platformtest.Arrival) { a.Ran = false })
			arrive(b, once, nil)
		}},
		{"refused after it ran", "REFUSED", func(b *auditBench) {
			arrive(b, once, nil)
			answer(b, once, func(o *platformtest.Outcome) { o.Status, o.Sealed = 503, false })
		}},
		{"runs after it was refused", "REFUSED", func(b *auditBench) {
			answer(b, plain, func(o *platformtest.Outcome) { o.Status, o.Sealed = 429, false })
			arrive(b, plain, nil)
		}},
		{"unknown request", "UNASKED", func(b *auditBench) { arrive(b, plain, func(a *platformtest.Arrival) { a.ID = "none" }) }},
		{"changed body", "UNASKED", func(b *auditBench) { arrive(b, once, func(a *platformtest.Arrival) { a.Body += "x" }) }},
		{"changed model", "UNASKED", func(b *auditBench) { arrive(b, stream, func(a *platformtest.Arrival) { a.Model = "m1" }) }},
		{"wrong service", "ROUTE", func(b *auditBench) {
			arrive(b, plain, func(a *platformtest.Arrival) { a.Service = platformtest.EngineService })
		}},
		{"answer to another request", "MIXED", func(b *auditBench) {
			answer(b, plain, func(o *platformtest.Outcome) { o.EchoedID = b.ids[once] })
		}},
		{"wrong body", "MIXED", func(b *auditBench) { answer(b, once, func(o *platformtest.Outcome) { o.Body = "answer to another" }) }},
		{"no seal", "MIXED", func(b *auditBench) { answer(b, plain, func(o *platformtest.Outcome) { o.Sealed = false }) }},
		{"not found", "DENIED", func(b *auditBench) {
			answer(b, plain, func(o *platformtest.Outcome) { o.Status, o.Sealed = 404, false })
		}},
		{"event missing", "ORDER", func(b *auditBench) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body = events(1, 4) + events(6, streamEvents) })
		}},
		{"event twice", "ORDER", func(b *auditBench) {
			answer(b, resumable, func(o *platformtest.Outcome) { o.Body = events(1, 4) + events(4, streamEvents) })
		}},
		{"short stream that looks whole", "ORDER", func(b *auditBench) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body = events(1, 4) })
		}},
		{"cut stream", "LOST", func(b *auditBench) {
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = events(1, 4), false })
		}},
		{"cut stream beside a fault", "", func(b *auditBench) {
			b.FaultBegins()()
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = events(1, 4), false })
		}},
		{"cut stream of a caller that left", "", func(b *auditBench) {
			b.Left(b.ids[stream])
			answer(b, stream, func(o *platformtest.Outcome) { o.Body, o.BodyComplete = events(1, 4), false })
		}},
		{"passed on and closed", "LOST", func(b *auditBench) {
			arrive(b, once, nil)
			answer(b, once, func(o *platformtest.Outcome) { o.Status = 0 })
		}},
		{"closed before it was read", "", func(b *auditBench) { answer(b, once, func(o *platformtest.Outcome) { o.Status = 0 }) }},
		{"held until its deadline", "LOST", func(b *auditBench) {
			answer(b, once, func(o *platformtest.Outcome) { o.Status, o.Duration = 0, callDeadline })
		}},
		{"two holders under one fence", "ONE", func(b *auditBench) {
			b.OrderReceived(platformtest.ReceivedOrder{Server: "s1", Holder: "h1", Fence: 3})
			b.OrderReceived(platformtest.ReceivedOrder{Server: "s2", Holder: "h2", Fence: 3})
		}},
		{"sent to a server that left long ago", "DRAIN", func(b *auditBench) {
			b.Draining("s1")
			arrive(b, plain, func(a *platformtest.Arrival) { a.ArrivedAt = time.Now().Add(drainWithin + time.Second) })
		}},
		{"sent to a server that has just left", "", func(b *auditBench) {
			b.Draining("s1")
			arrive(b, plain, nil)
		}},
	} {
		b := newAuditBench()
		c.play(b)
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

// TestAuditOfLeavers guards against work that goes on for callers who have left.
func TestAuditOfLeavers(t *testing.T) {
	a := NewAudit()
	for i := range 2 * leastLeft {
		id := platformtest.NextID()
		a.Asked(id, plain, lookup.call)
		a.Left(id)
		if i%2 == 0 {
			a.requests[id].left = time.Now().Add(-leftWithin - time.Second)
		}
		a.RequestEnded(platformtest.Arrival{ID: id}, true)
	}
	if a.Finish(); len(a.Violations()) != 1 || a.Violations()[0].Rule != "GONE" {
		t.Errorf("half of the runs went on: %v", a.Violations())
	}
}

// TestAuditOfRepeats guards against repeats beyond the budget.
func TestAuditOfRepeats(t *testing.T) {
	for repeats, broken := range map[int]bool{repeatExtra: false, repeatExtra + 2: true} {
		a := NewAudit()
		id := platformtest.NextID()
		a.Asked(id, plain, lookup.call)
		for range repeats + 1 {
			a.RequestArrived(platformtest.Arrival{
				ID: id, Service: platformtest.PlainService, Method: lookup.call.Method, Target: lookup.call.Path, Host: platformtest.Host, ArrivedAt: time.Now(),
			})
		}
		a.Finish()
		if got := a.Violations(); (len(got) > 0) != broken {
			t.Errorf("%d repeats: %v", repeats, got)
		}
	}
}

// TestAuditOfVersions guards against hosts that go back to an older configuration, or take a new one over late.
func TestAuditOfVersions(t *testing.T) {
	long := time.Now().Add(applyWithin + time.Second)
	answer := func(status int, begun time.Time) platformtest.Outcome {
		return platformtest.Outcome{Status: status, BodyComplete: true, StartedAt: begun}
	}
	for _, c := range []struct {
		name string
		rule string
		play func(a *Audit)
	}{
		{"in step", "", func(a *Audit) { a.Probed("h", 3, answer(200, time.Now())); a.Probed("h", 1, answer(404, long)) }},
		{"dropped route served after the version that drops it", "CONFIG", func(a *Audit) {
			a.Probed("h", 3, answer(200, time.Now()))
			a.Probed("h", 1, answer(200, long))
		}},
		{"by another process", "", func(a *Audit) {
			a.Probed("h", 3, answer(200, time.Now()))
			a.Probed("i", 1, answer(200, time.Now()))
		}},
		{"new route not found later", "CONFIG", func(a *Audit) {
			a.Probed("h", 3, answer(200, time.Now()))
			a.Probed("h", 3, answer(404, long))
		}},
		{"new route late", "CONFIG", func(a *Audit) { a.Probed("h", 3, answer(404, long)) }},
		{"new route not yet", "", func(a *Audit) { a.Probed("h", 3, answer(404, time.Now())) }},
		{"dropped route late", "CONFIG", func(a *Audit) { a.Probed("h", 1, answer(200, long)) }},
	} {
		a := NewAudit()
		for v := 1; v <= 3; v++ {
			a.Configured(v)
		}
		c.play(a)
		got := a.Violations()
		if (len(got) > 0) != (c.rule != "") {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
