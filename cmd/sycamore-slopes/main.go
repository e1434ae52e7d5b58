// Command sycamore-slopes measures what the programs cost as a fleet grows.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/slopes"
)

func main() {
	app := kingpin.New("sycamore-slopes", "Measures what the programs cost as a fleet grows.")
	o := slopes.Options{Out: os.Stdout}
	app.Flag("dir", "Folder for slopes.csv and slopes.md.").Default("docs/measurements").StringVar(&o.Dir)
	app.Flag("short", "Measure few and short points, to check the tool.").BoolVar(&o.Short)
	app.Flag("note", "What else runs on the machine, for the report.").StringVar(&o.Note)
	limit := app.Flag("limit", "Longest time for the whole run.").Default("5m").Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, *limit)
	defer cancel()
	app.FatalIfError(slopes.Run(ctx, o), "run")
}
