package host

import (
	"context"
	"io"
	"net"
	"net/http"
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
	configPoll        = 20 * time.Millisecond
	defaultHeader     = 10 * time.Second // of the limits, where the configuration sets none
	defaultIdle       = 60 * time.Second
	defaultMaxHeader  = 64 << 10
	defaultMaxBody    = 4 << 20
	bodyTimeout       = 30 * time.Second
	bodyMemoryShare   = 0.25 // of the process's memory that request bodies may take
	requestsPerMB     = 6    // requests in progress for each MB of the process's memory
	defaultMemoryMB   = 256  // where the deployment states none
	retryWhenFull     = time.Second
	retryWithoutView  = 500 * time.Millisecond
	retryWhileLeaving = 100 * time.Millisecond
)

// front serves callers.
type front struct {
	h         *Host
	log       telemetry.Logger
	inFlight  atomic.Int64
	bodyBytes atomic.Int64
	closing   atomic.Bool // new requests are turned away
	noStreams atomic.Bool // new streams are turned away
	maxFlight int64
	maxBodies int64

	http atomic.Pointer[http.Server]

	mu       sync.Mutex
	streams  mean // seconds that streams take once they have a place
	idle     map[net.Conn]*idleConn
	bySeries map[string]*telemetry.Series
}

func newFront(h *Host) *front {
	mb := h.deployment().MemoryMB
	if mb <= 0 {
		mb = defaultMemoryMB
	}
	return &front{
		h: h, log: h.log.Part("front"), idle: make(map[net.Conn]*idleConn),
		maxFlight: int64(mb) * requestsPerMB, maxBodies: int64(bodyMemoryShare * float64(mb) * (1 << 20)),
	}
}

// listen opens the address at once, so that connections are accepted, and serves them with the limits of the first
// configuration.
func (f *front) listen(ctx context.Context, g *errgroup.Group) error {
	ln, err := net.Listen("tcp4", f.h.deployment().CallerAddress)
	if err != nil {
		return errors.Annotate(err, "address for callers")
	}
	context.AfterFunc(ctx, func() { ln.Close() })
	g.Go(func() error {
		for ctx.Err() == nil && f.h.directory.view().Config == nil {
			clock.Sleep(ctx, configPoll)
		}
		s := f.server()
		f.http.Store(s)
		context.AfterFunc(ctx, func() { s.Close() })
		if err := s.Serve(ln); ctx.Err() == nil && !f.h.leaving() {
			return errors.Annotate(err, "callers")
		}
		return nil
	})
	return nil
}

// shutdown accepts no further connections, closes those without a request, and waits for requests that have just come.
func (f *front) shutdown(within time.Duration) {
	s := f.http.Load()
	if s == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		f.log.Info().Err(err).Int64("inFlight", f.inFlight.Load()).Msg("Connections are still open at the end of the stop.")
	}
}

// mean is an exponentially weighted mean.
type mean struct {
	value float64
	known bool
}

const meanWeight = 0.05 // of the latest value

func (m *mean) add(v float64) {
	if !m.known {
		m.value, m.known = v, true
		return
	}
	m.value += meanWeight * (v - m.value)
}

// meanStream returns the mean time that streams take once they have a place, 0 if there were none.
func (f *front) meanStream() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.streams.value * float64(time.Second))
}

// streamEnded notes how long a stream took once it had a place.
func (f *front) streamEnded(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams.add(took.Seconds())
}

func (f *front) limits() fleet.Limits {
	l := fleet.Limits{}
	if c := f.h.directory.view().Config; c != nil {
		l = c.Limits
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeader
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultMaxHeader
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultMaxBody
	}
	return l
}

func (f *front) server() *http.Server {
	l := f.limits()
	return &http.Server{
		Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: l.HeaderTimeout, MaxHeaderBytes: l.HeaderBytes,
		ConnState: f.connState, ErrorLog: nil,
	}
}

// connState closes connections that stay idle for longer than the configuration in force allows; net/http's own limit
// can't be changed while it serves.
func (f *front) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.idle[c]; x != nil {
		x.timer.Stop()
		delete(f.idle, c)
	}
	if s == http.StateIdle {
		x := &idleConn{}
		x.timer = time.AfterFunc(f.limits().IdleTimeout, func() { f.closeIdle(c, x) })
		f.idle[c] = x
	}
}

// idleConn is one spell of a connection without a request.
type idleConn struct{ timer *time.Timer }

// closeIdle closes a connection whose idle time is over, unless a request has come meanwhile: a process that stood still
// finds the end of the time and the request at once, and the caller would get no answer.
func (f *front) closeIdle(c net.Conn, x *idleConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle[c] != x {
		return
	}
	delete(f.idle, c)
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
	x := &exchange{f: f, w: w, q: q}
	cfg := f.h.directory.view().Config
	switch {
	case f.closing.Load():
		x.turnAway("the host is stopping", retryWhileLeaving)
		return
	case cfg == nil:
		x.turnAway("no configuration is known", retryWithoutView)
		return
	case n > f.maxFlight:
		x.turnAway("too many requests in progress", retryWhenFull)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if q.Route = cfg.Match(r.Host, path); q.Route == nil {
		x.own(http.StatusNotFound, "no route", 0)
		return
	}
	x.version = cfg.Version
	if q.Route.Kind == fleet.Stream && f.noStreams.Load() {
		x.turnAway("the host is stopping", retryWhileLeaving)
		return
	}
	q.Service = q.Route.PickService(q.ID)
	if !f.readBody(x, r) {
		return
	}
	defer f.bodyBytes.Add(-int64(len(q.Body)))
	ctx := r.Context()
	end := q.EndBy()
	if end.IsZero() && q.Route.Kind != fleet.Stream {
		end = arrived.Add(mostTime)
	}
	if !end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, end, errTimeout)
		defer cancel()
	}
	x.run(ctx)
}

var errTimeout = errors.New("the request's time is over")

// readBody reads the request whole: it may have to be sent more than once. It answers the caller if that fails.
func (f *front) readBody(x *exchange, r *http.Request) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	limit := f.limits().BodyBytes
	if r.ContentLength > limit {
		x.own(http.StatusRequestEntityTooLarge, "body is too long", 0)
		return false
	}
	if f.bodyBytes.Load()+max(r.ContentLength, 0) > f.maxBodies {
		x.turnAway("no memory for the body", retryWhenFull)
		return false
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(x.q.Arrived.Add(bodyTimeout)); err != nil {
		f.log.Debug().Err(err).Msg("No deadline for the body.")
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		x.own(http.StatusRequestEntityTooLarge, "body is too long", 0)
		return false
	case err != nil:
		x.logEnd("caller left while sending the body", 0, err)
		panic(http.ErrAbortHandler)
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		f.log.Debug().Err(err).Msg("Deadline for the body stays.")
	}
	x.q.Body = body
	f.bodyBytes.Add(int64(len(body)))
	return true
}
