package host

import (
	"os"
	"testing"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

type fakePeer struct {
	sent   []wire.Message
	closed bool
}

func (p *fakePeer) Send(m wire.Message) error {
	p.sent = append(p.sent, m)
	return nil
}

func (p *fakePeer) Close() { p.closed = true }

// TestDispatcherWithoutView guards against requests that are turned away by a dispatcher which has just started and does
// not know yet what there is: they wait for the view.
func TestDispatcherWithoutView(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	other := &fakePeer{}
	d := h.dispatcher
	d.handle(dispatcherEvent{"h1", other, &wire.Resync{}})
	d.handle(dispatcherEvent{"h1", other, &wire.Ask{ID: 1, Service: "app", DeadlineMs: 1000, TargetMs: 300}})
	// The host is told that the dispatcher is there; its request has no answer yet.
	if d.flush(); len(other.sent) != 1 || other.sent[0].Kind() != wire.KindFleetState || other.closed {
		t.Errorf("without a view: %v, closed %v", other.sent, other.closed)
	}
	h.directory.now.Store(&fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"app": {Name: "app"}}},
		Endpoints: []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1}}, EndpointsListed: true,
	})
	d.takeEarly()
	d.flush()
	// A host that turns to the dispatcher is told at once what there is, and then that its request has a place.
	if len(other.sent) != 2 || other.sent[0].Kind() != wire.KindFleetState || other.sent[1].Kind() != wire.KindGrant {
		t.Errorf("with a view: %v", other.sent)
	}
	for range mostEarly + 1 {
		d.early = append(d.early, dispatcherEvent{"h2", other, &wire.Cancel{}})
	}
	if d.refuseEarly(); !other.closed || len(d.early) > 0 {
		t.Error("connections beyond the bound are kept")
	}
}
