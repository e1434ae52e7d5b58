package objects

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
)

const (
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	throttledBackoff = 500 * time.Millisecond // rate limits are counted per whole second
)

// Backoff computes the delays between the retries of one operation. The zero value is ready to use. A Backoff must not be
// used by several goroutines at once.
type Backoff struct {
	Min, Max time.Duration // limits of the delay before jitter; 0 for minBackoff and maxBackoff

	nextDelay time.Duration // before jitter
}

// Reset makes the next delay start from Min again. It is called when the operation has succeeded.
func (b *Backoff) Reset() { b.nextDelay = 0 }

// Delay returns the time to wait before the next retry. It is a random time between half of a value and the whole value,
// which starts at Min and doubles with every call up to Max. If err is ErrThrottled, throttledBackoff takes the place of
// Min.
func (b *Backoff) Delay(err error) time.Duration {
	minDelay, maxDelay := cmp.Or(b.Min, minBackoff), cmp.Or(b.Max, maxBackoff)
	if errors.Is(err, ErrThrottled) {
		minDelay = throttledBackoff
	}
	d := max(b.nextDelay, minDelay)
	b.nextDelay = min(2*d, maxDelay)
	return d/2 + rand.N(d/2)
}

// Wait sleeps for the time that Delay returns, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context, err error) { clock.Sleep(ctx, b.Delay(err)) }

// Follow calls fn with an object and with each later version of it until ctx ends. It reads the object, watches it from
// that version, and starts again when the watch ends, expires (410) or fails. If the object doesn't exist, the watch starts
// at the current version of the kind. Deletions aren't reported. fn runs on the calling goroutine and may get the same
// version twice. Errors other than ErrExpired are passed to onError.
func Follow(ctx context.Context, s Store, kind, name string, fn func(Object), onError func(error)) {
	var b Backoff
	for ctx.Err() == nil {
		version, err := readCurrent(ctx, s, kind, name, fn)
		if err == nil {
			b.Reset()
			err = s.Watch(ctx, kind, name, version, func(e Event) {
				if e.Type != EventDeleted {
					fn(e.Object)
				}
			})
		}
		if err != nil && ctx.Err() == nil {
			if !errors.Is(err, ErrExpired) {
				onError(err)
			}
			b.Wait(ctx, err)
		}
	}
}

// readCurrent calls fn with the object, if it exists, and returns the version from which to watch it.
func readCurrent(ctx context.Context, s Store, kind, name string, fn func(Object)) (string, error) {
	o, err := s.Get(ctx, kind, name)
	if err == nil {
		fn(o)
		return o.Version, nil
	}
	if !errors.Is(err, ErrNotFound) {
		return "", err
	}
	_, version, err := s.List(ctx, kind)
	if err != nil {
		return "", err
	}
	// The object may have been created between the first read and the list. A watch from the version of the list would
	// not report that creation, so the object is read again.
	if o, err = s.Get(ctx, kind, name); err == nil {
		fn(o)
		return o.Version, nil
	}
	if errors.Is(err, ErrNotFound) {
		err = nil
	}
	return version, err
}
