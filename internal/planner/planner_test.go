package planner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/planner"
	standin "sycamoredeal/internal/standin/engine"
	platformstandin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// lossyStore loses answers of updates and can be out.
type lossyStore struct {
	objects.Store
	lose atomic.Int32 // answers of the next updates are lost after they took effect
	out  atomic.Bool
}

func (s *lossyStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if s.out.Load() {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *lossyStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	if s.out.Load() {
		return o, objects.ErrUnavailable
	}
	o, err := s.Store.Update(ctx, o)
	if err == nil && s.lose.Add(-1) >= 0 {
		return objects.Object{}, objects.ErrUnavailable
	}
	return o, err
}

type world struct {
	t       *testing.T
	store   *lossyStore
	engines []*standin.Server
	decl    atomic.Pointer[config.Snapshot]
}

func newWorld(t *testing.T, engines, models int, fencing bool) *world {
	plat := httptest.NewServer(platformstandin.New())
	t.Cleanup(plat.Close)
	w := &world{t: t, store: &lossyStore{Store: objects.NewClient(plat.URL, "")}}
	d := config.Declarations{WeightStore: config.WeightStore{LoadsPerSecond: 50, ConcurrentLoads: 5, AdaptersInFlight: 10}}
	for i := range engines {
		e := standin.New(standin.Options{MemoryBytes: 24, Slots: 2, ChecksFencing: fencing, LoadTime: 20 * time.Millisecond})
		srv := httptest.NewServer(e)
		t.Cleanup(srv.Close)
		w.engines = append(w.engines, e)
		d.Endpoints = append(d.Endpoints, config.Endpoint{Name: fmt.Sprintf("e%d", i), Host: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%2),
			Address: strings.TrimPrefix(srv.URL, "http://"), Memory: 20, AdapterMemory: 4, Slots: 2, ChecksFencing: fencing})
	}
	for i := range models {
		d.Models = append(d.Models, config.Model{Name: fmt.Sprintf("m%d", i), Memory: 10, MinReplicas: 1})
	}
	d.Adapters = []config.Adapter{{Name: "a0", Model: "m0", Memory: 2}}
	w.decl.Store(config.NewSnapshot(1, d))
	return w
}

// start runs a planner and returns a channel with its result.
func (w *world) start(ctx context.Context, epoch uint64, valid func() bool) <-chan error {
	done, ended := make(chan error, 1), make(chan struct{})
	go func() {
		defer close(ended)
		done <- planner.Run(ctx, epoch, planner.Deps{
			Cell: "c", Store: w.store, Engines: engine.NewClient(time.Second), Snapshot: w.decl.Load, Valid: valid,
			Demand:  func() map[string]wire.ModelDemand { return nil },
			Publish: func(wire.Placement) {}, Log: telemetry.Discard(), LateBound: 500 * time.Millisecond,
		})
	}()
	w.t.Cleanup(func() { <-ended })
	return done
}

func (w *world) holders(name string) (n int) {
	for _, e := range w.engines {
		for _, r := range e.Report().Residents {
			if r.Name == name && r.State == "ready" {
				n++
			}
		}
	}
	return n
}

func (w *world) complete() bool {
	d := w.decl.Load()
	for _, m := range d.Models {
		if w.holders(m.Name) == 0 {
			return false
		}
	}
	return w.holders("a0") > 0
}

// settled tells whether the stored placement has no unresolved intent.
func (w *world) settled() bool {
	o, err := w.store.Store.Get(context.Background(), objects.KindPlacement, "c")
	if err != nil {
		return false
	}
	p, err := objects.Decode[wire.Placement](o)
	for _, e := range p.Endpoints {
		if len(e.Intents) > 0 {
			return false
		}
	}
	return err == nil
}

func (w *world) eventually(limit time.Duration, what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			for _, e := range w.engines {
				w.t.Logf("%+v", e.Report())
			}
			o, err := w.store.Store.Get(context.Background(), objects.KindPlacement, "c")
			w.t.Fatalf("not within %s: %s; stored %s, %v", limit, what, o.Data, err)
		}
	}
}

func (w *world) noViolations() {
	w.t.Helper()
	for i, e := range w.engines {
		if v := e.Report().Violations; v != 0 {
			w.t.Errorf("e%d was overcommitted %d times", i, v)
		}
	}
}

func always() bool { return true }

// sleepyLease is a lease whose holder is paused between storing intents and sending them, and still believes that it
// holds the lease when it wakes up.
type sleepyLease struct {
	ctx    context.Context
	store  objects.Store
	paused chan struct{} // closed when the holder sleeps
	wake   chan struct{}
	asleep atomic.Bool
}

func (l *sleepyLease) valid() bool {
	o, err := l.store.Get(context.Background(), objects.KindPlacement, "c")
	if err != nil {
		return true
	}
	if p, err := objects.Decode[wire.Placement](o); err == nil {
		for _, e := range p.Endpoints {
			if len(e.Intents) > 0 {
				if l.asleep.CompareAndSwap(false, true) {
					close(l.paused)
				}
				select {
				case <-l.wake:
				case <-l.ctx.Done():
				}
				return true
			}
		}
	}
	return true
}

