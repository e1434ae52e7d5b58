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
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
)

// keyCodec is a testCodec whose callers send keys.
type keyCodec struct{ testCodec }

func (c keyCodec) Request(h http.Header, q *fleet.Request) {
	c.testCodec.Request(h, q)
	q.Keys = h["X-Key"]
}

func (keyCodec) KeyHint(_ http.Header, sent int) string { return fmt.Sprint("send a key, not ", sent) }

// setAccounts puts a configuration with accounts in force: the name of each account is that of its key in upper case. The
// route for requests that run once is public.
func setAccounts(h *Host, keys ...string) {
	v := *h.directory.view()
	c := *v.Config
	c.Accounts = fleet.NewAccounts()
	for _, k := range keys {
		c.Accounts.Add(fleet.Account{Name: strings.ToUpper(k)}, []string{k})
	}
	c.Routes = append([]fleet.Route(nil), c.Routes...)
	for i := range c.Routes {
		c.Routes[i].Public = c.Routes[i].Prefix == nonIdempotentRoute
	}
	c.Index()
	v.Config = &c
	h.directory.currentView.Store(&v)
}

// newKeyHost returns a host with accounts, its server, and a function that sends a request on a kept connection.
func newKeyHost(t *testing.T) (h *Host, s *scriptedServer, c net.Conn, do func(request string) (status int, body string, closed bool)) {
	s = newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
		io.WriteString(w, wholeAnswer(id, "ok"))
		return true
	})
	h, url := newScriptedHost(t, s)
	h.opts.Codec = keyCodec{}
	setAccounts(h, "k1", "k2")
	c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	r := bufio.NewReader(c)
	return h, s, c, func(request string) (int, string, bool) {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(c, request)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body), resp.Close
	}
}

// TestKeyRequired guards against requests that run without a valid key, against a key that stays valid on an open connection
// after its removal, and against a rejection that ends the connection without need.
func TestKeyRequired(t *testing.T) {
	h, s, _, do := newKeyHost(t)
	get := func(route string, keys ...string) int {
		text := "GET " + route + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Deadline: 4000\r\n"
		for _, k := range keys {
			text += "X-Key: " + k + "\r\n"
		}
		status, body, closed := do(text + "\r\n")
		if closed {
			t.Errorf("keys %q at %s: the connection was closed", keys, route)
		}
		if status == http.StatusUnauthorized && body != fmt.Sprintf("send a key, not %d\n", len(keys)) {
			t.Errorf("keys %q: body %q", keys, body)
		}
		return status
	}
	for _, keys := range [][]string{nil, {""}, {"k"}, {"K1"}, {"k1, k1"}, {"k1", "k1"}, {"k1", "x"}} {
		if status := get(idempotentRoute, keys...); status != http.StatusUnauthorized {
			t.Errorf("keys %q: status %d", keys, status)
		}
	}
	if n := s.requests.Load(); n != 0 {
		t.Errorf("%d rejected requests ran", n)
	}
	for _, keys := range [][]string{nil, {"x"}, {"k1", "k1"}, {"k1"}} {
		if status := get(nonIdempotentRoute, keys...); status != http.StatusOK {
			t.Errorf("keys %q at a public route: status %d", keys, status)
		}
	}
	for _, k := range []string{"k1", "k2"} {
		if status := get(idempotentRoute, k); status != http.StatusOK {
			t.Errorf("key %s: status %d", k, status)
		}
	}
	setAccounts(h, "k1", "k3")
	for k, want := range map[string]int{"k1": 200, "k2": 401, "k3": 200} {
		if status := get(idempotentRoute, k); status != want {
			t.Errorf("key %s after the change: status %d, want %d", k, status, want)
		}
	}
	for _, c := range h.front.accountCounts.requests() {
		if want := map[string]uint64{"K1": 3, "K2": 1, "K3": 1}[c.Attributes["account"]]; c.Count != want || c.Attributes["outcome"] != "served" {
			t.Errorf("counts: %v, want %d", c, want)
		}
	}
}

