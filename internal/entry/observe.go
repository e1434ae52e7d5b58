package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/adminhttp"
	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/binding"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	requestDecisions = 16384 // kept decisions about requests: 20 s of a dispatcher at the target size of 760 asks/s
	rareDecisions    = 2048  // kept decisions of other kinds, which a flood of requests must not push out
	undeclared       = "-"   // caller and rank of a request that was not authenticated
)

// Final results of a request, as counted by the metric sycamore_requests_total.
const (
	resultAnswered  = "answered"
	resultInvalid   = "invalid"   // refused for what the request says; not run
	resultRefused   = "refused"   // not run for lack of capacity or of an endpoint
	resultUnknown   = "unknown"   // may have been run
	resultBroken    = "broken"    // the stream ended early
	resultCancelled = "cancelled" // the caller left
)

// observer holds what operators see of an entry.
type observer struct {
	metrics  *telemetry.Metrics
	requests *telemetry.Journal
	rare     *telemetry.Journal
	other    *telemetry.Series
	series   atomic.Pointer[map[seriesKey]*telemetry.Series]
}

type seriesKey struct{ caller, rank string }

func newObserver() *observer {
	o := &observer{metrics: telemetry.MustNewMetrics(), requests: telemetry.NewJournal(requestDecisions), rare: telemetry.NewJournal(rareDecisions)}
	o.other = o.metrics.Series(undeclared, undeclared)
	o.series.Store(&map[seriesKey]*telemetry.Series{})
	return o
}

// declare makes the series of all declared callers and ranks, and keeps those that exist.
func (o *observer) declare(snap *config.Snapshot) {
	old, next := *o.series.Load(), make(map[seriesKey]*telemetry.Series)
	for i := range snap.Callers {
		for j := range snap.Ranks {
			k := seriesKey{snap.Callers[i].Name, snap.Ranks[j].Name}
			if next[k] = old[k]; next[k] == nil {
				next[k] = o.metrics.Series(k.caller, k.rank)
			}
		}
	}
	o.series.Store(&next)
}

// of returns the series of a caller and rank; all undeclared ones share one.
func (o *observer) of(caller, rank string) *telemetry.Series {
	if s := (*o.series.Load())[seriesKey{caller, rank}]; s != nil {
		return s
	}
	return o.other
}

// find returns the kept decisions about a subject, oldest first.
func (o *observer) find(subject string) []telemetry.Decision {
	list := append(o.rare.Find(subject), o.requests.Find(subject)...)
	telemetry.SortDecisions(list)
	return list
}

// resultOf classifies a problem for the metrics.
func resultOf(p *problem) string {
	switch {
	case p.Executed != attempt.ExecutedNo:
		return resultUnknown
	case p.Status >= 400 && p.Status < 500:
		return resultInvalid
	}
	return resultRefused
}

// note records a decision about this request.
func (x *exchange) note(o *observer, decision, reason, model, endpoint string) {
	d := telemetry.Decision{Part: "entry", Subject: x.id, Decision: decision, Reason: reason, Fields: map[string]string{
		"caller": x.caller.Name, "rank": x.rank.Name, "model": model,
	}}
	if endpoint != "" {
		d.Fields["endpoint"] = endpoint
	}
	o.requests.Add(d)
}

// dispatched records a decision of the dispatcher that this process hosts.
func (o *observer) dispatched(out dispatch.Output) {
	d := &out.Decision
	if out.Kind == 0 {
		o.rare.Add(telemetry.Decision{Part: "dispatch", Subject: out.Endpoint, Decision: "ejection", Reason: d.Reason})
		return
	}
	name := map[wire.Kind]string{wire.KindGrant: "grant", wire.KindRefuse: "refuse", wire.KindPreempt: "preempt"}[out.Kind]
	f := map[string]string{
		"entry": out.To, "caller": d.Caller, "rank": d.Rank, "model": d.Model, "waitMs": strconv.FormatUint(uint64(d.WaitMs), 10),
	}
	if out.Endpoint != "" {
		f["endpoint"] = out.Endpoint
		f["candidates"] = strconv.Itoa(d.Candidates)
		f["score"] = strconv.FormatFloat(d.Score, 'g', 4, 64)
	}
	o.requests.Add(telemetry.Decision{Part: "dispatch", Subject: d.Request, Decision: name, Reason: d.Reason, Fields: f})
}

// configuration records what became of a configuration revision.
func (o *observer) configuration(revision uint64, decision, reason string) {
	o.rare.Add(telemetry.Decision{Part: "entry", Subject: "revision " + strconv.FormatUint(revision, 10), Decision: decision, Reason: reason})
}