// TestLateHolder guards against memory that a new holder gives away although an old one, which was paused between
// storing and sending, still sends its orders.
func TestLateHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			w := newWorld(t, 4, 4, fencing)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			old := &sleepyLease{ctx: ctx, store: w.store.Store, paused: make(chan struct{}), wake: make(chan struct{})}
			oldDone := w.start(ctx, 1, old.valid)
			<-old.paused
			// The new holder plans for other models. It executes the inherited loads, unloads their models and gives the
			// memory to others, before the old holder sends the same loads.
			d := w.decl.Load().Declarations
			d.Models = append([]config.Model{}, d.Models...)
			for i := range d.Models {
				d.Models[i].Name = fmt.Sprintf("n%d", i)
			}
			d.Adapters = []config.Adapter{{Name: "a0", Model: "n0", Memory: 2}}
			w.decl.Store(config.NewSnapshot(2, d))
			w.start(ctx, 2, always)
			w.eventually(5*time.Second, "new holder places its models", w.complete)
			w.eventually(5*time.Second, "new holder gives the memory of the inherited models away", func() bool {
				for i := range d.Models {
					if w.holders(fmt.Sprintf("m%d", i)) > 0 || w.holders(d.Models[i].Name) < 2 {
						return false
					}
				}
				return true
			})
			close(old.wake)
			select {
			case err := <-oldDone:
				if !errors.Is(err, planner.ErrSuperseded) {
					t.Fatalf("old holder ended with %v", err)
				}
			case <-time.After(5 * time.Second):
				t.Fatal("old holder still plans")
			}
			time.Sleep(300 * time.Millisecond)
			w.noViolations()
			cancel()
		})
	}
}

// TestLostOrdersAndAnswers guards against placement that stalls or overcommits when orders are lost, delayed or
// duplicated, reports lag, answers of the platform are lost, and an engine restarts.
func TestLostOrdersAndAnswers(t *testing.T) {
	w := newWorld(t, 4, 6, false)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, e := range w.engines {
		e.SetFaults(standin.Faults{DropOrders: 1, DelayOrders: 2, OrderDelay: standin.Duration(300 * time.Millisecond),
			DuplicateOrders: 3, DuplicateAfter: standin.Duration(time.Second), ReportLag: standin.Duration(100 * time.Millisecond)})
	}
	w.store.lose.Store(3)
	w.start(ctx, 1, always)
	w.eventually(15*time.Second, "all models placed", w.complete)
	// Orders that were stored before the outage may be sent in it, and copies of them arrive late.
	time.Sleep(1200 * time.Millisecond)
	w.eventually(15*time.Second, "all orders ended", w.settled)
	w.store.out.Store(true)
	resp, err := http.Post("http://"+w.decl.Load().Endpoints[0].Address+"/_restart", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(500 * time.Millisecond)
	if n := len(w.engines[0].Report().Residents); n != 0 {
		t.Fatalf("%d loads were ordered during the platform's outage", n)
	}
	w.store.out.Store(false)
	w.eventually(15*time.Second, "restarted endpoint holds models again", func() bool {
		return len(w.engines[0].Report().Residents) >= 2 && w.complete()
	})
	time.Sleep(time.Second)
	w.noViolations()
	cancel()
}

// TestDeadEndpoint guards against models that stay unreachable because one endpoint does not answer.
func TestDeadEndpoint(t *testing.T) {
	w := newWorld(t, 4, 4, true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.start(ctx, 1, always)
	w.eventually(5*time.Second, "all models placed", w.complete)
	lost := w.engines[0]
	lost.SetFaults(standin.Faults{RefuseConnections: true})
	w.engines = w.engines[1:]
	w.eventually(10*time.Second, "models of the dead endpoint placed elsewhere", w.complete)
	w.noViolations()
	cancel()
}

// TestObjectSize guards against a placement object that outgrows the platform's limit of 1 MB at the target size.
func TestObjectSize(t *testing.T) {
	p := wire.Placement{Cell: "region-andina-cell-17", Epoch: 1 << 20, Version: 1 << 30}
	for i := range 50 {
		e := wire.EndpointPlacement{Endpoint: fmt.Sprintf("servidor-ia-%03d", i), Incarnation: strings.Repeat("x", 36), Sequence: 1 << 30}
		for j := range 60 {
			e.Residents = append(e.Residents, wire.Resident{Name: fmt.Sprintf("consorcio-adapter-name-%03d", j), Adapter: true, Bytes: 1 << 36})
		}
		for j := range 32 {
			e.Intents = append(e.Intents, wire.Intent{ID: 1 << 40, Epoch: 1 << 20, Action: 1, Name: fmt.Sprintf("consorcio-adapter-name-%03d", j), Adapter: true, Base: "consorcio-model-name-000", Bytes: 1 << 36})
		}
		p.Endpoints = append(p.Endpoints, e)
	}
	var b bytes.Buffer
	json.NewEncoder(&b).Encode(p)
	t.Logf("%d bytes with 60 residents and 32 intents on each of 50 endpoints", b.Len())
	if b.Len() > 600_000 {
		t.Fatalf("placement object has %d bytes", b.Len())
	}
}
