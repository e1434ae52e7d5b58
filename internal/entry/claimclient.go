package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/claims"
	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	maxKey         = 256                     // bytes of an idempotency key
	claimTimeout   = 1500 * time.Millisecond // for one owner; covers a lost answer of the platform and reading back
	claimTotal     = 3 * time.Second         // for all owners
	finishTimeout  = 2 * time.Second         // for one try to record a result
	finishTotal    = 5 * time.Minute         // for all tries; an outage of the platform may last minutes
	maxFinishing   = 1024                    // results being recorded; further ones are dropped, which leaves their outcome unknown
	claimOwners    = 3                       // owners that are tried
	claimConnected = 200 * time.Millisecond  // for a connection to an owner
)

var errNoConnection = errors.New("no connection to the claim owner")

// claimer stores claims of idempotency keys.
type claimer interface {
	// Claim claims a key for an attempt. The attempt may be sent only if the reply says granted.
	Claim(ctx context.Context, r wire.ClaimRequest) wire.ClaimReply
	// Finish records how a claimed attempt ended. For one that was not run it waits for a short time, so that the
	// caller can use the key again as soon as it has its answer.
	Finish(r wire.ClaimResult)
	// Close waits until results are recorded, or ctx ends.
	Close(ctx context.Context)
}

// claimClient is the claimer that asks the shard owners of the cell.
type claimClient struct {
	view  func() *routing.View
	local string            // control address that is used while the members are not known
	base  transport.Options // of each connection

	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	clients map[string]*transport.Client
	slots   chan struct{}
	running sync.WaitGroup
}

