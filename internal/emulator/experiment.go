package emulator

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/copies"
)

// Variant is a named set of the planner's thresholds.
type Variant struct {
	Name   string
	Tuning copies.Tuning
}

// thresholdSetters holds a function for each threshold that an experiment can vary, by name. It sets the threshold to a value;
// durations are in seconds.
var thresholdSetters = map[string]func(*copies.Tuning, float64){
	"fall-time":    func(t *copies.Tuning, v float64) { t.FallTime = time.Duration(v * float64(time.Second)) },
	"least-gain":   func(t *copies.Tuning, v float64) { t.LeastGain = v },
	"dwell":        func(t *copies.Tuning, v float64) { t.Dwell = time.Duration(v * float64(time.Second)) },
	"change-share": func(t *copies.Tuning, v float64) { t.ChangeShare = v },
	"spare-budget": func(t *copies.Tuning, v float64) { t.SpareBudget = v },
}

// ParseVariants parses one variant from each text, in the form NAME=VALUE,NAME=VALUE. The first variant that it returns has the
// thresholds in use.
func ParseVariants(texts []string) ([]Variant, error) {
	out := []Variant{{"in use", copies.DefaultTuning()}}
	for _, text := range texts {
		tuning := copies.DefaultTuning()
		for _, setting := range strings.Split(text, ",") {
			name, value, _ := strings.Cut(setting, "=")
			set := thresholdSetters[name]
			if set == nil {
				names := make([]string, 0, len(thresholdSetters))
				for n := range thresholdSetters {
					names = append(names, n)
				}
				sort.Strings(names)
				return nil, errors.Errorf("unknown threshold %q, expected one of %s", name, strings.Join(names, ", "))
			}
			v, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return nil, errors.Errorf("threshold %s: %q is not a number", name, value)
			}
			set(&tuning, v)
		}
		out = append(out, Variant{text, tuning})
	}
	return out, nil
}

// Experiment runs each scenario with each variant and seed.
type Experiment struct {
	Scenarios []Scenario
	Variants  []Variant
	Seeds     int       // seeds for each scenario and variant, from 1 on
	Parallel  int       // number of simulations at a time
	Progress  io.Writer // receives progress messages, may be nil
}

// ExperimentResults holds an experiment and its results.
type ExperimentResults struct {
	*Experiment
	Results [][][]Result // by indexes of variant, scenario and seed
}

// Run runs all simulations and waits for them.
func (x *Experiment) Run() *ExperimentResults {
	res := &ExperimentResults{x, make([][][]Result, len(x.Variants))}
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(x.Parallel, 1))
	var mu sync.Mutex
	completed, total := 0, len(x.Variants)*len(x.Scenarios)*x.Seeds
	for v := range x.Variants {
		res.Results[v] = make([][]Result, len(x.Scenarios))
		for s := range x.Scenarios {
			res.Results[v][s] = make([]Result, x.Seeds)
			for seed := range x.Seeds {
				slots <- struct{}{}
				wg.Go(func() {
					res.Results[v][s][seed] = Simulate(x.Scenarios[s], uint64(seed)+1, x.Variants[v].Tuning)
					mu.Lock()
					defer mu.Unlock()
					if completed++; x.Progress != nil && (completed%50 == 0 || completed == total) {
						fmt.Fprintf(x.Progress, "%d of %d simulations completed\n", completed, total)
					}
					<-slots
				})
			}
		}
	}
	wg.Wait()
	return res
}

// meanAndError returns the mean of a figure over several results and the standard error of the mean.
func meanAndError(results []Result, figure func(*Result) float64) (mean, stderr float64) {
	var sum, squares float64
	for i := range results {
		v := figure(&results[i])
		sum += v
		squares += v * v
	}
	n := float64(len(results))
	mean = sum / n
	if n > 1 {
		stderr = math.Sqrt(max(squares/n-mean*mean, 0) / (n - 1))
	}
	return mean, stderr
}

