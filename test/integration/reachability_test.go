package integration

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
)

const (
	reachEndpoints = 6
	reachModels    = 7
	// Terms of the bound below: the lease passes on after the heartbeats that a challenger waits for, one renewal (a third
	// of the term), the term, its margin (a sixth) and one more renewal; the planner counts an endpoint as dead 3 s after
	// its latest report, and a new holder waits as long for reports of all endpoints.
	takeover   = 2*faultBeat + faultTerm/3 + faultTerm + faultTerm/6 + faultTerm/3
	detection  = 3 * time.Second
	lostCopies = 4 // model copies on two endpoints
	// reload is the time in which the weight store loads the lost copies, one after the other.
	reload = lostCopies * (time.Second/faultLoads + faultLoadTime)
	// busy is for a machine that runs other tests at the same time.
	busy = 6 * time.Second
	// reachableAgain bounds the time in which all declared models answer again. Copies that must give way are unloaded
	// after the bound on late orders.
	reachableAgain = takeover + detection + faultLateBound + reload + busy
)

// reachFleet starts a fleet that is nearly full, so that the loss of some endpoints takes the only copy of a model and
// room for a new one has to be made.
func reachFleet(t *testing.T) *faultFleet {
	t.Parallel()
	sizes := slices.Repeat([]int{10}, reachModels)
	f := startFaultFleet(t, 2*time.Minute, memoryDeclarations(reachEndpoints)+modelSet(1, sizes...))
	f.within(reachableAgain, "all models answer at first", func() string { return f.unanswered(f.Hosts...) })
	return f
}

// again checks that all models answer through the running hosts within the bound.
func (f *faultFleet) again(what string, hosts ...*testbed.Host) {
	f.t.Helper()
	took := f.within(reachableAgain, "all models answer after the loss of "+what, func() string { return f.unanswered(hosts...) })
	f.t.Logf("all models answer %s after the loss of %s", took.Round(10*time.Millisecond), what)
	if v := f.overcommits(); v != "" {
		f.t.Fatal(v)
	}
}

func (f *faultFleet) kill(h *testbed.Host) {
	h.Entry.Kill()
	h.Control.Kill()
}

// killEndpoints kills the engines, whose memory accounts are checked before.
func (f *faultFleet) killEndpoints(names ...string) {
	f.t.Helper()
	if v := f.overcommits(); v != "" {
		f.t.Fatal(v)
	}
	for _, n := range names {
		f.Engines[n].Kill()
	}
}

// revive starts a killed endpoint again and waits until it holds models.
func (f *faultFleet) revive(name string) {
	f.t.Helper()
	if err := f.StartEngine(f.Snapshot.Endpoint(name)); err != nil {
		f.t.Fatal(err)
	}
	f.within(reachableAgain, name+" holds models again", func() string {
		if rep, err := f.reports.Report(f.ctx, f.engineAddr(name)); err != nil || len(rep.Residents) == 0 {
			return "none"
		}
		return ""
	})
}

// copies returns the endpoints that hold each model ready.
func (f *faultFleet) copies() map[string][]string {
	out := make(map[string][]string)
	for name := range f.Engines {
		rep, err := f.reports.Report(f.ctx, f.engineAddr(name))
		if err != nil {
			continue
		}
		for _, r := range rep.Residents {
			if !r.Adapter && r.State == "ready" {
				out[r.Name] = append(out[r.Name], name)
			}
		}
	}
	return out
}

// TestReachableWithoutHost guards against models that stop answering when an entry host dies: one that holds the lease
// or hosts the dispatcher, or any other.
func TestReachableWithoutHost(t *testing.T) {
	f := reachFleet(t)
	for _, role := range []string{"lease holder", "dispatcher", "lease holder"} {
		lost := f.holder()
		if role == "dispatcher" {
			s, _ := f.status(lost)
			lost = f.Hosts[slices.IndexFunc(f.Hosts, func(h *testbed.Host) bool { return h.Name == s.Dispatcher })]
		}
		f.kill(lost)
		f.again("the "+role+" "+lost.Name, f.others(lost)...)
		if f.holder() == lost {
			t.Fatal("the lease stays with a dead host")
		}
		if err := f.StartControl(lost); err != nil {
			t.Fatal(err)
		}
		if err := f.StartEntry(lost); err != nil {
			t.Fatal(err)
		}
		if err := testbed.WaitHTTP(f.ctx, "http://"+lost.EntryAddr+"/readyz"); err != nil {
			t.Fatal(err)
		}
		f.again("nothing", f.Hosts...)
	}
}

