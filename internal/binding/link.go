package binding

import (
	"context"
	"sort"
	"time"

	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const maintenance = 25 * time.Millisecond // period of probes and of the choice of the dispatcher

// link is the way to one dispatcher. Its fields are guarded by the binder's lock.
type link struct {
	host, addr string
	client     *transport.Client // nil if the dispatcher is in this process
	conn       peer              // nil while there is no connection
	heard      time.Time         // latest message
	probed     time.Time         // latest probe
	suspect    bool              // did not answer in time; gets no asks until it is heard again
}

func (l *link) usable() bool { return l != nil && l.conn != nil && !l.suspect }

// inProcess is the connection to the dispatcher of the same process.
type inProcess struct {
	b *Binder
	l *link
}

// Send implements peer for the dispatcher's side.
func (p *inProcess) Send(m wire.Message) error {
	p.b.onMessage(p.l, p, m)
	return nil
}

// Close implements peer. The binder notices an overflow by the missing answers, and the next maintenance connects again.
func (p *inProcess) Close() { go p.b.onDown(p.l, p) }

// toServer is the entry's side of an in-process connection.
type toServer struct {
	s  *Server
	in *inProcess
}

// Send implements peer.
func (t *toServer) Send(m wire.Message) error {
	t.s.push(t.in.b.opts.Hello, t.in, m)
	return nil
}

// Close implements peer.
func (t *toServer) Close() { t.s.down(t.in.b.opts.Hello, t.in) }

// send passes a message to the dispatcher. A message that can't be sent needs no repetition: the connection is closed,
// and the Resync of the next one carries the whole state. The caller holds the lock.
func (b *Binder) send(m wire.Message) error {
	if b.link == nil || b.link.conn == nil {
		return transport.ErrClosed
	}
	err := b.link.conn.Send(m)
	if err != nil {
		b.link.conn.Close()
	}
	return err
}

// Run keeps the connection to the cell's dispatcher until ctx ends.
func (b *Binder) Run(ctx context.Context) {
	t := time.NewTicker(maintenance)
	defer t.Stop()
	for {
		b.follow(ctx)
		b.probe(time.Now())
		b.handOver()
		select {
		case <-ctx.Done():
			b.closeLink(b.swap(nil))
			return
		case <-t.C:
		}
	}
}

// dispatcher returns the host and address of the cell's dispatcher by rendezvous hashing over live members. It is this
// process itself while no members are known.
func (b *Binder) dispatcher(v *routing.View) (host, addr string) {
	addrs := make(map[string]string)
	var hosts []string
	for _, m := range v.Members {
		if !m.Leaving && m.EntryAddress != "" {
			addrs[m.Host] = m.EntryAddress
			hosts = append(hosts, m.Host)
		}
	}
	if host = rendezvous.Pick(b.opts.Hello.Cell, hosts); host == "" {
		host = b.opts.Hello.Host
	}
	return host, addrs[host]
}

// follow connects to the present dispatcher and leaves the former one.
func (b *Binder) follow(ctx context.Context) {
	if b.opts.Policy != routing.PolicyDispatcher {
		return
	}
	host, addr := b.dispatcher(b.opts.View())
	own := host == b.opts.Hello.Host
	b.mu.Lock()
	l := b.link
	b.mu.Unlock()
	if l == nil || l.host != host || !own && l.addr != addr {
		n := &link{host: host, addr: addr, heard: time.Now()}
		b.closeLink(b.swap(n))
		if !own {
			client := transport.Dial(ctx, addr, transport.Options{
				Hello: b.opts.Hello, TLS: b.opts.TLS, Counters: b.opts.Counters,
				Handler:        func(c *transport.Conn, _ uint64, m wire.Message) { b.onMessage(n, c, m) },
				OnConnected:    func(c *transport.Conn) { b.onUp(n, c) },
				OnDisconnected: func(c *transport.Conn) { b.onDown(n, c) },
			})
			b.mu.Lock()
			n.client = client
			b.mu.Unlock()
			return
		}
		l = n
	}
	if own && b.opts.Server != nil && !b.connected(l) {
		in := &inProcess{b: b, l: l}
		b.onUp(l, &toServer{s: b.opts.Server, in: in})
	}
}

func (b *Binder) connected(l *link) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return l.conn != nil
}

// swap replaces the link and returns the former one. Its queued calls are decided alone or wait in the entry until the
// new dispatcher gets them by Resync.
func (b *Binder) swap(n *link) *link {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.link
	b.link = n
	b.leaveQueue()
	return old
}

