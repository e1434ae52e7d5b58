package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/upstream"
)

// accountCodec is a testCodec that reads the account of a request from X-Account.
type accountCodec struct{ testCodec }

func (c accountCodec) Request(h http.Header, q *fleet.Request) {
	c.testCodec.Request(h, q)
	if name := h.Get("X-Account"); name != "" {
		q.Account = &fleet.Account{Name: name}
	}
}

// newSlowReadHost starts a host like newScriptedHost, with the sockets of front's own server, many slots, and a memory limit.
func newSlowReadHost(t *testing.T, memoryMB int, servers ...*scriptedServer) (*Host, string) {
	t.Helper()
	h, _ := newScriptedHost(t, servers...)
	h.opts.Codec = accountCodec{}
	d := *h.deployment()
	d.MemoryMB = memoryMB
	h.activeDeployment.Store(&d)
	h.front.maxBodyBytes = int64(bodyMemoryShare * float64(memoryMB) * (1 << 20))
	v := *h.directory.view()
	for i := range v.Endpoints {
		v.Endpoints[i].Slots = 1000
	}
	h.directory.currentView.Store(&v)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(h.front.serve))
	srv.Config.ConnState = h.front.connState
	srv.Start()
	t.Cleanup(srv.Close)
	return h, srv.URL
}

// openRequest sends a request and reads nothing of its answer. The caller's socket takes little of it.
func openRequest(t *testing.T, url, path, account string, deadline time.Duration) net.Conn {
	t.Helper()
	// The size has to be set before the connection is made: the kernel drops what it has promised to take otherwise.
	d := net.Dialer{Control: func(_, _ string, rawConn syscall.RawConn) error {
		return rawConn.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10) })
	}}
	c, err := d.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Account: %s\r\nX-Deadline: %d\r\nConnection: close\r\n\r\n", path, account, deadline.Milliseconds())
	return c
}

// readSlowly reads an answer in pieces with a pause before each. It returns the length of its body, or an error if that is not the
// begin of want.
func readSlowly(c net.Conn, piece int, pause time.Duration, want string) (int64, error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(slowReader{c, piece, pause}, piece), nil)
	if err != nil {
		return 0, err
	}
	buf := make([]byte, piece)
	total := int64(0)
	for {
		n, err := resp.Body.Read(buf)
		if rest := want[min(total, int64(len(want))):]; !strings.HasPrefix(rest, string(buf[:n])) {
			return total, fmt.Errorf("other bytes after %d", total)
		}
		total += int64(n)
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// slowReader pauses before each read.
type slowReader struct {
	r     io.Reader
	piece int
	pause time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return io.ReadFull(r.r, p[:min(len(p), r.piece)])
}

// waitEnded waits until no request is in progress and checks that nothing is held after it.
func waitEnded(t *testing.T, h *Host, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); h.front.inFlight.Load() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests are still in progress after %v", h.front.inFlight.Load(), within)
		}
	}
	for kind, n := range h.requestPool.Held().Bytes() {
		if n != 0 {
			t.Errorf("%d bytes of kind %s are still held", n, kind)
		}
	}
	if n := h.front.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of bodies are still reserved", n)
	}
}

// avoided reports whether the host avoids the first endpoint.
func avoided(h *Host) bool {
	h.binder.mu.Lock()
	defer h.binder.mu.Unlock()
	_, ok := h.binder.avoidUntil["e0"]
	return ok
}

// writeInPieces writes s and returns the longest time that one piece took.
func writeInPieces(w io.Writer, s string) (longest time.Duration, err error) {
	for len(s) > 0 && err == nil {
		start, n := time.Now(), min(len(s), 16<<10)
		_, err = io.WriteString(w, s[:n])
		longest = max(longest, time.Since(start))
		s = s[n:]
	}
	return longest, err
}

