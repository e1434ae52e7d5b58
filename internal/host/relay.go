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
	maxEvent   = 1 << 20 // bytes of one event of a stream
	relayRead  = 4 << 10
	callerSlow = 10 * time.Second // a caller that does not read for so long has left
)

// relay is a stream that is passed on to the caller, over all its attempts.
type relay struct {
	lastID  string // of the last event that was passed on
	events  int
	first   time.Duration // from the arrival of the request to the first event
	resumes int
	begun   bool          // the caller has got the header
	lastAt  time.Time     // when the latest event was passed on
	pause   time.Duration // longest time between two events of one attempt

	// Of the present attempt.
	came    int       // events
	firstAt time.Time // when the first one came
	cameAt  time.Time // when the latest one came
}

// note counts an event that came from the endpoint.
func (s *relay) note(now time.Time) {
	if s.came++; s.came == 1 {
		s.firstAt = now
	} else {
		s.pause = max(s.pause, now.Sub(s.cameAt))
	}
	s.cameAt = now
}

// tell adds what the endpoint's stream showed of its pace to an outcome.
func (s *relay) tell(d *wire.Done) {
	if s == nil || s.came == 0 {
		return
	}
	d.Events, d.StreamMs = uint32(s.came), uint32(s.cameAt.Sub(s.firstAt).Milliseconds())
}

// watchdog calls a function after a time without a sign of life.
type watchdog struct {
	t     *time.Timer
	begun time.Time
	last  atomic.Int64 // the latest sign of life, since begun
}

func newWatchdog(d time.Duration, expired func()) *watchdog {
	w := &watchdog{begun: time.Now()}
	if d > 0 {
		w.t = time.AfterFunc(d, expired)
	}
	return w
}

// alive notes a sign of life, and restarts the time with a new length.
func (w *watchdog) alive(d time.Duration) {
	w.last.Store(int64(time.Since(w.begun)))
	w.again(d)
}

// again restarts the time without a sign of life.
func (w *watchdog) again(d time.Duration) {
	if w.t != nil {
		w.t.Reset(d)
	}
}

// silent returns the time since the latest sign of life.
func (w *watchdog) silent() time.Duration { return time.Since(w.begun) - time.Duration(w.last.Load()) }

func (w *watchdog) stop() {
	if w.t != nil {
		w.t.Stop()
	}
}

// relay passes the events of a stream on. Only whole events are passed, so that a stream can go on elsewhere after its
// last one.
func (x *exchange) relay(ctx context.Context, b *binding, resp *upstream.Response, start time.Time, w *watchdog) result {
	if x.stream == nil {
		x.stream = &relay{}
	} else {
		x.stream.resumes++
	}
	first := true
	x.stream.came = 0
	err := splitEvents(resp.Body, func(event []byte) error {
		if first {
			first = false
			b.started(time.Since(start))
		}
		if hasContent(event) {
			x.stream.note(time.Now())
			w.alive(x.pauseSilence())
		}
		return x.event(resp, event)
	})
	var gone *callerError
	switch {
	case errors.As(err, &gone):
		resp.Close(false)
		x.logEnd("caller left", 0, err)
		d := wire.Done{Outcome: uint8(attempt.Unknown)}
		x.stream.tell(&d)
		b.done(d)
		panic(http.ErrAbortHandler)
	case err != nil:
		resp.Close(false)
		if !x.stream.begun {
			x.stream = nil // the caller has got nothing yet
		}
		return result{outcome: attempt.Unknown, fault: sched.BrokenResponse, err: err}
	}
	resp.Close(true)
	if !x.stream.begun {
		x.begin(resp) // a stream without events
	}
	x.f.streamEnded(time.Since(start))
	x.logEnd("answered", resp.StatusCode, nil)
	return result{outcome: attempt.Answered, finished: true}
}

// callerError is a failed write to the caller.
type callerError struct{ err error }

// Error implements error.
func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (x *exchange) begin(resp *upstream.Response) {
	x.stream.begun, x.stream.lastAt = true, time.Now()
	x.f.h.opts.Codec.PassOn(resp.Header)
	x.copyHeader(resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// event passes one whole event on.
func (x *exchange) event(resp *upstream.Response, event []byte) error {
	s := x.stream
	if !s.begun {
		x.begin(resp)
		s.first = time.Since(x.q.Arrived)
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetWriteDeadline(time.Now().Add(callerSlow)); err != nil {
		return &callerError{err}
	}
	if _, err := x.w.Write(event); err != nil {
		return &callerError{err}
	}
	if err := rc.Flush(); err != nil {
		return &callerError{err}
	}
	s.events++
	s.lastAt = time.Now()
	if id := eventID(event); id != "" {
		s.lastID = id
	}
	return nil
}

// splitEvents reads a stream and calls fn for each whole event with its empty line. An event that the stream's end cuts
// off is an error.
func splitEvents(r io.Reader, fn func(event []byte) error) error {
	buf := make([]byte, 0, relayRead)
	for {
		if len(buf) == cap(buf) {
			if len(buf) >= maxEvent {
				return errors.Errorf("an event is longer than %d bytes", maxEvent)
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
	if f.bySeries == nil {
		f.bySeries = make(map[string]*telemetry.Series)
	}
	s := f.bySeries[r.Name]
	if s == nil {
		s = f.h.opts.Metrics.Series(r.Name, r.Kind.String())
		f.bySeries[r.Name] = s
	}
	return s
}
