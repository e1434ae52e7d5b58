package host

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

const (
	maxSends       = 5               // of one request: refusals before execution don't count as attempts at an endpoint
	maxWhole       = 1 << 20         // bytes of an answer that is read whole before it is passed on
	maxAnswer      = 1 << 30         // bytes of one without a stated length, which an endpoint in trouble may send without end
	mostTime       = 5 * time.Minute // for a request to a plain service, if neither its caller nor its route sets a bound
	plainSilence   = 2.0             // times the target: then a repeatable request goes to another endpoint
	leastSilence   = 400 * time.Millisecond
	streamSilence  = 1500 * time.Millisecond // between events of a stream that can go on elsewhere
	firstSilence   = 2500 * time.Millisecond // before the first event of such a stream, at most
	firstShare     = 0.75                    // of the caller's patience, the same
	adapterRetry   = 12 * time.Millisecond   // until an adapter that is on its way can be used; doubles
	adapterRetries = 2
	mostLacking    = 3                      // attempts at one endpoint that lacks the model or adapter
	lackingPause   = 20 * time.Millisecond  // doubles while adapters can't be loaded
	mostPause      = 200 * time.Millisecond // of that
	defaultRetry   = 200 * time.Millisecond // in which a request that did not run may come back
)

var errSilent = errors.New("the endpoint was silent")

