// Package sched implements the dispatcher's request queue: it assigns requests to endpoints, queues them, or refuses them.
//
// State is a deterministic state machine: it starts no goroutines and uses no sockets, clocks or loggers. Callers pass the
// time as a duration since an arbitrary start of a monotonic clock. A scheduler that only counts slots ignores that long
// prompts occupy an engine; State also predicts the time to the first token from the prompt tokens that an engine still
// has to process. A request is sent to an endpoint that can meet its target, and otherwise waits in the queue.
//
// Invariants:
//   - a grant never exceeds the slots or the KV cache of an endpoint;
//   - every Ask without ChosenEndpoint gets exactly one final answer (Grant or Refuse), unless it is cancelled or its host is lost;
//   - an endpoint that is draining or missing from the view gets no grants.
package sched

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/copies"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// Config holds the settings of a State.
type Config struct {
	Seed            uint64
	Retries         RetryLimits
	Quotas          QuotaSettings
	RebuildDuration time.Duration // time after the start during which requests of some hosts may still be unknown
}

const (
	rebuildSlotShare  = 0.5             // share of an endpoint's slots that may be granted during Config.RebuildDuration
	hostLossTimeout   = 2 * time.Second // until a disconnected host's requests are dropped; they ended, or another dispatcher has them
	maxQueuedRequests = 4096            // requests in the queue; bounds its memory
	// holderReportLife is how long the last report of a holder counts after the holder is gone: an order that it gave shows
	// in the list of endpoints by then, and one that it did not give would keep a copy from use until the next holder.
	holderReportLife = 2 * time.Second
)

// Output is a message to a host, with the inputs of the decision for the log.
type Output struct {
	To        string // name of the host
	Message   wire.Message
	RequestID string // the caller's request id
	Reason    string
	WaitMs    int64 // time spent in the queue; for a refusal, the predicted wait
	Waiting   int   // number of requests waiting for the same model
}

type requestKey struct {
	host string
	id   uint64
}

type request struct {
	requestKey
	ask     wire.Ask
	model   *model
	askedAt time.Duration
	target  time.Duration // a first token after this is late
	startBy time.Duration // the request is refused if it can't start before this
	endBy   time.Duration // time by which the answer must be complete, 0 for no limit

	endpoint        *endpoint // assigned endpoint, nil while the request waits
	grantedAt       time.Duration
	uncachedTokens  float64 // prompt tokens that are not cached at the endpoint
	tokensToPrefill float64 // uncached tokens of this request and of the prompts queued before it
	predictedMs     float64 // predicted time to the first token
	started         bool    // the first token has arrived
	onTrial         bool    // its prompt has suspected parts, and its answer has not begun
	kvTokens        float64 // KV cache tokens reserved at the endpoint
	lent            bool    // it is a retry of the shared part, see retryLoans
	charge          quotaCharge
}

type modelKey struct{ service, model string }

// notIndexed is the index version of a model whose endpoints have not been indexed yet.
const notIndexed = ^uint64(0)

// model holds the demand for one model, or for a plain service, whose model name is empty.
type model struct {
	key            modelKey
	endpoints      []*endpoint // endpoints that serve the model, sorted by id; see State.endpointsOf
	indexVersion   uint64      // value of State.indexVersion for which endpoints was built
	capacity       capacity
	waiting        []*request
	running        int
	arrivals       float64 // first sends since the last measurement
	arrivalsPerSec float64
	onTime         float64 // arrivals since the last measurement that could meet their target
	onTimePerSec   float64
	meanOnTime     float64              // mean of onTimePerSec over some spikes
	told           map[uint8]*toldTimes // when refused callers were told to come back, by rank
	holdSec        float64              // mean seconds that a request occupies its slot
	uncachedTokens float64              // mean uncached prompt tokens per request
	kvTokens       float64              // mean KV cache tokens per request
}

// hostState records whether a host is connected.
type hostState struct {
	up             bool
	connectedAt    time.Duration
	heardAt        time.Duration // of its last message
	countedAt      time.Duration // up to which quotas have been refilled for it
	active         bool          // it is counted in quotas.active
	disconnectedAt time.Duration
}

