// Package soak runs the host program as real processes against stand-ins of the users' platform, injects seeded random faults
// from outside, and checks what callers and endpoints observe.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is the kind of a fault or of a piece of planned work.
type Kind string

// Faults of hosts, of their connections, of the store and of servers.
const (
	KillHost            Kind = "kill host"
	KillAllHosts        Kind = "kill all hosts"
	FreezeHost          Kind = "freeze host"
	StoreSilent         Kind = "host's store connections silent"
	StoreReset          Kind = "host's store connections reset"
	PeerSilent          Kind = "peer connections to host silent"
	PeerOneWay          Kind = "answers of host to peers held"
	PeerReset           Kind = "peer connections to host reset"
	PeerSlow            Kind = "peer connections to host slow"
	StoreDown           Kind = "store down"
	StoreSlow           Kind = "store slow"
	StoreAnswersLost    Kind = "store's answers lost"
	StoreCompact        Kind = "store's history dropped"
	StoreRestored       Kind = "store returns from an older copy"
	ServerCrash         Kind = "server crashes"
	ServerAddressReused Kind = "server gone, its address reused"
	ServerSilent        Kind = "server silent"
	ServerOneWay        Kind = "server's answers held"
	ServerReset         Kind = "server's connections reset"
	ServerSlow          Kind = "server slow"
	ServerFailing       Kind = "server fails requests"
	ServerGarbles       Kind = "server garbles answers"
	OrdersLate          Kind = "orders carried out late"
)

// Planned work.
const (
	StopHost    Kind = "stop host"
	ReloadHost  Kind = "reload settings"
	BadSettings Kind = "bad settings"
	Configure   Kind = "new configuration"
	DrainServer Kind = "drain server"
)

// ServerLimits is neither: a server limits its requests, which excuses nothing.
const ServerLimits Kind = "server limits its requests"

// Shapes of sound and faulty behaviour that the platform's pages allow beside the usual ones; see drawShapes.
const (
	PeersSilentForGood Kind = "peer connections to host go silent for good"
	StoreSilentForGood Kind = "host's store connections go silent for good"
	AnswersOfRouteLost Kind = "server loses the answers of a route"
	PlainServersSlow   Kind = "plain servers take seconds"
)

// Event is one fault or piece of planned work.
type Event struct {
	Kind     Kind
	At       time.Duration // since the start of the phase
	Duration time.Duration // how long it lasts, or until an ended process or server is replaced
	Target   int           // index of the host or server, modulo their number
	Count    int           // number of orders, answers or resets
	Delay    time.Duration // of slow connections or late orders
}

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%s at %v for %v, target %d, count %d, delay %v", e.Kind, e.At, e.Duration, e.Target, e.Count, e.Delay)
}

// Plan holds the events of a run. It is determined by the seed and the number of hosts. Faults come first, repeated and
// overlapping, along with planned work. After a pause, planned work runs without faults, so that no rule is suspended.
type Plan struct {
	Seed    uint64
	Hosts   int
	Callers int
	Faults  []Event
	Planned []Event // their times count from the end of the pause
	// CrashingPart adds a last phase in which some requests have a prompt part that crashes engines.
	CrashingPart bool
	Accounts     bool // the configurations have client accounts
}

const (
	faultPhase        = 9 * time.Second // during which faults begin
	plannedPhase      = 5 * time.Second // during which planned work begins
	maxEventDuration  = 3500 * time.Millisecond
	minFaults         = 3
	maxFaults         = 12
	maxPlanned        = 5
	repeatProbability = 0.3 // probability that a fault is followed by another of its kind
)

var faultKinds = []Kind{
	KillHost, KillHost, KillAllHosts, FreezeHost, FreezeHost, StoreSilent, StoreReset, PeerSilent, PeerOneWay, PeerReset, PeerSlow, StoreDown,
	StoreSlow, StoreAnswersLost, StoreCompact, ServerCrash, ServerAddressReused, ServerSilent, ServerOneWay, ServerReset, ServerSlow, ServerFailing,
	ServerGarbles, OrdersLate, StopHost, ReloadHost, BadSettings, Configure, Configure, DrainServer,
}

var plannedKinds = []Kind{StopHost, StopHost, ReloadHost, BadSettings, Configure, Configure, DrainServer}

// NewPlan returns the plan of a seed. If hosts is 0, the number of hosts is drawn as well.
func NewPlan(seed uint64, hosts int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Hosts: 3 + rng.IntN(6), Callers: 6 + rng.IntN(7)}
	if hosts > 0 {
		p.Hosts = hosts
	}
	for range minFaults + rng.IntN(maxFaults-minFaults+1) {
		e := drawEvent(rng, faultKinds, faultPhase)
		p.Faults = append(p.Faults, e)
		for rng.Float64() < repeatProbability {
			e.At, e.Target = e.At+time.Duration(rng.Int64N(int64(maxEventDuration/2))), rng.IntN(1<<16)
			p.Faults = append(p.Faults, e)
		}
	}
	for range 1 + rng.IntN(maxPlanned) {
		p.Planned = append(p.Planned, drawEvent(rng, plannedKinds, plannedPhase))
	}
	drawTroubles(&p)
	drawShapes(&p)
	drawAccounts(&p)
	sortByTime(p.Faults)
	sortByTime(p.Planned)
	return p
}

// drawEvent returns a random event of one of the kinds that begins within a given time.
func drawEvent(rng *rand.Rand, kinds []Kind, within time.Duration) Event {
	return Event{
		Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(within))).Round(time.Millisecond),
		Duration: time.Duration(1 + rng.Int64N(int64(maxEventDuration))).Round(time.Millisecond), Target: rng.IntN(1 << 16), Count: 1 + rng.IntN(4),
		Delay: time.Duration(20+rng.IntN(400)) * time.Millisecond,
	}
}

func sortByTime(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
}

// Unplanned reports whether an event excuses requests that end without an answer.
func (k Kind) Unplanned() bool {
	switch k {
	case StopHost, ReloadHost, BadSettings, Configure, DrainServer, ServerLimits, PlainServersSlow, HotAccount:
		return false
	}
	return true
}
