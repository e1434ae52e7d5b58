// Command sycamore-control keeps declarations, membership, placement and claims of a host's cell.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/platform"
	"sycamoredeal/internal/telemetry"
)

func main() {
	app := kingpin.New("sycamore-control", "Keeps declarations, membership, placement and claims of a host's cell.").DefaultEnvars()
	var o control.Options
	app.Flag("host", "Name of this host.").Required().StringVar(&o.Host)
	app.Flag("zone", "Availability zone of this host.").Required().StringVar(&o.Zone)
	app.Flag("cell", "Cell of this host.").Default("cell-1").StringVar(&o.Cell)
	app.Flag("listen", "ip:port for the project's own processes.").Required().StringVar(&o.Listen)
	app.Flag("entry-address", "ip:port of the local entry process for other entry processes.").Required().StringVar(&o.EntryAddress)
	app.Flag("admin-listen", "ip:port of the admin HTTP server.").StringVar(&o.AdminListen)
	app.Flag("admin-token", "Operators' bearer token for the /v1 paths of the admin server.").StringVar(&o.AdminToken)
	seeds := app.Flag("seeds", "ip:port of control processes, separated by commas, to ask while the platform can't be read.").String()
	app.Flag("lease-term", "Time that a renewal keeps the cell's lease; renewals are sent three times a term.").Default("6s").DurationVar(&o.Term)
	app.Flag("heartbeat", "Time between heartbeats.").Default("1s").DurationVar(&o.Heartbeat)
	app.Flag("poll", "Longest time between two reads of the platform's endpoint list by one host.").Default("1s").DurationVar(&o.Poll)
	app.Flag("key-retention", "Shortest time for which idempotency keys are remembered.").Default("24h").DurationVar(&o.Retention)
	url := app.Flag("platform", "URL of the platform's object API.").Required().String()
	token := app.Flag("platform-token", "Bearer token for the platform's object API.").String()
	level := app.Flag("log-level", "debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *seeds != "" {
		o.Seeds = strings.Split(*seeds, ",")
	}
	o.Store = platform.NewClient(*url, *token)
	o.Log = telemetry.NewLogger(os.Stderr, *level, "control")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := control.New(o).Run(ctx); err != nil {
		o.Log.Error().Err(err).Msg("Stopped with an error.")
		os.Exit(1)
	}
}
