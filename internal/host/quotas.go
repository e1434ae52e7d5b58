package host

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const (
	// quotaWait is how long a request waits for a dispatcher if this host's part of its account's quota doesn't hold its units.
	// A new dispatcher is in use after dispatcherTimeout and the time to connect to it.
	quotaWait = time.Second
	// maxQuotaSeries limits the accounts with their own metrics; the others are summed up as otherAccounts.
	maxQuotaSeries   = 64
	quotaLogInterval = time.Second // between two log lines about the same account
	maxQuotaLogs     = 1024        // accounts in the log at a time; bounds the memory
	// quotaLogCheck is the time between two searches for due log lines, which look at all accounts with refusals.
	quotaLogCheck = 100 * time.Millisecond

	noDispatcherReason = "no dispatcher decides on the account's limit"
)

// quotaSettings returns how far the quotas of accounts may be exceeded.
func (h *Host) quotaSettings() sched.QuotaSettings {
	d := h.deployment()
	return sched.QuotaSettings{Window: d.QuotaWindow, Over: d.QuotaTolerance, Slack: d.QuotaSlack}
}

// localCharge is what a call has taken from this host's part of its account's quota.
type localCharge struct {
	units   float64
	since   time.Duration // start of the time for which the bucket was filled
	waitEnd time.Time     // until which the call waits for a dispatcher, zero if it does not wait for units
}

// limitOf returns the limited account of a call that is not charged yet, or nil.
func (b *binder) limitOf(c *call) *fleet.Account {
	if !(c.ask.Cost > 0) || c.ask.Charged || c.ask.Speculative {
		return nil
	}
	return b.h.directory.view().Config.LimitedAccount(c.ask.Account)
}

// decideAlone decides a call that the dispatcher has not answered. It returns false if the call waits for a dispatcher, because
// this host's part of the account's quota doesn't hold its units. The caller holds the lock.
func (b *binder) decideAlone(c *call) (*binding, error, bool) {
	now := time.Now()
	if a := b.limitOf(c); a != nil && !b.chargeLocally(c, a, now) {
		if c.quota.waitEnd.IsZero() {
			c.quota.waitEnd = now.Add(quotaWait)
			if !c.startBy.IsZero() && c.startBy.Before(c.quota.waitEnd) {
				c.quota.waitEnd = c.startBy
			}
		}
		if now.Before(c.quota.waitEnd) {
			if c.sentOn != b.link {
				b.sendAsk(c)
			}
			return nil, nil, false
		}
		b.withdraw(c)
		x, err := b.refuseLocally(c, noDispatcherReason, localRetryAfter+time.Duration(rand.Int64N(int64(localRetryAfter))))
		return x, err, true
	}
	if c.sentOn != nil {
		b.sendLocked(&wire.Cancel{ID: c.ask.ID})
	}
	x, err := b.bindLocally(c)
	if err != nil {
		b.refundLocally(c)
	} else if c.quota.units > 0 && x.c.untracked {
		b.h.dispatcher.quotaUnits.add(c.ask.Account, sched.QuotaAdmitted, c.quota.units)
	}
	return x, err, true
}

// overdueIn returns the time until a call without an answer is decided again.
func (c *call) overdueIn(now time.Time) time.Duration {
	if c.quota.waitEnd.IsZero() {
		return askTimeout
	}
	return max(min(askTimeout, c.quota.waitEnd.Sub(now)), time.Millisecond)
}

// chargeLocally takes a call's units from this host's part of the account's quota, and reports whether that held all of them. The
// caller holds the lock.
func (b *binder) chargeLocally(c *call, a *fleet.Account, now time.Time) bool {
	since := time.Duration(0)
	if !b.stateAt.IsZero() {
		since = b.stateAt.Sub(b.startedAt)
	}
	b.quotas.SetHosts(len(b.h.directory.view().Hosts))
	if !b.quotas.Take(now.Sub(b.startedAt), since, b.h.quotaSettings(), a, c.ask.Cost) {
		return false
	}
	c.quota.units, c.quota.since = c.ask.Cost, since
	return true
}

// refundLocally gives back what a call has taken from this host's part of a quota. The caller holds the lock.
func (b *binder) refundLocally(c *call) {
	if c.quota.units > 0 {
		b.quotas.Return(c.quota.since, c.ask.Account, c.quota.units)
		c.quota.units = 0
	}
}

