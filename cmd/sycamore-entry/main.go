// Command sycamore-entry takes callers' requests and streams the answers of endpoints back.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/entry"
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
	app.Flag("max-answer", "Longest answer of a plain service in bytes.").Default("16777216").IntVar(&o.MaxAnswer)
	app.Flag("max-requests", "Requests in progress.").Default("4096").IntVar(&o.MaxRequests)
	app.Flag("first-token-timeout", "An endpoint that sends no first token for so long is left.").Default("20s").DurationVar(&o.FirstTokenTimeout)
	app.Flag("idle-timeout", "An endpoint that sends no further token for so long is left.").Default("5s").DurationVar(&o.IdleTimeout)
	app.Flag("ready-delay", "Time between the failing health check and the end of new work in a stop.").Default("3s").DurationVar(&o.ReadyDelay)
	app.Flag("drain-timeout", "Longest time that a stop waits for requests in progress.").Default("10m").DurationVar(&o.DrainTimeout)
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
