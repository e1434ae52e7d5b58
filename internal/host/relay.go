package host

import (
	"bytes"
	"context"
	"io"
	"net/http"
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
	maxEventBytes      = 1 << 20 // bytes of one event of a stream
	initialEventBuffer = 4 << 10
	callerWriteTimeout = 10 * time.Second // a caller that does not read for so long has left
)

// streamRelay is a stream that is passed on to the caller, over all its attempts.
type streamRelay struct {
	lastEventID  string // of the last event that was passed on
	events       int
	timeToFirst  time.Duration // from the arrival of the request to the first event
	resumes      int
	headerSent   bool          // the caller has got the header
	lastSentAt   time.Time     // when the latest event was passed on
	longestPause time.Duration // longest time between two events of one attempt

	// Of the present attempt.
	received        int       // events
	firstReceivedAt time.Time // when the first one came
	lastReceivedAt  time.Time // when the latest one came
}

// recordEvent counts an event that came from the endpoint.
func (s *streamRelay) recordEvent(now time.Time) {
	if s.received++; s.received == 1 {
		s.firstReceivedAt = now
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastReceivedAt))
	}
	s.lastReceivedAt = now
}

// addPace adds what the endpoint's stream showed of its pace to an outcome.
func (s *streamRelay) addPace(d *wire.Done) {
	if s == nil || s.received == 0 {
		return
	}
	d.Events, d.StreamMs = uint32(s.received), uint32(s.lastReceivedAt.Sub(s.firstReceivedAt).Milliseconds())
}

// watchdog calls a function after a time without a sign of life.
type watchdog struct {
	timer        *time.Timer
	startedAt    time.Time
	lastActivity atomic.Int64 // the latest sign of life, since begun
}

func newWatchdog(d time.Duration, expired func()) *watchdog {
	w := &watchdog{startedAt: time.Now()}
	if d > 0 {
		w.timer = time.AfterFunc(d, expired)
	}
	return w
}

// recordActivity notes a sign of life, and restarts the time with a new length.
func (w *watchdog) recordActivity(d time.Duration) {
	w.lastActivity.Store(int64(time.Since(w.startedAt)))
	w.restart(d)
}

// restart restarts the time without a sign of life.
func (w *watchdog) restart(d time.Duration) {
	if w.timer != nil {
		w.timer.Reset(d)
	}
}

// silence returns the time since the latest sign of life.
func (w *watchdog) silence() time.Duration {
	return time.Since(w.startedAt) - time.Duration(w.lastActivity.Load())
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// relayStream passes the events of a stream on. Only whole events are passed, so that a stream can go on elsewhere after its
// last one.
func (x *exchange) relayStream(ctx context.Context, b *binding, resp *upstream.Response, start time.Time, w *watchdog) attemptResult {
	if x.stream == nil {
		x.stream = &streamRelay{}
	} else {
		x.stream.resumes++
	}
	first := true
	x.stream.received = 0
	err := splitEvents(resp.Body, func(event []byte) error {
		if first {
			first = false
			b.reportStarted(time.Since(start))
		}
		if hasContent(event) {
			x.stream.recordEvent(time.Now())
			w.recordActivity(x.eventGapLimit())
		}
		return x.writeEvent(resp, event)
	})
	var gone *callerError
	switch {
	case errors.As(err, &gone):
		resp.Close(false)
		x.logEnd("caller left", 0, err)
		d := wire.Done{Outcome: uint8(attempt.Unknown)}
		x.stream.addPace(&d)
		b.done(d)
		panic(http.ErrAbortHandler)
	case err != nil:
		resp.Close(false)
		if !x.stream.headerSent {
			x.stream = nil // the caller has got nothing yet
		}
		return attemptResult{outcome: attempt.Unknown, fault: sched.Broken, err: err}
	}
	resp.Close(true)
	if !x.stream.headerSent {
		x.writeHeader(resp) // a stream without events
	}
	x.f.observeStream(time.Since(start))
	x.logEnd("answered", resp.StatusCode, nil)
	return attemptResult{outcome: attempt.Answered, delivered: true}
}

// callerError is a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (x *exchange) writeHeader(resp *upstream.Response) {
	x.stream.headerSent, x.stream.lastSentAt = true, time.Now()
	x.f.h.opts.Codec.PassOn(resp.Header)
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// writeEvent passes one whole writeEvent on.
func (x *exchange) writeEvent(resp *upstream.Response, event []byte) error {
	s := x.stream
	if !s.headerSent {
		x.writeHeader(resp)
		s.timeToFirst = time.Since(x.q.Arrived)
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return &callerError{err}
	}
	if _, err := x.w.Write(event); err != nil {
		return &callerError{err}
	}
	if err := rc.Flush(); err != nil {
		return &callerError{err}
	}
	s.events++
	s.lastSentAt = time.Now()
	if id := eventID(event); id != "" {
		s.lastEventID = id
	}
	return nil
}

// splitEvents reads a stream and calls fn for each whole event with its empty line. An event that the stream's end cuts
// off is an error.
func splitEvents(r io.Reader, fn func(event []byte) error) error {
	buf := make([]byte, 0, initialEventBuffer)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEventBytes {
				return errors.Errorf("an event is longer than %d bytes", maxEventBytes)
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		// Bytes that were searched before are not searched again: a long event would take quadratic time.
		seen := max(len(buf)-len("\r\n\r\n")+1, 0)
		buf = buf[:len(buf)+n]
		if end := lastEventEnd(buf[seen:]); end > 0 {
			end += seen
			// Events that arrive together are passed on together.
			if ferr := fn(buf[:end]); ferr != nil {
				return ferr
			}
			buf = buf[:copy(buf, buf[end:])]
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(buf)) > 0:
			return errors.New("the stream ends within an event")
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// lastEventEnd returns the end of the last whole event, 0 if there is none.
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

// hasContent tells whether events hold anything but comments and empty lines: an endpoint that sends nothing else has
// stalled, whatever its connection carries.
func hasContent(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the last id line of whole events, empty if there is none.
func eventID(b []byte) string {
	id := ""
	for line := range bytes.Lines(b) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

// copyBody passes the rest of a body on. One without a stated length may have most bytes.
func copyBody(w io.Writer, resp *upstream.Response, most int64) (int64, error) {
	if resp.ContentLength >= 0 {
		return io.Copy(w, resp.Body)
	}
	n, err := io.Copy(w, io.LimitReader(resp.Body, most))
	if err == nil && n == most {
		return n, errors.Errorf("a body without a length is longer than %d bytes", most)
	}
	return n, err
}

// series returns the metrics of a route's requests.
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