// State holds the queue and what the dispatcher knows of hosts and endpoints. It is not safe for concurrent use.
type State struct {
	cfg               Config
	rng               *rand.Rand
	now               time.Duration
	startedAt         time.Duration
	view              *fleet.View
	endpoints         map[string]*endpoint
	sortedEndpoints   []*endpoint // endpoints of the current view, sorted by id
	indexVersion      uint64      // incremented when the models held by endpoints change
	models            map[modelKey]*model
	modelOrder        []*model // the same models in the order of their creation, so that decisions don't depend on a map's
	requests          map[requestKey]*request
	hosts             map[string]*hostState
	retries           retryLoans
	closingCopies     map[wire.ModelCopy]bool
	loadedCopies      []wire.ModelCopy
	changingEndpoints map[string]bool // endpoints that accept no order to load an adapter
	holder            string          // host that can load adapters, empty if none
	holderReportedAt  time.Duration   // time of the last report of a holder
	waiting           int
	scratch           []*model  // buffer reused by waitingFor
	shares            []float64 // buffer reused by workShare
	measuredAt        time.Duration
	prefillEstimates  map[string]*prefillEstimate // by service
	serviceEstimates  map[string]*serviceEstimate // by service
	backlogLimits     map[string]float64          // maximum prefill backlog of an endpoint in ms, by service
	latestQuietEnd    time.Duration               // latest time in any health.quietUntil
	out               []Output
	healthChanges     []HealthChange
	lostRequests      []LostRequest
	quarantine        *Quarantine
	limits            map[string]*rateLimit // by endpoint, also of endpoints that are not listed
	limitVersion      uint64
	limitChanges      []LimitChange
	quotas            quotas
	refusedTargets    map[returnKey]time.Duration // targets of refused requests whose callers may come back
}

// New returns a State without any requests. Requests in flight are added by Resync.
func New(now time.Duration, cfg Config, view *fleet.View) *State {
	s := &State{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 5)), now: now, startedAt: now, measuredAt: now,
		endpoints: make(map[string]*endpoint), models: make(map[modelKey]*model), requests: make(map[requestKey]*request),
		hosts: make(map[string]*hostState), closingCopies: make(map[wire.ModelCopy]bool),
		changingEndpoints: make(map[string]bool), prefillEstimates: make(map[string]*prefillEstimate),
		serviceEstimates: make(map[string]*serviceEstimate), refusedTargets: make(map[returnKey]time.Duration),
		quarantine: NewQuarantine(), limits: make(map[string]*rateLimit),
		retries: retryLoans{limits: cfg.Retries, ledgers: make(map[string]*retryLedger)},
		quotas:  quotas{byAccount: make(map[string]*quota), credited: make(map[string]struct{}), advancedAt: now},
	}
	s.SetView(now, view)
	return s
}

// TakeOutputs returns the outputs since the previous call. The slice is valid until the next event.
func (s *State) TakeOutputs() []Output {
	out := s.out
	s.out = s.out[:0]
	return out
}

// SetView applies a new endpoint list and configuration. Requests keep their slots and their positions in the queue.
func (s *State) SetView(now time.Duration, v *fleet.View) {
	s.now, s.view = now, v
	s.advanceQuotas(now)
	s.forgetQuotas()
	s.backlogLimits = deriveBacklogLimits(v.Config)
	for _, e := range s.endpoints {
		e.present = false
	}
	s.sortedEndpoints = s.sortedEndpoints[:0]
	for i := range v.Endpoints {
		s.applyEndpoint(&v.Endpoints[i])
	}
	s.markLoadedCopies()
	sort.Slice(s.sortedEndpoints, func(i, j int) bool { return s.sortedEndpoints[i].id < s.sortedEndpoints[j].id })
	s.indexVersion++
	s.observeEnds()
	for id, e := range s.endpoints {
		if !e.present && e.usedSlots == 0 {
			delete(s.endpoints, id)
		}
	}
	s.fillAllEndpoints()
}

