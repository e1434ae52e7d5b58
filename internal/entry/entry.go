// Package entry is the process that takes callers' requests and streams the answers of endpoints back.
package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
)

// quiet silences hertz's own log once: the process logs through its own logger.
var quiet sync.Once

// Options are the settings of an entry process.
type Options struct {
	Host         string
	Zone         string // availability zone
	Cell         string
	Listen       string        // ip:port for callers
	PeerListen   string        // ip:port for other entry processes
	Control      string        // ip:port of the local control process
	AdminListen  string        // ip:port of the admin HTTP server, empty for none
	AdminToken   string        // operators' bearer token for its /v1 paths, empty for loopback clients only
	TLS          *tls.Config   // for the project's own connections, nil for plain TCP
	Policy       string        // name of a routing.Policy, empty for the dispatcher
	MaxBody      int           // bytes of a request body
	MaxAnswer    int           // bytes of a plain service's answer
	AnswerMemory int64         // bytes of such answers, and of long events, that are read at the same time
	MaxRequests  int           // requests in progress
	ReadyDelay   time.Duration // time between the failing health check and the end of new work in a stop
	DrainTimeout time.Duration // longest time that a stop waits for requests in progress

	FirstTokenTimeout time.Duration // an endpoint that sends no first event for so long is left
	IdleTimeout       time.Duration // an endpoint that sends no further event for so long is left

	Log telemetry.Logger
}

// Entry is the running process.
type Entry struct {
	opts     Options
	view     atomic.Pointer[routing.View]
	mu       sync.Mutex // serialises changes of the view
	binder   routing.Binder
	outbound outbound
	claims   claimer
	retries  *retryBudget
	workers  *ants.Pool
	inFlight atomic.Int64
	leaving  atomic.Bool // the health check fails
	draining atomic.Bool // new requests are refused
	http     *server.Hertz
	demand   Demand
	observer *observer
	failed   func(addr string, err error) // logs failed handshakes
	counters counters
	held     upstream.Held // answers of plain services, and long events

	unreachable unreachable

	asks        atomic.Uint64 // id of the latest Ask
	serviceTurn atomic.Uint64
}

// New returns an entry process that is not yet running.
func New(opts Options) *Entry {
	opts.setDefaults()
	e := &Entry{opts: opts, outbound: newOutbound(), retries: newRetryBudget(), observer: newObserver(), failed: opts.Log.Part("transport").FailedHandshakeLogger()}
	e.view.Store(&routing.View{})
	e.binder = e.newBinder()
	e.claims = newClaimClient(e.view.Load, opts, &e.counters.claims)
	return e
}

// setDefaults fills in the options that have a usable default.
func (o *Options) setDefaults() {
	o.MaxBody = cmp.Or(o.MaxBody, 4<<20)
	o.MaxAnswer = cmp.Or(o.MaxAnswer, 16<<20)
	o.AnswerMemory = max(cmp.Or(o.AnswerMemory, 256<<20), minAnswersInMemory*int64(o.MaxAnswer))
	o.MaxRequests = cmp.Or(o.MaxRequests, 4096)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, 10*time.Minute)
	o.FirstTokenTimeout = cmp.Or(o.FirstTokenTimeout, 20*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 5*time.Second)
}

// minAnswersInMemory is the least number of the longest answers for which there is memory: one caller may take half of it, and a
// buffer that grows is there twice.
const minAnswersInMemory = 8

// answerLimits returns the bounds on the answers and events that are read at the same time.
func (o *Options) answerLimits() upstream.HeldLimits {
	return upstream.HeldLimits{Connection: o.AnswerMemory / 2, Account: o.AnswerMemory / 2, Host: o.AnswerMemory}
}

// Run serves until ctx ends, then finishes the requests in progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.gauges(); err != nil {
		return errors.Trace(err)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	wait, err := e.runDispatch(background)
	if err != nil {
		return errors.Trace(err)
	}
	defer e.serveAdmin()()
	link := newLink(background, e)
	linked := make(chan struct{})
	go func() {
		defer close(linked)
		link.run(background)
	}()
	defer func() {
		cancel()
		<-linked
		wait()
	}()
	return e.serve(ctx, background)
}

// serve answers callers until ctx ends and their requests are finished.
func (e *Entry) serve(ctx, background context.Context) error {
	workers, err := ants.NewPool(e.opts.MaxRequests, ants.WithNonblocking(true))
	if err != nil {
		return errors.Annotate(err, "request workers")
	}
	e.workers = workers
	defer workers.Release()
	defer e.outbound.close()
	quiet.Do(func() { hlog.SetLevel(hlog.LevelFatal) })
	e.http = server.New(
		server.WithHostPorts(e.opts.Listen),
		// Bodies are streamed, so that the entry answers one that is too large with a problem. hertz only uses its
		// limit for how much it reads ahead then.
		server.WithStreamBody(true),
		server.WithMaxRequestBodySize(min(e.opts.MaxBody, bodyReadAhead)),
		// The entry waits for its requests before the shutdown. The default of 5 s would also wait for idle connections.
		server.WithExitWaitTime(exitWait),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithWriteTimeout(callerWriteTimeout),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
	)
	e.routes()
	failed := make(chan error, 1)
	go func() { failed <- e.http.Run() }()
	select {
	case err := <-failed:
		return errors.Annotate(err, "serve callers")
	case <-ctx.Done():
	}
	e.drain(background)
	results, recorded := context.WithTimeout(background, finishTimeout)
	defer recorded()
	e.claims.Close(results)
	stop, done := context.WithTimeout(background, exitWait)
	defer done()
	if err := e.http.Shutdown(stop); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Trace(err)
	}
	return nil
}

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.view.Load().Snapshot != nil
}
