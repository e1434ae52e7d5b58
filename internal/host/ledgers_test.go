package host

import (
	"os"
	"slices"
	"testing"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// TestHolderBeatListsUnloadedCopy guards against the dispatcher sending requests for several seconds to an endpoint
// that has unloaded the model, because the endpoint's entry in the list still shows it. In soak seed 17, a request was
// held until its deadline although its model had another copy. An engine whose state is unknown reports nothing.
func TestHolderBeatListsUnloadedCopy(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	em := h.holder.engines
	em.byID["e0"] = &engineState{stateKnown: true, models: map[string]bool{"m0": true}}
	em.byID["e1"] = &engineState{stateKnown: false, models: map[string]bool{}}
	listed := []fleet.Resident{{Model: "m0"}, {Model: "m1"}}
	v := &fleet.View{Endpoints: []fleet.Endpoint{{ID: "e0", Models: listed}, {ID: "e1", Models: listed}}}
	got := em.buildBeat("h0", 1, v).Unloading
	if want := []wire.ModelCopy{{Endpoint: "e0", Model: "m1"}}; !slices.Equal(got, want) {
		t.Errorf("unloaded copies in the beat: %v, want %v", got, want)
	}
}
