package integration

import (
	"cmp"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// TestPlatformStopLateRequests stops a host in calm. Clients keep their connections and send requests until it is gone, to
// servers that take from some milliseconds to seconds. It guards against requests that are accepted late in the grace time and
// cut at its end, whether they may be repeated or not, and against stops that refuse short requests at once.
func TestPlatformStopLateRequests(t *testing.T) {
	const clients = 8
	for _, c := range []struct {
		name          string
		work          time.Duration
		before        time.Duration // time of load before the signal
		servedAtLeast int           // requests sent after the signal
		path, method  string
		deadline      time.Duration // 5 s if 0
		events        int           // of a stream, 0 for a plain request
		body          string
	}{
		{name: "short", work: 30 * time.Millisecond, before: 2 * time.Second, servedAtLeast: 300, path: platformtest.BookingPath, method: http.MethodPost, body: "order"},
		{name: "long", work: 2900 * time.Millisecond, before: 7 * time.Second, servedAtLeast: clients, path: platformtest.BookingPath, method: http.MethodPost, body: "order"},
		{name: "long, not known", work: 2900 * time.Millisecond, path: platformtest.BookingPath, method: http.MethodPost, body: "order"},
		{name: "long, repeatable", work: 2900 * time.Millisecond, before: 4 * time.Second, path: platformtest.LookupPath, method: http.MethodGet},
		{name: "longer than the stop", work: 12 * time.Second, before: 200 * time.Millisecond, deadline: 20 * time.Second, path: platformtest.BookingPath, method: http.MethodPost, body: "order"},
		{name: "long streams", work: 100 * time.Millisecond, before: 13 * time.Second, deadline: 15 * time.Second, path: platformtest.StreamPath, method: http.MethodPost, body: "prompt", events: 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startPlatformFleet(t, 2)
			for _, s := range f.servers() {
				s.Close()
				f.store.Delete("servers", s.ID())
			}
			o := platformtest.ServerOptions{ID: "slow", Service: platformtest.PlainService, Slots: 64, WorkTime: c.work}
			if c.events > 0 {
				o.Service, o.StreamEvents, o.EventInterval = platformtest.EngineService, c.events, 250*time.Millisecond
				o.Models, o.MaxModels, o.AdapterSlots = []string{"m0"}, 1, 3
			}
			s := platformtest.NewServer(o)
			t.Cleanup(s.Close)
			s.Register(f.store, "ready")
			time.Sleep(time.Second)
			h := f.hosts["h0"]
			deadline := cmp.Or(c.deadline, 5*time.Second)
			call := platformtest.Call{Path: c.path + "x", Method: c.method, Deadline: deadline, Body: c.body}
			if c.events > 0 {
				call.Model = "m0"
			}
			var mu sync.Mutex
			var signaled time.Time
			served := 0
			var wg sync.WaitGroup
			for range clients {
				wg.Go(func() {
					client := platformtest.NewClient(h.front)
					defer client.Close()
					for f.ctx.Err() == nil {
						o := client.Do(f.ctx, call)
						mu.Lock()
						after := !signaled.IsZero() && o.StartedAt.After(signaled)
						if after && o.Status == http.StatusOK && o.BodyComplete {
							served++
						}
						late := o.StartedAt.Sub(signaled)
						mu.Unlock()
						if s.Runs()[o.ID] > 0 && o.Duration < deadline && (o.Status == 0 || !o.BodyComplete) {
							t.Errorf("request %s, sent %v after the signal, ran and got no whole answer after %v", o.ID, late, o.Duration)
						}
						if s.Runs()[o.ID] > 0 && o.Status == http.StatusServiceUnavailable {
							t.Errorf("request %s ran and was refused as not run", o.ID)
						}
						if !o.RequestSent && after {
							return // the host is gone
						}
						if o.Status == http.StatusServiceUnavailable {
							time.Sleep(50 * time.Millisecond)
						}
					}
				})
			}
			time.Sleep(c.before)
			mu.Lock()
			signaled = time.Now()
			mu.Unlock()
			if err := h.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case <-h.Done():
			case <-time.After(8 * time.Second):
				t.Error("the process is still there when it would be killed")
			}
			wg.Wait()
			if served < c.servedAtLeast {
				t.Errorf("%d requests served after the signal, want %d", served, c.servedAtLeast)
			}
		})
	}
}
