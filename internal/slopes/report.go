package slopes

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// line is the least-squares fit of one series.
type line struct {
	series, role, metric string
	points               []Point
	intercept, slope, r2 float64
	fitted               bool
}

// fit groups the points and fits a line through each group with at least two sizes.
func fit(points []Point) []line {
	type key struct{ series, role, metric string }
	groups := make(map[key][]Point)
	for _, p := range points {
		k := key{p.Series, p.Role, p.Metric}
		groups[k] = append(groups[k], p)
	}
	var out []line
	for k, ps := range groups {
		sort.Slice(ps, func(i, j int) bool { return ps[i].X < ps[j].X })
		l := line{series: k.series, role: k.role, metric: k.metric, points: ps}
		var x, y []float64
		for _, p := range ps {
			x, y = append(x, p.X), append(y, p.Value)
		}
		if x[0] != x[len(x)-1] {
			l.intercept, l.slope = stat.LinearRegression(x, y, nil, false)
			l.r2, l.fitted = stat.RSquared(x, y, nil, l.intercept, l.slope), true
		}
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		return a.series+"\x00"+a.role+"\x00"+a.metric < b.series+"\x00"+b.role+"\x00"+b.metric
	})
	return out
}

// zero tells whether all values are 0: such a row says nothing.
func (l *line) zero() bool {
	for _, p := range l.points {
		if p.Value != 0 {
			return false
		}
	}
	return true
}

func (r *runner) write() error {
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	lines := fit(r.points)
	if err := r.writeCSV(lines); err != nil {
		return err
	}
	return errors.Trace(os.WriteFile(filepath.Join(r.Dir, "slopes.md"), []byte(r.markdown(lines)), 0o644))
}

func (r *runner) writeCSV(lines []line) error {
	f, err := os.Create(filepath.Join(r.Dir, "slopes.csv"))
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	w := csv.NewWriter(f)
	w.Write([]string{"series", "x", "role", "metric", "value"})
	for _, l := range lines {
		for _, p := range l.points {
			w.Write([]string{p.Series, number(p.X), p.Role, p.Metric, strconv.FormatFloat(p.Value, 'g', 6, 64)})
		}
	}
	w.Flush()
	return errors.Trace(w.Error())
}

func (r *runner) markdown(lines []line) string {
	var b strings.Builder
	command := "make slopes"
	if r.Short {
		command += " SLOPES=--short"
	}
	fmt.Fprintf(&b, "# Measured slopes\n\nCommand: `%s`. %d cores, %s, run on %s, %.0f s long. Load averages before the run: %s; after: %s.\n",
		command, runtime.NumCPU(), runtime.Version(), r.began.UTC().Format("2006-01-02 15:04 MST"), time.Since(r.began).Seconds(), r.load, loadAverage())
	if r.Note != "" {
		fmt.Fprintf(&b, "%s\n", r.Note)
	}
	b.WriteString("\nEach value is the mean over the processes of a role in one window. `values` lists size: value. The line is value = base +\n" +
		"slope x size, by least squares; R2 is its share of the variance. Series whose values are all 0 are left out.\n")
	series := ""
	for _, l := range lines {
		if l.zero() {
			continue
		}
		if l.series != series {
			series = l.series
			fmt.Fprintf(&b, "\n## %s\n\n| role | metric | values | base | slope | R2 |\n|---|---|---|---|---|---|\n", series)
		}
		var values []string
		for _, p := range l.points {
			values = append(values, number(p.X)+": "+number(p.Value))
		}
		base, slope, r2 := "", "", ""
		if l.fitted {
			base, slope, r2 = number(l.intercept), number(l.slope), fmt.Sprintf("%.2f", l.r2)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", l.role, l.metric, strings.Join(values, ", "), base, slope, r2)
	}
	return b.String()
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }
