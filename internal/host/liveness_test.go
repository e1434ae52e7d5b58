package host

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/wire"
)

// testBound is the bound of a change in these tests, which is that of deployments without a bound of their own.
const testBound = 2 * time.Second

// pricedCalls returns the price of the calls to a store, as a number of full calls. A probe costs a tenth.
func pricedCalls(s *fakeStore) float64 {
	price := 0.0
	for class, n := range s.calls.Counts() {
		if class.Operation == "probe" {
			price += 0.1 * float64(n)
		} else {
			price += float64(n)
		}
	}
	return price
}

// startDispatcher starts a host that is its own dispatcher, and returns it once it follows the store.
func startDispatcher(t *testing.T, ctx context.Context, store *fakeStore) *Host {
	t.Helper()
	store.put("config", "main", "1")
	store.put("servers", "e1", "1")
	h := newFollower("h0", "h0", store)
	go h.directory.run(ctx)
	awaitConfig(t, h, 1, testBound)
	for !h.directory.isCurrent() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(testBound)
	return h
}

// TestCalmFleetMakesFewCalls plays a minute without changes at a fleet whose dispatcher follows the store, with and
// without entries of endpoints that are written again and again, as servers do for their heartbeats. It guards against
// calls whose number grows with the fleet, and against short polls: the dispatcher of a fleet in calm asked for changes
// of the configuration 100 times a minute, and for those of endpoints 100 times a minute or at each heartbeat.
func TestCalmFleetMakesFewCalls(t *testing.T) {
	const hosts = 20
	for _, c := range []struct {
		name      string
		heartbeat time.Duration // between writes of an entry, 0 for none
		most      float64       // calls in the minute
	}{{"no heartbeats", 0, 130}, {"heartbeats", 200 * time.Millisecond, 180}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				ctx, cancel := context.WithCancel(t.Context())
				h := startDispatcher(t, ctx, store)
				var others []*Host
				for i := 1; i < hosts; i++ {
					o := newFollower(fmt.Sprint("h", i), "h0", store)
					receiveState(o, wire.FleetState{ViewCurrent: true})
					go o.directory.run(ctx)
					others = append(others, o)
				}
				before := 0.0
				start := time.Now()
				const settled = 10 * time.Second // after which all hosts have started
				for i := 0; time.Since(start) < settled+time.Minute; i++ {
					if before == 0 && time.Since(start) >= settled {
						before = pricedCalls(store)
					}
					if i%10 == 0 {
						state := wire.FleetState{ViewCurrent: h.directory.isCurrent()}
						if !state.ViewCurrent {
							t.Fatal("the dispatcher counts as one that has lost the store")
						}
						for _, o := range others {
							receiveState(o, state)
						}
					}
					if c.heartbeat > 0 && time.Duration(i)*10*time.Millisecond%c.heartbeat == 0 {
						store.put("servers", "e1", "1")
					}
					time.Sleep(10 * time.Millisecond)
				}
				if n := pricedCalls(store) - before; n > c.most {
					t.Errorf("%.1f calls in a minute, want at most %.0f: %v", n, c.most, store.calls.Counts())
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestLostAnswerDelaysNoChange plays a call for changes that hangs because the answer with the change got lost, while the
// store answers other calls. It guards against a change that is in force only after the bound.
func TestLostAnswerDelaysNoChange(t *testing.T) {
	for _, heartbeats := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			ctx, cancel := context.WithCancel(t.Context())
			h := startDispatcher(t, ctx, store)
			if heartbeats {
				go func() {
					for ; ctx.Err() == nil; clock.Sleep(ctx, 200*time.Millisecond) {
						store.put("servers", "e1", "1")
					}
				}()
			}
			for version := uint64(2); version < 12; version++ {
				time.Sleep(time.Duration(version-2) * 170 * time.Millisecond % (510 * time.Millisecond)) // also at once, in the pause after a change
				store.mu.Lock()
				store.loseNextChange = "config"
				store.mu.Unlock()
				store.put("config", "main", fmt.Sprint(version))
				awaitConfig(t, h, version, testBound)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestSilentStoreIsNoticed plays a store that falls silent for the dispatcher at different moments, while all its calls
// wait, and accepts a change then. It guards against a dispatcher that counts as one that follows the store for longer
// than half of the bound, since relays have to read the change in the other half; and against a call that hangs on after
// a short silence, while the store answers others, until the bound is over.
func TestSilentStoreIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := startDispatcher(t, ctx, store)
		for version := uint64(2); version < 12; version++ {
			time.Sleep(5*time.Second + time.Duration(version)*170*time.Millisecond)
			if !h.directory.isCurrent() {
				t.Fatal("the dispatcher counts as one that has lost the store")
			}
			store.setSilent(true)
			store.put("config", "main", fmt.Sprint(version))
			start := time.Now()
			for h.directory.isCurrent() {
				if time.Since(start) > testBound/2+probeCheckInterval {
					t.Fatalf("the dispatcher counts as one that follows the store after %v of silence", time.Since(start))
				}
				time.Sleep(10 * time.Millisecond)
			}
			store.setSilent(false)
			awaitConfig(t, h, version, testBound-time.Since(start))
		}
		cancel()
		synctest.Wait()
	})
}

// TestSlowStoreIsFollowed plays a store whose answers take longer than those of a store in order. It guards against a
// host that gives up each call before its answer, and never learns of a change.
func TestSlowStoreIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := startDispatcher(t, ctx, store)
		store.mu.Lock()
		store.latency = 700 * time.Millisecond
		store.mu.Unlock()
		for version := uint64(2); version < 8; version++ {
			time.Sleep(time.Duration(version) * 170 * time.Millisecond)
			store.put("config", "main", fmt.Sprint(version))
			awaitConfig(t, h, version, 2*testBound)
		}
		cancel()
		synctest.Wait()
	})
}

