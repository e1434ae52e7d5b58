package host

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
)

// constantCodec reads the same configuration from every object of that kind.
type constantCodec struct{ entryCodec }

func (constantCodec) Config(objects.Object) (*fleet.Config, bool, error) {
	c := &fleet.Config{Version: 1}
	c.Index()
	return c, true, nil
}

// TestHostsThatStartTogether starts all hosts of a fleet, and guards against hosts that have no view or use several dispatchers
// long after. Their earlier processes are still listed, as after a loss of power. In scenario further/jyltyr-almaty scale-1, 13
// hosts had no view for 0.5 s; in large/caprired-large trouble-1, six dispatchers served 19 hosts for a second.
func TestHostsThatStartTogether(t *testing.T) {
	const (
		hosts        = 8
		agreeWithin  = 350 * time.Millisecond // after the last start; less than forwardGrace
		callsPerHost = 6                      // list of hosts, registration, changes of hosts, and the dispatcher's reads
	)
	for _, c := range []struct {
		name    string
		listed  bool          // the store lists earlier processes
		between time.Duration // between two starts
	}{
		{"first start", false, 0}, {"again at once", true, 0}, {"again one after another", true, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newMemoryStore()
			config, endpoints := entryCodec{}.Kinds()
			store.put(objects.Object{Kind: config, Name: "c"})
			store.put(objects.Object{Kind: endpoints, Name: "e", Data: []byte("1")})
			var addresses []string
			for i := range hosts {
				addresses = append(addresses, testbed.FreeAddr())
				if c.listed {
					o, err := objects.Encode(kindHosts, fmt.Sprint("h", i), "", fleet.Host{Address: addresses[i], Incarnation: uint64(i + 1)})
					if err != nil {
						t.Fatal(err)
					}
					store.put(o)
				}
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			var fleetHosts []*Host
			for i := range hosts {
				n := (i*3 + 2) % hosts // the first listed host is not the first to start
				h := New(Options{Deployment: fleet.Deployment{Host: fmt.Sprint("h", n), PeerAddress: addresses[n]}, Codec: constantCodec{}, Store: store,
					Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
				fleetHosts = append(fleetHosts, h)
				if _, err := transport.Listen(ctx, addresses[n], h.peerOptions()); err != nil {
					t.Fatal(err)
				}
				for _, run := range []func(context.Context){h.directory.run, h.dispatcher.run, h.binder.run} {
					wg.Go(func() { run(ctx) })
				}
				time.Sleep(c.between)
			}
			begin := time.Now()
			for {
				used, complete := make(map[string]int), 0
				for _, h := range fleetHosts {
					d, _, _ := h.binder.dispatcherInUse()
					used[d.Name]++
					if h.directory.isComplete() {
						complete++
					}
				}
				if len(used) == 1 && used[""] == 0 && complete == hosts {
					break
				}
				if time.Since(begin) > agreeWithin {
					t.Fatalf("%s after the last start: dispatchers in use %v, %d of %d hosts have a view", agreeWithin, used, complete, hosts)
				}
				time.Sleep(time.Millisecond)
			}
			t.Logf("agreed after %s, %d calls, lists %v", time.Since(begin), store.Calls(), store.lists)
			if n := store.Calls(); n > hosts*callsPerHost {
				t.Errorf("%d calls to the store by %d hosts, at most %d are needed", n, hosts, hosts*callsPerHost)
			}
			store.mu.Lock()
			defer store.mu.Unlock()
			if n := store.lists[endpoints]; n > hosts/2 {
				t.Errorf("the endpoints were listed %d times by %d hosts", n, hosts)
			}
		})
	}
}

// TestRefusingHostsArePassedOver guards against a fleet that waits for connectTimeout for each dead host that is listed before a
// living one, after it has lost its dispatcher: the address of a process that has ended refuses connections at once.
func TestRefusingHostsArePassedOver(t *testing.T) {
	const dead, within = 4, connectTimeout
	log := telemetry.NewLogger(os.Stderr, "fatal", "test")
	address := testbed.FreeAddr()
	other := New(Options{Deployment: fleet.Deployment{Host: "h8", PeerAddress: address}, Codec: entryCodec{}, Log: log})
	if _, err := transport.Listen(t.Context(), address, other.peerOptions()); err != nil {
		t.Fatal(err)
	}
	h := New(Options{Deployment: fleet.Deployment{Host: "h9"}, Codec: entryCodec{}, Log: log})
	v := &fleet.View{}
	for i := range dead {
		v.Hosts = append(v.Hosts, fleet.Host{Name: fmt.Sprint("h", i), Address: testbed.FreeAddr()})
	}
	v.Hosts = append(v.Hosts, fleet.Host{Name: "h8", Address: address, Incarnation: other.incarnation}, fleet.Host{Name: "h9", Incarnation: h.incarnation})
	h.directory.currentView.Store(v)
	h.binder.started = true
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { h.binder.run(ctx) })
	for begin := time.Now(); ; time.Sleep(time.Millisecond) {
		if d, _, _ := h.binder.dispatcherInUse(); d.Name == "h8" {
			return
		}
		if time.Since(begin) > within {
			t.Fatalf("no dispatcher %s after the loss of the last one, %d dead hosts are listed first", within, dead)
		}
	}
}
