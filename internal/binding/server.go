// Package binding joins the request path of an entry process to the cell's dispatcher: a Binder on the side of the
// entry, and a Server that hosts the dispatcher's state machine.
package binding

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	serverEvents = 16384                 // about 20 s of asks at the target size
	serverTick   = 20 * time.Millisecond // bounds how late an expired request is refused
	statsEvery   = 250 * time.Millisecond
	probeID      = 0 // an Ask with this id only proves that the dispatcher runs
)

// peer is a connection from an entry to the dispatcher.
type peer interface {
	Send(m wire.Message) error
	Close()
}

type event struct {
	from wire.Hello
	peer peer
	m    wire.Message // nil for the end of the connection
}

// Server hosts the dispatcher. It keeps no state until the first entry connects. One goroutine runs the state machine.
type Server struct {
	cfg     dispatch.Config
	view    func() *routing.View
	journal func(dispatch.Output) // may be nil; runs on the server's goroutine; Kind 0 is a change of an ejection
	events  *ring.Ring[event]
	start   time.Time
	stats   atomic.Pointer[dispatch.Stats]
	statsAt time.Duration // of the latest stats

	// Owned by the goroutine of Run.
	state *dispatch.State
	peers map[string]peer // by host
	seen  *routing.View
}

// NewServer returns a server that is not yet running.
func NewServer(cfg dispatch.Config, view func() *routing.View, journal func(dispatch.Output)) *Server {
	return &Server{cfg: cfg, view: view, journal: journal, events: ring.New[event](serverEvents), start: time.Now(), peers: make(map[string]peer)}
}

// Options returns the transport options with which a listener feeds the server.
func (s *Server) Options(hello wire.Hello) transport.Options {
	return transport.Options{
		Hello:          hello,
		Handler:        func(c *transport.Conn, _ uint64, m wire.Message) { s.push(c.Remote(), c, m) },
		OnDisconnected: func(c *transport.Conn) { s.down(c.Remote(), c) },
	}
}

// push queues a message of an entry. A lost Ask is decided by the entry alone; any other loss would leave a slot counted
// for ever, so the connection is closed and the entry sends its state again.
func (s *Server) push(from wire.Hello, p peer, m wire.Message) {
	if s.events.TryPush(event{from, p, m}) {
		return
	}
	if m.Kind() != wire.KindAsk {
		p.Close()
	}
}

// down queues the end of a connection. The event may be lost, because the tick looks for ended connections too.
func (s *Server) down(from wire.Hello, p peer) { s.events.TryPush(event{from, p, nil}) }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) {
	t := time.NewTicker(serverTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.tick()
		case e := <-s.events.C():
			s.handle(e)
		}
		s.flush()
	}
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

func (s *Server) tick() {
	if s.state == nil {
		return
	}
	for host, p := range s.peers {
		if c, ok := p.(*transport.Conn); ok && ended(c) {
			s.handle(event{wire.Hello{Host: host}, p, nil})
		}
	}
	if v := s.view(); v != s.seen {
		for host := range gone(s.seen, v) {
			s.state.EntryDead(s.now(), host)
		}
		s.seen = v
		s.state.SetView(s.now(), v)
	}
	s.state.Tick(s.now())
	s.publish()
}

// publish makes the state of the dispatcher readable and records changes of the ejected endpoints.
func (s *Server) publish() {
	now := s.now()
	if now-s.statsAt < statsEvery {
		return
	}
	s.statsAt = now
	if len(s.peers) == 0 {
		s.stats.Store(nil)
		return
	}
	st, before := s.state.Stats(), s.Stats()
	s.stats.Store(&st)
	s.recordEjections(before.Ejected, st.Ejected, "failing requests")
	s.recordEjections(st.Ejected, before.Ejected, "ejection is over")
}

// recordEjections tells the journal which endpoints are in after and not in before.
func (s *Server) recordEjections(before, after []string, reason string) {
	for _, e := range after {
		if s.journal != nil && !slices.Contains(before, e) {
			s.journal(dispatch.Output{Endpoint: e, Decision: dispatch.Decision{Reason: reason}})
		}
	}
}

// Active tells whether this process has the dispatcher role at present, which is so while entries are connected.
func (s *Server) Active() bool { return s.stats.Load() != nil }

// Stats returns the state of the dispatcher as of the last quarter of a second. It is empty without the role.
func (s *Server) Stats() dispatch.Stats {
	if st := s.stats.Load(); st != nil {
		return *st
	}
	return dispatch.Stats{}
}

func ended(c *transport.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// gone returns the hosts that are no longer members.
func gone(before, after *routing.View) map[string]bool {
	out := make(map[string]bool)
	if len(after.Members) == 0 {
		return out // unknown members are not dead
	}
	for _, m := range before.Members {
		out[m.Host] = true
	}
	for _, m := range after.Members {
		delete(out, m.Host)
	}
	return out
}

func (s *Server) handle(e event) {
	host := e.from.Host
	if e.m == nil {
		if s.peers[host] == e.peer {
			delete(s.peers, host)
			s.state.EntryDown(s.now(), host)
		}
		return
	}
	if s.peers[host] != e.peer {
		if e.m.Kind() != wire.KindResync {
			return // a message of an older connection, or of one that has not sent its state
		}
		s.connect(e)
	}
	switch m := e.m.(type) {
	case *wire.Ask:
		if m.ID == probeID {
			e.peer.Send(&wire.Queued{ID: probeID})
			return
		}
		s.state.Ask(s.now(), host, *m)
	case *wire.Done:
		s.state.Done(s.now(), host, *m)
	case *wire.Cancel:
		s.state.Cancel(s.now(), host, m.ID)
	case *wire.Resync:
		s.state.Resync(s.now(), host, *m)
	}
}

// connect takes a new connection. The first one starts the dispatcher in the rebuilding state.
func (s *Server) connect(e event) {
	if len(s.peers) == 0 {
		s.seen = s.view()
		var entries []string
		for _, m := range s.seen.Members {
			entries = append(entries, m.Host)
		}
		s.state = dispatch.New(s.now(), s.cfg, s.seen, entries)
	}
	s.peers[e.from.Host] = e.peer
	s.state.EntryUp(s.now(), e.from.Host, e.from.Zone)
}

// flush sends the outputs of the last event. A connection that can't take them is closed: its entry connects again and
// sends its state.
func (s *Server) flush() {
	if s.state == nil {
		return
	}
	for _, o := range s.state.Take() {
		if s.journal != nil && o.Kind != wire.KindQueued {
			s.journal(o)
		}
		if p := s.peers[o.To]; p != nil && p.Send(o.Message()) != nil {
			p.Close()
		}
	}
}
