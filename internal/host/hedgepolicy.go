package host

import (
	"slices"
	"time"
)

// A hedge is a second attempt at another endpoint, sent while the first one has not begun to answer within the usual time of its
// route. This file holds the part of the decision that a host takes: when, and how many. Whether the service has room is the
// dispatcher's decision, see sched.State.askSpeculative.
//
// Load pattern: one endpoint of many answers slowly, or answers are slow now and then, while most begin in about the same time.
const (
	hedgeSamples = 256 // latest answers of a route that count
	// minHedgeSamples is the least number of answers from which a tail is known. A host of a large fleet gets one or two requests
	// of a route a second, so that with 64 its first hedges came after half a minute or more.
	minHedgeSamples   = 20
	hedgeRefreshEvery = 16 // answers after which the delay of a route is computed again
	// hedgeQuantile is the share of the answers that begin before a hedge is due. It is lower than the percentiles that hedges
	// improve: if one of 20 endpoints is slow, the 95th percentile is already a slow answer and a hedge would come too late.
	hedgeQuantile = 0.9
	// minHedgeFactor is the least delay in medians, and in predicted times to the first token. A hedge itself takes about a
	// median, so the first attempt mostly wins against one that is sent earlier.
	minHedgeFactor = 2.0
	// minHedgeDelay is the least delay. The dispatcher's grant and a new connection take some milliseconds.
	minHedgeDelay = 10 * time.Millisecond

	// hedgeWindow is the sliding window of the limit on hedges. It has to be short, because what is not used of the limit in the
	// window may be sent in one burst, and long enough for a few hedges of a service with few requests.
	hedgeWindow      = 30 * time.Second
	hedgeBucketWidth = time.Second
	// hedgeRefusalPause is the time without asks after the dispatcher refused a hedge. When a service gets slow, nearly every
	// request would ask.
	hedgeRefusalPause = 250 * time.Millisecond
)

// beginTimes holds how long the latest requests of a route took from their first send to the begin of their answer.
type beginTimes struct {
	recent   []time.Duration // a ring of at most hedgeSamples
	next     int
	added    int           // since delay was computed
	delay    time.Duration // 0 while it is not known
	computed bool
}

// add adds the time of a request. If a hedge answered the request, the first attempt would have taken longer than d. That doesn't
// change the quantile, because d is above it in any case.
func (b *beginTimes) add(d time.Duration) {
	b.added++
	if len(b.recent) < hedgeSamples {
		b.recent = append(b.recent, d)
		return
	}
	b.recent[b.next] = d
	b.next = (b.next + 1) % hedgeSamples
}

// hedgeDelay returns the time after which a request of the route may be hedged, or 0 if it is not known.
func (b *beginTimes) hedgeDelay() time.Duration {
	if len(b.recent) < minHedgeSamples {
		return 0
	}
	if !b.computed || b.added >= hedgeRefreshEvery {
		sorted := slices.Clone(b.recent)
		tail := quantile(sorted, hedgeQuantile)
		b.delay = max(tail, time.Duration(minHedgeFactor*float64(quantile(sorted, 0.5))), minHedgeDelay)
		b.computed, b.added = true, 0
	}
	return b.delay
}

// hedgeCounts counts the requests and hedges of a service over hedgeWindow.
type hedgeCounts struct {
	// The oldest bucket is only partly in the window. Its hedges count, and its requests don't.
	buckets     [int(hedgeWindow/hedgeBucketWidth) + 1]struct{ requests, hedges int }
	newest      int64 // number of the newest bucket
	pausedUntil time.Duration
}

// advance clears the buckets that have left the window, and returns the number of the bucket of the time now.
func (c *hedgeCounts) advance(now time.Duration) int64 {
	size := int64(len(c.buckets))
	n := int64(now / hedgeBucketWidth)
	for c.newest = max(c.newest, n-size); c.newest < n; c.newest++ {
		c.buckets[(c.newest+1)%size] = struct{ requests, hedges int }{}
	}
	return c.newest
}

// mayHedge reports whether the limit allows one more hedge.
func (c *hedgeCounts) mayHedge(now time.Duration, share float64) bool {
	oldest := (c.advance(now) + 1) % int64(len(c.buckets))
	requests, hedges := 0, 0
	for i, b := range c.buckets {
		if int64(i) != oldest {
			requests += b.requests
		}
		hedges += b.hedges
	}
	return float64(hedges+1) <= share*float64(requests)
}

// hedgeReservation is a hedge that counts towards the limit, and may be given back if it is not sent.
type hedgeReservation struct {
	service string
	bucket  int64
}

// hedgePolicy decides when and how many requests are hedged. Times are those of a monotonic clock, since any start. It is not safe
// for concurrent use.
type hedgePolicy struct {
	routes   map[string]*beginTimes
	services map[string]*hedgeCounts
}

func newHedgePolicy() *hedgePolicy {
	return &hedgePolicy{routes: make(map[string]*beginTimes), services: make(map[string]*hedgeCounts)}
}

func (p *hedgePolicy) counts(service string) *hedgeCounts {
	return timed(p.services, service, func() *hedgeCounts { return &hedgeCounts{} })
}

// addRequest counts a request that is sent to a service for the first time.
func (p *hedgePolicy) addRequest(now time.Duration, service string) {
	c := p.counts(service)
	n := c.advance(now)
	c.buckets[n%int64(len(c.buckets))].requests++
}

// addBegin records that the answer to a request of a route began after d.
func (p *hedgePolicy) addBegin(route string, d time.Duration) {
	timed(p.routes, route, func() *beginTimes { return &beginTimes{} }).add(d)
}

// delay returns the time after which a request of a route may be hedged, and false if that is not known. The answer of the first
// attempt is predicted to begin after predicted, 0 if unknown.
func (p *hedgePolicy) delay(route string, predicted time.Duration) (time.Duration, bool) {
	b := p.routes[route]
	if b == nil || b.hedgeDelay() == 0 {
		return 0, false
	}
	return max(b.hedgeDelay(), time.Duration(minHedgeFactor*float64(predicted))), true
}

// reserve counts a hedge if the limit allows one more, or else returns the reason.
func (p *hedgePolicy) reserve(now time.Duration, service string, share float64) (hedgeReservation, hedgeRefusal) {
	c := p.counts(service)
	switch {
	case now < c.pausedUntil:
		return hedgeReservation{}, hedgesPaused
	case !c.mayHedge(now, share):
		return hedgeReservation{}, hedgeLimitReached
	}
	c.buckets[c.newest%int64(len(c.buckets))].hedges++
	return hedgeReservation{service, c.newest}, hedgeAllowed
}

// release gives back a hedge that was not sent.
func (p *hedgePolicy) release(now time.Duration, r hedgeReservation) {
	c := p.counts(r.service)
	if size := int64(len(c.buckets)); c.advance(now)-r.bucket < size {
		b := &c.buckets[r.bucket%size]
		b.hedges = max(b.hedges-1, 0) // the counts are new if there were too many services
	}
}

// pause stops the hedges of a service for a while, since the dispatcher has refused one.
func (p *hedgePolicy) pause(now time.Duration, service string) {
	p.counts(service).pausedUntil = now + hedgeRefusalPause
}
