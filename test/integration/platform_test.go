package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sycamoredeal/internal/soak"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
	"sycamoredeal/platform/platformtest"
)

const (
	platformModels   = 4
	platformAdapters = 5
	callLimit        = 6 * time.Second
)

// platformFleet is a fleet of real host processes on stand-ins of the users' platform.
type platformFleet struct {
	t       *testing.T
	ctx     context.Context
	bed     *testbed.Testbed
	store   *platformtest.Store
	engines []*platformtest.Server
	plain   []*platformtest.Server
	hosts   map[string]*platformHost

	memoryMB int // of each host, 0 for that of platformtest.Settings
}

type platformHost struct {
	*testbed.Process
	front, ready, control, settings string
	toStore, toPeers                *soak.Proxy // toPeers is in use only with proxyPeers
}

// fleetOption changes a fleet before its hosts start.
type fleetOption func(*platformFleet)

// hostMemory sets the memory of the hosts.
func hostMemory(mb int) fleetOption { return func(f *platformFleet) { f.memoryMB = mb } }

// proxyPeers puts a proxy before the address at which each host is reached by the others.
func proxyPeers(f *platformFleet) {
	f.store.SetRewrite(func(kind, name string, spec json.RawMessage) json.RawMessage {
		h := f.hosts[name]
		if kind != "sycamore-hosts" || h == nil {
			return spec
		}
		return json.RawMessage(strings.Replace(string(spec), strconv.Quote(h.control), strconv.Quote(h.toPeers.Address()), 1))
	})
}

func startPlatformFleet(t *testing.T, hosts int, options ...fleetOption) *platformFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	f := &platformFleet{t: t, ctx: ctx, bed: bed, store: platformtest.NewStore(), hosts: make(map[string]*platformHost)}
	t.Cleanup(f.store.Close)
	for _, set := range options {
		set(f)
	}
	f.store.Put("config", "main", platformtest.Config(1, platformModels, platformAdapters))
	for i, held := range [][]string{{"m0", "m1"}, {"m2", "m3"}} {
		f.engines = append(f.engines, platformtest.NewServer(platformtest.ServerOptions{
			ID: fmt.Sprint("e", i), Service: platformtest.EngineService, Slots: 16, WorkTime: 10 * time.Millisecond, StreamEvents: 20,
			EventInterval: 5 * time.Millisecond, Models: held, MaxModels: 2, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, OrderTime: 20 * time.Millisecond,
		}))
	}
	for i := range 2 {
		f.plain = append(f.plain, platformtest.NewServer(platformtest.ServerOptions{
			ID: fmt.Sprint("p", i), Service: platformtest.PlainService, Slots: 8, WorkTime: 10 * time.Millisecond,
		}))
	}
	for _, s := range f.servers() {
		t.Cleanup(s.Close)
		s.Register(f.store, "ready")
	}
	for i := range hosts {
		f.startHost(fmt.Sprint("h", i))
		f.waitFor("registration", func() bool { return len(f.store.Names("sycamore-hosts")) == i+1 })
	}
	for _, h := range f.hosts {
		if err := testbed.WaitHTTP(ctx, "http://"+h.ready+"/ready"); err != nil {
			t.Fatal(err)
		}
	}
	f.waitFor("a holder of the placement lease", func() bool { return f.holder() != "" })
	return f
}

func (f *platformFleet) servers() []*platformtest.Server {
	return append(append([]*platformtest.Server(nil), f.engines...), f.plain...)
}

