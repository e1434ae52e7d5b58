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
	firstBackoff     = 100 * time.Millisecond
	maxBackoff       = 2 * time.Second
	throttledBackoff = 500 * time.Millisecond // the rate limits count whole seconds
)

// Backoff paces the retries of one duty. The zero value is ready for use. It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration // of a delay; 0 for the defaults

	next time.Duration
}

// Reset is called after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Delay returns the jittered time to wait after err, between half and the whole of a value that doubles up to Most. A
// throttled call waits longer at first.
func (b *Backoff) Delay(err error) time.Duration {
	least, most := cmp.Or(b.Min, firstBackoff), cmp.Or(b.Max, maxBackoff)
	if errors.Is(err, ErrThrottled) {
		least = throttledBackoff
	}
	d := max(b.next, least)
	b.next = min(2*d, most)
	return d/2 + rand.N(d/2)
}

// Wait sleeps for Delay(err) or until ctx ends.
func (b *Backoff) Wait(ctx context.Context, err error) { clock.Sleep(ctx, b.Delay(err)) }

// Follow keeps fn up to date with one object until ctx ends: it reads the object, then watches it from that version,
// and starts again when the watch ends, expires (410) or fails. A missing object is followed by a watch of the kind's
// current version. fn is called on the calling goroutine and may see the same version twice.
func Follow(ctx context.Context, s Store, kind, name string, fn func(Object), onError func(error)) {
	var b Backoff
	for ctx.Err() == nil {
		version, err := current(ctx, s, kind, name, fn)
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

func current(ctx context.Context, s Store, kind, name string, fn func(Object)) (string, error) {
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
	// The object may have been created between the first read and the list; a watch from the list would not show it.
	if o, err = s.Get(ctx, kind, name); err == nil {
		fn(o)
		return o.Version, nil
	}
	if errors.Is(err, ErrNotFound) {
		err = nil
	}
	return version, err
}
