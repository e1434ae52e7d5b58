package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
)

// server answers each connection with fn, which gets the number of the connection from 1.
func server(t *testing.T, fn func(n int32, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	var n atomic.Int32
	address, end, err := testbed.Serve(func(c net.Conn) { fn(n.Add(1), c, bufio.NewReader(c)) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return address
}

func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

func do(t *testing.T, p *Pool, q *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := p.RoundTrip(ctx, q)
	if err != nil {
		return "", err
	}
	body, _, err := resp.ReadAll(1 << 20)
	resp.Close(err == nil)
	return string(body), err
}

// TestReuse guards against a connection for each request, and against one that is used after its idle time.
func TestReuse(t *testing.T) {
	var conns atomic.Int32
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		conns.Store(n)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
		}
	})
	p := NewPool(0)
	for range 3 {
		if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); body != "ok" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections for 3 requests", conns.Load())
	}
	p.idle[addr][0].idleSince = time.Now().Add(-5 * time.Second)
	if _, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err != nil || conns.Load() != 2 {
		t.Errorf("%v, %d connections after the idle time", err, conns.Load())
	}
}

// TestClosedWhileIdle guards against a request that is lost on a connection that the server has closed: it was not sent,
// so it must reach the server on a new one.
func TestClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		io.WriteString(c, okAnswer)
		c.Close()
		closed <- struct{}{}
	})
	p := NewPool(0)
	for range 2 {
		if body, err := do(t, p, &Request{Address: addr, Method: "POST", Target: "/", Body: []byte("x")}); body != "ok" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
		<-closed
		time.Sleep(20 * time.Millisecond) // until the end of the connection has arrived
	}
}

// TestExtraAnswer guards against a second answer on a kept connection that the next request would take for its own.
func TestExtraAnswer(t *testing.T) {
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okAnswer)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nextra")
		}
	})
	p := NewPool(0)
	for range 3 {
		if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); body != "ok" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
		time.Sleep(60 * time.Millisecond)
	}
}

// TestUnframed guards against a body that ends with its connection and is cut by a reset: it must not look complete.
func TestUnframed(t *testing.T) {
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		if n == 1 {
			time.Sleep(50 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	p := NewPool(0)
	if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err == nil {
		t.Errorf("a reset body counts as complete: %q", body)
	}
	if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err != nil || body != "part" {
		t.Errorf("%q, %v", body, err)
	}
	if n := len(p.idle[addr]); n > 0 {
		t.Errorf("%d connections kept after bodies without a length", n)
	}
}

// TestEarlyAnswer guards against a long body that is cut because the server answered before it had read it: it reads on,
// and other bytes must not follow there.
func TestEarlyAnswer(t *testing.T) {
	got := make(chan int, 1)
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		body, _ := io.ReadAll(req.Body)
		got <- len(body)
		io.Copy(io.Discard, r)
	})
	p := NewPool(0)
	body := strings.Repeat("x", 1<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := p.RoundTrip(ctx, &Request{Address: addr, Method: "POST", Target: "/", Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
	if _, _, err := resp.ReadAll(10); err != nil {
		t.Error(err)
	}
	resp.Close(true)
	// The connection is either closed within the body or carries all of it; it is never used again before that.
	if kept := len(p.idle[addr]); kept > 0 && <-got != len(body) {
		t.Error("a connection was kept within a body")
	}
}

// TestSent guards against an error that is called "not sent" although the server has the request.
func TestSent(t *testing.T) {
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) { readRequest(r) })
	p := NewPool(0)
	_, err := do(t, p, &Request{Address: addr, Method: "POST", Target: "/", Body: []byte("x")})
	var ue *Error
	if !errors.As(err, &ue) || !ue.MaybeSent || ue.DialFailed {
		t.Errorf("closed after the request: %v", err)
	}
	ln, _ := net.Listen("tcp4", "127.0.0.1:0")
	ln.Close()
	_, err = do(t, p, &Request{Address: ln.Addr().String(), Method: "POST", Target: "/"})
	if !errors.As(err, &ue) || ue.MaybeSent || !ue.DialFailed {
		t.Errorf("connection refused: %v", err)
	}
}

// TestCancel guards against work that a server goes on with after its caller has left: the connection has to close.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegun")
		io.Copy(io.Discard, r)
		close(ended)
	})
	p := NewPool(0)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.RoundTrip(ctx, &Request{Address: addr, Method: "GET", Target: "/"})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the connection stays open")
	}
	resp.Close(false)
}

// TestBounds guards against memory that a server's endless header takes.
func TestBounds(t *testing.T) {
	const lines, line = 1 << 16, 112
	written := make(chan int, 1)
	addr := server(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		i := 0
		for ; i < lines; i++ {
			if _, err := io.WriteString(c, "X-Filler: "+strings.Repeat("y", 100)+"\r\n"); err != nil {
				break
			}
		}
		written <- i
	})
	if _, err := do(t, NewPool(0), &Request{Address: addr, Method: "GET", Target: "/"}); err == nil {
		t.Error("a response with an endless header is accepted")
	}
	if n := <-written; n == lines {
		t.Errorf("all of %d bytes of a header were taken", lines*line)
	}
}

// FuzzResponse looks for answers that make the reader panic or hang, and for bytes that are kept for the next request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		ours, theirs := net.Pipe()
		go func() {
			readRequest(bufio.NewReader(theirs))
			theirs.Write(answer)
			theirs.Close()
		}()
		p := NewPool(0)
		x := &exchange{pool: p, address: "a", c: newConn(ours), written: make(chan error, 1), stop: func() bool { return true }}
		resp, err := x.run(&Request{Address: "a", Method: "GET", Target: "/"})
		if err != nil {
			ours.Close()
			return
		}
		_, more, err := resp.ReadAll(1 << 16)
		resp.Close(err == nil && !more)
		for _, c := range p.idle["a"] {
			if c.r.Buffered() > 0 {
				t.Error("a connection with bytes of another answer was kept")
			}
		}
	})
}
