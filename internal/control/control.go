// Package control is the process that keeps declarations, membership, placement and claims of a host's cell.
//
// One goroutine, the core, owns all state of the decision packages. The other goroutines have one duty each: they wait
// for the platform, for other processes or for the time, and exchange typed events with the core over bounded rings.
package control

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/claimstore"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/directory"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	reportTimeout    = 500 * time.Millisecond
	fetchTimeout     = time.Second
	eventRing        = 4096
	handoverLimit    = 2 * time.Second // longest time that a stop waits for the platform
	defaultTerm      = 6 * time.Second
	defaultPoll      = time.Second
	defaultBeat      = time.Second
	missedForQuiet   = 2  // heartbeats without which a challenger reads the lease
	missedForSuspect = 3  // heartbeats without which a host is suspect
	missedForDead    = 10 // heartbeats without which a host is dead
)

// Options are the settings of a control process. Durations that are 0 have the defaults of the design.
type Options struct {
	Host         string
	Zone         string // availability zone
	Cell         string
	Region       string   // of the host; a cell's endpoints are those of its region
	Listen       string   // ip:port for the project's own processes
	EntryAddress string   // ip:port of the local entry process for other entry processes
	CallerAddr   string   // ip:port of the local entry process for callers, empty if requests can't be forwarded to it
	AdminListen  string   // ip:port of the admin HTTP server, empty for none
	AdminToken   string   // operators' bearer token for /v1 paths, empty for loopback clients only
	Seeds        []string // ip:port of control processes to ask while the platform can't be read
	Term         time.Duration
	Renew        time.Duration // default: a third of Term
	Margin       time.Duration // default: a sixth of Term
	Heartbeat    time.Duration
	Poll         time.Duration // longest time between two reads of the endpoint list by one host
	LateBound    time.Duration // see placement.LateBound, which is the default
	Retention    time.Duration // how long idempotency keys are remembered
	Placement    placement.Policy
	Store        objects.Store
	TLS          *tls.Config // for the project's own connections, nil for plain TCP
	Log          telemetry.Logger
}

func (o *Options) setDefaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&o.Term, defaultTerm)
	set(&o.Renew, o.Term/3)
	set(&o.Margin, o.Term/6)
	set(&o.Heartbeat, defaultBeat)
	set(&o.Poll, defaultPoll)
}

// view is what the core publishes for the other goroutines. It is immutable.
type view struct {
	snapshot  *config.Snapshot
	head      wire.Head
	placement wire.Placement
	members   []memberStatus
	live      []wire.Member
	holder    string
	epoch     uint64
	states    []wire.EndpointState
	roster    bool // the roster has been read from the platform
	leaving   bool
}

// Control is the running process.
type Control struct {
	opts           Options
	start          time.Time
	incarnation    atomic.Uint64
	counters       transport.Counters // of messages with other hosts
	local          transport.Counters // of messages with the entry process of the same host
	claimed        transport.Counters // of claims
	observer       *observer
	failed         func(addr string, err error) // logs failed handshakes
	events         *ring.Ring[any]
	fetches        *ring.Ring[fetchJob]
	rosterHints    *ring.Ring[struct{}]
	lease          *leaseDuty
	demand         demandSum
	cells          atomic.Pointer[directory.Directory] // as last read, nil before
	dead           atomic.Pointer[map[string]bool]     // dead cells as the planner of this process sees them
	claims         *claimstore.ClaimStore
	directoryEvery atomic.Int64 // time between two reads of the directory, in ns
	view           atomic.Pointer[view]
}

// New returns a control process that is not yet running.
func New(opts Options) *Control {
	opts.setDefaults()
	c := &Control{
		opts: opts, start: time.Now(), events: ring.New[any](eventRing), fetches: ring.New[fetchJob](1),
		rosterHints: ring.New[struct{}](1), observer: newObserver(),
		failed: opts.Log.Part("transport").FailedHandshakeLogger(),
	}
	c.incarnation.Store(uint64(time.Now().UnixNano()))
	c.lease = newLeaseDuty(c)
	c.claims = claimstore.New(claimstore.Deps{Store: opts.Store, Retention: opts.Retention, Log: opts.Log.Part("claims")})
	c.view.Store(&view{})
	return c
}

// now is the monotonic time since the start of the process.
func (c *Control) now() time.Duration { return time.Since(c.start) }

func (c *Control) hello() wire.Hello {
	return wire.Hello{Host: c.opts.Host, Role: wire.RoleControl, Cell: c.opts.Cell, Zone: c.opts.Zone, Incarnation: c.incarnation.Load()}
}

