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

// startServer starts a server that calls fn for each connection, with the number of the connection, counted from 1. It
// returns the server's address.
func startServer(t *testing.T, fn func(n int32, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	var connCount atomic.Int32
	address, stop, err := testbed.Serve(func(c net.Conn) { fn(connCount.Add(1), c, bufio.NewReader(c)) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
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

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok"

// do sends a request, reads the response and returns its body.
func do(t *testing.T, p *Pool, req *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := p.RoundTrip(ctx, req)
	if err != nil {
		return "", err
	}
	body, _, err := resp.ReadAll(1 << 20)
	resp.Close(err == nil)
	return string(body), err
}

// TestReuse guards against a new connection for each request, and against reuse of a connection after its idle timeout.
func TestReuse(t *testing.T) {
	var connCount atomic.Int32
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		connCount.Store(n)
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okResponse)
		}
	})
	p := NewPool(0)
	for range 3 {
		if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
	}
	if connCount.Load() != 1 {
		t.Errorf("%d connections for 3 requests", connCount.Load())
	}
	p.idleConns[addr][0].idleSince = time.Now().Add(-5 * time.Second)
	if _, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err != nil || connCount.Load() != 2 {
		t.Errorf("got %v and %d connections after the idle timeout, want 2 connections", err, connCount.Load())
	}
}

// TestClosedWhileIdle guards against a request that fails because the server has closed its idle connection. The request
// must be sent on a new connection.
func TestClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		io.WriteString(c, okResponse)
		c.Close()
		closed <- struct{}{}
	})
	p := NewPool(0)
	for range 2 {
		if body, err := do(t, p, &Request{Address: addr, Method: "POST", Target: "/", Body: []byte("x")}); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
		<-closed
		time.Sleep(20 * time.Millisecond) // until the client's side has seen the close
	}
}

// TestExtraAnswer guards against a second response on an idle connection that is returned as the response to the next
// request.
func TestExtraAnswer(t *testing.T) {
	extraSent := make(chan struct{}, 3)
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			io.WriteString(c, okResponse)
			time.Sleep(20 * time.Millisecond) // until the connection is idle again
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nextra")
			extraSent <- struct{}{}
		}
	})
	p := NewPool(0)
	for range 3 {
		if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); body != "ok" || err != nil {
			t.Fatalf("got body %q, error %v", body, err)
		}
		<-extraSent // a write on loopback has reached the client's socket when it returns
	}
}

// TestBodyWithoutLength guards against a truncated body that is taken for a complete one: a body without a length ends
// when the connection is closed, but not when it is reset. Such a connection can't be reused.
func TestBodyWithoutLength(t *testing.T) {
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		if n == 1 {
			time.Sleep(50 * time.Millisecond)
			c.(*net.TCPConn).SetLinger(0)
		}
	})
	p := NewPool(0)
	if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err == nil {
		t.Errorf("got body %q without an error from a connection that was reset", body)
	}
	if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); err != nil || body != "part" {
		t.Errorf("got body %q, error %v", body, err)
	}
	if n := len(p.idleConns[addr]); n > 0 {
		t.Errorf("%d connections are idle after bodies without a length, want 0", n)
	}
}

// TestEarlyAnswer guards against a connection that is reused before the request's body has been written. It happens if
// the server responds before it has read a long body: it goes on reading and would take the next request for the body.
func TestEarlyAnswer(t *testing.T) {
	receivedBytes := make(chan int, 1)
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		body, _ := io.ReadAll(req.Body)
		receivedBytes <- len(body)
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
	// The connection may be idle only if the server has received the whole body; otherwise it is closed.
	if idle := len(p.idleConns[addr]); idle > 0 && <-receivedBytes != len(body) {
		t.Error("the connection is idle before the whole body was sent")
	}
}

