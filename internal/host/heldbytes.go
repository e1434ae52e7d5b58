package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

// callerUnsentBytes limits the bytes in a caller's socket that the caller's machine has not taken. Without a limit, one that
// does not read leaves up to 4 MB in this machine's memory, and a slow one takes several seconds to free a third of that, in
// which its endpoint sees no progress.
const callerUnsentBytes = 64 << 10

// registerHeldBytesMetrics registers the metrics of the bytes that are held for slow readers.
func (h *Host) registerHeldBytesMetrics() error {
	m, held := h.opts.Metrics, h.requestPool.Held()
	decisions := func() []telemetry.AttributedCount {
		var out []telemetry.AttributedCount
		for d, n := range held.Decisions() {
			out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"decision": d}, Count: n})
		}
		return out
	}
	for _, err := range []error{
		m.LabeledGauge("sycamore.held.bytes", "Bytes held for callers and endpoints, by kind.", "kind", held.Bytes),
		m.AttributedCounter("sycamore.held.decisions", "Decisions about further bytes to be held.", decisions),
		m.Counter("sycamore.answers.unread", "Answers ended because their callers read nothing.", held.Unread),
	} {
		if err != nil {
			return errors.Annotate(err, "held bytes")
		}
	}
	return nil
}

// memoryBytes returns the memory limit of the process.
func (h *Host) memoryBytes() int64 {
	mb := h.deployment().MemoryMB
	if mb <= 0 {
		mb = defaultMemoryMB
	}
	return int64(mb) << 20
}

// newHolding returns the count of the bytes that a request holds of a kind.
func (h *Host) newHolding(kind upstream.HeldKind, q *fleet.Request) upstream.Holding {
	return h.requestPool.Held().New(kind, q.AccountName(), h.memoryBytes())
}

// logHeld logs that the bound on held bytes was reached, if there is a report, which is so at most once a second.
func (h *Host) logHeld(r *upstream.HeldReport) {
	if r == nil {
		return
	}
	h.front.log.Warn().Str("kind", r.Kind.String()).Str("decision", r.Decision.String()).Str("account", r.Account).Int64("need", r.Need).
		Int64("connection", r.Use.Connection).Int64("accountBytes", r.Use.Account).Int64("host", r.Use.Host).
		Int64("connectionLimit", r.Limits.Connection).Int64("accountLimit", r.Limits.Account).Int64("hostLimit", r.Limits.Host).
		Msg("The bound on bytes held for slow readers is near or reached.")
}

// limitCallerSocket limits what a new connection's socket holds for its caller.
func (f *front) limitCallerSocket(c net.Conn) {
	if err := upstream.LimitUnsent(c, callerUnsentBytes); err != nil {
		f.log.Debug().Err(err).Msg("Limiting a caller's socket failed.")
	}
}

// callerResponse is the response to a caller whose writes end with the request: by its time, when its caller has left, or with a
// stop. It ends writes of which the caller takes nothing for unreadTime.
type callerResponse struct {
	http.ResponseWriter
	x      *exchange
	rc     *http.ResponseController
	ctx    context.Context  // of the request
	answer upstream.Holding // buffered answers
	whole  atomic.Bool      // the answer was read whole
	endBy  time.Time        // end of the request's time, zero for none

	mu      sync.Mutex
	unread  time.Duration // limit of the write in progress
	counted bool          // as unread
	closed  bool          // the request has ended
	begun   time.Time     // first write, zero before it
	// unreadAt is when the write in progress ends because the caller reads nothing, zero if it ends before for another reason.
	unreadAt time.Time
	ended    time.Time // time after ctx has ended at which all writes end, zero before
}

// guardWrites makes the writes to the caller end with ctx. The returned function frees what the request holds of answers.
func (x *exchange) guardWrites(ctx context.Context) (end func()) {
	c := &callerResponse{ResponseWriter: x.w, x: x, rc: http.NewResponseController(x.w), ctx: ctx, endBy: x.q.EndBy(),
		answer: x.f.h.newHolding(upstream.HeldAnswer, x.q)}
	x.w = c
	stop := context.AfterFunc(ctx, c.endWrites)
	return func() {
		stop()
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		c.answer.Release()
	}
}

// endWrites ends the write in progress soon.
func (c *callerResponse) endWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed { // the connection may carry the next request
		return
	}
	c.limitEnded()
	_ = c.rc.SetWriteDeadline(c.ended) // fails only for a connection that is closed
}

