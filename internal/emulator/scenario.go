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
	RequestsPerSec   float64 // requests of all callers
	PromptTokens   int     // tokens, in the mean
	SharedPromptTokens   int     // of these, tokens that requests for the same model and adapter share
	StreamEvents   int     // of a stream; 0 for a plain service
	TokensPerEvent int     // tokens
	ServiceTime     time.Duration
	TargetLatency   time.Duration
	Deadline time.Duration
	MaxPause time.Duration
	OnTimeCredit    float64
	LateCredit     float64 // worth of a late answer
	CallerRetries  int     // of a caller
	Resumable   bool    // may go on elsewhere
	ActiveModels     int     // models that are asked for at a time
	FirstModel, EndModel int     // range of the models that may become busy
	AdapterShare float64 // share of the requests that name an adapter
}

// Disturbance is a disturbance from a time on.
type Disturbance struct {
	Start, Duration time.Duration
	Class   string  // of a burst
	RateFactor  float64 // of a burst
	EngineShare   float64 // of the engines that are lost
	Unresponsive    bool    // lost engines do not answer instead of refusing connections
}

// Scenario is a deployment with a load pattern.
type Scenario struct {
	Name    string
	TrafficDuration  time.Duration
	TrafficStart    time.Duration // before traffic starts
	Engines int
	EngineSpec    fleet.Engine
	FullSpeedLoads  int     // loads from the weight store at full speed
	StepMs  float64 // of an engine with one request
	PromptTokensPerMs   float64 // prompt tokens that an engine reads
	ModelsInMemory  int     // models whose weights an engine keeps in memory
	ModelsOnDisk    int     // and on disk
	PlainEndpoints   int     // endpoints of the plain service
	Classes []Class
	DemandShifts  []time.Duration // demand moves to other models
	Bursts  []Disturbance
	EngineLosses  []Disturbance
	LeaseVacancies  []Disturbance // nobody holds the placement lease
}

const (
	modelMB   = 70000
	adapterMB = 150
	engineMemoryMB  = 220000
	engineService   = "lm"
	plainService     = "app"
	adaptersPerModel  = 3 // of each model
)

func engineSpec(slots, kv, models int, loadsPerSec float64, load time.Duration) fleet.Engine {
	e := fleet.Engine{Slots: slots, KVTokens: kv, MB: engineMemoryMB, AdapterSlots: 8, LoadsPerSecond: loadsPerSec}
	for i := range models {
		e.Models = append(e.Models, fleet.Model{
			Name: fmt.Sprintf("m%03d", i), MB: modelMB, AdapterMB: adapterMB, Adapters: adaptersPerModel,
			Load: load, WarmLoad: load / 10, DiskLoad: load / 5,
		})
	}
	return e
}

// requestClasses returns a mix of requests like that of the users' deployments, with a number of chat requests a second.
func requestClasses(chat float64, popular, models int) []Class {
	const second = time.Second
	return []Class{
		{
			Name: "chat", RequestsPerSec: chat, PromptTokens: 628, SharedPromptTokens: 198, StreamEvents: 49, TokensPerEvent: 6, TargetLatency: second / 4, Deadline: 12 * second,
			MaxPause: 300 * time.Millisecond, OnTimeCredit: 2.4, LateCredit: 0.29, CallerRetries: 1, ActiveModels: 7, EndModel: popular, AdapterShare: 0.3,
		},
		{
			Name: "digest", Rank: 1, RequestsPerSec: 0.2 * chat, PromptTokens: 1800, SharedPromptTokens: 568, StreamEvents: 4, TokensPerEvent: 6, TargetLatency: 400 * time.Millisecond,
			Deadline: 3 * second, MaxPause: 300 * time.Millisecond, OnTimeCredit: 0.8, LateCredit: 0.24, CallerRetries: 1, ActiveModels: 7, EndModel: popular, AdapterShare: 0.3,
		},
		{
			Name: "batch", Rank: 2, RequestsPerSec: 0.13 * chat, PromptTokens: 628, SharedPromptTokens: 198, StreamEvents: 49, TokensPerEvent: 6, TargetLatency: 6 * second,
			Deadline: 20 * second, MaxPause: 300 * time.Millisecond, OnTimeCredit: 0.62, LateCredit: 0.28, CallerRetries: 1, Resumable: true,
			ActiveModels: models - popular, FirstModel: popular, EndModel: models, AdapterShare: 0.2,
		},
		{
			Name: "booking", Rank: 1, RequestsPerSec: 0.35 * chat, ServiceTime: 60 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Deadline: 4 * second,
			OnTimeCredit: 1, LateCredit: 0.3, CallerRetries: 1,
		},
	}
}

