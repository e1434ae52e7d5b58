// Command sycamore-demo runs a complete fleet with stand-ins on this machine, and stops or kills some of its processes under
// load.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/demo"
)

func main() {
	app := kingpin.New("sycamore-demo", "Runs a complete fleet with stand-ins on this machine, and stops or kills some of its processes under load.")
	o := demo.Options{Out: os.Stdout}
	app.Flag("declarations", "Folder of declarations.").Default("examples/consorcio").ExistingDirVar(&o.Declarations)
	app.Flag("duration", "Length of the load.").Default("20s").DurationVar(&o.Duration)
	limit := app.Flag("limit", "Longest time for the whole demo.").Default("90s").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	if err := demo.Run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
