package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/claims"
	"sycamoredeal/internal/claimstore"
	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/routing"
	standin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// claimOwner hosts a claim store like a control process does.
func claimOwner(t *testing.T, url string) (addr string, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := claimstore.New(claimstore.Deps{Store: objects.NewClient(url, ""), Log: telemetry.Discard()})
	go s.Run(ctx)
	srv, err := transport.Listen(ctx, "127.0.0.1:0", transport.Options{Handler: func(c *transport.Conn, corr uint64, m wire.Message) { s.Handle(c, corr, m) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cancel)
	return srv.Addr(), cancel
}

// TestKeyedCalls guards against keyed calls that run twice, that run during an outage of the platform, or whose key is
// lost although they were not run; and against unkeyed calls that an outage stops.
func TestKeyedCalls(t *testing.T) {
	var down atomic.Bool
	inner := standin.New()
	plat := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		inner.ServeHTTP(w, r)
	}))
	t.Cleanup(plat.Close)
	ex := &executions{n: make(map[string]int)}
	addr := rawEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		ex.add(r.Header.Get("Idempotency-Key"))
		if r.Header.Get("X-Cut") != "" {
			conn.Close()
			return
		}
		io.WriteString(conn, "HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n")
	})
	d := service("127.0.0.1:1") // nothing listens on this port
	b := newBed(t, Options{}, nil, d)
	snap := b.e.view.Load().Snapshot
	one, stopOne := claimOwner(t, plat.URL)
	two, stopTwo := claimOwner(t, plat.URL)
	b.e.view.Store(&routing.View{Snapshot: snap, Members: []wire.Member{{Host: "h1", ControlAddress: one}, {Host: "h2", ControlAddress: two}}})
	b.e.claims.(*fakeClaims).real.Store(newClaimClient(b.e.view.Load, b.e.opts, nil))
	post := func(key, body string, headers ...string) problem {
		t.Helper()
		resp := b.do("POST", "/svc/registry/x", body, append(headers, "Idempotency-Key", key)...)
		if resp.StatusCode == http.StatusCreated {
			return problem{Status: resp.StatusCode}
		}
		return readProblem(t, resp)
	}
	expect := func(what string, p problem, status int, executed string) {
		t.Helper()
		if p.Status != status || p.Executed != executed {
			t.Errorf("%s: %+v, want %d and executed %q", what, p, status, executed)
		}
	}
	expect("no server listens", post("k1", "x"), 503, "no")
	next := *b.e.view.Load()
	next.Snapshot = config.NewSnapshot(2, config.Declarations{
		Ranks: snap.Ranks, Callers: snap.Callers, Models: snap.Models, Services: service(addr).Services,
	})
	b.e.view.Store(&next)
	expect("the same key after it was not run", post("k1", "x"), 201, "")
	if p := post("k1", "x"); p.Status != 409 {
		t.Errorf("repeated key: %+v, want 409", p)
	}
	expect("other request", post("k1", "y"), 422, "no")
	expect("killed", post("k2", "x", "X-Cut", "1"), 502, "unknown")
	expect("repeated after unknown", post("k2", "x"), 409, "unknown")
	down.Store(true)
	if p := post("k3", "x"); p.Status != 503 || p.Executed != "no" || p.RetryAfterMs == 0 {
		t.Errorf("outage: %+v, want 503, no and a time", p)
	}
	if resp := b.do("POST", "/svc/registry/x", "x"); resp.StatusCode != 201 {
		t.Errorf("unkeyed call in the outage: status %d, want 201", resp.StatusCode)
	}
	down.Store(false)
	if owners(b.e.view.Load(), "", 0, "")[0] == one { // whichever owner is first for shard 0 dies
		stopOne()
	} else {
		stopTwo()
	}
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} { // of several shards
		p := post(key, "x")
		for end := time.Now().Add(4 * time.Second); p.Status == 503 && time.Now().Before(end); p = post(key, "x") {
			time.Sleep(100 * time.Millisecond) // a shard is unavailable for a second after it has seen an outage
		}
		expect("one owner dead", p, 201, "")
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for key, n := range ex.n {
		if key != "" && n > 1 {
			t.Errorf("key %s executed %d times", key, n)
		}
	}
	if ex.n["k3"] != 0 {
		t.Error("a call that was told not run was executed")
	}
}

