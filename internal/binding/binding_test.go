package binding

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const slotsEach = 4

// node is one entry with its server, as the entry process wires them.
type node struct {
	b      *Binder
	s      *Server
	addr   string
	cancel context.CancelFunc
	wait   func()
}

type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	view  *routing.View
	nodes map[string]*node
}

func (f *fleet) current() *routing.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// newFleet starts entries h0.. in front of one endpoint of 4 slots that holds model m.
func newFleet(t *testing.T, n int, freeze <-chan struct{}) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node)}
	d := config.Declarations{
		Ranks: []config.Rank{{Name: "u", Deadline: 3 * time.Minute}}, Endpoints: []config.Endpoint{{Name: "e", Slots: slotsEach}},
	}
	p := &wire.Placement{Endpoints: []wire.EndpointPlacement{{Endpoint: "e", Residents: []wire.Resident{{Name: "m"}}}}}
	f.view = &routing.View{Snapshot: config.NewSnapshot(1, d), Placement: p}
	for i := range n {
		f.start(fmt.Sprint("h", i), freeze)
	}
	t.Cleanup(func() {
		for h := range f.nodes {
			f.kill(h)
		}
	})
	return f
}

// start runs a node. Its server's journal waits on freeze, so that a test can stop the dispatcher from answering.
func (f *fleet) start(host string, freeze <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	hello := wire.Hello{Host: host, Role: wire.RoleEntry, Cell: "c"}
	journal := func(dispatch.Output) {
		if freeze != nil {
			<-freeze
		}
	}
	s := NewServer(dispatch.Config{RebuildFor: 100 * time.Millisecond}, f.current, journal)
	ln, err := transport.Listen(ctx, "127.0.0.1:0", s.Options(hello))
	if err != nil {
		f.t.Fatal(err)
	}
	b := New(Options{Hello: hello, View: f.current, Server: s, AnswerWithin: 100 * time.Millisecond})
	var wg sync.WaitGroup
	wg.Go(func() { s.Run(ctx) })
	wg.Go(func() { b.Run(ctx) })
	f.nodes[host] = &node{b: b, s: s, addr: ln.Addr(), cancel: cancel, wait: func() { wg.Wait(); ln.Wait() }}
}

func (f *fleet) kill(host string) {
	n := f.nodes[host]
	delete(f.nodes, host)
	n.cancel()
	n.wait()
}

// members publishes the running nodes.
func (f *fleet) members() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := *f.view
	v.Members = nil
	for h, n := range f.nodes {
		v.Members = append(v.Members, wire.Member{Host: h, EntryAddress: n.addr})
	}
	f.view = &v
}

// linked waits until every binder is connected to a dispatcher.
func (f *fleet) linked() string {
	f.t.Helper()
	want, _ := f.nodes["h0"].b.dispatcher(f.current())
	f.until("connected to "+want, func() bool {
		for _, n := range f.nodes {
			n.b.mu.Lock()
			ok := n.b.link != nil && n.b.link.host == want && n.b.link.usable()
			n.b.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	})
	return want
}

func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// run sends requests through every node and returns the largest number that held a slot at the same time.
func (f *fleet) run(each int, hold time.Duration) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	held, most := 0, 0
	for _, n := range f.nodes {
		for range each {
			wg.Go(func() {
				x, err := n.b.Bind(f.t.Context(), wire.Ask{Model: "m"})
				if err != nil {
					f.t.Error(err)
					return
				}
				mu.Lock()
				held++
				most = max(most, held)
				mu.Unlock()
				time.Sleep(hold)
				mu.Lock()
				held--
				mu.Unlock()
				x.Release(wire.Done{})
				x.Release(wire.Done{}) // a second release must not free another request's slot
			})
		}
	}
	wg.Wait()
	return most
}

func (f *fleet) idle() {
	f.t.Helper()
	for h, n := range f.nodes {
		n.b.mu.Lock()
		if len(n.b.calls) != 0 || len(n.b.waiters) != 0 {
			f.t.Errorf("%s still has %d calls, %d waiters", h, len(n.b.calls), len(n.b.waiters))
		}
		n.b.mu.Unlock()
	}
}

// Guards against slots granted twice or lost between entries that share a dispatcher.
func TestSharedDispatcher(t *testing.T) {
	f := newFleet(t, 3, nil)
	f.members()
	f.linked()
	if most := f.run(20, 5*time.Millisecond); most > slotsEach {
		t.Errorf("%d requests held a slot at once, the endpoint has %d", most, slotsEach)
	}
	f.idle()
}

// Guards against an entry without members being unable to serve.
func TestAloneInProcess(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.linked()
	if most := f.run(30, 2*time.Millisecond); most > slotsEach {
		t.Errorf("%d requests held a slot at once", most)
	}
	f.idle()
}

// Guards against requests lost, or held until their deadline, when the dispatcher dies while they run and wait; and
// against the next dispatcher granting slots that are in use.
func TestDispatcherKilled(t *testing.T) {
	f := newFleet(t, 3, nil)
	f.members()
	old := f.linked()
	doomed := f.nodes[old]
	go func() {
		time.Sleep(30 * time.Millisecond)
		doomed.cancel()
		doomed.wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		v := *f.view
		v.Members = nil
		for h, n := range f.nodes {
			if h != old {
				v.Members = append(v.Members, wire.Member{Host: h, EntryAddress: n.addr})
			}
		}
		f.view = &v
	}()
	survivors := &fleet{t: t, nodes: make(map[string]*node)}
	for h, n := range f.nodes {
		if h != old {
			survivors.nodes[h] = n
		}
	}
	began := time.Now()
	most := survivors.run(20, 20*time.Millisecond)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("40 requests of 20 ms took %v", took)
	}
	// While deciding alone, each of 3 entries may hold its share of 4/3 slots in addition to the grants that run.
	if most > 2*slotsEach {
		t.Errorf("%d requests held a slot at once", most)
	}
	survivors.idle()
	f.kill(old)
}

