package entry

import (
	"context"
	"time"

	"sycamoredeal/internal/clock"
)

const (
	maxHeaderBytes     = 64 << 10               // of a request; hertz's default is 1 MiB for each connection
	bodyReadAhead      = 64 << 10               // bytes
	callerWriteTimeout = time.Minute            // for a caller that does not read its answer
	exitWait           = 500 * time.Millisecond // for answers that are written but not yet flushed
	drainPoll          = 20 * time.Millisecond
)

// drain ends the work of the process in the order of a graceful shutdown: the health check fails while requests are
// still served, then new requests are refused as not run, then the requests in progress are finished.
func (e *Entry) drain(ctx context.Context) {
	e.leaving.Store(true)
	e.opts.Log.Info().Int64("inFlight", e.inFlight.Load()).Msg("Stopping.")
	clock.Sleep(ctx, e.opts.ReadyDelay)
	e.draining.Store(true)
	deadline := time.Now().Add(e.opts.DrainTimeout)
	for e.inFlight.Load() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		clock.Sleep(ctx, drainPoll)
	}
	if n := e.inFlight.Load(); n > 0 {
		e.opts.Log.Error().Int64("inFlight", n).Msg("Drain timeout cuts requests.")
	}
}