// exchange is one request of a caller with all its attempts.
type exchange struct {
	f       *front
	w       http.ResponseWriter
	q       *fleet.Request
	version uint64 // of the configuration

	outcome  attempt.Outcome // of all attempts
	sends    int
	ran      int // attempts that may have run
	exclude  []string
	lacking  map[string]int // attempts at endpoints that lacked the model or adapter
	unready  int            // attempts that ended because the adapter could not be loaded
	fallback *whole         // an error answer of an endpoint, kept while another one is tried
	last     *binding
	next     *binding // place of the next attempt, if it has one already
	lastErr  error
	stream   *relay
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// result of one attempt.
type result struct {
	outcome  attempt.Outcome
	fault    sched.Fault
	missing  bool          // the endpoint lacks the model or adapter
	again    bool          // the same endpoint may take it in a moment: the adapter is on its way
	quiet    time.Duration // for which the endpoint wants nothing from this host
	answer   *whole
	finished bool // the answer was passed on
	relayed  bool // events of a stream came
	err      error
}

// run makes attempts until the request is answered or no further one is safe.
func (x *exchange) run(ctx context.Context) {
	defer func() { x.next.release() }()
	for {
		b := x.next
		if x.next = nil; b == nil {
			var err error
			if b, err = x.f.h.binder.bind(ctx, x.ask(), x.times()); err != nil {
				x.notBound(ctx, err)
				return
			}
		}
		x.last = b
		r := x.try(ctx, b)
		if r.finished {
			return
		}
		x.outcome = attempt.Combine(x.outcome, r.outcome)
		x.lastErr = r.err
		x.leaveOut(ctx, b, &r)
		if r.answer != nil {
			x.fallback = r.answer
		}
		if !r.outcome.NotRun() {
			x.ran++
		}
		if ctx.Err() != nil || !x.mayRepeat(r.outcome) {
			x.finish(ctx)
			return
		}
		x.f.log.Info().Str("request", x.q.ID).Str("endpoint", b.endpoint).Str("outcome", r.outcome.String()).Str("fault", r.fault.String()).
			Bool("missing", r.missing).Int("sends", x.sends).Err(r.err).Msg("Attempt failed, another follows.")
	}
}

// leaveOut keeps further attempts away from an endpoint. One that lacks the model or adapter may be asked again: the
// dispatcher knows of it now, and it may be the only one that can serve the request. One where the adapter could not be
// loaded yet stays in any case, because the others have the same trouble when adapters compete for places.
// Without the dispatcher, nobody learns of it, and an endpoint that lacks something is left at once.
func (x *exchange) leaveOut(ctx context.Context, b *binding, r *result) {
	switch {
	case r.missing && r.outcome == attempt.NotSent:
		clock.Sleep(ctx, min(lackingPause<<min(x.unready, 8), mostPause))
		x.unready++
		return
	case r.missing && !b.alone:
		if x.lacking == nil {
			x.lacking = make(map[string]int)
		}
		if x.lacking[b.endpoint]++; x.lacking[b.endpoint] < mostLacking {
			return
		}
		clock.Sleep(ctx, lackingPause)
	}
	x.exclude = append(x.exclude, b.endpoint)
}

// startBy returns by when the answer has to begin. A stop of this host may come before the caller's patience ends.
func (x *exchange) startBy() time.Time {
	by := x.q.StartBy()
	if x.stream != nil && x.stream.begun {
		by = x.q.ContinueBy(x.stream.lastAt)
	}
	if s := x.f.h.stopping.Load(); s != nil {
		if t := s.begins(x.q.Route.Kind == fleet.Stream); by.IsZero() || t.Before(by) {
			return t
		}
	}
	return by
}

// times returns by when the answer has to begin and end.
func (x *exchange) times() times { return times{x.startBy(), x.target(), x.q.EndBy()} }

func (x *exchange) target() time.Time { return x.q.Arrived.Add(x.q.Route.Target) }

func (x *exchange) ask() wire.Ask {
	q := x.q
	return wire.Ask{
		Caller: q.Route.Name, Service: q.Service, Model: q.Model, Adapter: q.Adapter, PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens,
		ExpectedTokens: q.ExpectTokens, PromptParts: q.Parts, Priority: uint8(min(max(q.Route.Rank, 0), 255)), Request: q.ID,
		Exclude: x.exclude, Retry: x.sends > 0, Resumed: x.stream != nil, WarmEndpoints: x.warm(),
	}
}

// warm returns the endpoints that can serve the request and to which a connection is kept.
func (x *exchange) warm() []string {
	kept := x.f.h.pool.Warm(time.Now())
	var out []string
	v := x.f.h.directory.view()
	for i := range v.Endpoints {
		if e := &v.Endpoints[i]; e.Service == x.q.Service && kept[e.Address] && (x.q.Model == "" || e.Holds(x.q.Model) != nil) {
			out = append(out, e.ID)
		}
	}
	return out
}

// mayRepeat tells whether another attempt is allowed after one with this outcome. An answer with an error of the
// endpoint counts as answered; it may be repeated like an unknown outcome.
func (x *exchange) mayRepeat(o attempt.Outcome) bool {
	if x.sends >= maxSends {
		return false
	}
	if o.NotRun() {
		return true
	}
	return x.q.Route.Repeatable() && x.ran < x.q.Route.MaxAttempts
}

// try sends the request to the granted endpoint, and frees the place.
func (x *exchange) try(ctx context.Context, b *binding) result {
	if b.prepare {
		if r, ok := x.prepare(ctx, b, false); !ok {
			return r
		}
	}
	e := x.f.h.directory.view().Endpoint(b.endpoint)
	if e == nil || e.Draining {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent)})
		return result{outcome: attempt.NotSent, err: errors.Errorf("endpoint %s is leaving", b.endpoint)}
	}
	if left := x.f.h.quietLeft(e.ID); left > 0 {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent), RetryAfterMs: milliseconds(left)})
		return result{outcome: attempt.NotSent, err: errors.Errorf("endpoint %s wants nothing for %v", b.endpoint, left)}
	}
	start := time.Now()
	var r result
	resent := 0
	for {
		r = x.send(ctx, b, e, start)
		if !r.again || resent == adapterRetries {
			break
		}
		clock.Sleep(ctx, adapterRetry<<resent)
		resent++
	}
	d := wire.Done{RetryAfterMs: milliseconds(r.quiet), Resends: uint8(resent), Outcome: uint8(r.outcome), Fault: uint8(r.fault), Missing: r.missing, Failed: r.fault != sched.NoFault}
	if r.relayed {
		x.stream.tell(&d)
	}
	if r.outcome == attempt.Answered && r.fault == sched.NoFault {
		d.TotalMs = uint32(max(time.Since(start).Milliseconds(), 1))
	}
	if ctx.Err() != nil && errors.Cause(r.err) != errSilent && r.fault != sched.NoFault {
		d.Fault, d.Failed = 0, false // the caller left or its time is over: that is not the endpoint's fault
	}
	if r.missing && x.q.Adapter != "" {
		x.reload(b)
	}
	b.done(d)
	return r
}

// prepare has the request's adapter loaded. It frees the place if that fails.
func (x *exchange) prepare(ctx context.Context, b *binding, missing bool) (result, bool) {
	g := &b.c.grant
	wait, err := b.prepareAdapter(ctx, &wire.Prepare{
		Endpoint: b.endpoint, Model: x.q.Model, Adapter: x.q.Adapter, Missing: missing, Evict: g.Evict, Keep: g.Keep,
	})
	if err != nil && !b.alone {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent), Missing: true})
		return result{outcome: attempt.NotSent, missing: true, err: errors.Annotate(err, "adapter")}, false
	}
	if err == nil {
		clock.Sleep(ctx, wait)
	}
	return result{}, true // alone, the endpoint says whether it has the adapter
}

