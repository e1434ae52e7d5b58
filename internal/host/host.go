// Package host is the process that runs on every host of the platform: it takes callers' requests, sends them to
// endpoints, and can hold the duties of dispatcher and of placement. Decisions are in packages sched, copies and lease;
// this package does the input and output around them.
package host

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

// Store is what the process needs of the platform's store. Errors are those of package objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	List(ctx context.Context, kind string) (list []objects.Object, version string, err error)
	// Changes waits for changes after a version, at most for wait, and returns the version to continue from.
	Changes(ctx context.Context, kind, version string, wait time.Duration) ([]objects.Event, string, error)
	Create(ctx context.Context, o objects.Object) (objects.Object, error)
	Update(ctx context.Context, o objects.Object) (objects.Object, error)
	Delete(ctx context.Context, o objects.Object) error
	Calls() uint64
	// Move changes the address of the store.
	Move(address string)
}

// Codec translates the messages of callers and endpoints, and the objects that the platform writes.
type Codec interface {
	Kinds() (config, endpoints string)
	Config(o objects.Object) (c *fleet.Config, ok bool, err error)
	Endpoint(o objects.Object) (fleet.Endpoint, error)
	Request(h http.Header, q *fleet.Request)
	Outgoing(q *fleet.Request, e *fleet.Endpoint, left time.Duration, after string) *upstream.Request
	Answer(status int, h http.Header) fleet.Answer
	PassOn(h http.Header)
	OwnAnswer(h http.Header, requestID string, retryAfter time.Duration)
	Order(e *fleet.Endpoint, o *fleet.Order) (*upstream.Request, error)
	OrderResult(status int) fleet.OrderResult
	ReportCall(e *fleet.Endpoint) *upstream.Request
	Report(body []byte) (fleet.Report, error)
}

// Options are the settings of a host.
type Options struct {
	Deployment fleet.Deployment
	Store      Store
	Codec      Codec
	Log        telemetry.Logger
	Metrics    *telemetry.Metrics
	Admin      string // address of the metrics server, empty for none
}

// Host is one process.
type Host struct {
	opts        Options
	log         telemetry.Logger
	incarnation uint64
	directory   *directory
	binder      *binder
	dispatcher  *dispatcher
	holder      *holder
	pool        *upstream.Pool // connections for callers' requests
	orders      *upstream.Pool // connections for orders and reports: a late answer to a request must not be taken for theirs
	front       *front
	quiet       quietTimes
	stopping    atomic.Pointer[stopping] // set when a stop was asked for: the readiness check fails
	stopBegun   chan struct{}            // closed then
	place       atomic.Pointer[fleet.Deployment]
}

// New returns a host that does nothing yet.
func New(o Options) *Host {
	h := &Host{opts: o, log: o.Log, incarnation: uint64(time.Now().UnixNano()), pool: upstream.NewPool(0), orders: upstream.NewPool(0), stopBegun: make(chan struct{})}
	h.place.Store(&o.Deployment)
	h.directory = newDirectory(h)
	h.dispatcher = newDispatcher(h)
	h.binder = newBinder(h)
	h.holder = newHolder(h)
	h.front = newFront(h)
	return h
}

// deployment returns the settings in force. They must not be changed.
func (h *Host) deployment() *fleet.Deployment { return h.place.Load() }

// Reload puts changed settings in force. What a process is known by stays as it is until it starts again.
func (h *Host) Reload(d fleet.Deployment) {
	now := *h.deployment()
	if d.Host != now.Host || d.Callers != now.Callers || d.Ready != now.Ready || d.Peers != now.Peers {
		h.log.Warn().Str("host", d.Host).Str("callers", d.Callers).Str("peers", d.Peers).Msg("Name and addresses change with the next start only.")
		d.Host, d.Callers, d.Ready, d.Peers = now.Host, now.Callers, now.Ready, now.Peers
	}
	if d.Store != now.Store {
		h.opts.Store.Move(d.Store)
	}
	h.place.Store(&d)
	h.log.Info().Str("store", d.Store).Dur("stopWithin", d.StopWithin).Float64("retryRatio", d.RetryRatio).
		Float64("retryExtra", d.RetryExtra).Msg("Settings reloaded.")
}

func (h *Host) hello() wire.Hello {
	d := h.deployment()
	return wire.Hello{Host: d.Host, Role: wire.RoleHost, Incarnation: h.incarnation, Zone: d.Zone}
}

const (
	sweepEvery     = time.Second // for idle connections to endpoints
	exitPoll       = 20 * time.Millisecond
	exitIdle       = 100 * time.Millisecond // in which connections without a request are closed at the end of a stop
	readyTimeout   = time.Second
	adminHeaderMax = 16 << 10
)