func (f *platformFleet) startHost(name string) *platformHost {
	f.t.Helper()
	h := &platformHost{front: testbed.FreeAddr(), ready: testbed.FreeAddr(), control: testbed.FreeAddr(), settings: filepath.Join(f.t.TempDir(), name+".toml")}
	var err error
	if h.toStore, err = soak.NewProxy(f.store.Address()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.toStore.Close)
	if h.toPeers, err = soak.NewProxy(h.control); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.toPeers.Close)
	f.hosts[name] = h
	var seeds []string
	for other, o := range f.hosts {
		if other != name {
			seeds = append(seeds, o.control)
		}
	}
	settings := platformtest.Settings(name, h.front, h.ready, h.control, h.toStore.Address(), seeds...)
	if f.memoryMB > 0 {
		settings = strings.Replace(settings, "memory_mb = 200", fmt.Sprint("memory_mb = ", f.memoryMB), 1)
	}
	f.write(h, settings)
	f.startProcess(name)
	return h
}

// startProcess starts the process of a host.
func (f *platformFleet) startProcess(name string) {
	f.t.Helper()
	h := f.hosts[name]
	p, err := f.bed.Start(name, "sycamore-host", "--settings-file", h.settings, "--admin-port", "0")
	if err != nil {
		f.t.Fatal(err)
	}
	h.Process = p
}

// restartHost kills the process of a host and starts another one.
func (f *platformFleet) restartHost(name string) {
	f.t.Helper()
	f.hosts[name].Kill()
	f.startProcess(name)
}

func (f *platformFleet) write(h *platformHost, settings string) {
	f.t.Helper()
	if err := os.WriteFile(h.settings, []byte(settings), 0o644); err != nil {
		f.t.Fatal(err)
	}
}

// holder returns the host that holds the placement lease, by the store.
func (f *platformFleet) holder() string {
	var r struct {
		Holder string `json:"holder"`
	}
	f.store.DecodeSpec("sycamore-leases", "placement", &r)
	return r.Holder
}

// dispatcher returns the host that has the dispatcher's duty: the first in the order of registration.
func (f *platformFleet) dispatcher() string { return f.store.Names("sycamore-hosts")[0] }

// hostsExcept returns the names of the other hosts.
func (f *platformFleet) hostsExcept(name string) []string {
	var out []string
	for other := range f.hosts {
		if other != name {
			out = append(out, other)
		}
	}
	return out
}

func (f *platformFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("no %s in time", what)
}

func chatCall(model string) platformtest.Call {
	return platformtest.Call{Path: platformtest.StreamPath + "x", Method: http.MethodPost, Model: model, Deadline: callLimit, Body: "prompt"}
}

func lookupCall() platformtest.Call {
	return platformtest.Call{Path: platformtest.LookupPath + "x", Method: http.MethodGet, Deadline: callLimit}
}

func bookingCall() platformtest.Call {
	return platformtest.Call{Path: platformtest.BookingPath + "x", Method: http.MethodPost, Deadline: callLimit, Body: "order"}
}

// checkStream fails for an answer that is cut, has gaps or is not the server's.
func checkStream(t *testing.T, o platformtest.Outcome) {
	t.Helper()
	events := o.EventIDs()
	if o.Status != http.StatusOK || !o.BodyComplete || !o.Sealed || len(events) != 20 {
		t.Errorf("request %s: status %d, whole %v, sealed %v, %d events: %.80s", o.ID, o.Status, o.BodyComplete, o.Sealed, len(events), o.Body)
		return
	}
	for i, id := range events {
		if id != i+1 {
			t.Errorf("request %s: event %d has id %d", o.ID, i+1, id)
			return
		}
	}
}

// checkPromises fails if a request that must not be repeated ran twice, if one that was said not to have run has, or if
// an engine was ordered to hold more than fits.
func (f *platformFleet) checkPromises(outcomes []platformtest.Outcome, repeatable bool) {
	f.t.Helper()
	runs := make(map[string]int)
	for _, s := range f.servers() {
		for id, n := range s.Runs() {
			runs[id] += n
		}
		if why := s.CrashReason(); why != "" {
			f.t.Errorf("server %s: %s", s.ID(), why)
		}
	}
	for _, o := range outcomes {
		if n := runs[o.ID]; n > 1 && !repeatable {
			f.t.Errorf("request %s ran %d times", o.ID, n)
		}
		if n := runs[o.ID]; n > 0 && (o.Status == http.StatusServiceUnavailable || o.Status == http.StatusTooManyRequests) {
			f.t.Errorf("request %s was said not to have run and ran %d times", o.ID, n)
		}
	}
}

