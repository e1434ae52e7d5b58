package host

import (
	"context"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// fakePeer records the messages that are sent to it.
type fakePeer struct {
	sent   []wire.Message
	closed bool
}

func (p *fakePeer) Send(m wire.Message) error {
	p.sent = append(p.sent, m)
	return nil
}

func (p *fakePeer) Close() { p.closed = true }

// TestDispatcherWithoutView guards against requests that are refused by a dispatcher which has just started and has no
// complete view yet. They have to wait for the view.
func TestDispatcherWithoutView(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	other := &fakePeer{}
	d := h.dispatcher
	d.handle(dispatcherEvent{"h1", other, &wire.Resync{}})
	d.handle(dispatcherEvent{"h1", other, &wire.Ask{ID: 1, Service: "app", DeadlineMs: 1000, TargetMs: 300}})
	// The host gets the state of the fleet, which shows that the dispatcher is there. Its request has no answer yet.
	if d.flush(); len(other.sent) != 1 || other.sent[0].Kind() != wire.KindFleetState || other.closed {
		t.Errorf("without a view: %v, closed %v", other.sent, other.closed)
	}
	h.directory.currentView.Store(&fleet.View{
		Config:    &fleet.Config{Version: 1, Services: map[string]*fleet.Service{"app": {Name: "app"}}},
		Endpoints: []fleet.Endpoint{{ID: "p0", Service: "app", Slots: 1}}, EndpointsListed: true,
	})
	d.processDeferred()
	d.flush()
	// The host got the state of the fleet when it connected, and now gets a place for its request.
	if len(other.sent) != 2 || other.sent[0].Kind() != wire.KindFleetState || other.sent[1].Kind() != wire.KindGrant {
		t.Errorf("with a view: %v", other.sent)
	}
	for range maxDeferredEvents + 1 {
		d.deferredEvents = append(d.deferredEvents, dispatcherEvent{"h2", other, &wire.Cancel{}})
	}
	if d.rejectDeferred(); !other.closed || len(d.deferredEvents) > 0 {
		t.Error("connections stay open although too many events are deferred")
	}
}

// TestClosedConnectionWithoutView guards against a host that counts as connected for good: it connects to a dispatcher without a
// complete view and turns to another one before the view is there. The dispatcher went on serving a fleet without hosts, and
// counted the slots that the host had reported as in use.
func TestClosedConnectionWithoutView(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	d := h.dispatcher
	gone, stays := &fakePeer{}, &fakePeer{}
	d.handle(dispatcherEvent{"h1", gone, &wire.Resync{}})
	d.handle(dispatcherEvent{"h2", stays, &wire.Resync{}})
	d.handle(dispatcherEvent{"h1", gone, nil})
	h.directory.currentView.Store(&fleet.View{Config: &fleet.Config{Version: 1}, EndpointsListed: true})
	d.processDeferred()
	if d.peers["h1"] != nil || d.hasClient("h1") || d.peers["h2"] == nil || !d.hasClient("h2") {
		t.Errorf("hosts connected: %v", d.peers)
	}
}

// TestNewDispatcherReadsFirst guards against a new dispatcher that has three other hosts read the store for it before its own
// first calls can be answered, and against one that waits for calls that hang.
func TestNewDispatcherReadsFirst(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d, other := h.dispatcher, &fakePeer{}
	h.directory.currentView.Store(&fleet.View{Hosts: []fleet.Host{{Name: "h0"}, {Name: "h1"}}})
	h.binder.link = &link{host: fleet.Host{Name: "h0"}}
	d.handle(dispatcherEvent{"h1", other, &wire.Resync{}})
	if f := d.briefState(); len(f.Relays) > 0 {
		t.Errorf("relays %v at once", f.Relays)
	}
	d.usedSince = time.Now().Add(-firstReadTime)
	if f := d.briefState(); len(f.Relays) != 1 {
		t.Errorf("relays %v of a dispatcher whose calls hang", f.Relays)
	}
	h.binder.link = nil
	d.briefState()
	h.binder.link = &link{host: fleet.Host{Name: "h0"}}
	h.directory.recordOutcome("servers", context.DeadlineExceeded)
	if f := d.briefState(); len(f.Relays) != 1 {
		t.Errorf("relays %v of a dispatcher that lost the store", f.Relays)
	}
}

// TestDispatcherReport guards against hosts that can't tell which dispatcher the others use.
func TestDispatcherReport(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	self, other := fleet.Host{Name: "h0"}, fleet.Host{Name: "h1", Address: "h1:1", Incarnation: 7}
	for _, c := range []struct {
		inUse *link
		want  dispatcherReport
	}{
		{nil, dispatcherReport{}},
		{&link{host: self}, dispatcherReport{true, self, true}},
		{&link{host: other}, dispatcherReport{true, other, false}},
		{&link{host: other, report: dispatcherReport{true, self, false}}, dispatcherReport{true, other, false}},
		{&link{host: other, report: dispatcherReport{true, other, true}}, dispatcherReport{true, other, true}},
	} {
		h.binder.link = c.inUse
		if got := newDispatcherReport(self, h.dispatcher.briefState()); got != c.want {
			t.Errorf("report %v, want %v", got, c.want)
		}
	}
}

// TestViewAnswersLeaveLink guards against view answers that fill the dispatcher's link when many hosts start at once. Grants
// wait behind them, and hosts that connect give up: on 10 Mbit/s, 18 answers of 53 kB took 0.7 s.
func TestViewAnswersLeaveLink(t *testing.T) {
	const hosts, size, linkMbps = 18, 53_000, 10.0
	h := New(Options{Deployment: fleet.Deployment{Host: "h0", LinkMbps: linkMbps}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.directory.mirror.put(objects.Object{Kind: "config", Name: "c", Version: "1", Data: make([]byte, size)}, 0)
	sent := 0
	for range hosts {
		if u := h.dispatcher.viewAnswer(&wire.ViewAsk{ObjectKind: "config"}); !u.Fetch {
			sent += updateSize(u)
		}
	}
	if took := time.Duration(float64(sent) / h.dispatcher.linkBytes() * float64(time.Second)); sent == 0 || took > 2*answerBurstTime {
		t.Errorf("answers that take the link for %s", took)
	}
}