// reload tells the holder that an endpoint lacks an adapter that it believes to be there. The request does not wait for
// it.
func (x *exchange) reload(b *binding) {
	m := &wire.Prepare{Endpoint: b.endpoint, Model: x.q.Model, Adapter: x.q.Adapter, Missing: true}
	go func() {
		if _, err := b.prepareAdapter(context.Background(), m); err != nil {
			x.f.log.Debug().Str("endpoint", m.Endpoint).Str("adapter", m.Adapter).Err(err).Msg("Missing adapter is not loaded.")
		}
	}()
}

// movable tells whether the request may go on at another endpoint after this attempt.
func (x *exchange) movable() bool {
	return x.q.Route.Repeatable() && x.ran+1 < x.q.Route.MaxAttempts && x.sends < maxSends
}

// silence is the longest time without a byte of the answer before another endpoint is looked for or, if there can't be
// another one, the caller has left; 0 for no bound but the request's own.
func (x *exchange) silence() time.Duration {
	rt := x.q.Route
	switch {
	case rt.Kind == fleet.Stream && x.movable():
		return min(firstSilence, time.Duration(firstShare*float64(rt.Patience())))
	case rt.Kind == fleet.Stream:
		return max(time.Until(x.q.StartBy()), leastSilence)
	case x.movable():
		return max(time.Duration(plainSilence*float64(rt.Target)), leastSilence)
	}
	return 0
}

// pauseSilence is silence between two events of a stream.
func (x *exchange) pauseSilence() time.Duration {
	if x.movable() {
		return min(streamSilence, time.Duration(firstShare*float64(x.q.Route.Patience())))
	}
	return x.q.Route.Patience()
}

// mover looks for another endpoint while one is silent. The silent one may still answer: its attempt is ended only when
// another one has a place.
type mover struct {
	x        *exchange
	ask      wire.Ask
	again    time.Duration // between two looks
	cancel   context.CancelCauseFunc
	watchdog *watchdog

	mu    sync.Mutex
	ended bool // the attempt is over
	found *binding
}

// watch starts the watchdog of an attempt.
func (x *exchange) watch(ctx context.Context, endpoint string, cancel context.CancelCauseFunc) *mover {
	m := &mover{x: x, cancel: cancel, again: x.pauseSilence()}
	if !x.movable() {
		m.watchdog = newWatchdog(x.silence(), func() { cancel(errSilent) })
		return m
	}
	m.ask = x.ask()
	m.ask.Exclude = append(slices.Clone(x.exclude), endpoint)
	m.ask.Retry, m.ask.Resumed = true, x.q.Route.Kind == fleet.Stream
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchdog = newWatchdog(x.silence(), func() { m.look(ctx) })
	return m
}

// look asks for a place that is free at once.
func (m *mover) look(ctx context.Context) {
	b, err := m.x.f.h.binder.bind(ctx, m.ask, times{time.Now(), m.x.target(), m.x.q.EndBy()})
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && !m.ended && m.x.q.Route.Kind == fleet.Stream && m.watchdog.silent() >= m.x.q.Route.Patience():
		m.cancel(errSilent) // its caller has left, or would leave now
	case err != nil && !m.ended:
		m.x.f.log.Info().Str("request", m.x.q.ID).Int64("againMs", m.again.Milliseconds()).Err(err).Msg("Endpoint is silent, no other has a place.")
		m.watchdog.again(m.again)
	case err != nil:
	case m.ended:
		b.release()
	default:
		m.found = b
		m.cancel(errSilent)
	}
}

// end stops looking, and returns the place that was found.
func (m *mover) end() *binding {
	m.watchdog.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	return m.found
}

// send makes one exchange with an endpoint.
func (x *exchange) send(ctx context.Context, b *binding, e *fleet.Endpoint, start time.Time) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	m := x.watch(ctx, b.endpoint, cancel)
	defer func() {
		if b := m.end(); b != nil {
			x.next.release()
			x.next = b
		}
	}()
	var left time.Duration
	if end := x.q.EndBy(); !end.IsZero() {
		left = time.Until(end)
		if left <= 0 {
			return result{outcome: attempt.NotSent, err: errTimeout}
		}
	}
	x.sends++
	resp, err := x.f.h.pool.RoundTrip(ctx, x.f.h.opts.Codec.Outgoing(x.q, e, left, x.resumeAfter()))
	if err != nil {
		return x.failed(ctx, err)
	}
	r := x.receive(ctx, b, e, resp, start, m.watchdog)
	if r.err != nil && context.Cause(ctx) == errSilent {
		r.fault, r.err = sched.Silent, errSilent
	}
	return r
}