// load sends calls from several clients to all given hosts until stopped, and returns what the clients saw.
func (f *platformFleet) load(call func(n int) platformtest.Call, hosts ...string) (stop func() []platformtest.Outcome) {
	ctx, cancel := context.WithCancel(f.ctx)
	var mu sync.Mutex
	var out []platformtest.Outcome
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for n := client; ctx.Err() == nil; n++ {
				o := platformtest.Do(f.ctx, f.hosts[hosts[n%len(hosts)]].front, call(n))
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	return func() []platformtest.Outcome {
		cancel()
		wg.Wait()
		return out
	}
}

// steadyLoad sends the given number of calls per second to the hosts in turn until stopped, and returns what the clients saw.
func (f *platformFleet) steadyLoad(perSec int, call func(n int) platformtest.Call, hosts ...string) (stop func() []platformtest.Outcome) {
	ctx, cancel := context.WithCancel(f.ctx)
	var mu sync.Mutex
	var out []platformtest.Outcome
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			c, address := call(n), f.hosts[hosts[n%len(hosts)]].front
			wg.Go(func() {
				o := platformtest.Do(f.ctx, address, c)
				mu.Lock()
				defer mu.Unlock()
				out = append(out, o)
			})
			time.Sleep(time.Second / time.Duration(perSec))
		}
	})
	return func() []platformtest.Outcome {
		cancel()
		wg.Wait()
		return out
	}
}

// TestPlatformServes guards against models, adapters or kinds of request that are not served on a calm fleet.
func TestPlatformServes(t *testing.T) {
	f := startPlatformFleet(t, 3)
	for _, h := range f.hosts {
		for m := range platformModels {
			checkStream(t, platformtest.Do(f.ctx, h.front, chatCall(fmt.Sprint("m", m))))
			for a := range platformAdapters {
				checkStream(t, platformtest.Do(f.ctx, h.front, chatCall(fmt.Sprintf("m%d/a%d", m, a+1))))
			}
		}
		for _, c := range []platformtest.Call{lookupCall(), bookingCall()} {
			if o := platformtest.Do(f.ctx, h.front, c); o.Status != http.StatusOK || o.Body != "answer to "+o.ID {
				t.Errorf("%s: %d %q", c.Path, o.Status, o.Body)
			}
		}
		if o := platformtest.Do(f.ctx, h.front, platformtest.Call{Path: "/nowhere/", Method: "GET", Deadline: time.Second}); o.Status != http.StatusNotFound {
			t.Errorf("unknown path: %d", o.Status)
		}
	}
	f.checkPromises(nil, false)
}

// TestPlatformDispatcherKilled guards against requests that are lost, doubled or cut at other hosts when the dispatcher
// dies.
func TestPlatformDispatcherKilled(t *testing.T) {
	f := startPlatformFleet(t, 4)
	first := f.dispatcher()
	others := f.hostsExcept(first)
	stop := f.load(func(n int) platformtest.Call {
		if n%2 == 0 {
			return bookingCall()
		}
		return chatCall(fmt.Sprint("m", n%platformModels))
	}, others...)
	time.Sleep(500 * time.Millisecond)
	f.hosts[first].Kill()
	time.Sleep(1500 * time.Millisecond)
	got := stop()
	for _, o := range got {
		if o.Status != http.StatusOK || !o.BodyComplete {
			t.Errorf("request %s: status %d after %v: %.60s", o.ID, o.Status, o.Duration, o.Body)
		}
	}
	if len(got) < 100 {
		t.Errorf("%d requests only", len(got))
	}
	f.checkPromises(got, false)
}

