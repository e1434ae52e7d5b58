package entry

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/telemetry"
)

const maxRequestID = 128 // bytes

// exchange is one authenticated request of a caller and its answer.
type exchange struct {
	c      *app.RequestContext
	id     string // request id that the caller sees
	snap   *config.Snapshot
	caller *config.Caller
	rank   *config.Rank
	start  time.Time
	series *telemetry.Series
	result string // as counted by the metrics
}

// fail answers with a problem.
func (x *exchange) fail(p *problem) {
	x.result = resultOf(p)
	p.RequestID = x.id
	p.write(x.c)
}

// deadline returns when the answer must have started.
func (x *exchange) deadline() time.Time {
	if x.rank.Deadline <= 0 {
		return x.start.Add(defaultDeadline)
	}
	return x.start.Add(x.rank.Deadline)
}

// body reads the request body. It returns a problem if the body is longer than limit bytes or incomplete.
func (x *exchange) body(limit int) ([]byte, *problem) {
	b, err := io.ReadAll(io.LimitReader(x.c.RequestBodyStream(), int64(limit)+1))
	if err != nil {
		x.c.SetConnectionClose()
		return nil, refusal(http.StatusBadRequest, "Incomplete request body", err.Error(), 0)
	}
	if len(b) > limit {
		x.c.SetConnectionClose() // the rest of the body is not read
		return nil, refusal(http.StatusRequestEntityTooLarge, "Request body too large", "", 0)
	}
	return b, nil
}

// requestID returns the caller's id if it is short and printable, else a new one.
func requestID(c *app.RequestContext) string {
	id := c.GetHeader("X-Request-Id")
	if len(id) == 0 || len(id) > maxRequestID {
		return uuid.NewString()
	}
	for _, b := range id {
		if b <= ' ' || b > '~' {
			return uuid.NewString()
		}
	}
	return string(id)
}

// handle returns a handler that admits and authenticates a request before fn answers it.
func (e *Entry) handle(fn func(context.Context, *exchange)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		x := &exchange{c: c, id: requestID(c), start: time.Now(), series: e.observer.other, result: resultAnswered}
		// The count is raised before the state is read, so that a drain that saw zero is seen by every later request.
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		defer func() { x.series.Request(x.result) }()
		if e.leaving.Load() {
			c.SetConnectionClose()
		}
		if e.draining.Load() {
			x.fail(refusal(http.StatusServiceUnavailable, "Host is stopping", "", defaultRetryAfter))
			return
		}
		done := make(chan struct{})
		err := e.workers.Submit(func() {
			defer close(done)
			defer e.recoverFrom(x)
			if p := e.admit(x); p != nil {
				x.fail(p)
				return
			}
			fn(ctx, x)
		})
		if err != nil {
			x.fail(refusal(http.StatusServiceUnavailable, "Too many requests in progress", "", defaultRetryAfter))
			return
		}
		<-done
	}
}

// recoverFrom answers a request whose handler has panicked. The pool would recover as well, but leave an empty answer
// with status 200.
func (e *Entry) recoverFrom(x *exchange) {
	r := recover()
	if r == nil {
		return
	}
	e.opts.Log.Error().Str("request", x.id).Any("panic", r).Str("stack", string(debug.Stack())).Msg("Handler failed.")
	x.c.SetConnectionClose()
	if x.c.Response.GetHijackWriter() == nil {
		x.fail(newProblem(http.StatusInternalServerError, "Internal error", "", attempt.Unknown, 0))
	}
}

// admit fills in who sends the request and at what rank.
func (e *Entry) admit(x *exchange) *problem {
	x.snap = e.view.Load().Snapshot
	if x.snap == nil {
		return refusal(http.StatusServiceUnavailable, "No configuration yet", "", defaultRetryAfter)
	}
	if x.caller = authenticate(x.snap, x.c); x.caller == nil {
		return refusal(http.StatusUnauthorized, "Unknown API key", "", 0)
	}
	name := string(x.c.GetHeader(rankHeader))
	if x.rank = chooseRank(x.snap, x.caller, name); x.rank == nil {
		return refusal(http.StatusForbidden, "Rank not permitted", name, 0)
	}
	x.series = e.observer.of(x.caller.Name, x.rank.Name)
	return nil
}
