package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/upstream"
)

// testCodec is a Codec that reads and writes a few X- headers. Like the platform's, it passes on the headers of answers without their
// length, so that a cut answer is not saved by it.
type testCodec struct{ Codec }

func (testCodec) Request(h http.Header, q *fleet.Request) {
	q.ID, q.Header = h.Get("X-Id"), h
	q.Model, q.Adapter, _ = strings.Cut(h.Get("X-Model"), "/")
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		q.Deadline = q.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
}

func (testCodec) Outgoing(q *fleet.Request, e *fleet.Endpoint, _ time.Duration, after string) *upstream.Request {
	return &upstream.Request{Address: e.Address, Method: q.Method, Target: q.Target, Body: q.Body, Header: http.Header{"X-Id": {q.ID}, "X-After": {after}}}
}

func (testCodec) Answer(_ int, h http.Header) fleet.Answer {
	return fleet.Answer{RequestID: h.Get("X-Id"), Sealed: h.Get("X-Seal") != "", NotRun: h.Get("X-Not-Run") != ""}
}

func (testCodec) PassOn(h http.Header) { h.Del("Content-Length") }

func (testCodec) OwnAnswer(http.Header, string, time.Duration) {}

func (testCodec) KeyHint(http.Header, int) string { return "the request has no valid key" }

// scriptedServer is a server whose test writes the raw bytes of its answers.
type scriptedServer struct {
	address  string
	requests atomic.Int64  // received
	written  atomic.Int64  // bytes of answers
	closed   chan struct{} // receives a value when a write fails because the client closed the connection
}

// newScriptedServer starts a server that calls answer for each request, with the count n of requests on all connections,
// starting at 1. It closes a connection when answer returns false.
func newScriptedServer(t *testing.T, answer func(n int64, id string, w io.Writer) bool) *scriptedServer {
	t.Helper()
	s := &scriptedServer{closed: make(chan struct{}, 16)}
	address, end, err := testbed.Serve(func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil || !answer(s.requests.Add(1), req.Header.Get("X-Id"), &countingWriter{c, s}) {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	s.address = address
	return s
}

// countingWriter counts the bytes that a server writes, and signals a failed write.
type countingWriter struct {
	net.Conn
	s *scriptedServer
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.s.written.Add(int64(n))
	if err != nil {
		select {
		case w.s.closed <- struct{}{}:
		default:
		}
	}
	return n, err
}

// answerHead begins an answer up to the value of its X-Id header.
const answerHead = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: "

func wholeAnswer(id, body string) string {
	return fmt.Sprintf("%s%s\r\nContent-Length: %d\r\nKeep-Alive: timeout=9\r\n\r\n%s", answerHead, id, len(body), body)
}

// Rate of writeEndlessly. Without a limit, the servers of several cases at a time take all of the processor from the host
// under test, whose process was then seen to stand still for up to 2 s beside other programs.
const (
	endlessWriteBytes    = 64 << 10
	endlessWriteInterval = 3 * time.Millisecond // 15 MB in the deadline of a request
)

// writeEndlessly writes begin and then again, repeated until the client closes the connection.
func writeEndlessly(w io.Writer, begin, again string) bool {
	io.WriteString(w, begin)
	again = strings.Repeat(again, 1+endlessWriteBytes/len(again))
	for {
		if _, err := io.WriteString(w, again); err != nil {
			return false
		}
		time.Sleep(endlessWriteInterval)
	}
}

const (
	nonIdempotentRoute = "/once/"
	idempotentRoute    = "/again/"
	streamRoute        = "/stream/"
	resumeRoute        = "/resume/"
)

// newScriptedHost starts a host with a route of each kind to the given servers and without a dispatcher, and returns the host
// and its URL.
func newScriptedHost(t *testing.T, servers ...*scriptedServer) (*Host, string) {
	t.Helper()
	h := New(Options{Deployment: fleet.Deployment{Host: "h0", RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second}, Codec: testCodec{},
		Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.retries.state = sched.NewHostRetries(clock.Boot() - h.deployment().RetryWindow) // its share of the extra retries is free
	to := []fleet.WeightedService{{Service: "s", Weight: 1}}
	route := func(prefix string, kind fleet.Kind, resumable bool) fleet.Route {
		return fleet.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, TargetLatency: 100 * time.Millisecond, MaxPause: 100 * time.Millisecond,
			Services: to, MaxAttempts: 2, Resumable: resumable,
		}
	}
	c := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"s": {Name: "s"}}, Routes: []fleet.Route{
		route(nonIdempotentRoute, fleet.NonIdempotent, false), route(idempotentRoute, fleet.Idempotent, false),
		route(streamRoute, fleet.Stream, false), route(resumeRoute, fleet.Stream, true),
	}}
	c.Index()
	v := &fleet.View{Config: c, EndpointsListed: true}
	for i, s := range servers {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: s.address, Slots: 8})
	}
	h.directory.currentView.Store(v)
	srv := httptest.NewServer(http.HandlerFunc(h.front.serve))
	t.Cleanup(srv.Close)
	return h, srv.URL
}

