// Package emulator runs the request dispatching of package sched and the model placement of package copies in simulated
// time. It models engines that batch requests, read prompts and load models, endpoints of a service without models, callers
// that retry or give up, shifts of the demand and crashes of engines. A simulation uses no sockets and no goroutines, so that a
// seed should always give the same result. This does not hold yet: the results of small-flood vary between runs for some seeds,
// and those of the larger deployments for seed 1 in every scenario.
//
// It is a model and not the platform: docs/measurements/emulator.md states how far its results are from the users' bench.
package emulator

import (
	"fmt"
	"time"

	"sycamoredeal/internal/fleet"
)

// Class describes the requests of one kind.
type Class struct {
	Name                 string
	Rank                 int           // 0 is the most urgent
	RequestsPerSec       float64       // arrivals, of all callers together
	PromptTokens         int           // prompt length; every request has the mean length
	SharedPromptTokens   int           // prompt tokens shared by all requests for the same model and adapter
	StreamEvents         int           // events in a streamed response; 0 for a service without models
	TokensPerEvent       int           // tokens in each event of a stream
	ServiceTime          time.Duration // processing time at an idle endpoint of a service without models
	TargetLatency        time.Duration // limit for full credit: to the first event of a stream, or else to the response
	Deadline             time.Duration // from the arrival of the request
	MaxPause             time.Duration // longest pause between events that earns the full credit
	OnTimeCredit         float64       // credit for a response within TargetLatency and MaxPause
	LateCredit           float64       // credit for any other complete response
	MaxCallerRetries     int           // times that a caller retries after a refusal
	Resumable            bool          // a request may continue on another engine after its response broke
	ActiveModels         int           // number of models that are requested at a time
	FirstModel, EndModel int           // range of the models that may be requested, without EndModel
	AdapterShare         float64       // share of the requests that name an adapter
}

// Disturbance is a burst of requests, a loss of engines or a vacancy of the placement lease.
type Disturbance struct {
	Start, Duration time.Duration // Start counts from the start of traffic
	RequestClass    string        // class of requests in a burst
	RateFactor      float64       // factor on the request rate in a burst
	EngineShare     float64       // share of the engines that crash
	Unresponsive    bool          // crashed engines time out instead of refusing connections
}

// Scenario is a deployment with a load pattern.
type Scenario struct {
	Name              string
	TrafficDuration   time.Duration
	TrafficStart      time.Duration // time without traffic at the beginning
	Engines           int
	EngineSpec        fleet.Engine
	FullSpeedLoads    int     // loads that the weight store serves at the same time without slowing down
	StepMs            float64 // duration of an engine's decoding step with one request
	PromptTokensPerMs float64 // prompt tokens that an engine reads per millisecond
	ModelsInMemory    int     // models whose weights an engine caches in host memory
	ModelsOnDisk      int     // models whose weights an engine caches on disk
	PlainEndpoints    int     // endpoints of the service without models
	Classes           []Class
	DemandShifts      []time.Duration // times at which the demand moves to other models, from the start of traffic
	Bursts            []Disturbance   // of the request rate
	EngineLosses      []Disturbance
	LeaseVacancies    []Disturbance // times without a holder of the placement lease
}

const (
	modelMB          = 70000
	adapterMB        = 150
	engineMemoryMB   = 220000
	engineService    = "lm"
	plainService     = "app"
	adaptersPerModel = 3
)

// engineSpec describes engines that can load any of a number of models. Loading from host memory takes a tenth of loadTime,
// the time for loading from the weight store, and loading from disk a fifth.
func engineSpec(slots, kvTokens, models int, loadsPerSec float64, loadTime time.Duration) fleet.Engine {
	spec := fleet.Engine{Slots: slots, KVTokens: kvTokens, MemoryMB: engineMemoryMB, AdapterSlots: 8, LoadsPerSecond: loadsPerSec}
	for i := range models {
		spec.Models = append(spec.Models, fleet.Model{
			Name: fmt.Sprintf("m%03d", i), WeightsMB: modelMB, AdapterMB: adapterMB, Adapters: adaptersPerModel,
			StoreLoadTime: loadTime, MemoryLoadTime: loadTime / 10, DiskLoadTime: loadTime / 5,
		})
	}
	return spec
}