// TestPlatformDispatcherFrozen guards against requests that wait for a dispatcher which stands still.
func TestPlatformDispatcherFrozen(t *testing.T) {
	f := startPlatformFleet(t, 3)
	first := f.dispatcher()
	others := f.hostsExcept(first)
	if err := f.hosts[first].Suspend(); err != nil {
		t.Fatal(err)
	}
	stop := f.load(func(int) platformtest.Call { return lookupCall() }, others...)
	time.Sleep(1500 * time.Millisecond)
	got := stop()
	for _, o := range got {
		if o.Status != http.StatusOK || o.Duration > time.Second {
			t.Errorf("request %s: status %d after %v", o.ID, o.Status, o.Duration)
		}
	}
	if err := f.hosts[first].Resume(); err != nil {
		t.Fatal(err)
	}
	f.checkPromises(got, true)
}

// TestPlatformHolderKilled guards against engines that get no more orders after the holder of the lease has died.
func TestPlatformHolderKilled(t *testing.T) {
	f := startPlatformFleet(t, 3)
	before := f.holder()
	if before == f.dispatcher() {
		t.Errorf("host %s has both duties although others are there", before)
	}
	f.hosts[before].Kill()
	f.waitFor("next holder", func() bool { h := f.holder(); return h != "" && h != before })
	for name, h := range f.hosts {
		if name != before {
			f.waitFor("adapter at "+name, func() bool {
				o := platformtest.Do(f.ctx, h.front, chatCall("m0/a4"))
				return o.Status == http.StatusOK && len(o.EventIDs()) == 20
			})
		}
	}
	f.checkPromises(nil, false)
}

// TestPlatformReload guards against a process that ends at SIGHUP (it did), and against bad settings that are used.
func TestPlatformReload(t *testing.T) {
	f := startPlatformFleet(t, 1)
	h := f.hosts["h0"]
	f.write(h, "node_name = [")
	if err := h.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	f.waitFor("finding", func() bool { return strings.Contains(h.Output(), "the former ones stay") })
	f.write(h, platformtest.Settings("h0", h.front, h.ready, h.control, h.toStore.Address()))
	if err := h.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	f.waitFor("reload", func() bool { return strings.Contains(h.Output(), "Settings reloaded") })
	if o := platformtest.Do(f.ctx, h.front, lookupCall()); o.Status != http.StatusOK {
		t.Errorf("after the reload: %d", o.Status)
	}
}

// TestPlatformStop guards against streams and requests that are cut by a planned stop.
func TestPlatformStop(t *testing.T) {
	f := startPlatformFleet(t, 2)
	h := f.hosts[f.dispatcher()]
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	stop := f.load(func(n int) platformtest.Call {
		if n%2 == 0 {
			return chatCall("m0")
		}
		return bookingCall()
	}, f.dispatcher())
	time.Sleep(300 * time.Millisecond)
	if err := h.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	<-ctx.Done() // callers are led away within two seconds
	got := stop()
	for _, o := range got {
		if o.Status != http.StatusOK || !o.BodyComplete {
			t.Errorf("request %s: status %d, whole %v", o.ID, o.Status, o.BodyComplete)
		}
	}
	select {
	case <-h.Done():
	case <-time.After(8 * time.Second):
		t.Error("the process is still there when it would be killed")
	}
	f.checkPromises(got, false)
}

