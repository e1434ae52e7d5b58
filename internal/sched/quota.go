package sched

import (
	"math"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/limits"
	"sycamoredeal/internal/wire"
)

// The quota of an account holds for all hosts together: in every window, rate x window + burst, exceeded by at most
//
//	tolerance = QuotaSettings.Over x (rate x window + burst) + QuotaSettings.Slack.
//
// It has to hold without agreement between hosts, because dispatchers change, hosts are cut off and processes restart at any
// moment. So the rate and the burst are divided into n equal parts, one for each listed host, and each part is in one place at a
// time:
//
//   - at the dispatcher that the host uses, up to the host's last message. Buckets are not refilled by the clock: each message of
//     a host refills them for the time since its message before. A dispatcher that is cut off without noticing, or resumes after
//     a freeze, is not refilled for hosts that may have turned to another one. For the time since its last message, which the host
//     may use for itself, its part of the capacity is reduced by its part of the rate. When a host leaves, the units in its part of
//     the capacity are lost; after a freeze those of all hosts are.
//   - at the host itself while it decides alone, from the last message that it got from a dispatcher, see HostQuotas.
//
// The levels of all buckets together therefore never exceed the capacity, and grow at most at the rate. The tolerance covers
// the rest, in shares of it:
//
//   - quotaBankShare: the capacity beyond the burst, counted once as the parts add up to one bucket;
//   - quotaCreditShare for each State that starts in a window, as a State starts with empty buckets plus this credit. Three
//     changes of dispatcher take 0.36;
//   - quotaOverdraftShare for a request that costs more than a whole bucket, at each of two dispatchers, which takes 0.1.
//
// The remaining 0.24 is 190 ms of the rate with a tolerance of 0.1 and a window of 8 s. It covers the time between the arrival of a
// request and its charge, or two more changes of dispatcher.
//
// Load pattern: accounts that send 5 to 12 times their usual rate, from few hosts, while dispatchers change.
const (
	quotaBankShare      = 0.3
	quotaCreditShare    = 0.12
	quotaOverdraftShare = 0.05

	// QuotaBeatInterval is the time in which a host has to send its dispatcher a message while accounts have quotas.
	QuotaBeatInterval = 400 * time.Millisecond
	// quotaSilence is the silence after which a host takes no part in the refill: two messages of a host and some delay.
	quotaSilence = time.Second
	// quotaStall is the time between two events after which hosts may have turned to another dispatcher, which they do after 600 ms
	// without a message: 150 ms may have passed since the last one. Ticks are 100 ms apart.
	quotaStall = 400 * time.Millisecond
	// maxQuotaCuts is the number of cuts to remember; bounds the memory. Accounts that have not been used for longer lose the
	// units from before.
	maxQuotaCuts = 64
	// maxQuotaDelay limits the retry time of a refusal, and with it the units promised to refused requests.
	maxQuotaDelay = time.Minute

	// OverLimitReason is the reason of a refusal of a request over its account's quota.
	OverLimitReason = "the account is over its limit"
)

// QuotaSettings state how far the quotas of accounts may be exceeded.
type QuotaSettings struct {
	Window time.Duration // over which quotas hold; 0 if they hold without tolerance
	Over   float64       // share by which a quota may be exceeded in a window
	Slack  float64       // tokens by which it may be exceeded in addition
}

// tolerance returns the units by which a quota may be exceeded in a window. The slack is stated in tokens, so it doesn't apply to
// quotas in requests.
func (q *QuotaSettings) tolerance(l *fleet.AccountLimit) float64 {
	if q.Window <= 0 {
		return 0
	}
	t := q.Over * (l.PerSec*q.Window.Seconds() + l.Burst)
	if l.ByTokens {
		t += q.Slack
	}
	return t
}

// capacity returns the capacity of a quota's buckets, summed over all places. Without a burst and a tolerance it is that of one
// second, because an empty bucket would admit nothing.
func (q *QuotaSettings) capacity(l *fleet.AccountLimit) float64 {
	if c := l.Burst + quotaBankShare*q.tolerance(l); c > 0 {
		return c
	}
	return l.PerSec
}