// TestOwnersAcrossCells guards against cells that choose different owners of a shard, whose writes would conflict, and
// against a shard that can't be reached because the cell of its owner can't.
func TestOwnersAcrossCells(t *testing.T) {
	member := func(h string) wire.Member { return wire.Member{Host: h, ControlAddress: h} }
	a, b := []wire.Member{member("a1"), member("a2"), member("a3")}, []wire.Member{member("b1"), member("b2"), member("b3")}
	seen := map[byte]bool{}
	for shard := range claims.Shards {
		fromA := owners(&routing.View{Members: a, Cells: []wire.CellMembers{{Cell: "b", Members: b}}}, "a", shard, "")
		fromB := owners(&routing.View{Members: b, Cells: []wire.CellMembers{{Cell: "a", Members: a}}}, "b", shard, "")
		if !slices.Equal(fromA, fromB) || len(fromA) != claimOwners {
			t.Errorf("shard %d: cell a asks %v, cell b %v", shard, fromA, fromB)
		}
		if fromA[0][0] == fromA[2][0] {
			t.Errorf("shard %d: all owners %v are in one cell", shard, fromA)
		}
		seen[fromA[0][0]] = true
	}
	if len(seen) != 2 {
		t.Errorf("all shards are owned by one cell")
	}
}

// TestAbandonedClaim guards against a key that stays taken because a claim reaches a suspended owner, is refused by the
// next one, and takes effect when the suspended owner goes on after the key was released.
func TestAbandonedClaim(t *testing.T) {
	plat := httptest.NewServer(standin.New())
	t.Cleanup(plat.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := claimstore.New(claimstore.Deps{Store: objects.NewClient(plat.URL, ""), Log: telemetry.Discard()})
	go s.Run(ctx)
	type input struct {
		conn *transport.Conn
		corr uint64
		m    wire.Message
	}
	suspended := make(chan input, 100)
	srv, err := transport.Listen(ctx, "127.0.0.1:0", transport.Options{Handler: func(c *transport.Conn, corr uint64, m wire.Message) { suspended <- input{c, corr, m} }})
	if err != nil {
		t.Fatal(err)
	}
	one := wire.Member{Host: "h1", ControlAddress: srv.Addr()}
	addr, _ := claimOwner(t, plat.URL)
	two := wire.Member{Host: "h2", ControlAddress: addr}
	client := func(members ...wire.Member) *claimClient {
		view := &routing.View{Members: members}
		c := newClaimClient(func() *routing.View { return view }, Options{}, nil)
		t.Cleanup(func() { c.cancel() })
		return c
	}
	both := client(one, two)
	claim := wire.ClaimRequest{Caller: "c"}
	for i := 0; claim.Key == "" || owners(both.view(), "", claims.ShardOf("c", claim.Key), "")[0] != one.ControlAddress; i++ {
		claim.Key = fmt.Sprint("k", i)
	}
	expect := func(c *claimClient, id string, want wire.ClaimState) {
		t.Helper()
		claim.Attempt = id
		if r := c.Claim(ctx, claim); r.State != want {
			t.Fatalf("claim of %s: %+v, want state %d", id, r, want)
		}
	}
	other := client(two)
	expect(other, "first", wire.ClaimGranted)
	expect(both, "second", wire.ClaimTaken)
	other.Finish(wire.ClaimResult{Caller: "c", Key: claim.Key, Attempt: "first", Outcome: uint8(attempt.NotSent)})
	go func() {
		for {
			select {
			case in := <-suspended:
				s.Handle(in.conn, in.corr, in.m)
			case <-ctx.Done():
				return
			}
		}
	}()
	resumed := client(one)
	claim.Attempt = "third"
	r := resumed.Claim(ctx, claim)
	for end := time.Now().Add(4 * time.Second); r.State != wire.ClaimGranted && time.Now().Before(end); r = resumed.Claim(ctx, claim) {
		time.Sleep(200 * time.Millisecond)
	}
	if r.State != wire.ClaimGranted {
		t.Errorf("claim after the key was released: %+v, want granted", r)
	}
}
