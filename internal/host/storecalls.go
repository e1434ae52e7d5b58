package host

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
)

// Causes of calls to the store, by which they are counted.
const (
	causeStart          = "start"         // a kind that this process has not read yet
	causeStale          = "stale"         // a kind that the dispatcher or a relay does not forward in full
	causeOutage         = "outage"        // a kind whose last call failed
	causeDispatcher     = "dispatcher"    // followed by the dispatcher for all hosts
	causeProbe          = "probe"         // of a host whose other calls all wait
	causeRelay          = "relay"         // followed by a relay for the dispatcher
	causeNoDispatcher   = "no-dispatcher" // followed by a host that gets no changes from a dispatcher
	causeRegistration   = "registration"
	causeDeregistration = "deregistration"
	causeLeaseRenewal   = "lease-renewal"
	causeLeaseChallenge = "lease-challenge"
	causeLeaseRelease   = "lease-release"
	causeQuarantine     = "quarantine" // blocked prompt parts
)

// followCause returns the cause of a call that follows a kind.
func (d *directory) followCause(kind string) string {
	isDispatcher, isRelay := d.h.binder.isDispatcher(), d.h.binder.isRelay()
	d.mu.Lock()
	defer d.mu.Unlock()
	_, lost := d.outages[kind]
	switch {
	case lost:
		return causeOutage
	case d.answeredAt[kind].IsZero() && d.mirror.count(kind) == 0:
		return causeStart
	case d.stale[kind]:
		return causeStale
	case isDispatcher:
		return causeDispatcher
	case isRelay:
		return causeRelay
	}
	return causeNoDispatcher
}

// leaseCause returns the cause of a call for the placement lease.
func leaseCause(held, releasing bool) string {
	switch {
	case releasing:
		return causeLeaseRelease
	case held:
		return causeLeaseRenewal
	}
	return causeLeaseChallenge
}

// storeCallSeries returns the calls to the store for the metrics.
func (h *Host) storeCallSeries() []telemetry.AttributedCount {
	var out []telemetry.AttributedCount
	for class, n := range h.opts.Store.CallCounts() {
		out = append(out, telemetry.AttributedCount{
			Attributes: map[string]string{"kind": class.Kind, "operation": class.Operation, "cause": class.Cause}, Count: n,
		})
	}
	return out
}

const storeCallLogInterval = 5 * time.Second

// logStoreCalls logs the calls to the store at each interval in which there were any, and at the end of ctx.
func (h *Host) logStoreCalls(ctx context.Context) {
	t := time.NewTicker(storeCallLogInterval)
	defer t.Stop()
	var logged map[objects.CallClass]uint64
	for ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		counts := h.opts.Store.CallCounts()
		for _, class := range slices.SortedFunc(maps.Keys(counts), compareCallClasses) {
			if n := counts[class] - logged[class]; n > 0 {
				h.log.Info().Str("kind", class.Kind).Str("operation", class.Operation).Str("cause", class.Cause).
					Uint64("calls", n).Uint64("total", counts[class]).Msg("Store calls.")
			}
		}
		logged = counts
	}
}

func compareCallClasses(a, b objects.CallClass) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Operation, b.Operation), cmp.Compare(a.Cause, b.Cause))
}