// quota is the bucket of an account.
type quota struct {
	limits.Bucket               // refilled by the time of quotas.served
	credit        float64       // share of the initial credit that has been added
	cuts          int           // number of quotas.cuts that have been applied
	lost          float64       // units that the bucket could not hold so far
	promised      float64       // units that refused requests are to find when they return
	promisedAt    time.Duration // time up to which promised is drained
	missingAt     time.Duration // when a configuration first lacked the account, 0 if the current one has it
}

// quotas holds the quotas of all accounts, and the part of the hosts that this State serves.
type quotas struct {
	byAccount  map[string]*quota
	config     *fleet.Config       // whose accounts byAccount holds
	served     time.Duration       // time served so far, weighted by the share of the hosts
	advancedAt time.Duration       // time of the last event or tick
	hosts      float64             // listed hosts, or connected ones if these are more
	active     float64             // hosts that were heard within quotaSilence
	heardSum   float64             // sum of the times at which they were heard, in seconds
	share      float64             // of the capacity, by the last cut or the hosts that have come since
	cuts       []quotaCut          // the latest reductions of share
	cutsBefore int                 // number of cuts before those
	credit     float64             // share of the hosts that have brought their part of the initial credit
	credited   map[string]struct{} // these hosts, by name
	decisions  []QuotaDecision
}

// quotaCut is a reduction of the share of the capacity, because hosts have left. Buckets apply it when they are next used.
type quotaCut struct {
	served time.Duration // quotas.served at that time
	share  float64
}

// quotaCharge is what a request has taken from its account's quota. Its zero value has taken nothing.
type quotaCharge struct {
	units float64
	lost  float64 // quota.lost at the charge
}

// QuotaEvent tells what happened to the units of a request.
type QuotaEvent uint8

const (
	QuotaAdmitted QuotaEvent = iota
	QuotaRefused
	QuotaRefunded
	QuotaEvents // number of the values above
)

// String returns the name of the event in metrics.
func (e QuotaEvent) String() string {
	return [QuotaEvents]string{"admitted", "refused", "refunded"}[e]
}

// QuotaDecision is a charge, refusal or refund, for metrics and the log.
type QuotaDecision struct {
	Account, Host string
	Event         QuotaEvent
	Units         float64
}

// TakeQuotaDecisions returns the decisions since the previous call. The slice is valid until the next event.
func (s *State) TakeQuotaDecisions() []QuotaDecision {
	out := s.quotas.decisions
	s.quotas.decisions = s.quotas.decisions[:0]
	return out
}

// advanceQuotas excludes the time of a stall from the refill: hosts may have turned to another dispatcher meanwhile, and their
// messages in this host's buffers are from before.
func (s *State) advanceQuotas(now time.Duration) {
	q := &s.quotas
	stalled := now-q.advancedAt > quotaStall
	q.advancedAt = now
	if !stalled {
		return
	}
	q.cut(0)
	for _, h := range s.hosts {
		h.countedAt = now
	}
	s.countQuotaHosts()
}

// countQuotaHosts updates the number of hosts, and of those that take part in the refill.
func (s *State) countQuotaHosts() {
	q := &s.quotas
	up := 0
	q.active, q.heardSum = 0, 0
	for _, h := range s.hosts {
		if h.active = false; !h.up {
			continue
		}
		up++
		if h.active = s.now-h.heardAt <= quotaSilence; h.active {
			q.active++
			q.heardSum += h.heardAt.Seconds()
		}
	}
	q.hosts = float64(max(len(s.view.Hosts), up, 1))
	q.updateShare()
}

// updateShare sets the share of the capacity to that of the active hosts.
func (q *quotas) updateShare() {
	switch share := q.active / q.hosts; {
	case share < q.share:
		q.cut(share)
	default:
		q.share = share
	}
}

// cut reduces the share of the capacity.
func (q *quotas) cut(share float64) {
	q.share = share
	if len(q.cuts) == maxQuotaCuts {
		q.cutsBefore++
		q.cuts = append(q.cuts[:0], q.cuts[1:]...)
	}
	q.cuts = append(q.cuts, quotaCut{q.served, share})
}

