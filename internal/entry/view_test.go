package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// fakeControl answers statuses and counts what it gets.
type fakeControl struct {
	statuses, requests atomic.Int64
	subscribed         atomic.Int64
	stop               context.CancelFunc
	srv                *transport.Server
}

func serveControl(t *testing.T, addr string, members []wire.Member) *fakeControl {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &fakeControl{stop: cancel}
	srv, err := transport.Listen(ctx, addr, transport.Options{Handler: func(c *transport.Conn, corr uint64, m wire.Message) {
		switch m := m.(type) {
		case *wire.Subscribe:
			f.subscribed.Add(1)
			c.Send(&wire.MembersUpdate{Members: members})
		case *wire.EntryStatus:
			f.statuses.Add(1)
			for _, d := range m.Demand {
				f.requests.Add(int64(d.Requests))
			}
			c.Reply(corr, &wire.Ack{})
		}
	}, OnDisconnected: func(*transport.Conn) { f.subscribed.Add(-1) }})
	if err != nil {
		t.Fatal(err)
	}
	f.srv = srv
	return f
}

func wait(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for start := time.Now(); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 6*time.Second {
			t.Fatalf("not within 6 s: %s", what)
		}
	}
}

// TestLinkFallsBackAndReturns guards against an entry that stays without updates when its control process dies, or that
// stays with another host's when its own is back, and against demand that is lost meanwhile.
func TestLinkFallsBackAndReturns(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	localAddr, otherAddr := testbed.FreeAddr(), testbed.FreeAddr()
	members := []wire.Member{{Host: "h1", ControlAddress: localAddr}, {Host: "h2", ControlAddress: otherAddr}, {Host: "h3", ControlAddress: testbed.FreeAddr()}}
	local, other := serveControl(t, localAddr, members), serveControl(t, otherAddr, members)
	e := New(Options{Host: "h1", Control: localAddr, Log: telemetry.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	l := newLink(ctx, e)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(ctx)
	}()
	wait(t, "status at the local process", func() bool { return local.statuses.Load() > 0 })
	local.stop()
	local.srv.Wait()
	e.demand.Arrived("m", 5)
	wait(t, "status at another process", func() bool { return other.requests.Load() == 1 })
	local = serveControl(t, localAddr, members)
	wait(t, "return to the local process", func() bool { return local.statuses.Load() > 0 && other.subscribed.Load() == 0 })
	cancel()
	<-done
	local.stop()
	other.stop()
	local.srv.Wait()
	other.srv.Wait()
}