// transport returns the options of connections of one kind. Messages go to the core in order.
func (c *Control) transport(onUp func(*transport.Conn)) transport.Options {
	return transport.Options{
		Hello: c.hello(), SelectCounters: c.countersOf, TLS: c.opts.TLS, OnConnected: onUp, OnHandshakeFailed: c.failed,
		Handler: func(conn *transport.Conn, corr uint64, m wire.Message) {
			if !c.claims.Handle(conn, corr, m) {
				c.events.TryPush(evMessage{conn, corr, m})
			}
		},
		OnDisconnected: func(conn *transport.Conn) { c.events.TryPush(evDown{conn}) },
	}
}

// countersOf keeps the request path and the loopback connection of the own entry apart from control traffic.
func (c *Control) countersOf(remote wire.Hello, k wire.Kind) *transport.Counters {
	switch {
	case k == wire.KindClaimRequest || k == wire.KindClaimReply || k == wire.KindClaimResult:
		return &c.claimed
	case remote.Host == c.opts.Host:
		return &c.local
	case k == wire.KindAck && remote.Role == wire.RoleEntry: // of the result of a claim
		return &c.claimed
	}
	return &c.counters
}

// Run serves until ctx ends. It then hands over the lease, tells the cell, leaves the roster and returns.
func (c *Control) Run(ctx context.Context) error {
	if err := c.gauges(); err != nil {
		return errors.Trace(err)
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	srv, err := transport.Listen(life, c.opts.Listen, c.transport(nil))
	if err != nil {
		return errors.Trace(err)
	}
	var wg sync.WaitGroup
	duty := func(f func(context.Context)) { wg.Go(func() { f(life) }) }
	core := newCore(c, life)
	duty(core.run)
	duty(c.claims.Run)
	duty(c.watchHead)
	duty(c.watchPlacement)
	duty(c.runFetches)
	duty(c.keepRoster)
	duty(c.pollEndpoints)
	duty(c.pollDirectory)
	duty(c.lease.run)
	stopAdmin := c.serveAdmin()
	<-ctx.Done()
	c.leave(life)
	end()
	stopAdmin()
	wg.Wait()
	srv.Wait()
	return nil
}

// leave hands everything over that other hosts would otherwise have to time out.
func (c *Control) leave(life context.Context) {
	ctx, cancel := context.WithTimeout(life, handoverLimit)
	defer cancel()
	c.opts.Log.Info().Msg("Leaving the cell.")
	c.sync(ctx, evLeave{})
	c.lease.handOver(ctx)
	c.sync(ctx, evBeat{})
	if err := c.leaveRoster(ctx); err != nil {
		c.opts.Log.Warn().Err(err).Msg("Roster not left.")
	}
}

// sync pushes an event and waits until the core has handled it.
func (c *Control) sync(ctx context.Context, e any) {
	done := make(chan struct{})
	if c.events.Push(ctx, e) != nil || c.events.Push(ctx, evSync{done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// watchHead follows the configuration head.
func (c *Control) watchHead(ctx context.Context) {
	log := c.opts.Log.Part("head")
	objects.Follow(ctx, c.opts.Store, objects.KindHead, "head", func(o objects.Object) {
		head, err := objects.Decode[wire.Head](o)
		if err != nil {
			log.Error().Err(err).Msg("Head not readable.")
			return
		}
		c.events.Push(ctx, evHead{head})
	}, func(err error) { log.Warn().Err(err).Msg("Head not followed.") })
}

// watchPlacement follows the cell's placement.
func (c *Control) watchPlacement(ctx context.Context) {
	log := c.opts.Log.Part("placement")
	objects.Follow(ctx, c.opts.Store, objects.KindPlacement, c.opts.Cell, func(o objects.Object) {
		p, err := objects.Decode[wire.Placement](o)
		if err != nil {
			log.Error().Err(err).Msg("Placement not readable.")
			return
		}
		c.events.Push(ctx, evPlacement{p})
	}, func(err error) { log.Warn().Err(err).Msg("Placement not followed.") })
}

// publishPlacement receives the placements that the planner of this process has stored.
func (c *Control) publishPlacement(p wire.Placement) {
	// The planner keeps changing its copy, so the core gets one that shares nothing with it.
	b, err := p.MarshalMsg(nil)
	if err != nil {
		return
	}
	var own wire.Placement
	if _, err := own.UnmarshalMsg(b); err == nil {
		c.events.TryPush(evPlacement{own})
	}
}
