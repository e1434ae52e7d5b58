package soak

import (
	"math/rand/v2"
	"time"
)

// Troubles of servers that the hosts have to handle together.
const (
	troubleStream    = 1 << 32 // stream of random numbers for troubles, so that a seed's other events stay as they are
	limitPassedAfter = 500 * time.Millisecond
	limitWindow      = 4 * time.Second
	limitOver        = 1.5 // times what a limit allows in limitWindow
	limitSlack       = 5   // requests
)

// drawTroubles adds the troubles of a seed to its plan.
func drawTroubles(p *Plan) {
	rng := rand.New(rand.NewPCG(p.Seed, troubleStream))
	if rng.IntN(2) == 0 {
		p.Faults = append(p.Faults, drawEvent(rng, []Kind{ServerLimits}, faultPhase))
	}
	if rng.IntN(2) == 0 {
		p.Planned = append(p.Planned, drawEvent(rng, []Kind{ServerLimits}, plannedPhase))
	}
}

// limitServer has a server state that it takes e.Count requests per second, and checks that it gets no more than the users'
// rule allows once the hosts know it.
func (f *fleet) limitServer(e Event) {
	s := f.pickServer(e.Target, "")
	if s == nil {
		return
	}
	before := len(s.Received())
	s.SetRateLimit(float64(e.Count))
	defer s.SetRateLimit(-1)
	told := time.Now().Add(e.Duration)
	for len(s.Received()) == before && time.Now().Before(told) {
		time.Sleep(10 * time.Millisecond)
	}
	from := time.Now().Add(limitPassedAfter)
	time.Sleep(e.Duration + limitWindow)
	times := s.Received()
	for len(times) > 0 && times[0].Before(from) {
		times = times[1:]
	}
	allowed := limitOver*float64(e.Count)*limitWindow.Seconds() + limitSlack
	for first, i := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed && f.audit.FaultFree(times[first], times[i]) {
			f.audit.Report("LIMIT", "server %s with a limit of %d a second got %d requests in %v", s.ID(), e.Count, n, limitWindow)
			return
		}
	}
}
