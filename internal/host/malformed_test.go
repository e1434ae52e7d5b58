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

// messages that hosts send each other.
var messages = []wire.Message{
	&wire.Ask{}, &wire.Started{}, &wire.Done{}, &wire.Cancel{}, &wire.Resync{}, &wire.HolderBeat{}, &wire.ViewAsk{}, &wire.RelayBeat{},
	&wire.ViewUpdate{}, &wire.EndpointLeaves{}, &wire.Queued{}, &wire.Grant{}, &wire.Refuse{}, &wire.FleetState{}, &wire.Prepare{},
	&wire.PrepareReply{}, &wire.ViewRequest{}, &wire.ViewReply{}, &wire.Hello{},
}

// known makes some of the names in a message those of things that there are.
func known(v reflect.Value, rng *rand.Rand) {
	names := []string{"e0", "e1", "m0", "lm", "h1", "servers", "config", kindHosts}
	switch v.Kind() {
	case reflect.Pointer:
		known(v.Elem(), rng)
	case reflect.Struct:
		for i := range v.NumField() {
			known(v.Field(i), rng)
		}
	case reflect.Slice:
		for i := range v.Len() {
			known(v.Index(i), rng)
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

// TestMalformedMessages guards against one message with values that nobody sends which takes the process down.
func TestMalformedMessages(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0", RetryWindow: 1e9}, Codec: plainCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	engine := &fleet.Engine{Slots: 4, KVTokens: 1000, MemoryMB: 100, AdapterSlots: 1, Models: []fleet.Model{{Name: "m0", WeightsMB: 10}}}
	h.directory.now.Store(&fleet.View{
		Config: &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"lm": {Name: "lm", Engine: engine}}}, EndpointsListed: true,
		Endpoints: []fleet.Endpoint{
			{ID: "e0", Service: "lm", Slots: 4, Models: []fleet.Resident{{Model: "m0"}}}, {ID: "e1", Service: "lm", Models: []fleet.Resident{{Model: "m0"}}},
		},
		Hosts: []fleet.Host{{Name: "h0"}, {Name: "h1"}},
	})
	d, from := h.dispatcher, &fakePeer{}
	l := &link{host: fleet.Host{Name: "h1"}, conn: &fakePeer{}}
	h.binder.link = l
	rng, old := rand.New(rand.NewPCG(1, 2)), randv1.New(randv1.NewSource(3))
	const rounds = 4000
	for range rounds {
		v, ok := quick.Value(reflect.TypeOf(messages[rng.IntN(len(messages))]), old)
		if !ok || v.IsNil() {
			continue
		}
		known(v, rng)
		m := v.Interface().(wire.Message)
		for what, do := range map[string]func(){
			"dispatcher": func() { d.handle(dispatcherEvent{"h1", from, m}); d.flush(); d.tick() },
			"binder":     func() { h.binder.onMessage(l, m) },
		} {
			if err := guarded(h.log, what, do); err != nil {
				t.Errorf("%T: %v", m, err)
			}
		}
		select {
		case u := <-h.directory.updates.C():
			if err := guarded(h.log, "directory", func() { h.directory.mirror.resolve(orEmpty(u.update)) }); err != nil {
				t.Errorf("%T: %v", m, err)
			}
		default:
		}
	}
}

func orEmpty(u *wire.ViewUpdate) *wire.ViewUpdate {
	if u == nil {
		return &wire.ViewUpdate{}
	}
	return u
}

// panicking is a peer whose messages can't be sent.
type panicking struct{ fakePeer }

func (*panicking) Send(wire.Message) error { panic("unexpected") }

// TestUnexpectedError guards against an error in the dispatcher's duty that ends the process: the queue is given up, hosts
// connect again, and the duty goes on.
func TestUnexpectedError(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.directory.now.Store(&fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"app": {Name: "app"}}},
		Endpoints: []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1}}, EndpointsListed: true,
	})
	d, sound := h.dispatcher, &fakePeer{}
	d.guard(func() { d.handle(dispatcherEvent{"h1", sound, &wire.Resync{}}) })
	d.guard(func() { d.handle(dispatcherEvent{"h2", &panicking{}, &wire.Resync{}}) })
	if d.state != nil || !sound.closed {
		t.Errorf("after an unexpected error the queue is kept: %v, connection closed %v", d.state != nil, sound.closed)
	}
	again := &fakePeer{}
	d.guard(func() { d.handle(dispatcherEvent{"h1", again, &wire.Resync{}}) })
	d.guard(func() {
		d.handle(dispatcherEvent{"h1", again, &wire.Ask{ID: 1, Service: "app", DeadlineMs: 1000, TargetMs: 300}})
	})
	d.guard(d.flush)
	if n := len(again.sent); n == 0 || again.sent[n-1].Kind() != wire.KindGrant {
		t.Errorf("after the hosts have come back: %v", again.sent)
	}
}