// TestSlowReaderGetsAll guards against callers that read slowly at an even pace and are cut off, and against an endpoint that
// sees no progress for seconds, after which it would cut its answer off, because sockets take and free data in large lumps.
func TestSlowReaderGetsAll(t *testing.T) {
	const longestStop = 3 * time.Second                    // less than unreadTimeSending
	plain, events := eventsText(20<<20), eventsText(8<<20) // no two kilobytes are equal

	for _, c := range []struct {
		name, path, body string
		sized            bool
		piece            int
		pause            time.Duration
	}{
		{"20 MB", nonIdempotentRoute, plain, true, 64 << 10, 20 * time.Millisecond},
		{"20 MB without a length at 1 MB/s", idempotentRoute, plain, false, 50 << 10, 50 * time.Millisecond},
		{"20 MB in large pieces", nonIdempotentRoute, plain, true, 1 << 20, 400 * time.Millisecond},
		{"2 MB at 200 KB/s", nonIdempotentRoute, plain[:2<<20], true, 20 << 10, 100 * time.Millisecond},
		{"1 MB at 150 KB/s", idempotentRoute, plain[:1<<20], true, 15 << 10, 100 * time.Millisecond},
		{"8 MB of events at 1 MB/s", streamRoute, events, false, 50 << 10, 50 * time.Millisecond},
		{"4 MB of events at 400 KB/s, resumable", resumeRoute, events[:4<<20], false, 20 << 10, 50 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var longest atomic.Int64
			s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
				length := ""
				if c.sized {
					length = fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
				}
				fmt.Fprintf(w, "%s%s\r\n%s\r\n", answerHead, id, length)
				d, err := writeInPieces(w, c.body)
				if longest.Store(int64(d)); err != nil {
					t.Errorf("the endpoint's answer was not taken: %v", err)
				}
				return false
			})
			h, url := newSlowReadHost(t, 136, s)
			begun := time.Now()
			n, err := readSlowly(openRequest(t, url, c.path, "", 50*time.Second), c.piece, c.pause, c.body)
			if n != int64(len(c.body)) || err != nil {
				t.Errorf("got %d of %d bytes in %v, error %v", n, len(c.body), time.Since(begun), err)
			}
			waitEnded(t, h, time.Second)
			if d := time.Duration(longest.Load()); d > longestStop || avoided(h) || s.requests.Load() != 1 {
				t.Errorf("endpoint: no progress for %v, avoided %v, %d requests", d, avoided(h), s.requests.Load())
			}
			t.Logf("%d bytes in %v; the endpoint saw no progress for at most %v", n, time.Since(begun), time.Duration(longest.Load()))
		})
	}
}

// TestUnreadAnswerEnds guards against a caller that stops reading and keeps its slot, the endpoint's run and memory, and against
// an endpoint that is left, avoided or asked again because of its caller. What is left in sockets is bounded.
func TestUnreadAnswerEnds(t *testing.T) {
	const slack = 1500 * time.Millisecond
	const maxInSockets = 5 << 19 // more than half is in the sockets of the endpoint and the caller, which are on this machine too
	plain, events := strings.Repeat("x", 20<<20), eventsText(20<<20)
	for _, c := range []struct{ path, body string }{
		{nonIdempotentRoute, plain}, {idempotentRoute, plain}, {streamRoute, events}, {resumeRoute, events},
	} {
		t.Run(c.path, func(t *testing.T) {
			t.Parallel()
			answer := func(_ int64, id string, w io.Writer) bool {
				fmt.Fprintf(w, "%s%s\r\n\r\n", answerHead, id)
				io.WriteString(w, c.body)
				return false
			}
			s, other := newScriptedServer(t, answer), newScriptedServer(t, answer)
			h, url := newSlowReadHost(t, 136, s, other)
			start := time.Now()
			openRequest(t, url, c.path, "a", time.Minute)
			time.Sleep(unreadTimeSending / 2)
			if n := h.front.inFlight.Load(); n != 1 {
				t.Errorf("%d requests in progress after %v", n, time.Since(start))
			}
			waitEnded(t, h, unreadTimeSending/2+slack)
			ended := time.Since(start)
			select {
			case <-s.closed:
			case <-other.closed:
			case <-time.After(time.Second):
				t.Error("the endpoint's connection was not closed")
			}
			if ended < unreadTimeSending*3/4 || h.requestPool.Held().Unread() != 1 {
				t.Errorf("ended after %v, %d counted", ended, h.requestPool.Held().Unread())
			}
			written := s.written.Load() + other.written.Load()
			most := int64(maxInSockets)
			if c.path == nonIdempotentRoute || c.path == idempotentRoute {
				most += maxBufferedAnswer * 3 / 2
			}
			if n := s.requests.Load() + other.requests.Load(); n != 1 || avoided(h) || written > most {
				t.Errorf("%d requests, avoided %v, %d bytes taken from the endpoint", n, avoided(h), written)
			}
			t.Logf("ended after %v, %d bytes taken from the endpoint", ended, written)
		})
	}
}

