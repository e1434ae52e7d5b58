// Package entry is the process that takes callers' requests and streams the answers of endpoints back.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"

	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/telemetry"
)

// Options are the settings of an entry process.
type Options struct {
	Host         string
	Zone         string // availability zone
	Cell         string
	Listen       string        // ip:port for callers
	PeerListen   string        // ip:port for other entry processes
	Control      string        // ip:port of the local control process
	MaxBody      int           // bytes of a request body
	DrainTimeout time.Duration // longest time that a stop waits for requests in progress
	Log          telemetry.Logger
}

// Entry is the running process.
type Entry struct {
	opts     Options
	view     atomic.Pointer[routing.View]
	mu       sync.Mutex // serialises changes of the view
	binder   routing.Binder
	outbound outbound
	inFlight atomic.Int64
	leaving  atomic.Bool
	http     *server.Hertz
	demand   Demand
}

// New returns an entry process that is not yet running.
func New(opts Options) *Entry {
	e := &Entry{opts: opts, outbound: newOutbound()}
	e.view.Store(&routing.View{})
	e.binder = &routing.RoundRobin{View: e.view.Load}
	return e
}

// Run serves until ctx ends, then finishes the requests in progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	link := newLink(background, e)
	linked := make(chan struct{})
	go func() {
		defer close(linked)
		link.run(background)
	}()
	defer func() {
		cancel()
		<-linked
	}()
	hlog.SetLevel(hlog.LevelFatal) // the process logs through its own logger
	e.http = server.New(
		server.WithHostPorts(e.opts.Listen),
		server.WithMaxRequestBodySize(e.opts.MaxBody),
		server.WithExitWaitTime(e.opts.DrainTimeout),
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
	e.leaving.Store(true)
	e.opts.Log.Info().Int64("inFlight", e.inFlight.Load()).Msg("Stopping.")
	stop, done := context.WithTimeout(background, e.opts.DrainTimeout)
	defer done()
	return errors.Trace(e.http.Shutdown(stop))
}

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.view.Load().Snapshot != nil
}
