package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sycamoredeal/internal/wire"
)

// TestStaleKindIsListedOnce plays a host that follows the store itself when the dispatcher forwards changes again and
// announces one that is too long to be forwarded. It guards against a host that goes on asking the store for changes
// without end: 421 of the 1,188 calls of a day with 19 hosts (small twin of large/caprired-large, trouble-1).
func TestStaleKindIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("config", "main", "1")
		h := newFollower("h1", "h0", store)
		ctx, cancel := context.WithCancel(t.Context())
		go h.directory.run(ctx)
		for range 20 { // a dispatcher that does not follow the store
			receiveState(h, wire.FleetState{})
			time.Sleep(100 * time.Millisecond)
		}
		store.put("config", "main", "2")
		h.directory.applyUpdate(&wire.ViewUpdate{ObjectKind: "config", Fetch: true})
		receive := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				receiveState(h, wire.FleetState{ViewCurrent: true})
			}
		}
		receive(3 * time.Second)
		if c := h.directory.view().Config; c == nil || c.Version != 2 {
			t.Errorf("configuration in force: %+v", c)
		}
		before := store.count("")
		receive(time.Minute)
		if n := store.count("") - before; n > 6 { // of the hosts kind, whose calls wait 10 s
			t.Errorf("%d calls in a minute in which the dispatcher forwards all changes: %v", n, store.calls.Counts())
		}
		cancel()
		synctest.Wait()
	})
}
