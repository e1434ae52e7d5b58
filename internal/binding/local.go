package binding

import (
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// rank returns the declaration of an ask's rank, or of its caller's default rank, or nil.
func (b *Binder) rank(ask *wire.Ask) *config.Rank {
	snap := b.opts.View().Snapshot
	if snap == nil {
		return nil
	}
	name := ask.Rank
	if c := snap.Caller(ask.Caller); name == "" && c != nil && len(c.Ranks) > 0 {
		name = c.Ranks[0]
	}
	return snap.Rank(name)
}

// until returns the time until which the ask may wait, or zero for a resumed attempt or a rank without deadline.
func (b *Binder) until(ask *wire.Ask) time.Time {
	d := time.Duration(ask.DeadlineMs) * time.Millisecond
	if r := b.rank(ask); d == 0 && r != nil {
		d = r.Deadline
	}
	if d == 0 || ask.Resumed {
		return time.Time{}
	}
	return time.Now().Add(d)
}

func (b *Binder) rankOrder(ask *wire.Ask) int {
	if r := b.rank(ask); r != nil {
		return r.Order
	}
	return 0
}

// addWaiter keeps the order of ranks and, within a rank, of arrival. The caller holds the lock.
func (b *Binder) addWaiter(c *call) {
	i := sort.Search(len(b.waiters), func(i int) bool { return b.waiters[i].order > c.order })
	b.waiters = slices.Insert(b.waiters, i, c)
}

func (b *Binder) removeWaiter(c *call) {
	if i := slices.Index(b.waiters, c); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	}
}

// wakeWaiters binds waiters to slots of the entry's own share that became free. A waiter whose model has none is passed
// over. The caller holds the lock.
func (b *Binder) wakeWaiters() {
	full := make(map[string]bool)
	kept := b.waiters[:0]
	for _, c := range b.waiters {
		if full[c.ask.Model] || !b.takeLocal(c) {
			full[c.ask.Model] = len(c.ask.Exclude) == 0 || full[c.ask.Model]
			kept = append(kept, c)
			continue
		}
		c.signal()
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}
