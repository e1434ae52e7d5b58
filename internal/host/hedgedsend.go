package host

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

var errHedgeOver = errors.New("the other attempt answered the request")

// sentAttempt is an attempt that is sent to an endpoint, and its response.
type sentAttempt struct {
	b       *binding
	e       *fleet.Endpoint
	ctx     context.Context
	cancel  context.CancelCauseFunc
	sentAt  time.Time
	request *upstream.Request

	resp     *upstream.Response // nil without one
	err      error              // if there is no response
	beginErr error              // if the response of a stream ended before its first event
	held     upstream.Holding   // what was read of the body
	partial  bool               // of an error, the rest is still to be read
}

// fetch sends the request and reads the response until it shows whether the answer can be passed on: to the end of its header, to
// the first event of a stream, or to the end of an error. What it reads of the body stays in the response.
func (a *sentAttempt) fetch(x *exchange) {
	h := x.f.h
	if a.resp, a.err = h.requestPool.RoundTrip(a.ctx, a.request); a.err != nil {
		return
	}
	r := a.resp
	switch {
	case r.StatusCode >= 500 && !h.opts.Codec.Answer(r.StatusCode, r.Header).NotRun:
		a.held = h.newHolding(upstream.HeldAnswer, x.q)
		body, more, full, err := r.ReadAllWithin(maxBufferedAnswer, &a.held)
		h.logHeld(full)
		r.Body, a.partial = newReplayedBody(body, err, r.Body), more
	case x.q.Route.Kind == fleet.Stream && r.StatusCode < 300:
		mem := &eventMemory{Holding: h.newHolding(upstream.HeldEvents, x.q), x: x, ctx: a.ctx}
		begin, err := readFirstEvent(r.Body, mem)
		a.held = mem.Holding
		r.Body = newReplayedBody(begin, err, r.Body)
		if err != nil && !(err == io.EOF && r.Framed() && len(bytes.TrimSpace(begin)) == 0) {
			a.beginErr = err
		}
	}
}

// replayedBody is a body whose begin was read before.
type replayedBody struct {
	io.Reader
	io.Closer
}

// newReplayedBody returns a body that consists of the bytes that were read of another one, followed by the error that ended the
// reading or, without one, by the rest.
func newReplayedBody(begin []byte, err error, rest io.ReadCloser) io.ReadCloser {
	if err != nil {
		return &replayedBody{io.MultiReader(bytes.NewReader(begin), failingReader{err}), rest}
	}
	return &replayedBody{io.MultiReader(bytes.NewReader(begin), rest), rest}
}

// failingReader is a reader that returns an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// errFirstEvent ends the reading of a stream at its first event.
var errFirstEvent = errors.New("the first event has arrived")

// readFirstEvent reads a stream until a whole event with content has arrived, and returns what it has read. The error is io.EOF if
// the stream ends before.
func readFirstEvent(r io.Reader, mem *eventMemory) ([]byte, error) {
	var begin bytes.Buffer
	err := splitEvents(io.TeeReader(io.LimitReader(r, maxEventBytes), &begin), mem, func(event []byte) error {
		if hasContent(event) {
			return errFirstEvent
		}
		return nil
	})
	switch {
	case err == errFirstEvent:
		err = nil
	case begin.Len() == maxEventBytes:
		err = errors.Errorf("no event in %d bytes", maxEventBytes)
	case err == nil || err == errEndsWithinEvent:
		err = io.EOF
	}
	return begin.Bytes(), err
}

// hedgeGrant is the result of asking for the slot of a hedge.
type hedgeGrant struct {
	b   *binding
	err error
}

// hedgedSend sends a request to a second endpoint as well if the first one is slow to begin its answer. The goroutines that it
// starts only fetch responses; the exchange is changed by the caller of run alone.
type hedgedSend struct {
	x        *exchange
	parent   context.Context // of the request
	first    *sentAttempt
	second   *sentAttempt // nil until the hedge is sent
	m        *failover
	delay    time.Duration     // after which the hedge is due, 0 for no hedge
	fetched  chan *sentAttempt // receives each attempt once
	fetching int               // attempts that fetched has not returned
	dropped  *sentAttempt      // cancelled while it was fetched, nil if there is none

	granted     chan hedgeGrant // nil while no slot has been asked for
	cancelAsk   context.CancelFunc
	reservation hedgeReservation
}

// newHedgedSend counts the first send of a request, and returns the hedgedSend for it, or nil if the request must not be sent to two
// endpoints.
func newHedgedSend(x *exchange, parent context.Context, a *sentAttempt, m *failover) *hedgedSend {
	delay := x.f.h.hedges.delay(x.q.Service, x.q.Route, time.Duration(a.b.c.grant.FirstMs)*time.Millisecond)
	if x.stream != nil || !x.mayFailOver() {
		return nil
	}
	if delay >= m.silenceLimit {
		delay = 0 // the failover comes before
	}
	return &hedgedSend{x: x, parent: parent, first: a, m: m, delay: delay, fetched: make(chan *sentAttempt, 2)}
}

