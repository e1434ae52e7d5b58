package host

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
)

const (
	configPollInterval    = 20 * time.Millisecond
	firstConfigWait       = time.Second      // at the start, for the store's first response or that of the seeds, which takes 0.7 s
	defaultHeaderTimeout  = 10 * time.Second // this and the next three limits apply if the configuration sets none
	defaultIdleTimeout    = 60 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxBodyBytes   = 4 << 20
	bodyTimeout           = 30 * time.Second
	bodyMemoryShare       = 0.25 // largest share of the process's memory for request bodies
	requestsPerMB         = 6    // most requests in progress per MB of the process's memory
	defaultMemoryMB       = 256  // if the deployment settings state no memory
	retryAfterFull        = time.Second
	retryAfterNoConfig    = 500 * time.Millisecond
	retryAfterStopping    = 100 * time.Millisecond
)

// front is the HTTP server for callers.
type front struct {
	h             *Host
	log           telemetry.Logger
	inFlight      atomic.Int64 // requests in progress
	bodyBytes     atomic.Int64 // of the bodies of these requests
	rejectAll     atomic.Bool  // new requests are rejected
	rejectStreams atomic.Bool  // new streams are rejected
	maxInFlight   int64
	maxBodyBytes  int64

	http atomic.Pointer[http.Server] // nil until the first configuration is known

	answerTimer   *answerTimer
	accountCounts accountCounts

	mu            sync.Mutex
	idleConns     map[net.Conn]*idleConn
	seriesByRoute map[string]*telemetry.Series
}

func newFront(h *Host) *front {
	return &front{
		h: h, log: h.log.Part("front"), idleConns: make(map[net.Conn]*idleConn), answerTimer: newAnswerTimer(),
		maxInFlight: requestsPerMB * (h.memoryBytes() >> 20), maxBodyBytes: int64(bodyMemoryShare * float64(h.memoryBytes())),
	}
}

// listen opens the callers' address at once, so that connections are accepted, and starts to serve them when the first
// configuration, which sets the limits, is known. If that takes longer than firstConfigWait, requests are rejected meanwhile.
func (f *front) listen(ctx context.Context, g *errgroup.Group) error {
	ln, err := net.Listen("tcp4", f.h.deployment().CallerAddress)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	g.Go(func() error {
		for begin := time.Now(); ctx.Err() == nil && !f.configured() && time.Since(begin) < firstConfigWait; {
			clock.Sleep(ctx, configPollInterval)
		}
		if !f.configured() {
			f.serveUnconfigured(ctx, ln.(*net.TCPListener))
		}
		s := f.newServer()
		f.http.Store(s)
		context.AfterFunc(ctx, func() { s.Close() })
		if err := s.Serve(ln); ctx.Err() == nil && !f.h.leaving() {
			return errors.Annotate(err, "callers")
		}
		return nil
	})
	return nil
}

// configured reports whether a configuration is known.
func (f *front) configured() bool { return f.h.directory.view().Config != nil }

// serveUnconfigured serves callers until a configuration is known or ctx ends. It closes each connection after a response, so
// that the next request is served with the limits of the configuration.
func (f *front) serveUnconfigured(ctx context.Context, ln *net.TCPListener) {
	f.log.Warn().Msg("No configuration is known, requests are rejected.")
	s := f.newServer()
	s.SetKeepAlivesEnabled(false)
	f.http.Store(s)
	context.AfterFunc(ctx, func() { s.Close() })
	_ = s.Serve(&unconfiguredListener{ln, f}) // it ends with errConfigured or with that of the listener, which the caller finds too
	if err := ln.SetDeadline(time.Time{}); err != nil {
		f.log.Debug().Err(err).Msg("Clearing the deadline of the callers' address failed.")
	}
}

// errConfigured ends the server that rejects requests without a configuration.
var errConfigured = errors.New("a configuration is known")

// unconfiguredListener accepts connections until a configuration is known.
type unconfiguredListener struct {
	*net.TCPListener
	f *front
}

// Accept implements net.Listener.
func (l *unconfiguredListener) Accept() (net.Conn, error) {
	for !l.f.configured() {
		if err := l.SetDeadline(time.Now().Add(configPollInterval)); err != nil {
			return nil, err
		}
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	return nil, errConfigured
}

// Close does nothing: the address stays open for the server that follows.
func (l *unconfiguredListener) Close() error { return nil }

// shutdown stops accepting connections, closes idle ones, and waits for requests that have just arrived, at most for the
// given time.
func (f *front) shutdown(within time.Duration) {
	s := f.http.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		f.log.Info().Err(err).Int64("inFlight", f.inFlight.Load()).Msg("Connections are still open at the end of the graceful stop.")
	}
}

// limits returns the limits of the configuration in force, with defaults for those that it does not set.
func (f *front) limits() fleet.Limits {
	l := fleet.Limits{}
	if c := f.h.directory.view().Config; c != nil {
		l = c.Limits
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultMaxHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultMaxBodyBytes
	}
	return l
}

// newServer returns the HTTP server with the limits in force.
func (f *front) newServer() *http.Server {
	l := f.limits()
	return &http.Server{
		Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: l.HeaderTimeout, MaxHeaderBytes: l.HeaderBytes,
		ConnState: f.connState, ErrorLog: nil,
	}
}

// connState closes connections that stay idle for longer than the configuration in force allows. The idle timeout of
// http.Server can't be used for this because it can't be changed while the server runs.
func (f *front) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.idleConns[c]; x != nil {
		x.timer.Stop()
		delete(f.idleConns, c)
	}
	if s == http.StateNew {
		f.limitCallerSocket(c)
	}
	if s == http.StateIdle {
		x := &idleConn{}
		x.timer = time.AfterFunc(f.limits().IdleTimeout, func() { f.closeIdle(c, x) })
		f.idleConns[c] = x
	}
}

