package host

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

const (
	maxEventBytes      = 1 << 20          // limit for one event of a stream
	initialEventBuffer = 4 << 10          // bytes; the buffer doubles up to maxEventBytes
	keptEventBuffer    = 64 << 10         // a larger buffer is freed after its event
	callerWriteTimeout = 10 * time.Second // a caller that accepts no data for so long counts as gone
)

// streamRelay is the state of a stream that is passed on to the caller, over all attempts of the request.
type streamRelay struct {
	lastEventID  string        // id of the last event passed on
	events       int           // passed on; those read together count as one
	timeToFirst  time.Duration // from the request's arrival to its first event
	resumes      int           // attempts that continued the stream
	headerSent   bool          // the status and header went to the caller
	lastSentAt   time.Time     // when the last event was passed on
	longestPause time.Duration // longest time between two events of one attempt

	// These fields describe the current attempt.
	received        int           // events that arrived, counted as above
	firstReceivedAt time.Time     // when the first event arrived
	lastReceivedAt  time.Time     // when the last event arrived
	blocked         time.Duration // how long the last write to the caller took
}

// recordEvent counts an event, or several read together, that arrived from the endpoint, and updates the longest pause.
func (s *streamRelay) recordEvent(now time.Time) {
	if s.received++; s.received == 1 {
		s.firstReceivedAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastReceivedAt))
	}
	s.lastReceivedAt = now
}

// addPace adds the number of events and the duration of the current attempt's stream to the report of its outcome.
func (s *streamRelay) addPace(d *wire.Done) {
	if s == nil || s.received == 0 {
		return
	}
	d.Events, d.StreamMs = uint32(s.received), uint32(s.lastReceivedAt.Sub(s.firstReceivedAt).Milliseconds())
}

// watchedBody is the body of an answer, whose bytes are activity of the endpoint.
type watchedBody struct {
	io.ReadCloser
	w       *watchdog
	timeout time.Duration
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.w.off.Load() {
		b.w.recordActivity(b.timeout)
	}
	return n, err
}

// watchdog calls a function after a time without activity.
type watchdog struct {
	timer *time.Timer
	start time.Time
	last  atomic.Int64 // time of the last activity, in nanoseconds since start
	off   atomic.Bool  // the attempt can't be replaced any more

	// callerBlocks is set while data is written to the caller: the endpoint is not read then, so it is not silent.
	callerBlocks atomic.Bool
}

// newWatchdog starts a watchdog that calls expired after d. If d is 0, it never does.
func newWatchdog(d time.Duration, expired func()) *watchdog {
	w := &watchdog{start: time.Now()}
	if d > 0 {
		w.timer = time.AfterFunc(d, func() {
			if w.callerBlocks.Load() {
				w.timer.Reset(d)
				return
			}
			expired()
		})
	}
	return w
}

// writing calls write, which passes data on to the caller. If the caller holds it up, the endpoint's time begins anew after it.
func (w *watchdog) writing(timeout time.Duration, write func() (time.Duration, error)) error {
	w.callerBlocks.Store(true)
	took, err := write()
	w.callerBlocks.Store(false)
	if took >= callerBlockedTime {
		w.recordActivity(timeout)
	}
	return err
}

// recordActivity records activity now, and restarts the timer with a new timeout.
func (w *watchdog) recordActivity(d time.Duration) {
	w.last.Store(int64(time.Since(w.start)))
	w.restart(d)
}

