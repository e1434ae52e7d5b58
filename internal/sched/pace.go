package sched

// prefillEstimate estimates the time to the first token at engines of a service: a constant latency per request plus a time
// per prompt token. Engines process prompts one after another, whereas latencies of requests overlap. Both parameters are
// fitted by least squares with exponential decay of older outcomes. They are separate because engines differ in each by a
// factor of ten, and a single parameter left engines with a long latency idle between prompts.
type prefillEstimate struct {
	weight, x, y, xx, xy float64 // weighted sums; x is prompt tokens, y the time to the first token in ms
}

const (
	prefillDecay     = 1.0 / 400 // decay per outcome; covers a few seconds of a busy service
	priorTokensPerMs = 25.0      // prefill speed assumed before the first outcomes
	priorFirstMs     = 12.0      // connection setup, admission and one batch step
	priorWeight      = 10.0      // number of outcomes that the prior counts as
	minTokensPerMs   = 1.0       // limits of the fitted prefill speed
	maxTokensPerMs   = 1000.0
	maxFirstMs       = 2000.0
	outlierRatio     = 3.0   // outcomes are limited to this many times the prediction
	outlierSlackMs   = 200.0 // plus this
	priorShort       = 200.0 // lengths in tokens of the two prompts that form the prior
	priorLong        = 3000.0
	minSpread        = 1e-9 // relative variance of prompt lengths below which no slope can be fitted
)

// newPrefillEstimate returns an estimate that consists of the prior.
func newPrefillEstimate() *prefillEstimate {
	p := &prefillEstimate{}
	for _, tokens := range []float64{priorShort, priorLong} {
		p.addSample(tokens, priorFirstMs+tokens/priorTokensPerMs, priorWeight/2)
	}
	return p
}

func (p *prefillEstimate) addSample(tokens, ms, weight float64) {
	p.weight += weight
	p.x += weight * tokens
	p.y += weight * ms
	p.xx += weight * tokens * tokens
	p.xy += weight * tokens * ms
}

// fit returns the latency and the prefill time per prompt token, both in ms.
func (p *prefillEstimate) fit() (firstMs, perToken float64) {
	spread := p.weight*p.xx - p.x*p.x
	perToken = 1 / priorTokensPerMs
	if spread > minSpread*p.x*p.x {
		perToken = (p.weight*p.xy - p.x*p.y) / spread
	}
	perToken = min(max(perToken, 1/maxTokensPerMs), 1/minTokensPerMs)
	firstMs = min(max((p.y-perToken*p.x)/p.weight, 0), maxFirstMs)
	return firstMs, perToken
}

// observe adds a measured time to the first token. tokens counts the uncached prompt tokens of the request and
// of the prompts queued before it.
func (p *prefillEstimate) observe(tokens, ms float64) {
	first, perToken := p.fit()
	ms = min(ms, outlierRatio*(first+perToken*tokens)+outlierSlackMs)
	for _, v := range []*float64{&p.weight, &p.x, &p.y, &p.xx, &p.xy} {
		*v *= 1 - prefillDecay
	}
	p.addSample(tokens, ms, 1)
}
