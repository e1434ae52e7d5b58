package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

var (
	errHeaderTooLong = errors.New("header of the response is too long")
	errTooMany       = errors.New("connections to the endpoint are used up")
)

// Error tells how an exchange failed.
type Error struct {
	DialFailed bool // no connection was made
	MaybeSent  bool // a byte of the request may have reached the endpoint
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.DialFailed:
		return "connect: " + e.Err.Error()
	case !e.MaybeSent:
		return "not sent: " + e.Err.Error()
	}
	return "after sending: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to an endpoint.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // path and query
	Host    string // of the Host header; the address if empty
	Header  http.Header
	Body    []byte
	HasBody bool // a length is stated even if the body is empty
}

// Response is an endpoint's response. Close must be called, once the body was read or is no longer wanted.
type Response struct {
	*http.Response
	x *exchange
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool    *Pool
	address string
	c       *conn
	stop    func() bool // of the cancellation
	written chan error  // result of the write
	resp    *http.Response
	once    sync.Once
}

// Pool keeps idle connections by address.
type Pool struct {
	maxPerEndpoint int // connections to one endpoint

	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	dials  uint64
	reuses uint64
}

// NewPool returns a pool that opens at most perEndpoint connections to one address.
func NewPool(perEndpoint int) *Pool {
	return &Pool{maxPerEndpoint: perEndpoint, idle: make(map[string][]*conn), open: make(map[string]int)}
}

// SetLimit changes the number of connections that may be open to one address.
func (p *Pool) SetLimit(perEndpoint int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxPerEndpoint = perEndpoint
}

// Counts returns how many connections were opened and how often one was used again.
func (p *Pool) Counts() (dials, reuses uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.reuses
}

// take returns a kept connection that is surely open, or nil.
func (p *Pool) take(addr string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleLimit && c.quiet() {
			return c
		}
		p.drop(addr, c)
	}
}

// IdleAddresses returns the addresses to which an idle connection is kept.
func (p *Pool) IdleAddresses(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(p.idle))
	for addr, list := range p.idle {
		if n := len(list); n > 0 && now.Sub(list[n-1].idleSince) < list[n-1].idleLimit {
			out[addr] = true
		}
	}
	return out
}

func (p *Pool) drop(addr string, c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
		delete(p.idle, addr)
	}
}

func (p *Pool) put(addr string, c *conn, keep time.Duration) {
	c.idleSince, c.idleLimit, c.reused = time.Now(), keep, true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.maxPerEndpoint > 0 && p.open[addr] >= p.maxPerEndpoint {
		p.mu.Unlock()
		return nil, errTooMany
	}
	p.open[addr]++
	p.dials++
	p.mu.Unlock()
	nc, err := NewDialer().DialContext(ctx, "tcp4", addr)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.open[addr]--; p.open[addr] <= 0 {
			delete(p.open, addr)
		}
		return nil, err
	}
	return newConn(nc), nil
}

// CloseExpired closes idle connections whose time is over. It returns the number that stays open.
func (p *Pool) CloseExpired(now time.Time) int {
	type stale struct {
		addr string
		c    *conn
	}
	var out []stale
	left := 0
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleLimit {
				kept = append(kept, c)
			} else {
				out = append(out, stale{addr, c})
			}
		}
		p.idle[addr] = kept
		left += len(kept)
	}
	p.mu.Unlock()
	for _, s := range out {
		p.drop(s.addr, s.c)
	}
	return left
}

// RoundTrip writes a request on one connection, once, and returns the header of its response. When ctx ends, the
// connection is closed, which most servers take as a cancellation; that holds until the response is closed. Errors are
// of type *Error.
func (p *Pool) RoundTrip(ctx context.Context, q *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	c := p.take(q.Address, time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx, q.Address); err != nil {
			return nil, &Error{DialFailed: err != errTooMany && ctx.Err() == nil, Err: err}
		}
	} else {
		p.mu.Lock()
		p.reuses++
		p.mu.Unlock()
	}
	x := &exchange{pool: p, address: q.Address, c: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.run(q)
	if err != nil {
		x.abort()
		if cause := ctx.Err(); cause != nil {
			err = &Error{MaybeSent: err.(*Error).MaybeSent, Err: cause}
		}
		return nil, err
	}
	return resp, nil
}

// inlineWrite is the size up to which a request is written before its response is read: it fits a socket's buffer.
const inlineWrite = 8 << 10

func (x *exchange) run(q *Request) (*Response, error) {
	head := encodeHead(q)
	x.c.limit = maxHeaders
	if len(head)+len(q.Body) <= inlineWrite {
		n, err := x.c.Write(append(head, q.Body...))
		x.written <- err
		if err != nil {
			return nil, &Error{MaybeSent: n > 0, Err: err}
		}
	} else {
		n, err := x.c.Write(head)
		if err != nil {
			x.written <- err
			return nil, &Error{MaybeSent: n > 0, Err: err}
		}
		// A server may answer before it has read a long body, and reads on later: the body is written to its end.
		go func() {
			_, err := x.c.Write(q.Body)
			x.written <- err
		}()
	}
	resp, err := x.read(q)
	if err != nil {
		return nil, &Error{MaybeSent: true, Err: err}
	}
	return resp, nil
}

func (x *exchange) read(q *Request) (*Response, error) {
	for {
		resp, err := http.ReadResponse(x.c.r, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			x.c.limit = 1 << 62 // bodies are bounded by the reader's side
			x.resp = resp
			return &Response{Response: resp, x: x}, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("status %d was not asked for", resp.StatusCode)
		}
	}
}

// encodeHead returns the request line and headers. Names and values were parsed by an HTTP server, so they hold no line
// breaks.
func encodeHead(q *Request) []byte {
	var b bytes.Buffer
	host := q.Host
	if host == "" {
		host = q.Address
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, host)
	q.Header.Write(&b)
	if len(q.Body) > 0 || q.HasBody {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close ends the exchange. The connection is kept if the response was read to its end, nothing follows it, and the
// request was written whole.
func (r *Response) Close(complete bool) {
	x := r.x
	x.once.Do(func() {
		if !complete || !x.stop() || !x.settled() {
			x.stop()
			x.pool.drop(x.address, x.c)
			return
		}
		x.pool.put(x.address, x.c, keepFor(x.resp))
	})
}

// settled tells whether the connection can carry another request.
func (x *exchange) settled() bool {
	select {
	case err := <-x.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	// A body without a length ends with the connection.
	framed := x.resp.ContentLength >= 0 || len(x.resp.TransferEncoding) > 0
	return framed && keepFor(x.resp) > 0 && x.c.r.Buffered() == 0
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.pool.drop(x.address, x.c)
	})
}

// ReadAll reads the rest of the body up to max bytes. more tells that the body is longer.
func (r *Response) ReadAll(max int) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, int64(max)+1))
	if len(body) > max {
		return body, true, nil
	}
	return body, false, err
}

// IsTimeout tells whether an exchange failed because the other side was silent.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
