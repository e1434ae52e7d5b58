// Command sycamore-pairs runs the users' bench with the same days and seeds on two checkouts. It prints the mean differences
// of the results with their confidence intervals.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sycamoredeal/internal/pairs"
	"sycamoredeal/platform/bench"
)

func main() {
	app := kingpin.New("sycamore-pairs", "Compares two checkouts by runs of the users' bench with the same days and seeds.")
	program := app.Flag("bench", "Program of the bench.").Required().ExistingFile()
	site := app.Flag("site", "Site file.").Required().ExistingFile()
	days := app.Flag("day", "Name of a day; may be given several times.").Required().Strings()
	seeds := app.Flag("seeds", "Seeds for each day, from 1 on.").Default("5").Uint64()
	cpu := app.Flag("cpu", "Measure processor time.").Bool()
	small := app.Flag("small", "Play the small twin of the site.").Bool()
	parallel := app.Flag("parallel", "Number of runs at the same time.").Default(fmt.Sprint(max(runtime.NumCPU()/2, 1))).Int()
	keep := app.Flag("keep", "File with the results of the base: read if it exists, otherwise written. It must have the same days and seeds.").String()
	why := app.Flag("why", "Reason of the runs, for the journal of the bench.").Required().String()
	base := app.Arg("base", "Checkout to compare with.").Required().ExistingDir()
	candidate := app.Arg("candidate", "Checkout to evaluate.").Required().ExistingDir()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	b := &bench.Bench{Program: absolute(*program), Site: absolute(*site), Reason: *why, Small: *small, CountCPU: *cpu, MaxParallel: *parallel, Progress: os.Stderr}
	if err := run(b, *days, *seeds, *base, *candidate, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-pairs:", err)
		os.Exit(1)
	}
}

// absolute returns the absolute path, or exits with an error message.
func absolute(path string) string {
	p, err := filepath.Abs(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-pairs:", err)
		os.Exit(1)
	}
	return p
}

// run runs the bench on both checkouts, or only on the candidate if keep holds the results of the base, and prints the
// comparison.
func run(b *bench.Bench, days []string, seeds uint64, base, candidate, keep string) error {
	if seeds < 1 {
		return errors.New("--seeds must be at least 1")
	}
	var plays []pairs.Play
	for _, d := range days {
		for s := uint64(1); s <= seeds; s++ {
			plays = append(plays, pairs.Play{Day: d, Seed: s})
		}
	}
	ctx := context.Background()
	baseResults, err := pairs.LoadOrPlay(keep, plays, func() ([]pairs.Result, error) { return b.Run(ctx, base, plays) })
	if err != nil {
		return errors.Trace(err)
	}
	candidateResults, err := b.Run(ctx, candidate, plays)
	if err != nil {
		return errors.Trace(err)
	}
	pairs.Table(os.Stdout, plays, baseResults, candidateResults)
	return nil
}