// applyEndpoint updates an endpoint from its entry in the view. A server that restarted under the same id starts with fresh
// estimates, but keeps the slots and KV cache tokens of the requests that are still granted there.
func (s *State) applyEndpoint(p *fleet.Endpoint) {
	e := s.endpoints[p.ID]
	if e == nil || e.born != p.StartUnixMs {
		replacement := newEndpoint(p)
		if e != nil {
			replacement.usedSlots, replacement.kvTokens = e.usedSlots, e.kvTokens
			e.successor = replacement
		}
		e = replacement
		s.endpoints[p.ID] = e
	}
	e.apply(p, s.service(p.Service))
	e.prefill = s.prefillEstimateOf(p.Service)
	e.limit = s.limits[p.ID]
	s.sortedEndpoints = append(s.sortedEndpoints, e)
}

// service returns the configuration of a service, or nil if it is unknown.
func (s *State) service(name string) *fleet.Service {
	if s.view.Config == nil {
		return nil
	}
	return s.view.Config.Services[name]
}

// SetHolder applies the state that the placement lease holder reports about the endpoints. A nil report means that there is
// no holder, so that no adapter can be loaded. What the last holder reported about copies is forgotten after
// holderReportLife.
func (s *State) SetHolder(now time.Duration, b *wire.HolderBeat) {
	s.now = now
	s.holder = ""
	if b == nil {
		if now-s.holderReportedAt > holderReportLife && len(s.closingCopies)+len(s.changingEndpoints)+len(s.loadedCopies) > 0 {
			clear(s.closingCopies)
			clear(s.changingEndpoints)
			s.loadedCopies = s.loadedCopies[:0]
			s.fillAllEndpoints()
		}
		return
	}
	s.holder, s.holderReportedAt = b.Host, now
	for _, a := range b.Evicted {
		if e := s.endpoints[a.Endpoint]; e != nil && e.requestsByAdapter[copies.Adapter{Model: a.Model, Name: a.Adapter}] == 0 {
			e.markMissing(a.Model, a.Adapter)
		}
	}
	clear(s.closingCopies)
	clear(s.changingEndpoints)
	for _, c := range b.Unloading {
		s.closingCopies[c] = true
	}
	for _, id := range b.Busy {
		s.changingEndpoints[id] = true
	}
	s.loadedCopies = append(s.loadedCopies[:0], b.Loaded...)
	s.markLoadedCopies()
	s.fillAllEndpoints()
}

// markLoadedCopies adds the copies that the holder reported as loaded, because the platform's list may not show them yet.
func (s *State) markLoadedCopies() {
	for _, c := range s.loadedCopies {
		if e := s.endpoints[c.Endpoint]; e != nil && e.models != nil && !e.models[c.Model] {
			e.models[c.Model] = true
			s.indexVersion++
		}
	}
}

// endpointsOf returns the endpoints that serve a model. The list is cached, because every request scans it and in a large
// fleet only few endpoints serve a given model.
func (s *State) endpointsOf(m *model) []*endpoint {
	if m.indexVersion == s.indexVersion {
		return m.endpoints
	}
	m.endpoints = m.endpoints[:0]
	for _, e := range s.sortedEndpoints {
		if e.present && e.service == m.key.service && (e.engine == nil || e.models[m.key.model]) {
			m.endpoints = append(m.endpoints, e)
		}
	}
	m.indexVersion, m.capacity.valid = s.indexVersion, false
	return m.endpoints
}

// modelOf returns the model of a request, and creates it if needed.
func (s *State) modelOf(a *wire.Ask) *model {
	k := modelKey{a.Service, a.Model}
	m := s.models[k]
	if m == nil {
		m = &model{key: k, holdSec: initialHoldSec, indexVersion: notIndexed}
		if a.Model == "" {
			m.holdSec = initialPlainHoldSec
		}
		s.models[k] = m
		s.modelOrder = append(s.modelOrder, m)
	}
	return m
}

