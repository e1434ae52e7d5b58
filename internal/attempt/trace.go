package attempt

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

// errSealed is returned by writes of an attempt that was already classified as not sent.
var errSealed = errors.New("attempt was given up before its first byte")

// TrackedConn is a connection that knows whether bytes were written to it since the current attempt took it.
//
// Invariant: after giveUp has returned true, no byte reaches the peer.
type TrackedConn struct {
	net.Conn
	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn. A write counts as sent even if it fails, because part of it may have left the host.
func (c *TrackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// begin starts the count of a new attempt.
func (c *TrackedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// giveUp returns true if nothing was written, and then prevents later writes. net/http writes in another goroutine,
// which may still be about to start when RoundTrip returns an error.
func (c *TrackedConn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = c.sealed || !c.wrote
	return c.sealed && !c.wrote
}

// WrapDial wraps a dial function of http.Transport so that Trace can tell whether a byte was written.
func WrapDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &TrackedConn{Conn: nc}, nil
	}
}

// Trace follows one attempt made with an http.Transport whose dial function comes from Dialer.
type Trace struct {
	mu      sync.Mutex
	conns   []*TrackedConn
	foreign bool // a connection that did not come from Dialer was used
}

// NewContext returns a context whose request is followed by the trace.
func (t *Trace) NewContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { t.gotConn(i.Conn) }})
}

func (t *Trace) gotConn(nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := nc.(*TrackedConn)
	if !ok {
		t.foreign = true
		return
	}
	c.begin()
	t.conns = append(t.conns, c)
}

// FailureOutcome classifies an attempt that ended with a transport error: NotSent if no byte was written, else Unknown. After
// NotSent the request can't be sent any more.
func (t *Trace) FailureOutcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.foreign {
		return Unknown
	}
	for _, c := range t.conns {
		if !c.giveUp() {
			return Unknown
		}
	}
	return NotSent
}
