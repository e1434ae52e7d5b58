package sched

// pace estimates how long engines of a service take to the first piece of an answer: a latency that every request has, and
// the time that reading its prompt takes, which requests share. It is fitted to outcomes by least squares in which older
// ones count less. The load pattern that it answers: engines differ in both by a factor of ten, and one figure for both
// leaves engines with a long latency idle between prompts.
type pace struct {
	weight, x, y, xx, xy float64
}

const (
	paceMemory      = 1.0 / 400 // weight of the latest outcome: some seconds of a busy service
	priorTokens     = 25.0      // prompt tokens read in a ms, until outcomes say otherwise
	priorFirstMs    = 12.0      // connection, admission and one step of a batch
	priorWeight     = 10.0      // outcomes that the prior counts for
	leastTokens     = 1.0       // bounds of the prompt tokens read in a ms
	mostTokens      = 1000.0
	mostFirstMs     = 2000.0
	outlierRatio    = 3.0   // an outcome counts as this many times the prediction at most
	outlierSlackMs  = 200.0 // and this much more
	priorShort      = 200.0 // tokens of the two prompts that make the prior
	priorLong       = 3000.0
	leastSpreadness = 1e-9 // of prompt lengths, relative to their square: below it no slope can be told
)

func newPace() *pace {
	p := &pace{}
	for _, tokens := range []float64{priorShort, priorLong} {
		p.count(tokens, priorFirstMs+tokens/priorTokens, priorWeight/2)
	}
	return p
}

func (p *pace) count(tokens, ms, weight float64) {
	p.weight += weight
	p.x += weight * tokens
	p.y += weight * ms
	p.xx += weight * tokens * tokens
	p.xy += weight * tokens * ms
}

// fit returns the latency in ms and the time to read one token.
func (p *pace) fit() (firstMs, perToken float64) {
	spread := p.weight*p.xx - p.x*p.x
	perToken = 1 / priorTokens
	if spread > leastSpreadness*p.x*p.x {
		perToken = (p.weight*p.xy - p.x*p.y) / spread
	}
	perToken = min(max(perToken, 1/mostTokens), 1/leastTokens)
	firstMs = min(max((p.y-perToken*p.x)/p.weight, 0), mostFirstMs)
	return firstMs, perToken
}

// learn takes in the time to the first piece after so many prompt tokens were read, those ahead included.
func (p *pace) learn(tokens, ms float64) {
	first, perToken := p.fit()
	ms = min(ms, outlierRatio*(first+perToken*tokens)+outlierSlackMs)
	for _, v := range []*float64{&p.weight, &p.x, &p.y, &p.xx, &p.xy} {
		*v *= 1 - paceMemory
	}
	p.count(tokens, ms, 1)
}