// processorWait returns for each thread of this process how long it has waited for a processor since it was created. Threads
// that use all processors don't wait, so a host that is busy for too long itself does not show here.
func processorWait(t *testing.T) map[string]time.Duration {
	files, err := filepath.Glob("/proc/self/task/*/schedstat")
	if err != nil {
		t.Fatal(err)
	}
	out := make(map[string]time.Duration)
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(b), &ran, &waited); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		out[name] = time.Duration(waited)
	}
	return out
}

// longestWait returns the longest time that one thread has waited for a processor since an earlier call of processorWait.
func longestWait(before, now map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for name, waited := range now {
		longest = max(longest, waited-before[name])
	}
	return longest
}

// callerResult is what a caller got for a request.
type callerResult struct {
	status  int // 0 without an answer
	body    string
	whole   bool // the body was complete
	elapsed time.Duration
}

func sendRequest(url, path, id string, deadline time.Duration) callerResult {
	return sendModelRequest(url, path, id, "", deadline)
}

// sendModelRequest sends a request for a model, or for a plain service if model is empty.
func sendModelRequest(url, path, id, model string, deadline time.Duration) (g callerResult) {
	start := time.Now()
	defer func() { g.elapsed = time.Since(start) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", url+path, nil)
	if err != nil {
		panic(err) // the path is a constant
	}
	req.Header.Set("X-Id", id)
	if model != "" {
		req.Header.Set("X-Model", model)
	}
	if deadline > 0 {
		req.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return g
	}
	defer resp.Body.Close()
	const maxBody = 1 << 20
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return callerResult{status: resp.StatusCode, body: string(body), whole: err == nil}
}

// TestSecondAnswerLate guards against passing an answer on to the wrong caller: a server sends the answer to the previous
// request again on a reused connection.
func TestSecondAnswerLate(t *testing.T) {
	previous := ""
	s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		if n == 2 {
			io.WriteString(w, previous) // the previous answer again, instead of the next one
			time.Sleep(20 * time.Millisecond)
		}
		previous = wholeAnswer(id, "for "+id)
		_, err := io.WriteString(w, previous)
		return err == nil
	})
	_, url := newScriptedHost(t, s)
	for i := range 4 {
		for _, path := range []string{nonIdempotentRoute, idempotentRoute} {
			id := fmt.Sprint(path, i)
			if g := sendRequest(url, path, id, time.Second); g.status == http.StatusOK && g.body != "for "+id {
				t.Errorf("request %s got %q", id, g.body)
			}
		}
	}
}

