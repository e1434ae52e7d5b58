// Package planner is the duty of the holder of a cell's lease: it keeps the cell's placement and orders engines.
package planner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/platform"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const roundInterval = 200 * time.Millisecond

// Deps are what the planner needs of its process.
type Deps struct {
	Cell     string
	Store    platform.Store
	Engines  *engine.Client
	Snapshot func() *config.Snapshot            // latest configuration, nil before the first
	Valid    func() bool                        // whether the lease is still held by the process's own clock
	Demand   func() map[string]wire.ModelDemand // demand since the previous call
	Publish  func(wire.Placement)               // called after each stored placement
	Log      telemetry.Logger
}

// Run plans until ctx ends. The caller starts it when it has acquired the lease with the given epoch and ends ctx when
// it loses it.
func Run(ctx context.Context, epoch uint64, d Deps) error {
	p := &planner{Deps: d, epoch: epoch}
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			p.Log.Warn().Err(err).Msg("Planning round failed.")
			p.version = ""
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

type planner struct {
	Deps
	epoch   uint64
	version string // resource version of the placement object, empty if it has to be read
	state   wire.Placement
}

// round loads missing models one by one: every endpoint that has room gets every model.
func (p *planner) round(ctx context.Context) error {
	snap := p.Snapshot()
	if snap == nil || !p.Valid() {
		return nil
	}
	if p.version == "" {
		if err := p.read(ctx); err != nil {
			return err
		}
	}
	changed := false
	var send []func() error
	for i := range snap.Endpoints {
		e := &snap.Endpoints[i]
		ep := p.endpoint(e.Name)
		rep, err := p.Engines.Report(ctx, e.Address)
		if err != nil {
			continue
		}
		changed = resolve(ep, rep) || changed
		if in := nextIntent(snap, e, ep); in != nil {
			p.state.NextIntent++
			in.ID, in.Epoch = p.state.NextIntent, p.epoch
			ep.Intents = append(ep.Intents, *in)
			changed = true
			o := engine.Order{ID: in.ID, Fence: in.Epoch, Action: engine.ActionLoad, Name: in.Name, Adapter: in.Adapter, Base: in.Base, Bytes: in.Bytes}
			send = append(send, func() error { return p.Engines.Order(ctx, e.Address, o) })
		}
	}
	if !changed {
		return nil
	}
	if err := p.write(ctx); err != nil {
		return err
	}
	for _, f := range send {
		if !p.Valid() {
			return nil
		}
		if err := f(); err != nil {
			p.Log.Warn().Err(err).Msg("Order failed.")
		}
	}
	return nil
}

// resolve updates residents from a report and drops the intents that the report shows as ended.
func resolve(ep *wire.EndpointPlacement, rep engine.Report) bool {
	before := len(ep.Residents) + 1000*len(ep.Intents)
	ep.Incarnation = rep.Incarnation
	ep.Residents = ep.Residents[:0]
	for _, r := range rep.Residents {
		if r.State == "ready" {
			ep.Residents = append(ep.Residents, wire.Resident{Name: r.Name, Adapter: r.Adapter, Bytes: r.Bytes})
		}
	}
	kept := ep.Intents[:0]
	for _, in := range ep.Intents {
		ended := false
		for _, o := range rep.Orders {
			ended = ended || o.ID == in.ID
		}
		if !ended {
			kept = append(kept, in)
		}
	}
	ep.Intents = kept
	return before != len(ep.Residents)+1000*len(ep.Intents)
}

func nextIntent(snap *config.Snapshot, e *config.Endpoint, ep *wire.EndpointPlacement) *wire.Intent {
	if len(ep.Intents) > 0 {
		return nil
	}
	have := make(map[string]bool)
	var used, adapters int64
	for _, r := range ep.Residents {
		have[r.Name] = true
		if r.Adapter {
			adapters += r.Bytes
		} else {
			used += r.Bytes
		}
	}
	for _, m := range snap.Models {
		if !have[m.Name] && used+int64(m.Memory) <= int64(e.Memory) {
			return &wire.Intent{Action: wire.ActionLoad, Name: m.Name, Bytes: int64(m.Memory)}
		}
	}
	for _, a := range snap.Adapters {
		if !have[a.Name] && have[a.Model] && adapters+int64(a.Memory) <= int64(e.AdapterMemory) {
			return &wire.Intent{Action: wire.ActionLoad, Name: a.Name, Adapter: true, Base: a.Model, Bytes: int64(a.Memory)}
		}
	}
	return nil
}

func (p *planner) endpoint(name string) *wire.EndpointPlacement {
	for i := range p.state.Endpoints {
		if p.state.Endpoints[i].Endpoint == name {
			return &p.state.Endpoints[i]
		}
	}
	p.state.Endpoints = append(p.state.Endpoints, wire.EndpointPlacement{Endpoint: name})
	return &p.state.Endpoints[len(p.state.Endpoints)-1]
}

func (p *planner) read(ctx context.Context) error {
	o, err := p.Store.Get(ctx, platform.KindPlacement, p.Cell)
	if errors.Is(err, platform.ErrNotFound) {
		first, err := platform.Encode(platform.KindPlacement, p.Cell, "", wire.Placement{Cell: p.Cell, Epoch: p.epoch})
		if err != nil {
			return err
		}
		o, err = p.Store.Create(ctx, first)
		if err != nil {
			return errors.Trace(err)
		}
	} else if err != nil {
		return errors.Trace(err)
	}
	p.state, err = platform.Decode[wire.Placement](o)
	if err != nil {
		return err
	}
	p.version = o.Version
	return nil
}

func (p *planner) write(ctx context.Context) error {
	p.state.Epoch = p.epoch
	p.state.Version++
	o, err := platform.Encode(platform.KindPlacement, p.Cell, p.version, p.state)
	if err != nil {
		return err
	}
	o, err = p.Store.Update(ctx, o)
	if err != nil {
		return errors.Trace(err)
	}
	p.version = o.Version
	p.Publish(p.state)
	return nil
}
