package host

import (
	randv1 "math/rand"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"testing/quick"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// messages has one message of each kind that hosts send each other.
var messages = []wire.Message{
	&wire.Ask{}, &wire.Started{}, &wire.Done{}, &wire.Cancel{}, &wire.Resync{}, &wire.HolderBeat{}, &wire.ViewAsk{}, &wire.RelayBeat{},
	&wire.ViewUpdate{}, &wire.EndpointLeaves{}, &wire.EndpointLimit{}, &wire.Queued{}, &wire.Grant{}, &wire.Refuse{}, &wire.FleetState{}, &wire.Prepare{},
	&wire.PrepareReply{}, &wire.ViewRequest{}, &wire.ViewReply{}, &wire.Hello{},
}

// setKnownValues replaces about half of the strings in a message by names that exist in the test, and about half of the
// uint64 values by small ones, so that the handlers get past their lookups.
func setKnownValues(v reflect.Value, rng *rand.Rand) {
	names := []string{"e0", "e1", "m0", "lm", "h1", "servers", "config", kindHosts}
	switch v.Kind() {
	case reflect.Pointer:
		setKnownValues(v.Elem(), rng)
	case reflect.Struct:
		for i := range v.NumField() {
			setKnownValues(v.Field(i), rng)
		}
	case reflect.Slice:
		for i := range v.Len() {
			setKnownValues(v.Index(i), rng)
		}
	case reflect.String:
		if rng.IntN(2) == 0 {
			v.SetString(names[rng.IntN(len(names))])
		}
	case reflect.Uint64:
		if rng.IntN(2) == 0 {
			v.SetUint(uint64(rng.IntN(20)))
		}
	}
}

// TestMalformedMessages guards against one message with unexpected values ending the process.
func TestMalformedMessages(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0", RetryWindow: 1e9}, Codec: testCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	engine := &fleet.Engine{Slots: 4, KVTokens: 1000, MemoryMB: 100, AdapterSlots: 1, Models: []fleet.Model{{Name: "m0", WeightsMB: 10}}}
	h.directory.currentView.Store(&fleet.View{
		Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"lm": {Name: "lm", Engine: engine}}}, EndpointsListed: true,
		Endpoints: []fleet.Endpoint{
			{ID: "e0", Service: "lm", Slots: 4, Models: []fleet.Resident{{Model: "m0"}}}, {ID: "e1", Service: "lm", Models: []fleet.Resident{{Model: "m0"}}},
		},
		Hosts: []fleet.Host{{Name: "h0"}, {Name: "h1"}},
	})
	d, from := h.dispatcher, &fakePeer{}
	l := &link{host: fleet.Host{Name: "h1"}, conn: &fakePeer{}}
	h.binder.link = l
	rng, valueRand := rand.New(rand.NewPCG(1, 2)), randv1.New(randv1.NewSource(3))
	const rounds = 4000
	for range rounds {
		v, ok := quick.Value(reflect.TypeOf(messages[rng.IntN(len(messages))]), valueRand)
		if !ok || v.IsNil() {
			continue
		}
		setKnownValues(v, rng)
		m := v.Interface().(wire.Message)
		for what, do := range map[string]func(){
			"dispatcher": func() { d.handle(dispatcherEvent{"h1", from, m}); d.flush(); d.tick() },
			"binder":     func() { h.binder.onMessage(l, m) },
		} {
			if err := catchPanic(h.log, what, do); err != nil {
				t.Errorf("%T: %v", m, err)
			}
		}
		select {
		case u := <-h.directory.updates.C():
			if err := catchPanic(h.log, "directory", func() { h.directory.mirror.resolve(orEmpty(u.update)) }); err != nil {
				t.Errorf("%T: %v", m, err)
			}
		default:
		}
	}
}

// orEmpty returns u, or an empty update if u is nil.
func orEmpty(u *wire.ViewUpdate) *wire.ViewUpdate {
	if u == nil {
		return &wire.ViewUpdate{}
	}
	return u
}

// panickingPeer is a peer to which every send panics.
type panickingPeer struct{ fakePeer }

func (*panickingPeer) Send(wire.Message) error { panic("unexpected") }

// TestDispatcherRecoversFromPanic guards against a panic in the dispatcher ending the process. The dispatcher must
// discard its queue, close the connections, and serve hosts that connect again.
func TestDispatcherRecoversFromPanic(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.directory.currentView.Store(&fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"app": {Name: "app"}}},
		Endpoints: []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1}}, EndpointsListed: true,
	})
	d, healthy := h.dispatcher, &fakePeer{}
	d.runStep(func() { d.handle(dispatcherEvent{"h1", healthy, &wire.Resync{}}) })
	d.runStep(func() { d.handle(dispatcherEvent{"h2", &panickingPeer{}, &wire.Resync{}}) })
	if d.state != nil || !healthy.closed {
		t.Errorf("after a panic: queue kept %v, connection closed %v", d.state != nil, healthy.closed)
	}
	reconnected := &fakePeer{}
	d.runStep(func() { d.handle(dispatcherEvent{"h1", reconnected, &wire.Resync{}}) })
	d.runStep(func() {
		d.handle(dispatcherEvent{"h1", reconnected, &wire.Ask{ID: 1, Service: "app", DeadlineMs: 1000, TargetMs: 300}})
	})
	d.runStep(d.flush)
	if n := len(reconnected.sent); n == 0 || reconnected.sent[n-1].Kind() != wire.KindGrant {
		t.Errorf("messages after the host connected again: %v, want a grant last", reconnected.sent)
	}
}
