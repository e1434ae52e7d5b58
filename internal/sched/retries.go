package sched

import "time"

// Retries are bounded for all hosts together, over a sliding window: RetryLimits.Ratio for each request of a caller, plus
// RetryLimits.Extra. The bound has to hold without agreement between hosts, because dispatchers change, hosts are cut off and
// processes restart exactly when retries are many. So it is divided into parts that are never in two places within a window:
//
//   - a host may retry by the ratio to the requests that its own callers sent, whoever dispatches;
//   - a host may use an equal share of a part of the extra retries, from one window after its start on, and a quarter of this
//     share before, which is bounded for two restarts of each host within a window;
//   - the dispatcher lends the shared part, of which each host that it has heard within contributorTimeout, and that has been
//     connected for a window and this time, contributes an equal share. So a host that turns to another dispatcher, which an
//     earlier one that is cut off may not notice, contributes to only one of them within a window.
//
// Load pattern: endpoints refuse or fail most requests while one dispatcher follows the other.
const (
	// The parts leave a fifth of what is allowed unused, for restarts and for retries that arrive later than they were sent.
	retryRatioShare  = 0.8 // of RetryLimits.Ratio
	hostRetryShare   = 0.4 // of RetryLimits.Extra, for all hosts together
	youngRetryShare  = 0.1 // the same for hosts in the first window after their start
	sharedRetryShare = 0.4 // of RetryLimits.Extra, lent by the dispatcher

	contributorTimeout = 3 * time.Second // since the last message of a host
	bucketWidth        = 500 * time.Millisecond

	// RetriesUsedReason is the reason of a refusal for want of a retry.
	RetriesUsedReason = "the budget of repeats is used up"
)

// RetryLimits state how many retries all hosts together may send to a service.
type RetryLimits struct {
	Ratio  float64       // retries for each request of a caller
	Extra  float64       // retries in a window in addition
	Window time.Duration // sliding window over which both hold
}

// retryLedger counts the requests and retries of a service over a sliding window. A retry may arrive at its endpoint at any
// time until its outcome is known, so it counts from its reservation until a window after its settlement.
type retryLedger struct {
	buckets  []retryBucket
	newest   int64 // number of the newest bucket
	reserved int   // retries that are not settled
}

type retryBucket struct{ requests, retries int }

func newRetryLedger(window time.Duration) *retryLedger {
	return &retryLedger{buckets: make([]retryBucket, max(int(window/bucketWidth), 1)+1)}
}

// current returns the bucket of the time now, after it has cleared the buckets that left the window.
func (l *retryLedger) current(now time.Duration) *retryBucket {
	n := int64(now / bucketWidth)
	for ; l.newest < n; l.newest++ {
		l.buckets[(l.newest+1)%int64(len(l.buckets))] = retryBucket{}
		if n-l.newest > int64(len(l.buckets)) {
			l.newest = n - int64(len(l.buckets))
		}
	}
	return &l.buckets[n%int64(len(l.buckets))]
}

// reserve reserves a retry if the window allows one more: ratio for each request, plus extra.
func (l *retryLedger) reserve(now time.Duration, ratio, extra float64) bool {
	l.current(now)
	requests, retries := 0, l.reserved
	for _, b := range l.buckets {
		requests += b.requests
		retries += b.retries
	}
	if float64(retries+1) > ratio*float64(requests)+extra {
		return false
	}
	l.reserved++
	return true
}

// release gives back a reserved retry that was not sent.
func (l *retryLedger) release() { l.reserved-- }

// settle counts a reserved retry that was sent and whose outcome is known.
func (l *retryLedger) settle(now time.Duration) {
	l.reserved--
	l.current(now).retries++
}

// HostRetries decides which retries a host may send by itself. It is not safe for concurrent use.
type HostRetries struct {
	startedAt time.Duration
	hosts     int // most hosts seen at a time; a host that is cut off may see too few
	ledgers   map[string]*retryLedger
}

// NewHostRetries returns the retries of a host whose process has started at the given time.
func NewHostRetries(startedAt time.Duration) *HostRetries {
	return &HostRetries{startedAt: startedAt, hosts: 1, ledgers: make(map[string]*retryLedger)}
}

// SetHosts sets the number of hosts in the fleet.
func (h *HostRetries) SetHosts(n int) { h.hosts = max(h.hosts, n) }

func (h *HostRetries) ledger(service string, limits RetryLimits) *retryLedger {
	l := h.ledgers[service]
	if l == nil {
		l = newRetryLedger(limits.Window)
		h.ledgers[service] = l
	}
	return l
}

// AddRequest counts a request of a caller.
func (h *HostRetries) AddRequest(now time.Duration, service string, limits RetryLimits) {
	h.ledger(service, limits).current(now).requests++
}

// Reserve reserves a retry and reports whether the host may send it without the dispatcher's. Each reservation has to be
// followed by Release or Settle.
func (h *HostRetries) Reserve(now time.Duration, service string, limits RetryLimits) bool {
	share := hostRetryShare
	if now-h.startedAt < limits.Window { // what the process before used of its share is unknown
		share = youngRetryShare
	}
	return h.ledger(service, limits).reserve(now, retryRatioShare*limits.Ratio, share*limits.Extra/float64(h.hosts))
}

// Release gives back a reserved retry that was not sent.
func (h *HostRetries) Release(service string) { h.ledgers[service].release() }

// Settle counts a reserved retry that was sent, once its outcome is known.
func (h *HostRetries) Settle(now time.Duration, service string) { h.ledgers[service].settle(now) }

// retryLoans holds the retries that a dispatcher lends, by service.
type retryLoans struct {
	limits  RetryLimits
	hosts   int // most hosts known at a time
	ledgers map[string]*retryLedger
}

// lend reserves a retry of the shared part, of which the given number of hosts contribute their shares.
func (p *retryLoans) lend(now time.Duration, service string, contributors int) bool {
	l := p.ledgers[service]
	if l == nil {
		l = newRetryLedger(p.limits.Window)
		p.ledgers[service] = l
	}
	return l.reserve(now, 0, sharedRetryShare*p.limits.Extra*float64(contributors)/float64(max(p.hosts, contributors, 1)))
}

// lendRetry reserves a retry of the shared part for a request. It reports whether the request may be sent.
func (s *State) lendRetry(r *request) bool {
	if !r.ask.Retry || !r.ask.SharedRetry {
		return true
	}
	contributors, connected := 0, 0
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		connected++
		if s.now-h.connectedAt >= s.retries.limits.Window+contributorTimeout && s.now-h.heardAt <= contributorTimeout {
			contributors++
		}
	}
	s.retries.hosts = max(s.retries.hosts, len(s.view.Hosts), connected)
	r.lent = s.retries.lend(s.now, r.ask.Service, contributors)
	return r.lent
}

// releaseRetry gives back the lent retry of a request that was not sent.
func (s *State) releaseRetry(r *request) {
	if r.lent {
		r.lent = false
		s.retries.ledgers[r.ask.Service].release()
	}
}

// settleRetry counts the lent retry of a request that may have been sent.
func (s *State) settleRetry(r *request) {
	if r.lent {
		r.lent = false
		s.retries.ledgers[r.ask.Service].settle(s.now)
	}
}