// Run serves until ctx ends, then stops gracefully: the readiness check fails, requests are served on while callers are
// led elsewhere, and requests in progress are finished within the deployment's time.
func (h *Host) Run(ctx context.Context) error {
	d := h.deployment()
	h.log.Info().Str("host", d.Host).Str("zone", d.Zone).Uint64("incarnation", h.incarnation).Str("callers", d.Callers).
		Str("peers", d.Peers).Str("store", d.Store).Msg("Started.")
	work, end := context.WithCancel(context.Background())
	defer end()
	g, work := errgroup.WithContext(work)
	if _, err := transport.Listen(work, d.Peers, h.peerOptions()); err != nil {
		return errors.Annotate(err, "address for other hosts")
	}
	if err := h.serveReady(work, g); err != nil {
		return err
	}
	if err := h.serveMetrics(work, g); err != nil {
		return err
	}
	for _, duty := range []func(context.Context){h.directory.run, h.dispatcher.run, h.binder.run, h.holder.run, h.sweep} {
		g.Go(func() error { duty(work); return nil })
	}
	if err := h.front.listen(work, g); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		h.stop()
	case <-work.Done():
	}
	end()
	h.log.Info().Uint64("storeCalls", h.opts.Store.Calls()).Msg("Stopped.")
	return g.Wait()
}

// stop leads callers away, hands the duties over, and waits for requests in progress.
func (h *Host) stop() {
	grace := h.deployment().StopWithin
	s := &stopping{plan: planStop(grace, h.front.meanStream()), since: time.Now()}
	h.stopping.Store(s)
	close(h.stopBegun)
	h.log.Info().Int64("inFlight", h.front.inFlight.Load()).Dur("streamsBeginWithin", s.plan.streamsBegin).
		Dur("endsWithin", s.plan.end).Msg("Stopping.")
	ctx, cancel := context.WithTimeout(context.Background(), s.plan.end)
	defer cancel()
	go h.holder.handOver(ctx)
	go h.directory.deregister(ctx)
	clock.Sleep(ctx, s.at(s.plan.streamsEnd))
	h.front.noStreams.Store(true)
	clock.Sleep(ctx, s.at(s.plan.plainEnd))
	h.front.closing.Store(true)
	for h.front.inFlight.Load() > 0 && s.at(s.plan.end) > 0 {
		clock.Sleep(ctx, exitPoll)
	}
	h.front.shutdown(max(min(exitIdle, s.at(s.plan.end)), exitPoll))
	if n := h.front.inFlight.Load(); n > 0 {
		h.log.Error().Int64("inFlight", n).Msg("The time to stop ends with requests in progress.")
	}
}

// leaving tells whether a stop was asked for.
func (h *Host) leaving() bool { return h.stopping.Load() != nil }

func (h *Host) sweep(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.pool.CloseExpired(time.Now())
			h.orders.CloseExpired(time.Now())
		}
	}
}

// ready tells whether the platform may send callers here.
func (h *Host) ready() bool {
	v := h.directory.view()
	return !h.leaving() && v.Config != nil && v.Listed
}

func (h *Host) serveReady(ctx context.Context, g *errgroup.Group) error {
	return serve(ctx, g, h.deployment().Ready, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

func (h *Host) serveMetrics(ctx context.Context, g *errgroup.Group) error {
	if h.opts.Admin == "" {
		return nil
	}
	if err := h.registerMetrics(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.opts.Metrics.Handler())
	return serve(ctx, g, h.opts.Admin, mux)
}

// registerMetrics adds what is read at each collection to the metrics of requests.
func (h *Host) registerMetrics() error {
	m := h.opts.Metrics
	dials := func() uint64 { n, _ := h.pool.Counts(); return n }
	reuses := func() uint64 { _, n := h.pool.Counts(); return n }
	for _, err := range []error{
		m.Counter("sycamore.store.calls", "Calls to the platform's store.", h.opts.Store.Calls),
		m.Counter("sycamore.upstream.dials", "Connections opened to endpoints.", dials),
		m.Counter("sycamore.upstream.reuses", "Requests sent on a kept connection.", reuses),
		m.Gauge("sycamore.in.flight", "Requests in progress.", func() float64 { return float64(h.front.inFlight.Load()) }),
		m.Gauge("sycamore.placement.holder", "1 while this host gives orders to engines.", func() float64 {
			if h.holder.held() > 0 {
				return 1
			}
			return 0
		}),
	} {
		if err != nil {
			return errors.Annotate(err, "metrics")
		}
	}
	return nil
}

// serve runs a small HTTP server until ctx ends.
func serve(ctx context.Context, g *errgroup.Group, addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Annotate(err, addr)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout, MaxHeaderBytes: adminHeaderMax}
	context.AfterFunc(ctx, func() { s.Close() })
	g.Go(func() error {
		if err := s.Serve(ln); ctx.Err() == nil {
			return errors.Annotate(err, addr)
		}
		return nil
	})
	return nil
}
