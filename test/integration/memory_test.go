package integration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// memoryDeclarations declare endpoints in three availability zones of which every other one checks fencing tokens.
func memoryDeclarations(endpoints int) string {
	var b strings.Builder
	b.WriteString("endpoints:\n")
	for i := range endpoints {
		fmt.Fprintf(&b, "- {name: e%d, host: g%d, zone: z%d, address: \"127.0.0.1:%d\", memory: 24GiB, adapterMemory: 1GiB, slots: 8, checksFencing: %v}\n", i, i, i%3, 20000+i, i%2 == 0)
	}
	return b.String()
}

// modelSet declares models with sizes in GiB, an adapter for each of the first two, and other names for each set.
func modelSet(set int, sizes ...int) string {
	var b strings.Builder
	b.WriteString("models:\n")
	for i, s := range sizes {
		fmt.Fprintf(&b, "- {name: m%d-%d, memory: %dGiB, minReplicas: 1}\n", set, i, s)
	}
	b.WriteString("adapters:\n")
	for i := range min(2, len(sizes)) {
		fmt.Fprintf(&b, "- {name: a%d-%d, model: m%d-%d, memory: 256MiB}\n", set, i, set, i)
	}
	return b.String()
}

// TestMemoryWithPausedHolders guards against accelerator memory that is overcommitted because holders of the lease are
// paused and resumed while models and endpoints change, engines restart, and orders are lost, delayed and doubled.
func TestMemoryWithPausedHolders(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			f := startFaultFleet(t, time.Minute, memoryDeclarations(5))
			rng := rand.New(rand.NewPCG(seed, 1))
			set := 0
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				f.disturb(rng, &set)
				holder := f.holder()
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				holder.Control.Suspend()
				time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
				holder.Control.Resume()
				if v := f.overcommits(); v != "" {
					t.Fatal(v)
				}
			}
			f.edit("40-leaving.yaml", "")
			for name := range f.Engines {
				f.put(f.engineAddr(name), "{}")
			}
			took := f.within(memoryRecovery, "all models answer", func() string { return f.unanswered(f.Hosts...) })
			if v := f.overcommits(); v != "" {
				t.Fatal(v)
			}
			s, _ := f.status(f.Hosts[0])
			t.Logf("epoch %d, placement version %d, %d orders; all answer after %s", s.PlacementEpoch, s.PlacementVersion, s.Orders, took.Round(time.Millisecond))
			if s.PlacementEpoch < 3 || s.Orders < 20 {
				t.Errorf("the layout changed too little: epoch %d, %d orders", s.PlacementEpoch, s.Orders)
			}
		})
	}
}

// memoryRecovery bounds the time until all models of a new set answer: copies of the old set are unloaded after the bound
// on late orders, in steps of one load, and each takeover starts that bound again. The rest is for a busy machine.
const memoryRecovery = 2*(2*faultTerm+faultLateBound) + 15*time.Second

// disturb changes the declarations and the engines at random. The delays of orders stay within the half of the bound on
// late orders that the planner leaves to the call and the network.
func (f *faultFleet) disturb(rng *rand.Rand, set *int) {
	f.t.Helper()
	if *set++; rng.IntN(4) > 0 || *set == 1 {
		sizes := make([]int, 5+rng.IntN(3))
		for i := range sizes {
			sizes[i] = 4 + rng.IntN(6)
		}
		f.edit("30-models.yaml", modelSet(*set, sizes...))
	}
	leaving := ""
	if rng.IntN(2) == 0 {
		leaving = fmt.Sprintf("endpoints: [{name: e%d, leaving: true}]\n", rng.IntN(5))
	}
	f.edit("40-leaving.yaml", leaving)
	for i := range 5 {
		f.put(f.engineAddr(fmt.Sprint("e", i)), fmt.Sprintf(`{"dropOrders":%d,"delayOrders":%d,"orderDelay":"%dms","duplicateOrders":%d,"duplicateAfter":"%dms","reportLag":"%dms"}`,
			rng.IntN(3), rng.IntN(4), rng.IntN(400), rng.IntN(5), rng.IntN(450), rng.IntN(200)))
	}
	if rng.IntN(3) == 0 {
		f.call("POST", f.engineAddr(fmt.Sprint("e", rng.IntN(5))), "/_restart", "")
	}
	hot, names := f.Hosts[rng.IntN(3)], f.names()
	for range 30 {
		f.ask(hot, names[rng.IntN(2)]) // a refusal is counted as demand, too
	}
}
