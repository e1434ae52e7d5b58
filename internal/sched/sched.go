// Package sched is the queue of the fleet: it grants endpoints to requests, makes them wait, or refuses them.
//
// State is a deterministic state machine without goroutine, socket, clock or log. Time is the monotonic time since an
// arbitrary start. Unlike a queue of slots, it predicts the time to the first piece from the prompt tokens that an
// engine still has to read, so that a request is sent where its target can be met and waits here otherwise.
//
// Invariants:
//   - a grant never takes an endpoint above its slots or its memory for tokens;
//   - every Ask without Bound gets exactly one final answer (Grant or Refuse), unless it is cancelled or its host is lost;
//   - an endpoint that is draining or gone from the view gets no grant.
package sched

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// Config holds the settings of a dispatcher.
type Config struct {
	Seed        uint64
	RetryRatio  float64       // repeats that reach a service, per request for it
	RetryExtra  float64       // repeats allowed in a window beyond the ratio
	RetryWindow time.Duration // over which repeats are counted
	Rebuild     time.Duration // after the start, while other hosts' requests are not all known
}

const (
	rebuildShare = 0.5             // of an endpoint's slots that are granted while rebuilding
	lostAfter    = 2 * time.Second // grants of a host that left are forgotten after it: its requests ended or are known elsewhere
	maxWaiting   = 4096            // requests in all; bounds the memory of the queue
	minRetry     = 150 * time.Millisecond
	maxRetry     = 4 * time.Second
)

// Output is an answer to a host, with the inputs of the decision for the log.
type Output struct {
	To      string // host
	Message wire.Message
	Request string // id of the caller's request
	Reason  string
	WaitMs  int64 // time in the queue, or the predicted one of a refusal
	Waiting int   // requests that wait for the same model
}

type key struct {
	host string
	id   uint64
}

type request struct {
	key
	ask     wire.Ask
	model   *model
	asked   time.Duration
	target  time.Duration // the first piece is late after it
	startBy time.Duration // refused if it can't start before it
	endBy   time.Duration // the whole answer has to be there before it, 0 for no bound

	endpoint *endpoint // nil while it waits
	granted  time.Duration
	fresh    float64 // prompt tokens that the endpoint has to read for it
	reads    float64 // the same with those that it has to read before
	predict  float64 // predicted ms to the first piece
	started  bool    // first piece seen
	tokens   float64 // memory at the endpoint
}

type modelKey struct{ service, model string }

// notIndexed is the version of an index that was never made.
const notIndexed = ^uint64(0)

// model is the demand for a model, or for a plain service.
type model struct {
	key      modelKey
	at       []*endpoint // that serve it, sorted by id; see State.index
	indexed  uint64      // version of the index that at is of
	rate     capacity
	waiting  []*request
	running  int
	arrivals float64 // since the last measurement
	perSec   float64
	hold     float64 // mean seconds that a request holds its place
	fresh    float64 // mean prompt tokens that an endpoint has to read for a request
	tokens   float64 // mean tokens that a request takes in an endpoint's memory
}

type hostState struct {
	up   bool
	lost time.Duration
}

// State is the queue. It is not safe for concurrent use.
type State struct {
	cfg         Config
	rng         *rand.Rand
	now         time.Duration
	started     time.Duration
	view        *fleet.View
	endpoints   map[string]*endpoint
	order       []*endpoint // usable by id, sorted
	indexes     uint64      // version of what endpoints hold
	models      map[modelKey]*model
	requests    map[key]*request
	hosts       map[string]*hostState
	budgets     map[string]*Budget
	closing     map[wire.ModelCopy]bool
	loaded      []wire.ModelCopy
	changing    map[string]bool // endpoints that take no order for an adapter
	holder      string          // host that can load adapters, empty if there is none
	waiting     int
	scratch     []*model // of waitingFor
	measured    time.Duration
	paces       map[string]*pace       // by service
	generations map[string]*generation // by service
	ahead       map[string]float64     // ms for which an endpoint may be busy with prompts sent ahead, by service
	quietEnd    time.Duration          // latest time until which an endpoint wants nothing from a host
	out         []Output
	notes       []Note
}

