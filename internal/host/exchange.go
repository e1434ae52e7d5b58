package host

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
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
	maxSends            = 5               // of one request, including those that were refused before execution
	maxBufferedAnswer   = 1 << 20         // size up to which an answer is read whole before it is passed on
	maxUnsizedAnswer    = 1 << 30         // limit for an answer without a stated length, which a faulty endpoint might never end
	defaultPlainTimeout = 5 * time.Minute // for a request to a plain service if neither its caller nor its route sets a limit
	plainSilenceFactor  = 2.0             // times the target; after this silence a repeatable request goes to another endpoint
	minSilence          = 400 * time.Millisecond
	maxEventGap         = 1500 * time.Millisecond // between events of a stream that another endpoint can resume
	maxFirstEventWait   = 2500 * time.Millisecond // before the first event of such a stream
	patienceShare       = 0.75                    // largest share of the caller's patience for maxEventGap and maxFirstEventWait
	adapterRetryDelay   = 12 * time.Millisecond   // before another send to an endpoint that is still loading the adapter; doubles
	adapterRetries      = 2                       // further sends to such an endpoint
	maxLackingAttempts  = 3                       // attempts at one endpoint that lacks the model or adapter
	lackingDelay        = 20 * time.Millisecond   // doubles while adapters can't be loaded, up to maxLackingDelay
	maxLackingDelay     = 200 * time.Millisecond  // upper limit of lackingDelay
	maxHolderSilence    = 1500 * time.Millisecond // for which the holder of the placement lease may be out of this host's reach
	retryAfterNoHolder  = time.Second             // Retry-After of a request that needs it
	retryAfterNotRun    = 200 * time.Millisecond  // Retry-After of a request that did not run
	maxLoggedParts      = 8                       // parts of a prompt in a log line
	maxDiscardedBytes   = 64 << 10                // of a body that is not used, before its connection is closed
	maxDiscardTime      = 100 * time.Millisecond  // for the end of such a body, which comes with the head from a sound endpoint
)

var (
	errSilent         = errors.New("the endpoint was silent")
	errStopping error = &refusal{reason: "the host is stopping", retryAfter: retryAfterStopping}
)

// exchange is one request of a caller and the state of all its attempts.
type exchange struct {
	f             *front
	w             http.ResponseWriter
	q             *fleet.Request
	configVersion uint64 // revision of the configuration

	outcome         attempt.Outcome // combined over all attempts
	sends           int             // requests sent to endpoints
	possibleRuns    int             // attempts that may have been executed
	exclude         []string        // endpoints that get no further attempt
	lackingAttempts map[string]int  // attempts by endpoint, where it lacked the model or adapter
	adapterFailures int             // attempts that failed because the adapter could not be loaded
	holderLostAt    time.Time       // when the holder that loads adapters first did not answer, zero if it has answered since
	fallback        *bufferedAnswer // error answer of an endpoint, passed on if no later attempt does better
	lastBinding     *binding        // slot of the latest attempt
	nextBinding     *binding        // slot reserved for the next attempt, nil if there is none
	lastErr         error
	stream          *streamRelay
	delivered       bool // an endpoint's answer was passed on whole
	bodyHeld        upstream.Holding
}

// bufferedAnswer is an answer that was read whole.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome   attempt.Outcome
	fault     sched.Fault
	missing   bool          // the endpoint lacks the model or adapter
	retrySame bool          // the same endpoint may accept the request soon: it is loading the adapter
	quiet     time.Duration // time for which the endpoint wants no requests from this host
	answer    *bufferedAnswer
	connLost  bool // the endpoint ended the connection before the answer was complete
	delivered bool // the answer was passed on to the caller
	streamed  bool // the attempt was part of a stream
	sentAt    time.Time
	err       error
}

