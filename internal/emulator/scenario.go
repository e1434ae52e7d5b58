// Package emulator plays the decisions of packages sched and copies in simulated time: engines that batch, read prompts
// and load models, plain endpoints, callers that come back or leave, shifts of demand and losses of endpoints. It has no
// sockets and no goroutines; the same seed gives the same day.
//
// It is a model, not the platform: docs/measurements/emulator.md states how far it is from the users' bench.
package emulator

import (
	"fmt"
	"time"

	"sycamoredeal/internal/fleet"
)

// Class is a kind of request.
type Class struct {
	Name     string
	Rank     int     // 0 is the most urgent
	PerSec   float64 // requests of all callers
	Prompt   int     // tokens, in the mean
	Shared   int     // of these, tokens that requests for the same model and adapter share
	Events   int     // of a stream; 0 for a plain service
	PerEvent int     // tokens
	Work     time.Duration
	Target   time.Duration
	Deadline time.Duration
	MaxPause time.Duration
	Worth    float64
	Late     float64 // worth of a late answer
	Retries  int     // of a caller
	Repeat   bool    // may go on elsewhere
	Busy     int     // models that are asked for at a time
	From, To int     // range of the models that may become busy
	Adapters float64 // share of the requests that name an adapter
}

// Span is a disturbance from a time on.
type Span struct {
	At, For time.Duration
	Class   string  // of a burst
	Factor  float64 // of a burst
	Share   float64 // of the engines that are lost
	Dark    bool    // lost engines do not answer instead of refusing connections
}

// Scenario is a deployment with a load pattern.
type Scenario struct {
	Name    string
	Length  time.Duration
	Idle    time.Duration // before traffic starts
	Engines int
	Spec    fleet.Engine
	AtOnce  int     // loads from the weight store at full speed
	StepMs  float64 // of an engine with one request
	PerMs   float64 // prompt tokens that an engine reads
	Memory  int     // models whose weights an engine keeps in memory
	Disk    int     // and on disk
	Plain   int     // endpoints of the plain service
	Classes []Class
	Shifts  []time.Duration // demand moves to other models
	Bursts  []Span
	Losses  []Span
	Vacant  []Span // nobody holds the placement lease
}

const (
	modelMB   = 70000
	adapterMB = 150
	memoryMB  = 220000
	engines   = "lm"
	plain     = "app"
	adapters  = 3 // of each model
)

func spec(slots, kv, models int, loadsPerSec float64, load time.Duration) fleet.Engine {
	e := fleet.Engine{Slots: slots, KVTokens: kv, MemoryMB: memoryMB, AdapterSlots: 8, LoadsPerSecond: loadsPerSec}
	for i := range models {
		e.Models = append(e.Models, fleet.Model{
			Name: fmt.Sprintf("m%03d", i), WeightsMB: modelMB, AdapterMB: adapterMB, Adapters: adapters,
			StoreLoadTime: load, MemoryLoadTime: load / 10, DiskLoadTime: load / 5,
		})
	}
	return e
}

// classes returns a mix of requests like that of the users' deployments, with a number of chat requests a second.
func classes(chat float64, popular, models int) []Class {
	const second = time.Second
	return []Class{
		{
			Name: "chat", PerSec: chat, Prompt: 628, Shared: 198, Events: 49, PerEvent: 6, Target: second / 4, Deadline: 12 * second,
			MaxPause: 300 * time.Millisecond, Worth: 2.4, Late: 0.29, Retries: 1, Busy: 7, To: popular, Adapters: 0.3,
		},
		{
			Name: "digest", Rank: 1, PerSec: 0.2 * chat, Prompt: 1800, Shared: 568, Events: 4, PerEvent: 6, Target: 400 * time.Millisecond,
			Deadline: 3 * second, MaxPause: 300 * time.Millisecond, Worth: 0.8, Late: 0.24, Retries: 1, Busy: 7, To: popular, Adapters: 0.3,
		},
		{
			Name: "batch", Rank: 2, PerSec: 0.13 * chat, Prompt: 628, Shared: 198, Events: 49, PerEvent: 6, Target: 6 * second,
			Deadline: 20 * second, MaxPause: 300 * time.Millisecond, Worth: 0.62, Late: 0.28, Retries: 1, Repeat: true,
			Busy: models - popular, From: popular, To: models, Adapters: 0.2,
		},
		{
			Name: "booking", Rank: 1, PerSec: 0.35 * chat, Work: 60 * time.Millisecond, Target: 300 * time.Millisecond, Deadline: 4 * second,
			Worth: 1, Late: 0.3, Retries: 1,
		},
	}
}

// Scenarios returns the load patterns by name, in order.
func Scenarios() []Scenario {
	small := Scenario{
		Name: "small-quiet", Length: 30 * time.Second, Idle: 10 * time.Second, Engines: 9, Spec: spec(64, 170000, 17, 1.6, 4*time.Second), AtOnce: 6,
		StepMs: 4.4, PerMs: 38, Memory: 2, Disk: 6, Plain: 3, Classes: classes(70, 10, 17),
	}
	large := Scenario{
		Name: "large-quiet", Length: 30 * time.Second, Idle: 14 * time.Second, Engines: 60, Spec: spec(24, 83000, 101, 10, 4*time.Second), AtOnce: 39,
		StepMs: 4.4, PerMs: 38, Memory: 2, Disk: 6, Plain: 4, Classes: classes(360, 21, 101),
	}
	many := large
	many.Name, many.Engines, many.AtOnce, many.Classes = "many-quiet", 90, 41, classes(310, 21, 196)
	many.Spec = spec(16, 57000, 196, 14, 3*time.Second)
	var out []Scenario
	for _, s := range []Scenario{small, large, many} {
		out = append(out, s, s.shifts(), s.losses(), s.flood())
	}
	return out
}

func (s Scenario) named(kind string) Scenario {
	s.Name = s.Name[:len(s.Name)-len("quiet")] + kind
	return s
}

// shifts moves the demand twice and back, with a vacancy of the placement lease.
func (s Scenario) shifts() Scenario {
	s = s.named("shifts")
	s.Shifts = []time.Duration{time.Second, 9 * time.Second, 13 * time.Second, 20 * time.Second}
	s.Vacant = []Span{{At: 10 * time.Second, For: 2500 * time.Millisecond}}
	return s
}

// losses takes a quarter of the engines away, some of them without a word, beside a shift.
func (s Scenario) losses() Scenario {
	s = s.named("losses")
	s.Shifts = []time.Duration{5 * time.Second}
	s.Losses = []Span{
		{At: 7 * time.Second, For: 5 * time.Second, Share: 0.15, Dark: true}, {At: 16 * time.Second, For: 3 * time.Second, Share: 0.25},
	}
	return s
}

// flood triples the most urgent class, then the least urgent one, beside a shift.
func (s Scenario) flood() Scenario {
	s = s.named("flood")
	s.Shifts = []time.Duration{3 * time.Second}
	s.Bursts = []Span{
		{At: 5 * time.Second, For: 5 * time.Second, Class: "chat", Factor: 3}, {At: 15 * time.Second, For: 5 * time.Second, Class: "batch", Factor: 8},
	}
	return s
}
