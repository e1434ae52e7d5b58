package emulator

import (
	"fmt"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

const (
	patienceShare   = 0.9 // share of the caller's patience within which the response has to start
	retryWaitFactor = 3.0 // the caller retries if this multiple of the wait fits in the time to its deadline
	maxSends        = 5   // sends to endpoints in one attempt of the caller
)

// outcome states how a request ended for its caller.
type outcome uint8

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeCount // number of outcomes
)

// request is one request of a caller, with all attempts of the caller. In an attempt, the request is sent to one endpoint after
// the other until one of them runs it.
type request struct {
	sim           *simulation
	class         *Class
	classIndex    int // in Scenario.Classes
	model         string
	adapter       string
	arrivedAt     time.Duration // start of the caller's first attempt
	attemptStart  time.Duration // start of the caller's current attempt
	callerRetries int           // number of retries after refusals
	sends         int           // sends to endpoints in the current attempt
	sendSeq       int           // increases with each send and each broken response; events of earlier sends are ignored
	id            uint64        // of the latest Ask
	endpoint      *endpoint     // endpoint that runs the request
	excluded      []string      // endpoints that failed or did not run the request in the current attempt
	mayHaveRun    bool          // the response to an earlier send broke

	sentAt             time.Duration // when the endpoint admitted the request
	unreadPromptTokens float64
	generatedTokens    int
	lastEventAt        time.Duration
	pauseExceeded      bool // a pause between events was longer than Class.MaxPause
	hasFirstEvent      bool
	firstEventAt       time.Duration
}

// startRequest starts a new request of a class for a random active model.
func (sim *simulation) startRequest(class int) {
	c := &sim.scenario.Classes[class]
	r := &request{sim: sim, class: c, classIndex: class, arrivedAt: sim.now}
	if c.StreamEvents > 0 {
		x := sim.rng.Float64()
		k := 0
		for k < len(sim.modelShares[class])-1 && x >= sim.modelShares[class][k] {
			x -= sim.modelShares[class][k]
			k++
		}
		r.model = sim.scenario.EngineSpec.Models[c.FirstModel+sim.activeModels[class][k]].Name
		if sim.rng.Float64() < c.AdapterShare {
			r.adapter = fmt.Sprint("a", 1+sim.rng.IntN(adaptersPerModel))
		}
	}
	sim.result.addArrival(r)
	r.startAttempt()
}

// startDeadline returns the time by which the response has to start, so that the caller does not give up.
func (r *request) startDeadline() time.Duration {
	end := r.arrivedAt + r.class.Deadline
	if r.class.StreamEvents == 0 {
		return end
	}
	patience := max(minPatience, 4*r.class.TargetLatency, 8*r.class.MaxPause)
	return min(end, r.attemptStart+time.Duration(patienceShare*float64(patience)))
}

// startAttempt starts an attempt of the caller.
func (r *request) startAttempt() {
	r.attemptStart, r.excluded, r.sends = r.sim.now, nil, 0
	r.sim.retries.AddRequest(r.sim.now, r.service(), retryLimits)
	r.askDispatcher()
}

// service returns the name of the service that the request is for.
func (r *request) service() string {
	if r.class.StreamEvents > 0 {
		return engineService
	}
	return plainService
}

// askDispatcher asks the dispatcher for an endpoint.
func (r *request) askDispatcher() {
	sim := r.sim
	sim.lastRequestID++
	r.id = sim.lastRequestID
	sim.requests[r.id] = r
	msUntil := func(t time.Duration) uint32 { return uint32(max((t - sim.now).Milliseconds(), 0)) }
	ask := wire.Ask{
		ID: r.id, Service: r.service(), Priority: uint8(r.class.Rank), DeadlineMs: max(msUntil(r.startDeadline()), 1),
		TargetMs: msUntil(r.arrivedAt + r.class.TargetLatency),
		Exclude:  r.excluded, Retry: r.mayHaveRun, Resumed: r.generatedTokens > 0,
	}
	if r.class.StreamEvents > 0 {
		ask.Model, ask.Adapter = r.model, r.adapter
		ask.PromptTokens, ask.MaxTokens = uint32(r.class.PromptTokens), uint32(r.class.StreamEvents*r.class.TokensPerEvent)
		ask.PromptParts = []wire.PromptPart{
			{ID: 1, Tokens: uint32(r.class.SharedPromptTokens)}, {ID: 1000 + r.id, Tokens: uint32(r.class.PromptTokens - r.class.SharedPromptTokens)}}
	}
	if ask.Retry {
		if ask.SharedRetry = !sim.retries.Reserve(sim.now, ask.Service, retryLimits); !ask.SharedRetry {
			sim.retries.Settle(sim.now, ask.Service)
		}
	}
	sim.scheduleAfter(messageDelay, func() {
		sim.dispatcher.Ask(sim.now, hostID, ask)
		sim.deliverOutputs()
	})
}

// deliverOutputs delivers the dispatcher's grants and refusals to their requests after messageDelay.
func (sim *simulation) deliverOutputs() {
	for _, o := range sim.dispatcher.TakeOutputs() {
		switch m := o.Message.(type) {
		case *wire.Grant:
			if r := sim.requests[m.ID]; r != nil {
				sim.scheduleAfter(messageDelay, func() { r.send(m) })
			}
		case *wire.Refuse:
			if r := sim.requests[m.ID]; r != nil {
				delete(sim.requests, m.ID)
				sim.scheduleAfter(messageDelay, func() { r.handleRefusal(time.Duration(m.RetryAfterMs) * time.Millisecond) })
			}
		}
	}
}