// run makes attempts until the request is answered or another attempt is not safe.
func (x *exchange) run(ctx context.Context) {
	defer func() { x.nextBinding.release() }()
	for {
		b := x.nextBinding
		if x.nextBinding = nil; b == nil {
			var err error
			if b, err = x.f.h.binder.bind(ctx, x.newAsk(), x.bounds()); err != nil {
				x.finishUnbound(ctx, err)
				return
			}
		}
		x.lastBinding = b
		if !x.mayStart() {
			b.release()
			x.finishUnbound(ctx, errStopping)
			return
		}
		if x.sends == 0 {
			x.f.answerTimer.begin(x, time.Now())
		}
		r := x.try(ctx, b)
		b = x.lastBinding // that of the hedge if the result is the hedge's
		if x.delivered = r.delivered; x.delivered {
			return
		}
		x.outcome = attempt.Combine(x.outcome, r.outcome)
		x.lastErr = r.err
		if x.isHolderLost(r.err) {
			x.finishUnbound(ctx, &refusal{reason: errHolderUnreachable.Error(), retryAfter: retryAfterNoHolder})
			return
		}
		x.excludeEndpoint(ctx, b, &r)
		if r.answer != nil {
			x.fallback = r.answer
		}
		if !r.outcome.NotExecuted() {
			x.possibleRuns++
		}
		if ctx.Err() != nil || !x.mayRepeat(r.outcome) {
			x.finish(ctx)
			return
		}
		x.f.log.Info().Str("request", x.q.ID).Str("endpoint", b.endpoint).Str("outcome", r.outcome.String()).Str("fault", r.fault.String()).
			Bool("missing", r.missing).Int("sends", x.sends).Str("parts", formatParts(x.q.PromptParts)).Err(r.err).Msg("Attempt failed, another follows.")
	}
}

// isHolderLost reports whether the holder that loads adapters has been out of this host's reach for maxHolderSilence. err is that of
// the last attempt.
func (x *exchange) isHolderLost(err error) bool {
	if !errors.Is(err, errHolderUnreachable) {
		x.holderLostAt = time.Time{}
		return false
	}
	if x.holderLostAt.IsZero() {
		x.holderLostAt = time.Now()
	}
	return time.Since(x.holderLostAt) >= maxHolderSilence
}

// excludeEndpoint excludes the endpoint of a failed attempt from further attempts, with two exceptions. An endpoint that lacks
// the model or adapter stays eligible for maxLackingAttempts, because the dispatcher now knows what it lacks, and it may be
// the only one that can serve the request. If the slot was taken without the dispatcher, nobody has the model or adapter
// loaded, so the endpoint is excluded at once. An endpoint where the adapter could not be loaded yet always stays eligible,
// because other endpoints have the same problem when adapters compete for the slots of engines.
func (x *exchange) excludeEndpoint(ctx context.Context, b *binding, r *attemptResult) {
	switch {
	case r.missing && r.outcome == attempt.NotSent:
		clock.Sleep(ctx, min(lackingDelay<<min(x.adapterFailures, 8), maxLackingDelay))
		x.adapterFailures++
		return
	case r.missing && !b.local:
		if x.lackingAttempts == nil {
			x.lackingAttempts = make(map[string]int)
		}
		if x.lackingAttempts[b.endpoint]++; x.lackingAttempts[b.endpoint] < maxLackingAttempts {
			return
		}
		clock.Sleep(ctx, lackingDelay)
	}
	x.exclude = append(x.exclude, b.endpoint)
}

// startBy returns the time by which the answer has to begin: the end of the caller's patience, or earlier if this host stops.
func (x *exchange) startBy() time.Time {
	by := x.q.StartBy()
	if x.stream != nil && x.stream.headerSent {
		by = x.q.ContinueBy(x.stream.lastSentAt)
	}
	if t := x.latestStart(); !t.IsZero() && (by.IsZero() || t.Before(by)) {
		return t
	}
	return by
}

// latestStart returns the time until which the request may be sent, since this host stops, or zero for no limit. A stream that
// has begun has none: it would be cut at once.
func (x *exchange) latestStart() time.Time {
	s := x.f.h.stopping.Load()
	if s == nil || x.stream != nil && x.stream.headerSent {
		return time.Time{}
	}
	needed, known := x.f.answerTimer.needed(x.q.Route, time.Now())
	return s.latestStart(needed, known, x.q.EndBy())
}

// mayStart reports whether the request may be sent now. While this host stops, a request that may still run at the end must not.
func (x *exchange) mayStart() bool {
	t := x.latestStart()
	return t.IsZero() || !time.Now().After(t)
}

