package claimstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/objects"
	standin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// bed is a platform stand-in with claim stores that share it, each with one client.
type bed struct {
	t      *testing.T
	down   atomic.Bool  // the platform does not answer with success
	lose   atomic.Int32 // answers to updates that are lost after the effect
	writes atomic.Int32
	conns  []*transport.Client
}

func newBed(t *testing.T, stores int) *bed {
	leaks := goleak.IgnoreCurrent()
	b := &bed{t: t}
	inner := standin.New()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.down.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet {
			b.writes.Add(1)
			if b.lose.Add(-1) >= 0 {
				inner.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
		}
		inner.ServeHTTP(w, r)
	}))
	ctx, cancel := context.WithCancel(context.Background())
	var ended []func()
	for range stores {
		s := New(Deps{Store: objects.NewClient(srv.URL, ""), Log: telemetry.Discard()})
		done := make(chan struct{})
		go func() {
			s.Run(ctx)
			close(done)
		}()
		server, err := transport.Listen(ctx, "127.0.0.1:0", transport.Options{Handler: func(c *transport.Conn, corr uint64, m wire.Message) { s.Handle(c, corr, m) }})
		if err != nil {
			t.Fatal(err)
		}
		b.conns = append(b.conns, transport.Dial(ctx, server.Addr(), transport.Options{Handler: func(*transport.Conn, uint64, wire.Message) {}}))
		ended = append(ended, func() { <-done; server.Wait() })
	}
	t.Cleanup(func() {
		cancel()
		for _, f := range ended {
			f()
		}
		for _, c := range b.conns {
			c.Close()
		}
		http.DefaultTransport.(*http.Transport).CloseIdleConnections()
		srv.Close()
		goleak.VerifyNone(t, leaks)
	})
	return b
}

func (b *bed) call(store int, m wire.Message) wire.Message {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if r, err := b.conns[store].Call(ctx, m); err == nil {
			return r
		}
		time.Sleep(2 * time.Millisecond)
	}
	b.t.Fatal("no answer in time")
	return nil
}

func (b *bed) claim(store int, key, attempt string, fingerprint uint64) *wire.ClaimReply {
	b.t.Helper()
	return b.call(store, &wire.ClaimRequest{Caller: "c", Key: key, Attempt: attempt, Fingerprint: fingerprint}).(*wire.ClaimReply)
}

// TestTwoOwners guards against two owners of a shard that both grant a key, and against answers that differ.
func TestTwoOwners(t *testing.T) {
	b := newBed(t, 2)
	if r := b.claim(0, "k", "a", 1); r.State != wire.ClaimGranted {
		t.Fatalf("first claim: %+v", r)
	}
	if r := b.claim(1, "k", "b", 1); r.State != wire.ClaimTaken || r.Outcome != 0 {
		t.Fatalf("claim at the other owner: %+v, want taken without an outcome", r)
	}
	if r := b.claim(1, "k", "a", 1); r.State != wire.ClaimGranted {
		t.Fatalf("the same attempt at the other owner: %+v, want granted", r)
	}
	if r := b.claim(1, "k", "b", 2); r.State != wire.ClaimMismatch {
		t.Fatalf("another request: %+v, want mismatch", r)
	}
	b.claim(1, "k2", "x", 1)
	if r := b.claim(0, "k2", "y", 1); r.State != wire.ClaimTaken {
		t.Fatalf("claim at an owner with old knowledge: %+v, want taken", r)
	}
	b.call(1, &wire.ClaimResult{Caller: "c", Key: "k", Attempt: "a", Outcome: uint8(attempt.Answered), Status: 201})
	if r := b.claim(1, "k", "b", 1); r.State != wire.ClaimTaken || r.Outcome != uint8(attempt.Answered) || r.Status != 201 {
		t.Fatalf("after the result: %+v, want the recorded outcome", r)
	}
}

// TestLostAnswer guards against a claim that is refused to its own attempt because the answer to its update was lost.
func TestLostAnswer(t *testing.T) {
	b := newBed(t, 1)
	b.lose.Store(1)
	if r := b.claim(0, "k", "a", 1); r.State != wire.ClaimGranted {
		t.Fatalf("claim whose answer was lost: %+v, want granted", r)
	}
	if n := b.writes.Load(); n != 1 {
		t.Errorf("%d writes, want 1: the claim is found by reading back", n)
	}
}

// TestReleaseAndOutage guards against claims that wait during an outage, and releases that are forgotten in one.
func TestReleaseAndOutage(t *testing.T) {
	b := newBed(t, 1)
	b.claim(0, "k", "a", 1)
	b.down.Store(true)
	start := time.Now()
	if r := b.claim(0, "k2", "b", 1); r.State != wire.ClaimUnavailable || r.RetryAfterMs == 0 {
		t.Fatalf("claim in an outage: %+v, want unavailable", r)
	}
	if d := time.Since(start); d > time.Second {
		t.Errorf("refused after %s, want at once", d)
	}
	go func() {
		time.Sleep(200 * time.Millisecond)
		b.down.Store(false)
	}()
	b.call(0, &wire.ClaimResult{Caller: "c", Key: "k", Attempt: "a", Outcome: uint8(attempt.Refused)})
	if r := b.claim(0, "k", "c", 1); r.State != wire.ClaimGranted {
		t.Fatalf("claim after the release: %+v, want granted", r)
	}
}
