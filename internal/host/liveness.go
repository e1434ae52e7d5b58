package host

import (
	"cmp"
	"context"
	"time"

	"sycamoredeal/internal/objects"
)

// This file decides when a host that follows the store for others has lost it. The load that it answers: a store that
// falls silent for some hosts while it accepts changes. Calls for changes wait long, so that a fleet in calm makes few of
// them; when no other call was answered for some time, a cheap read shows whether the store still answers at all.

// defaultChangeBound applies where the deployment sets no bound.
const defaultChangeBound = 2 * time.Second

// Times as fractions of Deployment.ChangeBound. A call for changes whose answer got lost is repeated within the bound.
// A dispatcher that the store does not answer is noticed within half of the bound, because relays have to be found and
// to read the change in the other half.
const (
	watchWaitFraction   = 0.6
	answerDelayFraction = 0.2 // by which an answer may come later than expected before the store counts as lost
	probeAfterFraction  = 0.3 // since the last answer
	maxSilenceFraction  = probeAfterFraction + answerDelayFraction
	pauseFraction       = 0.25 // after changes, so that the next call returns all that follow; part of the wait
)

// followTimes holds the time limits of a host that follows the store.
type followTimes struct {
	watchWait   time.Duration // longest time from a call for changes to the next, but for answers that come late
	answerDelay time.Duration // by which an answer may come later than expected
	probeAfter  time.Duration // without an answer, before a probe is sent
	maxSilence  time.Duration // without an answer, from which the store counts as lost
	pause       time.Duration // after changes, before the next call
}

// newFollowTimes derives the time limits from the time in which a change has to be in force everywhere.
func newFollowTimes(changeBound time.Duration) followTimes {
	b := float64(cmp.Or(changeBound, defaultChangeBound))
	return followTimes{
		watchWait: time.Duration(watchWaitFraction * b), answerDelay: time.Duration(answerDelayFraction * b),
		probeAfter: time.Duration(probeAfterFraction * b), maxSilence: time.Duration(maxSilenceFraction * b),
		pause: time.Duration(pauseFraction * b),
	}
}

func (d *directory) times() followTimes { return newFollowTimes(d.h.deployment().ChangeBound) }

const probeCheckInterval = 50 * time.Millisecond

// keepProbing probes the store until ctx ends, while this host follows it for others and no call is answered.
func (d *directory) keepProbing(ctx context.Context) {
	t := time.NewTicker(probeCheckInterval)
	defer t.Stop()
	var sentAt time.Time
	for ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		times := d.times()
		if !d.probeDue(time.Now()) || time.Since(sentAt) < times.probeAfter {
			continue
		}
		sentAt = time.Now()
		probe, cancel := context.WithTimeout(objects.WithCause(ctx, causeProbe), times.answerDelay)
		err := d.h.opts.Store.Probe(probe, kindLeases, leaseName)
		cancel()
		if ctx.Err() == nil {
			d.recordProbe(err)
		}
	}
}

// probeDue reports whether the store has to be probed: this host follows it for others, and no call was answered for
// some time. While a call has failed, it is repeated without a wait, so that no probe is needed.
func (d *directory) probeDue(now time.Time) bool {
	if !d.h.binder.isDispatcher() && !d.h.binder.isRelay() {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configsListed && d.endpointsListed && len(d.outages) == 0 && now.Sub(d.storeAnsweredAt) >= d.times().probeAfter
}

// recordProbe records the outcome of a probe. After a failed one, the store counts as lost until its next answer.
func (d *directory) recordProbe(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.storeAnsweredAt = time.Now()
		return
	}
	d.log.Info().Err(err).Msg("Store does not answer a probe.")
	d.storeAnsweredAt = time.Time{}
}