// sendQuotaBeat sends the dispatcher a message if accounts have quotas and this host has sent none for a while. The dispatcher
// refills quotas for the time between two messages of a host. The message cancels a request that does not exist. The caller holds
// the lock.
func (b *binder) sendQuotaBeat() {
	v := b.h.directory.view()
	if v == nil || v.Config == nil || v.Config.Accounts == nil || time.Since(b.link.lastSent) < sched.QuotaBeatInterval {
		return
	}
	b.sendLocked(&wire.Cancel{})
}

// quotaUnits counts the units of quotas by account, for the metrics. It is safe for concurrent use.
type quotaUnits struct {
	mu        sync.Mutex
	byAccount map[string]*[sched.QuotaEvents]float64
}

// add counts the units of a decision.
func (u *quotaUnits) add(account string, e sched.QuotaEvent, units float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.addLocked(account, e, units)
}

func (u *quotaUnits) addLocked(account string, e sched.QuotaEvent, units float64) {
	accountValue(&u.byAccount, account, maxQuotaSeries)[e] += units
}

// record counts the units of decisions, and returns the decisions.
func (u *quotaUnits) record(decisions []sched.QuotaDecision) []sched.QuotaDecision {
	if len(decisions) == 0 {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, d := range decisions {
		u.addLocked(d.Account, d.Event, d.Units)
	}
	return decisions
}

// series returns the counts for the metrics.
func (u *quotaUnits) series() []telemetry.AttributedCount {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]telemetry.AttributedCount, 0, len(u.byAccount)*int(sched.QuotaEvents))
	for account, counts := range u.byAccount {
		for e := range sched.QuotaEvents {
			out = append(out, telemetry.AttributedCount{
				Attributes: map[string]string{"account": account, "event": e.String()}, Count: uint64(math.Max(counts[e], 0)),
			})
		}
	}
	return out
}

// quotaRefusals collects the refusals over limits for the log, which has at most one line for each account and second.
type quotaRefusals struct {
	byAccount map[string]*refusedUnits
	checkedAt time.Duration
}

// refusedUnits sums up the refusals of an account since its last log line.
type refusedUnits struct {
	host     string // that asked last
	units    float64
	requests int
	loggedAt time.Duration
}

// add adds decisions, of which only refusals count.
func (q *quotaRefusals) add(now time.Duration, decisions []sched.QuotaDecision) {
	for i := range decisions {
		d := &decisions[i]
		if d.Event != sched.QuotaRefused {
			continue
		}
		r := q.byAccount[d.Account]
		if r == nil {
			if len(q.byAccount) >= maxQuotaLogs {
				continue
			}
			if q.byAccount == nil {
				q.byAccount = make(map[string]*refusedUnits)
			}
			r = &refusedUnits{loggedAt: now - quotaLogInterval}
			q.byAccount[d.Account] = r
		}
		r.host = d.Host
		r.units += d.Units
		r.requests++
	}
}

// take returns the sums that are due for a log line, by account, and forgets accounts without refusals.
func (q *quotaRefusals) take(now time.Duration) map[string]refusedUnits {
	var due map[string]refusedUnits
	for account, r := range q.byAccount {
		switch {
		case now-r.loggedAt < quotaLogInterval:
		case r.requests == 0:
			delete(q.byAccount, account)
		default:
			if due == nil {
				due = make(map[string]refusedUnits)
			}
			due[account] = *r
			*r = refusedUnits{loggedAt: now}
		}
	}
	return due
}

// log adds decisions, and writes the log lines that are due.
func (q *quotaRefusals) log(l telemetry.Logger, now time.Duration, decisions []sched.QuotaDecision) {
	q.add(now, decisions)
	if now-q.checkedAt < quotaLogCheck {
		return
	}
	q.checkedAt = now
	for account, r := range q.take(now) {
		l.Info().Str("account", account).Str("host", r.host).Float64("units", r.units).Int("requests", r.requests).Msg("Refused over the limit.")
	}
}

// registerQuotaMetrics registers the metrics of quotas.
func (h *Host) registerQuotaMetrics() error {
	return h.opts.Metrics.AttributedCounter("sycamore.quota.units",
		"Units of quotas by account and event, as this host decided as dispatcher or alone.", h.dispatcher.quotaUnits.series)
}
