package host

import (
	"sync/atomic"

	"sycamoredeal/internal/telemetry"
)

// retryAllowance tells who allowed a retry.
type retryAllowance uint8

const (
	allowedByNobody     retryAllowance = iota // sent again to the same endpoint without a budget
	allowedByDispatcher                       // by a grant of the dispatcher
	allowedByHost                             // by this host without the dispatcher
	retryAllowances                           // number of the values above
)

// String returns the name of the allowance in logs and metrics.
func (a retryAllowance) String() string {
	return [retryAllowances]string{"nobody", "dispatcher", "host"}[a]
}

// retryCounts counts the retries that were sent, by who allowed them.
type retryCounts [retryAllowances]atomic.Uint64

// series returns the counts for the metrics.
func (c *retryCounts) series() []telemetry.AttributedCount {
	out := make([]telemetry.AttributedCount, 0, len(c))
	for a := range retryAllowances {
		out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"allowed_by": a.String()}, Count: c[a].Load()})
	}
	return out
}

// retryAllowedBy returns who allowed a retry on a binding.
func retryAllowedBy(b *binding, resend bool) retryAllowance {
	switch {
	case resend:
		return allowedByNobody
	case b.local:
		return allowedByHost
	}
	return allowedByDispatcher
}

// recordRetry logs and counts a send that is not the first one of its request.
func (x *exchange) recordRetry(b *binding, endpoint string, by retryAllowance) {
	x.f.h.retriesSent[by].Add(1)
	l := x.f.log.Info().Str("request", x.q.ID).Str("service", x.q.Service).Str("endpoint", endpoint).Int("sends", x.sends).Str("allowedBy", by.String())
	if by == allowedByDispatcher {
		l = l.Str("dispatcher", b.dispatcher.Name).Uint64("incarnation", b.dispatcher.Incarnation)
	}
	l.Msg("Request sent again.")
}
