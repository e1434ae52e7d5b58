// Package claimstore runs the claim shards of a control process: it feeds the state machines of package claims and does
// their I/O with the platform.
package claimstore

import (
	"context"
	"sync"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/claims"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	inputs       = 1024 // messages that wait for one shard
	tickInterval = time.Second
)

// Deps are what the store needs from its process.
type Deps struct {
	Store     objects.Store
	Retention time.Duration // how long a key is remembered at least; 0 for claims.DefaultRetention
	Log       telemetry.Logger
}

// ClaimStore serves all shards. Any control process may serve any shard at any time.
type ClaimStore struct {
	deps   Deps
	shards [claims.Shards]*shard
}

// New returns a store that takes messages once Run has started.
func New(deps Deps) *ClaimStore {
	s := &ClaimStore{deps: deps}
	for i := range s.shards {
		s.shards[i] = newShard(i, deps)
	}
	return s
}

// Run serves the shards until ctx ends. It costs no call of the platform while no claims arrive, except to drop
// segments whose retention is over.
func (s *ClaimStore) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, sh := range s.shards {
		wg.Go(func() { sh.run(ctx) })
		wg.Go(func() { sh.io(ctx) })
	}
	wg.Wait()
}

// Handle takes in a ClaimRequest or ClaimResult and replies on the connection later. It does not block. It returns
// false for other messages.
func (s *ClaimStore) Handle(conn *transport.Conn, corr uint64, m wire.Message) bool {
	switch m := m.(type) {
	case *wire.ClaimRequest:
		if !s.shards[claims.ShardOf(m.Caller, m.Key)].in.TryPush(input{conn: conn, corr: corr, claim: m}) {
			conn.Reply(corr, &wire.ClaimReply{State: wire.ClaimUnavailable, Outcome: uint8(attempt.NotSent), RetryAfterMs: 1000})
		}
	case *wire.ClaimResult:
		// A result that finds the ring full is dropped: the sender gets no Ack and sends it again.
		s.shards[claims.ShardOf(m.Caller, m.Key)].in.TryPush(input{conn: conn, corr: corr, result: m})
	default:
		return false
	}
	return true
}

// input is one message for a shard.
type input struct {
	conn   *transport.Conn
	corr   uint64
	claim  *wire.ClaimRequest
	result *wire.ClaimResult
}

// origin is where the answer to an input goes.
type origin struct {
	conn *transport.Conn
	corr uint64
}

// shard feeds one machine. The machine is used by run only; io does its calls to the platform.
type shard struct {
	id      int
	deps    Deps
	machine *claims.Machine
	in      *ring.Ring[input]
	orders  chan claims.Action // at most one is outstanding
	ends    chan ended
	origins map[uint64]origin
	token   uint64
	wake    *time.Timer
}

func newShard(id int, deps Deps) *shard {
	return &shard{
		id: id, deps: deps, machine: claims.NewMachine(id, deps.Retention), in: ring.New[input](inputs),
		orders: make(chan claims.Action, 1), ends: make(chan ended, 1), origins: make(map[uint64]origin), wake: time.NewTimer(0),
	}
}

func (s *shard) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer s.wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.perform(s.machine.Tick(time.Now()))
		case <-s.wake.C:
			s.perform(s.machine.Tick(time.Now()))
		case in := <-s.in.C():
			s.take(in)
		case e := <-s.ends:
			s.perform(e.feed(s.machine, time.Now()))
		}
	}
}

func (s *shard) take(in input) {
	s.token++
	if in.conn != nil {
		s.origins[s.token] = origin{in.conn, in.corr}
	}
	if in.claim != nil {
		s.perform(s.machine.Claim(time.Now(), s.token, *in.claim))
		return
	}
	s.perform(s.machine.Result(time.Now(), s.token, *in.result))
}

func (s *shard) perform(actions []claims.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claims.Reply:
			s.reply(a.Token, &a.ClaimReply)
		case claims.Drop:
			delete(s.origins, a.Token)
		case claims.Wake:
			s.wake.Reset(time.Until(a.At))
		case claims.Confirm:
			s.reply(a.Token, &wire.Ack{})
		default:
			s.orders <- a
		}
	}
}

func (s *shard) reply(token uint64, m wire.Message) {
	o, ok := s.origins[token]
	if !ok {
		return
	}
	delete(s.origins, token)
	if o.corr != 0 {
		o.conn.Reply(o.corr, m)
	}
}
