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

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// Options are the settings of an entry process.
type Options struct {
	Host         string
	Zone         string // availability zone
	Cell         string
	Listen       string        // ip:port for callers
	PeerListen   string        // ip:port for other entry processes
	Control      string        // ip:port of the local control process
	Policy       string        // name of a routing.Policy, empty for the dispatcher
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
	control  *transport.Client
}

// New returns an entry process that is not yet running.
func New(opts Options) *Entry {
	e := &Entry{opts: opts, outbound: newOutbound()}
	e.view.Store(&routing.View{})
	e.binder = e.newBinder()
	return e
}

// Run serves until ctx ends, then finishes the requests in progress and returns.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	wait, err := e.runDispatch(background)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { cancel(); wait() }()
	e.control = transport.Dial(background, e.opts.Control, transport.Options{
		Hello:   wire.Hello{Host: e.opts.Host, Role: wire.RoleEntry, Cell: e.opts.Cell, Zone: e.opts.Zone, Incarnation: uint64(time.Now().UnixNano())},
		Handler: e.onControl,
		OnUp:    func(c *transport.Conn) { c.Send(&wire.Subscribe{}) },
	})
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

// onControl applies the updates that the control process pushes.
func (e *Entry) onControl(c *transport.Conn, _ uint64, m wire.Message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := *e.view.Load()
	switch m := m.(type) {
	case *wire.ConfigUpdate:
		if next.Snapshot != nil && m.Head.Revision <= next.Snapshot.Revision {
			return
		}
		snap, err := config.Build(m.Head.Revision, m.Files)
		if err != nil {
			e.opts.Log.Error().Err(err).Uint64("revision", m.Head.Revision).Msg("Configuration refused.")
			return
		}
		next.Snapshot = snap
		e.opts.Log.Info().Uint64("revision", snap.Revision).Msg("Configuration in force.")
	case *wire.PlacementUpdate:
		if next.Placement != nil && m.Placement.Version < next.Placement.Version {
			return
		}
		next.Placement = &m.Placement
	case *wire.MembersUpdate:
		next.Members, next.Holder = m.Members, m.Holder
	case *wire.EndpointsUpdate:
		next.Leaving = make(map[string]bool)
		for _, s := range m.States {
			if s.Leaving {
				next.Leaving[s.Endpoint] = true
			}
		}
	}
	e.view.Store(&next)
}

func (e *Entry) ready() bool {
	return !e.leaving.Load() && e.view.Load().Snapshot != nil
}
