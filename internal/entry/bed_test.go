package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/wire"
)

// bed is an entry in this process with a configuration and a scripted binder.
type bed struct {
	t     *testing.T
	e     *Entry
	addr  string
	stop  context.CancelFunc
	ended chan error
}

// fakeClaims answers as told and keeps the results, unless it stands for a real client.
type fakeClaims struct {
	reply   atomic.Pointer[wire.ClaimReply]
	results chan wire.ClaimResult
	real    atomic.Pointer[claimClient]
}

func (f *fakeClaims) Claim(ctx context.Context, r wire.ClaimRequest) wire.ClaimReply {
	if c := f.real.Load(); c != nil {
		return c.Claim(ctx, r)
	}
	return *f.reply.Load()
}

func (f *fakeClaims) Finish(r wire.ClaimResult) {
	if c := f.real.Load(); c != nil {
		c.Finish(r)
		return
	}
	f.results <- r
}

func (f *fakeClaims) Close(ctx context.Context) {
	if c := f.real.Load(); c != nil {
		c.Close(ctx)
	}
}

// fakeBinding is a Binding whose release can be awaited.
type fakeBinding struct {
	name      string
	preempted chan struct{}
	released  chan wire.Done
}

func (b *fakeBinding) Endpoint() string           { return b.name }
func (b *fakeBinding) Preempted() <-chan struct{} { return b.preempted }
func (b *fakeBinding) Release(d wire.Done)        { b.released <- d }

// script binds to its endpoints in turn, the last one repeatedly.
type script struct {
	endpoints []string
	asks      chan wire.Ask
	bindings  chan *fakeBinding
	refusal   *routing.Refusal
}

func newScript(endpoints ...string) *script {
	return &script{endpoints: endpoints, asks: make(chan wire.Ask, 100), bindings: make(chan *fakeBinding, 100)}
}

func (s *script) Bind(_ context.Context, ask wire.Ask) (routing.Binding, error) {
	n := len(s.asks)
	s.asks <- ask
	if s.refusal != nil {
		return nil, s.refusal
	}
	b := &fakeBinding{name: s.endpoints[min(n, len(s.endpoints)-1)], preempted: make(chan struct{}), released: make(chan wire.Done, 2)}
	s.bindings <- b
	return b, nil
}

func newBed(t *testing.T, opts Options, binder routing.Binder, d config.Declarations) *bed {
	t.Helper()
	opts.Listen, opts.Log = testbed.FreeAddr(), telemetry.Discard()
	d.Ranks = []config.Rank{{Name: "urgent", Order: 0, Deadline: 2 * time.Second}, {Name: "batch", Order: 2, Deadline: 2 * time.Second}}
	d.Callers = []config.Caller{
		{Name: "app", KeyHashes: []string{config.Digest([]byte("secret"))}, Ranks: []string{"batch", "urgent"}},
		{Name: "other", KeyHashes: []string{config.Digest([]byte("secret2"))}, Ranks: []string{"batch"}},
	}
	d.Models = []config.Model{{Name: "m1"}, {Name: "private", Callers: []string{"app"}}}
	e := New(opts)
	e.view.Store(&routing.View{Snapshot: config.NewSnapshot(1, d)})
	if binder != nil {
		e.binder = binder
	}
	fake := &fakeClaims{results: make(chan wire.ClaimResult, 100)}
	fake.reply.Store(&wire.ClaimReply{State: wire.ClaimGranted})
	e.claims = fake
	ctx, stop := context.WithCancel(context.Background())
	b := &bed{t: t, e: e, addr: "http://" + opts.Listen, stop: stop, ended: make(chan error, 1)}
	go func() { b.ended <- e.serve(ctx, context.Background()) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-b.ended:
		case <-time.After(8 * time.Second):
			t.Error("the entry did not stop")
		}
	})
	wait, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := testbed.WaitHTTP(wait, b.addr+"/healthz"); err != nil {
		t.Fatal(err)
	}
	return b
}

func (b *bed) do(method, path, body string, headers ...string) *http.Response {
	b.t.Helper()
	resp, err := b.try(method, path, body, headers...)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// try is do for goroutines other than the test's own.
func (b *bed) try(method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, b.addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" { // net/http also sends a request again that has an empty Idempotency-Key
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	return (&http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
}

func readProblem(t *testing.T, resp *http.Response) problem {
	t.Helper()
	var p problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatalf("status %d: not a problem: %v", resp.StatusCode, err)
	}
	if ct := resp.Header.Get("Content-Type"); ct != "application/problem+json" {
		t.Errorf("content type %q", ct)
	}
	if p.RequestID == "" || p.RequestID != resp.Header.Get("X-Request-Id") || p.Status != resp.StatusCode {
		t.Errorf("problem %+v does not fit status %d and id %q", p, resp.StatusCode, resp.Header.Get("X-Request-Id"))
	}
	return p
}

// rawEndpoint is a TCP endpoint that hands each request it has read completely to answer.
func rawEndpoint(t *testing.T, answer func(conn net.Conn, r *http.Request, nth int)) string {
	t.Helper()
	address, end, err := testbed.Serve(func(conn net.Conn) {
		br := bufio.NewReader(conn)
		for n := 1; ; n++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			answer(conn, r, n)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return address
}
