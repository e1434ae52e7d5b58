package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Bounds of the users' platform for a part of prompts that crashes engines.
const (
	stableTime       = 3 * time.Second // after the fifth crash, all hosts have to know the part
	crashesToLearn   = 5
	maxDeadlyArrived = 3 // requests with the part that may still reach engines then
	engineRestart    = 400 * time.Millisecond
)

// crashingEngines replaces the engines of a fleet by ones that crash when they begin an answer on a part of prompts. Each is
// back after engineRestart as another process.
type crashingEngines struct {
	f    *platformFleet
	part string

	mu       sync.Mutex
	started  int
	crashes  []time.Time
	arrivals []platformtest.Arrival
	servers  []*platformtest.Server
	closed   bool
}

func newCrashingEngines(f *platformFleet, part string, engines int) *crashingEngines {
	c := &crashingEngines{f: f, part: part}
	for _, s := range f.engines {
		f.store.Delete("servers", s.ID())
		s.Close()
	}
	f.t.Cleanup(c.close)
	for range engines {
		c.start()
	}
	f.waitFor("engines", func() bool {
		return platformtest.Do(f.ctx, f.hosts["h0"].front, chatCall("m0")).Status == http.StatusOK
	})
	return c
}

// start starts an engine. Every engine holds the models m0 and m1.
func (c *crashingEngines) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	id := fmt.Sprint("c", c.started)
	c.started++
	s := platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: platformtest.EngineService, Slots: 16, WorkTime: 15 * time.Millisecond, StreamEvents: 20, EventInterval: 5 * time.Millisecond,
		Models: []string{"m0", "m1"}, MaxModels: 2, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, OrderTime: 20 * time.Millisecond,
		CrashPart: c.part, Observer: c, OnCrash: func() { go c.replace(id) },
	})
	c.servers = append(c.servers, s)
	s.Register(c.f.store, "ready")
}

// replace removes the entry of a crashed engine and starts another one.
func (c *crashingEngines) replace(id string) {
	c.mu.Lock()
	c.crashes = append(c.crashes, time.Now())
	c.mu.Unlock()
	time.Sleep(engineRestart)
	c.f.store.Delete("servers", id)
	c.start()
}

func (c *crashingEngines) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.servers {
		s.Close()
	}
}

// RequestArrived implements platformtest.Observer.
func (c *crashingEngines) RequestArrived(a platformtest.Arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, a)
}

// RequestEnded implements platformtest.Observer.
func (c *crashingEngines) RequestEnded(platformtest.Arrival, bool) {}

// OrderReceived implements platformtest.Observer.
func (c *crashingEngines) OrderReceived(platformtest.ReceivedOrder) {}

// crashCount returns the number of crashes so far, and the time of the fifth one, zero if there were fewer.
func (c *crashingEngines) crashCount() (n int, fifth time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n = len(c.crashes); n >= crashesToLearn {
		fifth = c.crashes[crashesToLearn-1]
	}
	return n, fifth
}

// arrivedAfter returns how many of the given requests reached engines later than after.
func (c *crashingEngines) arrivedAfter(ids map[string]bool, after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.arrivals {
		if ids[a.ID] && a.ArrivedAt.After(after) {
			n++
		}
	}
	return n
}

// deadlyLoad sends sound requests and ones with a deadly part to the given hosts until stopped. It records the ids of the
// deadly ones.
type deadlyLoad struct {
	stop func() []platformtest.Outcome

	mu  sync.Mutex
	ids map[string]bool
}

func (f *platformFleet) startDeadlyLoad(part string, hosts ...string) *deadlyLoad {
	l := &deadlyLoad{ids: make(map[string]bool)}
	var mu sync.Mutex
	var out []platformtest.Outcome
	done := make(chan struct{})
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			for n := client; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				c := chatCall(fmt.Sprint("m", n%2))
				c.Deadline = 2 * time.Second
				id := platformtest.NextID()
				c.Parts = fmt.Sprintf("a1:50,b%x:20", n%30)
				if n%6 == 5 {
					c.Parts = "a1:50,b1:20," + part + ":20"
					l.mu.Lock()
					l.ids[id] = true
					l.mu.Unlock()
				}
				client := platformtest.NewClient(f.hosts[hosts[n%len(hosts)]].front)
				o := client.DoWithID(f.ctx, id, c)
				client.Close()
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
			}
		})
	}
	l.stop = func() []platformtest.Outcome {
		close(done)
		wg.Wait()
		return out
	}
	return l
}

