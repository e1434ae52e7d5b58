// Command sycamore-host serves callers on the users' platform. One process runs on every host.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"sycamoredeal/internal/host"
	"sycamoredeal/internal/settings"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/platform"
)

const (
	exitSettings = 2
	// memoryShare is the part of the process's memory at which the garbage collector works harder.
	memoryShare = 0.6
)

func main() {
	var s settings.SycamoreHost
	settings.MustParse(&s, nil)
	log, flush := telemetry.NewAsyncLogger(os.Stdout, s.LogLevel, "host")
	defer flush()
	d, err := platform.LoadSettings(s.SettingsFile)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sycamore-host: %v\n", err)
		os.Exit(exitSettings)
	}
	if d.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.MemoryMB) * (1 << 20)))
	}
	o := host.Options{Deployment: d, Store: platform.NewStore(d.Store), Codec: platform.Codec{}, Log: log, Metrics: telemetry.MustMetrics()}
	if s.AdminPort > 0 {
		ip, _, _ := net.SplitHostPort(d.Ready) // the settings were checked
		o.Admin = net.JoinHostPort(ip, strconv.Itoa(int(s.AdminPort)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := host.New(o).Run(ctx); err != nil {
		log.Error().Err(err).Msg("Stopped with an error.")
		flush()
		os.Exit(1)
	}
}
