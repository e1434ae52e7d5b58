// Package slopes measures what the programs cost as a fleet grows: it starts fleets of several sizes as real processes,
// reads processor time, memory, messages and platform calls, and fits a line through each series.
package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/testbed"
)

// Options of a run.
type Options struct {
	Dir   string    // folder for slopes.csv and slopes.md
	Short bool      // few and short points, to check the tool
	Note  string    // what else ran on the machine, for the report
	Out   io.Writer // progress
}

// Point is one measured value. X is the size of the dimension that Series varies.
type Point struct {
	Series string
	X      float64
	Role   string
	Metric string
	Value  float64
}

type runner struct {
	Options
	bed    *testbed.Testbed
	dir    string
	window time.Duration
	points []Point
	began  time.Time
	load   string
	fleets int
}

// Run measures all series and writes the report.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "sycamore-slopes")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	r := &runner{Options: o, dir: dir, window: 6 * time.Second, began: time.Now(), load: loadAverage()}
	if o.Short {
		r.window = 2 * time.Second
	}
	if r.bed, err = testbed.New(ctx, filepath.Join(dir, "bin")); err != nil {
		return err
	}
	defer r.bed.Close()
	for _, step := range r.steps() {
		if err := step(ctx); err != nil {
			return err
		}
	}
	r.machines()
	return r.write()
}

func (r *runner) steps() []func(context.Context) error {
	base := size{hosts: 3, endpoints: 9, models: 20}
	at := func(series string, x int, s size) func(context.Context) error {
		return func(ctx context.Context) error { return r.idle(ctx, series, x, s) }
	}
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return r.busy(ctx, base) },
		at("hosts", 8, size{hosts: 8, endpoints: 9, models: 20}),
	}
	if r.Short {
		return steps
	}
	return append(steps,
		at("hosts", 16, size{hosts: 16, endpoints: 9, models: 20}),
		at("hosts", 20, size{hosts: 20, endpoints: 9, models: 20}),
		at("endpoints", 25, size{hosts: 3, endpoints: 25, models: 20}),
		at("endpoints", 43, size{hosts: 3, endpoints: 43, models: 20}),
		at("models", 120, size{hosts: 3, endpoints: 43, models: 120}),
		at("models", 250, size{hosts: 3, endpoints: 43, models: 250}),
		r.targetCell,
		r.declared,
	)
}

func (r *runner) say(format string, args ...any) {
	fmt.Fprintf(r.Out, "%6.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *runner) add(series string, x float64, role, metric string, value float64) {
	r.points = append(r.points, Point{series, x, role, metric, value})
}

// idle measures a fleet without requests.
func (r *runner) idle(ctx context.Context, series string, x int, s size) error {
	f, bed, err := r.fleet(ctx, s)
	if err != nil {
		return err
	}
	defer bed.Close()
	return r.measureIdle(ctx, f, series, x)
}

// targetCell measures a cell of the size that the target fleet has 17 of, without requests and under them.
func (r *runner) targetCell(ctx context.Context) error {
	f, bed, err := r.fleet(ctx, size{hosts: 20, endpoints: 43, models: 235})
	if err != nil {
		return err
	}
	defer bed.Close()
	const series = "cell of 20 hosts, 43 endpoints and 235 models, by requests/s"
	if err := r.measureIdle(ctx, f, series, 0); err != nil {
		return err
	}
	for _, rate := range []int{200, 400} {
		if err := r.measure(ctx, f, []string{series}, float64(rate), func() error { return r.requests(ctx, f, rate) }); err != nil {
			return err
		}
	}
	return nil
}

// declared measures the memory of processes that hold the whole target configuration, before and after changes of it.
func (r *runner) declared(ctx context.Context) error {
	f, bed, err := r.fleet(ctx, size{hosts: 3, endpoints: 9, models: 20, whole: true})
	if err != nil {
		return err
	}
	defer bed.Close()
	if err := r.measureIdle(ctx, f, "declared", targetModels); err != nil {
		return err
	}
	return r.measure(ctx, f, []string{"declared, 40 changes a minute"}, targetModels, func() error { return r.changes(ctx, f, 40) })
}

func (r *runner) measureIdle(ctx context.Context, f *testbed.Fleet, series string, x int) error {
	return r.measure(ctx, f, []string{series}, float64(x), func() error { return pause(ctx, r.window) })
}

// busy measures the smallest fleet without load, and then under requests, claims and configuration changes.
func (r *runner) busy(ctx context.Context, s size) error {
	f, bed, err := r.fleet(ctx, s)
	if err != nil {
		return err
	}
	defer bed.Close()
	err = r.measure(ctx, f, []string{"hosts", "endpoints", "requests", "claims", "changes"}, 0, func() error { return pause(ctx, r.window) })
	if err != nil {
		return err
	}
	r.rebase(s)
	for _, rate := range r.rates(50, 100, 200, 400) {
		err := r.measure(ctx, f, []string{"requests"}, float64(rate), func() error { return r.requests(ctx, f, rate) })
		if err != nil {
			return err
		}
	}
	for _, rate := range r.rates(20, 50, 100) {
		err := r.measure(ctx, f, []string{"claims"}, float64(rate), func() error { return r.claims(ctx, f, rate) })
		if err != nil {
			return err
		}
	}
	for _, perMinute := range r.rates(10, 20, 40) {
		err := r.measure(ctx, f, []string{"changes"}, float64(perMinute), func() error { return r.changes(ctx, f, perMinute) })
		if err != nil {
			return err
		}
	}
	return nil
}

// rebase gives the points of the smallest fleet their size in the series that vary a size.
func (r *runner) rebase(s size) {
	for i := range r.points {
		switch p := &r.points[i]; p.Series {
		case "hosts":
			p.X = float64(s.hosts)
		case "endpoints":
			p.X = float64(s.endpoints)
		}
	}
}

// rates returns the first rate only in a short run.
func (r *runner) rates(all ...int) []int {
	if r.Short {
		return all[:1]
	}
	return all
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