// restart restarts the timer without recording activity.
func (w *watchdog) restart(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// silence returns the time since the last activity.
func (w *watchdog) silence() time.Duration { return time.Since(w.start) - time.Duration(w.last.Load()) }

// disable stops the watchdog of an answer that the caller has got a part of.
func (w *watchdog) disable() {
	w.off.Store(true)
	w.stop()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// relayStream passes the events of an endpoint's stream on to the caller. It passes on whole events only, so that another
// endpoint can resume the stream after the last one.
func (x *exchange) relayStream(ctx context.Context, b *binding, resp *upstream.Response, start time.Time, w *watchdog) attemptResult {
	if x.stream == nil {
		x.stream = &streamRelay{}
	} else {
		x.stream.resumes++
	}
	first := true
	resumedAfter := x.resumeAfter()
	x.stream.received, x.stream.blocked = 0, 0
	mem := &eventMemory{Holding: x.f.h.newHolding(upstream.HeldEvents, x.q), x: x, ctx: ctx}
	defer mem.Release()
	err := splitEvents(resp.Body, mem, func(event []byte) error {
		if hasContent(event) {
			if first {
				if !continues(resumedAfter, eventIDs(event)) {
					return errStartsOver
				}
				first = false
				b.reportStarted(time.Since(start))
			}
			x.stream.recordEvent(time.Now())
			w.recordActivity(x.eventGapLimit())
		}
		return w.writing(x.eventGapLimit(), func() (time.Duration, error) {
			err := x.writeEvent(resp, event)
			return x.stream.blocked, err
		})
	})
	if err == nil && first && !resp.Framed() {
		err = errNoEvent
	}
	var callerErr *callerError
	switch {
	case errors.As(err, &callerErr):
		resp.Close(false)
		x.logEnd("caller left", 0, err)
		done := wire.Done{Outcome: uint8(attempt.Unknown)}
		x.stream.addPace(&done)
		b.done(done)
		panic(http.ErrAbortHandler)
	case err != nil:
		resp.Close(false)
		if !x.stream.headerSent {
			x.stream = nil // nothing went to the caller yet
		}
		if errors.Is(err, errNoEventMemory) || x.stream != nil && x.stream.blocked >= unreadByEndpointTime {
			return attemptResult{outcome: attempt.Unknown, err: err} // no fault of the endpoint
		}
		return attemptResult{outcome: attempt.Unknown, fault: sched.BrokenResponse, connLost: isConnectionEnd(err), err: err}
	}
	resp.Close(true)
	if !x.stream.headerSent {
		x.writeHeader(resp) // the stream had no events
	}
	x.logEnd("answered", resp.StatusCode, nil)
	return attemptResult{outcome: attempt.Answered, delivered: true}
}

// callerError wraps the error of a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "caller: " + e.err.Error() }

// writeHeader sends the status and header of a stream to the caller.
func (x *exchange) writeHeader(resp *upstream.Response) {
	x.stream.headerSent, x.stream.lastSentAt = true, time.Now()
	x.f.h.opts.Codec.PassOn(resp.Header)
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// writeEvent passes whole events on to the caller. The header goes before the first one.
func (x *exchange) writeEvent(resp *upstream.Response, event []byte) error {
	s := x.stream
	if !s.headerSent {
		x.writeHeader(resp)
		s.timeToFirst = time.Since(x.q.Arrived)
	}
	start := time.Now()
	if _, err := (callerWriter{x.w}).writeFrom(start, event); err != nil {
		return err
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return &callerError{err}
	}
	s.events++
	s.lastSentAt = time.Now()
	s.blocked = s.lastSentAt.Sub(start)
	if id := eventID(event); id != "" {
		s.lastEventID = id
	}
	return nil
}

// errNoEvent is the error of a stream without a length or chunks that ends before its first event. The end of its connection
// does not show whether it is complete.
var errNoEvent = fmt.Errorf("the stream ends before its first event: %w", io.ErrUnexpectedEOF)

var errEndsWithinEvent = fmt.Errorf("the stream ends within an event: %w", io.ErrUnexpectedEOF)

// splitEvents reads a stream and calls fn with each whole event, including the empty line that ends it. Events that are read
// together go into one call. It returns an error if the stream ends within an event. The buffer counts in mem, which may be nil.
func splitEvents(r io.Reader, mem *eventMemory, fn func(event []byte) error) error {
	buf := make([]byte, 0, initialEventBuffer)
	mem.charge(cap(buf))
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				return errors.Errorf("an event is longer than %d bytes", maxEventBytes)
			}
			old := cap(buf)
			if err := mem.grow(2 * old); err != nil {
				return err
			}
			buf = append(make([]byte, 0, 2*old), buf...)
			mem.shrink(old)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		// Bytes are searched only once, because a long event would take quadratic time otherwise.
		searched := max(len(buf)-len("\r\n\r\n")+1, 0)
		buf = buf[:len(buf)+n]
		if end := lastEventEnd(buf[searched:]); end > 0 {
			end += searched
			// All whole events in the buffer are passed on together.
			if fnErr := fn(buf[:end]); fnErr != nil {
				return fnErr
			}
			buf = buf[:copy(buf, buf[end:])]
			if cap(buf) > keptEventBuffer && len(buf) < initialEventBuffer {
				mem.shrink(cap(buf) - initialEventBuffer)
				buf = append(make([]byte, 0, initialEventBuffer), buf...)
			}
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(buf)) > 0:
			return errEndsWithinEvent
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// lastEventEnd returns the index after the last whole event, or 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// hasContent reports whether events contain anything but comments and empty lines. An endpoint that sends only those counts
// as stalled.
func hasContent(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventIDs returns the values of the id lines in whole events.
func eventIDs(b []byte) []string {
	var ids []string
	for line := range bytes.Lines(b) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ids = append(ids, string(bytes.TrimSpace(v)))
		}
	}
	return ids
}

// eventID returns the value of the last id line in whole events, or an empty string if there is none.
func eventID(b []byte) string {
	if ids := eventIDs(b); len(ids) > 0 {
		return ids[len(ids)-1]
	}
	return ""
}

var errStartsOver = errors.New("the stream does not continue after the last event of the caller")

// continues reports whether a stream that was resumed after an event goes on with these: their ids increase. IDs that are no
// numbers can't be compared, but must not repeat the last one.
func continues(after string, ids []string) bool {
	if after == "" || len(ids) == 0 {
		return true
	}
	last, err1 := strconv.ParseUint(after, 10, 64)
	next, err2 := strconv.ParseUint(ids[0], 10, 64)
	if err1 != nil || err2 != nil {
		return ids[0] != after
	}
	return next > last
}

// copyLong passes on a long answer, of which begun was read before. It returns the number of bytes read after that.
func (x *exchange) copyLong(w callerWriter, resp *upstream.Response, begun []byte) (int64, error) {
	n, err := w.writeBegun(resp, begun, maxUnsizedAnswer-1)
	if err != nil {
		return n, err
	}
	rest, err := copyBody(w, resp, maxUnsizedAnswer-n)
	return n + rest, err
}

// copyBody copies the rest of a response body to w. A body without a stated length fails when limit bytes were copied. It reads
// no further while the caller does not read.
func copyBody(w callerWriter, resp *upstream.Response, limit int64) (int64, error) {
	buf, free := w.copyBuffer()
	defer free()
	if resp.ContentLength >= 0 {
		return copyPieces(w, resp.Body, buf)
	}
	n, err := copyPieces(w, io.LimitReader(resp.Body, limit), buf)
	if err == nil && n == limit {
		return n, errors.Errorf("a body without a length is longer than %d bytes", limit)
	}
	return n, err
}

// copyPieces copies r to w through buf. If reading fails after the caller held up the last piece for unreadByEndpointTime, the
// error counts as one of the caller, because the endpoint has ended an answer that stayed unread.
func copyPieces(w callerWriter, r io.Reader, buf []byte) (total int64, err error) {
	blocked := time.Duration(0)
	for {
		n, readErr := r.Read(buf)
		if n > 0 {
			start := time.Now()
			written, err := w.writeFrom(start, buf[:n])
			if total += int64(written); err != nil {
				return total, err
			}
			blocked = time.Since(start)
		}
		switch {
		case readErr == io.EOF:
			return total, nil
		case readErr != nil && blocked >= unreadByEndpointTime:
			return total, &callerError{errors.Annotate(readErr, "the endpoint ended an unread answer")}
		case readErr != nil:
			return total, readErr
		}
	}
}

// series returns the metrics of a route's requests, creating them for its first request.
func (f *front) series(r *fleet.Route) *telemetry.Series {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seriesByRoute == nil {
		f.seriesByRoute = make(map[string]*telemetry.Series)
	}
	s := f.seriesByRoute[r.Name]
	if s == nil {
		s = f.h.opts.Metrics.Series(r.Name, r.Kind.String())
		f.seriesByRoute[r.Name] = s
	}
	return s
}