// bounds returns the times by which the answer has to begin and end.
func (x *exchange) bounds() answerBounds {
	return answerBounds{x.startBy(), x.target(), x.q.EndBy(), x.latestStart}
}

// target returns the time after which the begin of the answer counts as late.
func (x *exchange) target() time.Time { return x.q.Arrived.Add(x.q.Route.TargetLatency) }

// newAsk returns the message that asks the dispatcher for a slot.
func (x *exchange) newAsk() wire.Ask {
	q := x.q
	return wire.Ask{
		Caller: q.Route.Name, Service: q.Service, Model: q.Model, Adapter: q.Adapter, PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens,
		ExpectedTokens: q.ExpectedTokens, PromptParts: q.PromptParts, Priority: clampRank(q.Rank()), RouteRank: clampRank(q.Route.Rank), Request: q.ID,
		Exclude: x.exclude, Retry: x.sends > 0, Resumed: x.stream != nil, WarmEndpoints: x.warmEndpoints(),
		Account: q.AccountName(), Cost: q.Cost(), Charged: x.possibleRuns > 0,
	}
}

// clampRank returns a rank as it is sent in messages.
func clampRank(rank int) uint8 { return uint8(min(max(rank, 0), 255)) }

// warmEndpoints returns the endpoints that can serve the request and to which an idle connection is open.
func (x *exchange) warmEndpoints() []string {
	connected := x.f.h.requestPool.IdleAddresses(time.Now())
	var out []string
	v := x.f.h.directory.view()
	for i := range v.Endpoints {
		if e := &v.Endpoints[i]; e.Service == x.q.Service && connected[e.Address] && (x.q.Model == "" || e.Resident(x.q.Model) != nil) {
			out = append(out, e.ID)
		}
	}
	return out
}

// mayRepeat reports whether another attempt is allowed after one with this outcome. An error answer of an endpoint may be
// repeated like an unknown outcome.
func (x *exchange) mayRepeat(o attempt.Outcome) bool {
	if x.sends >= maxSends {
		return false
	}
	if o.NotExecuted() {
		return true
	}
	return x.q.Route.Repeatable() && x.possibleRuns < x.q.Route.MaxAttempts
}

// try sends the request to the granted endpoint, repeats it there while the adapter is loading, and frees the slot.
func (x *exchange) try(ctx context.Context, b *binding) attemptResult {
	if b.prepare {
		if r, ok := x.loadAdapter(ctx, b, false); !ok {
			return r
		}
	}
	e := x.f.h.directory.view().Endpoint(b.endpoint)
	if e == nil || e.Draining {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent)})
		return attemptResult{outcome: attempt.NotSent, err: errors.Errorf("endpoint %s is leaving", b.endpoint)}
	}
	if left := x.f.h.quietRemaining(e.ID); left > 0 {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent), RetryAfterMs: ceilMilliseconds(left)})
		return attemptResult{outcome: attempt.NotSent, err: errors.Errorf("endpoint %s wants no requests for %v", b.endpoint, left)}
	}
	if x.f.h.binder.promptBlocked(x.q.PromptParts) > 0 { // since the slot was granted
		b.done(wire.Done{Outcome: uint8(attempt.NotSent)})
		return attemptResult{outcome: attempt.NotSent, err: errors.New(sched.BlockedReason)}
	}
	start := time.Now()
	var r attemptResult
	resent := 0
	for {
		r = x.send(ctx, b, e, start)
		if !r.retrySame || resent == adapterRetries || !b.permitResend() {
			break
		}
		clock.Sleep(ctx, adapterRetryDelay<<resent)
		resent++
	}
	x.report(ctx, x.lastBinding, &r, resent)
	return r
}

