// Package control is the process that keeps declarations, membership, placement and claims of a host's cell.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/planner"
	"sycamoredeal/internal/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const reportTimeout = 500 * time.Millisecond

// Options are the settings of a control process.
type Options struct {
	Host         string
	Zone         string // availability zone
	Cell         string
	Listen       string // ip:port for the project's own processes
	EntryAddress string // ip:port of the local entry process for other entry processes
	Store        platform.Store
	Log          telemetry.Logger
}

// Control is the running process.
type Control struct {
	opts Options

	mu        sync.Mutex
	head      wire.Head
	files     []wire.File
	snapshot  *config.Snapshot
	placement wire.Placement
	entries   map[*transport.Conn]bool
}

// New returns a control process that is not yet running.
func New(opts Options) *Control {
	return &Control{opts: opts, entries: make(map[*transport.Conn]bool)}
}

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	srv, err := transport.Listen(ctx, c.opts.Listen, transport.Options{
		Hello:   wire.Hello{Host: c.opts.Host, Role: wire.RoleControl, Cell: c.opts.Cell, Zone: c.opts.Zone, Incarnation: uint64(time.Now().UnixNano())},
		Handler: c.onMessage,
		OnDown:  c.onDown,
	})
	if err != nil {
		return errors.Trace(err)
	}
	go c.followHead(ctx)
	go planner.Run(ctx, 1, planner.Deps{
		Cell: c.opts.Cell, Store: c.opts.Store, Engines: engine.NewClient(reportTimeout),
		Snapshot: c.currentSnapshot, Valid: func() bool { return true },
		Demand: func() map[string]wire.ModelDemand { return nil }, Publish: c.publish, Log: c.opts.Log.Part("planner"),
	})
	srv.Wait()
	return nil
}

func (c *Control) currentSnapshot() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *Control) onMessage(conn *transport.Conn, _ uint64, m wire.Message) {
	if _, ok := m.(*wire.Subscribe); !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[conn] = true
	if c.snapshot != nil {
		conn.Send(&wire.ConfigUpdate{Head: c.head, Files: c.files})
	}
	if c.placement.Version > 0 {
		conn.Send(&wire.PlacementUpdate{Placement: c.placement})
	}
}

func (c *Control) onDown(conn *transport.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, conn)
}

func (c *Control) publish(p wire.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placement = p
	for conn := range c.entries {
		conn.Send(&wire.PlacementUpdate{Placement: p})
	}
}

// followHead keeps the configuration up to date with the platform.
func (c *Control) followHead(ctx context.Context) {
	for ctx.Err() == nil {
		o, err := c.opts.Store.Get(ctx, platform.KindHead, "head")
		if err == nil {
			err = c.install(ctx, o)
		}
		if err != nil {
			c.opts.Log.Debug().Err(err).Msg("No configuration from the platform.")
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.opts.Store.Watch(ctx, platform.KindHead, "head", o.Version, func(ev platform.Event) {
			if err := c.install(ctx, ev.Object); err != nil {
				c.opts.Log.Warn().Err(err).Msg("Configuration not installed.")
			}
		})
	}
}

func (c *Control) install(ctx context.Context, o platform.Object) error {
	head, err := platform.Decode[wire.Head](o)
	if err != nil {
		return err
	}
	if s := c.currentSnapshot(); s != nil && head.Revision <= s.Revision {
		return nil
	}
	var files []wire.File
	for _, f := range head.Files {
		o, err := c.opts.Store.Get(ctx, platform.KindFile, f.Digest)
		if err != nil {
			return errors.Annotate(err, f.Name)
		}
		file, err := platform.Decode[wire.File](o)
		if err != nil {
			return err
		}
		files = append(files, file)
	}
	snap, err := config.Build(head.Revision, files)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.files, c.snapshot = head, files, snap
	for conn := range c.entries {
		conn.Send(&wire.ConfigUpdate{Head: head, Files: files})
	}
	c.opts.Log.Info().Uint64("revision", head.Revision).Msg("Configuration in force.")
	return nil
}