// TestReachableWithoutEndpoint guards against models whose only copy was on an endpoint that dies, for every endpoint.
func TestReachableWithoutEndpoint(t *testing.T) {
	f := reachFleet(t)
	for i := range reachEndpoints {
		name := fmt.Sprint("e", i)
		f.killEndpoints(name)
		f.again("endpoint "+name, f.Hosts...)
		f.revive(name)
	}
}

// TestReachableWithoutTwoEndpoints guards against a model whose copies are all lost at once, and whose new copy needs
// the room of others, while the holder of the lease dies too.
func TestReachableWithoutTwoEndpoints(t *testing.T) {
	for _, withHolder := range []bool{false, true} {
		t.Run(fmt.Sprint("withHolder=", withHolder), func(t *testing.T) {
			f := reachFleet(t)
			lost, model := f.onlyCopies()
			hosts := f.Hosts
			if withHolder {
				h := f.holder()
				f.kill(h)
				hosts = f.others(h)
			}
			f.killEndpoints(lost...)
			f.again(fmt.Sprintf("endpoints %v with all copies of %s", lost, model), hosts...)
		})
	}
}

// onlyCopies waits for a model with at most two copies and returns two endpoints that include all of them.
func (f *faultFleet) onlyCopies() (lost []string, model string) {
	f.t.Helper()
	f.within(reachableAgain, "a model with at most two copies", func() string {
		for name, on := range f.copies() {
			if len(on) <= 2 {
				lost, model = on, name
				return ""
			}
		}
		return "none"
	})
	for i := 0; len(lost) < 2; i++ {
		if n := fmt.Sprint("e", i); n != lost[0] {
			lost = append(lost, n)
		}
	}
	return lost, model
}

// TestReachableWithoutZone guards against models that are lost with all endpoints and hosts of an availability zone.
func TestReachableWithoutZone(t *testing.T) {
	for _, zone := range []string{"z0", "z1", "z2"} {
		t.Run(zone, func(t *testing.T) {
			f := reachFleet(t)
			var names []string
			for i := range f.Snapshot.Endpoints {
				if e := &f.Snapshot.Endpoints[i]; e.Zone == zone {
					names = append(names, e.Name)
				}
			}
			hosts := slices.DeleteFunc(slices.Clone(f.Hosts), func(h *testbed.Host) bool {
				if h.Zone == zone {
					f.kill(h)
				}
				return h.Zone == zone
			})
			f.killEndpoints(names...)
			f.again("availability zone "+zone, hosts...)
		})
	}
}

// TestReachableDuringOutage guards against requests that fail while the platform is out and an endpoint dies: models
// with another copy answer during the outage, and all models answer after it.
func TestReachableDuringOutage(t *testing.T) {
	f := reachFleet(t)
	var lost string
	var kept []string
	// 12 copies fit for 7 models, so at least two models have a single copy.
	f.within(reachableAgain, "models with a single copy and with more", func() string {
		copies := f.copies()
		lost, kept = "", nil
		for name, on := range copies {
			if len(on) > 1 {
				kept = append(kept, name)
			} else {
				lost = on[0]
			}
		}
		if len(kept) < reachModels/2 || lost == "" {
			return fmt.Sprint(copies)
		}
		return ""
	})
	f.put(strings.TrimPrefix(f.PlatformURL, "http://"), `{"outage":true}`)
	f.killEndpoints(lost)
	f.within(detection+busy, "models with another copy answer during the outage", func() string {
		for _, h := range f.Hosts {
			for _, name := range kept {
				if err := f.ask(h, name); err != nil {
					return fmt.Sprintf("%s through %s: %v", name, h.Name, err)
				}
			}
		}
		return ""
	})
	time.Sleep(2 * faultTerm) // every lease lapses
	for _, name := range kept {
		if err := f.ask(f.Hosts[0], name); err != nil {
			t.Errorf("%s during the outage without a lease: %v", name, err)
		}
	}
	f.put(strings.TrimPrefix(f.PlatformURL, "http://"), `{}`)
	f.again("endpoint "+lost+" and an outage", f.Hosts...)
}