// closeLink ends a link without holding the lock, because its goroutine may wait for the lock.
func (b *Binder) closeLink(l *link) {
	if l == nil {
		return
	}
	b.mu.Lock()
	client, conn := l.client, l.conn
	l.conn = nil
	b.mu.Unlock()
	if client != nil {
		client.Close()
	} else if conn != nil {
		conn.Close()
	}
}

// leaveQueue makes every call that waits for the dispatcher decide alone. The caller holds the lock.
func (b *Binder) leaveQueue() {
	for _, c := range b.sorted() {
		if c.phase == asking || c.phase == queued {
			b.takeBack(c)
			c.signal()
		}
	}
}

// sorted returns the calls in the order of their ids.
func (b *Binder) sorted() []*call {
	out := make([]*call, 0, len(b.calls))
	for _, c := range b.calls {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ask.ID < out[j].ask.ID })
	return out
}

// onUp sends the whole state of this entry to a new dispatcher and hands it the calls that wait here.
func (b *Binder) onUp(l *link, conn peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.link != l {
		conn.Close()
		return
	}
	l.conn, l.heard, l.suspect, l.probed = conn, time.Now(), false, time.Time{}
	m := &wire.Resync{}
	for _, c := range b.sorted() {
		switch c.phase {
		case bound:
			m.Running = append(m.Running, wire.Running{Ask: c.ask, Endpoint: c.endpoint})
		case local:
			c.phase = queued
			m.Waiting = append(m.Waiting, *c.message())
		}
	}
	b.waiters = nil
	b.send(m)
}

func (b *Binder) onDown(l *link, conn peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t, ok := l.conn.(*toServer); l.conn == nil || l.conn != conn && !(ok && t.in == conn) {
		return
	}
	l.conn = nil
	if b.link == l {
		b.leaveQueue()
	}
}

// onMessage handles an answer of a dispatcher.
func (b *Binder) onMessage(l *link, from peer, m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.heard, l.suspect = time.Now(), false
	switch m := m.(type) {
	case *wire.Queued:
		if c := b.pending(l, m.ID); c != nil {
			c.phase = queued
		}
	case *wire.Grant:
		if c := b.pending(l, m.ID); c != nil {
			b.occupy(c, m.Endpoint)
			c.signal()
		} else if b.link == l {
			b.send(&wire.Cancel{ID: m.ID}) // the call was decided otherwise or is gone
		}
	case *wire.Refuse:
		if c := b.pending(l, m.ID); c != nil {
			delete(b.calls, m.ID)
			c.phase, c.refusal = refused, routing.Refusal{Reason: m.Reason, RetryAfterMs: m.RetryAfterMs}
			c.signal()
		}
	case *wire.Preempt:
		if c := b.calls[m.ID]; c != nil && b.link == l && c.phase == bound && !c.stopped {
			c.stopped = true
			close(c.preempted)
		}
	}
}

// pending returns the call of that id if it waits for an answer of this dispatcher.
func (b *Binder) pending(l *link, id uint64) *call {
	if c := b.calls[id]; b.link == l && c != nil && (c.phase == asking || c.phase == queued) {
		return c
	}
	return nil
}

// handOver gives calls that wait in the entry to a dispatcher that answers again, or to slots of a changed view.
func (b *Binder) handOver() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.link.usable() {
		b.wakeWaiters()
		return
	}
	for _, c := range b.waiters {
		c.phase = queued
		b.send(c.message())
	}
	b.waiters = nil
}

// probe asks a silent dispatcher for a sign of life while calls wait in its queue or it is suspect, and leaves its queue
// after a longer silence.
func (b *Binder) probe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link
	if l == nil || l.conn == nil {
		return
	}
	waits := false
	for _, c := range b.calls {
		waits = waits || c.phase == queued
	}
	if !waits && !l.suspect {
		l.probed = time.Time{}
		return
	}
	if now.Sub(l.heard) < b.opts.ProbeAfter {
		return
	}
	b.send(&wire.Ask{ID: probeID})
	if l.probed.Before(l.heard) {
		l.probed = now // the silence counts from the first unanswered probe
		return
	}
	if now.Sub(l.probed) >= b.opts.SilentFor-b.opts.ProbeAfter && !l.suspect {
		l.suspect = true
		b.leaveQueue()
	}
}