// report frees the slot of an attempt, and reports the attempt's result to the dispatcher. The request was sent resent more times
// on the slot.
func (x *exchange) report(ctx context.Context, b *binding, r *attemptResult, resent int) {
	d := wire.Done{RetryAfterMs: ceilMilliseconds(r.quiet), Resends: uint8(resent), Outcome: uint8(r.outcome), Fault: uint8(r.fault), Missing: r.missing, Failed: r.fault != sched.NoFault, ConnectionLost: r.connLost}
	if r.streamed {
		x.stream.addPace(&d)
	}
	if r.outcome == attempt.Answered && r.fault == sched.NoFault {
		d.TotalMs = uint32(max(time.Since(r.sentAt).Milliseconds(), 1))
	}
	if ctx.Err() != nil && errors.Cause(r.err) != errSilent && r.fault != sched.NoFault {
		d.Fault, d.Failed, d.ConnectionLost = 0, false, false // the caller left or the request timed out, which is no fault of the endpoint
	}
	if r.missing && x.q.Adapter != "" {
		x.reportMissingAdapter(b)
	}
	b.done(d)
}

// loadAdapter has the request's adapter loaded and waits until it can be used. If that fails, loadAdapter frees the slot and
// returns the attempt's result and false.
func (x *exchange) loadAdapter(ctx context.Context, b *binding, missing bool) (attemptResult, bool) {
	g := &b.c.grant
	wait, err := b.prepareAdapter(ctx, &wire.Prepare{
		Endpoint: b.endpoint, Model: x.q.Model, Adapter: x.q.Adapter, Missing: missing, Evict: g.Evict, Keep: g.Keep,
	})
	if err != nil && !b.local {
		b.done(wire.Done{Outcome: uint8(attempt.NotSent), Missing: true})
		return attemptResult{outcome: attempt.NotSent, missing: true, err: errors.Annotate(err, "adapter")}, false
	}
	if err == nil {
		b.adapterOrdered = true
		clock.Sleep(ctx, wait)
	}
	return attemptResult{}, true // without the dispatcher, the endpoint's answer shows whether it has the adapter
}

// reportMissingAdapter reports to the placement lease holder that an endpoint lacks an adapter that the holder takes for
// loaded. It does not wait for the reply.
func (x *exchange) reportMissingAdapter(b *binding) {
	m := &wire.Prepare{Endpoint: b.endpoint, Model: x.q.Model, Adapter: x.q.Adapter, Missing: true}
	go func() {
		if _, err := b.prepareAdapter(context.Background(), m); err != nil {
			x.f.log.Debug().Str("endpoint", m.Endpoint).Str("adapter", m.Adapter).Err(err).Msg("Loading the missing adapter failed.")
		}
	}()
}

// mayFailOver reports whether another endpoint may take over the request from the current attempt.
func (x *exchange) mayFailOver() bool {
	return x.q.Route.Repeatable() && x.possibleRuns+1 < x.q.Route.MaxAttempts && x.sends < maxSends
}

// silenceLimit returns how long an endpoint may send nothing of its answer before a failover, or, if no failover is allowed,
// before the attempt is cancelled. It returns 0 if only the deadline of the request limits the attempt.
func (x *exchange) silenceLimit() time.Duration {
	rt := x.q.Route
	switch {
	case rt.Kind == fleet.Stream && x.mayFailOver():
		return min(maxFirstEventWait, time.Duration(patienceShare*float64(rt.Patience())))
	case rt.Kind == fleet.Stream:
		return max(time.Until(x.q.StartBy()), minSilence)
	case x.mayFailOver():
		return max(time.Duration(plainSilenceFactor*float64(rt.TargetLatency)), minSilence)
	}
	return 0
}

// eventGapLimit returns the same limit for the time between two events of a stream.
func (x *exchange) eventGapLimit() time.Duration {
	if x.mayFailOver() {
		return min(maxEventGap, time.Duration(patienceShare*float64(x.q.Route.Patience())))
	}
	return x.q.Route.Patience()
}

// failover looks for another endpoint while the one in use is silent. The silent one may still answer, so its attempt is
// cancelled only when another endpoint has a free slot.
type failover struct {
	x             *exchange
	ask           wire.Ask
	retryInterval time.Duration // between two searches
	silenceLimit  time.Duration // without activity, before another endpoint may take over
	cancel        context.CancelCauseFunc
	watchdog      *watchdog

	mu          sync.Mutex
	stopped     bool     // the attempt has ended
	replacement *binding // slot at the other endpoint, nil until one is found
}