// applyCuts refills a bucket up to each cut since its last use, and reduces its level. The capacity is that of all hosts.
func (q *quotas) applyCuts(b *quota, perSec, capacity float64) {
	for i := max(b.cuts-q.cutsBefore, 0); i < len(q.cuts); i++ {
		c := &q.cuts[i]
		share := c.share
		if b.cuts < q.cutsBefore {
			share = 0 // cuts have been forgotten
		}
		b.lost += b.Refill(max(c.served, b.At), perSec, capacity*share)
		b.cuts = q.cutsBefore + i + 1
	}
}

// refillQuotas counts the time since a host's last message as served, when another one arrives.
func (s *State) refillQuotas(h *hostState) {
	if !h.up {
		return
	}
	q := &s.quotas
	if s.now-h.heardAt <= quotaSilence {
		q.served += time.Duration(float64(s.now-h.countedAt) / q.hosts)
	}
	if h.active {
		q.heardSum += (s.now - h.heardAt).Seconds()
	} else {
		q.active++
		q.heardSum += s.now.Seconds()
		q.updateShare()
	}
	h.active, h.countedAt = true, s.now
}

// creditQuotas adds a host's part of the initial credit when the host connects for the first time.
func (s *State) creditQuotas(host string) {
	q := &s.quotas
	if _, ok := q.credited[host]; ok || q.credit >= 1 {
		return
	}
	q.credited[host] = struct{}{}
	q.credit = min(q.credit+1/float64(max(len(s.view.Hosts), len(s.hosts), 1)), 1)
}

// forgetQuotas drops the buckets of accounts that have been missing from the configuration for a window. An account that is removed
// and added again before that must not start with the refill and the credit of the State's whole life.
func (s *State) forgetQuotas() {
	q := &s.quotas
	s.countQuotaHosts()
	if q.config == s.view.Config {
		return
	}
	q.config = s.view.Config
	for name, b := range q.byAccount {
		switch {
		case s.limitOf(name) != nil:
			b.missingAt = 0
		case b.missingAt == 0:
			b.missingAt = s.now
		case s.now-b.missingAt > s.cfg.Quotas.Window:
			delete(q.byAccount, name)
		}
	}
}

// limitOf returns the limit of an account, or nil if the account is not limited. An account that is missing from this host's
// configuration has no known limit, so it is not limited until the host has the configuration that adds it.
func (s *State) limitOf(account string) *fleet.AccountLimit {
	if a := s.view.Config.LimitedAccount(account); a != nil {
		return &a.Limit
	}
	return nil
}

// quotaOf returns an account's refilled quota and the capacity of its bucket.
func (s *State) quotaOf(account string, l *fleet.AccountLimit) (b *quota, capacity float64) {
	q := &s.quotas
	b = q.byAccount[account]
	if b == nil {
		b = &quota{}
		q.byAccount[account] = b
	}
	capacity = s.cfg.Quotas.capacity(l)
	q.applyCuts(b, l.PerSec, capacity)
	if b.credit < q.credit {
		b.Level += (q.credit - b.credit) * quotaCreditShare * s.cfg.Quotas.tolerance(l)
		b.credit = q.credit
	}
	capacity = max((capacity*q.active-l.PerSec*q.silence(s.now))/q.hosts, 0)
	b.lost += b.Refill(q.served, l.PerSec, capacity)
	return b, capacity
}

// silence returns the sum of the times since the last messages of the active hosts, in seconds.
func (q *quotas) silence(now time.Duration) float64 {
	return max(q.active*now.Seconds()-q.heardSum, 0)
}

// chargeQuota takes the units of a request from its account's quota. If the quota doesn't hold them, it refuses the request and
// returns false. A request that was admitted by its host is always charged.
func (s *State) chargeQuota(r *request) bool {
	a := &r.ask
	if a.Charged || a.Speculative || !(a.Cost > 0) {
		return true
	}
	l := s.limitOf(a.Account)
	if l == nil {
		return true
	}
	b, capacity := s.quotaOf(a.Account, l)
	if a.ChosenEndpoint == "" && b.Level < a.Cost && !s.mayOverdraw(b, capacity, a.Cost, l) {
		s.refuseOverLimit(r, b, l)
		return false
	}
	b.Level -= a.Cost
	r.charge = quotaCharge{units: a.Cost, lost: b.lost}
	s.noteQuota(r, QuotaAdmitted, a.Cost)
	return true
}