// WriteTable writes a table with a line for each scenario and variant. The figures are means over the seeds, those of the credit
// with their standard errors.
func (res *ExperimentResults) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%-14s %-20s %16s %16s %9s %9s %9s %8s\n",
		"scenario", "variant", "share of credit", "worst window", "refused", "again", "loads", "orders")
	for s := range res.Scenarios {
		for v := range res.Variants {
			results := res.Results[v][s]
			share, shareError := meanAndError(results, func(r *Result) float64 { return r.All.CreditShare() })
			worst, worstError := meanAndError(results, func(r *Result) float64 { return r.WorstWindowShare() })
			refused, _ := meanAndError(results, func(r *Result) float64 { return float64(r.All.Ended[outcomeRefused]) / float64(max(r.All.Requests, 1)) })
			again, _ := meanAndError(results, func(r *Result) float64 { return float64(r.RefusedAgain) / float64(max(r.All.Requests, 1)) })
			loads, _ := meanAndError(results, func(r *Result) float64 { return float64(r.StoreLoads) })
			orders, _ := meanAndError(results, func(r *Result) float64 { return float64(r.Orders) })
			fmt.Fprintf(w, "%-14s %-20s %8.4f ± %.4f %8.4f ± %.4f %9.4f %9.4f %9.1f %8.1f\n",
				res.Scenarios[s].Name, res.Variants[v].Name, share, shareError, worst, worstError, refused, again, loads, orders)
		}
	}
}

// WriteFiles writes all results to days.csv in a directory and, for each scenario, a plot of the credit share as an SVG image.
func (res *ExperimentResults) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	var b strings.Builder
	fmt.Fprintln(&b, CSVHeader())
	for v := range res.Variants {
		for s := range res.Scenarios {
			for i := range res.Results[v][s] {
				fmt.Fprintln(&b, res.Results[v][s][i].CSVRow(res.Variants[v].Name))
			}
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "days.csv"), []byte(b.String()), 0o644); err != nil {
		return errors.Trace(err)
	}
	for s := range res.Scenarios {
		if err := os.WriteFile(filepath.Join(dir, res.Scenarios[s].Name+".svg"), []byte(res.creditPlot(s)), 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Sizes of a plot in pixels.
const (
	plotWidth  = 720
	plotHeight = 320
	plotMargin = 50
)

var plotColors = []string{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f"}

// creditPlot returns an SVG image of the credit share by time of arrival for a scenario, with a line for each variant.
func (res *ExperimentResults) creditPlot(s int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		plotWidth, plotHeight)
	fmt.Fprintf(&b, `<text x="%d" y="20">%s: share of the credit by time of arrival, %d seeds</text>`+"\n",
		plotMargin, res.Scenarios[s].Name, res.Seeds)
	n := len(res.Results[0][s][0].WindowTallies)
	x := func(i int) float64 { return plotMargin + float64(i)/float64(max(n-1, 1))*(plotWidth-3*plotMargin) }
	y := func(v float64) float64 { return plotHeight - plotMargin - v*(plotHeight-2*plotMargin) }
	for _, v := range []float64{0, 0.25, 0.5, 0.75, 1} {
		fmt.Fprintf(&b, `<line x1="%d" y1="%.0f" x2="%.0f" y2="%.0f" stroke="#ddd"/><text x="10" y="%.0f">%.2f</text>`+"\n",
			plotMargin, y(v), x(n-1), y(v), y(v)+4, v)
	}
	for i := 0; i < n; i += 5 {
		fmt.Fprintf(&b, `<text x="%.0f" y="%d">%.0f s</text>`+"\n", x(i), plotHeight-plotMargin/2, (time.Duration(i) * windowLength).Seconds())
	}
	for v := range res.Variants {
		var points []string
		for i := range n {
			mean, _ := meanAndError(res.Results[v][s], func(r *Result) float64 { return r.WindowTallies[i].CreditShare() })
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(i), y(mean)))
		}
		color := plotColors[v%len(plotColors)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" points="%s"/>`+"\n", color, strings.Join(points, " "))
		fmt.Fprintf(&b, `<text x="%.0f" y="%d" fill="%s">%s</text>`+"\n", x(n-1)+8, plotMargin+14*v, color, res.Variants[v].Name)
	}
	b.WriteString("</svg>\n")
	return b.String()
}