// startFailover starts the watchdog of an attempt. On its timeout, the attempt is cancelled or, if a failover is allowed,
// another endpoint is searched for.
func (x *exchange) startFailover(ctx context.Context, endpoint string, cancel context.CancelCauseFunc) *failover {
	m := &failover{x: x, cancel: cancel, retryInterval: x.eventGapLimit(), silenceLimit: min(x.silenceLimit(), x.eventGapLimit())}
	if !x.mayFailOver() {
		m.watchdog = newWatchdog(x.silenceLimit(), func() { cancel(errSilent) })
		return m
	}
	m.ask = x.newAsk()
	m.ask.Exclude = append(slices.Clone(x.exclude), endpoint)
	m.ask.Retry, m.ask.Resumed = true, x.q.Route.Kind == fleet.Stream
	m.ask.Charged = true // by the attempt in progress
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchdog = newWatchdog(x.silenceLimit(), func() { m.findReplacement(ctx) })
	return m
}

// findReplacement asks for a slot that is free at once. Without one, it tries again later or, once the caller of a stream has
// lost patience, cancels the attempt.
func (m *failover) findReplacement(ctx context.Context) {
	if !m.x.mayStart() { // the attempt in progress is the last one
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.stopped {
			m.watchdog.restart(m.retryInterval)
		}
		return
	}
	b, err := m.x.f.h.binder.bind(ctx, m.ask, answerBounds{time.Now(), m.x.target(), m.x.q.EndBy(), nil})
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil && !m.stopped && m.x.q.Route.Kind == fleet.Stream && m.watchdog.silence() >= m.x.q.Route.Patience():
		m.cancel(errSilent) // the caller has left or is about to leave
	case err != nil && !m.stopped:
		m.x.f.log.Info().Str("request", m.x.q.ID).Int64("againMs", m.retryInterval.Milliseconds()).Err(err).Msg("Endpoint is silent, no other has a place.")
		m.watchdog.restart(m.retryInterval)
	case err != nil:
	case m.stopped:
		b.release()
	case m.watchdog.off.Load():
		b.release()
	case m.watchdog.silence() < m.silenceLimit: // bytes have arrived during the search
		b.release()
		m.watchdog.restart(m.silenceLimit)
	default:
		m.replacement = b
		m.cancel(errSilent)
	}
}

// stop ends the search and returns the slot that was found, nil if there is none.
func (m *failover) stop() *binding {
	m.watchdog.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	return m.replacement
}

// send sends the request to an endpoint once and handles the response. A slot found by a failover becomes that of the next
// attempt. The request may be hedged; if the result is the hedge's, lastBinding is the hedge's slot.
func (x *exchange) send(parent context.Context, b *binding, e *fleet.Endpoint, start time.Time) (r attemptResult) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	a := &sentAttempt{b: b, e: e, ctx: ctx, cancel: cancel, sentAt: start}
	m := x.startFailover(ctx, b.endpoint, cancel)
	defer func() {
		r.sentAt = a.sentAt
		if b := m.stop(); b != nil {
			x.nextBinding.release()
			x.nextBinding = b
		}
	}()
	var left time.Duration
	if end := x.q.EndBy(); !end.IsZero() {
		left = time.Until(end)
		if left <= 0 {
			return attemptResult{outcome: attempt.NotSent, err: errTimeout}
		}
	}
	if !x.mayStart() { // loading an adapter may have taken long
		return attemptResult{outcome: attempt.NotSent, err: errStopping}
	}
	if !x.allowSend(b, e.ID) {
		return attemptResult{outcome: attempt.NotSent, err: errors.New(sched.RetriesUsedReason)}
	}
	var hedged *hedgedSend
	if x.sends == 0 && x.f.h.opts.HedgeShare > 0 {
		hedged = newHedgedSend(x, parent, a, m)
	}
	x.sends++
	a.request = x.f.h.opts.Codec.Outgoing(x.q, e, left, x.resumeAfter())
	if hedged != nil {
		defer hedged.end()
		a, m = hedged.run()
	} else {
		a.resp, a.err = x.f.h.requestPool.RoundTrip(ctx, a.request)
	}
	if a.err != nil {
		return x.classifyFailure(a.ctx, a.err)
	}
	r = x.handleResponse(a.ctx, a.b, a.e, a.resp, a.sentAt, m.watchdog)
	if r.err != nil && context.Cause(a.ctx) == errSilent {
		r.fault, r.err = sched.TimedOut, errSilent
	}
	if hedged != nil && hedged.second != nil {
		r.retrySame = false // the endpoint that was asked first is no longer the one to wait for
	}
	return r
}

