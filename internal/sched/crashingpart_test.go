package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// Bounds of the users' platform for a part of prompts that crashes engines.
const (
	stableTime          = 3 * time.Second // after the fifth crash, the fleet has to know the part
	crashesToLearn      = 5
	maxRequestsToEngine = 3   // with the part, after stableTime
	minSoundShare       = 0.5 // of sound requests with the same first part that begin, against other times
)

// Ids of prompt parts in the replays. Sound requests share the first part with those that crash engines.
const (
	sharedPart = 0xa1
	deadlyPart = 0xdead
)

// crashReplay plays requests against engines that crash when they begin an answer on some parts of prompts. Each engine is
// back after restartTime, as another process.
type crashReplay struct {
	t           *testing.T
	s           *State
	rng         *rand.Rand
	now         time.Duration
	view        *fleet.View
	nextEngine  int
	nextRequest uint64
	deadly      map[uint64]bool // parts that crash engines
	running     map[uint64]*replayedRequest
	crashes     []time.Duration
	deadlySent  []time.Duration // times at which requests with a deadly part reached an engine
	asked       map[bool]int    // sound requests since countFrom, by whether they have begun
	countFrom   time.Duration
	refused     map[string]int // by reason
	heldLong    int            // sound requests that began later than 300 ms after they came
}

type replayedRequest struct {
	ask      wire.Ask
	host     string
	deadly   bool
	askedAt  time.Duration
	endpoint string // empty while it waits
	beginsAt time.Duration
	endsAt   time.Duration
	begun    bool
}

const (
	replayStep      = 5 * time.Millisecond
	replayRestart   = 3 * time.Second
	replayFirst     = 50 * time.Millisecond // until an answer begins
	replayDuration  = 800 * time.Millisecond
	replayModels    = 3
	replayHosts     = 13
	replayPerEngine = 2 // models that an engine holds
)

func newCrashReplay(t *testing.T, engines int, deadly ...uint64) *crashReplay {
	r := &crashReplay{t: t, rng: rand.New(rand.NewPCG(1, uint64(engines))), deadly: make(map[uint64]bool), running: make(map[uint64]*replayedRequest),
		asked: make(map[bool]int), refused: make(map[string]int)}
	for _, p := range deadly {
		r.deadly[p] = true
	}
	r.view = testView(64, nil, 0)
	for range engines {
		r.addEngine()
	}
	r.s = New(0, testConfig(), r.view)
	for h := range replayHosts {
		r.s.HostUp(0, fmt.Sprint("h", h))
	}
	return r
}

func (r *crashReplay) addEngine() {
	e := fleet.Endpoint{ID: fmt.Sprint("e", r.nextEngine), Service: engineService, Slots: 64, Address: "x:1", StartUnixMs: int64(r.nextEngine + 1)}
	for i := range replayPerEngine {
		e.Models = append(e.Models, fleet.Resident{Model: fmt.Sprint("m", (r.nextEngine+i)%replayModels)})
	}
	r.nextEngine++
	r.view.Endpoints = append(r.view.Endpoints, e)
}

// ask sends one request from a random host for a random model. Its last part is its own.
func (r *crashReplay) ask(parts ...uint64) {
	r.nextRequest++
	a := chat(r.nextRequest, fmt.Sprint("m", r.rng.IntN(replayModels)))
	a.Request = fmt.Sprint("r", r.nextRequest)
	x := &replayedRequest{host: fmt.Sprint("h", r.rng.IntN(replayHosts)), askedAt: r.now}
	for _, p := range parts {
		a.PromptParts = append(a.PromptParts, wire.PromptPart{ID: p, Tokens: 60})
		x.deadly = x.deadly || r.deadly[p]
	}
	a.PromptParts = append(a.PromptParts, wire.PromptPart{ID: 1<<40 + r.nextRequest, Tokens: 40})
	x.ask = a
	r.running[a.ID] = x
	if !x.deadly && r.now >= r.countFrom {
		r.asked[false]++
	}
	r.s.Ask(r.now, x.host, a)
}

