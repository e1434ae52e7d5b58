package host

import "time"

const (
	// tombstoneLife is how long a tombstone is kept by itself. It is longer than the store's history, which a host that missed
	// changes can still ask for.
	tombstoneLife = 2 * time.Minute
	maxTombstones = 4096 // of one kind
)

// tombstone is an object that the store lacked at a position of its order of changes.
type tombstone struct {
	position uint64
	seenAt   time.Time
}

// tombstones holds the objects of a kind that are known to be gone since a position up to which not all changes are known, so
// that older changes do not bring them back. Load pattern: several hosts follow the store for one that has lost it, and that host
// later asks for the same changes itself.
type tombstones struct {
	byName map[string]tombstone
	// forgotten is the highest position of the tombstones that are no longer kept by themselves. It counts for all objects that
	// are not known, so that memory has a bound.
	forgotten uint64
}

func newTombstones() tombstones { return tombstones{byName: make(map[string]tombstone)} }

// record records that an object was absent at a position.
func (t *tombstones) record(name string, position uint64, now time.Time) {
	if x := t.byName[name]; x.position < position {
		t.byName[name] = tombstone{position, now}
	}
	if len(t.byName) > maxTombstones {
		t.forgetOldest()
	}
}

// forgetOldest stops keeping the tombstone with the lowest position by itself.
func (t *tombstones) forgetOldest() {
	oldest := ""
	for name, x := range t.byName {
		if oldest == "" || x.position < t.byName[oldest].position {
			oldest = name
		}
	}
	t.forget(oldest)
}

func (t *tombstones) forget(name string) {
	t.forgotten = max(t.forgotten, t.byName[name].position)
	delete(t.byName, name)
}

// expire stops keeping old tombstones by themselves.
func (t *tombstones) expire(now time.Time) {
	for name, x := range t.byName {
		if now.Sub(x.seenAt) > tombstoneLife {
			t.forget(name)
		}
	}
}
