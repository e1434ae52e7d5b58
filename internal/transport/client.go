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

// Client keeps one connection to an address and dials again, with jittered backoff, when it ends.
type Client struct {
	addr   string
	opts   Options
	conn   atomic.Pointer[Conn]
	cancel context.CancelFunc
	done   chan struct{}
}

// Dial starts a client. It returns at once; the connection is made in the background.
func Dial(ctx context.Context, addr string, opts Options) *Client {
	ctx, cancel := context.WithCancel(ctx)
	c := &Client{addr: addr, opts: opts, cancel: cancel, done: make(chan struct{})}
	up := opts.OnConnected
	c.opts.OnConnected = func(conn *Conn) {
		c.conn.Store(conn)
		if up != nil {
			up(conn)
		}
	}
	go c.keepConnected(ctx)
	return c
}

// Addr returns the address that the client connects to.
func (c *Client) Addr() string { return c.addr }

// Conn returns the current connection, or nil while there is none.
func (c *Client) Conn() *Conn { return c.conn.Load() }

// Send queues a message on the current connection.
func (c *Client) Send(m wire.Message) error {
	if conn := c.conn.Load(); conn != nil {
		return conn.Send(m)
	}
	return ErrClosed
}

// Call sends a request on the current connection and waits for its reply.
func (c *Client) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	if conn := c.conn.Load(); conn != nil {
		return conn.Call(ctx, m)
	}
	return nil, ErrClosed
}

// Close ends the connection and stops dialling.
func (c *Client) Close() {
	c.cancel()
	<-c.done
}

func (c *Client) keepConnected(ctx context.Context) {
	defer close(c.done)
	backoff := minBackoff
	for ctx.Err() == nil {
		if nc, err := c.dial(ctx); err == nil {
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

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.opts.TLS != nil {
		td := tls.Dialer{NetDialer: &d, Config: c.opts.TLS}
		nc, err := td.DialContext(ctx, "tcp", c.addr)
		var foreign *tls.CertificateVerificationError
		if errors.As(err, &foreign) {
			c.opts.reportHandshakeFailure(c.addr, err)
		}
		return nc, errors.Trace(err)
	}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	return nc, errors.Trace(err)
}

// QueryCell connects to a process of the project and returns its cell, or "" if it does not answer within a second.
func QueryCell(ctx context.Context, addr string, hello wire.Hello) string {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	up := make(chan string, 1)
	c := Dial(ctx, addr, Options{Hello: hello, Handler: func(*Conn, uint64, wire.Message) {}, OnConnected: func(conn *Conn) {
		select {
		case up <- conn.Remote().Cell:
		default:
		}
	}})
	defer c.Close()
	select {
	case cell := <-up:
		return cell
	case <-ctx.Done():
		return ""
	}
}