// step advances the replay by replayStep.
func (r *crashReplay) step() {
	r.s.Tick(r.now)
	for _, o := range r.s.TakeOutputs() {
		switch m := o.Message.(type) {
		case *wire.Grant:
			x := r.running[m.ID]
			if x == nil {
				break
			}
			x.endpoint, x.beginsAt = m.Endpoint, r.now+replayFirst
			x.endsAt = x.beginsAt + replayDuration
			if x.deadly {
				r.deadlySent = append(r.deadlySent, r.now)
			}
		case *wire.Refuse:
			r.refused[o.Reason]++
			delete(r.running, m.ID)
		}
	}
	for id := uint64(1); id <= r.nextRequest; id++ {
		x := r.running[id]
		switch {
		case x == nil || x.endpoint == "":
		case !x.begun && r.now >= x.beginsAt && x.deadly:
			r.crash(x.endpoint)
		case !x.begun && r.now >= x.beginsAt:
			x.begun = true
			if x.askedAt >= r.countFrom {
				r.asked[true]++
			}
			if r.now-x.askedAt > 300*time.Millisecond {
				r.heldLong++
			}
			r.s.Started(r.now, x.host, wire.Started{ID: id, FirstMs: uint32(replayFirst.Milliseconds())})
		case r.now >= x.endsAt:
			delete(r.running, id)
			r.s.Done(r.now, x.host, wire.Done{ID: id, TotalMs: uint32((replayFirst + replayDuration).Milliseconds()), Events: 10})
		}
	}
	r.now += replayStep
}

// crash ends an engine. All hosts see the connections of their requests there end, in any order.
func (r *crashReplay) crash(endpoint string) {
	r.crashes = append(r.crashes, r.now)
	r.endEngine(endpoint)
}

// endEngine ends the process of an engine, for whatever reason. Another one follows after replayRestart.
func (r *crashReplay) endEngine(endpoint string) {
	for i := range r.view.Endpoints {
		if r.view.Endpoints[i].ID == endpoint {
			r.view.Endpoints = append(r.view.Endpoints[:i:i], r.view.Endpoints[i+1:]...)
			break
		}
	}
	var ids []uint64
	for id, x := range r.running {
		if x.endpoint == endpoint {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		x := r.running[id]
		delete(r.running, id)
		d := wire.Done{ID: id, Fault: uint8(BrokenResponse), Failed: true, ConnectionLost: true}
		if x.begun {
			d.Events = 3
		}
		r.s.Done(r.now, x.host, d)
	}
	r.s.SetView(r.now, r.view)
}

// play sends sound requests at the given rate and deadly ones with the given share until end, and restarts engines.
func (r *crashReplay) play(end time.Duration, engines int, perSec, share float64, deadly func() []uint64) {
	restartAt := make(map[int]time.Duration)
	due := 0.0
	for r.now < end {
		for due += perSec * replayStep.Seconds(); due >= 1; due-- {
			if r.rng.Float64() < share {
				r.ask(deadly()...)
			} else {
				// Sound requests share the first part; some have a second part that is seldom used.
				r.ask(sharedPart, 0xb00+uint64(r.rng.IntN(200)))
			}
		}
		r.step()
		for missing := engines - len(r.view.Endpoints) - len(restartAt); missing > 0; missing-- {
			restartAt[r.nextEngine+len(restartAt)+int(r.now)] = r.now + replayRestart
		}
		for k, at := range restartAt {
			if r.now >= at {
				delete(restartAt, k)
				r.addEngine()
				r.s.SetView(r.now, r.view)
			}
		}
	}
}

// deadlySentAfter returns how many requests with a deadly part reached engines later than after.
func (r *crashReplay) deadlySentAfter(after time.Duration) int {
	n := 0
	for _, at := range r.deadlySent {
		if at > after {
			n++
		}
	}
	return n
}

// checkRules fails if the replay broke the rules of the users' platform, from the given start of the deadly requests on.
func (r *crashReplay) checkRules(start time.Duration) {
	r.t.Helper()
	learned := start + stableTime
	if len(r.crashes) >= crashesToLearn {
		learned = r.crashes[crashesToLearn-1] + stableTime
	}
	if n := r.deadlySentAfter(learned); n > maxRequestsToEngine {
		r.t.Errorf("%d requests that crash engines were sent later than %v; %d crashes", n, learned, len(r.crashes))
	}
	if share := float64(r.asked[true]) / float64(max(r.asked[false], 1)); r.asked[false] < 20 || share < minSoundShare {
		r.t.Errorf("of %d sound requests, %.2f began; refused: %v", r.asked[false], share, r.refused)
	}
}

// TestCrashingPartStopped guards against engines that crash one after the other because requests with the same part of a
// prompt are sent to each of them (BUDGET), and against sound requests that aren't served meanwhile (LOST).
func TestCrashingPartStopped(t *testing.T) {
	for _, share := range []float64{0.02, 0.05, 0.2} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			r := newCrashReplay(t, 9, deadlyPart)
			deadly := func() []uint64 { return []uint64{sharedPart, 0xb00, deadlyPart} }
			r.play(4*time.Second, 9, 70, 0, deadly)
			r.countFrom = 14 * time.Second
			r.play(26*time.Second, 9, 70, share, deadly)
			r.checkRules(4 * time.Second)
		})
	}
}
