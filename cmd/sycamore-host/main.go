// Command sycamore-host serves callers on the users' platform. One process runs on every host.
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
	o := host.Options{Deployment: d, Store: platform.NewStore(d.StoreAddress), Codec: platform.Codec{}, Log: log, Metrics: telemetry.MustNewMetrics()}
	if s.AdminPort > 0 {
		ip, _, _ := net.SplitHostPort(d.ReadyAddress) // the settings were checked
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

// settingsPoll is the time between looks at the settings file: it may change without a signal.
const settingsPoll = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed. Bad settings leave the former ones in force.
func watchSettings(ctx context.Context, path string, h *host.Host, log telemetry.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	before, _ := os.ReadFile(path) // the first load has reported an unreadable file
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(data, before) {
			continue
		}
		before = data
		d, err := platform.LoadSettings(path)
		if err != nil {
			log.Error().Err(err).Msg("Settings can't be used, the former ones stay.")
			continue
		}
		h.Reload(d)
	}
}
