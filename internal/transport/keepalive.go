package transport

import (
	"net"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/wire"
)

// An open connection may go silent for good, without a reset, and whatever acknowledges its bytes hides that from the operating
// system. Each side therefore sends a keep-alive while it has nothing else to send, and ends a connection on which nothing arrives.
const (
	keepAliveInterval   = time.Second // without another message
	maxMissedKeepAlives = 4           // intervals in which nothing arrived, more than a lossy link takes to repeat a segment
	// callProbeDelay is the time without a byte after which a call that waits for its reply asks for a keep-alive. A call that ends as
	// long after that, without a byte all the while, ends the connection: the next one needs another.
	callProbeDelay = 200 * time.Millisecond
)

// meteredConn counts the bytes that pass through a connection.
type meteredConn struct {
	net.Conn
	received, sent atomic.Uint64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// keepAlive sends a keep-alive after each interval in which nothing was sent, and ends the connection if nothing arrives. It counts
// intervals, since a process that was suspended finds several of them over at once.
func (c *Conn) keepAlive() {
	t := time.NewTicker(keepAliveInterval)
	defer t.Stop()
	received, sent, missed := c.nc.received.Load(), c.nc.sent.Load(), 0
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-t.C:
		}
		if n := c.nc.received.Load(); n != received {
			received, missed = n, 0
		} else if missed++; missed >= maxMissedKeepAlives {
			c.endSilent()
			return
		}
		if n := c.nc.sent.Load(); n == sent {
			c.sendKeepAlive(false)
		}
		sent = c.nc.sent.Load()
	}
}

// sendKeepAlive queues a keep-alive. It needs no check: if the queue is full, messages are on their way that show the same.
func (c *Conn) sendKeepAlive(answer bool) { _ = c.Send(&wire.KeepAlive{Answer: answer}) }

// endSilent ends a connection on which nothing arrives.
func (c *Conn) endSilent() {
	if c.opts.OnSilent != nil {
		c.opts.OnSilent(c)
	}
	c.Close()
}

// handleKeepAlive answers a keep-alive if it asks for that.
func (c *Conn) handleKeepAlive(m *wire.KeepAlive) {
	if m.Answer {
		c.sendKeepAlive(false)
	}
}

// callProbe checks during a call whether the connection still works.
type callProbe struct {
	c        *Conn
	timer    *time.Timer
	received uint64    // bytes when the call was sent
	askedAt  time.Time // when a keep-alive was asked for
}

// startProbe returns the probe of a call that is sent now.
func (c *Conn) startProbe() *callProbe {
	p := &callProbe{c: c, received: c.nc.received.Load(), timer: time.NewTimer(callProbeDelay)}
	if !c.remote.KeepAlives {
		p.timer.Stop()
	}
	return p
}

// ask asks for a keep-alive if nothing has arrived since the call was sent.
func (p *callProbe) ask() {
	if p.c.nc.received.Load() == p.received {
		p.askedAt = time.Now()
		p.c.sendKeepAlive(true)
	}
}

// end ends the probe of a call that has no reply. The connection ends if the other side had time for a keep-alive and sent nothing.
func (p *callProbe) end() {
	if !p.askedAt.IsZero() && time.Since(p.askedAt) >= callProbeDelay && p.c.nc.received.Load() == p.received {
		p.c.endSilent()
	}
}
