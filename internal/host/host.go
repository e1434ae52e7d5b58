// Package host implements the process that runs on every host of the platform. It accepts callers' requests, sends them
// to endpoints, and can take the roles of dispatcher and placement holder. The decisions are made in packages sched,
// copies and lease; this package does their input and output.
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

// Store is the part of the platform's store that the process uses. Its errors are those of package objects.
type Store interface {
	// Get returns an object, or objects.ErrNotFound.
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	// List returns all objects of a kind and the version at which they were read.
	List(ctx context.Context, kind string) (list []objects.Object, version string, err error)
	// Changes waits for changes after a version, for at most wait, and returns them and the version to continue from.
	Changes(ctx context.Context, kind, version string, wait time.Duration) ([]objects.Event, string, error)
	// Probe makes a call that costs little and only shows whether the store answers. The object need not exist.
	Probe(ctx context.Context, kind, name string) error
	// Create stores a new object and returns it with its version, or objects.ErrConflict if it exists.
	Create(ctx context.Context, o objects.Object) (objects.Object, error)
	// Update replaces an object if its version is current, and returns it with its new version.
	Update(ctx context.Context, o objects.Object) (objects.Object, error)
	// Delete removes an object if its version is current.
	Delete(ctx context.Context, o objects.Object) error
	// Generation returns the generation of the store's content. It rises when the store has returned from an older copy.
	Generation() uint64
	// Calls returns the number of calls made.
	Calls() uint64
	// CallCounts returns the number of calls made, by class. The cause is that of the call's context.
	CallCounts() map[objects.CallClass]uint64
	// Move changes the address of the store.
	Move(address string)
}

// Codec translates between the platform's formats and the types of this process: the messages of callers and endpoints,
// and the objects that the platform writes.
type Codec interface {
	// Kinds returns the kinds of the objects that hold the configuration and the endpoints.
	Kinds() (config, endpoints string)
	// Config decodes a configuration object. ok is false if the object is not one that the process uses.
	Config(o objects.Object) (c *fleet.Config, ok bool, err error)
	// Endpoint decodes an endpoint object.
	Endpoint(o objects.Object) (fleet.Endpoint, error)
	// Request reads the headers of a caller's request into q.
	Request(h http.Header, q *fleet.Request)
	// Outgoing returns the request for one attempt at an endpoint. remaining is the time that the endpoint may work on
	// it, 0 for no bound. lastEvent is the ID of the last event that the caller received, empty for none.
	Outgoing(q *fleet.Request, e *fleet.Endpoint, remaining time.Duration, lastEvent string) *upstream.Request
	// Answer decodes the status and headers of an endpoint's response.
	Answer(status int, h http.Header) fleet.Answer
	// PassOn removes the hop-by-hop headers from an endpoint's response before it is passed to the caller.
	PassOn(h http.Header)
	// OwnAnswer sets the headers of a response that the host generates itself.
	OwnAnswer(h http.Header, requestID string, retryAfter time.Duration)
	// KeyHint sets the header of a response with status 401 and returns its body, which says what to do. sent is the number of
	// keys in the request.
	KeyHint(h http.Header, sent int) string
	// Order returns the request that sends an order to an endpoint.
	Order(e *fleet.Endpoint, o *fleet.Order) (*upstream.Request, error)
	// OrderResult decodes the status of the response to an order.
	OrderResult(status int) fleet.OrderResult
	// ReportCall returns the request for an engine's report of its state.
	ReportCall(e *fleet.Endpoint) *upstream.Request
	// Report decodes an engine's report.
	Report(body []byte) (fleet.Report, error)
}

// Options are the settings of a host.
type Options struct {
	Deployment  fleet.Deployment
	Store       Store
	Codec       Codec
	Log         telemetry.Logger
	Metrics     *telemetry.Metrics
	AdminListen string  // address of the metrics server, empty for none
	HedgeShare  float64 // largest share of the requests to a service that may be hedged, 0 for none
}

// Host is the process that runs on one host.
type Host struct {
	opts        Options
	log         telemetry.Logger
	incarnation uint64
	directory   *directory
	binder      *binder
	dispatcher  *dispatcher
	holder      *holder
	blocked     *blockedParts
	requestPool *upstream.Pool // connections for callers' requests
	// orderPool has the connections for orders and reports. It is separate so that a late response to a request
	// is not taken for the response to an order or a report.
	orderPool        *upstream.Pool
	front            *front
	quiet            quietPeriods // endpoints that asked this host to send nothing for a time
	limits           rateLimits   // of endpoints in need
	retries          *hostRetries
	hedges           *hedges
	stopping         atomic.Pointer[stopProgress] // set once a stop was requested; the readiness check then fails
	stopStarted      chan struct{}                // closed once stopping is set
	stopEnd          context.Context              // ends when requests in progress are aborted
	endStop          context.CancelFunc
	activeDeployment atomic.Pointer[fleet.Deployment] // settings in force
}