// run sends the request and returns the attempt whose response is to be handled, with the failover that watches it. Any other
// attempt is over, and its slot is free.
func (s *hedgedSend) run() (*sentAttempt, *failover) {
	s.fetch(s.first)
	var due <-chan time.Time
	if s.delay > 0 {
		t := time.NewTimer(s.delay)
		defer t.Stop()
		due = t.C
	}
	for {
		select {
		case <-due:
			s.ask()
		case g := <-s.granted:
			s.granted = nil
			s.cancelAsk()
			if why := s.sendSecond(g); why != hedgeAllowed {
				s.x.f.h.hedges.release(s.reservation, why)
				s.x.f.h.hedges.countRefusal(why)
			}
		case a := <-s.fetched:
			s.fetching--
			switch {
			case s.second == nil:
				s.withdrawAsk()
				s.learn(a, s.x.begins(a))
				return a, s.m
			case s.x.begins(a):
				return a, s.conclude(a, true)
			case s.fetching == 0:
				return a, s.conclude(a, false)
			}
			s.settleFailed(a)
		}
	}
}

// fetch starts to fetch the response of an attempt.
func (s *hedgedSend) fetch(a *sentAttempt) {
	s.fetching++
	go func() {
		a.fetch(s.x)
		s.fetched <- a
	}()
}

// ask asks for the slot of the hedge, if this host may send one.
func (s *hedgedSend) ask() {
	x := s.x
	hedges := x.f.h.hedges
	why := hedgeStopping
	if s.parent.Err() != nil {
		return
	}
	if !x.f.h.leaving() {
		s.reservation, why = hedges.reserve(x.q.Service, x.f.h.opts.HedgeShare)
	}
	if why != hedgeAllowed {
		hedges.countRefusal(why)
		return
	}
	ask := x.newAsk()
	ask.Exclude = append(slices.Clone(x.exclude), s.first.e.ID)
	// The units of the quota are those of the first attempt.
	ask.Retry, ask.Charged, ask.Speculative = true, true, true
	by := answerBounds{x.startBy(), x.target(), x.q.EndBy(), nil}
	ctx, cancel := context.WithCancel(s.parent)
	granted := make(chan hedgeGrant, 1)
	s.granted, s.cancelAsk = granted, cancel
	go func() {
		b, err := x.f.h.binder.bind(ctx, ask, by)
		granted <- hedgeGrant{b, err}
	}()
}

// withdrawAsk withdraws an ask that is not decided.
func (s *hedgedSend) withdrawAsk() {
	if s.granted == nil {
		return
	}
	s.cancelAsk()
	granted := s.granted
	s.granted = nil
	s.x.f.h.hedges.release(s.reservation, hedgeAllowed)
	go func() { (<-granted).b.release() }()
}

// sendSecond sends the hedge on the slot that was granted, or returns why it does not.
func (s *hedgedSend) sendSecond(g hedgeGrant) hedgeRefusal {
	x := s.x
	if g.err != nil {
		x.f.log.Debug().Str("request", x.q.ID).Err(g.err).Msg("No slot for a hedge.")
		return hedgeRefusalOf(g.err)
	}
	b, h := g.b, x.f.h
	e := h.directory.view().Endpoint(b.endpoint)
	left := time.Duration(0)
	if end := x.q.EndBy(); !end.IsZero() {
		left = time.Until(end)
	}
	why := hedgeAllowed
	switch {
	case h.leaving() || !x.mayStart():
		why = hedgeStopping
	case s.parent.Err() != nil || left < 0 || len(s.fetched) > 0:
		why = hedgeTooLate
	case e == nil || e.Draining || e.ID == s.first.e.ID || b.prepare || h.quietRemaining(e.ID) > 0 || h.binder.promptBlocked(x.q.PromptParts) > 0:
		why = hedgeEndpoint
	case s.m.stop() != nil:
		why = hedgeTooLate // the failover has cancelled the first attempt
	case !x.allowSend(b, e.ID):
		s.m = x.startFailover(s.first.ctx, s.first.e.ID, s.first.cancel)
		why = hedgeBudget
	}
	if why != hedgeAllowed {
		b.release()
		return why
	}
	ctx, cancel := context.WithCancelCause(s.parent)
	s.second = &sentAttempt{b: b, e: e, ctx: ctx, cancel: cancel, sentAt: time.Now(), request: h.opts.Codec.Outgoing(x.q, e, left, "")}
	x.sends++
	x.possibleRuns++ // of the attempt that ends first; run counts the other
	x.exclude = append(x.exclude, s.first.e.ID)
	x.f.h.hedges.sent.Add(1)
	x.f.log.Info().Str("request", x.q.ID).Str("first", s.first.e.ID).Str("second", e.ID).Int64("afterMs", time.Since(s.first.sentAt).Milliseconds()).
		Msg("Request hedged.")
	s.fetch(s.second)
	// Both are silent if this one expires. Another endpoint then takes over from both, if the request may be sent to a third.
	s.m = x.startFailover(s.parent, e.ID, func(cause error) {
		s.first.cancel(cause)
		cancel(cause)
	})
	return hedgeAllowed
}

