package integration

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/soak"
	"sycamoredeal/platform/platformtest"
)

// Bounds of the users' platform for retries, as platformtest.Settings states them.
const (
	retryRatio  = 0.2 // retries allowed per request of a caller
	retryExtra  = 100 // retries allowed in addition in a window
	retryWindow = 10 * time.Second
)

// retryAudit counts the requests of callers and their arrivals at the servers of one service.
type retryAudit struct {
	mu      sync.Mutex
	sent    []time.Time
	retries []time.Time // arrivals of a request after its first
	seen    map[string]bool
}

// RequestArrived implements platformtest.Observer.
func (a *retryAudit) RequestArrived(x platformtest.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen[x.ID] {
		a.retries = append(a.retries, x.ArrivedAt)
	}
	a.seen[x.ID] = true
}

// RequestEnded implements platformtest.Observer.
func (a *retryAudit) RequestEnded(platformtest.Arrival, bool) {}

// OrderReceived implements platformtest.Observer.
func (a *retryAudit) OrderReceived(platformtest.ReceivedOrder) {}

func (a *retryAudit) recordSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = append(a.sent, time.Now())
}

// countWithin returns how many of the times lie in the window that starts at from.
func countWithin(times []time.Time, from time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(from.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// check fails if some window has more retries than its requests allow.
func (a *retryAudit) check(t *testing.T) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.retries, time.Time.Compare)
	worst, allowed := 0, 0.0
	for _, from := range a.retries {
		n, limit := countWithin(a.retries, from), retryRatio*float64(countWithin(a.sent, from))+retryExtra
		if float64(n)-limit > float64(worst)-allowed || worst == 0 {
			worst, allowed = n, limit
		}
	}
	t.Logf("%d requests, %d retries; the worst window has %d, %.0f are allowed", len(a.sent), len(a.retries), worst, allowed)
	if float64(worst) > allowed {
		t.Errorf("%d retries in %v, %.0f are allowed", worst, retryWindow, allowed)
	}
	if len(a.retries) < retryExtra/4 {
		t.Errorf("%d retries only: requests that fail are not sent again", len(a.retries))
	}
}

// TestPlatformRetryBudget guards against hosts that together send more retries than the budget allows (BUDGET) while servers
// shed load: under one dispatcher after the other, when hosts are cut off from each other so that each is its own dispatcher,
// when the hosts restart, and for adapters, whose requests may be sent again while the adapter is loaded.
func TestPlatformRetryBudget(t *testing.T) {
	for _, trouble := range []string{"dispatchers killed", "hosts cut off", "hosts restarted", "adapters missing"} {
		t.Run(trouble, func(t *testing.T) {
			const hosts, perSec, length = 6, 60, 7 * time.Second
			f := startPlatformFleet(t, hosts, proxyPeers)
			audit := &retryAudit{seen: make(map[string]bool)}
			service, call := platformtest.PlainService, func(int) platformtest.Call { return lookupCall() }
			models := []string(nil)
			if trouble == "adapters missing" {
				service, models = platformtest.EngineService, []string{"m0", "m1"}
				call = func(n int) platformtest.Call { return chatCall(fmt.Sprintf("m0/a%d", n%platformAdapters+1)) }
			}
			for _, s := range f.servers() {
				f.store.Delete("servers", s.ID())
			}
			for i := range 5 {
				s := platformtest.NewServer(platformtest.ServerOptions{
					ID: fmt.Sprint("s", i), Service: service, Slots: 16, WorkTime: 10 * time.Millisecond, StreamEvents: 20, EventInterval: 5 * time.Millisecond,
					Models: models, MaxModels: 2, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, OrderTime: 20 * time.Millisecond, Observer: audit,
				})
				t.Cleanup(s.Close)
				s.SetShedding(true)
				s.Register(f.store, "ready")
			}
			names := f.store.Names("sycamore-hosts")
			callers := names[hosts-2:]
			switch trouble {
			case "hosts cut off":
				callers = names
				for _, h := range f.hosts {
					h.toPeers.SetMode(soak.Silent, 0)
				}
			case "hosts restarted":
				callers = names
			}
			time.Sleep(time.Second) // until hosts have the list of servers
			stop := f.steadyLoad(perSec, func(n int) platformtest.Call { audit.recordSent(); return call(n) }, callers...)
			begun := time.Now()
			switch trouble {
			case "dispatchers killed":
				for _, name := range names[:hosts-2] {
					time.Sleep(1200 * time.Millisecond)
					f.hosts[name].Kill()
				}
			case "hosts restarted":
				for range 2 {
					time.Sleep(2 * time.Second)
					for _, name := range names {
						f.restartHost(name)
					}
				}
			}
			time.Sleep(length - time.Since(begun))
			stop()
			audit.check(t)
		})
	}
}
