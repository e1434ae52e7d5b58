package transport

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/wire"
)

const (
	dialTimeout = time.Second
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
)

// Client maintains one connection to an address. When the connection ends, it dials again with jittered backoff.
type Client struct {
	addr   string
	opts   Options
	conn   atomic.Pointer[Conn]
	cancel context.CancelFunc
	done   chan struct{}
}

// Dial starts a client that runs until ctx ends. It returns immediately and connects in the background.
func Dial(ctx context.Context, addr string, opts Options) *Client {
	ctx, cancel := context.WithCancel(ctx)
	c := &Client{addr: addr, opts: opts, cancel: cancel, done: make(chan struct{})}
	onConnected := opts.OnConnected
	c.opts.OnConnected = func(conn *Conn) {
		c.conn.Store(conn)
		if onConnected != nil {
			onConnected(conn)
		}
	}
	go c.keepConnected(ctx)
	return c
}

// Addr returns the address that the client connects to.
func (c *Client) Addr() string { return c.addr }

// Conn returns the current connection, or nil while there is none.
func (c *Client) Conn() *Conn {
	if conn := c.conn.Load(); conn != nil && conn.ctx.Err() == nil {
		return conn
	}
	return nil
}

// Send queues a message on the current connection. It returns ErrClosed if there is none.
func (c *Client) Send(m wire.Message) error {
	if conn := c.Conn(); conn != nil {
		return conn.Send(m)
	}
	return ErrClosed
}

// Call sends a request on the current connection and waits for its reply. It returns ErrClosed if there is no connection.
func (c *Client) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	if conn := c.Conn(); conn != nil {
		return conn.Call(ctx, m)
	}
	return nil, ErrClosed
}

// Close ends the connection, stops dialing and waits until the client has stopped.
func (c *Client) Close() {
	c.cancel()
	<-c.done
}

// keepConnected dials and serves one connection after the other until ctx ends. The backoff starts again at minBackoff
// after a connection that lasted longer than maxBackoff.
func (c *Client) keepConnected(ctx context.Context) {
	defer close(c.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		nc, err := c.dial(ctx)
		if err != nil && c.opts.OnDialFailed != nil && ctx.Err() == nil {
			c.opts.OnDialFailed(err)
		}
		if err == nil {
			started := time.Now()
			newConn(ctx, nc, &c.opts).run()
			c.conn.Store(nil)
			if time.Since(started) > maxBackoff {
				backoff = minBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dial connects to the address. A certificate that can't be verified is reported as a failed handshake.
func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.opts.TLS != nil {
		td := tls.Dialer{NetDialer: &d, Config: c.opts.TLS}
		nc, err := td.DialContext(ctx, "tcp", c.addr)
		var certErr *tls.CertificateVerificationError
		if errors.As(err, &certErr) {
			c.opts.reportHandshakeFailure(c.addr, err)
		}
		return nc, errors.Trace(err)
	}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	return nc, errors.Trace(err)
}

// QueryCell connects to a process of the project and returns its cell, or "" if the process does not answer within
// dialTimeout.
func QueryCell(ctx context.Context, addr string, hello wire.Hello) string {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	answer := make(chan string, 1)
	c := Dial(ctx, addr, Options{Hello: hello, Handler: func(*Conn, uint64, wire.Message) {}, OnConnected: func(conn *Conn) {
		select {
		case answer <- conn.Remote().Cell:
		default:
		}
	}})
	defer c.Close()
	select {
	case cell := <-answer:
		return cell
	case <-ctx.Done():
		return ""
	}
}