// TestFollowTimes guards against a deployment whose bound is not kept: a call that hangs has to be repeated within it, and
// a store that is silent for the dispatcher noticed within half of it.
func TestFollowTimes(t *testing.T) {
	for _, bound := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second} {
		x, want := newFollowTimes(bound), bound
		if bound == 0 {
			want = testBound
		}
		if x.watchWait+x.answerDelay+minRetryDelay >= want {
			t.Errorf("bound %v: a hung call is repeated after %v", bound, x.watchWait+x.answerDelay)
		}
		if x.pause+x.answerDelay >= want/2 || x.probeAfter+x.answerDelay > want/2 || x.maxSilence > want/2 {
			t.Errorf("bound %v: %+v", bound, x)
		}
	}
}

// TestSeriesOfChangesIsReadAtOnce plays endpoints that appear one after the other, as in a start or a release. It guards
// against a dispatcher that learns of each only after the pause that heartbeats cause.
func TestSeriesOfChangesIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := startDispatcher(t, ctx, store)
		for i := range 10 {
			store.put("servers", fmt.Sprint("n", i), "1")
			time.Sleep(2 * seriesPause)
			if n := len(h.directory.view().Endpoints); n != i+2 {
				t.Fatalf("%d endpoints %v after number %d appeared", n, 2*seriesPause, i+2)
			}
		}
		store.put("servers", "n0", "1") // a heartbeat
		time.Sleep(seriesPause / 2)
		before := store.count("servers")
		for range 10 {
			time.Sleep(seriesPause)
			store.put("servers", "n0", "1")
		}
		if n := store.count("servers") - before; n > 2 {
			t.Errorf("%d calls in %v of heartbeats", n, 10*seriesPause)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRegistrationsAreReadTogether plays the start of a large fleet, in which each host is its own dispatcher until it
// knows of the others. It guards against a host that reads each registration by itself: 565 of the 1,680 calls of a day
// with 115 hosts (further-grown/jyltyr-almaty-grown, quiet-1).
func TestRegistrationsAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		h := newFollower("h0", "h0", store)
		go h.directory.run(ctx)
		for i := range 100 {
			store.put(kindHosts, fmt.Sprint("x", i), "{}")
			time.Sleep(20 * time.Millisecond)
		}
		if n := store.count(kindHosts); n > 10 {
			t.Errorf("%d calls for hosts while 100 of them register within 2 s: %v", n, store.calls.Counts())
		}
		cancel()
		synctest.Wait()
	})
}