// settleFailed records the result of an attempt that failed while the other one is in progress.
func (s *hedgedSend) settleFailed(a *sentAttempt) {
	x := s.x
	x.lastBinding = a.b
	r := x.failedResult(a)
	x.f.log.Info().Str("request", x.q.ID).Str("endpoint", a.e.ID).Str("outcome", r.outcome.String()).Str("fault", r.fault.String()).Err(r.err).
		Msg("Attempt failed, another is in progress.")
	x.report(s.parent, a.b, &r, 0)
	x.outcome, x.lastErr = attempt.Combine(x.outcome, r.outcome), r.err
	if r.outcome.NotExecuted() {
		x.possibleRuns--
	}
	if r.answer != nil {
		x.fallback = r.answer
	}
	x.exclude = append(x.exclude, a.e.ID)
}

// conclude ends the hedge with the attempt whose response is to be handled, and returns the failover that watches the attempt from
// now on. An attempt that is still in progress is cancelled: its connection is closed, and its slot is freed with a report that is
// neither a fault nor a success, since how it would have ended is not known.
func (s *hedgedSend) conclude(a *sentAttempt, begun bool) *failover {
	x := s.x
	other := s.first
	if a == s.first {
		other = s.second
	}
	if s.fetching > 0 {
		other.cancel(errHedgeOver)
		other.b.done(wire.Done{Outcome: uint8(attempt.Unknown)})
		x.outcome = attempt.Combine(x.outcome, attempt.Unknown)
		x.exclude = append(x.exclude, other.e.ID)
		s.dropped = other
		go func() {
			<-s.fetched
			if other.resp != nil {
				other.resp.Close(false)
			}
			other.held.Release()
		}()
	}
	result := hedgeFailed
	switch {
	case begun && a == s.second:
		result = hedgeWon
	case begun:
		result = hedgeLost
	}
	x.f.h.hedges.results[result].Add(1)
	s.learn(a, begun)
	x.lastBinding = a.b
	if s.m.stop() != nil {
		return s.m // both attempts were silent, and the slot that was found is that of the next attempt
	}
	return x.startFailover(a.ctx, a.e.ID, a.cancel)
}

// learn records the time that the request has waited for its answer to begin, if it began or the wait was given up.
func (s *hedgedSend) learn(a *sentAttempt, begun bool) {
	if begun || context.Cause(a.ctx) == errSilent || upstream.IsTimeout(a.err) {
		s.x.f.h.hedges.addBegin(s.x.q.Route, time.Since(s.first.sentAt))
	}
}

// end frees what the hedge holds.
func (s *hedgedSend) end() {
	if s.second != nil {
		s.second.cancel(nil)
	}
	for _, a := range []*sentAttempt{s.first, s.second} {
		if a != nil && a != s.dropped {
			a.held.Release()
		}
	}
}

// begins reports whether the response of an attempt is an answer to the request that can be passed on, at least in its begin. An
// error of the endpoint is none, but one that the request causes is.
func (x *exchange) begins(a *sentAttempt) bool {
	if a.err != nil || a.beginErr != nil {
		return false
	}
	status := a.resp.StatusCode
	ans := x.f.h.opts.Codec.Answer(status, a.resp.Header)
	return x.checkOwner(a.resp, &ans) == nil && !ans.NotRun && status < 500 && (status >= 300 || ans.Sealed)
}

// failedResult returns the result of an attempt for which begins is false. It passes nothing on to the caller.
func (x *exchange) failedResult(a *sentAttempt) attemptResult {
	if a.err != nil {
		return x.classifyFailure(a.ctx, a.err)
	}
	ans := x.f.h.opts.Codec.Answer(a.resp.StatusCode, a.resp.Header)
	switch {
	case a.beginErr != nil:
		a.resp.Close(false)
		r := attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, connLost: isConnectionEnd(a.beginErr), err: a.beginErr}
		if context.Cause(a.ctx) == errSilent {
			r.fault, r.err = sched.TimedOut, errSilent
		}
		return r
	case a.resp.StatusCode >= http.StatusInternalServerError && !ans.NotRun && x.checkOwner(a.resp, &ans) == nil:
		x.f.h.applySignals(a.e, a.sentAt, &ans)
		r := attemptResult{outcome: attempt.Unknown, fault: sched.ErrorStatus, err: errors.Errorf("endpoint answered %d", a.resp.StatusCode)}
		if a.partial {
			a.resp.Close(false)
			return r
		}
		body, _, err := a.resp.ReadAll(maxBufferedAnswer)
		a.resp.Close(err == nil)
		if err == nil {
			x.f.h.opts.Codec.PassOn(a.resp.Header)
			r.answer = &bufferedAnswer{a.resp.StatusCode, a.resp.Header, body}
		}
		return r
	}
	return x.handleResponse(a.ctx, a.b, a.e, a.resp, a.sentAt, newWatchdog(0, nil))
}