// TestKeyRejectedBeforeBody guards against a rejection that waits for the body of the request, which net/http reads before it
// responds, and against a slow body that takes up one of the requests in progress.
func TestKeyRejectedBeforeBody(t *testing.T) {
	h, _, c, do := newKeyHost(t)
	begin := time.Now()
	status, _, closed := do("POST " + idempotentRoute + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nContent-Length: 100000\r\n\r\npart")
	if took := time.Since(begin); status != http.StatusUnauthorized || !closed || took > unreadBodyTime/2 {
		t.Errorf("status %d, connection closed %v, after %v", status, closed, took)
	}
	for h.front.inFlight.Load() > 0 && time.Since(begin) < unreadBodyTime/2 {
		time.Sleep(time.Millisecond)
	}
	if n := h.front.inFlight.Load(); n != 0 {
		t.Errorf("%d requests in progress after the response", n)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("end of the connection: %v", err)
	}
}

// TestAccountSeriesBounded guards against metrics that grow with the number of accounts.
func TestAccountSeriesBounded(t *testing.T) {
	var c accountCounts
	for i := range 3 * maxAccountSeries {
		c.add(fmt.Sprint("a", i), accountServed)
		c.add(fmt.Sprint("a", i), accountFailed)
	}
	total := uint64(0)
	for _, x := range c.requests() {
		if total += x.Count; x.Attributes["account"] == otherAccounts && x.Count != 2*maxAccountSeries {
			t.Errorf("%v", x)
		}
	}
	if n := len(c.requests()); n != 2*(maxAccountSeries+1) || total != 6*maxAccountSeries {
		t.Errorf("%d series, %d requests", n, total)
	}
}

// TestAccountMetrics guards against metrics that operators can't read under their documented names.
func TestAccountMetrics(t *testing.T) {
	h := New(Options{Log: telemetry.NewLogger(os.Stderr, "fatal", "test"), Metrics: telemetry.MustNewMetrics()})
	if err := h.registerAccountMetrics(); err != nil {
		t.Fatal(err)
	}
	h.front.accountCounts.add("acme", accountOverLimit)
	h.front.accountCounts.rejectKey(5)
	w := httptest.NewRecorder()
	h.opts.Metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{`sycamore_account_requests_total{account="acme",outcome="over limit"} 1`, `sycamore_keys_rejected_total{key="repeated"} 1`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("no %s in the metrics:\n%s", want, w.Body)
		}
	}
}

// TestAccountOutcomes guards against requests that operators see with the wrong outcome.
func TestAccountOutcomes(t *testing.T) {
	for _, tc := range []struct {
		status          int
		delivered, left bool
		want            accountOutcome
	}{
		{200, true, true, accountServed}, {404, true, false, accountServed}, {500, true, false, accountFailed}, {429, false, false, accountOverLimit},
		{503, false, false, accountRefused}, {413, false, false, accountRefused}, {502, false, false, accountFailed}, {504, false, false, accountFailed},
		{200, false, false, accountFailed}, {200, false, true, accountLeft}, {0, false, true, accountLeft}, {0, false, false, accountFailed},
	} {
		if got := accountOutcomeOf(tc.status, tc.delivered, tc.left); got != tc.want {
			t.Errorf("%+v: %s", tc, accountOutcomeNames[got])
		}
	}
}

// TestNoConfiguration guards against requests that get no response, or 401, while no configuration is known, and against a host
// that does not serve once one is.
func TestNoConfiguration(t *testing.T) {
	s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
		io.WriteString(w, wholeAnswer(id, "ok"))
		return true
	})
	h, _ := newScriptedHost(t, s)
	h.opts.Codec = keyCodec{}
	setAccounts(h, "k1")
	v := h.directory.view()
	h.directory.currentView.Store(&fleet.View{})
	d := *h.deployment()
	d.CallerAddress = testbed.FreeAddr()
	h.activeDeployment.Store(&d)
	ctx, cancel := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	defer func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	}()
	if err := h.front.listen(ctx, g); err != nil {
		t.Fatal(err)
	}
	get := func() int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.CallerAddress+idempotentRoute, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Key", "k1")
		req.Header.Set("X-Deadline", "4000")
		req.Header.Set("X-Id", "r")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode
	}
	for range 2 {
		if status := get(); status != http.StatusServiceUnavailable {
			t.Errorf("without a configuration: status %d", status)
		}
	}
	h.directory.currentView.Store(v)
	for range 3 {
		if status := get(); status != http.StatusOK {
			t.Errorf("with a configuration: status %d", status)
		}
	}
}
