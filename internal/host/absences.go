package host

import "time"

const (
	// absenceMemory is how long an absence is kept by itself. It is longer than the store's history, which a host that missed
	// changes can still ask for.
	absenceMemory = 2 * time.Minute
	maxAbsences   = 4096 // of one kind
)

// absence is an object that the store lacked at a position of its order of changes.
type absence struct {
	position uint64
	seenAt   time.Time
}

// absences holds the objects of a kind that are known to be gone since a position up to which not all changes are known, so
// that older changes do not bring them back. Load pattern: several hosts follow the store for one that has lost it, and that host later asks for the same changes
// itself.
type absences struct {
	byName map[string]absence
	// forgotten is the highest position of the absences that are no longer kept by themselves. It counts for all objects that
	// are not known, so that memory has a bound.
	forgotten uint64
}

func newAbsences() absences { return absences{byName: make(map[string]absence)} }

// record records that an object was absent at a position.
func (a *absences) record(name string, position uint64, now time.Time) {
	if x := a.byName[name]; x.position < position {
		a.byName[name] = absence{position, now}
	}
	if len(a.byName) > maxAbsences {
		a.forgetOldest()
	}
}

// forgetOldest stops keeping the absence with the lowest position by itself.
func (a *absences) forgetOldest() {
	oldest := ""
	for name, x := range a.byName {
		if oldest == "" || x.position < a.byName[oldest].position {
			oldest = name
		}
	}
	a.forget(oldest)
}

func (a *absences) forget(name string) {
	a.forgotten = max(a.forgotten, a.byName[name].position)
	delete(a.byName, name)
}

// expire stops keeping old absences by themselves.
func (a *absences) expire(now time.Time) {
	for name, x := range a.byName {
		if now.Sub(x.seenAt) > absenceMemory {
			a.forget(name)
		}
	}
}