// milliseconds returns a duration for a message, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func (x *exchange) resumeAfter() string {
	if x.stream != nil && x.stream.lastID != "" {
		return x.stream.lastID
	}
	return ""
}

// failed classifies an exchange without a response.
func (x *exchange) failed(ctx context.Context, err error) result {
	var ue *upstream.Error
	if !errors.As(err, &ue) {
		return result{outcome: attempt.Unknown, fault: sched.Broken, err: err}
	}
	r := result{outcome: attempt.Unknown, fault: sched.Broken, err: err}
	if !ue.Sent {
		r.outcome = attempt.NotSent
	}
	switch {
	case context.Cause(ctx) == errSilent:
		r.fault, r.err = sched.Silent, errSilent
	case ue.Dial:
		r.fault = sched.Connect
	case upstream.IsTimeout(err):
		r.fault = sched.Silent
	case !ue.Sent:
		r.fault = sched.NoFault
	}
	return r
}

// receive judges a response and passes it on if it is the request's.
func (x *exchange) receive(ctx context.Context, b *binding, e *fleet.Endpoint, resp *upstream.Response, start time.Time, w *watchdog) result {
	a := x.f.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
	x.f.h.heed(e, &a)
	switch {
	case a.RequestID != "" && a.RequestID != x.q.ID:
		resp.Close(false)
		return result{outcome: attempt.Unknown, fault: sched.Broken, err: errors.Errorf("response belongs to request %s", a.RequestID)}
	case a.NotRun:
		return x.turnedDown(e, resp, &a)
	case resp.StatusCode < 300 && !a.Sealed:
		resp.Close(false)
		return result{outcome: attempt.Unknown, fault: sched.Broken, err: errors.Errorf("status %d without a seal", resp.StatusCode)}
	case x.stream != nil && resp.StatusCode >= 300:
		resp.Close(false)
		return result{outcome: attempt.Unknown, fault: sched.ErrorSaid, err: errors.Errorf("status %d to a stream that goes on", resp.StatusCode)}
	case x.q.Route.Kind == fleet.Stream && resp.StatusCode < 300:
		r := x.relay(ctx, b, resp, start, w)
		r.relayed = x.stream != nil
		return r
	}
	return x.whole(ctx, b, resp, start)
}

// turnedDown handles an endpoint's statement that the request did not run.
func (x *exchange) turnedDown(e *fleet.Endpoint, resp *upstream.Response, a *fleet.Answer) result {
	_, more, err := resp.ReadAll(maxReport)
	resp.Close(err == nil && !more)
	r := result{outcome: attempt.Refused, quiet: a.Quiet, err: errors.Errorf("endpoint refused with status %d", resp.StatusCode)}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && a.Instance != "" && a.Instance != e.ID:
		r.fault = sched.Elsewhere
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.missing = true
	case x.q.Adapter != "" && x.last.prepare && a.Quiet == 0:
		r.again = true
	}
	return r
}

// whole reads an answer to its end and passes it on, unless another attempt may do better.
func (x *exchange) whole(ctx context.Context, b *binding, resp *upstream.Response, start time.Time) result {
	body, more, err := resp.ReadAll(maxWhole)
	if err != nil {
		resp.Close(false)
		return result{outcome: attempt.Unknown, fault: sched.Broken, err: err}
	}
	if more {
		return x.long(resp, body)
	}
	resp.Close(true)
	x.f.h.opts.Codec.PassOn(resp.Header)
	ans := &whole{resp.StatusCode, resp.Header, body}
	fault := sched.NoFault
	if resp.StatusCode >= 500 {
		fault = sched.ErrorSaid
		if x.q.Route.Kind == fleet.Idempotent && x.ran+1 < x.q.Route.MaxAttempts && ctx.Err() == nil && x.sends < maxSends {
			return result{outcome: attempt.Unknown, fault: fault, answer: ans, err: errors.Errorf("endpoint answered %d", resp.StatusCode)}
		}
	}
	x.pass(ans)
	return result{outcome: attempt.Answered, fault: fault, finished: true}
}

// long passes on an answer that is too long to be kept.
func (x *exchange) long(resp *upstream.Response, begun []byte) result {
	x.f.h.opts.Codec.PassOn(resp.Header)
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	_, werr := x.w.Write(begun)
	n, err := copyBody(x.w, resp, maxAnswer)
	resp.Close(err == nil && werr == nil)
	x.logEnd("answered", resp.StatusCode, err)
	if err != nil || werr != nil {
		x.f.log.Warn().Str("request", x.q.ID).Int64("bytes", n).Err(err).Msg("Answer cut.")
		x.last.done(wire.Done{Outcome: uint8(attempt.Unknown), Fault: uint8(sched.Broken)})
		panic(http.ErrAbortHandler)
	}
	return result{outcome: attempt.Answered, finished: true}
}

