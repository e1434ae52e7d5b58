package host

import (
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
)

// retryAllowance tells who allowed a retry.
type retryAllowance uint8

const (
	allowedByHost       retryAllowance = iota // from this host's part of the allowed retries
	allowedByDispatcher                       // lent by the dispatcher
	retryAllowances                           // number of the values above
)

// String returns the name of the allowance in logs and metrics.
func (a retryAllowance) String() string {
	return [retryAllowances]string{"host", "dispatcher"}[a]
}

// hostRetries holds this host's part of the retries that all hosts may send, and counts the retries that were sent.
type hostRetries struct {
	h    *Host
	sent [retryAllowances]atomic.Uint64

	mu    sync.Mutex
	state *sched.HostRetries
}

func newHostRetries(h *Host) *hostRetries {
	return &hostRetries{h: h, state: sched.NewHostRetries(clock.Boot())}
}

// limits returns the limits on retries in force.
func (r *hostRetries) limits() sched.RetryLimits {
	d := r.h.deployment()
	return sched.RetryLimits{Ratio: d.RetryRatio, Extra: d.RetryExtra, Window: d.RetryWindow}
}

// addRequest counts a request of a caller.
func (r *hostRetries) addRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.AddRequest(clock.Boot(), service, r.limits())
}

// reserve returns the permit for a retry that this host may send by itself, or nil if it may send none.
func (r *hostRetries) reserve(service string) *retryPermit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.SetHosts(len(r.h.directory.view().Hosts))
	if !r.state.Reserve(clock.Boot(), service, r.limits()) {
		return nil
	}
	return &retryPermit{retries: r, service: service, by: allowedByHost}
}

// series returns the number of retries sent, for the metrics.
func (r *hostRetries) series() []telemetry.AttributedCount {
	out := make([]telemetry.AttributedCount, 0, len(r.sent))
	for a := range retryAllowances {
		out = append(out, telemetry.AttributedCount{Attributes: map[string]string{"allowed_by": a.String()}, Count: r.sent[a].Load()})
	}
	return out
}

// retryPermit allows one send that is not the first one of its request. A nil permit allows none.
type retryPermit struct {
	retries    *hostRetries
	service    string
	by         retryAllowance
	dispatcher fleet.Host // that lent it
	used       bool
	ended      bool
}

// use marks the permit as used, and returns whether it allows a send.
func (p *retryPermit) use() bool {
	if p == nil || p.used {
		return false
	}
	p.used = true
	p.retries.sent[p.by].Add(1)
	return true
}

// end ends a permit whose outcome is known, or that is no longer needed.
func (p *retryPermit) end() {
	if p == nil || p.ended {
		return
	}
	p.ended = true
	if p.by != allowedByHost {
		return // the dispatcher learns the outcome from Started and Done
	}
	p.retries.mu.Lock()
	defer p.retries.mu.Unlock()
	if p.used {
		p.retries.state.Settle(clock.Boot(), p.service)
	} else {
		p.retries.state.Release(p.service)
	}
}

// allowSend reports whether the request may be sent on a binding: always for the first time, and as a retry with a permit.
func (x *exchange) allowSend(b *binding, endpoint string) bool {
	if x.sends == 0 {
		return true
	}
	if !b.permit.use() {
		return false
	}
	l := x.f.log.Info().Str("request", x.q.ID).Str("service", x.q.Service).Str("endpoint", endpoint).Int("sends", x.sends+1).
		Str("allowedBy", b.permit.by.String()).Int64("requestAgeMs", time.Since(x.q.Arrived).Milliseconds())
	if b.permit.by == allowedByDispatcher {
		l = l.Str("dispatcher", b.permit.dispatcher.Name).Uint64("incarnation", b.permit.dispatcher.Incarnation)
	}
	l.Msg("Request sent again.")
	return true
}
