package host

import (
	"context"
	"io"
	"os"
	"slices"
	"sync"
	"testing"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
	"sycamoredeal/internal/wire"
)

// reportCodec reads every response as an empty report.
type reportCodec struct{ entryCodec }

func (reportCodec) ReportCall(e *fleet.Endpoint) *upstream.Request {
	return &upstream.Request{Address: e.Address, Method: "GET", Target: "/"}
}

func (reportCodec) Report([]byte) (fleet.Report, error) { return fleet.Report{}, nil }

// TestReportsWhileListChanges guards, under the race detector, against reports that are read from an entry of an engine
// while a new list of endpoints replaces it.
func TestReportsWhileListChanges(t *testing.T) {
	s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
		io.WriteString(w, wholeAnswer(id, "{}"))
		return true
	})
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: reportCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	em := h.holder.engines
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	v := &fleet.View{
		Config:    &fleet.Config{Services: map[string]*fleet.Service{"s": {Name: "s", Engine: &fleet.Engine{Slots: 1}}}},
		Endpoints: []fleet.Endpoint{{ID: "e0", Service: "s", Address: s.address, StartUnixMs: 1}},
	}
	em.refresh(ctx, v)
	em.mu.Lock()
	es := em.byID["e0"]
	em.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 20 {
			em.updateFromReport(ctx, es)
		}
	})
	wg.Go(func() {
		if err := em.awaitChange(ctx, es, "m", false, 0, 0); err != nil {
			t.Error(err)
		}
	})
	for range 200 {
		em.refresh(ctx, v)
	}
	wg.Wait()
}

// TestHolderBeatListsReloadedCopy guards against a model whose only copy gets no requests: the endpoint had unloaded the model, so
// that the dispatcher forgot the copy after a refusal, and has loaded it again, while its entry in the list has shown it all along.
// In soak seed 6, requests for the model were held until their deadlines for 12 s.
func TestHolderBeatListsReloadedCopy(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	em := h.holder.engines
	engine := &fleet.Engine{Slots: 4, KVTokens: 1000, Models: []fleet.Model{{Name: "m0"}, {Name: "m1"}}}
	v := &fleet.View{
		Config:    &fleet.Config{Services: map[string]*fleet.Service{"lm": {Name: "lm", Engine: engine}}},
		Endpoints: []fleet.Endpoint{{ID: "e0", Service: "lm", Slots: 4, Models: []fleet.Resident{{Model: "m0"}, {Model: "m1"}}}},
	}
	s := sched.New(0, sched.Config{}, v)
	missing := wire.Ask{ID: 1, Service: "lm", Model: "m1", DeadlineMs: 1000, ChosenEndpoint: "e0"}
	s.Ask(0, "h1", missing)
	s.Done(0, "h1", wire.Done{ID: 1, Missing: true})
	em.byID["e0"] = &engineState{stateKnown: true, models: map[string]bool{"m0": true}}
	em.mu.Lock()
	em.recordLoaded(em.byID["e0"], "m1")
	em.mu.Unlock()
	beat := em.buildBeat("h0", 1, v)
	if want := []wire.ModelCopy{{Endpoint: "e0", Model: "m1"}}; !slices.Equal(beat.Loaded, want) {
		t.Errorf("loaded copies in the beat: %v, want %v", beat.Loaded, want)
	}
	s.SetHolder(0, beat)
	s.Ask(0, "h1", wire.Ask{ID: 2, Service: "lm", Model: "m1", DeadlineMs: 1000, TargetMs: 1000})
	for _, o := range s.TakeOutputs() {
		if g, ok := o.Message.(*wire.Grant); ok && g.ID == 2 && g.Endpoint == "e0" {
			return
		}
	}
	t.Error("a request for the model that was loaded again is not granted")
}

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