// idleConn is one idle period of a connection.
type idleConn struct{ timer *time.Timer }

// closeIdle closes a connection whose idle period x has timed out, unless a request has arrived meanwhile. After the process
// was stalled, the timer fires although a request is already in the socket, and its caller would get no answer.
func (f *front) closeIdle(c net.Conn, x *idleConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idleConns[c] != x {
		return
	}
	delete(f.idleConns, c)
	if _, pending := upstream.Peek(c); !pending {
		c.Close()
	}
}

// serve handles one request of a caller.
func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	n := f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.h.leaving() {
		w.Header().Set("Connection", "close")
	}
	q := &fleet.Request{Arrived: arrived, Method: r.Method, Target: r.RequestURI, Host: r.Host}
	f.h.opts.Codec.Request(r.Header, q)
	sw := &statusWriter{ResponseWriter: w}
	x := &exchange{f: f, w: sw, q: q}
	cfg := f.h.directory.view().Config
	switch {
	case f.rejectAll.Load():
		x.reject("the host is stopping", retryAfterStopping)
		return
	case cfg == nil:
		x.reject("no configuration is known", retryAfterNoConfig)
		return
	case n > f.maxInFlight:
		x.reject("too many requests in progress", retryAfterFull)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if q.Route = cfg.Match(r.Host, path); q.Route == nil {
		x.respondError(http.StatusNotFound, "no route", 0)
		return
	}
	x.configVersion = cfg.Version
	if !authenticate(q, cfg) {
		f.rejectKey(x, r)
		return
	}
	if q.Account != nil {
		defer func() {
			f.accountCounts.add(q.Account.Name, accountOutcomeOf(sw.status, x.delivered, r.Context().Err() != nil))
		}()
	}
	if q.Route.Kind == fleet.Stream && f.rejectStreams.Load() || !x.mayStart() {
		x.reject("the host is stopping", retryAfterStopping)
		return
	}
	q.Service = q.Route.PickService(q.ID)
	f.h.retries.addRequest(q.Service)
	if !f.readBody(x, w, r) {
		return
	}
	defer func() {
		f.bodyBytes.Add(-int64(len(q.Body)))
		x.bodyHeld.Release()
	}()
	ctx := r.Context()
	end := q.EndBy()
	if end.IsZero() && q.Route.Kind != fleet.Stream {
		end = arrived.Add(defaultPlainTimeout)
	}
	if !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, end, errTimeout)
		defer cancel()
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(f.h.stopEnd, func() { cancel(errStopped) })()
	defer func() { f.answerTimer.end(x, time.Now(), x.delivered || context.Cause(ctx) == errTimeout) }()
	defer x.guardWrites(ctx)()
	x.run(ctx)
}

var errTimeout = errors.New("the request's time is over")

var errNoBodyMemory = errors.New("no memory for the body")

// bodyReservation is the memory that one request body takes of the bound for all. Bodies that are read at the same time
// could together exceed the bound if it were only checked before each of them.
type bodyReservation struct {
	f        *front
	source   io.Reader
	reserved int64 // bytes reserved in front.bodyBytes
	held     upstream.Holding
	read     int64
}

// reserve takes n more bytes. It returns false if they exceed the bound.
func (b *bodyReservation) reserve(n int64) bool {
	if b.f.bodyBytes.Add(n) > b.f.maxBodyBytes {
		b.f.bodyBytes.Add(-n)
		return false
	}
	d, report := b.held.Grow(n)
	if b.f.h.logHeld(report); d != upstream.HeldAdmit {
		b.f.bodyBytes.Add(-n)
		return false
	}
	b.reserved += n
	return true
}

// Read implements io.Reader. It returns errNoBodyMemory if the body of unknown length exceeds the bound.
func (b *bodyReservation) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if b.read += int64(n); b.read > b.reserved && !b.reserve(b.read-b.reserved) {
		return n, errNoBodyMemory
	}
	return n, err
}

// release frees what was reserved.
func (b *bodyReservation) release() {
	b.f.bodyBytes.Add(-b.reserved)
	b.held.Release()
}

// readBody reads the whole request body, because it may have to be sent more than once. If that fails, readBody answers the
// caller and returns false. w is the writer of the HTTP server, which http.MaxBytesReader tells to close the connection after
// a body that is too long.
func (f *front) readBody(x *exchange, w http.ResponseWriter, r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	limit := f.limits().BodyBytes
	if r.ContentLength > limit {
		x.respondError(http.StatusRequestEntityTooLarge, "body is too long", 0)
		return false
	}
	b := &bodyReservation{f: f, source: http.MaxBytesReader(w, r.Body, limit), held: f.h.newHolding(upstream.HeldBody, x.q)}
	if !b.reserve(max(r.ContentLength, 0)) {
		x.reject(errNoBodyMemory.Error(), retryAfterFull)
		return false
	}
	keep := false
	defer func() {
		if !keep {
			b.release()
		}
	}()
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(x.q.Arrived.Add(bodyTimeout)); err != nil {
		f.log.Debug().Err(err).Msg("Setting the read deadline for the request body failed.")
	}
	body, err := io.ReadAll(b)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		x.respondError(http.StatusRequestEntityTooLarge, "body is too long", 0)
		return false
	case errors.Is(err, errNoBodyMemory):
		x.reject(err.Error(), retryAfterFull)
		return false
	case err != nil:
		x.logEnd("caller left while sending the body", 0, err)
		panic(http.ErrAbortHandler)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		f.log.Debug().Err(err).Msg("Clearing the read deadline for the request body failed.")
	}
	x.q.Body, x.bodyHeld, keep = body, b.held, true
	return true
}
