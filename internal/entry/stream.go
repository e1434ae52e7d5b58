package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

const (
	minFirstToken = time.Second            // prefill of a long prompt is not cut short by a deadline that is almost over
	maxErrorBody  = 4 << 10                // bytes of an endpoint's error answer that are passed on
	trailingLimit = 100 * time.Millisecond // for the end of the body after the end marker
)

var (
	errIdle      = errors.New("endpoint sent no token in time")
	errPreempted = errors.New("preempted")
	errNoAddress = errors.New("endpoint is no longer declared")
)

// result is how one attempt of a completion ended.
type result struct {
	outcome    attempt.Outcome
	err        error    // errFinished if the answer is complete
	problem    *problem // final answer to the caller, nil if another attempt may be made
	preempted  bool
	callerGone bool
}

// callerError wraps an error of writing to the caller.
type callerError struct{ error }

// guardedSink marks errors of a sink as errors of the caller's connection.
type guardedSink struct{ sink }

func (g guardedSink) event(r received) error { return guard(g.sink.event(r)) }
func (g guardedSink) end() error             { return guard(g.sink.end()) }

func guard(err error) error {
	if err != nil {
		return callerError{err}
	}
	return nil
}

// once makes one attempt at the endpoint of a binding and releases it.
func (r *completion) once(ctx context.Context, b routing.Binding) result {
	start, before := time.Now(), r.seq.last()
	var first time.Duration
	res := r.attempt(ctx, b, func() {
		if first == 0 {
			first = time.Since(start)
		}
	})
	r.seq.restart()
	tokens := r.seq.last() - min(before, r.seq.last())
	r.e.demand.Generated(r.ask.Model, uint64(tokens))
	b.Release(wire.Done{
		ID: r.ask.ID, Endpoint: b.Endpoint(), Outcome: uint8(res.outcome), Tokens: uint32(tokens),
		FirstMs: uint32(first.Milliseconds()), TotalMs: uint32(time.Since(start).Milliseconds()),
		Failed: res.err != errFinished && !res.preempted && !res.callerGone && ctx.Err() == nil && res.problem == nil,
	})
	return res
}

// attempt sends the request and reads the stream. The endpoint's connection is closed unless the stream ended as it
// should, which cancels the request there.
func (r *completion) attempt(ctx context.Context, b routing.Binding, onEvent func()) result {
	snap := r.e.view.Load().Snapshot
	ep := snap.Endpoint(b.Endpoint())
	if ep == nil {
		return result{outcome: attempt.NotSent, err: errNoAddress}
	}
	body, err := r.body.encode(r.x.rank.Order, r.seq.soFar())
	if err != nil {
		return result{outcome: attempt.NotSent, problem: refusal(http.StatusBadRequest, "Malformed request body", err.Error(), 0)}
	}
	res := r.exchange(ctx, target{addr: ep.Address, body: body, refused: refusedBy, first: r.firstTokenTimeout()}, b.Preempted(), onEvent)
	r.e.unreachable.note(ep.Name, res.outcome == attempt.NotSent)
	return res
}

// target is where an attempt is sent.
type target struct {
	addr    string
	body    []byte
	header  http.Header // further headers
	refused func(*http.Response) result
	first   time.Duration // longest wait for the first event
}

// exchange sends one attempt and reads its stream.
func (r *completion) exchange(ctx context.Context, to target, preempted <-chan struct{}, onEvent func()) result {
	actx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := watchPreemption(actx, preempted, cancel)
	defer stop()
	idle := time.AfterFunc(to.first, func() { cancel(errIdle) })
	defer idle.Stop()
	var trace attempt.Trace
	resp, err := r.e.outbound.complete(trace.NewContext(actx), to, r.upstream, r.seq.last())
	if err != nil {
		return r.ended(actx, trace.FailureOutcome(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return to.refused(resp)
	}
	if got := resp.Header.Get("X-Request-Id"); got != r.upstream {
		return result{outcome: attempt.Unknown, err: errors.Errorf("answer carries request id %.64q, want %q", got, r.upstream)}
	}
	body := &heldEvents{r: resp.Body, held: r.e.held.NewWithin(upstream.HeldEvents, r.x.caller.Name, r.e.opts.answerLimits())}
	defer body.release()
	err = readEvents(body, func(ev event) error {
		body.release()
		idle.Stop() // a slow caller is no fault of the endpoint
		if actx.Err() != nil {
			return context.Cause(actx)
		}
		onEvent()
		before := r.seq.last()
		err := r.seq.accept(ev, guardedSink{r.sink})
		if r.seq.last() > before {
			r.clock.token()
		}
		idle.Reset(r.e.opts.IdleTimeout)
		return err
	})
	if err == errFinished {
		idle.Reset(trailingLimit)
		io.CopyN(io.Discard, resp.Body, 1) // reads the end of the body, so that the connection can be kept
		return result{outcome: attempt.Answered, err: errFinished}
	}
	return r.ended(actx, attempt.Unknown, err)
}

// firstTokenTimeout returns how long an endpoint may take for its first event. Before an answer has begun it leaves half
// of the time to the deadline for another endpoint, because a first token after the deadline is of no use.
func (r *completion) firstTokenTimeout() time.Duration {
	if r.seq.last() > 0 {
		return r.e.opts.FirstTokenTimeout
	}
	return min(max(time.Until(r.x.deadline())/2, minFirstToken), r.e.opts.FirstTokenTimeout)
}

// ended classifies a broken attempt by what ended it.
func (r *completion) ended(actx context.Context, o attempt.Outcome, err error) result {
	var gone callerError
	if errors.As(err, &gone) {
		return result{outcome: o, err: err, callerGone: true}
	}
	if cause := context.Cause(actx); cause != nil {
		return result{outcome: o, err: cause, preempted: cause == errPreempted}
	}
	return result{outcome: o, err: err}
}

// refusedBy classifies an error answer of an engine. A status that tells that the engine did not take the request
// lets another endpoint be tried; a fault of the request itself is the final answer.
func refusedBy(resp *http.Response) result {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	err := fmt.Errorf("endpoint answered %d: %s", resp.StatusCode, b)
	switch s := resp.StatusCode; {
	case s == http.StatusNotFound || s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable:
		return result{outcome: attempt.Refused, err: err}
	case s >= 400 && s < 500:
		return result{outcome: attempt.Refused, err: err, problem: newProblem(s, "Request refused by the model", string(b), attempt.Refused, 0)}
	}
	return result{outcome: attempt.Unknown, err: err}
}

// watchPreemption cancels an attempt when its binding is preempted. The returned function ends the watch.
func watchPreemption(ctx context.Context, preempted <-chan struct{}, cancel context.CancelCauseFunc) func() {
	if preempted == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		select {
		case <-preempted:
			cancel(errPreempted)
		case <-done:
		case <-ctx.Done():
		}
	}()
	return func() { close(done) }
}
