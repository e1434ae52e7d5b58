package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Troubles of servers that the hosts have to handle together: a limit for all hosts, and a prompt part that crashes engines.
const (
	troubleStream     = 1 << 32 // stream of random numbers for troubles, so that a seed's other events stay as they are
	limitPassedAfter  = 500 * time.Millisecond
	limitWindow       = 4 * time.Second
	limitOver         = 1.5 // times what a limit allows in limitWindow
	limitSlack        = 5   // requests
	deadlyPart        = "dead"
	deadlyParts       = "a1:50," + deadlyPart + ":20"
	deadlyCalls       = 5 // one of so many model calls has the deadly part
	crashingPartTime  = 7 * time.Second
	crashesToLearn    = 5
	maxFaultEvents    = 40
	heartbeatInterval = 50 * time.Millisecond
	maxDeadlyArrivals = 3 // from faultGracePeriod after the last crash to learn from
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
	p.CrashingPart = rng.IntN(2) == 0
	for rng.IntN(2) == 0 && len(p.Faults) < maxFaultEvents {
		p.Faults = append(p.Faults, drawEvent(rng, []Kind{StoreRestored}, faultPhase))
	}
}

// restoreStore has the store lose what was written within e.Duration, while it is away for e.Delay. The operator and the servers
// write again what they wrote then.
func (f *fleet) restoreStore(e Event) {
	older := f.store.Copy()
	for end := time.Now().Add(e.Duration / 2); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		f.mu.Lock()
		for _, s := range f.servers { // so that revisions of before are not reached again soon
			f.writeEntry(s)
		}
		f.mu.Unlock()
	}
	f.storeNextConfig()
	time.Sleep(e.Duration / 2)
	f.store.SetUnavailable(true)
	time.Sleep(e.Delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Restore(older)
	f.store.Put("config", "main", f.configuration(f.configVersion))
	for _, s := range f.servers {
		f.writeEntry(s)
	}
	f.store.SetUnavailable(false)
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

// runCrashingPart has callers send some requests with a part that crashes engines.
func (f *fleet) runCrashingPart() {
	defer f.audit.BeginFault()()
	f.deadly.Store(true)
	time.Sleep(crashingPartTime)
	f.deadly.Store(false)
}

// withDeadlyPart returns a call with the deadly part in its prompt, if such calls are sent now and chance has it.
func (f *fleet) withDeadlyPart(rng *rand.Rand, c callTemplate) callTemplate {
	if f.deadly.Load() && c.call.Model != "" && rng.IntN(deadlyCalls) == 0 {
		c.call.Parts = deadlyParts
	}
	return c
}

// replaceCrashed replaces an engine that a prompt has crashed by one without models.
func (f *fleet) replaceCrashed(s *server) {
	f.audit.recordPartCrash()
	f.mu.Lock()
	s.removed = true
	f.mu.Unlock()
	s.proxy.Reset()
	time.Sleep(entryRemovalDelay)
	f.register(s, gone)
	f.addReplacement(s.opts.Service, nil)
}

// recordPartCrash records that a prompt has crashed an engine.
func (a *Audit) recordPartCrash() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.partCrashes = append(a.partCrashes, time.Now())
}

// checkDeadlyArrival checks a request that reached a server. The caller holds the lock.
func (a *Audit) checkDeadlyArrival(r *request, x platformtest.Arrival) {
	if !strings.Contains(r.call.Parts, deadlyPart) || len(a.partCrashes) < crashesToLearn ||
		x.ArrivedAt.Sub(a.partCrashes[crashesToLearn-1]) < faultGracePeriod {
		return
	}
	if a.deadlyArrivals++; a.deadlyArrivals == maxDeadlyArrivals+1 {
		a.reportLocked("BUDGET", "%d requests with a part that crashes engines reached them %v after the crash number %d",
			a.deadlyArrivals, x.ArrivedAt.Sub(a.partCrashes[crashesToLearn-1]), crashesToLearn)
	}
}