// Ask adds a request, which is granted, queued or refused immediately. A request with ChosenEndpoint is only counted, because its
// host has already chosen the endpoint.
func (s *State) Ask(now time.Duration, host string, ask wire.Ask) {
	s.hear(now, host)
	k := requestKey{host, ask.ID}
	if s.requests[k] != nil {
		return // duplicate message: the request has been granted or is waiting
	}
	m := s.modelOf(&ask)
	r := &request{requestKey: k, ask: ask, model: m, askedAt: now}
	r.target = now + ms(ask.TargetMs)
	r.startBy = now + ms(ask.DeadlineMs)
	if ask.EndMs > 0 {
		r.endBy = now + ms(ask.EndMs)
	}
	s.restoreTarget(r)
	if ask.ChosenEndpoint == "" && s.refuseIfBlocked(r) {
		return // it is no demand for the model
	}
	if ask.Speculative && ask.ChosenEndpoint == "" {
		s.askSpeculative(r)
		return
	}
	if !s.chargeQuota(r) {
		return // an account over its limit is no demand for the model either
	}
	s.admit(r)
	if s.requests[k] != r && ask.ChosenEndpoint == "" {
		s.refundQuota(r) // it was refused
	}
}

// admit grants, queues or refuses a request within its account's quota.
func (s *State) admit(r *request) {
	ask, m := &r.ask, r.model
	if !ask.Retry {
		m.arrivals++
		if !s.late(r) {
			m.onTime++
		}
	}
	if ask.ChosenEndpoint != "" {
		if e := s.endpoints[ask.ChosenEndpoint]; e != nil {
			s.assign(r, e)
			s.takeFromLimit(e, 1)
		}
		return
	}
	e := s.choose(r)
	wait := time.Duration(0)
	if e == nil {
		wait = s.predictWait(r)
	}
	switch {
	case e == nil && s.acceptsAgainAt(r) > r.startBy:
		s.refuse(r, "its endpoints want nothing from the host for longer", s.acceptsAgainAt(r)-s.now)
		return
	case e == nil && s.noEndpointEndsInTime(r):
		s.refuse(r, "can't end in time", wait)
		return
	case e == nil && s.now+wait+s.idleFirstToken(r) > r.startBy:
		s.refuse(r, "can't start in time", wait)
		return
	case e == nil && s.waiting >= maxQueuedRequests:
		s.refuse(r, "queue is full", wait)
		return
	case !s.lendRetry(r):
		s.refuse(r, RetriesUsedReason, 0)
		return
	case e != nil:
		s.grant(r, e)
		return
	}
	s.requests[r.requestKey] = r
	r.model.waiting = append(r.model.waiting, r)
	s.waiting++
	s.emit(r, &wire.Queued{ID: ask.ID}, "", 0)
}

