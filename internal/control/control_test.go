package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sycamoredeal/internal/objects"
	standin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// startCell runs control processes on a stand-in platform until the test ends, and checks that they leave no goroutine.
func startCell(t *testing.T, hosts ...string) []*Control {
	srv := httptest.NewServer(standin.New())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(hosts))
	// hertz has one event loop and one clock for the whole process, which never end.
	leaks := []goleak.Option{
		goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
	}
	var cs []*Control
	seed := testbed.FreeAddr()
	for _, host := range hosts {
		c := New(Options{
			Host: host, Zone: "z", Cell: "c", Listen: testbed.FreeAddr(), EntryAddress: testbed.FreeAddr(), AdminListen: testbed.FreeAddr(),
			AdminToken: "operator", Seeds: []string{seed}, Term: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
			Store: objects.NewClient(srv.URL, ""), Log: telemetry.Discard(),
		})
		cs = append(cs, c)
		go func() { ended <- c.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range cs {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		for _, c := range cs {
			c.opts.Store.(*objects.Client).Close()
		}
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, leaks...)
		srv.Close()
	})
	wait(t, "a cell with a holder", func() bool {
		for _, c := range cs {
			s := c.Status(t.Context())
			if len(s.Members) < len(hosts) || s.Lease.Holder == "" || c.view.Load().live == nil {
				return false
			}
		}
		return true
	})
	return cs
}

func wait(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for start := time.Now(); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// TestStopLeaksNothing guards against goroutines that outlive a stopped control process, with seeds, peers, a held
// lease and the admin server.
func TestStopLeaksNothing(t *testing.T) { startCell(t, "a", "b", "c") }

// TestDemandReachesHolder guards against demand that is lost or counted twice on its way to the holder of the lease.
func TestDemandReachesHolder(t *testing.T) {
	cs := startCell(t, "a", "b")
	holder, other := cs[0], cs[1]
	if holder.lease.held() == 0 {
		holder, other = other, holder
	}
	var up atomic.Bool
	entry := transport.Dial(t.Context(), other.opts.Listen, transport.Options{
		Hello:       wire.Hello{Host: other.opts.Host, Role: wire.RoleEntry, Cell: "c"},
		Handler:     func(*transport.Conn, uint64, wire.Message) {},
		OnConnected: func(*transport.Conn) { up.Store(true) },
	})
	defer entry.Close()
	wait(t, "connected", up.Load)
	for range 3 {
		if _, err := entry.Call(t.Context(), &wire.EntryStatus{Load: 70, Demand: []wire.ModelDemand{{Name: "m", Requests: 2, Tokens: 10}}}); err != nil {
			t.Fatal(err)
		}
	}
	var sum wire.ModelDemand
	wait(t, "demand of all reports", func() bool {
		sum = plus(sum, holder.demand.take()["m"])
		return sum.Requests >= 6
	})
	time.Sleep(3 * holder.opts.Heartbeat)
	if sum = plus(sum, holder.demand.take()["m"]); sum.Requests != 6 || sum.Tokens != 30 {
		t.Errorf("%d requests and %d tokens, want 6 and 30", sum.Requests, sum.Tokens)
	}
	wait(t, "load in the heartbeats", func() bool {
		for _, m := range holder.Status(t.Context()).Members {
			if m.Host == other.opts.Host && m.Load == 70 {
				return true
			}
		}
		return false
	})
}

// TestAdminToken guards against a status page that answers without the operators' token.
func TestAdminToken(t *testing.T) {
	c := startCell(t, "a")[0]
	for _, v := range []struct {
		path, token string
		want        int
	}{
		{"/healthz", "", 200}, {"/readyz", "", 503}, {"/v1/status", "", 401}, {"/v1/status", "Bearer other", 401}, {"/v1/status", "Bearer operator", 200},
	} {
		req, _ := http.NewRequest(http.MethodGet, "http://"+c.opts.AdminListen+v.path, nil)
		req.Header.Set("Authorization", v.token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != v.want {
			t.Errorf("%s with %q: %d, want %d", v.path, v.token, resp.StatusCode, v.want)
		}
	}
}
