package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

const (
	defaultDeadline = 30 * time.Second // for a rank without a deadline
	// resumeLimit is the shortest time without a new token after which a broken stream is given up. It covers the load of a
	// new copy of a model whose only endpoint died.
	resumeLimit = 30 * time.Second
	// excludeLimit bounds the wait for an endpoint that has not failed the request before.
	excludeLimit = 500 * time.Millisecond
	prefixBytes  = 1 << 10 // of the messages, whose hash lets equal prompts meet at an endpoint that has cached them
)

// completion is one completion request with all its attempts.
type completion struct {
	e        *Entry
	x        *exchange
	body     *completionBody
	ask      wire.Ask
	upstream string // request id sent to endpoints and other entries, unique even if callers repeat theirs
	seq      *sequence
	sink     sink
	outcome  attempt.Outcome // of all attempts so far
	progress time.Time       // when the last token was accepted
	tries    int             // attempts since then
	last     error           // why the latest attempt ended
	clock    tokenClock

	forwarded bool            // another entry has forwarded the request
	tried     map[string]bool // caller addresses of entries of other cells
	failed    map[string]bool // endpoints of this cell that have failed since the last token
}

func (e *Entry) completions(ctx context.Context, x *exchange) {
	raw, p := x.body(e.opts.MaxBody)
	if p != nil {
		x.fail(p)
		return
	}
	body, err := parseCompletion(raw)
	if err != nil {
		x.fail(refusal(http.StatusBadRequest, "Malformed request body", err.Error(), 0))
		return
	}
	// A model that the caller may not use is reported like one that does not exist, so that names are not disclosed.
	if !x.snap.Serves(body.Model) || !mayUseModel(x.snap, body.Model, x.caller.Name) {
		x.fail(refusal(http.StatusNotFound, "Unknown model", body.Model, 0))
		return
	}
	r := newCompletion(e, x, body)
	r.acceptForwarded()
	if r.forwarded && len(e.view.Load().Residents(body.Model)) == 0 {
		x.fail(refusal(notHere, "Model is not served by this cell", body.Model, defaultRetryAfter))
		return
	}
	e.demand.Arrived(body.Model, uint64(r.ask.PromptTokens))
	if p := r.run(ctx); p != nil {
		r.fail(p)
	}
}

func newCompletion(e *Entry, x *exchange, body *completionBody) *completion {
	prompt := len(body.Messages) / 4
	r := &completion{
		e: e, x: x, body: body, upstream: x.id[:min(len(x.id), maxRequestID-9)] + "-" + uuid.NewString()[:8], seq: newSequence(body.N),
		tried: make(map[string]bool), failed: make(map[string]bool),
		clock: tokenClock{series: x.series, start: x.start},
		ask: wire.Ask{
			Caller: x.caller.Name, Rank: x.rank.Name, Model: body.Model, PromptTokens: uint32(prompt), MaxTokens: body.MaxTokens,
			Request:    x.id,
			PrefixHash: xxhash.Sum64(body.Messages[:min(len(body.Messages), prefixBytes)]),
		},
	}
	if body.Stream {
		r.sink = &streamSink{x: x}
	} else {
		r.sink = newWholeSink(x, body.N, prompt)
	}
	return r
}

func (r *completion) fail(p *problem) {
	r.x.note(r.e.observer, resultOf(p), strings.TrimSuffix(p.Title+": "+p.Detail, ": "), r.ask.Model, "")
	if s, ok := r.sink.(*streamSink); ok && s.started() {
		r.e.opts.Log.Warn().Str("request", r.x.id).Str("detail", p.Detail).Msg("Stream given up.")
		r.x.result = resultBroken
		s.abort(p)
		return
	}
	r.x.fail(p)
}

// try is one attempt and where it was made: at an endpoint of this cell or at an entry of another one.
type try struct {
	result
	endpoint string
	addr     string // caller address of the other entry
}

// run makes attempts until the answer is complete. It returns the problem to report, or nil if the caller has its
// answer or is gone.
func (r *completion) run(ctx context.Context) *problem {
	r.e.retries.first()
	for {
		before := r.seq.last()
		t, p := r.attemptNext(ctx)
		if p != nil {
			return p
		}
		if t != nil {
			r.note(t, before)
			switch {
			case t.err == errFinished:
				return nil
			case ctx.Err() != nil || t.callerGone:
				r.x.result = resultCancelled
				return nil
			case t.problem != nil:
				return t.problem
			case t.preempted:
				r.preempted(t)
				continue
			}
			if r.failedAt(t) {
				continue
			}
		}
		if !r.again(ctx) {
			return r.giveUp(ctx)
		}
	}
}

// attemptNext makes the next attempt. It returns nil without a problem if an answer that has begun has no endpoint at
// present.
func (r *completion) attemptNext(ctx context.Context) (*try, *problem) {
	if addr := r.remote(); addr != "" {
		return &try{result: r.forward(ctx, addr), addr: addr}, nil
	}
	b, p := r.bind(ctx)
	if p != nil || b == nil {
		return nil, p
	}
	return &try{result: r.once(ctx, b), endpoint: b.Endpoint()}, nil
}

// note updates what is known of the request after an attempt that began behind event before.
func (r *completion) note(t *try, before uint64) {
	if t.outcome != 0 {
		r.outcome = attempt.Combine(r.outcome, t.outcome)
	}
	if r.seq.last() > before {
		r.progress, r.tries = time.Now(), 0
		r.ask.Exclude = nil
		clear(r.failed)
		clear(r.tried)
	}
}

