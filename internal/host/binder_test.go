package host

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestRepeatsAlone replays requests that meet a fault at one endpoint after the other while the dispatcher is away (caprired
// scale-2: 575 repeats in ten seconds, 388 were allowed, most of them sent without the dispatcher). Hosts together must
// leave the dispatcher its part of the budget.
func TestRepeatsAlone(t *testing.T) {
	const hosts, firsts, extra, ratio = 4, 50, 100.0, 0.2
	d := fleet.Deployment{Host: "h0", RetryRatio: ratio, RetryExtra: extra, RetryWindow: 10 * time.Second}
	h := New(Options{Deployment: d, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	v := &fleet.View{Config: &fleet.Config{Version: 1}, Listed: true}
	for i := range hosts {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
	}
	v.Endpoints = []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1000}}
	h.directory.currentView.Store(v)
	send := func(repeat bool) error {
		now := time.Now()
		b, err := h.binder.bind(context.Background(), wire.Ask{Service: "app", Retry: repeat}, times{until: now.Add(time.Second), target: now})
		if err == nil {
			b.done(wire.Done{})
		}
		return err
	}
	for range firsts {
		if err := send(false); err != nil {
			t.Fatal(err)
		}
	}
	allowed := 0
	for range 10 * firsts {
		if send(true) == nil {
			allowed++
		}
	}
	share := sched.AloneExtra * extra / hosts
	if want := int(ratio*firsts + share); allowed != want {
		t.Errorf("%d repeats after %d first sends, want %d", allowed, firsts, want)
	}
}

// TestBinderLeavesDirectoryLock guards against a host that stands still because the binder waits for the lock of the
// directory, which waits for the binder's when it publishes a view (soak, seeds 16 and 17: a host that never became ready
// and did not end its stop).
func TestBinderLeavesDirectoryLock(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: plainCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	done := make(chan struct{})
	go func() {
		l := &link{host: fleet.Host{Name: "h1"}, conn: &fakePeer{}}
		h.binder.follow(t.Context(), time.Now())
		h.binder.onMessage(l, &wire.FleetState{ViewCurrent: true, Leaving: []wire.EndpointLeaves{{Endpoint: "e0"}}})
		h.binder.onMessage(l, &wire.ViewUpdate{ObjectKind: "servers"})
		h.binder.relays()
		h.holder.held()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the binder waits for the directory's lock")
	}
}
