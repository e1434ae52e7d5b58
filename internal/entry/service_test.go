package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

func service(addrs ...string) config.Declarations {
	s := config.Service{Name: "registry", Timeout: 2 * time.Second, Calls: []config.Call{
		{Method: "POST", Path: "/lookup/*", Idempotent: true}, {Method: "PUT", Path: "transfer/*", Idempotent: false},
	}}
	for i, a := range addrs {
		s.Endpoints = append(s.Endpoints, config.ServiceEndpoint{Name: fmt.Sprint("s", i+1), Address: a})
	}
	return config.Declarations{Services: []config.Service{s}}
}

// TestIdempotentCalls guards against a call that is repeated although its declaration or RFC 9110 forbids it.
func TestIdempotentCalls(t *testing.T) {
	d := service()
	for _, c := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/x", true}, {"HEAD", "/x", true}, {"OPTIONS", "/x", true}, {"PUT", "/x", true}, {"DELETE", "/x", true},
		{"POST", "/x", false}, {"PATCH", "/x", false}, {"TRACE", "/x", false},
		{"POST", "/lookup/7", true}, {"POST", "/lookup/7/8", false}, {"PUT", "/transfer/7", false}, {"PUT", "/./transfer//7/", false},
	} {
		if got := isIdempotent(&d.Services[0], c.method, c.path); got != c.want {
			t.Errorf("%s %s: %v, want %v", c.method, c.path, got, c.want)
		}
	}
}

// executions counts requests by id.
type executions struct {
	mu sync.Mutex
	n  map[string]int
}

func (e *executions) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n[id]++
}

func (e *executions) of(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.n[id]
}

// TestNoSecondSend guards against a second send on a kept connection that the endpoint closes after it has executed
// the second request. net/http sends GET, and with an Idempotency-Key every method, twice in this case.
func TestNoSecondSend(t *testing.T) {
	ex := &executions{n: make(map[string]int)}
	addr := rawEndpoint(t, func(conn net.Conn, r *http.Request, nth int) {
		ex.add(r.Header.Get("X-Request-Id"))
		if nth > 1 || r.Header.Get("X-Cut") != "" {
			conn.Close()
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	b := newBed(t, Options{}, nil, service(addr))
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"} {
		for _, key := range []string{"", "key"} {
			name := method + "-" + key
			path := "/svc/registry/x"
			b.do(method, path, "body", "X-Request-Id", name+"-warm", "Idempotency-Key", key)
			resp := b.do(method, path, "body", "X-Request-Id", name, "Idempotency-Key", key, "X-Cut", "1")
			if isIdempotent(&config.Service{}, method, "/x") {
				continue
			}
			if n := ex.of(name); n != 1 {
				t.Errorf("%s: executed %d times, want 1", name, n)
			}
			if p := readProblem(t, resp); p.Executed != attempt.ExecutedUnknown || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%s: %+v, want unknown", name, p)
			}
		}
	}
	resp := b.do("PUT", "/svc/registry/transfer/1", "body", "X-Request-Id", "declared", "X-Cut", "1")
	if p := readProblem(t, resp); p.Executed != attempt.ExecutedUnknown || ex.of("declared") != 1 {
		t.Errorf("PUT declared as not idempotent: %+v, executed %d times", p, ex.of("declared"))
	}
}

// TestServiceRetry guards against an idempotent call that fails with one endpoint, a call that is not idempotent and
// was not sent but is given up, and work for a leaving endpoint.
func TestServiceRetry(t *testing.T) {
	ex := &executions{n: make(map[string]int)}
	broken := rawEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) { conn.Close() })
	good := rawEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		ex.add(r.Header.Get("X-Request-Id"))
		if r.Header.Get("Authorization") != "" || r.Header.Get("X-Hop") != "" || r.RequestURI != "/a%20b?q=1" {
			ex.add("leaked")
		}
		io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\nX-Own: 1\r\n\r\nok")
	})
	closed := "127.0.0.1:1" // nothing listens on this port
	for _, c := range []struct {
		method string
		addrs  []string
	}{{"GET", []string{broken, good}}, {"POST", []string{closed, good}}} {
		b := newBed(t, Options{}, nil, service(c.addrs...))
		for i := range 4 {
			id := fmt.Sprint(c.method, i)
			resp := b.do(c.method, "/svc/registry/a%20b?q=1", "x", "X-Request-Id", id, "Connection", "X-Hop", "X-Hop", "1")
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusCreated || string(body) != "ok" || resp.Header.Get("Keep-Alive") != "" || resp.Header.Get("X-Own") != "1" || ex.of(id) != 1 {
				t.Errorf("%s: status %d body %q headers %v, executed %d times", id, resp.StatusCode, body, resp.Header, ex.of(id))
			}
		}
	}
	if ex.of("leaked") > 0 {
		t.Error("the API key, a hop-by-hop header or a changed path reached the service")
	}
	d := service(good)
	d.Services[0].Endpoints[0].Leaving = true
	b := newBed(t, Options{}, nil, d)
	if p := readProblem(t, b.do("GET", "/svc/registry/x", "")); p.Executed != attempt.ExecutedNo || p.RetryAfterMs == 0 {
		t.Errorf("only a leaving endpoint: %+v, want not run", p)
	}
}

// TestMisdirectedAnswer guards against a caller that gets the answer to another request.
func TestMisdirectedAnswer(t *testing.T) {
	wrong := rawEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Request-Id: other\r\n\r\nsecret")
	})
	b := newBed(t, Options{}, nil, service(wrong))
	for _, method := range []string{"GET", "POST"} {
		if p := readProblem(t, b.do(method, "/svc/registry/x", "x")); p.Status != 502 || p.Executed != attempt.ExecutedUnknown {
			t.Errorf("%s: %+v, want 502 and unknown", method, p)
		}
	}
}

// TestKeyed guards against a keyed call that runs without a claim, or whose end is not recorded.
func TestKeyed(t *testing.T) {
	ex := &executions{n: make(map[string]int)}
	addr := rawEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		ex.add("any")
		io.WriteString(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
	})
	b := newBed(t, Options{}, nil, service(addr))
	fake := b.e.claims.(*fakeClaims)
	for _, c := range []struct {
		reply    wire.ClaimReply
		status   int
		executed string
	}{
		{wire.ClaimReply{State: wire.ClaimTaken, Outcome: uint8(attempt.Answered), Status: 202}, 409, "yes"},
		{wire.ClaimReply{State: wire.ClaimTaken}, 409, "unknown"},
		{wire.ClaimReply{State: wire.ClaimMismatch}, 422, "no"},
		{wire.ClaimReply{State: wire.ClaimUnavailable, RetryAfterMs: 1}, 503, "no"},
	} {
		fake.reply.Store(&c.reply)
		p := readProblem(t, b.do("POST", "/svc/registry/x", "x", "Idempotency-Key", "k"))
		if p.Status != c.status || p.Executed != c.executed || p.RecordedStatus != c.reply.Status || ex.of("any") != 0 {
			t.Errorf("%+v: %+v, executed %d times", c.reply, p, ex.of("any"))
		}
	}
	fake.reply.Store(&wire.ClaimReply{State: wire.ClaimGranted})
	if resp := b.do("POST", "/svc/registry/x", "x", "Idempotency-Key", "k"); resp.StatusCode != 202 {
		t.Errorf("granted: status %d, want 202", resp.StatusCode)
	}
	if r := <-fake.results; attempt.Outcome(r.Outcome) != attempt.Answered || r.Status != 202 {
		t.Errorf("recorded %+v", r)
	}
}