// ceilMilliseconds returns a duration in milliseconds, rounded up.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// resumeAfter returns the id of the event after which the stream has to resume, empty for a stream from its start.
func (x *exchange) resumeAfter() string {
	if x.stream != nil && x.stream.lastEventID != "" {
		return x.stream.lastEventID
	}
	return ""
}

// classifyFailure returns the result of a send that got no response.
func (x *exchange) classifyFailure(ctx context.Context, err error) attemptResult {
	var ue *upstream.Error
	if !errors.As(err, &ue) {
		return attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, err: err}
	}
	r := attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, err: err}
	if !ue.MaybeSent {
		r.outcome = attempt.NotSent
	}
	r.connLost = ue.MaybeSent && isConnectionEnd(err)
	var held *upstream.HeldError
	if errors.As(err, &held) {
		x.f.h.logHeld(held.Report)
	}
	switch {
	case context.Cause(ctx) == errSilent:
		r.fault, r.err = sched.TimedOut, errSilent
	case ue.DialFailed:
		r.fault = sched.ConnectFailed
	case upstream.IsTimeout(err):
		r.fault = sched.TimedOut
	case !ue.MaybeSent:
		r.fault = sched.NoFault
	}
	return r
}

// isConnectionEnd reports whether an error means that the endpoint closed or reset the connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// handleResponse checks that a response belongs to the request and is complete, and passes it on to the caller.
func (x *exchange) handleResponse(ctx context.Context, b *binding, e *fleet.Endpoint, resp *upstream.Response, start time.Time, w *watchdog) attemptResult {
	a := x.f.h.opts.Codec.Answer(resp.StatusCode, resp.Header)
	sentAt := start
	if a.RequestID != x.q.ID {
		sentAt = time.Time{} // the answer may be an older one
	}
	x.f.h.applySignals(e, sentAt, &a)
	if err := x.checkOwner(resp, &a); err != nil {
		resp.Close(false)
		return attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, err: err}
	}
	switch {
	case a.NotRun:
		return x.handleNotRun(e, resp, &a)
	case resp.StatusCode < 300 && !a.Sealed:
		resp.Close(false)
		return attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, err: errors.Errorf("status %d without a seal", resp.StatusCode)}
	case x.stream != nil && resp.StatusCode != http.StatusOK:
		resp.Close(false)
		return attemptResult{outcome: attempt.Unknown, fault: sched.ErrorStatus, err: errors.Errorf("status %d for a stream to be resumed", resp.StatusCode)}
	case x.q.Route.Kind == fleet.Stream && resp.StatusCode < 300:
		r := x.relayStream(ctx, b, resp, start, w)
		r.streamed = x.stream != nil
		return r
	}
	resp.Body = &watchedBody{resp.Body, w, x.silenceLimit()}
	return x.passOnWhole(ctx, b, resp, w)
}

// checkOwner returns an error unless a response belongs to the request. One that names no request does if its connection carried
// no earlier one.
func (x *exchange) checkOwner(resp *upstream.Response, a *fleet.Answer) error {
	switch {
	case a.RequestID != "" && a.RequestID != x.q.ID:
		return errors.Errorf("response belongs to request %.64q", a.RequestID)
	case a.RequestID == "" && x.q.ID != "" && resp.Reused:
		return errors.New("response names no request, on a connection that was used before")
	}
	return nil
}

