package measure

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func write(o Options, all []Result) error {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return errors.Trace(err)
	}
	for key, list := range split(all) {
		if err := writeCSV(filepath.Join(o.Out, key+".csv"), list); err != nil {
			return err
		}
		if err := writeMarkdown(filepath.Join(o.Out, key+".md"), key, o, list); err != nil {
			return err
		}
		if err := writePlots(o.Out, key, list); err != nil {
			return err
		}
	}
	return nil
}

func split(all []Result) map[string][]Result {
	out := make(map[string][]Result)
	for _, r := range all {
		out[r.Experiment] = append(out[r.Experiment], r)
	}
	return out
}

func (r Result) cells() []string {
	f := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
	ms := func(v float64) string { return strconv.FormatFloat(v, 'f', 0, 64) }
	return []string{
		r.Fleet, r.Variant, r.Group, strconv.Itoa(r.Row.Sent), strconv.Itoa(r.Row.Answered), strconv.Itoa(r.Row.Refused), f(r.Row.Attainment),
		f(r.Row.Goodput), f(r.Kept), ms(r.Row.FirstP50Ms), ms(r.Row.FirstP95Ms), ms(r.Row.BetweenP95Ms), ms(r.Row.RefusedP95Ms),
		f(r.PerAccelerator), strconv.Itoa(r.Orders), strconv.Itoa(r.Violations), strconv.Itoa(r.Unfinished),
	}
}

var header = []string{
	"fleet", "variant", "group", "sent", "answered", "refused", "attainment", "goodput/s", "kept", "first p50 ms", "first p95 ms",
	"between p95 ms", "refusal p95 ms", "worth/s/accelerator", "orders", "violations", "unfinished",
}

func writeCSV(path string, list []Result) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Write(header)
	for _, r := range list {
		w.Write(r.cells())
	}
	w.Flush()
	return errors.Trace(w.Error())
}

func writeMarkdown(path, name string, o Options, list []Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurement: %s\n\nMade by `make measure` on %s, %d cores, runs of %s, seed 1, %d entry hosts.\n\n",
		name, time.Now().Format(time.DateOnly), runtime.NumCPU(), o.Duration, hosts)
	fmt.Fprintf(&b, "Kept is the goodput over that of the first variant; goodput counts requests that met their targets.\n\n")
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(header, " | "), strings.Repeat("---|", len(header)))
	for _, r := range list {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(r.cells(), " | "))
	}
	for _, fleet := range fleets(list) {
		fmt.Fprintf(&b, "\n![%s, %s](%s-%s.png)\n", name, fleet, name, fleet)
	}
	return errors.Trace(os.WriteFile(path, []byte(b.String()), 0o644))
}

func fleets(list []Result) []string { return unique(list, func(r Result) string { return r.Fleet }) }

func unique(list []Result, key func(Result) string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, r := range list {
		if k := key(r); !seen[k] {
			seen[k] = true
			out = append(out, k)
		}
	}
	return out
}

// writePlots draws the attainment of each group, one group of bars for each variant.
func writePlots(dir, name string, list []Result) error {
	for _, fleet := range fleets(list) {
		var own []Result
		for _, r := range list {
			if r.Fleet == fleet {
				own = append(own, r)
			}
		}
		if err := writePlot(filepath.Join(dir, name+"-"+fleet+".png"), name+", "+fleet, own); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(path, title string, list []Result) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, "attainment"
	p.Y.Min, p.Y.Max = 0, 1.25
	variants := unique(list, func(r Result) string { return r.Variant })
	groups := unique(list, func(r Result) string { return r.Group })
	width := vg.Points(60 / float64(len(groups)))
	for i, g := range groups {
		values := make(plotter.Values, len(variants))
		for _, r := range list {
			if r.Group == g {
				values[indexOf(variants, r.Variant)] = r.Row.Attainment
			}
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return errors.Trace(err)
		}
		bars.Color, bars.LineStyle.Width = plotutil.Color(i), 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(groups)-1)/2)
		p.Add(bars)
		p.Legend.Add(g, bars)
	}
	p.Legend.Top = true
	p.NominalX(variants...)
	return errors.Trace(p.Save(vg.Length(len(variants))*1.7*vg.Inch, 4*vg.Inch, path))
}

func indexOf(list []string, s string) int {
	for i := range list {
		if list[i] == s {
			return i
		}
	}
	return -1
}
