package load

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// arrival is one scheduled request.
type arrival struct {
	at           time.Duration
	flowIndex    int // index into Scenario.Streams followed by Scenario.Calls
	model        string
	promptTokens int
	outputTokens int
}

// schedule draws all arrivals of a scenario, ordered by time. It depends only on the scenario and its seed.
func schedule(s *Scenario) []arrival {
	var all []arrival
	for i := range s.Streams {
		f := &s.Streams[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+1))
		pick := modelPicker(f, rng)
		for _, at := range poissonArrivals(rng, s.Duration, f.Rate, f.Phases) {
			all = append(all, arrival{at: at, flowIndex: i, model: pick(), promptTokens: 1 + exponentialTokens(rng, f.PromptTokens), outputTokens: 1 + exponentialTokens(rng, f.OutputTokens)})
		}
	}
	for i := range s.Calls {
		f := &s.Calls[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)+10001))
		for _, at := range poissonArrivals(rng, s.Duration, f.Rate, f.Phases) {
			all = append(all, arrival{at: at, flowIndex: len(s.Streams) + i})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// poissonArrivals draws the arrival times of a Poisson process whose rate changes with the phases, by thinning: it draws
// at the highest rate and drops arrivals at random where the rate is lower.
func poissonArrivals(rng *rand.Rand, duration time.Duration, rate float64, phases []Phase) []time.Duration {
	peak := 1.0
	for _, p := range phases {
		peak = math.Max(peak, p.Factor)
	}
	gap := distuv.Exponential{Rate: rate * peak, Src: rng}
	var out []time.Duration
	for t := gap.Rand(); t < duration.Seconds(); t += gap.Rand() {
		at := time.Duration(t * float64(time.Second))
		if rng.Float64()*peak < rateFactor(phases, at) {
			out = append(out, at)
		}
	}
	return out
}

// exponentialTokens draws a number of tokens from an exponential distribution whose mean is mean-1, at most 8*mean. It
// returns 0 if mean is at most 1.
func exponentialTokens(rng *rand.Rand, mean int) int {
	if mean <= 1 {
		return 0
	}
	return int(math.Min(distuv.Exponential{Rate: 1 / float64(mean-1), Src: rng}.Rand(), float64(8*mean)))
}

// modelPicker returns a function that draws a model of the stream from a Zipf distribution.
func modelPicker(stream *Stream, rng *rand.Rand) func() string {
	weights := make([]float64, len(stream.Models))
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), stream.ZipfExponent)
	}
	c := distuv.NewCategorical(weights, rng)
	return func() string { return stream.Models[int(c.Rand())] }
}
