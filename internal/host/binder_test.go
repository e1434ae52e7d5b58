package host

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestRetriesWithoutDispatcher guards against hosts that together exceed the retries that are allowed while they decide without
// the dispatcher. Requests that fail at one endpoint after the other then retry too often: in scenario caprired scale-2, there
// were 575 retries in ten seconds, most of them without the dispatcher, and 388 were allowed.
func TestRetriesWithoutDispatcher(t *testing.T) {
	const hosts, requests, extra, ratio, window = 4, 50, 100.0, 0.2, 10 * time.Second
	d := fleet.Deployment{Host: "h0", RetryRatio: ratio, RetryExtra: extra, RetryWindow: window}
	h := New(Options{Deployment: d, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	h.retries.state = sched.NewHostRetries(clock.Boot() - window)
	v := &fleet.View{Config: &fleet.Config{Version: 1}, EndpointsListed: true}
	for i := range hosts {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i)})
	}
	v.Endpoints = []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1000}}
	h.directory.currentView.Store(v)
	send := func(retry bool) error {
		now := time.Now()
		slot, err := h.binder.bind(context.Background(), wire.Ask{Service: "app", Retry: retry}, answerBounds{startBy: now.Add(time.Second), target: now})
		if err == nil {
			slot.permit.use()
			slot.done(wire.Done{})
		}
		return err
	}
	for range requests {
		h.retries.addRequest("app")
		if err := send(false); err != nil {
			t.Fatal(err)
		}
	}
	allowed := 0
	for range 10 * requests {
		if send(true) == nil {
			allowed++
		}
	}
	// 0.8 of the ratio, and an even share of 0.4 of the extra retries.
	if want := int(0.8*ratio*requests + 0.4*extra/hosts); allowed != want {
		t.Errorf("%d retries after %d requests, want %d", allowed, requests, want)
	}
}

// TestBinderLeavesDirectoryLock guards against a deadlock: the binder waits for the directory's lock, while the directory
// waits for the binder's lock to publish a view. In the soak test with seeds 16 and 17, a host never became ready and did not
// end its stop.
func TestBinderLeavesDirectoryLock(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: testCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.directory.mu.Lock()
	defer h.directory.mu.Unlock()
	done := make(chan struct{})
	go func() {
		l := &link{host: fleet.Host{Name: "h1"}, conn: &fakePeer{}}
		h.binder.checkDispatcher(t.Context(), time.Now())
		h.binder.onMessage(l, &wire.FleetState{ViewCurrent: true, Leaving: []wire.EndpointLeaves{{Endpoint: "e0"}}})
		h.binder.onMessage(l, &wire.ViewUpdate{ObjectKind: "servers"})
		h.binder.storeChangesRelayed()
		h.holder.heldEpoch()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the binder waits for the directory's lock")
	}
}

// TestRelayedChangeAfterDisconnect guards against a panic on a change that the dispatcher relayed before its connection
// ended and that no longer fits into the directory's queue.
func TestRelayedChangeAfterDisconnect(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	for h.directory.updates.TryPush(forwardedMessage{}) {
	}
	l := &link{host: fleet.Host{Name: "h1"}}
	h.binder.link = l
	h.binder.onMessage(l, &wire.ViewUpdate{})
}
