// Package dispatch is the queue of a cell: it binds waiting requests to endpoints when a slot is free.
//
// State is a deterministic state machine without goroutine, socket, clock or log. Time is the monotonic time since an
// arbitrary start. Invariants:
//   - a grant never takes an endpoint above its slots;
//   - every Ask gets exactly one final answer (Grant or Refuse), unless it is cancelled or its entry is lost;
//   - after an event, no waiting request can start at an endpoint that the event changed.
package dispatch

import (
	"math/rand/v2"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

// Config holds the bounds of a dispatcher. Zero fields get defaults.
type Config struct {
	Seed          uint64
	TotalLimit    int           // waiting requests in all, default 20000
	RebuildFor    time.Duration // longest rebuilding after a takeover, default 2 s
	RebuildShare  float64       // share of each endpoint's slots granted while rebuilding, default 0.5
	LostAfter     time.Duration // grants of a lost entry are released after it, default 30 s
	PreemptRate   float64       // preemptions per second, default 20
	MaxPreemption uint8         // preemptions of one request, default 3
	FirstCome     bool          // first come, first served without ranks and callers: a baseline for measurements
}

func (c *Config) defaults() {
	set(&c.TotalLimit, 20000)
	set(&c.RebuildFor, 2*time.Second)
	set(&c.RebuildShare, 0.5)
	set(&c.LostAfter, 30*time.Second)
	set(&c.PreemptRate, 20)
	set(&c.MaxPreemption, 3)
}

func set[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Output is a message to an entry, with the reason of the decision for a journal.
type Output struct {
	To           string // entry
	Kind         wire.Kind
	ID           uint64
	Endpoint     string // of a Grant
	RetryAfterMs uint32 // of a Refuse
	Decision     Decision
}

// Decision tells why a request got its endpoint or was refused.
type Decision struct {
	Caller, Rank, Model string
	Request             string // request id of the caller
	Reason              string
	WaitMs              uint32 // time in the queue, or predicted time for a refusal
	Candidates          int    // endpoints that could take the request
	Score               float64
}

// Message returns the wire message of an output.
func (o *Output) Message() wire.Message {
	switch o.Kind {
	case wire.KindQueued:
		return &wire.Queued{ID: o.ID}
	case wire.KindGrant:
		return &wire.Grant{ID: o.ID, Endpoint: o.Endpoint}
	case wire.KindRefuse:
		return &wire.Refuse{ID: o.ID, Reason: o.Decision.Reason, RetryAfterMs: o.RetryAfterMs}
	}
	return &wire.Preempt{ID: o.ID}
}

type key struct {
	entry string
	id    uint64
}

type status uint8

const (
	waiting status = iota
	running
	gone
)

type request struct {
	key
	ask        wire.Ask
	rank       *rank
	caller     *caller
	model      *model
	flow       *flow
	status     status
	asked      time.Duration
	deadline   time.Duration // 0 for none
	seq        uint64
	endpoint   *endpoint
	started    time.Duration
	cost       float64 // tokens charged at the grant
	preempting bool    // a Preempt was sent for it, or on its behalf while it waits
}

type rank struct {
	config.Rank
	index      int
	floorSlots float64
	used       int
	waiting    int
	vtime      float64 // start tag of the latest grant
	generated  float64 // mean generated tokens
}

// share is the state of one caller within one rank.
type share struct {
	tag     float64 // virtual time of its next grant
	waiting int
}

type caller struct {
	name       string
	weight     float64
	floorSlots float64
	used       int
	shares     []share // by rank index
}

type model struct {
	name      string
	residents []*endpoint
	flows     [][]*flow // by rank index: flows with waiting requests
	groups    []group   // by rank index
	arrivals  int       // since the last tick of the demand
	demand    float64   // expected slots in use, by arrivals and mean work
}

type endpoint struct {
	name     string
	zone     string
	slots    int
	cap      int // slots that may be granted now
	used     int
	usedBy   []int // by rank index
	reserved []int // by rank index: slots kept for more urgent ranks
	models   []*model
	running  []*request
	leaving  bool
	until    time.Duration // end of the ejection
	firstMs  float64       // mean time to first token
	pressure float64       // expected demand of the residents per slot
}

type entryState struct {
	zone string
	up   bool
	lost time.Duration
}

// State is the queue of a cell. It is not safe for concurrent use.
type State struct {
	cfg       Config
	now       time.Duration
	rng       *rand.Rand
	eject     *routing.Ejector
	ejected   int // endpoints whose ejection has not been seen to end
	view      *routing.View
	ranks     []*rank
	callers   map[string]*caller
	models    map[string]*model
	endpoints map[string]*endpoint
	order     []*endpoint // in the order of the placement
	flows     map[flowKey]*flow
	active    [][]*flow // by rank index: flows with waiting requests
	floored   []*caller // callers with a floor
	requests  map[key]*request
	deadlines deadlines
	entries   map[string]*entryState
	missing   map[string]bool // entries that have not answered since the takeover
	rebuild   time.Duration   // end of rebuilding, 0 if complete
	total     int             // slots of all endpoints
	waiting   int
	seq       uint64
	service   float64 // mean work of a request in seconds
	tokens    float64 // preemptions available
	demandAt  time.Duration
	out       []Output
}

// New returns a dispatcher that rebuilds its state from the given entries.
func New(now time.Duration, cfg Config, view *routing.View, entries []string) *State {
	cfg.defaults()
	s := &State{
		cfg: cfg, now: now, demandAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), eject: routing.NewEjector(cfg.Seed),
		entries: make(map[string]*entryState), missing: make(map[string]bool), requests: make(map[key]*request),
		endpoints: make(map[string]*endpoint), service: 1, tokens: 1,
	}
	for _, e := range entries {
		s.missing[e] = true
	}
	if len(entries) > 0 {
		s.rebuild = now + cfg.RebuildFor
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

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int { return s.waiting }

// Rebuilding tells whether the dispatcher still waits for entries after a takeover.
func (s *State) Rebuilding() bool { return s.rebuild > 0 }

func (s *State) emit(r *request, k wire.Kind, o Output) {
	o.To, o.Kind, o.ID = r.entry, k, r.id
	o.Decision.Caller, o.Decision.Rank, o.Decision.Model = r.caller.name, r.rank.Name, r.ask.Model
	o.Decision.Request = r.ask.Request
	s.out = append(s.out, o)
}
