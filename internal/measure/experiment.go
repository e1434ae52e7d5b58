// Package measure runs experiments that compare the system's decisions with baselines on a fleet of real processes.
package measure

import (
	"context"
	"time"

	"sycamoredeal/internal/demo"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

const (
	tokenTime    = 30 * time.Millisecond
	outputTokens = 33  // with tokenTime, a mean of about 1 s of work
	baseLoad     = 0.9 // share of all slots that the base load keeps busy
	floodAt      = 3 * time.Second
	floodFactor  = 10
	disturbAt    = 5 * time.Second
	freezeFor    = 4 * time.Second
)

// rankShares are the shares of the requests by rank, the most urgent first.
var rankShares = []float64{0.2, 0.3, 0.5}

// variant is one setting of the system under test.
type variant struct {
	name    string
	entry   []string // arguments of the entry processes
	flood   func(rank int, caller string) bool
	disturb func(context.Context, *testbed.Fleet) error
}

// experiment compares variants under the same schedule of requests.
type experiment struct {
	name     string
	question string
	load     float64
	group    func(*load.Row) string // by what the results are added up
	variants []variant
}

func byRank(r *load.Row) string   { return r.Rank }
func byCaller(r *load.Row) string { return r.Caller }

func policy(name string) []string { return []string{"--policy", name} }

// routingExperiment compares who chooses the endpoint, and when.
func routingExperiment() experiment {
	return experiment{
		name: "routing", load: baseLoad, group: byRank,
		question: "Who chooses the endpoint: the cell's dispatcher with late binding, each entry alone over its own counts, two random choices, or round robin?",
		variants: []variant{
			{name: "dispatcher", entry: policy("dispatcher")},
			{name: "independent", entry: policy("independent")},
			{name: "two-choices", entry: policy("two-choices")},
			{name: "round-robin", entry: policy("round-robin")},
			{name: "dispatcher killed", entry: policy("dispatcher"), disturb: killDispatcher},
			{name: "dispatcher frozen", entry: policy("dispatcher"), disturb: freezeDispatcher},
		},
	}
}

// rankFloods compares ranks with first come, first served while one rank floods in.
func rankFloods(least int) experiment {
	flood := func(rank int) func(int, string) bool { return func(r int, _ string) bool { return r == rank } }
	return experiment{
		name: "floods-by-rank", load: baseLoad * 0.6, group: byRank,
		question: "What does each rank keep while the least or the most urgent one floods in tenfold?",
		variants: []variant{
			{name: "calm", entry: policy("dispatcher")},
			{name: "least urgent floods", entry: policy("dispatcher"), flood: flood(least)},
			{name: "least urgent floods, first come", entry: policy("first-come"), flood: flood(least)},
			{name: "most urgent floods", entry: policy("dispatcher"), flood: flood(0)},
			{name: "most urgent floods, first come", entry: policy("first-come"), flood: flood(0)},
		},
	}
}

// callerFlood compares shares by caller with first come, first served while one caller floods in.
func callerFlood(caller string) experiment {
	flood := func(_ int, c string) bool { return c == caller }
	return experiment{
		name: "flood-by-caller", load: baseLoad * 0.6, group: byCaller,
		question: "What does each caller keep while " + caller + " floods in tenfold?",
		variants: []variant{
			{name: "calm", entry: policy("dispatcher")},
			{name: "flood", entry: policy("dispatcher"), flood: flood},
			{name: "flood, first come", entry: policy("first-come"), flood: flood},
		},
	}
}

// scenario returns the load of a variant. All variants of an experiment have the same schedule but for the flood.
func scenario(f *testbed.Fleet, e experiment, v variant, length time.Duration) *load.Scenario {
	s := demo.Scenario(f, length)
	s.Calls, s.ServiceAddrs, s.Grace = nil, nil, length
	slots := 0
	for _, ep := range f.Snapshot.Endpoints {
		slots += ep.Slots
	}
	work := (outputTokens * tokenTime).Seconds()
	callers := make(map[string]float64)
	for _, st := range s.Streams {
		callers[st.Rank]++
	}
	for i := range s.Streams {
		st := &s.Streams[i]
		rank := f.Snapshot.Rank(st.Rank).Order
		st.Rate = e.load * float64(slots) / work * rankShares[rank] / callers[st.Rank]
		st.OutputTokens, st.ZipfExponent = outputTokens, 0.7
		if v.flood != nil && v.flood(rank, st.Caller) {
			st.Phases = []load.Phase{{At: floodAt, Factor: floodFactor}}
		}
	}
	return s
}
