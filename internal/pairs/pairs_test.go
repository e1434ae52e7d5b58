package pairs

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func worths(v ...float64) []Result {
	var out []Result
	for _, x := range v {
		out = append(out, Result{Figures: map[string]float64{"worth": x}})
	}
	return out
}

// TestCompare guards against judging revisions by means of days that differ far more than the revisions do.
func TestCompare(t *testing.T) {
	base := worths(0.2, 0.5, 0.8, 0.4)
	d := Compare(base, worths(0.22, 0.53, 0.82, 0.43))[0]
	if math.Abs(d.Mean-0.025) > 1e-9 || !d.Significant() || d.Pairs != 4 {
		t.Errorf("a steady gain of 0.02 to 0.03: %+v", d)
	}
	// The interval of four pairs by Student's distribution: 3.182 standard errors.
	if want := 3.182 * 0.0057735 / 2; math.Abs(d.MarginOfError-want) > 1e-4 {
		t.Errorf("interval %f, want %f", d.MarginOfError, want)
	}
	if d := Compare(base, worths(0.5, 0.2, 0.9, 0.4))[0]; d.Significant() {
		t.Errorf("a difference within chance counts: %+v", d)
	}
	if d := Compare(worths(0.5), worths(0.9))[0]; d.Significant() {
		t.Error("a single pair shows nothing")
	}
}

// TestCompareLeavesOut guards against pairs of which one side has no result.
func TestCompareLeavesOut(t *testing.T) {
	base, candidate := worths(0.2, 0.5, 0.8), worths(0.3, 0, 0.9)
	candidate[1] = Result{Failure: "given up"}
	if d := Compare(base, candidate)[0]; d.Pairs != 2 || math.Abs(d.Mean-0.1) > 1e-9 {
		t.Errorf("%+v", d)
	}
	var b strings.Builder
	Table(&b, []Play{{"a", 1}, {"a", 2}, {"b", 3}}, base, candidate)
	if !strings.Contains(b.String(), "candidate: a --seed 2: given up") {
		t.Error("a play without a result is not listed:\n" + b.String())
	}
}

// TestKept guards against results of other days that are taken for the base's.
func TestKept(t *testing.T) {
	file := filepath.Join(t.TempDir(), "base")
	plays, played := []Play{{"a", 1}, {"a", 2}}, 0
	play := func() ([]Result, error) { played++; return worths(0.1, 0.2), nil }
	for range 2 {
		r, err := LoadOrPlay(file, plays, play)
		if err != nil || len(r) != 2 || r[1].Figures["worth"] != 0.2 {
			t.Fatal(r, err)
		}
	}
	if played != 1 {
		t.Errorf("played %d times", played)
	}
	if _, err := LoadOrPlay(file, plays[:1], play); err == nil {
		t.Error("results of other plays are taken")
	}
	if err := os.WriteFile(file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadOrPlay(file, plays, play); err == nil {
		t.Error("a broken file is no error")
	}
}