// handleNotRun handles a response that states that the request did not run.
func (x *exchange) handleNotRun(e *fleet.Endpoint, resp *upstream.Response, a *fleet.Answer) attemptResult {
	r := attemptResult{outcome: attempt.Refused, quiet: a.RetryAfter, err: errors.Errorf("endpoint refused with status %d", resp.StatusCode)}
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && a.InstanceID != "" && a.InstanceID != e.ID:
		r.fault = sched.WrongServer
	case resp.StatusCode == http.StatusMisdirectedRequest:
		r.missing = true
	case resp.StatusCode == http.StatusServiceUnavailable && x.lastBinding.adapterOrdered && a.RetryAfter == 0:
		r.retrySame = true // an engine refuses with this status what waits for an order in progress
	}
	// The request may be sent to the endpoint again. On this connection, a refusal that is written twice would answer it.
	whole := resp.Discard(maxDiscardedBytes, maxDiscardTime)
	resp.Close(whole && !r.retrySame && !r.missing)
	return r
}

// passOnWhole reads an answer whole and passes it on, unless it is an error and the request may be repeated.
func (x *exchange) passOnWhole(ctx context.Context, b *binding, resp *upstream.Response, w *watchdog) attemptResult {
	body, more, err := x.readAnswer(resp)
	if err != nil {
		resp.Close(false)
		return attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, connLost: isConnectionEnd(err), err: err}
	}
	if more {
		w.disable()
		return x.passOnLong(ctx, resp, body)
	}
	resp.Close(true)
	x.f.h.opts.Codec.PassOn(resp.Header)
	ans := &bufferedAnswer{resp.StatusCode, resp.Header, body}
	fault := sched.NoFault
	if resp.StatusCode >= 500 {
		fault = sched.ErrorStatus
		if x.q.Route.Kind == fleet.Idempotent && x.possibleRuns+1 < x.q.Route.MaxAttempts && ctx.Err() == nil && x.sends < maxSends {
			return attemptResult{outcome: attempt.Unknown, fault: fault, answer: ans, err: errors.Errorf("endpoint answered %d", resp.StatusCode)}
		}
	}
	x.endRun(b, w, ans.status)
	x.writeAnswer(ans)
	return attemptResult{outcome: attempt.Answered, fault: fault, delivered: true}
}

// passOnLong passes on an answer that is too long to be buffered. The parameter begun is the part read so far. If the
// caller leaves or the request's time ends, that is no fault of the endpoint.
func (x *exchange) passOnLong(ctx context.Context, resp *upstream.Response, begun []byte) attemptResult {
	x.f.h.opts.Codec.PassOn(resp.Header)
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	w := callerWriter{x.w}
	n, err := x.copyLong(w, resp, begun)
	resp.Close(err == nil)
	x.logEnd("answered", resp.StatusCode, err)
	if err != nil {
		x.f.log.Warn().Str("request", x.q.ID).Int64("bytes", n).Err(err).Msg("Answer passed on in part.")
		d := wire.Done{Outcome: uint8(attempt.Unknown)}
		var callerErr *callerError
		if !errors.As(err, &callerErr) && ctx.Err() == nil {
			d.Fault, d.Failed = uint8(sched.BrokenResponse), true
		}
		x.lastBinding.done(d)
		panic(http.ErrAbortHandler)
	}
	return attemptResult{outcome: attempt.Answered, delivered: true}
}

