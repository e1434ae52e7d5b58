// Command sycamore-emulate runs request dispatching and model placement in simulated time, and compares variants of the
// placement thresholds over scenarios and seeds.
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
	app := kingpin.New("sycamore-emulate", "Compares variants of the placement thresholds in simulated time.")
	prefixes := app.Flag("scenario", "Name of a scenario, or a prefix of several names; may be repeated. Default: all scenarios.").Strings()
	seeds := app.Flag("seeds", "Number of seeds to simulate for each scenario and variant.").Default("20").Int()
	variantTexts := app.Flag("vary", "Variant of the thresholds, as NAME=VALUE,NAME=VALUE; may be repeated.").Strings()
	parallel := app.Flag("parallel", "Number of simulations at a time.").Default(fmt.Sprint(max(runtime.GOMAXPROCS(0)/2, 1))).Int()
	outDir := app.Flag("out", "Directory for a CSV file of all results and a plot of each scenario. Default: no files.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*prefixes, *seeds, *variantTexts, *parallel, *outDir); err != nil {
		fmt.Fprintln(os.Stderr, "sycamore-emulate:", err)
		os.Exit(1)
	}
}

func run(scenarioPrefixes []string, seeds int, variantTexts []string, parallel int, outDir string) error {
	if seeds < 1 {
		return errors.New("--seeds must be at least 1")
	}
	variants, err := emulator.ParseVariants(variantTexts)
	if err != nil {
		return errors.Annotate(err, "--vary")
	}
	experiment := &emulator.Experiment{Variants: variants, Seeds: seeds, Parallel: parallel, Progress: os.Stderr}
	for _, s := range emulator.Scenarios() {
		if len(scenarioPrefixes) == 0 {
			experiment.Scenarios = append(experiment.Scenarios, s)
		}
		for _, prefix := range scenarioPrefixes {
			if strings.HasPrefix(s.Name, prefix) {
				experiment.Scenarios = append(experiment.Scenarios, s)
				break
			}
		}
	}
	if len(experiment.Scenarios) == 0 {
		return errors.Errorf("--scenario: no scenario name begins with any of %q", scenarioPrefixes)
	}
	results := experiment.Run()
	results.WriteTable(os.Stdout)
	if outDir == "" {
		return nil
	}
	return results.WriteFiles(outDir)
}
