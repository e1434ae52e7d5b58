package emulator

import (
	"reflect"
	"testing"
	"time"

	"sycamoredeal/internal/copies"
)

func scenario(t *testing.T, name string) Scenario {
	t.Helper()
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	t.Fatalf("no scenario %s", name)
	return Scenario{}
}

// TestSameSeed guards against days that can't be played again.
func TestSameSeed(t *testing.T) {
	s := scenario(t, "small-shifts")
	a, b := Play(s, 7, copies.DefaultTuning()), Play(s, 7, copies.DefaultTuning())
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two days of one seed:\n%s\n%s", a.Row("a"), b.Row("b"))
	}
}

// TestEveryRequestEnds guards against requests that the model or the decisions lose.
func TestEveryRequestEnds(t *testing.T) {
	for _, name := range []string{"small-quiet", "small-losses", "small-flood"} {
		r := Play(scenario(t, name), 3, copies.DefaultTuning())
		ended := 0
		for _, n := range r.All.Ended {
			ended += n
		}
		if r.All.Asked == 0 || ended != r.All.Asked {
			t.Errorf("%s: %d requests, %d ended", name, r.All.Asked, ended)
		}
	}
}

// TestQuietDay guards against decisions that fail on a calm day.
func TestQuietDay(t *testing.T) {
	begun := time.Now()
	r := Play(scenario(t, "small-quiet"), 1, copies.DefaultTuning())
	t.Logf("%v %s", time.Since(begun), r.Row("default"))
	if r.All.Share() < 0.9 {
		t.Errorf("share of the credit: %.3f", r.All.Share())
	}
}