// requestClasses returns a mix of requests like that of the users' deployments, scaled by the rate of chat requests. The
// first popularModels models serve chat and digest, the others batch.
func requestClasses(chatPerSec float64, popularModels, models int) []Class {
	const second = time.Second
	return []Class{
		{
			Name: "chat", RequestsPerSec: chatPerSec,
			PromptTokens: 628, SharedPromptTokens: 198, StreamEvents: 49, TokensPerEvent: 6,
			TargetLatency: second / 4, Deadline: 12 * second, MaxPause: 300 * time.Millisecond,
			OnTimeCredit: 2.4, LateCredit: 0.29, MaxCallerRetries: 1, ActiveModels: 7, EndModel: popularModels, AdapterShare: 0.3,
		},
		{
			Name: "digest", Rank: 1, RequestsPerSec: 0.2 * chatPerSec,
			PromptTokens: 1800, SharedPromptTokens: 568, StreamEvents: 4, TokensPerEvent: 6,
			TargetLatency: 400 * time.Millisecond, Deadline: 3 * second, MaxPause: 300 * time.Millisecond,
			OnTimeCredit: 0.8, LateCredit: 0.24, MaxCallerRetries: 1, ActiveModels: 7, EndModel: popularModels, AdapterShare: 0.3,
		},
		{
			Name: "batch", Rank: 2, RequestsPerSec: 0.13 * chatPerSec,
			PromptTokens: 628, SharedPromptTokens: 198, StreamEvents: 49, TokensPerEvent: 6,
			TargetLatency: 6 * second, Deadline: 20 * second, MaxPause: 300 * time.Millisecond,
			OnTimeCredit: 0.62, LateCredit: 0.28, MaxCallerRetries: 1, Resumable: true,
			ActiveModels: models - popularModels, FirstModel: popularModels, EndModel: models, AdapterShare: 0.2,
		},
		{
			Name: "booking", Rank: 1, RequestsPerSec: 0.35 * chatPerSec,
			ServiceTime: 60 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Deadline: 4 * second,
			OnTimeCredit: 1, LateCredit: 0.3, MaxCallerRetries: 1,
		},
	}
}

// Scenarios returns three deployments, each with the load patterns quiet, shifts, losses and flood.
func Scenarios() []Scenario {
	small := Scenario{
		Name: "small-quiet", TrafficDuration: 30 * time.Second, TrafficStart: 10 * time.Second,
		Engines: 9, EngineSpec: engineSpec(64, 170000, 17, 1.6, 4*time.Second), FullSpeedLoads: 6,
		StepMs: 4.4, PromptTokensPerMs: 38, ModelsInMemory: 2, ModelsOnDisk: 6, PlainEndpoints: 3, Classes: requestClasses(70, 10, 17),
	}
	large := Scenario{
		Name: "large-quiet", TrafficDuration: 30 * time.Second, TrafficStart: 14 * time.Second,
		Engines: 60, EngineSpec: engineSpec(24, 83000, 101, 10, 4*time.Second), FullSpeedLoads: 39,
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

// withKind replaces the load pattern in the scenario's name.
func (s Scenario) withKind(kind string) Scenario {
	s.Name = s.Name[:len(s.Name)-len("quiet")] + kind
	return s
}

// withShifts moves the demand to other models four times and adds a vacancy of the placement lease. Each set of models is
// drawn at random.
func (s Scenario) withShifts() Scenario {
	s = s.withKind("shifts")
	s.DemandShifts = []time.Duration{time.Second, 9 * time.Second, 13 * time.Second, 20 * time.Second}
	s.LeaseVacancies = []Disturbance{{Start: 10 * time.Second, Duration: 2500 * time.Millisecond}}
	return s
}

// withLosses makes 15 % of the engines unresponsive and later crashes a quarter of them, after a shift of the demand.
func (s Scenario) withLosses() Scenario {
	s = s.withKind("losses")
	s.DemandShifts = []time.Duration{5 * time.Second}
	s.EngineLosses = []Disturbance{
		{Start: 7 * time.Second, Duration: 5 * time.Second, EngineShare: 0.15, Unresponsive: true},
		{Start: 16 * time.Second, Duration: 3 * time.Second, EngineShare: 0.25},
	}
	return s
}

// withFlood triples the requests of the most urgent class and later multiplies those of the least urgent class by eight,
// after a shift of the demand.
func (s Scenario) withFlood() Scenario {
	s = s.withKind("flood")
	s.DemandShifts = []time.Duration{3 * time.Second}
	s.Bursts = []Disturbance{
		{Start: 5 * time.Second, Duration: 5 * time.Second, RequestClass: "chat", RateFactor: 3},
		{Start: 15 * time.Second, Duration: 5 * time.Second, RequestClass: "batch", RateFactor: 8},
	}
	return s
}
