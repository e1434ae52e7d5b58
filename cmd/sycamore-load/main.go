// Command sycamore-load sends the open-loop load of a scenario file and checks every answer.
package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/load"
)

func main() {
	app := kingpin.New("sycamore-load", "Sends an open-loop load and checks every answer.")
	file := app.Arg("scenario", "Scenario file (YAML).").Required().ExistingFile()
	output := app.Flag("output", "table, json or csv.").Default("table").Enum("table", "json", "csv")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := load.ReadScenario(*file)
	app.FatalIfError(err, "scenario")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	rep, err := load.Run(ctx, s)
	app.FatalIfError(err, "run")
	switch *output {
	case "json":
		err = json.NewEncoder(os.Stdout).Encode(rep)
	case "csv":
		err = rep.WriteCSV(os.Stdout)
	default:
		rep.WriteTable(os.Stdout)
	}
	app.FatalIfError(err, "write")
	if rep.Violations() > 0 {
		os.Exit(1)
	}
}
