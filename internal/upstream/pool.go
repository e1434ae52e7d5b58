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

	"sycamoredeal/internal/httphead"
)

var (
	errHeaderTooLong = errors.New("response header is too long")
	errFoldedField   = errors.New("a line of the response header begins with a blank")
	errTooManyConns  = errors.New("connection limit of the endpoint is reached")
)

// Error is the error of a request that got no response. It tells whether the endpoint may have received the request.
type Error struct {
	DialFailed bool // the endpoint didn't accept a connection
	MaybeSent  bool // at least one byte of the request may have reached the endpoint
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to an endpoint.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // path and query
	Host    string // value of the Host header; Address if empty
	Header  http.Header
	Body    []byte
	HasBody bool // send Content-Length even if Body is empty
}

// Response is an endpoint's response. Close must be called when the body has been read or is no longer needed.
type Response struct {
	*http.Response
	Reused   bool // the connection had carried other requests before
	exchange *exchange
}

// exchange is a request and its response on one connection.
type exchange struct {
	pool          *Pool
	address       string
	conn          *conn
	detachContext func() bool // stops the closing of conn on cancellation; false if the context has ended
	resp          *http.Response
	closeOnce     sync.Once
}

// Pool opens connections to endpoints and keeps idle ones for later requests.
type Pool struct {
	maxPerEndpoint int // connections to one address; 0 means no limit

	mu         sync.Mutex
	idleConns  map[string][]*conn // by address, the last used at the end
	openCounts map[string]int     // connections in use or idle, by address
	dials      uint64
	reuses     uint64

	held        Held
	headHolding func() Holding // nil if heads are not counted
}

// CountHeads makes each response count the memory of its head in a holding of its own, which newHolding returns.
func (p *Pool) CountHeads(newHolding func() Holding) { p.headHolding = newHolding }

// Held returns the count of the bytes that are held for the requests that use the pool.
func (p *Pool) Held() *Held { return &p.held }

// NewPool returns a pool that opens at most perEndpoint connections to one address, or any number if perEndpoint is 0.
func NewPool(perEndpoint int) *Pool {
	return &Pool{maxPerEndpoint: perEndpoint, idleConns: make(map[string][]*conn), openCounts: make(map[string]int)}
}

// SetLimit changes the limit of connections to one address. Open connections stay open.
func (p *Pool) SetLimit(perEndpoint int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxPerEndpoint = perEndpoint
}

// Counts returns the number of attempts to open a connection and the number of requests sent on an idle one.
func (p *Pool) Counts() (dials, reuses uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.reuses
}

// takeIdle removes the last used idle connection to addr from the pool and returns it, or nil if there is none. It closes
// the connections that are expired, closed by the endpoint or have unread data.
func (p *Pool) takeIdle(addr string, now time.Time) *conn {
	for {
		p.mu.Lock()
		list := p.idleConns[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idleConns[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleTimeout && c.openWithoutData() {
			return c
		}
		p.closeConn(addr, c)
	}
}

// IdleAddresses returns the addresses with an idle connection that hasn't expired.
func (p *Pool) IdleAddresses(now time.Time) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(p.idleConns))
	for addr, list := range p.idleConns {
		if n := len(list); n > 0 && now.Sub(list[n-1].idleSince) < list[n-1].idleTimeout {
			out[addr] = true
		}
	}
	return out
}

func (p *Pool) newHeadHolding() Holding {
	if p.headHolding == nil {
		return Holding{}
	}
	return p.headHolding()
}

// closeConn closes a connection that isn't in idleConns and removes it from the count.
func (p *Pool) closeConn(addr string, c *conn) {
	c.Close()
	c.head.held.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCounts[addr]--; p.openCounts[addr] <= 0 {
		delete(p.openCounts, addr)
		delete(p.idleConns, addr)
	}
}

// putIdle makes a connection available to later requests for at most idleTimeout.
func (p *Pool) putIdle(addr string, c *conn, idleTimeout time.Duration) {
	c.idleSince, c.idleTimeout, c.reused = time.Now(), idleTimeout, true
	c.head.held.Release()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleConns[addr] = append(p.idleConns[addr], c)
}

