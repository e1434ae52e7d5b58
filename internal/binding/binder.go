package binding

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// Options are the settings of a Binder. Zero durations get defaults.
type Options struct {
	Hello        wire.Hello // of the entry process
	Policy       routing.Policy
	Seed         uint64
	AnswerWithin time.Duration // an Ask without answer for longer is decided alone, default 10 ms
	ProbeAfter   time.Duration // silence of the dispatcher after which it is probed, default 100 ms
	SilentFor    time.Duration // silence of the dispatcher after which its queue is left, default 400 ms
	View         func() *routing.View
	Server       *Server             // in-process dispatcher
	TLS          *tls.Config         // for connections to other entries, nil for plain TCP
	Counters     *transport.Counters // of connections to other entries, may be nil
	Journal      func(Alone)         // records calls that the entry decided alone; may be nil, must not block
}

func (o *Options) defaults() {
	if o.Policy == "" {
		o.Policy = routing.PolicyDispatcher
	}
	for p, v := range map[*time.Duration]time.Duration{&o.AnswerWithin: 10 * time.Millisecond, &o.ProbeAfter: 100 * time.Millisecond, &o.SilentFor: 400 * time.Millisecond} {
		if *p == 0 {
			*p = v
		}
	}
}

var errUndecided = errors.New("dispatcher did not decide")

// phase is where a call stands. A call is in exactly one phase, changed under the binder's lock.
type phase uint8

const (
	asking  phase = iota // sent to the dispatcher, no answer yet
	queued               // the dispatcher answered Queued
	local                // waits for the entry's own share of a slot
	bound                // holds a slot
	refused              // got its final answer
	left                 // no longer wanted from the dispatcher, about to be decided alone
)

type call struct {
	ask       wire.Ask // with the id under which the dispatcher knows it
	phase     phase
	order     int           // of its rank
	changed   chan struct{} // capacity 1; signalled when the phase changes
	endpoint  string
	refusal   routing.Refusal
	preempted chan struct{}
	stopped   bool // preempted is closed
	started   time.Time
	until     time.Time // deadline, zero for none
}

// Binder implements routing.Binder. Every slot that it takes, from the dispatcher or alone, is released exactly once: a
// call leaves the map of calls under the lock, and only then is its Done or Cancel sent.
type Binder struct {
	opts  Options
	start time.Time

	mu      sync.Mutex
	next    uint64
	calls   map[uint64]*call
	waiters []*call // in phase local, most urgent rank first
	link    *link   // to the dispatcher, nil before the first one is chosen
	chooser *routing.Chooser
	service time.Duration // mean time that a request holds its slot
}

// New returns a binder; Run must be called for it to reach a dispatcher.
func New(opts Options) *Binder {
	opts.defaults()
	return &Binder{opts: opts, start: time.Now(), calls: make(map[uint64]*call), chooser: routing.NewChooser(opts.Policy, opts.Seed), service: time.Second}
}

// Options returns the settings with defaults filled in.
func (b *Binder) Options() Options { return b.opts }

// Bind implements routing.Binder.
func (b *Binder) Bind(ctx context.Context, ask wire.Ask) (routing.Binding, error) {
	started := time.Now()
	c := &call{until: b.until(&ask), ask: ask, changed: make(chan struct{}, 1), preempted: make(chan struct{}), order: b.rankOrder(&ask)}
	err := errUndecided
	if b.opts.Policy == routing.PolicyDispatcher {
		err = b.askDispatcher(ctx, c)
	}
	if err == errUndecided {
		err = b.decideAlone(ctx, c)
		if ctx.Err() == nil { // a caller that has left says nothing about the decision
			b.record(c, err, time.Since(started))
		}
	}
	if err != nil {
		return nil, err
	}
	return &binding{b: b, c: c}, nil
}

// Alone is a call that the entry decided without the dispatcher.
type Alone struct {
	Ask      wire.Ask
	Endpoint string // empty if the call was refused
	Reason   string
	Waited   time.Duration
}