// TestPlatformStopWaiting guards against requests that are cut by a planned stop while they wait for a place
// (further/jyltyr-almaty, trouble-2: LOST): they are answered before the stop ends, and so are those that come while it
// begins. It is the same without the dispatcher and without the store.
func TestPlatformStopWaiting(t *testing.T) {
	for _, without := range []string{"", "dispatcher", "store"} {
		t.Run("without "+without, func(t *testing.T) {
			f := startPlatformFleet(t, 2)
			stopped, first := "h0", f.dispatcher()
			if first == stopped {
				stopped = "h1"
			}
			switch without {
			case "dispatcher":
				f.hosts[first].Kill()
				f.waitFor("another dispatcher", func() bool {
					return platformtest.Do(f.ctx, f.hosts[stopped].front, lookupCall()).Status == http.StatusOK
				})
			case "store":
				f.store.SetUnavailable(true)
			}
			f.engines[0].StallStreams(10 * time.Second) // longer than the stop may take
			var wg sync.WaitGroup
			var mu sync.Mutex
			var got []platformtest.Outcome
			call := func(n int) {
				for range n {
					wg.Go(func() {
						c := chatCall("m0")
						c.Path, c.Deadline = platformtest.ResumablePath+"x", 15*time.Second
						o := platformtest.Do(f.ctx, f.hosts[stopped].front, c)
						mu.Lock()
						defer mu.Unlock()
						got = append(got, o)
					})
				}
			}
			call(24) // the engine has 16 places
			time.Sleep(300 * time.Millisecond)
			if err := f.hosts[stopped].Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			call(4)
			wg.Wait()
			ran := f.engines[0].Runs()
			waited := 0
			for _, o := range got {
				if ran[o.ID] > 0 {
					continue // the engine does not end it in time
				}
				if waited++; o.Status != http.StatusServiceUnavailable || !o.BodyComplete {
					t.Errorf("request %s: status %d, whole %v after %v", o.ID, o.Status, o.BodyComplete, o.Duration)
				}
			}
			if waited < 8 {
				t.Errorf("%d requests waited only", waited)
			}
			f.checkPromises(got, false)
		})
	}
}

// TestPlatformStoreOutage guards against service that stops with the store, against a configuration that comes into
// force late after an outage (a watch hung for its whole time), and against one that goes back.
func TestPlatformStoreOutage(t *testing.T) {
	f := startPlatformFleet(t, 2)
	f.store.SetUnavailable(true)
	stop := f.load(func(int) platformtest.Call { return lookupCall() }, "h0", "h1")
	time.Sleep(1200 * time.Millisecond)
	for _, o := range stop() {
		if o.Status != http.StatusOK {
			t.Errorf("request %s during the outage: %d %s", o.ID, o.Status, o.Body)
		}
	}
	f.store.SetUnavailable(false)
	next := platformtest.Config(2, platformModels, platformAdapters)
	next["routes"] = next["routes"].([]any)[:2] // the routes to the plain service are dropped
	f.store.Put("config", "main", next)
	time.Sleep(2 * time.Second)
	for name, h := range f.hosts {
		if o := platformtest.Do(f.ctx, h.front, lookupCall()); o.Status != http.StatusNotFound {
			t.Errorf("host %s, two seconds after the change: %d", name, o.Status)
		}
	}
	f.store.Put("config", "main", platformtest.Config(1, platformModels, platformAdapters)) // an older version
	time.Sleep(500 * time.Millisecond)
	for name, h := range f.hosts {
		if o := platformtest.Do(f.ctx, h.front, lookupCall()); o.Status != http.StatusNotFound {
			t.Errorf("host %s went back to an older version: %d", name, o.Status)
		}
	}
}

// TestPlatformOrdersDuringOutage guards against adapters and copies that can't be loaded while the store is away, because
// the holder's term ends (further/jyltyr-almaty, trouble-3: no orders for seven seconds while demand moved). Where servers
// don't check fences, orders have to end with the term.
func TestPlatformOrdersDuringOutage(t *testing.T) {
	const term = 3 * time.Second
	for _, checked := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences checked %v", checked), func(t *testing.T) {
			f := startPlatformFleet(t, 3)
			for name, h := range f.hosts {
				settings := platformtest.Settings(name, h.front, h.ready, h.control, h.toStore.Address())
				f.write(h, strings.Replace(settings, "enforce_fencing = true", fmt.Sprint("enforce_fencing = ", checked), 1))
				if err := h.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
				f.waitFor("reload", func() bool { return strings.Contains(h.Output(), "Settings reloaded") })
			}
			f.store.SetUnavailable(true)
			time.Sleep(term + 500*time.Millisecond)
			before := f.engines[0].AcceptedOrders()
			o := platformtest.Do(f.ctx, f.hosts["h0"].front, chatCall("m0/a3"))
			if served := o.Status == http.StatusOK && len(o.EventIDs()) == 20; served != checked {
				t.Errorf("an adapter that was not loaded: status %d, %d events", o.Status, len(o.EventIDs()))
			}
			if n := f.engines[0].AcceptedOrders() - before; n > 0 && !checked {
				t.Errorf("%d orders after the end of the term", n)
			}
			f.store.SetUnavailable(false)
			f.waitFor("orders after the outage", func() bool {
				o := platformtest.Do(f.ctx, f.hosts["h1"].front, chatCall("m0/a4"))
				return o.Status == http.StatusOK && len(o.EventIDs()) == 20
			})
			f.checkPromises(nil, false)
		})
	}
}