// copyHeader copies the header of an endpoint's answer to the caller's.
func (x *exchange) copyHeader(h http.Header) {
	out := x.w.Header()
	for k, v := range h {
		out[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // prevents net/http from detecting one
	}
}

// writeAnswer sends a buffered answer to the caller.
func (x *exchange) writeAnswer(a *bufferedAnswer) {
	x.copyHeader(a.header)
	x.w.WriteHeader(a.status)
	if _, err := (callerWriter{x.w}).Write(a.body); err != nil {
		x.logEnd("caller left", a.status, err)
		return
	}
	x.logEnd("answered", a.status, nil)
}

// finishUnbound ends a request that got no slot for its next attempt.
func (x *exchange) finishUnbound(ctx context.Context, err error) {
	var ref *refusal
	if errors.As(err, &ref) && x.outcome != attempt.Unknown && x.fallback == nil && x.stream == nil {
		status := http.StatusServiceUnavailable
		if ref.overLimit {
			status = http.StatusTooManyRequests
		}
		x.respondError(status, ref.reason, ref.retryAfter)
		return
	}
	x.lastErr = err
	x.finish(ctx)
}

// finish ends a request whose attempts are over and gave no answer that could be passed on.
func (x *exchange) finish(ctx context.Context) {
	switch {
	case x.stream != nil:
		x.logEnd("stream broken", 0, x.lastErr)
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.Canceled) && context.Cause(ctx) != errStopped:
		x.logEnd("caller left", 0, x.lastErr)
		panic(http.ErrAbortHandler)
	case x.fallback != nil:
		x.writeAnswer(x.fallback)
	case (x.outcome.NotExecuted() || x.outcome == 0) && (ctx.Err() == nil || context.Cause(ctx) == errStopped):
		x.reject("no attempt reached an endpoint", retryAfterNotRun)
	case context.Cause(ctx) == errStopped:
		x.respondError(http.StatusBadGateway, "the host has stopped before the endpoint answered", 0)
	case ctx.Err() != nil:
		x.respondError(http.StatusGatewayTimeout, "the request's time is over", 0)
	default:
		x.respondError(http.StatusBadGateway, "the endpoint gave no answer", 0)
	}
}

// reject answers a request that has not run and will not run, with the time after which the caller may retry.
func (x *exchange) reject(reason string, retryAfter time.Duration) {
	x.respondError(http.StatusServiceUnavailable, reason, retryAfter)
}

// respondError answers the caller with a status and reason of this host instead of an endpoint's answer.
func (x *exchange) respondError(status int, reason string, retryAfter time.Duration) {
	x.f.h.opts.Codec.OwnAnswer(x.w.Header(), x.q.ID, retryAfter)
	http.Error(x.w, reason, status)
	if x.lastErr == nil {
		x.lastErr = errors.New(reason)
	}
	x.logEnd("own answer", status, x.lastErr)
}

// logEnd logs how a request ended, with the inputs of the last scheduling decision, and records its metrics.
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
		Uint64("config", x.configVersion).Int("sends", x.sends).Str("outcome", outcome)
	if q.Route != nil {
		l = l.Str("route", q.Route.Name).Str("kind", q.Route.Kind.String()).Int("rank", q.Route.Rank).Str("service", q.Service)
	}
	if q.Account != nil {
		l = l.Str("account", q.Account.Name)
	}
	if q.Model != "" {
		l = l.Str("model", q.Model).Str("adapter", q.Adapter).Uint32("prompt", q.PromptTokens).Str("parts", formatParts(q.PromptParts))
	}
	if b := x.lastBinding; b != nil {
		l = l.Str("endpoint", b.endpoint).Bool("alone", b.local).Bool("prepare", b.prepare).Uint16("used", b.c.grant.UsedSlots).
			Uint32("queueMs", b.c.grant.QueueMs).Uint32("predictedMs", b.c.grant.FirstMs)
	}
	if s := x.stream; s != nil {
		l = l.Int64("firstMs", s.timeToFirst.Milliseconds()).Int("events", s.events).Int64("pauseMs", s.longestPause.Milliseconds()).Int("resumes", s.resumes)
	}
	l.Err(err).Msg("Request ended.")
	x.recordMetrics(how, status)
}

// formatParts returns the ids of a prompt's parts for the log, in hexadecimal as callers state them.
func formatParts(parts []wire.PromptPart) string {
	var b []byte
	for i, p := range parts {
		if i == maxLoggedParts {
			return string(append(b, ",..."...))
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, p.ID, 16)
	}
	return string(b)
}

// recordMetrics records the metrics of an ended request.
func (x *exchange) recordMetrics(how string, status int) {
	m := x.f.h.opts.Metrics
	if m == nil || x.q.Route == nil {
		return
	}
	s := x.f.series(x.q.Route)
	s.Request(how + " " + http.StatusText(status))
	if x.stream != nil {
		s.FirstToken(x.stream.timeToFirst)
	} else {
		s.FirstToken(time.Since(x.q.Arrived))
	}
	if x.lastBinding != nil {
		s.QueueTime(time.Duration(x.lastBinding.c.grant.QueueMs) * time.Millisecond)
	}
	for range max(x.sends-1, 0) {
		s.Retry()
	}
}
