package host

import (
	"os"
	"slices"
	"testing"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestUnloadedCopyIsTold replays an endpoint whose entry still lists a model that was unloaded there. It guards against the
// dispatcher sending requests there for seconds, until the list shows the change (soak, seed 17: a request was held until
// its deadline while its model had another copy).
func TestUnloadedCopyIsTold(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	l := h.holder.fleet
	l.byID["e0"] = &ledger{known: true, models: map[string]bool{"m0": true}}
	l.byID["e1"] = &ledger{known: false, models: map[string]bool{}}
	listed := []fleet.Resident{{Model: "m0"}, {Model: "m1"}}
	v := &fleet.View{Endpoints: []fleet.Endpoint{{ID: "e0", Models: listed}, {ID: "e1", Models: listed}}}
	got := l.beat("h0", 1, v).Unloading
	if want := []wire.ModelCopy{{Endpoint: "e0", Model: "m1"}}; !slices.Equal(got, want) {
		t.Errorf("copies that are not there: %v, want %v", got, want)
	}
}
