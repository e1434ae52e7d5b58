package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// applyLimit is the time in which a stored configuration has to be in force at all hosts.
const applyLimit = 2 * time.Second

// versionPath is the path of the route that a version of configWithRoutes adds.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// configWithRoutes returns a configuration that has the routes of its own version and of all versions before, from 2 on.
func configWithRoutes(version int) map[string]any {
	c := platformtest.Config(version, platformModels, platformAdapters)
	for v := 2; v <= version; v++ {
		platformtest.AddLookupRoute(c, fmt.Sprint("v", v), versionPath(v))
	}
	return c
}

// callVersion sends a request on the route of a version to a host, and returns the status.
func (f *platformFleet) callVersion(host string, version int) int {
	c := lookupCall()
	c.Path = versionPath(version) + "x"
	return platformtest.Do(f.ctx, f.hosts[host].front, c).Status
}

// firstAlive returns the first host in the order of registration that has not been removed.
func (f *platformFleet) firstAlive() string {
	for _, name := range f.store.Names("sycamore-hosts") {
		if f.hosts[name] != nil {
			return name
		}
	}
	f.t.Fatal("no host is registered")
	return ""
}

// removeHost kills a host for good.
func (f *platformFleet) removeHost(name string) {
	f.t.Helper()
	h := f.hosts[name]
	if h == nil {
		f.t.Fatalf("host %q is not running", name)
	}
	h.Kill()
	delete(f.hosts, name)
}

// checkInForce fails if a version is not in force at all given hosts within applyLimit after it was stored, or if one of them
// handles a request by an older one once it has handled one by this one.
func (f *platformFleet) checkInForce(version int, stored time.Time, hosts ...string) {
	f.t.Helper()
	for _, host := range hosts {
		for f.callVersion(host, version) != http.StatusOK && time.Since(stored) < applyLimit {
			time.Sleep(20 * time.Millisecond)
		}
		if status := f.callVersion(host, version); status != http.StatusOK {
			f.t.Errorf("version %d is not in force at host %s after %v: status %d", version, host, time.Since(stored).Round(time.Millisecond), status)
		}
		for v := 2; v < version; v++ {
			if status := f.callVersion(host, v); status != http.StatusOK {
				f.t.Errorf("host %s answers %d for a route of version %d while version %d is in force", host, status, v, version)
			}
		}
	}
}

// fenceAudit records which hosts have sent orders with which fencing token.
type fenceAudit struct {
	t       *testing.T
	mu      sync.Mutex
	holders map[uint64]string
	latest  map[string]uint64 // by server
}

// RequestArrived implements platformtest.Observer.
func (a *fenceAudit) RequestArrived(platformtest.Arrival) {}

// RequestEnded implements platformtest.Observer.
func (a *fenceAudit) RequestEnded(platformtest.Arrival, bool) {}

// OrderReceived implements platformtest.Observer.
func (a *fenceAudit) OrderReceived(o platformtest.ReceivedOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if before, known := a.holders[o.Fence]; known && before != o.Holder {
		a.t.Errorf("hosts %s and %s have sent orders with fencing token %d", before, o.Holder, o.Fence)
	}
	a.holders[o.Fence] = o.Holder
	a.latest[o.Server] = max(a.latest[o.Server], o.Fence)
}

// orders returns the number of holders so far and the highest fencing token.
func (a *fenceAudit) highest() (fence uint64, holder string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for f, h := range a.holders {
		if f > fence {
			fence, holder = f, h
		}
	}
	return fence, holder
}