// TestEndlessBytes guards against a server that sends bytes without end that are no complete answer. The caller has to get its
// final answer by its deadline, the connection to the server has to be closed, and headers and events must not fill the
// memory.
func TestEndlessBytes(t *testing.T) {
	const deadline, slack = 700 * time.Millisecond, 500 * time.Millisecond
	const maxUnread = 8 << 20 // bytes that may be in sockets and buffers
	cases := []struct {
		name, begin, again string
		sizeLimited        bool // the bytes read are limited, not only the time
	}{
		{"head without a line", "HTTP/1.1 200 OK\r\nX: ", "y", true},
		{"head of lines", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n", true},
		{"status line", "HTTP/1.1 2", "0", true},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"no HTTP at all", "", "\x00\x01", true},
		{"chunk size", answerHead + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "1", true},
		{"body without a length", answerHead + "%s\r\n\r\n", "x", false},
		{"chunks", answerHead + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", false},
		{"comments", answerHead + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\n:\n\n\r\n", false},
		{"trailer", answerHead + "%s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
	}
	for _, c := range cases {
		for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
					begin := c.begin
					if strings.Contains(begin, "%s") {
						begin = fmt.Sprintf(begin, id)
					}
					return writeEndlessly(w, begin, c.again)
				})
				h, url := newScriptedHost(t, s)
				before := processorWait(t)
				g := sendRequest(url, path, "r", deadline)
				if waited := longestWait(before, processorWait(t)); g.elapsed-waited > deadline+slack {
					t.Errorf("answered after %v, in which a thread waited %v for a processor", g.elapsed, waited)
				}
				if g.status == http.StatusOK && g.whole {
					t.Errorf("status %d, %d bytes, as if complete", g.status, len(g.body))
				}
				if s.requests.Load() > 1 && path == nonIdempotentRoute || s.requests.Load() > 2 {
					t.Errorf("sent %d times", s.requests.Load())
				}
				if g.status == http.StatusServiceUnavailable {
					t.Errorf("the answer states that the request did not run")
				}
				select {
				case <-s.closed:
				case <-time.After(2 * time.Second):
					t.Error("the connection to the server was not closed")
				}
				if n := s.written.Load(); c.sizeLimited && n > maxUnread {
					t.Errorf("%d bytes read", n)
				}
				if n := h.front.inFlight.Load(); n != 0 {
					t.Errorf("%d requests still in progress", n)
				}
			})
		}
	}
}

// TestEndlessRefusal guards against a refusal whose body does not end and that is waited out until the deadline, or kept: the head says
// that the request has not run, so another endpoint can have it at once.
func TestEndlessRefusal(t *testing.T) {
	const deadline, soon = 3 * time.Second, time.Second
	const maxUnread = 8 << 20 // bytes that may be in sockets and buffers
	for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
		for _, slowly := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " slowly ", slowly), func(t *testing.T) {
				t.Parallel()
				s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
					fmt.Fprintf(w, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: %s\r\n\r\n", id)
					if !slowly {
						return writeEndlessly(w, "", "x")
					}
					for {
						if _, err := io.WriteString(w, "x"); err != nil {
							return false
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
				_, url := newScriptedHost(t, s)
				if g := sendRequest(url, path, "r", deadline); g.status != http.StatusServiceUnavailable || g.elapsed > soon {
					t.Errorf("status %d after %v", g.status, g.elapsed)
				}
				if n := s.written.Load(); n > maxUnread {
					t.Errorf("%d bytes read", n)
				}
			})
		}
	}
}

// TestSlowStreams guards against cutting slow streams whose events arrive within their callers' patience, and against stalled
// streams that never end because a byte arrives now and then.
func TestSlowStreams(t *testing.T) {
	const patience = 2 * time.Second // of the routes of newScriptedHost
	const events = 3
	slow := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, answerHead+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			time.Sleep(patience * 4 / 5)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	stalled := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		event := "id: 1\ndata: x\n\n"
		fmt.Fprintf(w, "%s%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", answerHead, id, len(event), event)
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(w, "3\r\n:\n\n\r\n"); err != nil {
				return false
			}
		}
	})
	trickle := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, answerHead+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(w, "1\r\nx\r\n"); err != nil {
				return false
			}
		}
	})
	var wg sync.WaitGroup
	for _, path := range []string{streamRoute, resumeRoute} {
		wg.Go(func() {
			_, url := newScriptedHost(t, slow)
			if g := sendRequest(url, path, "slow", 20*time.Second); g.status != http.StatusOK || !g.whole || strings.Count(g.body, "id:") != events {
				t.Errorf("%s: a slow stream with pauses of %v: status %d, whole %v, %q after %v", path, patience*4/5, g.status, g.whole, g.body, g.elapsed)
			}
		})
		for name, s := range map[string]*scriptedServer{"comments": stalled, "single bytes": trickle} {
			wg.Go(func() {
				_, url := newScriptedHost(t, s)
				const slack = 2 * time.Second // for a second attempt where one is allowed
				if g := sendRequest(url, path, "stalled", 20*time.Second); g.status == http.StatusOK && g.whole || g.elapsed > 2*patience+slack {
					t.Errorf("%s: a stalled stream of %s: status %d, whole %v after %v", path, name, g.status, g.whole, g.elapsed)
				}
			})
		}
	}
	wg.Wait()
}

