package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sycamoredeal/internal/objects"
)

// TestRemovalInOwnOutage plays a dispatcher that is turned away by the store, while a relay reaches it all the time, or only at
// the end. An endpoint's entry vanishes just before the store answers the dispatcher again. It guards against an endpoint that
// has left and is used until two seconds after the dispatcher's own outage, beyond the bound (DRAIN), and against the loss of a
// live one whose entry expired while the store answered nobody.
func TestRemovalInOwnOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		relayed time.Duration // time of the outage from which on a relay reaches the store
		kept    bool
	}{{"relay reaches the store", 800 * time.Millisecond, false}, {"relay reaches it late", 4 * time.Second, true}, {"no relay", time.Hour, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				ctx, cancel := context.WithCancel(t.Context())
				h := startDispatcher(t, ctx, store)
				store.setFailing(objects.ErrUnavailable)
				for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(graceCheckInterval) {
					if time.Since(start) >= c.relayed {
						h.directory.recordReachedByRelay(time.Now())
					}
				}
				store.delete("servers", "e1")
				store.setFailing(nil)
				for !h.directory.isCurrent() {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(300 * time.Millisecond)
				if kept := h.directory.view().Endpoint("e1") != nil; kept != c.kept {
					t.Errorf("the endpoint is kept after the outage: %v, want %v", kept, c.kept)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