// New returns a dispatcher that knows nothing of the requests in flight.
func New(now time.Duration, cfg Config, view *fleet.View) *State {
	s := &State{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 5)), now: now, started: now, measured: now,
		endpoints: make(map[string]*endpoint), models: make(map[modelKey]*model), requests: make(map[key]*request),
		hosts: make(map[string]*hostState), budgets: make(map[string]*Budget), closing: make(map[wire.ModelCopy]bool),
		changing: make(map[string]bool), paces: make(map[string]*pace), generations: make(map[string]*generation),
	}
	s.SetView(now, view)
	return s
}

// Take returns the outputs since the last call. They are valid until the next event.
func (s *State) Take() []Output {
	out := s.out
	s.out = s.out[:0]
	return out
}

// SetView applies a new list of endpoints and configuration. Requests keep their places.
func (s *State) SetView(now time.Duration, v *fleet.View) {
	s.now, s.view = now, v
	s.ahead = aheadLimits(v.Config)
	for _, e := range s.endpoints {
		e.present = false
	}
	s.order = s.order[:0]
	for i := range v.Endpoints {
		s.place(&v.Endpoints[i])
	}
	s.showLoaded()
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].id < s.order[j].id })
	s.indexes++
	for id, e := range s.endpoints {
		if !e.present && e.used == 0 {
			delete(s.endpoints, id)
		}
	}
	s.fillAll()
}

func (s *State) place(p *fleet.Endpoint) {
	e := s.endpoints[p.ID]
	if e == nil || e.born != p.Born {
		fresh := newEndpoint(p)
		if e != nil {
			fresh.used, fresh.kv = e.used, e.kv
		}
		e = fresh
		s.endpoints[p.ID] = e
	}
	e.apply(p, s.service(p.Service))
	e.pace = s.paceOf(p.Service)
	s.order = append(s.order, e)
}

func (s *State) service(name string) *fleet.Service {
	if s.view.Config == nil {
		return nil
	}
	return s.view.Config.Services[name]
}

// SetHolder takes over what the holder of the placement lease says of the endpoints. nil means that there is none: no
// adapter can be loaded.
func (s *State) SetHolder(now time.Duration, b *wire.HolderBeat) {
	s.now = now
	s.holder = ""
	if b == nil {
		return
	}
	s.holder = b.Host
	for _, a := range b.Evicted {
		if e := s.endpoints[a.Endpoint]; e != nil && e.running[copies.Adapter{Model: a.Model, Name: a.Adapter}] == 0 {
			e.forget(a.Model, a.Adapter)
		}
	}
	clear(s.closing)
	clear(s.changing)
	for _, c := range b.Unloading {
		s.closing[c] = true
	}
	for _, id := range b.Busy {
		s.changing[id] = true
	}
	s.loaded = append(s.loaded[:0], b.Loaded...)
	s.showLoaded()
	s.fillAll()
}

func (s *State) showLoaded() {
	for _, c := range s.loaded {
		if e := s.endpoints[c.Endpoint]; e != nil && e.models != nil && !e.models[c.Model] {
			e.models[c.Model] = true
			s.indexes++
		}
	}
}

// index returns the endpoints that serve a model. In a large fleet they are few of all, and each request looks at them.
func (s *State) index(m *model) []*endpoint {
	if m.indexed == s.indexes {
		return m.at
	}
	m.at = m.at[:0]
	for _, e := range s.order {
		if e.present && e.service == m.key.service && (e.engine == nil || e.models[m.key.model]) {
			m.at = append(m.at, e)
		}
	}
	m.indexed, m.rate.known = s.indexes, false
	return m.at
}

func (s *State) modelOf(a *wire.Ask) *model {
	k := modelKey{a.Service, a.Model}
	m := s.models[k]
	if m == nil {
		m = &model{key: k, hold: initialHold, indexed: notIndexed}
		if a.Model == "" {
			m.hold = initialPlainHold
		}
		s.models[k] = m
	}
	return m
}