// TestPlatformCrashingPart guards against hosts that send requests with a part that crashes engines to one engine after the
// other (BUDGET), and that fail sound requests with the same first part (LOST): on a calm fleet, while the dispatcher is
// killed or stands still, without the store, and at a host that starts when the others know the part.
func TestPlatformCrashingPart(t *testing.T) {
	for _, trouble := range []string{"none", "dispatcher killed", "dispatcher frozen", "store away", "host joins"} {
		t.Run(trouble, func(t *testing.T) {
			f := startPlatformFleet(t, 4)
			const part = "dead"
			e := newCrashingEngines(f, part, 4)
			first := f.dispatcher()
			callers := f.hostsExcept(first)
			if trouble == "store away" {
				f.store.SetUnavailable(true)
			}
			begun := time.Now()
			l := f.startDeadlyLoad(part, callers...)
			f.waitFor("crash", func() bool { n, _ := e.crashCount(); return n >= 2 })
			switch trouble {
			case "dispatcher killed":
				f.hosts[first].Kill()
			case "dispatcher frozen":
				if err := f.hosts[first].Suspend(); err != nil {
					t.Fatal(err)
				}
				defer func() {
					if err := f.hosts[first].Resume(); err != nil {
						t.Error(err)
					}
				}()
			}
			time.Sleep(time.Until(begun.Add(4 * time.Second)))
			l.stop()
			if trouble == "store away" {
				f.store.SetUnavailable(false)
			}
			if trouble == "host joins" {
				f.startHost("late")
				callers = []string{"late"}
				f.waitFor("late host", func() bool {
					return platformtest.Do(f.ctx, f.hosts["late"].front, chatCall("m0")).Status == http.StatusOK
				})
			}
			crashes, fifth := e.crashCount()
			learned := begun.Add(4 * time.Second)
			if !fifth.IsZero() {
				learned = fifth.Add(stableTime)
				time.Sleep(time.Until(learned))
			}
			l = f.startDeadlyLoad(part, callers...)
			time.Sleep(2 * time.Second)
			got := l.stop()
			if n := e.arrivedAfter(l.ids, learned); n > maxDeadlyArrived {
				after, _ := e.crashCount()
				t.Errorf("%d requests that crash engines reached them after %v; %d crashes, %d before", n, learned.Sub(begun), after, crashes)
			}
			sound, served := 0, 0
			for _, o := range got {
				if !l.ids[o.ID] {
					if sound++; o.Status == http.StatusOK && o.BodyComplete {
						served++
					}
					continue
				}
				if o.Status == http.StatusServiceUnavailable && o.Duration > time.Second {
					t.Errorf("request %s, which can't be served, was refused after %v", o.ID, o.Duration)
				}
			}
			if sound < 50 || served < sound*9/10 {
				t.Errorf("%d of %d sound requests were served", served, sound)
			}
		})
	}
}

// TestPlatformBlockOutlivesHosts guards against hosts that crash engines again to learn a part, after all of them were killed
// at the same moment.
func TestPlatformBlockOutlivesHosts(t *testing.T) {
	f := startPlatformFleet(t, 3)
	const part = "dead"
	e := newCrashingEngines(f, part, 4)
	callers := []string{"h0", "h1", "h2"}
	l := f.startDeadlyLoad(part, callers...)
	f.waitFor("end of the crashes", func() bool {
		before, _ := e.crashCount()
		time.Sleep(time.Second)
		after, _ := e.crashCount()
		return before > 0 && after == before
	})
	l.stop()
	for _, h := range f.hosts {
		h.Kill()
	}
	for _, name := range callers {
		f.startHost(name)
	}
	for _, name := range callers {
		f.waitFor("host "+name, func() bool {
			return platformtest.Do(f.ctx, f.hosts[name].front, chatCall("m0")).Status == http.StatusOK
		})
	}
	before, _ := e.crashCount()
	l = f.startDeadlyLoad(part, callers...)
	time.Sleep(2 * time.Second)
	l.stop()
	if after, _ := e.crashCount(); after > before {
		t.Errorf("%d crashes after the hosts were killed", after-before)
	}
}
