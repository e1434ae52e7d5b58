// Command sycamore-entry runs the entry process of a host. It receives requests of callers, forwards them to endpoints and
// streams the answers back.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/entry"
	"sycamoredeal/internal/peertls"
	"sycamoredeal/internal/settings"
	"sycamoredeal/internal/telemetry"
)

func main() {
	var s settings.SycamoreEntry
	settings.MustParse(&s, nil)
	o := entry.Options{
		Host: s.Host, Zone: s.Zone, Cell: s.Cell, Listen: s.Listen, PeerListen: s.PeerListen, Control: s.Control, Policy: s.Policy,
		AdminListen: s.AdminListen, AdminToken: s.AdminToken,
		MaxBody: s.MaxBody, MaxAnswer: s.MaxAnswer, AnswerMemory: s.AnswerMemory, MaxRequests: s.MaxRequests, FirstTokenTimeout: s.FirstTokenTimeout,
		IdleTimeout: s.IdleTimeout, ReadyDelay: s.ReadyDelay, DrainTimeout: s.DrainTimeout, Log: telemetry.NewLogger(os.Stderr, s.LogLevel, "entry"),
	}
	var err error
	if o.TLS, err = (peertls.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}).Load(); err != nil {
		o.Log.Error().Err(err).Msg("TLS settings not usable.")
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Cell == control.AutoCell {
		cell, err := control.LearnCell(ctx, o.Control, o.Host, o.Zone, o.Log)
		if err != nil {
			return // a signal came before the control process had reported the cell
		}
		o.Cell = cell
	}
	if err := entry.New(o).Run(ctx); err != nil {
		o.Log.Error().Err(err).Msg("Stopped with an error.")
		os.Exit(1)
	}
}
