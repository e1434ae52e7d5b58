package emulator

import (
	"reflect"
	"testing"
	"time"

	"sycamoredeal/internal/copies"
)

// findScenario returns the scenario with a name.
func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return Scenario{}
}

// TestSameSeedGivesSameResult guards against simulations that can't be reproduced from their seed, in any of the scenarios.
// A decision that depends on the order of a map shows only in some of them: with few endpoints and models, rarely any does.
func TestSameSeedGivesSameResult(t *testing.T) {
	const traffic = 6 * time.Second // the longest scenarios take seconds of processor time for it
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			s.TrafficDuration = traffic
			a, b := Simulate(s, 7, copies.DefaultTuning()), Simulate(s, 7, copies.DefaultTuning())
			if a.All.Requests == 0 || !reflect.DeepEqual(a, b) {
				t.Errorf("two results of one seed differ:\n%s\n%s", a.CSVRow("a"), b.CSVRow("b"))
			}
		})
	}
}

// TestEveryRequestEnds guards against requests that the emulator, the dispatcher or the planner loses: each has to end with
// exactly one outcome.
func TestEveryRequestEnds(t *testing.T) {
	for _, name := range []string{"small-quiet", "small-losses", "small-flood"} {
		r := Simulate(findScenario(t, name), 3, copies.DefaultTuning())
		ended := 0
		for _, n := range r.All.Ended {
			ended += n
		}
		if r.All.Requests == 0 || ended != r.All.Requests {
			t.Errorf("%s: %d requests arrived, %d ended", name, r.All.Requests, ended)
		}
	}
}

// TestQuietScenarioEarnsCredit guards against decisions of the dispatcher or the planner that lose credit without any
// disturbance.
func TestQuietScenarioEarnsCredit(t *testing.T) {
	start := time.Now()
	r := Simulate(findScenario(t, "small-quiet"), 1, copies.DefaultTuning())
	t.Logf("%v %s", time.Since(start), r.CSVRow("default"))
	if r.All.CreditShare() < 0.9 {
		t.Errorf("credit share is %.3f, want at least 0.9", r.All.CreditShare())
	}
}
