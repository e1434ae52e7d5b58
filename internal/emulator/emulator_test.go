package emulator

import (
	"reflect"
	"testing"
	"time"

	"sycamoredeal/internal/copies"
)

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

// TestSameSeedGivesSameResult guards against days that can't be played again.
func TestSameSeedGivesSameResult(t *testing.T) {
	s := findScenario(t, "small-shifts")
	a, b := Simulate(s, 7, copies.DefaultTuning()), Simulate(s, 7, copies.DefaultTuning())
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two days of one seed:\n%s\n%s", a.CSVRow("a"), b.CSVRow("b"))
	}
}

// TestEveryRequestEnds guards against requests that the model or the decisions lose.
func TestEveryRequestEnds(t *testing.T) {
	for _, name := range []string{"small-quiet", "small-losses", "small-flood"} {
		r := Simulate(findScenario(t, name), 3, copies.DefaultTuning())
		ended := 0
		for _, n := range r.Total.Outcomes {
			ended += n
		}
		if r.Total.Requests == 0 || ended != r.Total.Requests {
			t.Errorf("%s: %d requests, %d ended", name, r.Total.Requests, ended)
		}
	}
}

// TestQuietScenarioEarnsCredit guards against decisions that fail on a calm day.
func TestQuietScenarioEarnsCredit(t *testing.T) {
	begun := time.Now()
	r := Simulate(findScenario(t, "small-quiet"), 1, copies.DefaultTuning())
	t.Logf("%v %s", time.Since(begun), r.CSVRow("default"))
	if r.Total.CreditShare() < 0.9 {
		t.Errorf("share of the credit: %.3f", r.Total.CreditShare())
	}
}