func ms(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// emit appends a message to the outputs for the host of a request.
func (s *State) emit(r *request, m wire.Message, reason string, wait time.Duration) {
	s.out = append(s.out, Output{
		To: r.host, Message: m, RequestID: r.ask.Request, Reason: reason, WaitMs: wait.Milliseconds(),
		Waiting: len(r.model.waiting),
	})
}

// grant assigns an endpoint to a request and sends the Grant. If the adapter has to be loaded, the Grant names the holder
// and the adapter to unload.
func (s *State) grant(r *request, e *endpoint) {
	prepare := r.ask.Adapter != "" && !e.hasAdapter(r.ask.Model, r.ask.Adapter)
	r.predictedMs = e.firstTokenMs(r, s.now)
	used, wait := e.usedSlots, s.now-r.askedAt
	g := &wire.Grant{
		ID: r.id, Endpoint: e.id, Prepare: prepare, UsedSlots: uint16(used), Waiting: uint16(len(r.model.waiting)),
		QueueMs: uint32(wait.Milliseconds()), FirstMs: uint32(r.predictedMs),
	}
	sends := 1
	if prepare {
		g.Holder, g.Evict = s.holder, e.evictAdapter()
		g.Keep = e.loadedAdapters()
		if sends++; g.Evict.Model != "" {
			sends++
		}
	}
	s.takeFromLimit(e, sends)
	s.assign(r, e)
	s.startTrial(r)
	s.emit(r, g, "", wait)
}

// assign takes a slot of an endpoint for a request.
func (s *State) assign(r *request, e *endpoint) {
	s.requests[r.requestKey] = r
	r.endpoint, r.grantedAt = e, s.now
	r.model.running++
	e.addRequest(r, s.now)
	s.chargeShare(r)
	if e.engine != nil {
		r.model.uncachedTokens += holdSmoothing * (r.uncachedTokens - r.model.uncachedTokens)
		r.model.kvTokens += holdSmoothing * (r.kvTokens - r.model.kvTokens)
	}
	e.health.granted(s.now)
}

// weight returns how many slots of an endpoint a request for the model counts for, according to the scarcest resource of
// the endpoint: slots, prefill time, or KV cache. Counting slots alone is not enough: long prompts with short answers keep
// an engine busy while most of its slots are free.
func (s *State) weight(m *model) float64 {
	svc := s.service(m.key.service)
	if svc == nil || svc.Engine == nil || m.key.model == "" {
		return 1
	}
	_, perToken := s.prefillEstimateOf(m.key.service).fit()
	slots := float64(svc.Engine.Slots)
	w := slots * m.uncachedTokens * perToken / 1000 / max(m.holdSec, minHoldSec)
	if svc.Engine.KVTokens > 0 {
		w = max(w, slots*m.kvTokens/float64(svc.Engine.KVTokens))
	}
	return min(max(w, 1), max(slots, 1))
}

// release frees the slot of a granted request and deletes the request.
func (s *State) release(r *request) {
	delete(s.requests, r.requestKey)
	s.endTrial(r)
	s.settleRetry(r)
	r.model.running--
	e := r.endpoint
	e.removeRequest(r)
	for e.successor != nil { // its count includes the requests of the processes before it
		e = e.successor
		e.usedSlots, e.kvTokens = max(e.usedSlots-1, 0), max(e.kvTokens-r.kvTokens, 0)
	}
	if !e.present && e.usedSlots == 0 && s.endpoints[e.id] == e {
		delete(s.endpoints, e.id)
	}
}

// dequeue removes a request from the queue that is not sent.
func (s *State) dequeue(r *request) {
	s.unqueue(r)
	s.releaseRetry(r)
	s.refundQuota(r)
}

// unqueue removes a request from the queue.
func (s *State) unqueue(r *request) {
	delete(s.requests, r.requestKey)
	i := slices.Index(r.model.waiting, r)
	r.model.waiting = slices.Delete(r.model.waiting, i, i+1)
	s.waiting--
}

// Cancel withdraws a waiting request or frees an unused grant.
func (s *State) Cancel(now time.Duration, host string, id uint64) {
	s.hear(now, host)
	if r := s.requests[requestKey{host, id}]; r != nil {
		if !r.started {
			s.refundQuota(r)
		}
		s.removeRequest(r)
	}
}

// removeRequest removes a request from the queue, or frees its slot for waiting requests.
func (s *State) removeRequest(r *request) {
	if r.endpoint == nil {
		s.dequeue(r)
		return
	}
	e := r.endpoint
	s.release(r)
	s.fill(e)
}

// Started records that the first token of a request arrived, which means that its prompt has been processed.
func (s *State) Started(now time.Duration, host string, m wire.Started) {
	s.hear(now, host)
	r := s.requests[requestKey{host, m.ID}]
	if r == nil || r.endpoint == nil || r.started {
		return
	}
	e := r.endpoint
	s.quarantine.Began(r.ask.PromptParts)
	s.quarantine.Alive(now, e.id, e.born, r.grantedAt)
	s.endTrial(r)
	s.settleRetry(r)
	e.markPrefilled(r)
	if r.predictedMs > 0 && !r.ask.Resumed {
		e.updateSlowness(now, float64(m.FirstMs)/r.predictedMs)
		if e.engine != nil {
			e.prefill.observe(r.tokensToPrefill, float64(m.FirstMs))
		}
	}
	s.succeeded(e, host)
	s.fill(e)
}

// succeeded records a success of an endpoint in its health.
func (s *State) succeeded(e *endpoint, host string) {
	if e.health.success(s.now, host) {
		s.recordHealthChange(e, false, NoFault)
	}
}

// Done frees the slot of a request and updates the estimates and the endpoint's health from its outcome.
func (s *State) Done(now time.Duration, host string, d wire.Done) {
	s.hear(now, host)
	r := s.requests[requestKey{host, d.ID}]
	if r == nil || r.endpoint == nil {
		return
	}
	e, onTrial, started := r.endpoint, r.onTrial, r.started
	s.release(r)
	if attempt.Outcome(d.Outcome).NotExecuted() {
		s.refundQuota(r)
	}
	s.observeGeneration(r, &d)
	s.observeRun(r, &d)
	s.takeFromLimit(e, int(d.Resends))
	if d.RetryAfterMs > 0 {
		until := now + ms(d.RetryAfterMs)
		e.health.setQuiet(host, until)
		s.latestQuietEnd = max(s.latestQuietEnd, until)
	}
	if d.Missing {
		e.markMissing(r.ask.Model, r.ask.Adapter)
		s.indexVersion++
	}
	if d.ConnectionLost && d.Events == 0 && len(r.ask.PromptParts) > 0 {
		s.lostRequests = append(s.lostRequests, LostRequest{Endpoint: e.id, RequestID: r.ask.Request, Host: host, Parts: r.ask.PromptParts})
	}
	if !started {
		s.observeCrash(r, &d, onTrial)
	}
	fault := Fault(d.Fault)
	switch {
	case onTrial && d.ConnectionLost: // says more about the prompt than about the endpoint
	case fault != NoFault:
		if e.health.failure(now, host, fault, func() bool { return s.mayEject(e) }) {
			s.recordHealthChange(e, true, fault)
		}
	case !d.Missing && d.TotalMs > 0:
		s.succeeded(e, host)
		r.model.holdSec += holdSmoothing * (float64(d.TotalMs)/1000 - r.model.holdSec)
		if e.engine == nil {
			e.updateSlowness(now, float64(d.TotalMs)/1000/r.model.holdSec)
		}
	}
	s.fill(e)
}

// LostRequest is a request with a prompt whose endpoint ended the connection before its answer began, for the log.
type LostRequest struct {
	Endpoint, RequestID, Host string
	Parts                     []wire.PromptPart
}

// TakeLostRequests returns the lost requests since the previous call. The slice is valid until the next event.
func (s *State) TakeLostRequests() []LostRequest {
	out := s.lostRequests
	s.lostRequests = s.lostRequests[:0]
	return out
}

// observeGeneration updates the estimates of answer length and event time from a finished attempt.
func (s *State) observeGeneration(r *request, d *wire.Done) {
	if d.Events < 2 || r.ask.Resumed {
		return
	}
	g := s.serviceEstimateOf(r.ask.Service)
	if d.TotalMs > 0 && r.ask.ExpectedTokens > 0 {
		g.observe(outputTokens(&r.ask), float64(d.Events))
	}
	r.endpoint.observeEventMs(s.now, g, float64(d.Events), float64(d.StreamMs)/float64(d.Events-1))
}

// Tick refuses waiting requests that can no longer start in time, drops the requests of lost hosts, and grants free slots.
// It is called every few tens of milliseconds.
func (s *State) Tick(now time.Duration) {
	s.now = now
	s.advanceQuotas(now)
	s.countQuotaHosts()
	for _, m := range s.modelOrder {
		s.refuseExpired(m)
	}
	for name, h := range s.hosts {
		if !h.up && now-h.disconnectedAt > hostLossTimeout {
			delete(s.hosts, name)
			for _, r := range s.requestsOf(name) {
				s.removeRequest(r)
			}
		}
	}
	s.measure()
	s.fillAllEndpoints()
}

// measure updates the arrival rates from the time since the last measurement, and decays the slowness of endpoints.
func (s *State) measure() {
	dt := (s.now - s.measuredAt).Seconds()
	if dt < measureEvery.Seconds() {
		return
	}
	s.measuredAt = s.now
	s.forgetTargets()
	s.forgetServiceEstimates()
	s.quarantine.forget(s.now)
	s.forgetLimits()
	for _, m := range s.modelOrder {
		m.arrivalsPerSec += arrivalSmoothing * (m.arrivals/dt - m.arrivalsPerSec)
		m.meanOnTime = smoothed(m.meanOnTime, m.onTimePerSec, spikeSmoothing)
		m.onTimePerSec += arrivalSmoothing * (m.onTime/dt - m.onTimePerSec)
		m.arrivals, m.onTime = 0, 0
	}
	for _, e := range s.endpoints {
		e.decaySlowness(s.now)
	}
}

// HostUp records that a host connected. The host sends a Resync next.
func (s *State) HostUp(now time.Duration, host string) {
	s.now = now
	s.advanceQuotas(now)
	s.hosts[host] = &hostState{up: true, connectedAt: now, heardAt: now, countedAt: now}
	s.creditQuotas(host)
	s.countQuotaHosts()
}

// hear records the time of a message from a host.
func (s *State) hear(now time.Duration, host string) {
	s.now = now
	s.advanceQuotas(now)
	if h := s.hosts[host]; h != nil {
		s.refillQuotas(h)
		h.heardAt = now
	}
}

// HostDown records that the connection of a host ended. Its waiting requests are removed, because the host sends them to
// another dispatcher.
func (s *State) HostDown(now time.Duration, host string) {
	s.now = now
	s.advanceQuotas(now)
	if h := s.hosts[host]; h != nil {
		h.up, h.disconnectedAt = false, now
	}
	s.countQuotaHosts()
	for _, r := range s.requestsOf(host) {
		if r.endpoint == nil {
			s.dequeue(r)
		}
	}
}

// Resync replaces all known requests of a host by those in the message.
func (s *State) Resync(now time.Duration, host string, m wire.Resync) {
	s.hear(now, host)
	charges := make(map[uint64]quotaCharge)
	for _, r := range s.requestsOf(host) {
		if r.endpoint == nil {
			s.dequeue(r)
		} else {
			s.release(r)
			charges[r.id] = r.charge
		}
	}
	for _, x := range m.Running {
		k := requestKey{host, x.Ask.ID}
		if e := s.endpoints[x.Endpoint]; e != nil && s.requests[k] == nil {
			s.assign(&request{requestKey: k, ask: x.Ask, model: s.modelOf(&x.Ask), askedAt: now, charge: charges[x.Ask.ID]}, e)
		}
	}
	s.MergeQuarantine(now, m.Quarantine)
	for _, l := range m.Limits {
		if s.limits[l.Endpoint] == nil { // otherwise known from an answer, or from another host
			s.SetLimit(now, l)
		}
	}
	for _, a := range m.Waiting {
		s.Ask(now, host, a)
	}
	s.fillAllEndpoints()
}

// requestsOf returns the requests of a host, sorted by id.
func (s *State) requestsOf(host string) []*request {
	var out []*request
	for k, r := range s.requests {
		if k.host == host {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// FleetState returns the current load of the endpoints and the demand for each model.
func (s *State) FleetState() wire.FleetState {
	f := wire.FleetState{}
	for _, h := range s.hosts {
		if h.up {
			f.Hosts++
		}
	}
	for _, e := range s.sortedEndpoints {
		f.Endpoints = append(f.Endpoints, wire.EndpointLoad{Endpoint: e.id, UsedSlots: uint16(e.usedSlots), Down: e.health.down(s.now)})
	}
	uses := s.copiesInUse()
	for _, m := range s.modelOrder {
		f.Models = append(f.Models, wire.ModelLoad{
			Service: m.key.service, Model: m.key.model, Running: uint16(m.running), Waiting: uint16(len(m.waiting)),
			ArrivalsPerSec: float32(m.arrivalsPerSec), MeanHoldSec: float32(m.holdSec), Copies: uses[m.key],
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

// copiesInUse returns the number of granted requests at each endpoint, by model.
func (s *State) copiesInUse() map[modelKey][]wire.CopyUse {
	out := make(map[modelKey][]wire.CopyUse)
	for _, e := range s.sortedEndpoints {
		for name, n := range e.requestsByModel {
			k := modelKey{e.service, name}
			out[k] = append(out[k], wire.CopyUse{Endpoint: e.id, Running: uint16(n)})
		}
	}
	return out
}

// Waiting returns the number of requests in the queue.
func (s *State) Waiting() int { return s.waiting }