// limitEnded sets the time at which all writes end after the end of the context. The caller holds the lock.
func (c *callerResponse) limitEnded() {
	if c.ended.IsZero() {
		c.ended = time.Now().Add(finalWriteTime)
	}
}

// SetWriteDeadline implements the method that http.ResponseController uses. It sets a time not after t.
func (c *callerResponse) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.begun.IsZero() {
		c.begun = now
	}
	c.unread = unreadTime(c.whole.Load(), c.whole.Load() && c.answer.Pressed())
	limit := writeLimit(now, c.begun, c.endBy, c.unread)
	if c.ctx.Err() != nil {
		c.limitEnded()
		limit = c.ended
	}
	if t.Before(limit.Add(-time.Millisecond)) { // t is as long after a time that was read before now
		limit = t
	}
	c.unreadAt = time.Time{}
	if at := now.Add(c.unread); !limit.Before(at) {
		c.unreadAt = at
	}
	return c.rc.SetWriteDeadline(limit)
}

// Write implements http.ResponseWriter.
func (c *callerResponse) Write(p []byte) (int, error) {
	n, err := c.ResponseWriter.Write(p)
	c.noteUnread(err)
	return n, err
}

// FlushError implements the method that http.ResponseController uses.
func (c *callerResponse) FlushError() error {
	err := c.rc.Flush()
	c.noteUnread(err)
	return err
}

// noteUnread counts and logs the end of an answer whose caller reads nothing. The context does not tell: net/http ends it before
// a failed write returns.
func (c *callerResponse) noteUnread(err error) {
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	unread := !c.counted && !c.unreadAt.IsZero() && !time.Now().Before(c.unreadAt)
	c.counted = c.counted || unread
	c.mu.Unlock()
	if !unread {
		return
	}
	c.x.f.h.requestPool.Held().AddUnread()
	c.x.f.log.Warn().Str("request", c.x.q.ID).Str("account", c.x.q.AccountName()).Int64("unreadMs", c.unread.Milliseconds()).Bool("whole", c.whole.Load()).
		Msg("The caller reads nothing, its answer is ended.")
}

// readAnswer reads an answer into memory up to maxBufferedAnswer. While much is held for slow readers, it returns the part read
// so far and true for more, so that the rest is passed on at the caller's pace.
func (x *exchange) readAnswer(resp *upstream.Response) (body []byte, more bool, err error) {
	c, ok := x.w.(*callerResponse)
	if !ok {
		return resp.ReadAll(maxBufferedAnswer)
	}
	if x.fallback == nil {
		c.answer.Release() // what an attempt before held is no longer used
	}
	body, more, report, err := resp.ReadAllWithin(maxBufferedAnswer, &c.answer)
	x.f.h.logHeld(report)
	c.whole.Store(err == nil && !more)
	return body, more, err
}

// endRun ends the search for another endpoint and frees the slot, before an answer that was read whole is written: a caller that
// reads slowly keeps neither. A request that was sent more than once reports its outcome with the number of sends later.
func (x *exchange) endRun(b *binding, w *watchdog, status int) {
	w.disable()
	if status < http.StatusInternalServerError && x.sends == 1 {
		b.done(wire.Done{Outcome: uint8(attempt.Answered), TotalMs: uint32(max(time.Since(w.start).Milliseconds(), 1))})
	}
}

// eventMemory is the memory for the events of a stream.
type eventMemory struct {
	upstream.Holding
	x   *exchange
	ctx context.Context
}

// errNoEventMemory is the error of a stream whose next event needs more memory than there is for it.
var errNoEventMemory = errors.New("no memory for a long event")

// grow takes n more bytes for an event. It waits for them while others hold too much, and the endpoint waits meanwhile.
func (m *eventMemory) grow(n int) error {
	if m == nil {
		return nil
	}
	for end := time.Now().Add(maxEventMemoryWait); ; {
		d, report := m.Grow(int64(n))
		m.x.f.h.logHeld(report)
		switch {
		case d == upstream.HeldAdmit:
			return nil
		case d != upstream.HeldSlow || time.Now().After(end):
			return errNoEventMemory
		}
		clock.Sleep(m.ctx, callerBlockedTime)
		if m.ctx.Err() != nil {
			return m.ctx.Err()
		}
	}
}

// charge takes the n bytes that each stream needs.
func (m *eventMemory) charge(n int) {
	if m != nil {
		m.Charge(int64(n))
	}
}

// shrink frees n bytes.
func (m *eventMemory) shrink(n int) {
	if m != nil {
		m.Shrink(int64(n))
	}
}
