// Package pairs compares two revisions of the program. Both run the same days with the same seeds, and the difference is
// computed for each pair of runs, because days differ far more from each other than revisions do.
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

// Play is a run of one day with one seed. Results files contain it under its field names.
type Play struct {
	Day  string
	Seed uint64
}

// Result is the outcome of a play. Results files contain it under its field names.
type Result struct {
	Figures map[string]float64 // values by name
	Broken  []string           // rules of the bench that were broken
	Failure string             // reason why the play has no figures, empty if it has
}

// Names of figures. Worth is the overall score of a play; the others show the cause of a difference in it.
const (
	Worth             = "worth"
	Credit            = "credit"
	WorstSeconds      = "worst seconds"
	WorstKind         = "worst kind"
	Prices            = "prices"
	RefusedAgain      = "refused again" // the part of the prices for callers who retried and were refused again
	Refused           = "refused"       // share of the requests, like Failed and Late
	Failed            = "failed"
	Late              = "late"
	RequestKindPrefix = "of " // followed by the name of a kind of requests, whose worth the figure is
)

// figureOrder is the order of the figures in the table.
var figureOrder = []string{Worth, Credit, WorstSeconds, WorstKind, Prices, RefusedAgain, Refused, Failed, Late}

// confidenceLevel is the level of the confidence interval of a mean difference.
const confidenceLevel = 0.95

// Difference compares the means of a figure over all pairs.
type Difference struct {
	Name            string
	Base, Candidate float64 // means of both revisions
	Mean            float64 // mean of the differences
	MarginOfError   float64 // half the width of the confidence interval of Mean; infinite with a single pair
	Pairs           int
}

// Significant returns whether the confidence interval of the difference excludes 0.
func (d *Difference) Significant() bool { return math.Abs(d.Mean) > d.MarginOfError }

// Compare returns the differences of all figures, over the plays for which both revisions have a result.
func Compare(base, candidate []Result) []Difference {
	var out []Difference
	for _, name := range figureNames(base) {
		var baseValues, candidateValues, diffs []float64
		for i := range base {
			if base[i].Failure != "" || candidate[i].Failure != "" {
				continue
			}
			x, y := base[i].Figures[name], candidate[i].Figures[name]
			baseValues, candidateValues, diffs = append(baseValues, x), append(candidateValues, y), append(diffs, y-x)
		}
		if len(diffs) == 0 {
			continue
		}
		out = append(out, Difference{
			Name: name, Base: stat.Mean(baseValues, nil), Candidate: stat.Mean(candidateValues, nil), Mean: stat.Mean(diffs, nil),
			MarginOfError: marginOfError(diffs), Pairs: len(diffs),
		})
	}
	return out
}

// figureNames returns the names of the figures in the table: first those that every deployment has, then those of the
// kinds of requests in these results.
func figureNames(results []Result) []string {
	kinds := make(map[string]bool)
	for i := range results {
		for name := range results[i].Figures {
			if strings.HasPrefix(name, RequestKindPrefix) {
				kinds[name] = true
			}
		}
	}
	return append(slices.Clone(figureOrder), slices.Sorted(maps.Keys(kinds))...)
}

// marginOfError returns half the width of the confidence interval of the mean of v, by Student's t-distribution.
func marginOfError(v []float64) float64 {
	if len(v) < 2 {
		return math.Inf(1)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}
	return t.Quantile((1+confidenceLevel)/2) * stat.StdDev(v, nil) / math.Sqrt(float64(len(v)))
}

// Table writes the differences of all figures over all plays, then the difference in worth for each day. A star marks the
// significant ones. The broken rules and the failed plays of both revisions follow.
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
	for _, day := range distinctDays(plays) {
		var baseOfDay, candidateOfDay []Result
		for i, p := range plays {
			if p.Day == day {
				baseOfDay, candidateOfDay = append(baseOfDay, base[i]), append(candidateOfDay, candidate[i])
			}
		}
		if d := Compare(baseOfDay, candidateOfDay); len(d) > 0 {
			row(day, &d[0])
		}
	}
	t.Flush()
	writeProblems(w, "base", plays, base)
	writeProblems(w, "candidate", plays, candidate)
}

// writeProblems writes the broken rules and the failed plays of a revision.
func writeProblems(w io.Writer, revision string, plays []Play, results []Result) {
	for i, r := range results {
		for _, rule := range r.Broken {
			fmt.Fprintf(w, "%s: %s --seed %d: broken: %s\n", revision, plays[i].Day, plays[i].Seed, rule)
		}
		if r.Failure != "" {
			fmt.Fprintf(w, "%s: %s --seed %d: %s\n", revision, plays[i].Day, plays[i].Seed, r.Failure)
		}
	}
}

// distinctDays returns the days of plays, each once, in the order of their first play.
func distinctDays(plays []Play) []string {
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
