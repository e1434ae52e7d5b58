package host

import (
	"time"

	"sycamoredeal/internal/fleet"
)

const (
	minSuspectTime = 2 * time.Second // for which a failed dispatcher is not used; doubles with each failure
	maxSuspectTime = 16 * time.Second
)

// suspicion records the failures of a dispatcher.
type suspicion struct {
	incarnations [2]uint64 // of the process that answered, and of the one that was listed; other processes are not suspected
	until        time.Time // it is not used before
	failures     int       // failures since its last broadcast
}

// suspects holds the hosts that failed as dispatcher, by name.
type suspects map[string]suspicion

// trust returns how far a listed host can be used as dispatcher.
func (s suspects) trust(h fleet.Host, now time.Time) trust {
	x, ok := s[h.Name]
	switch {
	case !ok || h.Incarnation != x.incarnations[0] && h.Incarnation != x.incarnations[1]:
		return trusted
	case now.After(x.until):
		return doubted
	}
	return excluded
}

// recordFailure records the failure of a process that was listed as another or the same one. It returns the time until which
// both are excluded, which doubles with each failure of the same process.
func (s suspects) recordFailure(h, listed fleet.Host, now time.Time) time.Time {
	x := s[h.Name]
	if x.incarnations[0] != h.Incarnation {
		x = suspicion{}
	}
	x.incarnations = [2]uint64{h.Incarnation, listed.Incarnation}
	x.until = now.Add(min(minSuspectTime<<min(x.failures, 8), maxSuspectTime))
	x.failures++
	s[h.Name] = x
	return x.until
}

// recordEnd records that a listed process has ended.
func (s suspects) recordEnd(listed fleet.Host, now time.Time) {
	s[listed.Name] = suspicion{incarnations: [2]uint64{listed.Incarnation, listed.Incarnation}, until: now.Add(maxSuspectTime)}
}
