// Package pairs compares two revisions of the program: both play the same days with the same seeds, and the differences
// of the pairs are judged, because days differ far more from each other than revisions do.
package pairs

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Play is one day with one seed.
type Play struct {
	Day  string
	Seed uint64
}

// Result is what a play came to.
type Result struct {
	Figures map[string]float64 // by name
	Broken  []string           // rules that were broken
	Failure string             // why the play gave no result, empty if it did
}

// Names of figures. Worth is what counts; the others tell where a difference comes from.
const (
	Worth        = "worth"
	Credit       = "credit"
	WorstSeconds = "worst seconds"
	WorstKind    = "worst kind"
	Prices       = "prices"
	RefusedAgain = "refused again" // the price of callers who came back in vain
	Refused      = "refused"       // share of the requests, as the next two
	Failed       = "failed"
	Late         = "late"
	KindPrefix   = "of " // begins the names of the credit of single kinds of requests
)

// order of the figures in the table.
var order = []string{Worth, Credit, WorstSeconds, WorstKind, Prices, RefusedAgain, Refused, Failed, Late}

// confidence of the interval of a mean difference.
const confidence = 0.95

// Difference is the mean of a figure over all pairs.
type Difference struct {
	Name            string
	Base, Candidate float64 // means
	Mean            float64 // of the differences
	MarginOfError   float64 // half of the width of its confidence interval; infinite with a single pair
	Pairs           int
}

// Significant tells whether the difference is larger than chance explains.
func (d *Difference) Significant() bool { return math.Abs(d.Mean) > d.MarginOfError }

// Compare returns the differences of the plays that both revisions finished.
func Compare(base, candidate []Result) []Difference {
	var out []Difference
	for _, name := range names(base) {
		var a, b, diff []float64
		for i := range base {
			if base[i].Failure != "" || candidate[i].Failure != "" {
				continue
			}
			x, y := base[i].Figures[name], candidate[i].Figures[name]
			a, b, diff = append(a, x), append(b, y), append(diff, y-x)
		}
		if len(diff) == 0 {
			continue
		}
		out = append(out, Difference{
			Name: name, Base: stat.Mean(a, nil), Candidate: stat.Mean(b, nil), Mean: stat.Mean(diff, nil), MarginOfError: interval(diff), Pairs: len(diff),
		})
	}
	return out
}

// names returns the figures of the table: those of every deployment, then the kinds of requests of this one.
func names(results []Result) []string {
	kinds := make(map[string]bool)
	for i := range results {
		for name := range results[i].Figures {
			if strings.HasPrefix(name, KindPrefix) {
				kinds[name] = true
			}
		}
	}
	return append(slices.Clone(order), slices.Sorted(maps.Keys(kinds))...)
}

// interval returns half of the width of the confidence interval of a mean, by Student's distribution.
func interval(v []float64) float64 {
	if len(v) < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}
	return t.Quantile((1+confidence)/2) * stat.StdDev(v, nil) / math.Sqrt(float64(len(v)))
}

// Table writes the differences: of all plays together, and the worth of each day. It ends with the broken rules and the
// plays without a result of either revision.
func Table(w io.Writer, plays []Play, base, candidate []Result) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tbase\tcandidate\tdifference\t+-\tpairs\t")
	row := func(name string, d *Difference) {
		mark := ""
		if d.Significant() {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f%s\t%.4f\t%d\t\n", name, d.Base, d.Candidate, d.Mean, mark, d.MarginOfError, d.Pairs)
	}
	for _, d := range Compare(base, candidate) {
		row(d.Name, &d)
	}
	for _, day := range days(plays) {
		var a, b []Result
		for i, p := range plays {
			if p.Day == day {
				a, b = append(a, base[i]), append(b, candidate[i])
			}
		}
		if d := Compare(a, b); len(d) > 0 {
			row(day, &d[0])
		}
	}
	t.Flush()
	findings(w, "base", plays, base)
	findings(w, "candidate", plays, candidate)
}

func findings(w io.Writer, revision string, plays []Play, results []Result) {
	for i, r := range results {
		for _, rule := range r.Broken {
			fmt.Fprintf(w, "%s: %s --seed %d: broken: %s\n", revision, plays[i].Day, plays[i].Seed, rule)
		}
		if r.Failure != "" {
			fmt.Fprintf(w, "%s: %s --seed %d: %s\n", revision, plays[i].Day, plays[i].Seed, r.Failure)
		}
	}
}

// days returns the days in the order of their first play.
func days(plays []Play) []string {
	var out []string
	seen := make(map[string]bool)
	for _, p := range plays {
		if !seen[p.Day] {
			seen[p.Day] = true
			out = append(out, p.Day)
		}
	}
	return out
}