// TestPlatformDispatcherWithoutStore guards against hosts that miss changes, or all follow the store themselves, when the
// dispatcher alone has lost it: other hosts follow the store for the dispatcher, which passes changes on.
func TestPlatformDispatcherWithoutStore(t *testing.T) {
	f := startPlatformFleet(t, 5)
	f.hosts[f.dispatcher()].toStore.SetMode(soak.Silent, 0)
	time.Sleep(2500 * time.Millisecond) // until its calls have timed out and a relay is found
	next := platformtest.Config(2, platformModels, platformAdapters)
	next["routes"] = next["routes"].([]any)[:2] // the routes to the plain service are dropped
	f.store.Put("config", "main", next)
	time.Sleep(2 * time.Second)
	for name, h := range f.hosts { // the dispatcher is one of them
		if o := platformtest.Do(f.ctx, h.front, lookupCall()); o.Status != http.StatusNotFound {
			t.Errorf("host %s, two seconds after the change: %d", name, o.Status)
		}
	}
}

// TestPlatformStartDuringOutage guards against a host that answers "not found" before it knows the configuration, and
// against one that can't serve while the store is away although other hosts know everything.
func TestPlatformStartDuringOutage(t *testing.T) {
	f := startPlatformFleet(t, 2)
	f.store.SetUnavailable(true)
	h := f.startHost("late")
	f.waitFor("service at the new host", func() bool {
		o := platformtest.Do(f.ctx, h.front, lookupCall())
		if o.Status == http.StatusNotFound {
			t.Errorf("404 without a configuration")
		}
		return o.Status == http.StatusOK
	})
}

// TestPlatformSilentEngine guards against a stream that is cut because its engine is silent for a while, although no other
// engine can go on with it: the engine's answer would still have come.
func TestPlatformSilentEngine(t *testing.T) {
	f := startPlatformFleet(t, 2)
	c := chatCall("m0") // held by one engine only
	c.Path = platformtest.ResumablePath + "x"
	done := make(chan platformtest.Outcome)
	go func() { done <- platformtest.Do(f.ctx, f.hosts["h0"].front, c) }()
	time.Sleep(60 * time.Millisecond) // some events have arrived
	f.engines[0].StallStreams(1800 * time.Millisecond)
	checkStream(t, <-done)
}

// TestPlatformDrain guards against work for a server that is leaving.
func TestPlatformDrain(t *testing.T) {
	f := startPlatformFleet(t, 2)
	f.plain[0].Register(f.store, "draining")
	time.Sleep(time.Second)
	before := len(f.plain[0].Runs())
	stop := f.load(func(int) platformtest.Call { return lookupCall() }, "h0", "h1")
	time.Sleep(700 * time.Millisecond)
	stop()
	if n := len(f.plain[0].Runs()) - before; n > 0 {
		t.Errorf("%d requests sent to a server that is leaving", n)
	}
}