func newClaimClient(view func() *routing.View, o Options, counters *transport.Counters) *claimClient {
	c := &claimClient{
		view: view, local: o.Control, clients: make(map[string]*transport.Client), slots: make(chan struct{}, maxFinishing),
		base: transport.Options{
			Hello: wire.Hello{Host: o.Host, Role: wire.RoleEntry, Cell: o.Cell, Zone: o.Zone, Incarnation: uint64(time.Now().UnixNano())},
			TLS:   o.TLS, Counters: counters, Handler: func(*transport.Conn, uint64, wire.Message) {},
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// owners returns control addresses in the order in which they are asked for a shard. All cells choose the same owner, so
// that its writes meet no conflicts; one of the next cell follows in case the first cell can't be reached. Hosts that
// leave come last in their cell.
func owners(v *routing.View, cell string, shard int, local string) []string {
	cells := map[string][]wire.Member{cell: v.Members}
	names := []string{cell}
	for _, c := range v.Cells {
		cells[c.Cell] = c.Members
		names = append(names, c.Cell)
	}
	key := claims.Name(shard, 0)
	var out []string
	for _, name := range rendezvous.Order(key, names) {
		addrs := cellOwners(cells[name], key)
		if len(names) > 1 {
			addrs = addrs[:min(len(addrs), claimOwners-1)]
		}
		out = append(out, addrs...)
		if len(out) >= claimOwners {
			return out[:claimOwners]
		}
	}
	if len(out) == 0 {
		return []string{local}
	}
	return out
}

// cellOwners returns the control addresses of a cell's hosts in rendezvous order, those that leave last.
func cellOwners(members []wire.Member, key string) []string {
	byHost := make(map[string]wire.Member)
	var hosts []string
	for _, m := range members {
		if m.ControlAddress != "" {
			byHost[m.Host] = m
			hosts = append(hosts, m.Host)
		}
	}
	var staying, leaving []string
	for _, h := range rendezvous.Order(key, hosts) {
		if m := byHost[h]; m.Leaving {
			leaving = append(leaving, m.ControlAddress)
		} else {
			staying = append(staying, m.ControlAddress)
		}
	}
	return append(staying, leaving...)
}

// Claim implements claimer. The same attempt may be claimed at several owners: it is granted to this attempt only.
func (c *claimClient) Claim(ctx context.Context, r wire.ClaimRequest) wire.ClaimReply {
	ctx, cancel := context.WithTimeout(ctx, claimTotal)
	defer cancel()
	sent := false
	for _, addr := range owners(c.view(), c.base.Hello.Cell, claims.ShardOf(r.Caller, r.Key), c.local) {
		m, err := c.call(ctx, addr, &r, claimTimeout)
		if reply, ok := m.(*wire.ClaimReply); ok && err == nil {
			// No attempt may be left at an owner that can still store it: nobody would record its end.
			unclear := reply.State == wire.ClaimUnavailable && !attempt.Outcome(reply.Outcome).NotExecuted()
			if unclear || sent && reply.State != wire.ClaimGranted {
				c.abandon(r)
			}
			return *reply
		}
		sent = sent || err != errNoConnection
	}
	if sent {
		c.abandon(r)
	}
	return wire.ClaimReply{State: wire.ClaimUnavailable, RetryAfterMs: uint32(defaultRetryAfter.Milliseconds())}
}

// abandon releases a claim that may have been stored although no grant arrived. The attempt is not sent.
func (c *claimClient) abandon(r wire.ClaimRequest) {
	c.record(wire.ClaimResult{Caller: r.Caller, Key: r.Key, Attempt: r.Attempt, Outcome: uint8(attempt.NotSent)})
}

// Finish implements claimer.
func (c *claimClient) Finish(r wire.ClaimResult) {
	done := c.record(r)
	if !attempt.Outcome(r.Outcome).NotExecuted() {
		return
	}
	t := time.NewTimer(claimTimeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// record stores a result in the background.
func (c *claimClient) record(r wire.ClaimResult) <-chan struct{} {
	done := make(chan struct{})
	select {
	case c.slots <- struct{}{}:
	default:
		close(done)
		return done
	}
	c.running.Go(func() {
		defer func() { <-c.slots }()
		defer close(done)
		deadline := time.Now().Add(finishTotal)
		for n := 0; ; n++ {
			for _, addr := range owners(c.view(), c.base.Hello.Cell, claims.ShardOf(r.Caller, r.Key), c.local) {
				if _, err := c.call(c.ctx, addr, &r, finishTimeout); err == nil {
					return
				}
			}
			if !backoff(c.ctx, n+2, deadline) {
				return
			}
		}
	})
	return done
}

// call sends one message to an owner. It returns errNoConnection if the message was not sent.
func (c *claimClient) call(ctx context.Context, addr string, m wire.Message, limit time.Duration) (wire.Message, error) {
	conn := c.connection(ctx, addr)
	if conn == nil {
		return nil, errNoConnection
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return conn.Call(ctx, m)
}

// connection returns a connection to an owner, waiting for it for a short time.
func (c *claimClient) connection(ctx context.Context, addr string) *transport.Conn {
	c.mu.Lock()
	cl := c.clients[addr]
	if cl == nil {
		c.prune()
		cl = transport.Dial(c.ctx, addr, c.base)
		c.clients[addr] = cl
	}
	c.mu.Unlock()
	for end := time.Now().Add(claimConnected); time.Now().Before(end) && ctx.Err() == nil; clock.Sleep(ctx, 2*time.Millisecond) {
		if conn := cl.Conn(); conn != nil {
			return conn
		}
	}
	return nil
}

// prune closes the connections to control processes that have left the cell. The caller holds the lock.
func (c *claimClient) prune() {
	live := map[string]bool{c.local: true}
	v := c.view()
	for _, m := range v.Members {
		live[m.ControlAddress] = true
	}
	for _, cell := range v.Cells {
		for _, m := range cell.Members {
			live[m.ControlAddress] = true
		}
	}
	for addr, cl := range c.clients {
		if !live[addr] {
			delete(c.clients, addr)
			go cl.Close()
		}
	}
}

// Close implements claimer.
func (c *claimClient) Close(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	c.cancel()
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}