// TestAnswerLost guards against running a request again that must not be repeated after its answer was lost, and against
// telling the caller that the request did not run.
func TestAnswerLost(t *testing.T) {
	for _, c := range []struct {
		path string
		runs int64
	}{{nonIdempotentRoute, 1}, {streamRoute, 1}, {idempotentRoute, 2}, {resumeRoute, 2}} {
		s := newScriptedServer(t, func(int64, string, io.Writer) bool { return false })
		other := newScriptedServer(t, func(int64, string, io.Writer) bool { return false })
		_, url := newScriptedHost(t, s, other)
		g := sendRequest(url, c.path, "r", time.Second)
		if n := s.requests.Load() + other.requests.Load(); n != c.runs {
			t.Errorf("%s ran %d times, want %d", c.path, n, c.runs)
		}
		if g.status == http.StatusServiceUnavailable || g.status == http.StatusTooManyRequests || g.status == http.StatusOK {
			t.Errorf("%s: status %d", c.path, g.status)
		}
	}
}

// TestSilentForAWhile guards against restarting or cancelling a request in progress because its endpoint is missing from the
// list of endpoints. The endpoint is only slow to report.
func TestSilentForAWhile(t *testing.T) {
	const events = 12
	s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, answerHead+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(50 * time.Millisecond)
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	other := newScriptedServer(t, func(int64, string, io.Writer) bool { return false })
	for _, path := range []string{streamRoute, resumeRoute} {
		h, url := newScriptedHost(t, s)
		before := s.requests.Load()
		time.AfterFunc(150*time.Millisecond, func() {
			v := *h.directory.view()
			v.Endpoints = []fleet.Endpoint{{ID: "other", Service: "s", Address: other.address, Slots: 8}}
			h.directory.currentView.Store(&v)
			h.binder.triggerCheck()
		})
		if g := sendRequest(url, path, "r", 5*time.Second); g.status != http.StatusOK || !g.whole || strings.Count(g.body, "id:") != events {
			t.Errorf("%s: status %d, whole %v: %q", path, g.status, g.whole, g.body)
		}
		if n := s.requests.Load() - before + other.requests.Load(); n != 1 {
			t.Errorf("%s: ran %d times", path, n)
		}
	}
}

// refused is the answer of a server that refuses a request and states that it did not run. The server names no request if id is
// empty.
func refused(status int, id string) string {
	header := ""
	if id != "" {
		header = "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%sX-Not-Run: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=9\r\n\r\n", status, header)
}

// TestRepeatedRefusal guards against a server that writes an earlier refusal once more on a kept connection, where the answer to
// the next request is due: the caller was told that a request had not run that the server ran (REFUSED), or it ran at a second
// server (TWICE).
func TestRepeatedRefusal(t *testing.T) {
	for name, earlier := range map[string]string{"names the request": "r0", "names none": ""} {
		for _, path := range []string{nonIdempotentRoute, streamRoute} {
			t.Run(name+path, func(t *testing.T) {
				var mu sync.Mutex
				runs := make(map[string]int)
				run := func(id string, w io.Writer) bool {
					mu.Lock()
					runs[id]++
					mu.Unlock()
					_, err := io.WriteString(w, wholeAnswer(id, "id: 1\ndata: for "+id+"\n\n"))
					return err == nil
				}
				faulty := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
					io.WriteString(w, refused(http.StatusServiceUnavailable, earlier))
					if n == 1 {
						return true
					}
					time.Sleep(20 * time.Millisecond)
					return run(id, w)
				})
				h, url := newScriptedHost(t, faulty)
				if g := sendRequest(url, path, "r0", time.Second); g.status != http.StatusServiceUnavailable {
					t.Fatalf("the refused request got %d", g.status)
				}
				other := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool { return run(id, w) })
				v := *h.directory.view()
				v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: "other", Service: "s", Address: other.address, Slots: 1})
				h.directory.currentView.Store(&v)
				h.binder.mu.Lock()
				h.binder.avoidUntil["other"] = time.Now().Add(time.Minute) // so that the faulty server comes first
				h.binder.mu.Unlock()
				g := sendRequest(url, path, "r1", time.Second)
				time.Sleep(50 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if faulty.requests.Load() != 2 {
					t.Fatalf("the faulty server got %d requests", faulty.requests.Load())
				}
				if runs["r1"] > 1 {
					t.Errorf("the request ran %d times", runs["r1"])
				}
				if runs["r1"] > 0 && (g.status == http.StatusServiceUnavailable || g.status == http.StatusTooManyRequests) {
					t.Errorf("status %d for a request that ran", g.status)
				}
			})
		}
	}
}

