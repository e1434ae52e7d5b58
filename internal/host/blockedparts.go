package host

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// kindQuarantine is the kind of the object in the store that holds the blocked prompt parts. Without it, a fleet whose hosts
// all lose power would crash engines once more to learn them.
const (
	kindQuarantine = "sycamore-quarantine"
	nameBlocked    = "blocked"
	maxStoredBlock = 24 * time.Hour // a longer one is a sign of a wrong clock
)

// storedBlocks is the content of the object.
type storedBlocks struct {
	Parts []storedBlock `json:"parts"`
}

// storedBlock is a blocked prompt part.
type storedBlock struct {
	Part        string `json:"part"`        // hexadecimal
	UntilUnixMs int64  `json:"untilUnixMs"` // end of the block
	Blocks      uint8  `json:"blocks"`      // number of blocks so far
}

// blockedParts keeps the blocked prompt parts in the store while this host is the dispatcher. The dispatcher passes its list to
// update, and gets what an earlier fleet has stored from read. It never waits for the store.
type blockedParts struct {
	h    *Host
	log  telemetry.Logger
	wake chan struct{}
	read chan []wire.QuarantinedPart // stored parts for the dispatcher

	mu      sync.Mutex
	active  bool // this host is the dispatcher
	loaded  bool // the object has been read since this host became the dispatcher
	updated bool // current includes what has been read
	current []storedBlock
	written []storedBlock // content of the object, as far as is known
	version string        // of the object, empty if it does not exist
}

func newBlockedParts(h *Host) *blockedParts {
	return &blockedParts{h: h, log: h.log.Part("blockedparts"), wake: make(chan struct{}, 1), read: make(chan []wire.QuarantinedPart, 1)}
}

// setActive tells whether this host is the dispatcher.
func (b *blockedParts) setActive(on bool) {
	b.mu.Lock()
	if b.active != on {
		b.active, b.loaded, b.updated, b.current = on, false, false, nil
	}
	b.mu.Unlock()
	b.notify()
}

// update has the blocked ones of the dispatcher's parts stored.
func (b *blockedParts) update(list []wire.QuarantinedPart) {
	now := time.Now()
	var current []storedBlock
	for _, p := range list {
		if p.BlockedMs > 0 && p.Blocks > 0 { // those without a block only wait for the next trial
			until := now.Add(time.Duration(p.BlockedMs) * time.Millisecond)
			current = append(current, storedBlock{Part: strconv.FormatUint(p.Part, 16), UntilUnixMs: until.UnixMilli(), Blocks: p.Blocks})
		}
	}
	b.mu.Lock()
	b.current, b.updated = current, true
	b.mu.Unlock()
	b.notify()
}

// reload has the object read again, and written if it lacks any parts, because the store may have lost it.
func (b *blockedParts) reload() {
	b.mu.Lock()
	b.loaded = false
	b.mu.Unlock()
	b.notify()
}

func (b *blockedParts) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// run reads and writes the object when there is a cause, until ctx ends.
func (b *blockedParts) run(ctx context.Context) {
	backoff := objects.Backoff{Min: minRetryDelay, Max: maxRetryDelay}
	for ctx.Err() == nil {
		select {
		case <-b.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			done, err := b.step(objects.WithCause(ctx, causeQuarantine))
			if err != nil {
				b.log.Warn().Err(err).Msg("Blocked prompt parts not read or stored.")
				backoff.Wait(ctx, err)
				continue
			}
			backoff.Reset()
			if done {
				break
			}
		}
	}
}

// step makes the next call to the store, and returns true if none is needed.
func (b *blockedParts) step(ctx context.Context) (done bool, err error) {
	b.mu.Lock()
	active, loaded, current, written, version := b.active, b.loaded, b.current, b.written, b.version
	known := b.updated
	b.mu.Unlock()
	switch {
	case !active:
		return true, nil
	case !loaded:
		return false, b.load(ctx)
	case !known || samePartBlocks(current, written):
		return true, nil
	}
	o, err := objects.Encode(kindQuarantine, nameBlocked, version, storedBlocks{Parts: current})
	if err != nil {
		return false, err
	}
	if version == "" {
		o, err = b.h.opts.Store.Create(ctx, o)
	} else {
		o, err = b.h.opts.Store.Update(ctx, o)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		// Another host has written the object, or a call whose answer was lost was carried out.
		b.loaded = b.loaded && !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound)
		return false, err
	}
	b.written, b.version = current, o.Version
	b.log.Info().Int("parts", len(current)).Str("version", o.Version).Msg("Blocked prompt parts stored.")
	return false, nil
}

// load reads the object and passes the parts in it to the dispatcher.
func (b *blockedParts) load(ctx context.Context) error {
	var stored storedBlocks
	o, err := b.h.opts.Store.Get(ctx, kindQuarantine, nameBlocked)
	switch {
	case errors.Is(err, objects.ErrNotFound):
		o.Version = ""
	case err != nil:
		return err
	default:
		if stored, err = objects.Decode[storedBlocks](o); err != nil {
			b.log.Error().Err(err).Msg("The stored prompt parts can't be read, they are replaced.")
		}
	}
	if list := b.decode(stored.Parts); len(list) > 0 {
		b.mu.Lock()
		b.updated = false // until the dispatcher has merged the list
		b.mu.Unlock()
		select {
		case b.read <- list:
			b.log.Info().Int("parts", len(list)).Str("version", o.Version).Msg("Blocked prompt parts read.")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loaded, b.written, b.version = true, stored.Parts, o.Version
	return nil
}

// decode returns the stored parts whose block has not ended.
func (b *blockedParts) decode(parts []storedBlock) []wire.QuarantinedPart {
	var out []wire.QuarantinedPart
	for _, p := range parts {
		id, err := strconv.ParseUint(p.Part, 16, 64)
		if err != nil {
			b.log.Warn().Str("promptPart", p.Part).Err(err).Msg("Stored prompt part is ignored.")
			continue
		}
		left := min(time.Until(time.UnixMilli(p.UntilUnixMs)), maxStoredBlock)
		if left > 0 {
			out = append(out, wire.QuarantinedPart{Part: id, Blocks: p.Blocks, BlockedMs: uint32(left.Milliseconds()), ExpiresMs: uint32(2 * left.Milliseconds())})
		}
	}
	return out
}

// samePartBlocks reports whether two lists hold the same blocks. The end of a block is computed from the time that is left, so
// it differs by some ms each time; a short block that has become a long one differs by more.
func samePartBlocks(a, b []storedBlock) bool {
	if len(a) != len(b) {
		return false
	}
	blocks := make(map[string]storedBlock, len(b))
	for _, p := range b {
		blocks[p.Part] = p
	}
	for _, p := range a {
		o, ok := blocks[p.Part]
		if d := time.Duration(p.UntilUnixMs-o.UntilUnixMs) * time.Millisecond; !ok || o.Blocks != p.Blocks || d.Abs() > sched.ShortBlock {
			return false
		}
	}
	return true
}
