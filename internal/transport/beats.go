package transport

import (
	"net"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/wire"
)

// An open connection may go silent for good, without a reset, and whatever acknowledges its bytes hides that from the operating
// system. Each side therefore sends a beat while it has nothing else to send, and ends a connection on which nothing arrives.
const (
	beatInterval   = time.Second // without another message
	maxMissedBeats = 4           // intervals in which nothing arrived, more than a lossy link takes to repeat a segment
	// callProbeDelay is the time without a byte after which a call that waits for its reply asks for a beat. A call that ends as
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

// beat sends a beat after each interval in which nothing was sent, and ends the connection if nothing arrives. It counts
// intervals, since a process that was suspended finds several of them over at once.
func (c *Conn) beat() {
	t := time.NewTicker(beatInterval)
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
		} else if missed++; missed >= maxMissedBeats {
			c.endSilent()
			return
		}
		if n := c.nc.sent.Load(); n == sent {
			c.sendBeat(false)
		}
		sent = c.nc.sent.Load()
	}
}

// sendBeat queues a beat. It needs no check: if the queue is full, messages are on their way that show the same.
func (c *Conn) sendBeat(answer bool) { _ = c.Send(&wire.Beat{Answer: answer}) }

// endSilent ends a connection on which nothing arrives.
func (c *Conn) endSilent() {
	if c.opts.OnSilent != nil {
		c.opts.OnSilent(c)
	}
	c.Close()
}

// handleBeat answers a beat if it asks for that.
func (c *Conn) handleBeat(m *wire.Beat) {
	if m.Answer {
		c.sendBeat(false)
	}
}

// callProbe checks during a call whether the connection still works.
type callProbe struct {
	c        *Conn
	timer    *time.Timer
	received uint64    // bytes when the call was sent
	askedAt  time.Time // when a beat was asked for
}

// startProbe returns the probe of a call that is sent now.
func (c *Conn) startProbe() *callProbe {
	p := &callProbe{c: c, received: c.nc.received.Load(), timer: time.NewTimer(callProbeDelay)}
	if !c.remote.Beats {
		p.timer.Stop()
	}
	return p
}

// ask asks for a beat if nothing has arrived since the call was sent.
func (p *callProbe) ask() {
	if p.c.nc.received.Load() == p.received {
		p.askedAt = time.Now()
		p.c.sendBeat(true)
	}
}

// end ends the probe of a call that has no reply. The connection ends if the other side had time for a beat and sent nothing.
func (p *callProbe) end() {
	if !p.askedAt.IsZero() && time.Since(p.askedAt) >= callProbeDelay && p.c.nc.received.Load() == p.received {
		p.c.endSilent()
	}
}
