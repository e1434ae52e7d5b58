package planner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/config"
)

// TestIdlePolling guards against reports that are asked for in every round of a settled cell, which took the holder over
// its budget of processor time, and against a restarted engine that such a cell notices later than after 3 s.
func TestIdlePolling(t *testing.T) {
	w := newWorld(t, 2, 2, true)
	var asked atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		w.engines[0].ServeHTTP(rw, r)
	}))
	defer srv.Close()
	d := w.decl.Load().Declarations
	d.Endpoints[0].Address = strings.TrimPrefix(srv.URL, "http://")
	w.decl.Store(config.NewSnapshot(2, d))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.start(ctx, 1, func() bool { return true })
	ready := func() bool { return w.complete() && w.settled() && len(w.engines[0].Report().Residents) > 0 }
	w.eventually(20*time.Second, "settled placement", ready)
	time.Sleep(time.Second) // copies beyond the first are loaded
	w.eventually(20*time.Second, "settled placement", ready)
	before := asked.Load()
	time.Sleep(3 * time.Second)
	if n := asked.Load() - before; n < 1 || n > 4 {
		t.Errorf("%d calls to an idle engine in 3 s, want 1 to 4", n)
	}
	resp, err := http.Post(srv.URL+"/_restart", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	w.eventually(3*time.Second, "models loaded again after the restart", func() bool { return len(w.engines[0].Report().Residents) > 0 })
}
