package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/binding"
	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// newBinder returns the binder of the configured policy together with the dispatcher that this process can host.
func (e *Entry) newBinder() routing.Binder {
	incarnation := uint64(time.Now().UnixNano())
	log := e.opts.Log.Part("dispatch")
	journal := func(o dispatch.Output) {
		d := &o.Decision
		log.Debug().Str("entry", o.To).Uint64("id", o.ID).Str("caller", d.Caller).Str("rank", d.Rank).Str("model", d.Model).
			Str("endpoint", o.Endpoint).Str("reason", d.Reason).Uint32("waitMs", d.WaitMs).Int("candidates", d.Candidates).
			Float64("score", d.Score).Str("request", d.Request).Msg("Decided.")
		e.observer.dispatched(o)
	}
	policy := routing.Policy(e.opts.Policy)
	firstCome := policy == routing.PolicyFirstCome
	if firstCome {
		policy = routing.PolicyDispatcher
	}
	return binding.New(binding.Options{
		Hello:  wire.Hello{Host: e.opts.Host, Role: wire.RoleEntry, Cell: e.opts.Cell, Zone: e.opts.Zone, Incarnation: incarnation},
		Policy: policy,
		Seed:   incarnation, // entries must not make the same random choices
		View:   e.view.Load, TLS: e.opts.TLS, Counters: &e.counters.asks, Journal: e.observer.alone,
		Server: binding.NewServer(dispatch.Config{Seed: incarnation, FirstCome: firstCome}, e.view.Load, journal),
	})
}

// runDispatch serves other entries and follows the cell's dispatcher until ctx ends. The returned function waits for the
// end of both.
func (e *Entry) runDispatch(ctx context.Context) (wait func(), err error) {
	b, ok := e.binder.(*binding.Binder)
	if !ok {
		return func() {}, nil
	}
	o := b.Options()
	var ln *transport.Server
	if e.opts.PeerListen != "" {
		serve := o.Server.Options(o.Hello)
		serve.TLS, serve.Counters, serve.OnHandshakeFailed = e.opts.TLS, &e.counters.dispatcher, e.failed
		if ln, err = transport.Listen(ctx, e.opts.PeerListen, serve); err != nil {
			return nil, errors.Annotate(err, "serve other entries")
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { o.Server.Run(ctx) })
	wg.Go(func() { b.Run(ctx) })
	return func() {
		wg.Wait()
		if ln != nil {
			ln.Wait()
		}
	}, nil
}
