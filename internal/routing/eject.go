package routing

import (
	"math/rand/v2"
	"time"
)

const (
	failuresToEject = 3                // single failures also come from requests, not only from endpoints
	firstEjection   = time.Second      // doubles with each further ejection
	maxEjection     = time.Minute      // bounds how long a repaired endpoint stays unused
	forgiveAfter    = 30 * time.Second // time without failure after which the period starts small again
	// MaxEjectedShare is the largest share of a model's residents that ejection removes.
	MaxEjectedShare = 0.5
)

// Ejector keeps failing endpoints out of use for growing, jittered periods. Time is monotonic since an arbitrary start.
// It is not safe for concurrent use.
type Ejector struct {
	rng   *rand.Rand
	state map[string]*ejection
}

type ejection struct {
	failures int // consecutive
	times    int
	until    time.Duration
}

// NewEjector returns an Ejector whose jitter depends on the seed only.
func NewEjector(seed uint64) *Ejector {
	return &Ejector{rng: rand.New(rand.NewPCG(seed, 1)), state: make(map[string]*ejection)}
}

// Report records the outcome of an attempt at an endpoint. It returns true if the endpoint became ejected.
func (j *Ejector) Report(now time.Duration, endpoint string, failed bool) bool {
	e := j.state[endpoint]
	if !failed {
		if e != nil {
			e.failures = 0
			if now > e.until+forgiveAfter {
				delete(j.state, endpoint)
			}
		}
		return false
	}
	if e == nil {
		e = &ejection{}
		j.state[endpoint] = e
	}
	e.failures++
	if now < e.until || e.failures < failuresToEject {
		return false
	}
	period := min(firstEjection<<min(e.times, 6), maxEjection)
	e.until = now + period/2 + time.Duration(j.rng.Int64N(int64(period)))
	e.times++
	e.failures = 0
	return true
}

// Until returns when the ejection of an endpoint ends; a time not after now means that it is in use.
func (j *Ejector) Until(endpoint string) time.Duration {
	if e := j.state[endpoint]; e != nil {
		return e.until
	}
	return 0
}

// Allowed returns the residents that may be used, reusing the argument's memory. At most MaxEjectedShare of them is left
// out; those whose ejection ends first stay in use.
func (j *Ejector) Allowed(now time.Duration, residents []string) []string {
	if len(j.state) == 0 {
		return residents
	}
	for remove := int(MaxEjectedShare * float64(len(residents))); remove > 0; remove-- {
		worst, until := -1, now
		for i, r := range residents {
			if u := j.Until(r); u > until {
				worst, until = i, u
			}
		}
		if worst < 0 {
			break
		}
		residents = append(residents[:worst], residents[worst+1:]...)
	}
	return residents
}