// alone records a decision that this entry made without the dispatcher.
func (o *observer) alone(a binding.Alone) {
	d := telemetry.Decision{Part: "entry", Subject: a.Ask.Request, Decision: "chose alone", Reason: a.Reason, Fields: map[string]string{
		"caller": a.Ask.Caller, "rank": a.Ask.Rank, "model": a.Ask.Model, "waitMs": strconv.FormatInt(a.Waited.Milliseconds(), 10),
	}}
	if a.Endpoint == "" {
		d.Decision = "refused alone"
	} else {
		d.Fields["endpoint"] = a.Endpoint
	}
	o.requests.Add(d)
}

// gauges registers what is read at each collection.
func (e *Entry) gauges() error {
	m := e.observer.metrics
	server := func() *binding.Server {
		if b, ok := e.binder.(*binding.Binder); ok {
			return b.Options().Server
		}
		return nil
	}
	revision := func() float64 {
		if s := e.view.Load().Snapshot; s != nil {
			return float64(s.Revision)
		}
		return 0
	}
	placement := func() float64 {
		if p := e.view.Load().Placement; p != nil {
			return float64(p.Version)
		}
		return 0
	}
	stats := func() dispatch.Stats {
		if s := server(); s != nil {
			return s.Stats()
		}
		return dispatch.Stats{}
	}
	var errs []error
	gauge := func(name, help string, read func() float64) { errs = append(errs, m.Gauge(name, help, read)) }
	count := func(name, help string, read func() uint64) { errs = append(errs, m.Counter(name, help, read)) }
	gauge("sycamore.in.progress", "Requests in progress.", func() float64 { return float64(e.inFlight.Load()) })
	gauge("sycamore.dispatcher", "1 while this process is the cell's dispatcher.", func() float64 { return truth(server() != nil && server().Active()) })
	gauge("sycamore.ejected", "Endpoints that the dispatcher in this process has ejected.", func() float64 { return float64(len(stats().Ejected)) })
	gauge("sycamore.config.revision", "Configuration revision in force.", revision)
	gauge("sycamore.placement.version", "Version of the placement in use.", placement)
	gauge("sycamore.ready", "1 while the process is ready for requests.", func() float64 { return truth(e.ready()) })
	count("sycamore.control.bytes.sent", "Bytes sent on control connections.", e.counters.control.SentBytes.Load)
	count("sycamore.control.bytes.received", "Bytes received on control connections.", e.counters.control.ReceivedBytes.Load)
	path := func(bytes func(*transport.Counters) *atomic.Uint64) func() uint64 {
		return func() uint64 {
			return bytes(&e.counters.asks).Load() + bytes(&e.counters.dispatcher).Load() + bytes(&e.counters.claims).Load()
		}
	}
	count("sycamore.path.bytes.sent", "Bytes sent for requests between processes: asks and claims.",
		path(func(c *transport.Counters) *atomic.Uint64 { return &c.SentBytes }))
	count("sycamore.path.bytes.received", "Bytes received for requests between processes: asks and claims.",
		path(func(c *transport.Counters) *atomic.Uint64 { return &c.ReceivedBytes }))
	errs = append(errs, m.LabeledGauge("sycamore.waiting", "Requests in the queue of the dispatcher in this process.", "rank", func() map[string]int { return stats().Waiting }))
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// serveAdmin starts the admin server and returns the function that stops it.
func (e *Entry) serveAdmin() (stop func()) {
	if e.opts.AdminListen == "" {
		return func() {}
	}
	s := adminhttp.New(adminhttp.Options{
		Listen: e.opts.AdminListen, Token: e.opts.AdminToken, Ready: e.ready, Metrics: e.observer.metrics.Handler(), Log: e.opts.Log.Part("admin"),
	})
	s.HandleExplain(func(_ context.Context, subject string) telemetry.Explanation {
		return telemetry.Explanation{Subject: subject, Entries: e.observer.find(subject)}
	})
	s.HandleJSON("/status", func(context.Context) any { return e.Status() })
	return s.Start()
}

// answerInquiry tells a control process what an operator wants to know.
func (e *Entry) answerInquiry(q *wire.Inquiry) *wire.InquiryReply {
	r := &wire.InquiryReply{}
	if q.Subject != "" {
		r.Decisions = telemetry.ToWire(e.observer.find(q.Subject))
	}
	return r
}

// tokenClock measures the times between the tokens of one answer.
type tokenClock struct {
	series *telemetry.Series
	start  time.Time // arrival of the request
	latest time.Time // latest token, zero before the first
}

// token notes that a token was passed on.
func (t *tokenClock) token() {
	now := time.Now()
	if t.latest.IsZero() {
		t.series.FirstToken(now.Sub(t.start))
	} else {
		t.series.BetweenTokens(now.Sub(t.latest))
	}
	t.latest = now
}
