package entry

import (
	"context"
	"slices"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	statusInterval  = time.Second
	statusTimeout   = time.Second // a control process that does not answer a status in this time is taken for dead
	nominalInFlight = 1000        // requests in progress that count as full load
)

// link keeps the entry subscribed to a control process: the local one, or another of the cell while the local one does
// not answer. Every status is acknowledged, so a frozen process is noticed as well as a dead one.
type link struct {
	e           *Entry
	incarnation uint64
	local       *transport.Client
	backup      *transport.Client
	failed      string // address of the backup that failed last
}

func newLink(ctx context.Context, e *Entry) *link {
	l := &link{e: e, incarnation: uint64(time.Now().UnixNano())}
	l.local = l.dial(ctx, e.opts.Control)
	return l
}

func (l *link) dial(ctx context.Context, addr string) *transport.Client {
	o := &l.e.opts
	return transport.Dial(ctx, addr, transport.Options{
		Hello:   wire.Hello{Host: o.Host, Role: wire.RoleEntry, Cell: o.Cell, Zone: o.Zone, Incarnation: l.incarnation},
		Handler: l.e.onControl, TLS: o.TLS, Counters: &l.e.counters.control, OnHandshakeFailed: l.e.failed,
		OnConnected: func(c *transport.Conn) {
			var s wire.Subscribe
			if v := l.e.view.Load(); v.Snapshot != nil {
				s.Revision = v.Snapshot.Revision
				if v.Placement != nil {
					s.Placement = v.Placement.Version
				}
			}
			c.Send(&s)
		},
	})
}

// run reports the status once a second and chooses the control process until ctx ends.
func (l *link) run(ctx context.Context) {
	t := time.NewTicker(statusInterval)
	defer t.Stop()
	defer l.local.Close()
	defer l.dropBackup()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		s := l.e.status()
		switch {
		case l.report(ctx, l.local, s):
			l.dropBackup()
		case l.backup != nil && l.report(ctx, l.backup, s):
		default:
			l.e.demand.putBack(s.Demand)
			l.nextBackup(ctx)
		}
	}
}

func (l *link) report(ctx context.Context, c *transport.Client, s *wire.EntryStatus) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := c.Call(ctx, s)
	return err == nil
}

func (l *link) dropBackup() {
	if l.backup != nil {
		l.e.opts.Log.Info().Str("address", l.backup.Addr()).Msg("Back to the control process of this host.")
		l.backup.Close()
		l.backup, l.failed = nil, ""
	}
}

// nextBackup subscribes to the next control process of the cell. Hosts choose in different orders, so that the entries
// of several hosts don't all go to the same one.
func (l *link) nextBackup(ctx context.Context) {
	var addrs []string
	for _, m := range l.e.view.Load().Members {
		if m.ControlAddress != l.e.opts.Control && m.Host != l.e.opts.Host && !m.Leaving {
			addrs = append(addrs, m.ControlAddress)
		}
	}
	if l.backup != nil {
		l.failed = l.backup.Addr()
		l.backup.Close()
		l.backup = nil
	}
	if len(addrs) == 0 {
		return
	}
	addrs = rendezvous.Order(l.e.opts.Host, addrs)
	addr := addrs[(slices.Index(addrs, l.failed)+1)%len(addrs)]
	l.e.opts.Log.Warn().Str("address", addr).Msg("Control process of this host does not answer, using another.")
	l.backup = l.dial(ctx, addr)
}

func (e *Entry) status() *wire.EntryStatus {
	n := e.inFlight.Load()
	s := &wire.EntryStatus{InFlight: uint32(n), Load: uint16(min(n*1000/nominalInFlight, 1000)), Leaving: e.leaving.Load(), Demand: e.demand.take()}
	if snap := e.view.Load().Snapshot; snap != nil {
		s.Revision = snap.Revision
	}
	return s
}

// onControl applies the updates that the control process pushes.
func (e *Entry) onControl(c *transport.Conn, corr uint64, m wire.Message) {
	if q, ok := m.(*wire.Inquiry); ok {
		c.Reply(corr, e.answerInquiry(q))
		return
	}
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
			e.observer.configuration(m.Head.Revision, "refused", err.Error())
			return
		}
		next.Snapshot = snap
		e.observer.declare(snap)
		e.observer.configuration(snap.Revision, "in force", "author "+m.Head.Author)
		e.opts.Log.Info().Uint64("revision", snap.Revision).Msg("Configuration in force.")
	case *wire.PlacementUpdate:
		if next.Placement != nil && m.Placement.Version < next.Placement.Version {
			return
		}
		next.Placement = &m.Placement
	case *wire.MembersUpdate:
		next.Members, next.Holder = m.Members, m.Holder
	case *wire.DirectoryUpdate:
		next.Remote, next.Cells = remoteHosts(m), m.Cells
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
