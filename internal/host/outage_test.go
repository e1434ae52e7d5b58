package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"sycamoredeal/internal/objects"
)

// TestOutageIsProbedByOneKind plays a store that refuses all calls of a host that follows it, and answers again after ten
// seconds. It guards against a host that repeats its calls for each kind: 184 of the 795 calls of a day with 19 hosts
// (small twin of large/caprired-large, scale-1); and against a kind that is not followed after the outage.
func TestOutageIsProbedByOneKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := startDispatcher(t, ctx, store)
		store.mu.Lock()
		store.failing = objects.ErrUnavailable
		store.mu.Unlock()
		time.Sleep(testBound) // the calls that wait end
		before := store.count("")
		time.Sleep(10 * time.Second)
		if n := store.count("") - before; n > 30 {
			t.Errorf("%d calls in 10 s in which the store refuses all: %v", n, store.calls.Counts())
		}
		store.mu.Lock()
		store.failing = nil
		store.mu.Unlock()
		store.put("config", "main", "2")
		store.put("servers", "e2", "1")
		awaitConfig(t, h, 2, testBound)
		time.Sleep(forwardPollInterval + 100*time.Millisecond)
		if n := len(h.directory.view().Endpoints); n != 2 || !h.directory.isCurrent() {
			t.Errorf("%d endpoints after the outage, current %v", n, h.directory.isCurrent())
		}
		cancel()
		synctest.Wait()
	})
}
