// Command sycamore-emulate plays the decisions on requests and copies in simulated time, and compares variants of their
// thresholds over load patterns and seeds.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sycamoredeal/internal/emulator"
)

func main() {
	app := kingpin.New("sycamore-emulate", "Compares variants of the decisions on requests and copies in simulated time.")
	names := app.Flag("scenario", "Load pattern, or the first part of its name; may be given several times. All without it.").Strings()
	seeds := app.Flag("seeds", "Days of each scenario and variant.").Default("20").Int()
	vary := app.Flag("vary", "A variant of the thresholds, as NAME=VALUE,NAME=VALUE; may be given several times.").Strings()
	parallel := app.Flag("parallel", "Days at a time.").Default(fmt.Sprint(max(runtime.GOMAXPROCS(0)/2, 1))).Int()
	out := app.Flag("out", "Folder for a CSV file of all days and plots; none without it.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*names, *seeds, *vary, *parallel, *out); err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-emulate:", err)
		os.Exit(1)
	}
}

func run(names []string, seeds int, vary []string, parallel int, out string) error {
	if seeds < 1 {
		return errors.New("--seeds must be at least 1")
	}
	variants, err := emulator.ParseVariants(vary)
	if err != nil {
		return errors.Annotate(err, "--vary")
	}
	x := &emulator.Experiment{Variants: variants, Seeds: seeds, Parallel: parallel, Progress: os.Stderr}
	for _, s := range emulator.Scenarios() {
		if len(names) == 0 {
			x.Scenarios = append(x.Scenarios, s)
		}
		for _, n := range names {
			if strings.HasPrefix(s.Name, n) {
				x.Scenarios = append(x.Scenarios, s)
				break
			}
		}
	}
	if len(x.Scenarios) == 0 {
		return errors.Errorf("--scenario: none of the load patterns begins with %q", names)
	}
	o := x.Run()
	o.WriteTable(os.Stdout)
	if out == "" {
		return nil
	}
	return o.WriteFiles(out)
}
