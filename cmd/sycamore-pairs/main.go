// Command sycamore-pairs plays the same days with the same seeds on two checkouts, with the users' bench, and prints the
// mean differences with their confidence intervals.
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
	app := kingpin.New("sycamore-pairs", "Compares two checkouts on the same days and seeds, played by the users' bench.")
	program := app.Flag("bench", "The bench's program.").Required().ExistingFile()
	site := app.Flag("site", "Site file.").Required().ExistingFile()
	days := app.Flag("day", "Name of a day; may be given several times.").Required().Strings()
	seeds := app.Flag("seeds", "Seeds for each day, from 1 on.").Default("5").Uint64()
	cpu := app.Flag("cpu", "Count processor time.").Bool()
	parallel := app.Flag("parallel", "Plays at a time.").Default(fmt.Sprint(max(runtime.NumCPU()/2, 1))).Int()
	keep := app.Flag("keep", "File with the results of the base: read if it exists, else written. Its days and seeds must be the same.").String()
	why := app.Flag("why", "Why, for the bench's journal.").Required().String()
	base := app.Arg("base", "Checkout to compare with.").Required().ExistingDir()
	candidate := app.Arg("candidate", "Checkout to judge.").Required().ExistingDir()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	b := &bench.Bench{Program: absolute(*program), Site: absolute(*site), Reason: *why, CountCPU: *cpu, MaxParallel: *parallel, Progress: os.Stderr}
	if err := run(b, *days, *seeds, *base, *candidate, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-pairs:", err)
		os.Exit(1)
	}
}

func absolute(path string) string {
	p, err := filepath.Abs(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-pairs:", err)
		os.Exit(1)
	}
	return p
}

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
	before, err := pairs.LoadOrPlay(keep, plays, func() ([]pairs.Result, error) { return b.Run(ctx, base, plays) })
	if err != nil {
		return errors.Trace(err)
	}
	after, err := b.Run(ctx, candidate, plays)
	if err != nil {
		return errors.Trace(err)
	}
	pairs.Table(os.Stdout, plays, before, after)
	return nil
}