// reportDone reports to the dispatcher that the request no longer occupies a slot of the granted endpoint.
func (r *request) reportDone(done wire.Done) {
	done.ID = r.id
	delete(r.sim.requests, r.id)
	sim := r.sim
	sim.scheduleAfter(messageDelay, func() {
		sim.dispatcher.Done(sim.now, hostID, done)
		sim.deliverOutputs()
	})
}

// send sends the request to the granted endpoint, which runs it or turns it down.
func (r *request) send(g *wire.Grant) {
	e := r.sim.endpointsByID[g.Endpoint]
	r.sendSeq++
	r.sends++
	seq := r.sendSeq
	if e.down {
		wait := connectRefusedDelay
		if e.unresponsive {
			wait = connectTimeout
		}
		r.sim.scheduleAfter(wait, func() { r.handleNotRun(seq, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true}) })
		return
	}
	wait := messageDelay
	if g.Prepare {
		wait += adapterLoadTime
		if g.Evict.Adapter != "" {
			delete(e.adapterLastUse, copies.Adapter{Model: g.Evict.Model, Name: g.Evict.Adapter})
		}
	}
	r.sim.scheduleAfter(wait, func() {
		switch {
		case e.down:
			r.handleNotRun(seq, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true})
		case !e.plain && !e.models[r.model], r.adapter != "" && g.Prepare && e.orderInProgress:
			r.handleNotRun(seq, g.Endpoint, wire.Done{Missing: true})
		case len(e.running) >= e.slots:
			r.handleNotRun(seq, g.Endpoint, wire.Done{})
		default:
			r.endpoint, r.sentAt = e, r.sim.now
			r.unreadPromptTokens = float64(r.class.PromptTokens)
			e.admit(r)
		}
	})
}

// handleNotRun handles a send that the endpoint did not run: it asks for another endpoint, unless the sends or the time are used
// up.
func (r *request) handleNotRun(sendSeq int, endpoint string, done wire.Done) {
	if sendSeq != r.sendSeq {
		return
	}
	r.reportDone(done)
	r.excluded = append(r.excluded, endpoint)
	if r.sends >= maxSends || r.sim.now > r.startDeadline() {
		r.handleRefusal(0)
		return
	}
	r.askDispatcher()
}

// handleBrokenResponse handles a response that ended early: a resumable request asks for another endpoint, others fail.
func (r *request) handleBrokenResponse(sendSeq int) {
	if sendSeq != r.sendSeq {
		return
	}
	r.sendSeq++
	endpoint := r.endpoint.id
	r.endpoint = nil
	r.mayHaveRun = true
	r.reportDone(wire.Done{Fault: uint8(sched.BrokenResponse), Failed: true})
	r.excluded = append(r.excluded, endpoint)
	if !r.class.Resumable || r.sends >= maxSends {
		r.sim.endRequest(r, outcomeFailed)
		return
	}
	r.askDispatcher()
}

// handleRefusal handles a refusal: the caller retries after the given time if its retries and its deadline allow it.
func (r *request) handleRefusal(retryAfter time.Duration) {
	sim := r.sim
	remaining := r.arrivedAt + r.class.Deadline - sim.now
	if r.generatedTokens > 0 {
		sim.endRequest(r, outcomeFailed)
		return
	}
	if r.callerRetries >= r.class.MaxCallerRetries || time.Duration(retryWaitFactor*float64(retryAfter)) > remaining {
		sim.endRequest(r, outcomeRefused)
		return
	}
	r.callerRetries++
	sim.scheduleAfter(max(retryAfter, messageDelay), r.startAttempt)
}

// generateToken adds one token to the response and returns whether it was the last one. Class.TokensPerEvent tokens make an
// event.
func (r *request) generateToken() bool {
	r.generatedTokens++
	if r.generatedTokens%r.class.TokensPerEvent != 0 {
		return false
	}
	now := r.sim.now
	if !r.hasFirstEvent {
		r.hasFirstEvent, r.firstEventAt = true, now
		timeToFirst := now - r.sentAt
		id := r.id
		r.sim.scheduleAfter(messageDelay, func() {
			r.sim.dispatcher.Started(r.sim.now, hostID, wire.Started{ID: id, FirstMs: uint32(timeToFirst.Milliseconds())})
			r.sim.deliverOutputs()
		})
	} else if now-r.lastEventAt > r.class.MaxPause {
		r.pauseExceeded = true
	}
	r.lastEventAt = now
	return r.generatedTokens >= r.class.StreamEvents*r.class.TokensPerEvent
}

// handleCompleted ends a request whose response is complete.
func (r *request) handleCompleted() {
	r.reportDone(wire.Done{TotalMs: uint32(max((r.sim.now - r.sentAt).Milliseconds(), 1))})
	latencyEnd := r.firstEventAt
	if r.class.StreamEvents == 0 {
		latencyEnd = r.sim.now
	}
	if r.pauseExceeded || latencyEnd-r.arrivedAt > r.class.TargetLatency {
		r.sim.endRequest(r, outcomeLate)
		return
	}
	r.sim.endRequest(r, outcomeOnTime)
}

// endRequest records the outcome of a request.
func (sim *simulation) endRequest(r *request, o outcome) {
	delete(sim.requests, r.id)
	sim.result.addOutcome(r, o)
}
