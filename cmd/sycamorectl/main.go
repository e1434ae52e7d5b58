// Command sycamorectl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/operator"
)

func main() {
	app := kingpin.New("sycamorectl", "Operators' tool of sycamoredeal.").DefaultEnvars()
	var o operator.Options
	app.Flag("platform", "URL of the platform's object API.").StringVar(&o.Platform)
	app.Flag("author", "Name recorded with a change.").StringVar(&o.Author)
	app.Flag("control", "ip:port of a control process's admin port.").StringVar(&o.Control)
	app.Flag("output", "table or json.").Default("table").EnumVar(&o.Output, "table", "json")
	o.PlatformToken, o.OperatorToken = os.Getenv("SYCAMORECTL_PLATFORM_TOKEN"), os.Getenv("SYCAMORECTL_OPERATOR_TOKEN")
	cli := operator.CLI{Options: &o, In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	cli.Register(app)
	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "sycamorectl: %v, try --help\n", err)
		os.Exit(operator.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(cli.Run(ctx, command))
}