// New returns a host. Run starts it.
func New(o Options) *Host {
	h := &Host{opts: o, log: o.Log, incarnation: uint64(time.Now().UnixNano()),
		requestPool: upstream.NewPool(0), orderPool: upstream.NewPool(0), stopStarted: make(chan struct{}), hedges: newHedges()}
	h.stopEnd, h.endStop = context.WithCancel(context.Background())
	h.activeDeployment.Store(&o.Deployment)
	for _, p := range []*upstream.Pool{h.requestPool, h.orderPool} {
		p.CountHeads(func() upstream.Holding { return h.requestPool.Held().New(upstream.HeldHead, "", h.memoryBytes()) })
	}
	h.directory = newDirectory(h)
	h.retries = newHostRetries(h)
	h.blocked = newBlockedParts(h)
	h.dispatcher = newDispatcher(h)
	h.binder = newBinder(h)
	h.holder = newHolder(h)
	h.front = newFront(h)
	return h
}

// deployment returns the settings in force. The caller must not change them.
func (h *Host) deployment() *fleet.Deployment { return h.activeDeployment.Load() }

// Reload puts changed settings in force. The host's name and its addresses for callers, readiness and other hosts are
// kept until a restart.
func (h *Host) Reload(d fleet.Deployment) {
	current := *h.deployment()
	if d.Host != current.Host || d.CallerAddress != current.CallerAddress || d.ReadyAddress != current.ReadyAddress || d.PeerAddress != current.PeerAddress {
		h.log.Warn().Str("host", d.Host).Str("callers", d.CallerAddress).Str("peers", d.PeerAddress).
			Msg("The name and addresses change only after a restart.")
		d.Host, d.CallerAddress, d.ReadyAddress, d.PeerAddress = current.Host, current.CallerAddress, current.ReadyAddress, current.PeerAddress
	}
	if d.StoreAddress != current.StoreAddress {
		h.opts.Store.Move(d.StoreAddress)
	}
	h.activeDeployment.Store(&d)
	h.log.Info().Str("store", d.StoreAddress).Dur("stopWithin", d.StopTimeout).Float64("retryRatio", d.RetryRatio).
		Float64("retryExtra", d.RetryExtra).Msg("Settings reloaded.")
}

// hello returns the message that introduces this process to other hosts.
func (h *Host) hello() wire.Hello {
	d := h.deployment()
	return wire.Hello{Host: d.Host, Role: wire.RoleHost, Incarnation: h.incarnation, Zone: d.Zone}
}

const (
	connSweepInterval = time.Second            // between closes of idle connections to endpoints
	stopPollInterval  = 20 * time.Millisecond  // between checks for requests in progress during a stop
	shutdownTimeout   = 100 * time.Millisecond // in which idle connections of callers are closed at the end of a stop
	headerReadTimeout = time.Second            // of the readiness and metrics servers
	maxHeaderBytes    = 16 << 10               // of the readiness and metrics servers
)

// Run serves until ctx ends and then stops gracefully: the readiness check fails, requests are still served while
// callers are directed to other hosts, and requests in progress are completed within Deployment.StopTimeout.
func (h *Host) Run(ctx context.Context) error {
	d := h.deployment()
	h.log.Info().Str("host", d.Host).Str("zone", d.Zone).Uint64("incarnation", h.incarnation).Str("callers", d.CallerAddress).
		Str("peers", d.PeerAddress).Str("store", d.StoreAddress).Msg("Started.")
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, work := errgroup.WithContext(work)
	if _, err := transport.Listen(work, d.PeerAddress, h.peerOptions()); err != nil {
		return errors.Annotate(err, "listen for other hosts")
	}
	if err := h.serveReady(work, g); err != nil {
		return err
	}
	if err := h.serveMetrics(work, g); err != nil {
		return err
	}
	for _, run := range []func(context.Context){h.directory.run, h.dispatcher.run, h.binder.run, h.holder.run, h.blocked.run,
		h.sweepConnections, h.logStoreCalls} {
		g.Go(func() error { run(work); return nil })
	}
	if err := h.front.listen(work, g); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		h.stop()
	case <-work.Done():
	}
	cancel()
	h.log.Info().Uint64("storeCalls", h.opts.Store.Calls()).Msg("Stopped.")
	return g.Wait()
}