// Ask adds a request: it is granted, queued or refused at once. One with Bound is only counted: its host has decided
// alone.
func (s *State) Ask(now time.Duration, host string, ask wire.Ask) {
	s.now = now
	k := key{host, ask.ID}
	if s.requests[k] != nil {
		return // a repeated message: the request has its answer or waits
	}
	m := s.modelOf(&ask)
	r := &request{key: k, ask: ask, model: m, asked: now}
	r.target = now + ms(ask.TargetMs)
	r.startBy = now + ms(ask.DeadlineMs)
	if ask.EndMs > 0 {
		r.endBy = now + ms(ask.EndMs)
	}
	b := s.budget(ask.Service)
	if !ask.Retry {
		b.First(now)
		r.model.arrivals++
	}
	if ask.ChosenEndpoint != "" {
		if ask.Retry {
			b.Spent(now, 1)
		}
		if e := s.endpoints[ask.ChosenEndpoint]; e != nil {
			s.occupy(r, e)
		}
		return
	}
	e := s.choose(r)
	wait := time.Duration(0)
	if e == nil {
		wait = s.predictWait(r)
	}
	switch {
	case e == nil && s.opensAt(r) > r.startBy:
		s.refuse(r, "its endpoints want nothing from the host for longer", s.opensAt(r)-now)
		return
	case e == nil && s.endsNowhere(r):
		s.refuse(r, "can't end in time", wait)
		return
	case e == nil && now+wait+s.ownFirst(r) > r.startBy:
		s.refuse(r, "can't start in time", wait)
		return
	case e == nil && s.waiting >= maxWaiting:
		s.refuse(r, "queue is full", wait)
		return
	case ask.Retry && !b.Repeat(now, budgetUse*s.cfg.RetryRatio, budgetUse*s.cfg.RetryExtra):
		s.refuse(r, "the budget of repeats is used up", 0)
		return
	case e != nil:
		s.grant(r, e)
		return
	}
	s.requests[k] = r
	r.model.waiting = append(r.model.waiting, r)
	s.waiting++
	s.emit(r, &wire.Queued{ID: ask.ID}, "", 0)
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

func (s *State) emit(r *request, m wire.Message, reason string, wait time.Duration) {
	s.out = append(s.out, Output{
		To: r.host, Message: m, Request: r.ask.Request, Reason: reason, WaitMs: wait.Milliseconds(),
		Waiting: len(r.model.waiting),
	})
}

// refuse answers a request that does not run. The times to return are spread, so that callers don't come back together.
func (s *State) refuse(r *request, reason string, wait time.Duration) {
	back := time.Duration(float64(max(wait, minRetry)) * (0.7 + 0.6*s.rng.Float64()))
	s.emit(r, &wire.Refuse{ID: r.id, Reason: reason, RetryAfterMs: uint32(min(back, maxRetry).Milliseconds())}, reason, wait)
}

func (s *State) grant(r *request, e *endpoint) {
	prepare := r.ask.Adapter != "" && !e.hasAdapter(r.ask.Model, r.ask.Adapter)
	r.predict = e.firstMs(r, s.now)
	used, wait := e.used, s.now-r.asked
	g := &wire.Grant{
		ID: r.id, Endpoint: e.id, Prepare: prepare, UsedSlots: uint16(used), Waiting: uint16(len(r.model.waiting)),
		QueueMs: uint32(wait.Milliseconds()), FirstMs: uint32(r.predict),
	}
	if prepare {
		g.Holder, g.Evict = s.holder, e.evict()
		g.Keep = e.known()
	}
	s.occupy(r, e)
	s.emit(r, g, "", wait)
}

func (s *State) occupy(r *request, e *endpoint) {
	s.requests[r.key] = r
	r.endpoint, r.granted = e, s.now
	r.model.running++
	e.take(r, s.now)
	if e.engine != nil {
		r.model.fresh += holdSmoothing * (r.fresh - r.model.fresh)
		r.model.tokens += holdSmoothing * (r.tokens - r.model.tokens)
	}
	e.health.granted(s.now)
}

// weight returns how many places of an endpoint a request for the model counts for, by what the endpoint has least of:
// places, time to read prompts, or memory for tokens. The load pattern that it answers: long prompts with short answers
// keep an engine busy while most of its places are free.
func (s *State) weight(m *model) float64 {
	svc := s.service(m.key.service)
	if svc == nil || svc.Engine == nil || m.key.model == "" {
		return 1
	}
	_, perToken := s.paceOf(m.key.service).fit()
	slots := float64(svc.Engine.Slots)
	w := slots * m.fresh * perToken / 1000 / max(m.hold, leastHold)
	if svc.Engine.KVTokens > 0 {
		w = max(w, slots*m.tokens/float64(svc.Engine.KVTokens))
	}
	return min(max(w, 1), max(slots, 1))
}

// vacate frees the place of a granted request and forgets it.
func (s *State) vacate(r *request) {
	delete(s.requests, r.key)
	r.model.running--
	r.endpoint.free(r)
	if !r.endpoint.present && r.endpoint.used == 0 && s.endpoints[r.endpoint.id] == r.endpoint {
		delete(s.endpoints, r.endpoint.id)
	}
}

func (s *State) dequeue(r *request) {
	delete(s.requests, r.key)
	i := slices.Index(r.model.waiting, r)
	r.model.waiting = slices.Delete(r.model.waiting, i, i+1)
	s.waiting--
}

// Cancel withdraws a waiting request or frees an unused grant.
func (s *State) Cancel(now time.Duration, host string, id uint64) {
	s.now = now
	if r := s.requests[key{host, id}]; r != nil {
		s.drop(r)
	}
}

func (s *State) drop(r *request) {
	if r.endpoint == nil {
		s.dequeue(r)
		return
	}
	e := r.endpoint
	s.vacate(r)
	s.fill(e)
}

// Started notes the first piece of a request's answer: its prompt has been read.
func (s *State) Started(now time.Duration, host string, m wire.Started) {
	s.now = now
	r := s.requests[key{host, m.ID}]
	if r == nil || r.endpoint == nil || r.started {
		return
	}
	e := r.endpoint
	e.read(r)
	if r.predict > 0 && !r.ask.Resumed {
		e.learnFirst(now, float64(m.FirstMs)/r.predict)
		if e.engine != nil {
			e.pace.learn(r.reads, float64(m.FirstMs))
		}
	}
	s.succeeded(e, host)
	s.fill(e)
}

func (s *State) succeeded(e *endpoint, host string) {
	if e.health.success(s.now, host) {
		s.note(e, false, NoFault)
	}
}

// Done frees the place of a request and learns from its outcome.
func (s *State) Done(now time.Duration, host string, d wire.Done) {
	s.now = now
	r := s.requests[key{host, d.ID}]
	if r == nil || r.endpoint == nil {
		return
	}
	e := r.endpoint
	s.vacate(r)
	s.learnGeneration(r, &d)
	s.budget(r.ask.Service).Spent(now, int(d.Resends))
	if d.RetryAfterMs > 0 {
		until := now + ms(d.RetryAfterMs)
		e.health.hush(host, until)
		s.quietEnd = max(s.quietEnd, until)
	}
	if d.Missing {
		e.forget(r.ask.Model, r.ask.Adapter)
		s.indexes++
	}
	fault := Fault(d.Fault)
	switch {
	case fault != NoFault:
		if e.health.failure(now, host, fault, func() bool { return s.mayEject(e) }) {
			s.note(e, true, fault)
		}
	case !d.Missing && d.TotalMs > 0:
		s.succeeded(e, host)
		r.model.hold += holdSmoothing * (float64(d.TotalMs)/1000 - r.model.hold)
		if e.engine == nil {
			e.learnFirst(now, float64(d.TotalMs)/1000/r.model.hold)
		}
	}
	s.fill(e)
}

// learnGeneration takes in what an outcome tells of the pace of an answer.
func (s *State) learnGeneration(r *request, d *wire.Done) {
	if d.Events < 2 || r.ask.Resumed {
		return
	}
	g := s.generationOf(r.ask.Service)
	if d.TotalMs > 0 && r.ask.ExpectedTokens > 0 {
		g.learn(output(&r.ask), float64(d.Events))
	}
	r.endpoint.learnPace(s.now, g, float64(d.Events), float64(d.StreamMs)/float64(d.Events-1))
}

// Tick refuses what can't start in time any more and serves what became possible. It is called every few tens of
// milliseconds.
func (s *State) Tick(now time.Duration) {
	s.now = now
	for _, m := range s.models {
		s.expire(m)
	}
	for name, h := range s.hosts {
		if !h.up && now-h.lost > lostAfter {
			delete(s.hosts, name)
			for _, r := range s.of(name) {
				s.drop(r)
			}
		}
	}
	s.measure()
	s.fillAll()
}

// expire refuses waiting requests whose time to start has passed, and late ones that won't start before it has.
func (s *State) expire(m *model) {
	if len(m.waiting) == 0 {
		return
	}
	queue := slices.Clone(m.waiting)
	slices.SortStableFunc(queue, func(a, b *request) int {
		switch {
		case s.before(a, b):
			return -1
		case s.before(b, a):
			return 1
		}
		return 0
	})
	var ahead ahead
	for _, r := range queue {
		late := s.late(r)
		wait := s.waitBehind(r, ahead)
		reason := ""
		switch {
		case s.opensAt(r) > r.startBy:
			reason = "its endpoints want nothing from the host for longer"
		case s.now+s.ownFirst(r) >= r.startBy:
			reason = "waited until it could not start in time"
		case s.endsNowhere(r):
			reason = "can't end in time any more"
		case late && s.now+wait > r.startBy:
			reason = "late, and arrivals leave no capacity"
		default:
			ahead.add(r, late)
			continue
		}
		s.dequeue(r)
		s.refuse(r, reason, wait)
	}
}

// measure estimates arrivals per second over the last half second.
func (s *State) measure() {
	dt := (s.now - s.measured).Seconds()
	if dt < measureEvery.Seconds() {
		return
	}
	s.measured = s.now
	for _, m := range s.models {
		m.perSec += rateSmoothing * (m.arrivals/dt - m.perSec)
		m.arrivals = 0
	}
	for _, e := range s.endpoints {
		e.relax(s.now)
	}
}

// HostUp records a connection of a host. Its Resync follows.
func (s *State) HostUp(now time.Duration, host string) {
	s.now = now
	s.hosts[host] = &hostState{up: true}
}

// HostDown records that the connection of a host ended. Its waiting requests are forgotten, because it asks elsewhere.
func (s *State) HostDown(now time.Duration, host string) {
	s.now = now
	if h := s.hosts[host]; h != nil {
		h.up, h.lost = false, now
	}
	for _, r := range s.of(host) {
		if r.endpoint == nil {
			s.dequeue(r)
		}
	}
}

// Resync replaces what is known of a host's requests.
func (s *State) Resync(now time.Duration, host string, m wire.Resync) {
	s.now = now
	for _, r := range s.of(host) {
		if r.endpoint == nil {
			s.dequeue(r)
		} else {
			s.vacate(r)
		}
	}
	for _, x := range m.Running {
		k := key{host, x.Ask.ID}
		if e := s.endpoints[x.Endpoint]; e != nil && s.requests[k] == nil {
			s.occupy(&request{key: k, ask: x.Ask, model: s.modelOf(&x.Ask), asked: now}, e)
		}
		if x.Ask.Retry {
			s.budget(x.Ask.Service).Spent(now, 1) // another dispatcher may have allowed it
		}
	}
	for _, a := range m.Waiting {
		s.Ask(now, host, a)
	}
	s.fillAll()
}

// of returns the requests of a host in the order of their ids.
func (s *State) of(host string) []*request {
	var out []*request
	for k, r := range s.requests {
		if k.host == host {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// Load returns what the dispatcher knows of endpoints and demand.
func (s *State) Load() wire.FleetState {
	f := wire.FleetState{}
	for _, h := range s.hosts {
		if h.up {
			f.Hosts++
		}
	}
	for _, e := range s.order {
		f.Endpoints = append(f.Endpoints, wire.EndpointLoad{Endpoint: e.id, UsedSlots: uint16(e.used), Down: e.health.down(s.now)})
	}
	copies := s.copiesInUse()
	for _, m := range s.models {
		f.Models = append(f.Models, wire.ModelLoad{
			Service: m.key.service, Model: m.key.model, Running: uint16(m.running), Waiting: uint16(len(m.waiting)),
			ArrivalsPerSec: float32(m.perSec), MeanHoldSec: float32(m.hold), Copies: copies[m.key],
		})
	}
	for i := range f.Models {
		m := &f.Models[i]
		if w := s.weight(s.models[modelKey{m.Service, m.Model}]); w > 1 {
			f.Weights = append(f.Weights, wire.ModelWeight{Service: m.Service, Model: m.Model, SlotsPerRequest: float32(w)})
		}
	}
	sort.Slice(f.Models, func(i, j int) bool {
		a, b := &f.Models[i], &f.Models[j]
		return a.Service < b.Service || a.Service == b.Service && a.Model < b.Model
	})
	return f
}

// copiesInUse returns the granted requests at each endpoint, by model.
func (s *State) copiesInUse() map[modelKey][]wire.CopyUse {
	out := make(map[modelKey][]wire.CopyUse)
	for _, e := range s.order {
		for name, n := range e.byModel {
			k := modelKey{e.service, name}
			out[k] = append(out[k], wire.CopyUse{Endpoint: e.id, Running: uint16(n)})
		}
	}
	return out
}

// Waiting returns the number of requests in the queue.
func (s *State) Waiting() int { return s.waiting }
