package attempt

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"sycamoredeal/internal/upstream"
)

// errWritesBlocked is returned by writes to a connection whose attempt has been classified as NotSent.
var errWritesBlocked = errors.New("attempt ended before its first write")

// TrackedConn is a connection that records whether the current attempt has written to it, and tells an orderly end of the
// response from a reset.
//
// Invariant: after blockWritesIfUnsent has returned true, no byte reaches the peer.
type TrackedConn struct {
	net.Conn
	readStarted atomic.Bool         // a part of the current attempt's response was read
	request     upstream.WriteState // of the current attempt

	mu            sync.Mutex
	writeStarted  bool // by the current attempt
	writesBlocked bool
}

// Read implements net.Conn. At the end of a response, it returns upstream.EndError in place of io.EOF, because a response without a
// length ends there.
func (c *TrackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readStarted.Store(true)
	}
	if err == io.EOF && c.readStarted.Load() {
		err = upstream.EndError(c.Conn, &c.request)
	}
	return n, err
}

// Write implements net.Conn. A failed write counts as well, because part of the data may have left the host.
func (c *TrackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writeStarted = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// startAttempt is called when a new attempt gets the connection. It forgets the reads and writes of earlier attempts.
func (c *TrackedConn) startAttempt() {
	c.readStarted.Store(false)
	c.request.Begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
}

// blockWritesIfUnsent returns true if the current attempt has written nothing, and then makes every later write fail.
// That is needed because net/http writes the request in another goroutine, which may not have started its first write
// when RoundTrip returns an error.
func (c *TrackedConn) blockWritesIfUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = c.writesBlocked || !c.writeStarted
	return c.writesBlocked && !c.writeStarted
}

// WrapDial returns a dial function for http.Transport whose connections let a Trace find out whether a byte was written.
func WrapDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &TrackedConn{Conn: nc}, nil
	}
}

// Trace records the connections that one attempt uses. It needs an http.Transport whose dial function comes from
// WrapDial.
type Trace struct {
	mu                sync.Mutex
	conns             []*TrackedConn
	usedUntrackedConn bool // a connection wasn't opened by a dial function from WrapDial
}

// NewContext returns a context for the request of the attempt. The trace records each connection that the request gets.
func (t *Trace) NewContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { t.addConn(info.Conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { t.endWrite(info.Err) },
	})
}

// endWrite records that the attempt's request was written whole, or that this failed.
func (t *Trace) endWrite(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.request.End(err)
	}
}

func (t *Trace) addConn(nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := nc.(*TrackedConn)
	if !ok {
		t.usedUntrackedConn = true
		return
	}
	c.startAttempt()
	t.conns = append(t.conns, c)
}

// FailureOutcome returns the outcome of an attempt that ended with a transport error: NotSent if no byte was written,
// otherwise Unknown. After it has returned NotSent, the attempt can't write any more.
func (t *Trace) FailureOutcome() Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usedUntrackedConn {
		return Unknown
	}
	for _, c := range t.conns {
		if !c.blockWritesIfUnsent() {
			return Unknown
		}
	}
	return NotSent
}
