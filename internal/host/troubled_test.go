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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/upstream"
)

// plainCodec passes requests and answers on with headers of its own.
type plainCodec struct{ Codec }

func (plainCodec) Request(h http.Header, q *fleet.Request) {
	q.ID, q.Header, q.Model = h.Get("X-Id"), h, h.Get("X-Model")
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		q.Deadline = q.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
}

func (plainCodec) Outgoing(q *fleet.Request, e *fleet.Endpoint, _ time.Duration, after string) *upstream.Request {
	return &upstream.Request{Address: e.Address, Method: q.Method, Target: q.Target, Header: http.Header{"X-Id": {q.ID}, "X-After": {after}}}
}

func (plainCodec) Answer(_ int, h http.Header) fleet.Answer {
	return fleet.Answer{RequestID: h.Get("X-Id"), Sealed: h.Get("X-Seal") != "", NotRun: h.Get("X-Not-Run") != ""}
}

func (plainCodec) PassOn(http.Header) {}

func (plainCodec) OwnAnswer(http.Header, string, time.Duration) {}

// troubledServer is a server whose bytes a test writes itself.
type troubledServer struct {
	address string
	runs    atomic.Int64  // requests that were read
	written atomic.Int64  // bytes
	closed  chan struct{} // the latest connection has been closed by the other side
}

// newTroubledServer calls answer for each request. n counts the requests of all connections from 1. A connection ends when
// answer returns false.
func newTroubledServer(t *testing.T, answer func(n int64, id string, w io.Writer) bool) *troubledServer {
	t.Helper()
	s := &troubledServer{closed: make(chan struct{}, 16)}
	address, end, err := testbed.Serve(func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil || !answer(s.runs.Add(1), req.Header.Get("X-Id"), &countingWriter{c, s}) {
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

type countingWriter struct {
	net.Conn
	s *troubledServer
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

const head = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: "

func wholeAnswer(id, body string) string {
	return fmt.Sprintf("%s%s\r\nContent-Length: %d\r\nKeep-Alive: timeout=9\r\n\r\n%s", head, id, len(body), body)
}

// endless writes the same bytes until the other side closes.
func endless(w io.Writer, begin, again string) bool {
	io.WriteString(w, begin)
	again = strings.Repeat(again, 1+1024/len(again))
	for {
		if _, err := io.WriteString(w, again); err != nil {
			return false
		}
	}
}

const (
	onceRoute   = "/once/"
	againRoute  = "/again/"
	streamRoute = "/stream/"
	resumeRoute = "/resume/"
)

// troubledHost returns the address of a host that serves routes of all kinds by servers, without a dispatcher.
func troubledHost(t *testing.T, servers ...*troubledServer) (*Host, string) {
	t.Helper()
	h := New(Options{Deployment: fleet.Deployment{Host: "h0", RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second}, Codec: plainCodec{},
		Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	to := []fleet.WeightedService{{Service: "s", Weight: 1}}
	route := func(prefix string, kind fleet.Kind, resumable bool) fleet.Route {
		return fleet.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, TargetLatency: 100 * time.Millisecond, MaxPause: 100 * time.Millisecond,
			Services: to, MaxAttempts: 2, Resumable: resumable,
		}
	}
	c := &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"s": {Name: "s"}}, Routes: []fleet.Route{
		route(onceRoute, fleet.NonIdempotent, false), route(againRoute, fleet.Idempotent, false),
		route(streamRoute, fleet.Stream, false), route(resumeRoute, fleet.Stream, true),
	}}
	c.Index()
	v := &fleet.View{Config: c, EndpointsListed: true}
	for i, s := range servers {
		v.Endpoints = append(v.Endpoints, fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: s.address, Slots: 8})
	}
	h.directory.now.Store(v)
	srv := httptest.NewServer(http.HandlerFunc(h.front.serve))
	t.Cleanup(srv.Close)
	return h, srv.URL
}

type got struct {
	status int // 0 without an answer
	body   string
	whole  bool // the body ended as it should
	took   time.Duration
}

func ask(url, path, id string, deadline time.Duration) (g got) {
	begun := time.Now()
	defer func() { g.took = time.Since(begun) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline+3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", url+path, nil)
	if err != nil {
		panic(err) // the path is a constant
	}
	req.Header.Set("X-Id", id)
	if deadline > 0 {
		req.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return g
	}
	defer resp.Body.Close()
	const kept = 1 << 20
	body, err := io.ReadAll(io.LimitReader(resp.Body, kept))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return got{status: resp.StatusCode, body: string(body), whole: err == nil}
}

// TestSecondAnswerLate guards against an answer that another caller gets: a server sends it a second time on a connection
// that is in use again.
func TestSecondAnswerLate(t *testing.T) {
	first := ""
	s := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
		if n == 2 {
			io.WriteString(w, first) // the former answer once more, instead of the next one
			time.Sleep(20 * time.Millisecond)
		}
		first = wholeAnswer(id, "for "+id)
		_, err := io.WriteString(w, first)
		return err == nil
	})
	_, url := troubledHost(t, s)
	for i := range 4 {
		for _, path := range []string{onceRoute, againRoute} {
			id := fmt.Sprint(path, i)
			if g := ask(url, path, id, time.Second); g.status == http.StatusOK && g.body != "for "+id {
				t.Errorf("request %s got %q", id, g.body)
			}
		}
	}
}

// TestEndlessBytes guards against bytes that are no answer and come without end: the caller has to get its final answer by
// its deadline, the server's connection has to be closed, and heads and events must not fill the memory.
func TestEndlessBytes(t *testing.T) {
	const deadline, late = 700 * time.Millisecond, 500 * time.Millisecond
	const bounded = 8 << 20 // bytes that may be on the way in sockets and buffers
	cases := []struct {
		name, begin, again string
		bound              bool // the bytes taken are bounded by size, not by time only
	}{
		{"head without a line", "HTTP/1.1 200 OK\r\nX: ", "y", true},
		{"head of lines", "HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n", true},
		{"status line", "HTTP/1.1 2", "0", true},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", true},
		{"no HTTP at all", "", "\x00\x01", true},
		{"chunk size", head + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "1", true},
		{"body without a length", head + "%s\r\n\r\n", "x", false},
		{"chunks", head + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", false},
		{"comments", head + "%s\r\nTransfer-Encoding: chunked\r\n\r\n", "3\r\n:\n\n\r\n", false},
		{"trailer", head + "%s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
	}
	for _, c := range cases {
		for _, path := range []string{onceRoute, againRoute, streamRoute, resumeRoute} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				s := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
					begin := c.begin
					if strings.Contains(begin, "%s") {
						begin = fmt.Sprintf(begin, id)
					}
					return endless(w, begin, c.again)
				})
				h, url := troubledHost(t, s)
				g := ask(url, path, "r", deadline)
				if g.took > deadline+late {
					t.Errorf("answered after %v", g.took)
				}
				if g.status == http.StatusOK && g.whole {
					t.Errorf("status %d, %d bytes, as if whole", g.status, len(g.body))
				}
				if s.runs.Load() > 1 && path == onceRoute || s.runs.Load() > 2 {
					t.Errorf("sent %d times", s.runs.Load())
				}
				if g.status == http.StatusServiceUnavailable {
					t.Errorf("said not to have run")
				}
				select {
				case <-s.closed:
				case <-time.After(2 * time.Second):
					t.Error("the connection to the server stays open")
				}
				if n := s.written.Load(); c.bound && n > bounded {
					t.Errorf("%d bytes taken", n)
				}
				if n := h.front.inFlight.Load(); n != 0 {
					t.Errorf("%d requests still in progress", n)
				}
			})
		}
	}
}

