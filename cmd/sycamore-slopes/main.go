// Command sycamore-slopes measures the resource usage of the programs as a fleet grows.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/slopes"
)

func main() {
	app := kingpin.New("sycamore-slopes", "Measures the resource usage of the programs as a fleet grows.")
	o := slopes.Options{Out: os.Stdout}
	app.Flag("dir", "Folder for slopes.csv and slopes.md.").Default("docs/measurements").StringVar(&o.Dir)
	app.Flag("short", "Measure fewer fleet sizes for a shorter time, to check the tool.").BoolVar(&o.Short)
	app.Flag("note", "Other load on the machine, for the report.").StringVar(&o.Note)
	limit := app.Flag("limit", "Longest time for the whole run.").Default("5m").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	app.FatalIfError(slopes.Run(ctx, o), "run")
}
