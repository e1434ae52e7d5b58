// Command sycamore-control runs the control process of a host. Those of a cell manage its declarations, membership, placement
// and idempotency claims.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/peertls"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/settings"
	"sycamoredeal/internal/telemetry"
)

func main() {
	var s settings.SycamoreControl
	settings.MustParse(&s, nil)
	o := control.Options{
		Host: s.Host, Zone: s.Zone, Cell: s.Cell, Region: s.Region, Listen: s.Listen, EntryAddress: s.EntryAddress, CallerAddr: s.CallerAddress,
		AdminListen: s.AdminListen, AdminToken: s.AdminToken, Seeds: settings.List(s.Seeds), Term: s.LeaseTerm, Heartbeat: s.Heartbeat,
		Poll: s.Poll, Retention: s.KeyRetention, Placement: placement.Policies[s.Placement], LateBound: s.LateBound,
		Store: objects.NewClient(s.Platform, s.PlatformToken), Log: telemetry.NewLogger(os.Stderr, s.LogLevel, "control"),
	}
	var err error
	if o.TLS, err = (peertls.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}).Load(); err != nil {
		o.Log.Error().Err(err).Msg("TLS settings not usable.")
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Cell == control.AutoCell {
		cell, err := control.JoinCell(ctx, o)
		if err != nil {
			return // a signal came before the host had joined a cell
		}
		o.Cell = cell
	}
	if err := control.New(o).Run(ctx); err != nil {
		o.Log.Error().Err(err).Msg("Stopped with an error.")
		os.Exit(1)
	}
}