// dial opens a connection, or returns errTooManyConns if the limit of the address is reached.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	if p.maxPerEndpoint > 0 && p.openCounts[addr] >= p.maxPerEndpoint {
		p.mu.Unlock()
		return nil, errTooManyConns
	}
	p.openCounts[addr]++
	p.dials++
	p.mu.Unlock()
	nc, err := newRequestDialer().DialContext(ctx, "tcp4", addr)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.openCounts[addr]--; p.openCounts[addr] <= 0 {
			delete(p.openCounts, addr)
		}
		return nil, err
	}
	return newConn(nc), nil
}

// CloseExpired closes the connections that have been idle for longer than their timeout. It returns the number of idle
// connections that remain.
func (p *Pool) CloseExpired(now time.Time) int {
	type expiredConn struct {
		addr string
		conn *conn
	}
	var expired []expiredConn
	remaining := 0
	p.mu.Lock()
	for addr, list := range p.idleConns {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				expired = append(expired, expiredConn{addr, c})
			}
		}
		p.idleConns[addr] = kept
		remaining += len(kept)
	}
	p.mu.Unlock()
	for _, e := range expired {
		p.closeConn(e.addr, e.conn)
	}
	return remaining
}

// RoundTrip sends a request once, on one connection, and returns the response as soon as its header has arrived. If ctx
// ends before the response is closed, the connection is closed, which most servers take as a cancellation. Errors are of
// type *Error.
func (p *Pool) RoundTrip(ctx context.Context, req *Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Err: err}
	}
	c := p.takeIdle(req.Address, time.Now())
	if c == nil {
		var err error
		if c, err = p.dial(ctx, req.Address); err != nil {
			return nil, &Error{DialFailed: err != errTooManyConns && ctx.Err() == nil, Err: err}
		}
	} else {
		p.mu.Lock()
		p.reuses++
		p.mu.Unlock()
	}
	x := &exchange{pool: p, address: req.Address, conn: c}
	x.detachContext = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.roundTrip(req)
	if err != nil {
		x.abort()
		if cause := ctx.Err(); cause != nil {
			err = &Error{MaybeSent: err.(*Error).MaybeSent, Err: cause}
		}
		return nil, err
	}
	return resp, nil
}

// maxInlineRequestBytes is the size up to which a request is written before the response is read. A request of this size
// fits into the send buffer of a socket, so the write doesn't wait for the endpoint to read.
const maxInlineRequestBytes = 8 << 10

// roundTrip writes the request and reads the header of the response. A long body is written in another goroutine.
func (x *exchange) roundTrip(req *Request) (*Response, error) {
	head := encodeHead(req)
	x.conn.readLimit = maxHeaderBytes
	x.conn.request.Begin()
	x.conn.head.begin(x.pool.newHeadHolding())
	if len(head)+len(req.Body) <= maxInlineRequestBytes {
		n, err := x.conn.Write(append(head, req.Body...))
		x.conn.request.End(err)
		if err != nil {
			return nil, &Error{MaybeSent: n > 0, Err: err}
		}
	} else {
		n, err := x.conn.Write(head)
		if err != nil {
			x.conn.request.End(err)
			return nil, &Error{MaybeSent: n > 0, Err: err}
		}
		// A server may respond before it has read a long body and read the rest afterwards, so the write goes on after the
		// response.
		defer x.conn.watchUnreadBody()()
		go func() {
			_, err := x.conn.Write(req.Body)
			x.conn.request.End(err)
		}()
	}
	resp, err := x.readResponse(req)
	if err != nil {
		return nil, &Error{MaybeSent: true, Err: err}
	}
	return resp, nil
}

// readResponse reads the header of the final response. It skips interim responses and rejects malformed ones.
func (x *exchange) readResponse(req *Request) (*Response, error) {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, httphead.ShortenError(err)
		}
		// A sound server folds no lines (RFC 9112, section 5.2), so the blank is a part of a malformed name.
		if x.conn.head.folded(x.conn.reader.Buffered()) {
			return nil, errFoldedField
		}
		if httphead.IsInterim(resp.StatusCode) {
			if err := httphead.CheckFields(resp.Header); err != nil {
				return nil, err
			}
			continue
		}
		if err := httphead.Check(resp); err != nil {
			return nil, err
		}
		x.conn.readLimit, x.conn.head.active = 1<<62, false // the code that reads the body limits its size
		x.conn.endsResponse = !isFramed(resp) && resp.Body != http.NoBody
		resp.Body = &responseBody{ReadCloser: resp.Body}
		x.resp = resp
		return &Response{Response: resp, Reused: x.conn.reused, exchange: x}, nil
	}
}

