package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// arrival is one request of the schedule.
type arrival struct {
	at     time.Duration
	flow   int // index into streams, then calls
	model  string
	prompt int // tokens
	output int // tokens
}

// schedule draws all arrivals of a scenario. The same seed gives the same schedule whatever the system does.
func schedule(s *Scenario) []arrival {
	var all []arrival
	for i := range s.Streams {
		f := &s.Streams[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		pick := modelPicker(f, rng)
		for _, at := range poisson(rng, s.Duration, f.Rate, f.Phases) {
			all = append(all, arrival{at: at, flow: i, model: pick(), prompt: 1 + exponential(rng, f.PromptTokens), output: 1 + exponential(rng, f.OutputTokens)})
		}
	}
	for i := range s.Calls {
		f := &s.Calls[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+10001))
		for _, at := range poisson(rng, s.Duration, f.Rate, f.Phases) {
			all = append(all, arrival{at: at, flow: len(s.Streams) + i})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// poisson draws arrival times of a Poisson process whose rate changes with the phases, by thinning.
func poisson(rng *rand.Rand, length time.Duration, rate float64, phases []Phase) []time.Duration {
	peak := 1.0
	for _, p := range phases {
		peak = math.Max(peak, p.Factor)
	}
	gap := distuv.Exponential{Rate: rate * peak, Src: rng}
	var out []time.Duration
	for t := gap.Rand(); t < length.Seconds(); t += gap.Rand() {
		at := time.Duration(t * float64(time.Second))
		if rng.Float64()*peak < factor(phases, at) {
			out = append(out, at)
		}
	}
	return out
}

func exponential(rng *rand.Rand, mean int) int {
	if mean <= 1 {
		return 0
	}
	return int(math.Min(distuv.Exponential{Rate: 1 / float64(mean-1), Src: rng}.Rand(), float64(8*mean)))
}

func modelPicker(f *Stream, rng *rand.Rand) func() string {
	weights := make([]float64, len(f.Models))
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), f.ZipfExponent)
	}
	c := distuv.NewCategorical(weights, rng)
	return func() string { return f.Models[int(c.Rand())] }
}
