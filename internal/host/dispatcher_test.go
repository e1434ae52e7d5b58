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

// TestDispatcherWithoutView guards against other hosts' requests that wait at a dispatcher which has just started and
// does not know what there is.
func TestDispatcherWithoutView(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	other := &fakePeer{}
	h.dispatcher.handle(dispatcherEvent{"h1", other, &wire.Resync{}})
	if !other.closed || h.dispatcher.state != nil {
		t.Error("another host is served without a view")
	}
	self := &fakePeer{}
	h.dispatcher.handle(dispatcherEvent{"h0", self, &wire.Resync{}})
	if self.closed {
		t.Error("the host itself is not served")
	}
	h.directory.now.Store(&fleet.View{Config: &fleet.Config{Version: 1}, Listed: true})
	again := &fakePeer{}
	h.dispatcher.handle(dispatcherEvent{"h1", again, &wire.Resync{}})
	if again.closed || h.dispatcher.peers["h1"] == nil {
		t.Error("another host is not served with a view")
	}
}