// mayOverdraw reports whether a request that costs more than a whole bucket may be admitted, which needs a full one.
func (s *State) mayOverdraw(b *quota, capacity, cost float64, l *fleet.AccountLimit) bool {
	if capacity <= 0 || b.Level < capacity {
		return false
	}
	t := s.cfg.Quotas.tolerance(l)
	return t == 0 || cost-capacity <= quotaOverdraftShare*t
}

// refundQuota gives back the units of a request that has not run. Units that the bucket could not have held without the charge
// are not given back: otherwise the units of a request that waited through one window would be added to a full bucket's in the
// next.
func (s *State) refundQuota(r *request) {
	c := r.charge
	r.charge = quotaCharge{}
	l := s.limitOf(r.ask.Account)
	if c.units == 0 || l == nil {
		return
	}
	b, capacity := s.quotaOf(r.ask.Account, l)
	b.Level = min(b.Level+max(c.units-(b.lost-c.lost), 0), capacity)
	s.noteQuota(r, QuotaRefunded, c.units)
}

// refuseOverLimit refuses a request over its account's quota, with the time at which the bucket holds its units after those of the
// requests refused before it. Callers that return earlier would be refused again, so the time has no jitter.
func (s *State) refuseOverLimit(r *request, b *quota, l *fleet.AccountLimit) {
	q := &s.quotas
	share := q.active / q.hosts
	if share == 0 {
		share = 1
	}
	rate := l.PerSec * share
	b.promised = max(b.promised-rate*(s.now-b.promisedAt).Seconds(), 0)
	b.promisedAt = s.now
	wait := (b.promised + r.ask.Cost - b.Level) / rate
	wait += q.silence(s.now) / max(q.active, 1) // the refill follows the messages of hosts
	b.promised = min(b.promised+r.ask.Cost, rate*maxQuotaDelay.Seconds())
	wait = min(wait, maxQuotaDelay.Seconds())
	s.noteQuota(r, QuotaRefused, r.ask.Cost)
	s.emit(r, &wire.Refuse{ID: r.id, Reason: OverLimitReason, RetryAfterMs: uint32(math.Ceil(wait * 1000)), OverLimit: true}, OverLimitReason, seconds(wait))
}

// noteQuota records a decision.
func (s *State) noteQuota(r *request, e QuotaEvent, units float64) {
	s.quotas.decisions = append(s.quotas.decisions, QuotaDecision{Account: r.ask.Account, Host: r.host, Event: e, Units: units})
}

// HostQuotas holds a host's own parts of the quotas, for decisions without a dispatcher. It is not safe for concurrent use.
type HostQuotas struct {
	hosts     int           // most hosts seen at a time; a host that is cut off may see too few
	since     time.Duration // since when the buckets fill
	byAccount map[string]*limits.Bucket
}

// NewHostQuotas returns the quotas of a host that has just started.
func NewHostQuotas() *HostQuotas {
	return &HostQuotas{hosts: 1, byAccount: make(map[string]*limits.Bucket)}
}

// SetHosts sets the number of hosts in the fleet.
func (h *HostQuotas) SetHosts(n int) { h.hosts = max(h.hosts, n) }

// Take takes the units of a request and reports whether the host's part of the quota held all of them. The buckets fill from
// since on, when the host last heard from a dispatcher: until then that dispatcher had the host's part.
func (h *HostQuotas) Take(now, since time.Duration, s QuotaSettings, a *fleet.Account, units float64) bool {
	if since != h.since {
		h.since = since
		clear(h.byAccount)
	}
	b := h.byAccount[a.Name]
	if b == nil {
		b = &limits.Bucket{At: since}
		h.byAccount[a.Name] = b
	}
	n := float64(h.hosts)
	b.Refill(now, a.Limit.PerSec/n, s.capacity(&a.Limit)/n)
	return b.Take(units)
}

// Return gives back units that were taken while the buckets filled from the given time on, for a request that has not run.
func (h *HostQuotas) Return(since time.Duration, account string, units float64) {
	if b := h.byAccount[account]; b != nil && since == h.since {
		b.Level += units // the next refill limits the level to the capacity
	}
}
