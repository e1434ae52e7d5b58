package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/leasestore"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/planner"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/telemetry"
)

type leaseHint uint8

const (
	leaseHeard leaseHint = iota // the holder is alive
	leaseHurry                  // the holder has released the lease
)

const (
	ticksPerRenewal = 20 // resolution of the lease's times; the end of a term has its own timer
	hintRing        = 64
)

// leaseDuty keeps the cell's lease and runs the planner while it is held.
type leaseDuty struct {
	c       *Control
	log     telemetry.Logger
	hints   *ring.Ring[leaseHint]
	release chan struct{} // closed to hand over
	done    chan struct{} // closed after the hand-over
	epoch   atomic.Uint64 // of the running planner
	until   atomic.Int64  // end of the held term on the clock of Control.now, 0 for none
	plan    *plan
}

// plan is one run of the planner.
type plan struct {
	epoch uint64
	stop  context.CancelFunc
	lapse *time.Timer // stops the plan at the end of the term, even while the duty waits for the platform
	ended chan struct{}
}

func (p *plan) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func newLeaseDuty(c *Control) *leaseDuty {
	return &leaseDuty{c: c, log: c.opts.Log.Part("lease"), hints: ring.New[leaseHint](hintRing), release: make(chan struct{}), done: make(chan struct{})}
}

func (l *leaseDuty) hint(h leaseHint) { l.hints.TryPush(h) }

// valid tells whether the lease is held with this epoch at this moment by the process's own clock.
func (l *leaseDuty) valid(epoch uint64) bool {
	return l.epoch.Load() == epoch && l.c.now() < time.Duration(l.until.Load())
}

// held returns the held epoch, or 0.
func (l *leaseDuty) held() uint64 {
	if e := l.epoch.Load(); e > 0 && l.valid(e) {
		return e
	}
	return 0
}

// handOver releases the lease and waits until that is stored or ctx ends.
func (l *leaseDuty) handOver(ctx context.Context) {
	close(l.release)
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

func (l *leaseDuty) run(ctx context.Context) {
	o := l.c.opts
	m := lease.New(lease.Config{
		Host: o.Host, Incarnation: l.c.incarnation.Load(), Term: o.Term, RenewInterval: o.Renew, Margin: o.Margin,
		HolderTimeout: missedForQuiet * o.Heartbeat, Seed: uint64(time.Now().UnixNano()),
	})
	t := time.NewTicker(max(o.Renew/ticksPerRenewal, time.Millisecond))
	defer t.Stop()
	defer l.stopPlan()
	release := l.release
	for ctx.Err() == nil {
		select {
		case h := <-l.hints.C():
			if h == leaseHurry {
				m.MakeDue()
			} else {
				m.HolderSeen(l.c.now())
			}
		case <-release:
			release = nil
			l.stopPlan()
			m.Release()
		case <-t.C:
		case <-ctx.Done():
			return
		}
		l.step(ctx, m)
		l.follow(ctx, m)
		if m.Released() && release == nil {
			close(l.done)
			return
		}
	}
}

// step carries out the action that is due.
func (l *leaseDuty) step(ctx context.Context, m *lease.Machine) {
	o := &l.c.opts
	stored := leasestore.Lease{
		Store: o.Store, Kind: objects.KindLease, Name: o.Cell, CallTimeout: max(o.Renew, 100*time.Millisecond), Now: l.c.now,
	}
	before := m.LastRecord()
	if err := stored.Step(ctx, m); err != nil {
		l.log.Debug().Err(err).Msg("Lease call failed.")
	}
	if r := m.LastRecord(); r.Holder != before.Holder || r.Epoch != before.Epoch {
		l.c.events.Push(ctx, evLease{r})
	}
}

// follow starts, extends or stops the planner so that it runs only while the lease is held.
func (l *leaseDuty) follow(ctx context.Context, m *lease.Machine) {
	now := l.c.now()
	epoch := m.HeldEpoch(now)
	if l.plan != nil && (l.plan.epoch != epoch || l.plan.over()) {
		l.stopPlan()
	}
	if epoch == 0 {
		return
	}
	l.until.Store(int64(m.TermEnd()))
	if l.plan == nil {
		l.startPlan(ctx, epoch)
	}
	l.plan.lapse.Reset(m.TermEnd() - now)
}

func (l *leaseDuty) startPlan(ctx context.Context, epoch uint64) {
	ctx, cancel := context.WithCancel(ctx)
	p := &plan{epoch: epoch, stop: cancel, lapse: time.AfterFunc(l.c.opts.Term, cancel), ended: make(chan struct{})}
	l.plan = p
	l.epoch.Store(epoch)
	l.log.Info().Uint64("epoch", epoch).Msg("Lease held.")
	l.c.observer.note("lease", "lease", "held", fmt.Sprintf("epoch %d", epoch))
	l.c.events.TryPush(evBeat{})
	directory := make(chan struct{})
	go func() {
		defer close(directory)
		l.c.keepDirectory(ctx)
	}()
	go func() {
		defer close(p.ended)
		l.c.demand.take() // demand of an earlier term is out of date
		err := planner.Run(ctx, epoch, l.deps(epoch))
		if ctx.Err() == nil {
			l.log.Error().Err(err).Msg("Planner ended early.")
			clock.Sleep(ctx, time.Second)
		}
		cancel()
		<-directory
	}()
}

func (l *leaseDuty) deps(epoch uint64) planner.Deps {
	return planner.Deps{
		Cell: l.c.opts.Cell, Region: l.c.opts.Region, OwnersEvery: l.c.opts.Term,
		Served: l.c.served,
		Dead:   func(d map[string]bool) { l.c.dead.Store(&d) }, Store: l.c.opts.Store, Engines: engine.NewClient(reportTimeout),
		Snapshot: func() *config.Snapshot { return l.c.view.Load().snapshot },
		Valid:    func() bool { return l.valid(epoch) },
		Demand:   l.c.demand.take, Publish: l.c.publishPlacement, Log: l.c.opts.Log.Part("planner"),
		Policy:    l.c.opts.Placement,
		LateBound: l.c.opts.LateBound,
		Explain:   l.c.observer.planned, Reported: l.c.observer.reported, Frozen: l.c.observer.froze,
	}
}

// stopPlan ends the planner and waits for it, so that two epochs never run at the same time in one process.
func (l *leaseDuty) stopPlan() {
	if l.plan == nil {
		return
	}
	l.until.Store(0)
	l.plan.stop()
	l.plan.lapse.Stop()
	<-l.plan.ended
	l.c.observer.froze(nil)
	l.log.Info().Uint64("epoch", l.plan.epoch).Msg("Lease no longer held.")
	l.c.observer.note("lease", "lease", "no longer held", fmt.Sprintf("epoch %d", l.plan.epoch))
	l.plan = nil
	l.epoch.Store(0)
}
