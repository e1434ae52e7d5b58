package emulator

import (
	"fmt"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

const (
	patiencePart = 0.9 // of a caller's patience, within which an answer has to begin
	retryPart    = 3.0 // a caller comes back if the time to wait is within this part of what it has left
	mostTries    = 5   // endpoints for one request
)

type outcome uint8

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomes
)

// request is one request of a caller, over all its tries.
type request struct {
	w       *simulation
	class   *Class
	index   int // of the class
	model   string
	adapter string
	came    time.Duration // first attempt of the caller
	asked   time.Duration // this attempt of the caller
	tries   int           // of the caller
	sends   int
	attempt int // grows with each send: events of earlier ones don't count
	id      uint64
	engine  *engine
	exclude []string
	again   bool // an earlier send reached an engine

	sentAt time.Duration
	unread float64
	tokens int // made
	last   time.Duration
	paused bool // a pause was too long
	begun  bool
	first  time.Duration
}

// come lets a request of a class arrive.
func (w *simulation) come(class int) {
	c := &w.s.Classes[class]
	r := &request{w: w, class: c, index: class, came: w.now}
	if c.StreamEvents > 0 {
		x := w.rng.Float64()
		k := 0
		for k < len(w.shares[class])-1 && x >= w.shares[class][k] {
			x -= w.shares[class][k]
			k++
		}
		r.model = w.s.EngineSpec.Models[c.FirstModel+w.busy[class][k]].Name
		if w.rng.Float64() < c.AdapterShare {
			r.adapter = fmt.Sprint("a", 1+w.rng.IntN(adaptersPerModel))
		}
	}
	w.result.addArrival(r)
	r.ask()
}

// startBy is the time by which the answer has to begin.
func (r *request) startBy() time.Duration {
	end := r.came + r.class.Deadline
	if r.class.StreamEvents == 0 {
		return end
	}
	patience := max(leastWait, 4*r.class.TargetLatency, 8*r.class.MaxPause)
	return min(end, r.asked+time.Duration(patiencePart*float64(patience)))
}

// ask begins an attempt of the caller.
func (r *request) ask() {
	r.asked, r.exclude, r.sends = r.w.now, nil, 0
	r.bind()
}

// bind asks the dispatcher for an endpoint.
func (r *request) bind() {
	w := r.w
	w.next++
	r.id = w.next
	w.calls[r.id] = r
	left := func(t time.Duration) uint32 { return uint32(max((t - w.now).Milliseconds(), 0)) }
	a := wire.Ask{
		ID: r.id, Service: plainService, Priority: uint8(r.class.Rank), DeadlineMs: max(left(r.startBy()), 1), TargetMs: left(r.came + r.class.TargetLatency),
		Exclude: r.exclude, Repeat: r.again, Resumed: r.tokens > 0,
	}
	if r.class.StreamEvents > 0 {
		a.Service, a.Model, a.Adapter = engineService, r.model, r.adapter
		a.PromptTokens, a.MaxTokens = uint32(r.class.PromptTokens), uint32(r.class.StreamEvents*r.class.TokensPerEvent)
		a.Parts = []wire.PromptPart{{ID: 1, Tokens: uint32(r.class.SharedPromptTokens)}, {ID: 1000 + r.id, Tokens: uint32(r.class.PromptTokens - r.class.SharedPromptTokens)}}
	}
	w.after(hop, func() {
		w.state.Ask(w.now, host, a)
		w.deliver()
	})
}

// deliver passes the dispatcher's answers on.
func (w *simulation) deliver() {
	for _, o := range w.state.TakeOutputs() {
		switch m := o.Message.(type) {
		case *wire.Grant:
			if r := w.calls[m.ID]; r != nil {
				w.after(hop, func() { r.send(m) })
			}
		case *wire.Refuse:
			if r := w.calls[m.ID]; r != nil {
				delete(w.calls, m.ID)
				w.after(hop, func() { r.refused(time.Duration(m.RetryAfterMs) * time.Millisecond) })
			}
		}
	}
}

