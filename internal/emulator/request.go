package emulator

import (
	"fmt"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

const (
	patienceShare = 0.9 // of a caller's patience, within which an answer has to begin
	retryWaitFactor    = 3.0 // a caller comes back if the time to wait is within this part of what it has left
	maxSends    = 5   // endpoints for one request
)

type outcome uint8

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeCount
)

// request is one request of a caller, over all its tries.
type request struct {
	sim       *simulation
	class   *Class
	classIndex   int // of the class
	model   string
	adapter string
	arrivedAt    time.Duration // first attempt of the caller
	attemptStart   time.Duration // this attempt of the caller
	callerRetries   int           // of the caller
	sends   int
	sendSeq int // grows with each send: events of earlier ones don't count
	id      uint64
	endpoint  *endpoint
	excluded []string
	mayHaveRun   bool // an earlier send reached an engine

	sentAt time.Duration
	unreadPromptTokens float64
	generatedTokens int // made
	lastEventAt   time.Duration
	pauseExceeded bool // a pause was too long
	hasFirstEvent  bool
	firstEventAt  time.Duration
}

// startRequest lets a request of a class arrive.
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

// startDeadline is the time by which the answer has to begin.
func (r *request) startDeadline() time.Duration {
	end := r.arrivedAt + r.class.Deadline
	if r.class.StreamEvents == 0 {
		return end
	}
	patience := max(minPatience, 4*r.class.TargetLatency, 8*r.class.MaxPause)
	return min(end, r.attemptStart+time.Duration(patienceShare*float64(patience)))
}

// startAttempt begins an attempt of the caller.
func (r *request) startAttempt() {
	r.attemptStart, r.excluded, r.sends = r.sim.now, nil, 0
	r.askDispatcher()
}

// askDispatcher asks the dispatcher for an endpoint.
func (r *request) askDispatcher() {
	sim := r.sim
	sim.lastRequestID++
	r.id = sim.lastRequestID
	sim.requests[r.id] = r
	left := func(t time.Duration) uint32 { return uint32(max((t - sim.now).Milliseconds(), 0)) }
	a := wire.Ask{
		ID: r.id, Service: plainService, Priority: uint8(r.class.Rank), DeadlineMs: max(left(r.startDeadline()), 1), TargetMs: left(r.arrivedAt + r.class.TargetLatency),
		Exclude: r.excluded, Repeat: r.mayHaveRun, Resumed: r.generatedTokens > 0,
	}
	if r.class.StreamEvents > 0 {
		a.Service, a.Model, a.Adapter = engineService, r.model, r.adapter
		a.PromptTokens, a.MaxTokens = uint32(r.class.PromptTokens), uint32(r.class.StreamEvents*r.class.TokensPerEvent)
		a.Parts = []wire.PromptPart{{ID: 1, Tokens: uint32(r.class.SharedPromptTokens)}, {ID: 1000 + r.id, Tokens: uint32(r.class.PromptTokens - r.class.SharedPromptTokens)}}
	}
	sim.scheduleAfter(messageDelay, func() {
		sim.dispatcher.Ask(sim.now, hostID, a)
		sim.deliverOutputs()
	})
}

// deliverOutputs passes the dispatcher's answers on.
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

// reportDone tells the dispatcher that a place is free.
func (r *request) reportDone(d wire.Done) {
	d.ID = r.id
	delete(r.sim.requests, r.id)
	sim := r.sim
	sim.scheduleAfter(messageDelay, func() {
		sim.dispatcher.Done(sim.now, hostID, d)
		sim.deliverOutputs()
	})
}

// send brings the request to the granted endpoint.
func (r *request) send(g *wire.Grant) {
	e := r.sim.endpointsByID[g.Endpoint]
	r.sendSeq++
	r.sends++
	attempt := r.sendSeq
	if e.down {
		wait := connectRefusedDelay
		if e.unresponsive {
			wait = connectTimeout
		}
		r.sim.scheduleAfter(wait, func() { r.handleNotRun(attempt, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true}) })
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
			r.handleNotRun(attempt, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true})
		case !e.plain && !e.models[r.model], r.adapter != "" && g.Prepare && e.orderInProgress:
			r.handleNotRun(attempt, g.Endpoint, wire.Done{Missing: true})
		case len(e.running) >= e.slots:
			r.handleNotRun(attempt, g.Endpoint, wire.Done{})
		default:
			r.endpoint, r.sentAt = e, r.sim.now
			r.unreadPromptTokens = float64(r.class.PromptTokens)
			e.admit(r)
		}
	})
}

// handleNotRun handles an endpoint that did not run the request.
func (r *request) handleNotRun(attempt int, endpoint string, d wire.Done) {
	if attempt != r.sendSeq {
		return
	}
	r.reportDone(d)
	r.excluded = append(r.excluded, endpoint)
	if r.sends >= maxSends || r.sim.now > r.startDeadline() {
		r.handleRefusal(0)
		return
	}
	r.askDispatcher()
}

// handleBrokenResponse handles an answer that has ended early.
func (r *request) handleBrokenResponse(attempt int) {
	if attempt != r.sendSeq {
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

// handleRefusal handles a refusal: the caller comes back if it has the time.
func (r *request) handleRefusal(after time.Duration) {
	sim := r.sim
	left := r.arrivedAt + r.class.Deadline - sim.now
	if r.generatedTokens > 0 {
		sim.endRequest(r, outcomeFailed)
		return
	}
	if r.callerRetries >= r.class.CallerRetries || time.Duration(retryWaitFactor*float64(after)) > left {
		sim.endRequest(r, outcomeRefused)
		return
	}
	r.callerRetries++
	sim.scheduleAfter(max(after, messageDelay), r.startAttempt)
}

// generateToken makes one generateToken. It returns true after the last one.
func (r *request) generateToken() bool {
	r.generatedTokens++
	if r.generatedTokens%r.class.TokensPerEvent != 0 {
		return false
	}
	now := r.sim.now
	if !r.hasFirstEvent {
		r.hasFirstEvent, r.firstEventAt = true, now
		first := now - r.sentAt
		id := r.id
		r.sim.scheduleAfter(messageDelay, func() {
			r.sim.dispatcher.Started(r.sim.now, hostID, wire.Started{ID: id, FirstMs: uint32(first.Milliseconds())})
			r.sim.deliverOutputs()
		})
	} else if now-r.lastEventAt > r.class.MaxPause {
		r.pauseExceeded = true
	}
	r.lastEventAt = now
	return r.generatedTokens >= r.class.StreamEvents*r.class.TokensPerEvent
}

// handleCompleted ends a request whose answer is whole.
func (r *request) handleCompleted() {
	r.reportDone(wire.Done{TotalMs: uint32(max((r.sim.now - r.sentAt).Milliseconds(), 1))})
	first := r.firstEventAt
	if r.class.StreamEvents == 0 {
		first = r.sim.now
	}
	if r.pauseExceeded || first-r.arrivedAt > r.class.TargetLatency {
		r.sim.endRequest(r, outcomeLate)
		return
	}
	r.sim.endRequest(r, outcomeOnTime)
}

func (sim *simulation) endRequest(r *request, o outcome) {
	delete(sim.requests, r.id)
	sim.result.addOutcome(r, o)
}