// copyHeader sets the header of an endpoint's answer.
func (x *exchange) copyHeader(h http.Header) {
	out := x.w.Header()
	for k, v := range h {
		out[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // none is made up
	}
}

func (x *exchange) pass(a *whole) {
	x.copyHeader(a.header)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.logEnd("caller left", a.status, err)
		return
	}
	x.logEnd("answered", a.status, nil)
}

// notBound ends a request that got no place for its next attempt.
func (x *exchange) notBound(ctx context.Context, err error) {
	var ref *refusal
	if errors.As(err, &ref) && x.outcome != attempt.Unknown && x.fallback == nil && x.stream == nil {
		x.turnAway(ref.reason, ref.retryAfter)
		return
	}
	x.lastErr = err
	x.finish(ctx)
}

// finish answers a request whose attempts are over without an answer that could be passed on.
func (x *exchange) finish(ctx context.Context) {
	switch {
	case x.stream != nil:
		x.logEnd("stream broken", 0, x.lastErr)
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.Canceled):
		x.logEnd("caller left", 0, x.lastErr)
		panic(http.ErrAbortHandler)
	case x.fallback != nil:
		x.pass(x.fallback)
	case (x.outcome.NotRun() || x.outcome == 0) && ctx.Err() == nil:
		x.turnAway("no attempt reached an endpoint", defaultRetry)
	case ctx.Err() != nil:
		x.own(http.StatusGatewayTimeout, "the request's time is over", 0)
	default:
		x.own(http.StatusBadGateway, "the endpoint gave no answer", 0)
	}
}

// turnAway answers a request that has not run and will not run.
func (x *exchange) turnAway(reason string, retryAfter time.Duration) {
	x.own(http.StatusServiceUnavailable, reason, retryAfter)
}

// own gives an answer of the system itself.
func (x *exchange) own(status int, reason string, retryAfter time.Duration) {
	x.f.h.opts.Codec.OwnAnswer(x.w.Header(), x.q.ID, retryAfter)
	http.Error(x.w, reason, status)
	if x.lastErr == nil {
		x.lastErr = errors.New(reason)
	}
	x.logEnd("own answer", status, x.lastErr)
}

// logEnd writes the line that tells how a request ended, with the inputs of the last decision.
func (x *exchange) logEnd(how string, status int, err error) {
	q := x.q
	outcome := x.outcome.String()
	switch {
	case how == "answered":
		outcome = attempt.Answered.String()
	case x.outcome == 0:
		outcome = "no attempt"
	}
	l := x.f.log.Info().Str("request", q.ID).Str("how", how).Int("status", status).Int64("totalMs", time.Since(q.Arrived).Milliseconds()).
		Uint64("config", x.version).Int("sends", x.sends).Str("outcome", outcome)
	if q.Route != nil {
		l = l.Str("route", q.Route.Name).Str("kind", q.Route.Kind.String()).Int("rank", q.Route.Rank).Str("service", q.Service)
	}
	if q.Model != "" {
		l = l.Str("model", q.Model).Str("adapter", q.Adapter).Uint32("prompt", q.PromptTokens)
	}
	if b := x.last; b != nil {
		l = l.Str("endpoint", b.endpoint).Bool("alone", b.alone).Bool("prepare", b.prepare).Uint16("used", b.c.grant.UsedSlots).
			Uint32("queueMs", b.c.grant.QueueMs).Uint32("predictedMs", b.c.grant.FirstMs)
	}
	if s := x.stream; s != nil {
		l = l.Int64("firstMs", s.first.Milliseconds()).Int("events", s.events).Int64("pauseMs", s.pause.Milliseconds()).Int("resumes", s.resumes)
	}
	l.Err(err).Msg("Request ended.")
	x.measure(how, status)
}

func (x *exchange) measure(how string, status int) {
	m := x.f.h.opts.Metrics
	if m == nil || x.q.Route == nil {
		return
	}
	s := x.f.series(x.q.Route)
	s.Request(how + " " + http.StatusText(status))
	if x.stream != nil {
		s.FirstToken(x.stream.first)
	} else {
		s.FirstToken(time.Since(x.q.Arrived))
	}
	if x.last != nil {
		s.QueueTime(time.Duration(x.last.c.grant.QueueMs) * time.Millisecond)
	}
	for range max(x.sends-1, 0) {
		s.Retry()
	}
}
