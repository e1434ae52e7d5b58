// Command sycamore-measure compares the system's decisions with baselines on fleets of real processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/measure"
)

func main() {
	app := kingpin.New("sycamore-measure", "Compares the system's decisions with baselines on fleets of real processes.")
	o := measure.Options{Log: os.Stderr}
	app.Flag("fleet", "Folder of declarations; may be given several times.").Default("examples/consorcio", "examples/pastos").ExistingDirsVar(&o.Fleets)
	app.Flag("only", "Name of an experiment; may be given several times.").StringsVar(&o.Only)
	app.Flag("duration", "Length of each run.").Default("15s").DurationVar(&o.Duration)
	app.Flag("out", "Folder for the results.").Default("docs/measurements").StringVar(&o.Out)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := measure.Run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "measurement failed:", err)
		os.Exit(1)
	}
}