// TestPlatformStoreRestored guards against hosts that go on with what they know of a store that has returned from an older copy
// and gives its revisions out again: changes that are not in force in time or are undone (CONFIG), a server that is used after it
// has begun to leave (DRAIN), and two holders of the placement lease with one fencing token (ONE). Within the time that the store
// loses, the configuration changes, servers join and leave, and in some cases a host joins, or the dispatcher or the holder ends.
func TestPlatformStoreRestored(t *testing.T) {
	for _, trouble := range []string{"none", "dispatcher killed", "holder killed", "host joins", "host restarted"} {
		t.Run(trouble, func(t *testing.T) {
			f := startPlatformFleet(t, 4)
			audit := &fenceAudit{t: t, holders: make(map[uint64]string), latest: make(map[string]uint64)}
			third := platformtest.NewServer(platformtest.ServerOptions{
				ID: "e2", Service: platformtest.EngineService, Slots: 16, WorkTime: 10 * time.Millisecond, StreamEvents: 20, EventInterval: 5 * time.Millisecond,
				Models: []string{"m0"}, MaxModels: 2, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, OrderTime: 20 * time.Millisecond, Observer: audit,
			})
			t.Cleanup(third.Close)
			joining := platformtest.NewServer(platformtest.ServerOptions{ID: "p2", Service: platformtest.PlainService, Slots: 8, WorkTime: 10 * time.Millisecond})
			t.Cleanup(joining.Close)
			third.Register(f.store, "ready")
			rewrite := func(version int) { // what the operator and the servers write again
				f.store.Put("config", "main", configWithRoutes(version))
				for _, s := range append(f.engines, third, joining, f.plain[1]) {
					s.Register(f.store, "ready")
				}
			}
			f.store.Put("config", "main", configWithRoutes(2))
			f.checkInForce(2, time.Now(), f.hostsExcept("")...)
			version := 2
			for drill := range 2 {
				older := f.store.Copy()
				joining.Register(f.store, "ready")
				f.plain[0].Register(f.store, "draining")
				left := time.Now()
				for range 20 { // heartbeats, so that the revisions of what follows are not reached again soon
					f.engines[0].Register(f.store, "ready")
					time.Sleep(10 * time.Millisecond)
				}
				version++
				f.store.Put("config", "main", configWithRoutes(version))
				f.checkInForce(version, time.Now(), f.hostsExcept("")...)
				dispatcher := f.firstAlive()
				switch trouble {
				case "holder killed":
					f.removeHost(f.holder())
				case "dispatcher killed":
					f.removeHost(dispatcher)
				case "host joins":
					h := f.startHost(fmt.Sprint("joined", drill))
					f.waitFor("the host that joins", func() bool {
						resp, err := http.Get("http://" + h.ready + "/ready")
						if err == nil {
							resp.Body.Close()
						}
						return err == nil && resp.StatusCode == http.StatusOK
					})
				case "host restarted":
					f.restartHost(f.hostsExcept(dispatcher)[0])
				}
				f.store.SetUnavailable(true)
				time.Sleep(500 * time.Millisecond)
				f.store.Restore(older)
				rewrite(version)
				f.store.SetUnavailable(false)
				time.Sleep(100 * time.Millisecond)
				version++
				f.store.Put("config", "main", configWithRoutes(version))
				f.checkInForce(version, time.Now(), f.hostsExcept("")...)
				checkNoNewRuns(t, f, f.plain[0], left.Add(applyLimit))
				f.plain[0].Register(f.store, "ready")
				before := third.AcceptedOrders()
				for a := range platformAdapters { // they need orders, so a holder
					checkEventually(t, f, fmt.Sprintf("m0/a%d", a+1))
				}
				if fence, holder := audit.highest(); third.AcceptedOrders() > before {
					t.Logf("orders by %s with fencing token %d", holder, fence)
				}
				f.waitFor("registrations of all hosts", func() bool { return len(f.store.Names("sycamore-hosts")) >= len(f.hosts) })
			}
			f.checkPromises(nil, false)
		})
	}
}

// checkNoNewRuns sends requests to all hosts and fails if a server that leaves runs one of them.
func checkNoNewRuns(t *testing.T, f *platformFleet, s *platformtest.Server, from time.Time) {
	t.Helper()
	time.Sleep(time.Until(from))
	before := len(s.Runs())
	for range 10 {
		for name := range f.hosts {
			platformtest.Do(f.ctx, f.hosts[name].front, lookupCall())
		}
	}
	if n := len(s.Runs()) - before; n > 0 {
		t.Errorf("server %s, which leaves, ran %d requests", s.ID(), n)
	}
}

// checkEventually fails if a model is not served at some host within 5 s.
func checkEventually(t *testing.T, f *platformFleet, model string) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		for _, h := range f.hosts {
			if o := platformtest.Do(f.ctx, h.front, chatCall(model)); o.Status == http.StatusOK && o.BodyComplete {
				return
			}
		}
		if time.Now().After(deadline) {
			t.Errorf("model %s is not served", model)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}