// record tells the journal how a call was decided. A dispatcher that came back meanwhile may have decided it after all;
// it then has a record of its own.
func (b *Binder) record(c *call, err error, waited time.Duration) {
	if b.opts.Journal == nil {
		return
	}
	a := Alone{Ask: c.ask, Endpoint: c.endpoint, Reason: "policy " + string(b.opts.Policy), Waited: waited}
	if b.opts.Policy == routing.PolicyDispatcher {
		a.Reason = "no answer of the dispatcher"
	}
	if err != nil {
		a.Endpoint, a.Reason = "", err.Error()
	}
	b.opts.Journal(a)
}

// askDispatcher returns errUndecided if the dispatcher is gone, silent or too late.
func (b *Binder) askDispatcher(ctx context.Context, c *call) error {
	b.mu.Lock()
	l := b.link
	if !l.usable() {
		b.mu.Unlock()
		return errUndecided
	}
	b.register(c, asking)
	if b.send(c.message()) != nil {
		delete(b.calls, c.ask.ID)
		b.mu.Unlock()
		return errUndecided
	}
	b.mu.Unlock()
	asked := time.Now()
	t := time.NewTimer(b.opts.AnswerWithin)
	defer t.Stop()
	for {
		late := false
		select {
		case <-c.changed:
		case <-t.C:
			late = true
		case <-ctx.Done():
			b.abandon(c)
			return ctx.Err()
		}
		if done, err := b.progress(c, l, asked, late); done {
			return err
		}
	}
}

// progress returns true if the dispatcher's part in the call is over. With late set, a call without any answer is taken
// back; if nothing was heard from the dispatcher since, it gets no further asks until it is heard again.
func (b *Binder) progress(c *call, l *link, asked time.Time, late bool) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch c.phase {
	case bound:
		if b.accepts(c.endpoint) {
			return true, nil
		}
		b.release(c, &wire.Cancel{ID: c.ask.ID}, false)
		return true, errUndecided
	case refused:
		return true, &c.refusal
	case left:
		return true, errUndecided
	case asking:
		if late {
			l.suspect = l.suspect || l.heard.Before(asked)
			b.takeBack(c)
			return true, errUndecided
		}
	}
	return false, nil
}

// accepts tells whether this entry's own view allows new work at an endpoint: the dispatcher's view may be older.
func (b *Binder) accepts(endpoint string) bool {
	v := b.opts.View()
	if v.Snapshot == nil || v.Leaving[endpoint] {
		return false
	}
	d := v.Snapshot.Endpoint(endpoint)
	return d != nil && !d.Leaving
}

// decideAlone waits for the entry's static share of a slot, or for a dispatcher that takes the call over meanwhile.
func (b *Binder) decideAlone(ctx context.Context, c *call) error {
	done, err := b.step(c, false)
	if done {
		return err
	}
	var expire <-chan time.Time
	if !c.until.IsZero() {
		t := time.NewTimer(time.Until(c.until))
		defer t.Stop()
		expire = t.C
	}
	for !done {
		select {
		case <-c.changed:
			done, err = b.step(c, false)
		case <-expire:
			done, err = b.step(c, true)
		case <-ctx.Done():
			b.abandon(c)
			return ctx.Err()
		}
	}
	return err
}

// step moves a call on that is decided alone. It returns true if the call has its final answer.
func (b *Binder) step(c *call, late bool) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	active := b.calls[c.ask.ID] == c
	switch {
	case active && c.phase == bound && b.accepts(c.endpoint):
		return true, nil
	case active && c.phase == bound:
		b.release(c, &wire.Cancel{ID: c.ask.ID}, false)
	case c.phase == refused:
		return true, &c.refusal
	case late:
		wait := b.wait(c)
		b.takeBack(c)
		return true, &routing.Refusal{Reason: "deadline passed in the entry's queue", RetryAfterMs: uint32(wait / time.Millisecond)}
	case active:
		return false, nil // still waits, here or at the dispatcher
	}
	err := b.tryAlone(c)
	return err != nil || c.phase == bound, err
}

// tryAlone binds the call, makes it wait, or refuses it. The caller holds the lock.
func (b *Binder) tryAlone(c *call) error {
	v := b.opts.View()
	if len(v.Residents(c.ask.Model)) == 0 {
		return &routing.Refusal{Reason: routing.ErrNoResident.Error(), RetryAfterMs: 1000}
	}
	if b.takeLocal(c) {
		return nil
	}
	if wait := b.wait(c); !c.until.IsZero() && wait > time.Until(c.until) {
		return &routing.Refusal{Reason: "the entry's queue does not drain before the deadline", RetryAfterMs: uint32(wait / time.Millisecond)}
	}
	b.register(c, local)
	b.addWaiter(c)
	return nil
}