// TestPlatformServerSaysItLeaves guards against work for a server that says in its answers that it leaves, while the list
// shows it as ready: every host has to stop within two seconds of the first such answer that it passes on.
func TestPlatformServerSaysItLeaves(t *testing.T) {
	f := startPlatformFleet(t, 2)
	f.plain[0].SetLeaving(true)
	stop := f.load(func(int) platformtest.Call { return lookupCall() }, "h0", "h1")
	time.Sleep(time.Second)
	before := len(f.plain[0].Runs())
	if before == 0 {
		t.Error("the server that leaves got no request at all")
	}
	time.Sleep(time.Second)
	for _, o := range stop() {
		if o.Status != http.StatusOK {
			t.Errorf("request %s: status %d", o.ID, o.Status)
		}
	}
	if n := len(f.plain[0].Runs()) - before; n > 0 {
		t.Errorf("%d requests sent to a server that has said that it leaves", n)
	}
}

// TestPlatformServerWantsNothing guards against requests for a server that has turned one away and stated a time in which
// it wants nothing: at most two may reach it from a host after half a second, until that time ends.
func TestPlatformServerWantsNothing(t *testing.T) {
	f := startPlatformFleet(t, 1)
	const quiet, slack, allowed = 3 * time.Second, 500 * time.Millisecond, 2
	f.plain[0].SetRetryAfter(quiet)
	stop := f.load(func(int) platformtest.Call { return lookupCall() }, "h0")
	f.waitFor("refusal", func() bool { return len(f.plain[0].Refused()) > 0 })
	time.Sleep(slack)
	before := len(f.plain[0].Refused())
	time.Sleep(quiet - 2*slack)
	if n := len(f.plain[0].Refused()) - before; n > allowed {
		t.Errorf("%d requests within the time in which the server wants nothing", n)
	}
	for _, o := range stop() {
		if o.Status != http.StatusOK {
			t.Errorf("request %s beside a sound server: %d", o.ID, o.Status)
		}
	}
	// With all servers silent, requests that can't be served in time are refused at once, with the time to come back.
	f.plain[1].SetRetryAfter(10 * quiet)
	f.plain[0].SetRetryAfter(10 * quiet)
	f.waitFor("refusal by the host", func() bool {
		o := platformtest.Do(f.ctx, f.hosts["h0"].front, lookupCall())
		return o.Status == http.StatusServiceUnavailable && o.Duration < time.Second && o.RetryAfterMs > 0
	})
}

// TestPlatformServerFails guards against requests that keep failing at one server while another one serves: repeatable
// requests go on there, the others are answered with the server's own error and never run twice.
func TestPlatformServerFails(t *testing.T) {
	f := startPlatformFleet(t, 2)
	f.plain[0].SetFailing(true)
	stop := f.load(func(n int) platformtest.Call {
		if n%2 == 0 {
			return bookingCall()
		}
		return lookupCall()
	}, "h0", "h1")
	time.Sleep(2 * time.Second)
	got := stop()
	failed := 0
	for _, o := range got {
		if o.Status != http.StatusOK {
			failed++
		}
	}
	if share := float64(failed) / float64(len(got)); share > 0.2 {
		t.Errorf("%d of %d requests failed beside a sound server", failed, len(got))
	}
	f.plain[0].Close() // and now it is gone without a word
	stop = f.load(func(int) platformtest.Call { return lookupCall() }, "h0", "h1")
	time.Sleep(time.Second)
	for _, o := range stop() {
		if o.Status != http.StatusOK {
			t.Errorf("request %s after the crash of one server: %d", o.ID, o.Status)
		}
	}
}

// TestPlatformLostOrder guards against an order without an answer that is only given up: the request that needs it waits
// for long, and the order takes effect seconds later.
func TestPlatformLostOrder(t *testing.T) {
	f := startPlatformFleet(t, 2)
	const late = 1500 * time.Millisecond
	time.Sleep(500 * time.Millisecond) // until the holder has read the engines
	f.engines[0].DelayOrders(1, late)
	o := platformtest.Do(f.ctx, f.hosts["h0"].front, chatCall("m0/a1"))
	checkStream(t, o)
	if o.Duration > time.Second {
		t.Errorf("served after %v", o.Duration)
	}
	time.Sleep(late)
	if n := f.engines[0].AcceptedOrders(); n != 1 {
		t.Errorf("%d orders took effect", n)
	}
	f.checkPromises([]platformtest.Outcome{o}, false)
}

