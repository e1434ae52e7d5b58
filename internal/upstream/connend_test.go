package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
)

const unsizedHead = "HTTP/1.1 200 OK\r\n\r\n"

// waitUntil waits for a condition.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited too long until %s", what)
		}
	}
}

// TestResetSeenElsewhere guards against a part of an answer that counts as complete because the reset of its connection was reported
// to another system call than the read: to the write of the request, or to a look at unread bytes.
func TestResetSeenElsewhere(t *testing.T) {
	for _, c := range []struct {
		name      string
		bodyBytes int // of the request
		seen      func(r *Response) bool
	}{
		{"by the write", 64 << 20, func(r *Response) bool { return r.exchange.conn.request.state.Load() == writeFailed }}, // more than sockets hold
		{"by a look", 1, func(r *Response) bool { return r.Pending() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			reset := make(chan struct{})
			addr := startServer(t, func(_ int32, nc net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(nc, unsizedHead+"part")
				<-reset
				nc.(*net.TCPConn).SetLinger(0)
			})
			resp, err := NewPool(0).RoundTrip(t.Context(), &Request{Address: addr, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, c.bodyBytes)})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close(false)
			if _, err := io.ReadFull(resp.Body, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			close(reset)
			waitUntil(t, "the reset is seen", func() bool { return c.seen(resp) })
			for range 2 {
				if n, err := resp.Body.Read(make([]byte, 8)); n > 0 || !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("read %d bytes with error %v, want that of a reset", n, err)
				}
			}
		})
	}
}

// TestEndOfUnreadRequest guards against an end that is taken for orderly before it is known what became of the request: a server
// that closes its connection while its receive buffer is empty ends it, and resets it when the next part of the request arrives.
func TestEndOfUnreadRequest(t *testing.T) {
	addr := startServer(t, func(_ int32, c net.Conn, r *bufio.Reader) { io.ReadFull(r, make([]byte, 4)) })
	nc, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	io.WriteString(nc, "part")
	if _, err := nc.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("error %v, want the end of the connection", err)
	}
	end := make(chan error, 1)
	var request WriteState
	request.Begin()
	go func() { end <- EndError(nc, &request) }()
	select {
	case err := <-end:
		t.Errorf("%v before the request was written", err)
	case <-time.After(100 * time.Millisecond):
	}
	io.WriteString(nc, "rest")
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want that of a reset", err)
	}
}

// TestHalfClosedAnswer guards against answers that a server ends before it reads the request: one that resets the connection soon after
// that has not ended it in order, and one that goes on without reading must not be waited for until the deadline.
func TestHalfClosedAnswer(t *testing.T) {
	for _, c := range []struct {
		name       string
		pause      time.Duration
		end        testbed.AnswerEnd
		wantError  bool
		maxElapsed time.Duration
	}{
		{"reset soon", 300 * time.Millisecond, testbed.ResetAnswer, true, 2 * time.Second},
		{"read late", 500 * time.Millisecond, testbed.HalfClose, false, 2 * time.Second},
		{"not read", 4 * time.Second, testbed.HalfClose, false, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			addr := startServer(t, func(_ int32, nc net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				tcp := nc.(*net.TCPConn)
				io.WriteString(tcp, unsizedHead+"answer")
				tcp.CloseWrite()
				if time.Sleep(c.pause); c.end == testbed.ResetAnswer {
					tcp.SetLinger(0)
					return
				}
				io.Copy(io.Discard, r)
			})
			start := time.Now()
			resp, err := NewPool(0).RoundTrip(t.Context(), &Request{Address: addr, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, 8<<20)})
			if err != nil {
				t.Fatal(err)
			}
			body, _, err := resp.ReadAll(100)
			resp.Close(err == nil)
			elapsed := time.Since(start)
			if (err != nil) != c.wantError || string(body) != "answer" || elapsed > c.maxElapsed {
				t.Errorf("%q with error %v after %v", body, err, elapsed)
			}
		})
	}
}