func (r *completion) preempted(t *try) {
	r.ask.Preemptions++
	r.progress = time.Now() // the wait for the next slot is no fault of the endpoint
	r.x.note(r.e.observer, "preempted", "the slot is needed by more urgent work", r.ask.Model, t.endpoint)
}

// failedAt notes a failed attempt. It returns true if the next one may follow at once: what was not run may be tried at
// another cell, each of whose entries is tried once.
func (r *completion) failedAt(t *try) bool {
	r.last = t.err
	if t.addr == "" {
		r.exclude(t.endpoint)
		r.failed[t.endpoint] = true
	} else {
		r.tried[t.addr] = true
	}
	r.e.opts.Log.Debug().Str("request", r.x.id).Str("endpoint", t.endpoint).Str("entry", t.addr).Err(t.err).Msg("Attempt failed.")
	return t.outcome.NotExecuted() && r.remote() != "" && time.Now().Before(r.x.deadline())
}

func (r *completion) exclude(endpoint string) {
	for _, x := range r.ask.Exclude {
		if x == endpoint {
			return
		}
	}
	r.ask.Exclude = append(r.ask.Exclude, endpoint)
	failed := func(e string) bool { return slices.Contains(r.ask.Exclude, e) }
	if !slices.ContainsFunc(r.e.view.Load().Residents(r.ask.Model), func(e string) bool { return !failed(e) }) {
		r.ask.Exclude = []string{endpoint} // all have failed once
	}
}

// resumeDeadline returns when an answer that has begun is given up. Work whose rank allows a long wait may be preempted
// for as long, for example while more urgent work floods in.
func (r *completion) resumeDeadline() time.Time {
	return r.progress.Add(max(resumeLimit, r.x.rank.Deadline))
}

// binding asks the binder. While the only endpoints that take work are excluded, a resumed answer would wait for ever
// and a new one until its deadline, so that the exclusion ends after a while.
func (r *completion) binding(ctx context.Context) (routing.Binding, error) {
	if len(r.ask.Exclude) > 0 {
		short, cancel := context.WithTimeout(ctx, excludeLimit)
		defer cancel()
		b, err := r.e.binder.Bind(short, r.ask)
		if err == nil || short.Err() == nil || ctx.Err() != nil {
			return b, err
		}
		r.ask.Exclude = nil
		r.ask.ID = r.e.asks.Add(1)
	}
	if r.ask.Resumed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.resumeDeadline())
		defer cancel()
	}
	return r.e.binder.Bind(ctx, r.ask)
}

// bind returns the binding for the next attempt. It returns nil without a problem if an answer that has begun has no
// endpoint at present.
func (r *completion) bind(ctx context.Context) (routing.Binding, *problem) {
	r.ask.ID = r.e.asks.Add(1)
	r.ask.Resumed = r.seq.last() > 0 || r.ask.Preemptions > 0 // work that has begun is not refused for its deadline
	if left := time.Until(r.x.deadline()); !r.ask.Resumed {
		r.ask.DeadlineMs = uint32(max(left.Milliseconds(), 1))
	}
	asked := time.Now()
	b, err := r.binding(ctx)
	if err == nil {
		if !r.ask.Resumed {
			r.x.series.QueueTime(time.Since(asked))
		}
		return b, nil
	}
	var refused *routing.Refusal
	switch {
	case ctx.Err() != nil:
		return nil, nil
	case len(r.ask.Exclude) > 0:
		// No other endpoint serves the model: the same ones may be tried again.
		r.ask.Exclude, r.last = nil, err
		return nil, nil
	case r.ask.Resumed:
		r.last = err
		return nil, nil
	case errors.As(err, &refused):
		r.e.demand.Refused(r.ask.Model)
		return nil, newProblem(http.StatusServiceUnavailable, refusedTitle, refused.Reason,
			attempt.Combine(r.outcome, attempt.NotSent), time.Duration(refused.RetryAfterMs)*time.Millisecond)
	}
	return nil, newProblem(http.StatusServiceUnavailable, "No endpoint", err.Error(), attempt.Combine(r.outcome, attempt.NotSent), defaultRetryAfter)
}

// again waits before the next attempt. It returns false if there must be none. An answer that has begun is resumed
// without regard to the retry budget as long as each attempt yields a token, because the caller already counts on it.
func (r *completion) again(ctx context.Context) bool {
	deadline := r.x.deadline()
	if r.seq.last() > 0 {
		deadline = r.resumeDeadline()
	} else if !r.e.retries.take() {
		return false
	}
	r.tries++
	if !backoff(ctx, r.tries-1, deadline) {
		return false
	}
	r.observeRetry()
	return true
}

// observeRetry counts and records a further attempt with its cause.
func (r *completion) observeRetry() {
	decision := "retry"
	if r.seq.last() > 0 {
		decision = "resume"
		r.x.series.Resume()
	} else {
		r.x.series.Retry()
	}
	cause := "no endpoint"
	if r.last != nil {
		cause = r.last.Error()
	}
	endpoint := ""
	if n := len(r.ask.Exclude); n > 0 {
		endpoint = r.ask.Exclude[n-1]
	}
	r.x.note(r.e.observer, decision, cause, r.ask.Model, endpoint)
}

func (r *completion) giveUp(ctx context.Context) *problem {
	if ctx.Err() != nil {
		r.x.result = resultCancelled
		return nil
	}
	detail := ""
	if r.last != nil {
		detail = r.last.Error()
	}
	if r.outcome == 0 {
		r.outcome = attempt.NotSent
	}
	return newProblem(http.StatusBadGateway, "No endpoint completed the request", detail, r.outcome, defaultRetryAfter)
}