// TestBlockedWriteEndsWithRequest guards against a write to a caller that does not read and outlives the request's deadline, a
// stop of the host, or the caller itself.
func TestBlockedWriteEndsWithRequest(t *testing.T) {
	const deadline, slack = 700 * time.Millisecond, time.Second
	plain, events := strings.Repeat("x", 20<<20), eventsText(20<<20)
	for name, c := range map[string]struct{ path, body string }{
		"long": {nonIdempotentRoute, plain}, "whole": {nonIdempotentRoute, plain[:1<<20]}, "stream": {streamRoute, events}, "resumable": {resumeRoute, events},
	} {
		for _, cause := range []string{"deadline", "stop", "caller leaves"} {
			t.Run(name+" "+cause, func(t *testing.T) {
				t.Parallel()
				s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
					fmt.Fprintf(w, "%s%s\r\nContent-Length: %d\r\n\r\n", answerHead, id, len(c.body))
					io.WriteString(w, c.body)
					return false
				})
				h, url := newSlowReadHost(t, 136, s)
				limit := time.Minute
				if cause == "deadline" {
					limit = deadline
				}
				conn := openRequest(t, url, c.path, "", limit)
				time.Sleep(deadline - 100*time.Millisecond)
				switch cause {
				case "stop":
					h.endRequests()
				case "caller leaves":
					conn.Close()
				}
				waitEnded(t, h, slack)
				if h.requestPool.Held().Unread() != 0 {
					t.Error("counted as unread")
				}
			})
		}
	}
}