// Guards against requests that hang because the dispatcher stops answering while its connections stay open.
func TestDispatcherFrozen(t *testing.T) {
	freeze := make(chan struct{})
	f := newFleet(t, 2, freeze)
	defer close(freeze) // before the nodes are stopped
	f.members()
	f.linked()
	began := time.Now()
	f.run(4, 5*time.Millisecond) // the first decision freezes the dispatcher
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("8 requests of 5 ms took %v", took)
	}
	f.idle()
}

// Guards against a request that stays in the queue of a dispatcher that froze after it answered Queued.
func TestFrozenWhileQueued(t *testing.T) {
	freeze := make(chan struct{}, 100)
	for range slotsEach {
		freeze <- struct{}{} // the grants of the first requests pass
	}
	f := newFleet(t, 1, freeze)
	defer close(freeze)
	f.linked()
	b := f.nodes["h0"].b
	var held []routing.Binding
	for range slotsEach {
		x, err := b.Bind(t.Context(), wire.Ask{Model: "m"})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, x)
	}
	got := make(chan error, 1)
	go func() {
		x, err := b.Bind(t.Context(), wire.Ask{Model: "m"})
		if err == nil {
			x.Release(wire.Done{})
		}
		got <- err
	}()
	f.until("queued", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		c := b.calls[slotsEach+1]
		return c != nil && c.phase == queued
	})
	for _, x := range held {
		x.Release(wire.Done{}) // the next decision freezes the dispatcher
	}
	select {
	case err := <-got:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("the queued request was not decided")
	}
}

// Guards against failures other than lost accuracy while two entries disagree about who is the dispatcher.
func TestTwoDispatchers(t *testing.T) {
	f := newFleet(t, 2, nil) // without members each entry uses its own dispatcher
	f.linked2()
	if most := f.run(20, 5*time.Millisecond); most > 2*slotsEach {
		t.Errorf("%d requests held a slot at once, each dispatcher has %d", most, slotsEach)
	}
	f.members()
	f.linked()
	if most := f.run(20, 5*time.Millisecond); most > slotsEach {
		t.Errorf("%d requests held a slot at once after the entries agreed", most)
	}
	f.idle()
}

func (f *fleet) linked2() {
	f.until("connected", func() bool {
		for _, n := range f.nodes {
			n.b.mu.Lock()
			ok := n.b.link.usable()
			n.b.mu.Unlock()
			if !ok {
				return false
			}
		}
		return true
	})
}

// Guards against a new dispatcher granting the slots of requests that run, when the role moves.
func TestRoleMoves(t *testing.T) {
	f := newFleet(t, 2, nil)
	f.linked2() // each uses its own dispatcher
	var held []routing.Binding
	for range slotsEach {
		x, err := f.nodes["h0"].b.Bind(t.Context(), wire.Ask{Model: "m"})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, x)
	}
	f.members()
	f.linked()
	time.Sleep(150 * time.Millisecond) // the bound of rebuilding
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := f.nodes["h1"].b.Bind(ctx, wire.Ask{Model: "m"}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("bind to a full endpoint: %v, want it to wait", err)
	}
	for i, x := range held {
		x.Release(wire.Done{})
		x.Release(wire.Done{})
		b := f.nodes["h0"].b
		b.mu.Lock()
		if own := b.chooser.Own("e"); own != slotsEach-1-i {
			t.Errorf("%d requests counted after %d releases, each called twice", own, i+1)
		}
		b.mu.Unlock()
	}
	f.idle()
}

// Guards against slots leaked by requests whose callers go away while they wait or just as they are granted.
func TestCancelledBind(t *testing.T) {
	f := newFleet(t, 2, nil)
	f.members()
	f.linked()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		for i := range 100 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*200*time.Microsecond)
				defer cancel()
				if x, err := n.b.Bind(ctx, wire.Ask{Model: "m"}); err == nil {
					time.Sleep(time.Millisecond)
					x.Release(wire.Done{})
				} else if !errors.Is(err, context.DeadlineExceeded) {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	f.idle()
	if most := f.run(2*slotsEach, 5*time.Millisecond); most != slotsEach {
		t.Errorf("%d of %d slots usable after the cancelled requests", most, slotsEach)
	}
}

// Guards against decisions that an entry makes alone and that operators can't find by the request.
func TestAloneIsRecorded(t *testing.T) {
	f := newFleet(t, 0, nil)
	var got []Alone
	b := New(Options{Policy: routing.PolicyIndependent, View: f.current, Journal: func(a Alone) { got = append(got, a) }})
	if _, err := b.Bind(t.Context(), wire.Ask{Model: "m", Request: "r1"}); err != nil {
		t.Fatal(err)
	}
	b.Bind(t.Context(), wire.Ask{Model: "nowhere", Request: "r2"})
	if len(got) != 2 || got[0].Ask.Request != "r1" || got[0].Endpoint != "e" || got[1].Endpoint != "" || got[1].Reason != routing.ErrNoResident.Error() {
		t.Errorf("recorded %+v", got)
	}
}