// encodeHead returns the request line and the header. Names and values come from requests that an HTTP server has parsed,
// so they contain no line breaks.
func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	host := req.Host
	if host == "" {
		host = req.Address
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, host)
	req.Header.Write(&b)
	if len(req.Body) > 0 || req.HasBody {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Close returns the connection to the pool or closes it. The parameter complete says that the body was read to its end.
// The connection is reused only if that holds, the whole request was written and no data follows the response.
func (r *Response) Close(complete bool) {
	x := r.exchange
	x.closeOnce.Do(func() {
		if !complete || !x.detachContext() || !x.connReusable() {
			x.detachContext()
			x.pool.closeConn(x.address, x.conn)
			return
		}
		x.pool.putIdle(x.address, x.conn, idleTimeoutAfter(x.resp))
	})
}

// connReusable reports whether the connection can carry another request after the response has been read.
func (x *exchange) connReusable() bool {
	return x.conn.request.written() && x.conn.expectPrompt() && isFramed(x.resp) && idleTimeoutAfter(x.resp) > 0 && x.conn.reader.Buffered() == 0
}

// isFramed reports whether the body of a response has a length or chunks. Any other body ends when the endpoint closes the
// connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// Framed reports whether the end of the body shows that it is complete.
func (r *Response) Framed() bool { return isFramed(r.Response) }

// abort closes the connection of an exchange without a response.
func (x *exchange) abort() {
	x.closeOnce.Do(func() {
		x.detachContext()
		x.pool.closeConn(x.address, x.conn)
	})
}

// Pending reports whether bytes have arrived that were not read, or the end of the connection has.
func (r *Response) Pending() bool {
	c := r.exchange.conn
	if c.reader.Buffered() > 0 {
		return true
	}
	open, pending := Peek(c.Conn)
	return pending || !open
}

// ReadAll reads the rest of the body. If it is longer than maxBytes, ReadAll returns the first maxBytes+1 bytes and true
// for tooLong.
func (r *Response) ReadAll(maxBytes int) (body []byte, tooLong bool, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, int64(maxBytes)+1))
	if len(body) > maxBytes {
		return body, true, nil
	}
	return body, false, err
}

// Discard reads the rest of the body and keeps none of it, so that the connection can be reused. It returns false if the body is longer
// than maxBytes, does not end within timeout, or ends with the connection.
func (r *Response) Discard(maxBytes int64, timeout time.Duration) (whole bool) {
	if !r.Framed() {
		return false
	}
	c := r.exchange.conn
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBytes+1))
	return err == nil && n <= maxBytes && c.SetReadDeadline(time.Time{}) == nil
}

// firstReadBytes is the size of the first buffer of ReadWithin for a body without a stated length.
const firstReadBytes = 2 << 10

// ReadAllWithin reads the rest of the body like ReadWithin.
func (r *Response) ReadAllWithin(maxBytes int, g *Holding) (body []byte, more bool, report *HeldReport, err error) {
	return ReadWithin(r.Body, r.ContentLength, maxBytes, g)
}

// ReadWithin reads a body into a buffer that it takes from g before it is allocated. The length is -1 if it is not stated. If the body
// is longer than maxBytes, or g does not admit a larger buffer, ReadWithin returns what was read so far and true for more. A report is
// returned if the bound is reached.
func ReadWithin(r io.Reader, length int64, maxBytes int, g *Holding) (body []byte, more bool, report *HeldReport, err error) {
	limit, first := maxBytes+1, firstReadBytes
	if length >= 0 && length < int64(maxBytes) {
		limit = int(length) + 1 // a further byte, so that the end of the body is seen
		first = smallAnswerBytes
	}
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), first), limit)
			// The old buffer is counted as well until it is copied.
			d, rep := g.Grow(int64(size))
			if d != HeldAdmit && len(body) > 0 {
				return body, true, rep, nil
			}
			if d != HeldAdmit { // the smallest buffer is always there
				size = min(size, firstReadBytes)
				g.Charge(int64(size))
			}
			old := cap(body)
			body = append(make([]byte, 0, size), body...)
			g.Shrink(int64(old))
		}
		n, err := r.Read(body[len(body):min(cap(body), limit)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBytes:
			return body, true, nil, nil
		case err == io.EOF:
			return body, false, nil, nil
		case err != nil:
			return body, false, nil, err
		}
	}
}

// IsTimeout reports whether a request failed because a network timeout or a context deadline passed.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