// TestManySlowReadersStayWithinBound guards against many callers that read answers of 1 MB slowly at once and exhaust the
// host's memory, and against one account whose callers take the memory of others.
func TestManySlowReadersStayWithinBound(t *testing.T) {
	const memoryMB, callers, answerBytes = 64, 120, 1 << 20
	body := strings.Repeat("x", answerBytes)
	s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
		if id == "quick" {
			io.WriteString(w, wholeAnswer(id, strings.Repeat("q", 4<<10)))
			return true
		}
		fmt.Fprintf(w, "%s%s\r\nContent-Length: %d\r\n\r\n%s", answerHead, id, len(body), body)
		return false
	})
	h, url := newSlowReadHost(t, memoryMB, s)
	limits := upstream.LimitsFor(upstream.HeldAnswer, memoryMB<<20)
	bound := int(limits.Account) + callers*minCopyBytes // one account's, and what each request needs
	var wg sync.WaitGroup
	var whole atomic.Int64
	for range callers {
		conn := openRequest(t, url, nonIdempotentRoute, "slow", time.Minute)
		wg.Go(func() {
			if n, err := readSlowly(conn, 32<<10, 100*time.Millisecond, body); n == answerBytes && err == nil {
				whole.Add(1)
			} else {
				t.Errorf("a slow caller got %d bytes, error %v", n, err)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	most, served, slowest := 0, 0, time.Duration(0)
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(10 * time.Millisecond):
		}
		held := h.requestPool.Held().Bytes()
		most = max(most, held["answer"]+held["copy"]+held["events"])
		if g := sendRequest(url, idempotentRoute, "quick", 2*time.Second); g.status != http.StatusOK || len(g.body) != 4<<10 {
			t.Errorf("another caller got %d, %d bytes", g.status, len(g.body))
		} else {
			served, slowest = served+1, max(slowest, g.elapsed)
		}
	}
	if slowest > 2*time.Second || served == 0 { // a lost first packet is sent again after 1 s
		t.Errorf("%d others served, the slowest in %v", served, slowest)
	}
	if most > bound {
		t.Errorf("%d bytes were held, the bound is %d", most, bound)
	}
	waitEnded(t, h, time.Second)
	t.Logf("%d of %d slow callers got all, at most %d bytes held (bound %d); %d others served in at most %v; %v", whole.Load(), callers, most, bound,
		served, slowest, h.requestPool.Held().Decisions())
}

// TestEndpointReadsBodySlowly guards against a body that is cut while its endpoint reads it slowly, against one account whose
// bodies take the memory of all, and against bodies that stay counted.
func TestEndpointReadsBodySlowly(t *testing.T) {
	const memoryMB, bodyBytes = 16, 1200 << 10 // 4 MB for bodies, 2 MB for one account
	read := make(chan struct{})
	var taken atomic.Int64
	address, stop, err := testbed.Serve(func(c net.Conn) {
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		<-read
		buf := make([]byte, 64<<10)
		for err == nil {
			time.Sleep(30 * time.Millisecond)
			var n int
			n, err = io.ReadFull(req.Body, buf)
			taken.Add(int64(n))
		}
		io.WriteString(c, wholeAnswer(req.Header.Get("X-Id"), "ok"))
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	h, url := newSlowReadHost(t, memoryMB, &scriptedServer{address: address})
	send := func(account string) (int, error) {
		req, err := http.NewRequest("POST", url+nonIdempotentRoute, strings.NewReader(strings.Repeat("b", bodyBytes)))
		if err != nil {
			return 0, err
		}
		req.Header.Set("X-Id", "r"+account)
		req.Header.Set("X-Account", account)
		req.Header.Set("X-Deadline", "20000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, err
		}
		resp.Body.Close()
		return resp.StatusCode, nil
	}
	var wg sync.WaitGroup
	for _, account := range []string{"a", "b"} {
		wg.Go(func() {
			if status, err := send(account); status != http.StatusOK || err != nil {
				t.Errorf("account %s: status %d, %v", account, status, err)
			}
		})
	}
	for end := time.Now().Add(3 * time.Second); h.requestPool.Held().Bytes()["body"] < 2*bodyBytes && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	if n := h.requestPool.Held().Bytes()["body"]; n != 2*bodyBytes {
		t.Errorf("%d bytes of bodies are counted", n)
	}
	if status, err := send("a"); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("second body of an account beyond its bound: status %d, %v", status, err)
	}
	close(read)
	wg.Wait()
	if taken.Load() != 2*bodyBytes {
		t.Errorf("the endpoint got %d bytes", taken.Load())
	}
	waitEnded(t, h, time.Second)
}

// TestEndlessEventIsBounded guards against endpoints that send events without an end to many requests at once: each stream
// holds at most the bound of one connection, and all together the host's.
func TestEndlessEventIsBounded(t *testing.T) {
	const memoryMB, callers = 64, 40
	s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
		return writeEndlessly(w, fmt.Sprintf("%s%s\r\n\r\ndata: ", answerHead, id), "y")
	})
	h, url := newSlowReadHost(t, memoryMB, s)
	for range callers {
		openRequest(t, url, streamRoute, "", 4*time.Second)
	}
	limits, most := upstream.LimitsFor(upstream.HeldEvents, memoryMB<<20), 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if most = max(most, h.requestPool.Held().Bytes()["events"]); h.front.inFlight.Load() == 0 && most > 0 {
			break
		}
	}
	if bound := int(limits.Host) + callers*initialEventBuffer; most > bound {
		t.Errorf("%d bytes were held, the bound is %d", most, bound)
	}
	waitEnded(t, h, time.Second)
	t.Logf("at most %d bytes held of %d", most, limits.Host)
}
