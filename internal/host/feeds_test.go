package host

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
)

// hangingStore answers lists and calls for changes until hanging is set. From then on they hang until their context
// ends. Its other methods are not used here.
type hangingStore struct {
	Store
	hanging atomic.Bool
}

func (s *hangingStore) Generation() uint64 { return 0 }

func (s *hangingStore) answer(ctx context.Context) error {
	if s.hanging.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *hangingStore) List(ctx context.Context, _ string) ([]objects.Object, string, error) {
	return nil, "1", s.answer(ctx)
}

func (s *hangingStore) Changes(ctx context.Context, _, from string, _ time.Duration) ([]objects.Event, string, error) {
	return nil, from, s.answer(ctx)
}

// TestSilentStoreIsNotCurrent plays a store that stops answering some hosts: their calls hang, and time out only a
// second later. It guards against such a host counting as one that follows the store, as dispatcher or as relay: no
// other host was tried for 1.1 s, and a change of the configuration was in force after 2.2 s (further/jyltyr-almaty,
// trouble-1 --seed 4: CONFIG and DRAIN).
func TestSilentStoreIsNotCurrent(t *testing.T) {
	store := &hangingStore{}
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Store: store, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d := h.directory
	h.binder.link = &link{host: fleet.Host{Name: "h0"}} // this host is the dispatcher
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	config, endpoints := entryCodec{}.Kinds()
	read := func() {
		for _, w := range []kindWatch{
			{config, 0, d.putConfig, d.removeConfig, d.retainConfigs}, {endpoints, 0, d.putEndpoint, d.removeEndpoint, d.retainEndpoints},
		} {
			ctx, cancel := context.WithTimeout(ctx, time.Millisecond)
			if _, err := d.listKind(ctx, w); err != nil && !store.hanging.Load() {
				t.Fatal(err)
			}
			cancel()
		}
	}
	if d.isCurrent() {
		t.Error("a host that has not read the store counts as current")
	}
	read()
	if !d.isCurrent() {
		t.Error("a host that has just read the store does not count as current")
	}
	store.hanging.Store(true)
	read()
	start := time.Now()
	for d.isCurrent() {
		if time.Since(start) > 1100*time.Millisecond {
			t.Fatal("a host whose calls hang counts as current after 1.1 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	// A relay that has just been chosen: it last read the store long ago, and its first call hangs.
	h.binder.link = nil
	for kind := range d.answeredAt {
		d.answeredAt[kind] = time.Now().Add(-3 * time.Second)
	}
	if d.isCurrent() {
		t.Error("a relay without an answer of the store since it was chosen counts as current")
	}
}

// TestFirstListIsNotForwarded guards against a dispatcher that sends its first list of a kind to every host. Hosts that start
// with it ask for what they lack, so that its link carried everything twice.
func TestFirstListIsNotForwarded(t *testing.T) {
	store := newMemoryStore()
	store.put(objects.Object{Kind: "servers", Name: "e0", Data: []byte("1")})
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Store: store, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d := h.directory
	w := kindWatch{"servers", 0, d.putEndpoint, d.removeEndpoint, d.retainEndpoints}
	for _, forwarded := range []int{0, 1} {
		if _, err := d.listKind(t.Context(), w); err != nil {
			t.Fatal(err)
		}
		if n := h.dispatcher.pendingUpdates.Len(); n != forwarded {
			t.Errorf("%d updates forwarded, want %d", n, forwarded)
		}
		store.put(objects.Object{Kind: "servers", Name: "e1", Data: []byte("1")}) // missed, and seen by the second list
	}
}

// TestHostsReadRarely guards against a host that asks for each change of the hosts although it is not the dispatcher. Only a
// host that starts and has not found a dispatcher does, since it may become the dispatcher itself.
func TestHostsReadRarely(t *testing.T) {
	const changes, every, mostCalls = 20, 15 * time.Millisecond, 3
	store := newMemoryStore()
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Store: store, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.binder.started = true
	d := h.directory
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.watchKind(ctx, kindWatch{kindHosts, hostWatchWait, d.putHost, d.removeHost, d.retainHosts})
	}()
	for i := range changes {
		store.put(objects.Object{Kind: kindHosts, Name: fmt.Sprint("h", i+1), Data: []byte("{}")})
		time.Sleep(every)
	}
	cancel()
	<-ended
	if n := store.Calls(); n > mostCalls {
		t.Errorf("%d calls for %d changes in %s", n, changes, changes*every)
	}
}