// TestPlatformStaleMissing guards against the word of a host that an adapter is missing which was loaded since: the holder
// counted its place as free while other loads waited, and ordered more than fits.
func TestPlatformStaleMissing(t *testing.T) {
	f := startPlatformFleet(t, 2)
	up := make(chan *transport.Conn, 1)
	c := transport.Dial(f.ctx, f.hosts[f.holder()].control, transport.Options{
		Hello: wire.Hello{Host: "test", Role: wire.RoleHost}, Handler: func(*transport.Conn, uint64, wire.Message) {},
		OnConnected: func(c *transport.Conn) { up <- c },
	})
	defer c.Close()
	conn := <-up
	prepare := func(adapter string, missing bool) bool {
		m, err := conn.Call(f.ctx, &wire.Prepare{Endpoint: "e0", Model: "m0", Adapter: adapter, Missing: missing})
		r, ok := m.(*wire.PrepareReply)
		return err == nil && ok && r.OK
	}
	for i := range 3 {
		f.waitFor("adapter", func() bool { return prepare(fmt.Sprint("a", i+1), false) })
	}
	var wg sync.WaitGroup
	wg.Go(func() { prepare("a4", false) })
	time.Sleep(5 * time.Millisecond)
	wg.Go(func() { prepare("a5", false) })
	time.Sleep(5 * time.Millisecond)
	wg.Go(func() { prepare("a3", true) })
	wg.Wait()
	f.checkPromises(nil, false)
}

// TestPlatformManyAdapters guards against requests that are kept waiting for seconds when more adapters are asked for than
// there are places (soak, seeds 1 to 3): the holder believed adapters to be in use that no longer were, and requests gave
// the endpoint up after three tries.
func TestPlatformManyAdapters(t *testing.T) {
	f := startPlatformFleet(t, 3)
	const rounds = 2
	for range rounds {
		begun := time.Now()
		var wg sync.WaitGroup
		for m := range platformModels {
			for a := range platformAdapters {
				wg.Go(func() {
					c := chatCall(fmt.Sprintf("m%d/a%d", m, a+1))
					c.Path = platformtest.ResumablePath + "x" // its callers wait for some seconds
					checkStream(t, platformtest.Do(f.ctx, f.hosts[fmt.Sprint("h", a%3)].front, c))
				})
			}
		}
		wg.Wait()
		// 20 adapters of 110 ms each and 6 places take half a second.
		if d := time.Since(begun); d > 3*time.Second {
			t.Errorf("served after %v", d)
		}
	}
	f.checkPromises(nil, false)
}

// TestPlatformLateOrders guards against engines that are made to hold too much by orders that get no answer and are
// carried out after newer ones.
func TestPlatformLateOrders(t *testing.T) {
	f := startPlatformFleet(t, 2)
	for round := range 3 {
		for _, e := range f.engines {
			e.DelayOrders(3, time.Duration(200+300*round)*time.Millisecond)
		}
		var wg sync.WaitGroup
		for m := range platformModels {
			for a := range platformAdapters {
				wg.Go(func() { platformtest.Do(f.ctx, f.hosts["h0"].front, chatCall(fmt.Sprintf("m%d/a%d", m, a+1))) })
			}
		}
		wg.Wait()
	}
	time.Sleep(time.Second)
	f.checkPromises(nil, false)
	for m := range platformModels {
		f.waitFor("service after late orders", func() bool {
			o := platformtest.Do(f.ctx, f.hosts["h0"].front, chatCall(fmt.Sprintf("m%d/a1", m)))
			return o.Status == http.StatusOK
		})
	}
}