// stop directs callers to other hosts, releases the placement lease, removes the host's registration, and waits for
// requests in progress.
func (h *Host) stop() {
	grace := h.deployment().StopTimeout
	s := &stopProgress{plan: planStop(grace), start: time.Now()}
	h.stopping.Store(s)
	close(h.stopStarted)
	h.log.Info().Int64("inFlight", h.front.inFlight.Load()).Dur("endsWithin", s.plan.end).Msg("Stopping.")
	ctx, cancel := context.WithTimeout(context.Background(), s.plan.end)
	defer cancel()
	go h.holder.releaseLease(ctx)
	go h.directory.deregister(ctx)
	clock.Sleep(ctx, s.until(s.plan.streamAcceptEnd))
	h.front.rejectStreams.Store(true)
	clock.Sleep(ctx, s.until(s.plan.plainAcceptEnd))
	h.front.rejectAll.Store(true)
	for h.front.inFlight.Load() > 0 && s.until(s.plan.end) > 0 {
		clock.Sleep(ctx, stopPollInterval)
	}
	h.endRequests()
	h.front.shutdown(max(min(shutdownTimeout, s.until(s.plan.end)), stopPollInterval))
	if n := h.front.inFlight.Load(); n > 0 {
		h.log.Error().Int64("inFlight", n).Msg("The time to stop is over with requests still in progress.")
	}
}

// endRequests ends the requests that are in progress, and waits until those whose answer has not begun are answered.
func (h *Host) endRequests() {
	h.endStop()
	for end := time.Now().Add(finalAnswerTime); h.front.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(stopPollInterval)
	}
}

// leaving reports whether a stop was requested.
func (h *Host) leaving() bool { return h.stopping.Load() != nil }

// sweepConnections closes idle connections to endpoints at each interval until ctx ends.
func (h *Host) sweepConnections(ctx context.Context) {
	t := time.NewTicker(connSweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.requestPool.CloseExpired(time.Now())
			h.orderPool.CloseExpired(time.Now())
		}
	}
}

// ready reports whether the platform may send callers to this host.
func (h *Host) ready() bool {
	v := h.directory.view()
	return !h.leaving() && v.Config != nil && v.EndpointsListed
}

// serveReady starts the server of the readiness check.
func (h *Host) serveReady(ctx context.Context, g *errgroup.Group) error {
	return serveHTTP(ctx, g, h.deployment().ReadyAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// serveMetrics starts the metrics server if an address is set for it.
func (h *Host) serveMetrics(ctx context.Context, g *errgroup.Group) error {
	if h.opts.AdminListen == "" {
		return nil
	}
	if err := h.registerMetrics(); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.opts.Metrics.Handler())
	return serveHTTP(ctx, g, h.opts.AdminListen, mux)
}

// registerMetrics registers the metrics that are read at each collection, in addition to the metrics of requests.
func (h *Host) registerMetrics() error {
	m := h.opts.Metrics
	dials := func() uint64 { n, _ := h.requestPool.Counts(); return n }
	reuses := func() uint64 { _, n := h.requestPool.Counts(); return n }
	for _, err := range []error{
		m.AttributedCounter("sycamore.store.calls", "Calls to the platform's store.", h.storeCallSeries),
		m.AttributedCounter("sycamore.retries.sent", "Requests sent again, by who allowed it.", h.retries.series),
		m.Gauge("sycamore.store.generation", "Rises when the store has returned from an older copy.", func() float64 { return float64(h.opts.Store.Generation()) }),
		m.Counter("sycamore.upstream.dials", "Connections opened to endpoints.", dials),
		m.Counter("sycamore.upstream.reuses", "Requests sent on a kept connection.", reuses),
		m.Gauge("sycamore.in.flight", "Requests in progress.", func() float64 { return float64(h.front.inFlight.Load()) }),
		m.Gauge("sycamore.prompt.parts.blocked", "Prompt parts that crash engines, by the dispatcher's list.", h.binder.blockedPartCount),
		m.Gauge("sycamore.endpoints.limited", "Endpoints that limit their requests.", func() float64 { return float64(len(h.limits.list())) }),
		m.Gauge("sycamore.placement.holder", "1 while this host gives orders to engines.", func() float64 {
			if h.holder.heldEpoch() > 0 {
				return 1
			}
			return 0
		}),
	} {
		if err != nil {
			return errors.Annotate(err, "metrics")
		}
	}
	for _, register := range []func() error{h.registerAccountMetrics, h.registerQuotaMetrics, h.registerHeldBytesMetrics, h.registerHedgeMetrics} {
		if err := register(); err != nil {
			return errors.Annotate(err, "metrics")
		}
	}
	return nil
}

// serveHTTP starts an HTTP server that runs until ctx ends.
func serveHTTP(ctx context.Context, g *errgroup.Group, addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Annotate(err, addr)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes}
	context.AfterFunc(ctx, func() { s.Close() })
	g.Go(func() error {
		if err := s.Serve(ln); ctx.Err() == nil {
			return errors.Annotate(err, addr)
		}
		return nil
	})
	return nil
}