func (b *Binder) entries() int { return max(len(b.opts.View().Members), 1) }

// takeLocal binds the call to an endpoint within the static share and tells the dispatcher, if there is one. The caller
// holds the lock.
func (b *Binder) takeLocal(c *call) bool {
	limited := b.opts.Policy == routing.PolicyDispatcher
	e := b.chooser.Choose(time.Since(b.start), b.opts.View(), &c.ask, b.entries(), limited)
	if e == "" {
		return false
	}
	if b.calls[c.ask.ID] != c {
		b.register(c, local)
	}
	b.occupy(c, e)
	if limited {
		told := c.message()
		told.ChosenEndpoint = e
		b.send(told)
	}
	return true
}

// wait predicts how long a call waits for this entry's share of its model's slots. The caller holds the lock.
func (b *Binder) wait(c *call) time.Duration {
	v, share, ahead := b.opts.View(), 0, 1
	for _, e := range v.Residents(c.ask.Model) {
		share += routing.StaticShare(v.Snapshot.Endpoint(e).Slots, b.entries())
	}
	for _, w := range b.waiters {
		if w.ask.Model == c.ask.Model && w.order <= c.order {
			ahead++
		}
	}
	return b.service * time.Duration(ahead) / time.Duration(max(share, 1))
}

// register gives the call a fresh id. The caller holds the lock.
func (b *Binder) register(c *call, p phase) {
	b.next++
	c.ask.ID, c.phase = b.next, p
	b.calls[c.ask.ID] = c
}

func (b *Binder) occupy(c *call, endpoint string) {
	c.phase, c.endpoint, c.started = bound, endpoint, time.Now()
	b.chooser.Started(endpoint)
}

// takeBack withdraws a call that holds no slot from the dispatcher or the entry's queue. The caller holds the lock.
func (b *Binder) takeBack(c *call) {
	if b.calls[c.ask.ID] != c {
		return
	}
	delete(b.calls, c.ask.ID)
	b.removeWaiter(c)
	if c.phase == asking || c.phase == queued {
		b.send(&wire.Cancel{ID: c.ask.ID})
	}
	c.phase = left
}

// abandon ends a call whose request is gone, whatever its phase.
func (b *Binder) abandon(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.phase == bound {
		b.release(c, &wire.Cancel{ID: c.ask.ID}, false)
		return
	}
	b.takeBack(c)
}

// release frees the slot of a bound call. The caller holds the lock.
func (b *Binder) release(c *call, m wire.Message, failed bool) {
	if b.calls[c.ask.ID] != c {
		return
	}
	delete(b.calls, c.ask.ID)
	c.phase = left
	b.chooser.Ended(time.Since(b.start), c.endpoint, failed)
	b.send(m)
	b.wakeWaiters()
}

// message returns a copy of the ask with the time that is left. A copy, because the connection encodes it later and a
// call changes its id.
func (c *call) message() *wire.Ask {
	m := c.ask
	if !c.until.IsZero() {
		m.DeadlineMs = uint32(max(time.Until(c.until).Milliseconds(), 1))
	}
	return &m
}

func (c *call) signal() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// binding implements routing.Binding.
type binding struct {
	b *Binder
	c *call
}

// Endpoint implements routing.Binding.
func (x *binding) Endpoint() string { return x.c.endpoint }

// Preempted implements routing.Binding.
func (x *binding) Preempted() <-chan struct{} { return x.c.preempted }

// Release implements routing.Binding. Further calls have no effect.
func (x *binding) Release(d wire.Done) {
	b, c := x.b, x.c
	b.mu.Lock()
	defer b.mu.Unlock()
	d.ID, d.Endpoint = c.ask.ID, c.endpoint
	if !d.Failed && !c.stopped && b.calls[d.ID] == c {
		b.service += (time.Since(c.started) - b.service) / 10
	}
	b.release(c, &d, d.Failed)
}