// Scenarios returns the load patterns by name, in order.
func Scenarios() []Scenario {
	small := Scenario{
		Name: "small-quiet", TrafficDuration: 30 * time.Second, TrafficStart: 10 * time.Second, Engines: 9, EngineSpec: engineSpec(64, 170000, 17, 1.6, 4*time.Second), FullSpeedLoads: 6,
		StepMs: 4.4, PromptTokensPerMs: 38, ModelsInMemory: 2, ModelsOnDisk: 6, PlainEndpoints: 3, Classes: requestClasses(70, 10, 17),
	}
	large := Scenario{
		Name: "large-quiet", TrafficDuration: 30 * time.Second, TrafficStart: 14 * time.Second, Engines: 60, EngineSpec: engineSpec(24, 83000, 101, 10, 4*time.Second), FullSpeedLoads: 39,
		StepMs: 4.4, PromptTokensPerMs: 38, ModelsInMemory: 2, ModelsOnDisk: 6, PlainEndpoints: 4, Classes: requestClasses(360, 21, 101),
	}
	many := large
	many.Name, many.Engines, many.FullSpeedLoads, many.Classes = "many-quiet", 90, 41, requestClasses(310, 21, 196)
	many.EngineSpec = engineSpec(16, 57000, 196, 14, 3*time.Second)
	var out []Scenario
	for _, s := range []Scenario{small, large, many} {
		out = append(out, s, s.withShifts(), s.withLosses(), s.withFlood())
	}
	return out
}

func (s Scenario) withKind(kind string) Scenario {
	s.Name = s.Name[:len(s.Name)-len("quiet")] + kind
	return s
}

// withShifts moves the demand twice and back, with a vacancy of the placement lease.
func (s Scenario) withShifts() Scenario {
	s = s.withKind("shifts")
	s.DemandShifts = []time.Duration{time.Second, 9 * time.Second, 13 * time.Second, 20 * time.Second}
	s.LeaseVacancies = []Disturbance{{Start: 10 * time.Second, Duration: 2500 * time.Millisecond}}
	return s
}

// withLosses takes a quarter of the engines away, some of them without a word, beside a shift.
func (s Scenario) withLosses() Scenario {
	s = s.withKind("losses")
	s.DemandShifts = []time.Duration{5 * time.Second}
	s.EngineLosses = []Disturbance{
		{Start: 7 * time.Second, Duration: 5 * time.Second, EngineShare: 0.15, Unresponsive: true}, {Start: 16 * time.Second, Duration: 3 * time.Second, EngineShare: 0.25},
	}
	return s
}

// withFlood triples the most urgent class, then the least urgent one, beside a shift.
func (s Scenario) withFlood() Scenario {
	s = s.withKind("flood")
	s.DemandShifts = []time.Duration{3 * time.Second}
	s.Bursts = []Disturbance{
		{Start: 5 * time.Second, Duration: 5 * time.Second, Class: "chat", RateFactor: 3}, {Start: 15 * time.Second, Duration: 5 * time.Second, Class: "batch", RateFactor: 8},
	}
	return s
}