// TestMaybeSent guards against an error that reports a request as not sent although the server has received it.
func TestMaybeSent(t *testing.T) {
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) { readRequest(r) })
	p := NewPool(0)
	_, err := do(t, p, &Request{Address: addr, Method: "POST", Target: "/", Body: []byte("x")})
	var upstreamErr *Error
	if !errors.As(err, &upstreamErr) || !upstreamErr.MaybeSent || upstreamErr.DialFailed {
		t.Errorf("closed after the request: got %v, want an error with MaybeSent", err)
	}
	ln, _ := net.Listen("tcp4", "127.0.0.1:0")
	ln.Close()
	_, err = do(t, p, &Request{Address: ln.Addr().String(), Method: "POST", Target: "/"})
	if !errors.As(err, &upstreamErr) || upstreamErr.MaybeSent || !upstreamErr.DialFailed {
		t.Errorf("connection refused: got %v, want an error with DialFailed", err)
	}
}

// TestCancel guards against a connection that stays open after its request was cancelled: the server would go on with
// the work.
func TestCancel(t *testing.T) {
	connClosed := make(chan struct{})
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nbegun")
		io.Copy(io.Discard, r)
		close(connClosed)
	})
	p := NewPool(0)
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.RoundTrip(ctx, &Request{Address: addr, Method: "GET", Target: "/"})
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-connClosed:
	case <-time.After(time.Second):
		t.Error("the connection is still open 1 s after the cancellation")
	}
	resp.Close(false)
}

// TestHeaderLimit guards against a response header without end that fills the memory.
func TestHeaderLimit(t *testing.T) {
	const lineCount, lineBytes = 1 << 16, 112
	linesWritten := make(chan int, 1)
	addr := startServer(t, func(n int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		i := 0
		for ; i < lineCount; i++ {
			if _, err := io.WriteString(c, "X-Filler: "+strings.Repeat("y", 100)+"\r\n"); err != nil {
				break
			}
		}
		linesWritten <- i
	})
	if _, err := do(t, NewPool(0), &Request{Address: addr, Method: "GET", Target: "/"}); err == nil {
		t.Error("got no error for a response with an endless header")
	}
	if n := <-linesWritten; n == lineCount {
		t.Errorf("the whole header of %d bytes was read", lineCount*lineBytes)
	}
}

// TestFoldedField guards against a field whose name begins with a blank and that becomes a part of the value before it, wherever the
// reads from the connection are split, and against a body or an interim response that is taken for such a field.
func TestFoldedField(t *testing.T) {
	const folded, sound = "HTTP/1.1 200 OK\r\nX-First: 1\r\n Content-Length: 3\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n x"
	const interim = "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n"
	for _, c := range []struct {
		response string
		ok       bool
	}{{folded, false}, {strings.ReplaceAll(folded, "\n ", "\n\t"), false}, {strings.ReplaceAll(folded, "\r", ""), false}, {interim + folded, false}, {sound, true}, {interim + sound, true}} {
		for split := range len(c.response) {
			addr := startServer(t, func(_ int32, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(conn, c.response[:split])
				time.Sleep(2 * time.Millisecond)
				io.WriteString(conn, c.response[split:])
			})
			if body, err := do(t, NewPool(0), &Request{Address: addr, Method: "GET", Target: "/"}); (err == nil) != c.ok || c.ok && body != " x" {
				t.Errorf("%q split after %d bytes: body %q, error %v", c.response, split, body, err)
			}
		}
	}
}

// FuzzResponse looks for responses that make the reader panic or block, and for connections that are returned to the pool
// with unread data.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, response []byte) {
		clientSide, serverSide := net.Pipe()
		go func() {
			readRequest(bufio.NewReader(serverSide))
			serverSide.Write(response)
			serverSide.Close()
		}()
		p := NewPool(0)
		x := &exchange{pool: p, address: "a", conn: newConn(clientSide), detachContext: func() bool { return true }}
		resp, err := x.roundTrip(&Request{Address: "a", Method: "GET", Target: "/"})
		if err != nil {
			clientSide.Close()
			return
		}
		_, tooLong, err := resp.ReadAll(1 << 16)
		resp.Close(err == nil && !tooLong)
		for _, c := range p.idleConns["a"] {
			if c.reader.Buffered() > 0 {
				t.Error("a connection with unread data is in the pool")
			}
		}
	})
}
