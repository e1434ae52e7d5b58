package pairs

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// resultsWithWorth returns a result for each value of worth.
func resultsWithWorth(v ...float64) []Result {
	var out []Result
	for _, x := range v {
		out = append(out, Result{Figures: map[string]float64{"worth": x}})
	}
	return out
}

// TestCompare guards against a comparison of the means of both revisions: the differences between days would hide those
// between the revisions.
func TestCompare(t *testing.T) {
	base := resultsWithWorth(0.2, 0.5, 0.8, 0.4)
	d := Compare(base, resultsWithWorth(0.22, 0.53, 0.82, 0.43))[0]
	if math.Abs(d.Mean-0.025) > 1e-9 || !d.Significant() || d.Pairs != 4 {
		t.Errorf("a steady gain of 0.02 to 0.03: %+v", d)
	}
	// The margin of four pairs by Student's t-distribution is 3.182 standard errors.
	if want := 3.182 * 0.0057735 / 2; math.Abs(d.MarginOfError-want) > 1e-4 {
		t.Errorf("margin of error %f, want %f", d.MarginOfError, want)
	}
	if d := Compare(base, resultsWithWorth(0.5, 0.2, 0.9, 0.4))[0]; d.Significant() {
		t.Errorf("a difference within the margin of error is significant: %+v", d)
	}
	if d := Compare(resultsWithWorth(0.5), resultsWithWorth(0.9))[0]; d.Significant() {
		t.Error("the difference of a single pair is significant")
	}
}

// TestCompareSkipsFailedPlays guards against pairs that count although one revision has no result for them.
func TestCompareSkipsFailedPlays(t *testing.T) {
	base, candidate := resultsWithWorth(0.2, 0.5, 0.8), resultsWithWorth(0.3, 0, 0.9)
	candidate[1] = Result{Failure: "given up"}
	if d := Compare(base, candidate)[0]; d.Pairs != 2 || math.Abs(d.Mean-0.1) > 1e-9 {
		t.Errorf("difference: %+v", d)
	}
	var b strings.Builder
	Table(&b, []Play{{"a", 1}, {"a", 2}, {"b", 3}}, base, candidate)
	if !strings.Contains(b.String(), "candidate: a --seed 2: given up") {
		t.Error("a play without a result is not listed:\n" + b.String())
	}
}

// TestLoadOrPlay guards against a results file for other days that is used as the result of the base.
func TestLoadOrPlay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "base")
	plays, calls := []Play{{"a", 1}, {"a", 2}}, 0
	play := func() ([]Result, error) { calls++; return resultsWithWorth(0.1, 0.2), nil }
	for range 2 {
		r, err := LoadOrPlay(file, plays, play)
		if err != nil || len(r) != 2 || r[1].Figures["worth"] != 0.2 {
			t.Fatal(r, err)
		}
	}
	if calls != 1 {
		t.Errorf("played %d times, want 1", calls)
	}
	if _, err := LoadOrPlay(file, plays[:1], play); err == nil {
		t.Error("results of other plays are accepted")
	}
	if err := os.WriteFile(file, []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadOrPlay(file, plays, play); err == nil {
		t.Error("a file that can't be decoded is accepted")
	}
}