// done tells the dispatcher that a place is free.
func (r *request) done(d wire.Done) {
	d.ID = r.id
	delete(r.w.calls, r.id)
	w := r.w
	w.after(hop, func() {
		w.state.Done(w.now, host, d)
		w.deliver()
	})
}

// send brings the request to the granted endpoint.
func (r *request) send(g *wire.Grant) {
	e := r.w.byID[g.Endpoint]
	r.attempt++
	r.sends++
	attempt := r.attempt
	if e.down {
		wait := refusedAfter
		if e.dark {
			wait = darkAfter
		}
		r.w.after(wait, func() { r.turned(attempt, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true}) })
		return
	}
	wait := hop
	if g.Prepare {
		wait += adapterTime
		if g.Evict.Adapter != "" {
			delete(e.adapters, copies.Adapter{Model: g.Evict.Model, Name: g.Evict.Adapter})
		}
	}
	r.w.after(wait, func() {
		switch {
		case e.down:
			r.turned(attempt, g.Endpoint, wire.Done{Fault: uint8(sched.ConnectFailed), Failed: true})
		case !e.plain && !e.models[r.model], r.adapter != "" && g.Prepare && e.changing:
			r.turned(attempt, g.Endpoint, wire.Done{Missing: true})
		case len(e.running) >= e.slots:
			r.turned(attempt, g.Endpoint, wire.Done{})
		default:
			r.engine, r.sentAt = e, r.w.now
			r.unread = float64(r.class.PromptTokens)
			e.start(r)
		}
	})
}

// turned handles an endpoint that did not run the request.
func (r *request) turned(attempt int, endpoint string, d wire.Done) {
	if attempt != r.attempt {
		return
	}
	r.done(d)
	r.exclude = append(r.exclude, endpoint)
	if r.sends >= mostTries || r.w.now > r.startBy() {
		r.refused(0)
		return
	}
	r.bind()
}

// broken handles an answer that has ended early.
func (r *request) broken(attempt int) {
	if attempt != r.attempt {
		return
	}
	r.attempt++
	endpoint := r.engine.id
	r.engine = nil
	r.again = true
	r.done(wire.Done{Fault: uint8(sched.BrokenResponse), Failed: true})
	r.exclude = append(r.exclude, endpoint)
	if !r.class.Resumable || r.sends >= mostTries {
		r.w.end(r, outcomeFailed)
		return
	}
	r.bind()
}

// refused handles a refusal: the caller comes back if it has the time.
func (r *request) refused(after time.Duration) {
	w := r.w
	left := r.came + r.class.Deadline - w.now
	if r.tokens > 0 {
		w.end(r, outcomeFailed)
		return
	}
	if r.tries >= r.class.CallerRetries || time.Duration(retryPart*float64(after)) > left {
		w.end(r, outcomeRefused)
		return
	}
	r.tries++
	w.after(max(after, hop), r.ask)
}

// token makes one token. It returns true after the last one.
func (r *request) token() bool {
	r.tokens++
	if r.tokens%r.class.TokensPerEvent != 0 {
		return false
	}
	now := r.w.now
	if !r.begun {
		r.begun, r.first = true, now
		first := now - r.sentAt
		id := r.id
		r.w.after(hop, func() {
			r.w.state.Started(r.w.now, host, wire.Started{ID: id, FirstMs: uint32(first.Milliseconds())})
			r.w.deliver()
		})
	} else if now-r.last > r.class.MaxPause {
		r.paused = true
	}
	r.last = now
	return r.tokens >= r.class.StreamEvents*r.class.TokensPerEvent
}

// finished ends a request whose answer is whole.
func (r *request) finished() {
	r.done(wire.Done{TotalMs: uint32(max((r.w.now - r.sentAt).Milliseconds(), 1))})
	first := r.first
	if r.class.StreamEvents == 0 {
		first = r.w.now
	}
	if r.paused || first-r.came > r.class.TargetLatency {
		r.w.end(r, outcomeLate)
		return
	}
	r.w.end(r, outcomeOnTime)
}

func (w *simulation) end(r *request, o outcome) {
	delete(w.calls, r.id)
	w.result.addOutcome(r, o)
}
