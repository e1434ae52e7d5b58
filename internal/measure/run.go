package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

const (
	hosts       = 6
	settleTime  = 3 * time.Second // for members and the dispatcher after entries have started
	layoutLimit = 60 * time.Second
)

// Options set what is measured.
type Options struct {
	Fleets   []string      // folders of declarations
	Only     []string      // names of experiments, empty for all
	Duration time.Duration // of each run
	Out      string        // folder for results
	Log      io.Writer
}

// Result is one group of one variant.
type Result struct {
	Fleet, Experiment, Variant string
	Group                      string
	Row                        *load.Row
	Kept                       float64 // goodput over the goodput of the first variant
	PerAccelerator             float64 // worth attained a second for each accelerator, of the whole variant
	Orders                     int     // orders to engines during the run
	Violations                 int     // requests lost, doubled, cut or wrong in the whole variant
	Unfinished                 int     // requests that still waited when the generator stopped
}

// Run measures and writes the results into the folder.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "sycamore-measure")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	bed, err := testbed.New(ctx, filepath.Join(dir, "bin"))
	if err != nil {
		return err
	}
	defer bed.Close()
	var all []Result
	for _, folder := range o.Fleets {
		own := filepath.Join(dir, filepath.Base(folder))
		if err := os.Mkdir(own, 0o755); err != nil {
			return errors.Trace(err)
		}
		for _, measure := range []func(context.Context, Options, *testbed.Testbed, string, string) ([]Result, error){measureFleet, measurePlacement} {
			results, err := measure(ctx, o, bed, folder, own)
			if err != nil {
				return errors.Annotate(err, folder)
			}
			all = append(all, results...)
		}
	}
	return write(o, all)
}

func (o Options) wants(experiment string) bool {
	return len(o.Only) == 0 || slices.Contains(o.Only, experiment)
}

// measureFleet starts one fleet and runs all experiments on it, one variant after the other. The layout stays; the
// entry processes are started anew for each variant.
func measureFleet(ctx context.Context, o Options, bed *testbed.Testbed, folder, dir string) ([]Result, error) {
	dir = filepath.Join(dir, "shared")
	if err := os.Mkdir(dir, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	if len(o.Only) == 1 && o.Only[0] == placementName {
		return nil, nil
	}
	fmt.Fprintf(o.Log, "%s: starting\n", filepath.Base(folder))
	f, err := testbed.StartFleet(ctx, bed, testbed.FleetOptions{
		Declarations: folder, Dir: dir, Hosts: hosts,
		EngineArgs: []string{"--token-time", tokenTime.String(), "--prefill", "20ms", "--load-time", "200ms"},
	})
	if err != nil {
		return nil, err
	}
	defer stopFleet(f)
	if err := warmUp(ctx, o, f); err != nil {
		return nil, err
	}
	var all []Result
	for _, e := range experiments(f) {
		if !o.wants(e.name) {
			continue
		}
		var base []*load.Row
		for _, v := range e.variants {
			rep, err := runVariant(ctx, o, f, e, v)
			if err != nil {
				return nil, errors.Annotatef(err, "%s, %s", e.name, v.name)
			}
			rows := rep.Group(e.group)
			if base == nil {
				base = rows
			}
			all = append(all, results(filepath.Base(folder), e, v, rep, rows, base)...)
		}
	}
	return all, nil
}

// warmUp lets the planner place copies for the demand of the base load, so that all variants meet the same layout.
func warmUp(ctx context.Context, o Options, f *testbed.Fleet) error {
	if err := waitLayout(ctx, f); err != nil {
		return err
	}
	e := routingExperiment()
	if _, err := runVariant(ctx, o, f, e, variant{name: "warm-up", entry: policy("dispatcher")}); err != nil {
		return err
	}
	return waitLayout(ctx, f)
}

// experiments returns the experiments for a fleet. The caller that floods is the first declared one.
func experiments(f *testbed.Fleet) []experiment {
	return []experiment{routingExperiment(), rankFloods(len(f.Snapshot.Ranks) - 1), callerFlood(f.Snapshot.Callers[0].Name)}
}

func results(fleet string, e experiment, v variant, rep *load.Report, rows, base []*load.Row) []Result {
	var out []Result
	for i, row := range rows {
		r := Result{
			Fleet: fleet, Experiment: e.name, Variant: v.name, Group: row.Rank, Row: row,
			PerAccelerator: rep.AttainedPerAccelerator, Orders: rep.EngineOrders, Violations: rep.Violations() - rep.Unfinished(), Unfinished: rep.Unfinished(),
		}
		if base[i].Goodput > 0 {
			r.Kept = row.Goodput / base[i].Goodput
		}
		out = append(out, r)
	}
	return out
}

func runVariant(ctx context.Context, o Options, f *testbed.Fleet, e experiment, v variant) (*load.Report, error) {
	if err := restartEntries(ctx, f, v.entry); err != nil {
		return nil, err
	}
	fmt.Fprintf(o.Log, "%s: %s, %s\n", filepath.Base(f.Options.Declarations), e.name, v.name)
	disturbed := make(chan error, 1)
	go func() {
		if v.disturb == nil {
			disturbed <- nil
			return
		}
		clock.Sleep(ctx, disturbAt)
		disturbed <- v.disturb(ctx, f)
	}()
	rep, err := load.Run(ctx, scenario(f, e, v, o.Duration))
	if err != nil {
		return nil, err
	}
	return rep, <-disturbed
}

// restartEntries replaces all entry processes by ones with other arguments.
func restartEntries(ctx context.Context, f *testbed.Fleet, args []string) error {
	f.Options.EntryArgs = append([]string{"--ready-delay", "100ms"}, args...)
	for _, h := range f.Hosts {
		h.Entry.Kill()
		if err := f.StartEntry(h); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if err := testbed.WaitHTTP(ctx, "http://"+h.EntryAddr+"/readyz"); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, settleTime)
	return nil
}

// stopFleet ends the processes of a fleet, so that the next one has the machine for itself.
func stopFleet(f *testbed.Fleet) {
	for _, h := range f.Hosts {
		h.Entry.Kill()
		h.Control.Kill()
	}
	for _, p := range f.Engines {
		p.Kill()
	}
	for _, p := range f.Services {
		p.Kill()
	}
	f.Platform.Kill()
}