// TestSlowStreams guards against streams that are cut although they go on within their callers' patience, and against
// stalled ones that never end because a byte comes now and then.
func TestSlowStreams(t *testing.T) {
	const patience = 2 * time.Second // of the routes of troubledHost
	const events = 3
	sound := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, head+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			time.Sleep(patience * 4 / 5)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	stalled := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
		event := "id: 1\ndata: x\n\n"
		fmt.Fprintf(w, "%s%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, id, len(event), event)
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(w, "3\r\n:\n\n\r\n"); err != nil {
				return false
			}
		}
	})
	trickle := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, head+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
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
			_, url := troubledHost(t, sound)
			if g := ask(url, path, "sound", 20*time.Second); g.status != http.StatusOK || !g.whole || strings.Count(g.body, "id:") != events {
				t.Errorf("%s: a sound stream with pauses of %v: status %d, whole %v, %q after %v", path, patience*4/5, g.status, g.whole, g.body, g.took)
			}
		})
		for name, s := range map[string]*troubledServer{"comments": stalled, "single bytes": trickle} {
			wg.Go(func() {
				_, url := troubledHost(t, s)
				const slack = 2 * time.Second // with a second attempt where that is allowed
				if g := ask(url, path, "stalled", 20*time.Second); g.status == http.StatusOK && g.whole || g.took > 2*patience+slack {
					t.Errorf("%s: a stalled stream of %s: status %d, whole %v after %v", path, name, g.status, g.whole, g.took)
				}
			})
		}
	}
	wg.Wait()
}

// TestAnswerLost guards against work that runs again after its answer was lost, and against a caller that is told that it
// has not run.
func TestAnswerLost(t *testing.T) {
	for _, c := range []struct {
		path string
		runs int64
	}{{onceRoute, 1}, {streamRoute, 1}, {againRoute, 2}, {resumeRoute, 2}} {
		s := newTroubledServer(t, func(int64, string, io.Writer) bool { return false })
		other := newTroubledServer(t, func(int64, string, io.Writer) bool { return false })
		_, url := troubledHost(t, s, other)
		g := ask(url, c.path, "r", time.Second)
		if n := s.runs.Load() + other.runs.Load(); n != c.runs {
			t.Errorf("%s ran %d times, want %d", c.path, n, c.runs)
		}
		if g.status == http.StatusServiceUnavailable || g.status == http.StatusTooManyRequests || g.status == http.StatusOK {
			t.Errorf("%s: status %d", c.path, g.status)
		}
	}
}

// TestSilentForAWhile guards against running work that is started again elsewhere or given up because the list no longer
// shows its server, which is only slow to report.
func TestSilentForAWhile(t *testing.T) {
	const events = 12
	s := newTroubledServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, head+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(50 * time.Millisecond)
		}
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	other := newTroubledServer(t, func(int64, string, io.Writer) bool { return false })
	for _, path := range []string{streamRoute, resumeRoute} {
		h, url := troubledHost(t, s)
		before := s.runs.Load()
		time.AfterFunc(150*time.Millisecond, func() {
			v := *h.directory.view()
			v.Endpoints = []fleet.Endpoint{{ID: "other", Service: "s", Address: other.address, Slots: 8}}
			h.directory.now.Store(&v)
			h.binder.viewChanged()
		})
		if g := ask(url, path, "r", 5*time.Second); g.status != http.StatusOK || !g.whole || strings.Count(g.body, "id:") != events {
			t.Errorf("%s: status %d, whole %v: %q", path, g.status, g.whole, g.body)
		}
		if n := s.runs.Load() - before + other.runs.Load(); n != 1 {
			t.Errorf("%s: ran %d times", path, n)
		}
	}
}
