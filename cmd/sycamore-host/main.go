// Command sycamore-host serves callers on the users' platform. One process of it runs on each host.
package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"sycamoredeal/internal/host"
	"sycamoredeal/internal/settings"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/platform"
)

const (
	exitInvalidSettings = 2 // exit code
	// gcMemoryShare is the share of the process's memory limit that is set as the soft memory limit of the Go runtime.
	gcMemoryShare = 0.6
	// gcPercent is the growth of the heap, in percent, after which garbage is collected. Live data is a few MB on most hosts, and
	// memory is scarcer there than processor time.
	gcPercent = 50
)

func main() {
	var s settings.SycamoreHost
	settings.MustParse(&s, nil)
	log, flush := telemetry.NewAsyncLogger(os.Stdout, s.LogLevel, "host")
	defer flush()
	deployment, err := platform.LoadSettings(s.SettingsFile)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sycamore-host: %v\n", err)
		os.Exit(exitInvalidSettings)
	}
	debug.SetGCPercent(gcPercent)
	if deployment.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(deployment.MemoryMB) * (1 << 20)))
	}
	o := host.Options{Deployment: deployment, Store: platform.NewStore(deployment.StoreAddress), Codec: platform.Codec{}, Log: log, Metrics: telemetry.MustNewMetrics(), HedgeShare: s.HedgeShare}
	if s.AdminPort > 0 {
		ip, _, _ := net.SplitHostPort(deployment.ReadyAddress) // LoadSettings has checked the address
		o.AdminListen = net.JoinHostPort(ip, strconv.Itoa(int(s.AdminPort)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := host.New(o)
	go watchSettings(ctx, s.SettingsFile, h, log.Part("settings"))
	if err := h.Run(ctx); err != nil {
		log.Error().Err(err).Msg("Stopped with an error.")
		flush()
		os.Exit(1)
	}
}

// settingsPollInterval is the time between reads of the settings file, which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed. If the new settings are invalid, the previous
// ones remain in force.
func watchSettings(ctx context.Context, path string, h *host.Host, log telemetry.Logger) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	previous, _ := os.ReadFile(path) // main has already reported an unreadable file
	for {
		reloadRequested := false
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			reloadRequested = true
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !reloadRequested && bytes.Equal(data, previous) {
			continue
		}
		previous = data
		deployment, err := platform.LoadSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("Settings can't be used, the former ones stay.")
			continue
		}
		h.Reload(deployment)
	}
}
