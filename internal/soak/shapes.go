package soak

import (
	"math/rand/v2"
	"time"

	"sycamoredeal/platform/platformtest"
)

const (
	shapeStream  = 1 << 33         // stream of random numbers for shapes, so that a seed's other events stay as they are
	minSlowWork  = time.Second     // of a slow plain server
	maxSlowWork  = 3 * time.Second // half of the callers' deadlines
	stopAfterLag = time.Second     // at most, from the time at which plain servers get slow to the stop of a host
)

// drawShapes adds connections that go silent for good, losses that hit all requests of one route, and plain servers that take
// seconds while a host is stopped.
func drawShapes(p *Plan) {
	rng := rand.New(rand.NewPCG(p.Seed, shapeStream))
	for rng.IntN(2) == 0 && len(p.Faults) < maxFaultEvents {
		p.Faults = append(p.Faults, drawEvent(rng, []Kind{PeersSilentForGood, StoreSilentForGood, AnswersOfRouteLost}, faultPhase))
	}
	if rng.IntN(2) == 0 {
		e := drawEvent(rng, []Kind{PlainServersSlow}, plannedPhase)
		stop := drawEvent(rng, []Kind{StopHost}, plannedPhase)
		e.Delay = minSlowWork + time.Duration(rng.Int64N(int64(maxSlowWork-minSlowWork)))
		stop.At = e.At + time.Duration(rng.Int64N(int64(stopAfterLag)))
		p.Planned = append(p.Planned, e, stop)
	}
}

// runShape performs an event that drawShapes has drawn. s is the server that the event aims at.
func (f *fleet) runShape(e Event, s *server) {
	h := f.hosts[e.Target%len(f.hosts)]
	switch e.Kind {
	case PeersSilentForGood:
		h.peerProxy.SilenceOpen()
	case StoreSilentForGood:
		h.storeProxy.SilenceOpen()
	case AnswersOfRouteLost:
		paths := []string{platformtest.StreamPath, platformtest.ResumablePath}
		if s.opts.Service == platformtest.PlainService {
			paths = []string{platformtest.BookingPath, platformtest.LookupPath}
		}
		s.SetLosingAnswers(paths[e.Count%len(paths)])
		time.Sleep(e.Duration)
		s.SetLosingAnswers("")
	case PlainServersSlow:
		f.slowPlainServers(e.Delay)
		time.Sleep(e.Duration + stopLimit)
		f.slowPlainServers(0)
	default:
		f.audit.Report("SOAK", "event kind %q is not implemented", e.Kind)
	}
}

// slowPlainServers sets the time that the plain servers take for a request, or the usual one if it is 0.
func (f *fleet) slowPlainServers(work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.opts.Service == platformtest.PlainService {
			s.SetWorkTime(work)
		}
	}
}