// TestRefusedConnectionNotReused guards against the same fault where the same request is sent again to the server that refused it:
// an earlier refusal of it can't be told from a later one, so that it must not come on the same connection.
func TestRefusedConnectionNotReused(t *testing.T) {
	for status, reused := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusMisdirectedRequest: false, http.StatusTooManyRequests: true} {
		s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
			_, err := io.WriteString(w, refused(status, id))
			return err == nil
		})
		h, _ := newScriptedHost(t, s)
		e := &h.directory.view().Endpoints[0]
		x := &exchange{f: h.front, q: &fleet.Request{ID: "r", Method: "GET", Target: "/", Model: "m", Adapter: "a"}, lastBinding: &binding{adapterOrdered: true}}
		resp, err := h.requestPool.RoundTrip(t.Context(), testCodec{}.Outgoing(x.q, e, 0, ""))
		if err != nil {
			t.Fatal(err)
		}
		a := testCodec{}.Answer(resp.StatusCode, resp.Header)
		x.handleNotRun(e, resp, &a)
		if got := h.requestPool.IdleAddresses(time.Now())[s.address]; got != reused {
			t.Errorf("status %d: connection reused: %v", status, got)
		}
	}
}

// TestErrorAfterBrokenStream guards against the answer of the next server in the middle of a stream that had begun and broke off,
// and against the end of such a stream as if it were complete (ORDER, MIXED): the next server answers with an error, refuses,
// redirects, sends something else than events, or starts over. A success without an event is no such answer, since the stream may
// have broken off after its last one.
func TestErrorAfterBrokenStream(t *testing.T) {
	const begun = "id: 1\ndata: x\n\n"
	answer := func(status, header, body string) func(id string) string {
		return func(id string) string {
			return fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\n%sContent-Length: %d\r\nKeep-Alive: timeout=9\r\n\r\n%s", status, id, header, len(body), body)
		}
	}
	const sealed, events = "X-Seal: s\r\n", "Content-Type: text/event-stream\r\n"
	for name, next := range map[string]func(id string) string{
		"error":                     answer("500 Internal Server Error", sealed, "the error's text"),
		"error as an event":         answer("500 Internal Server Error", sealed+events, "id: 2\ndata: error\n\n"),
		"error without an id":       func(string) string { return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 5\r\n\r\nerror" },
		"refusal":                   answer("503 Full", "X-Not-Run: 1\r\n", ""),
		"not found":                 answer("404 Not Found", sealed, "nothing here"),
		"bad request":               answer("400 Bad Request", "X-Not-Run: 1\r\n", "no"),
		"redirect":                  answer("302 Found", "Location: /elsewhere\r\n", "elsewhere"),
		"unsealed success":          answer("200 OK", events, "id: 2\ndata: y\n\n"),
		"no content":                func(id string) string { return "HTTP/1.1 204 No Content\r\nX-Id: " + id + "\r\n" + sealed + "\r\n" },
		"success that is no stream": answer("200 OK", sealed+"Content-Type: text/plain\r\n", "some text"),
		"starts over":               answer("200 OK", sealed+events, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"),
		"error's head":              func(string) string { return "HTTP/1.1 500 Internal Server Error\r\n" },
		"no HTTP":                   func(string) string { return "error\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := true
			var mu sync.Mutex
			serve := func(_ int64, id string, w io.Writer) bool {
				mu.Lock()
				defer mu.Unlock()
				if first {
					first = false
					fmt.Fprintf(w, "%s%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", answerHead, id, len(begun), begun)
					time.Sleep(50 * time.Millisecond)
					return false
				}
				io.WriteString(w, next(id))
				return false
			}
			_, url := newScriptedHost(t, newScriptedServer(t, serve), newScriptedServer(t, serve))
			g := sendRequest(url, resumeRoute, "r", time.Second)
			if g.whole {
				t.Errorf("status %d, %q, as if complete", g.status, g.body)
			}
			if g.status == http.StatusOK && g.body != begun {
				t.Errorf("body %q", g.body)
			}
		})
	}
}
