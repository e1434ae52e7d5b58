// Package soak runs the host program as real processes on stand-ins of the users' platform, disturbs them from outside by
// seeded random faults, and checks what callers and endpoints see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind names a fault or a piece of planned work.
type Kind string

// Faults of hosts.
const (
	KillHost      Kind = "kill host"
	KillAll       Kind = "kill all hosts"
	FreezeHost    Kind = "freeze host"
	StoreSilent   Kind = "host's store connections silent"
	StoreReset    Kind = "host's store connections reset"
	PeerSilent    Kind = "peer connections to host silent"
	PeerOneWay    Kind = "answers of host to peers held"
	PeerReset     Kind = "peer connections to host reset"
	PeerSlow      Kind = "peer connections to host slow"
	StoreDown     Kind = "store down"
	StoreSlow     Kind = "store slow"
	StoreLost     Kind = "store's answers lost"
	StoreCompact  Kind = "store's history dropped"
	ServerCrash   Kind = "server crashes"
	ServerReused  Kind = "server gone, its address reused"
	ServerSilent  Kind = "server silent"
	ServerOneWay  Kind = "server's answers held"
	ServerReset   Kind = "server's connections reset"
	ServerSlow    Kind = "server slow"
	ServerFailing Kind = "server fails requests"
	ServerGarbles Kind = "server garbles answers"
	OrdersLate    Kind = "orders carried out late"
)

// Planned work.
const (
	StopHost    Kind = "stop host"
	ReloadHost  Kind = "reload settings"
	BadSettings Kind = "bad settings"
	Configure   Kind = "new configuration"
	DrainServer Kind = "drain server"
)

// Event is one fault or piece of planned work.
type Event struct {
	Kind   Kind
	At     time.Duration // from the start of the load
	For    time.Duration // how long it lasts, or until what was ended starts again
	Target int           // of the hosts or servers, modulo their number
	Count  int           // how many orders, answers or resets
	Delay  time.Duration // of slow connections or late orders
}

// String describes the event for logs.
func (e Event) String() string {
	return fmt.Sprintf("%s at %v for %v, target %d, count %d, delay %v", e.Kind, e.At, e.For, e.Target, e.Count, e.Delay)
}

// Plan is what one seed stands for. Faults come first, series and overlaps alike; after a pause, planned work comes
// alone, so that its promises are checked without excuse.
type Plan struct {
	Seed    uint64
	Hosts   int
	Callers int
	Faults  []Event
	Planned []Event // times count from the end of the recovery
}

const (
	faultTime   = 9 * time.Second // in which faults begin
	plannedTime = 5 * time.Second // in which planned work begins
	longest     = 3500 * time.Millisecond
	leastFaults = 3
	mostFaults  = 12
	mostPlanned = 5
	seriesShare = 0.3 // of the faults are followed by more of their kind
)

var faultKinds = []Kind{
	KillHost, KillHost, KillAll, FreezeHost, FreezeHost, StoreSilent, StoreReset, PeerSilent, PeerOneWay, PeerReset, PeerSlow, StoreDown,
	StoreSlow, StoreLost, StoreCompact, ServerCrash, ServerReused, ServerSilent, ServerOneWay, ServerReset, ServerSlow, ServerFailing,
	ServerGarbles, OrdersLate, StopHost, ReloadHost, BadSettings, Configure, Configure, DrainServer,
}

var plannedKinds = []Kind{StopHost, StopHost, ReloadHost, BadSettings, Configure, Configure, DrainServer}

// NewPlan returns the plan of a seed. hosts is the number of hosts, 0 to draw it.
func NewPlan(seed uint64, hosts int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Hosts: 3 + rng.IntN(6), Callers: 6 + rng.IntN(7)}
	if hosts > 0 {
		p.Hosts = hosts
	}
	for range leastFaults + rng.IntN(mostFaults-leastFaults+1) {
		e := draw(rng, faultKinds, faultTime)
		p.Faults = append(p.Faults, e)
		for rng.Float64() < seriesShare {
			e.At, e.Target = e.At+time.Duration(rng.Int64N(int64(longest/2))), rng.IntN(1<<16)
			p.Faults = append(p.Faults, e)
		}
	}
	for range 1 + rng.IntN(mostPlanned) {
		p.Planned = append(p.Planned, draw(rng, plannedKinds, plannedTime))
	}
	byTime(p.Faults)
	byTime(p.Planned)
	return p
}

func draw(rng *rand.Rand, kinds []Kind, within time.Duration) Event {
	return Event{
		Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(within))).Round(time.Millisecond),
		For: time.Duration(1 + rng.Int64N(int64(longest))).Round(time.Millisecond), Target: rng.IntN(1 << 16), Count: 1 + rng.IntN(4),
		Delay: time.Duration(20+rng.IntN(400)) * time.Millisecond,
	}
}

func byTime(events []Event) {
	sort.SliceStable(events, func(i, j int) bool { return events[i].At < events[j].At })
}

// Unplanned tells whether an event excuses requests that end without an answer.
func (k Kind) Unplanned() bool {
	switch k {
	case StopHost, ReloadHost, BadSettings, Configure, DrainServer:
		return false
	}
	return true
}
