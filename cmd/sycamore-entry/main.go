// Command sycamore-entry takes callers' requests and streams the answers of endpoints back.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/entry"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/telemetry"
)

func main() {
	app := kingpin.New("sycamore-entry", "Takes callers' requests and streams the answers of endpoints back.").DefaultEnvars()
	var o entry.Options
	app.Flag("host", "Name of this host.").Required().StringVar(&o.Host)
	app.Flag("zone", "Availability zone of this host.").Required().StringVar(&o.Zone)
	app.Flag("cell", "Cell of this host.").Default("cell-1").StringVar(&o.Cell)
	app.Flag("listen", "ip:port for callers.").Required().StringVar(&o.Listen)
	app.Flag("peer-listen", "ip:port for other entry processes.").Required().StringVar(&o.PeerListen)
	app.Flag("control", "ip:port of the local control process.").Required().StringVar(&o.Control)
	app.Flag("max-body", "Longest request body in bytes.").Default("4194304").IntVar(&o.MaxBody)
	app.Flag("drain-timeout", "Longest time that a stop waits for requests in progress.").Default("10m").DurationVar(&o.DrainTimeout)
	app.Flag("policy", "How endpoints are chosen; all but dispatcher are for measurements.").Default(string(routing.PolicyDispatcher)).EnumVar(&o.Policy, routing.Policies...)
	level := app.Flag("log-level", "debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	o.Log = telemetry.NewLogger(os.Stderr, *level, "entry")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := entry.New(o).Run(ctx); err != nil {
		o.Log.Error().Err(err).Msg("Stopped with an error.")
		os.Exit(1)
	}
}
