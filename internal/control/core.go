package control

import (
	"cmp"
	"context"
	"fmt"
	"reflect"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/revision"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const (
	coreTick      = 100 * time.Millisecond
	maxReplyBytes = 4 << 20 // of files in one FileReply; the asker asks again for the rest
	statesMaxAge  = 10 * time.Second
	settleBeats   = 3               // heartbeats after which a starting process has heard the live members
	settleLimit   = 3 * time.Second // for a start without a roster
)

// stateSource is the endpoint list as one polling host saw it.
type stateSource struct {
	states []wire.EndpointState
	at     time.Duration
}

// core owns the state of the process. Only its goroutine touches the fields.
type core struct {
	*Control
	ctx       context.Context
	table     *membership.Table
	rev       *revision.State
	snapshot  *config.Snapshot
	placement wire.Placement
	holder    string
	epoch     uint64
	rosterOK  bool
	leaving   bool

	subs    map[*transport.Conn]bool     // entries, and controls that start without a roster
	peers   map[string]*transport.Client // by host
	seeds   []*transport.Client
	sources map[string]stateSource // by polling host

	load     uint16
	pending  map[string]wire.ModelDemand // demand to forward
	demanded time.Duration               // when demand was forwarded last
	seq      uint64
	beatAt   time.Duration

	directory   *wire.DirectoryUpdate // nil before the first read
	sentMembers wire.MembersUpdate
	statesKnown bool
	sentStates  wire.EndpointsUpdate
	ownStates   []wire.EndpointState
	ownStatesAt time.Duration
}

func newCore(c *Control, ctx context.Context) *core {
	self := wire.Member{Host: c.opts.Host, Zone: c.opts.Zone, Incarnation: c.incarnation.Load(), ControlAddress: c.opts.Listen, EntryAddress: c.opts.EntryAddress, CallerAddress: c.opts.CallerAddr}
	k := &core{
		Control: c, ctx: ctx, rev: revision.New(),
		table: membership.New(membership.Config{Self: self, Suspect: missedForSuspect * c.opts.Heartbeat, Dead: missedForDead * c.opts.Heartbeat}),
		subs:  make(map[*transport.Conn]bool), peers: make(map[string]*transport.Client),
		sources: make(map[string]stateSource), pending: make(map[string]wire.ModelDemand),
	}
	for _, addr := range c.opts.Seeds {
		if addr != "" && addr != c.opts.Listen {
			k.seeds = append(k.seeds, transport.Dial(ctx, addr, c.transport(func(conn *transport.Conn) { conn.Send(&wire.Subscribe{}) })))
		}
	}
	return k
}

func (k *core) run(ctx context.Context) {
	t := time.NewTicker(coreTick)
	defer t.Stop()
	defer k.close()
	for {
		select {
		case e := <-k.events.C():
			k.handle(e)
			if k.routine(e) {
				continue
			}
		case <-t.C:
		case <-ctx.Done():
			return
		}
		k.advance()
	}
}

// routine tells whether an event is a heartbeat that brings no news but the life of its sender. The next tick accounts
// for it: comparing members and endpoint states after each heartbeat of 19 hosts costs more than the heartbeats.
func (k *core) routine(e any) bool {
	m, ok := e.(evMessage)
	if !ok {
		return false
	}
	hb, ok := m.m.(*wire.Heartbeat)
	return ok && !hb.Leaving && hb.Revision <= k.rev.Revision() && (hb.Epoch == 0 || hb.Epoch == k.epoch && hb.Host == k.holder)
}

func (k *core) close() {
	for _, p := range k.peers {
		p.Close()
	}
	for _, s := range k.seeds {
		s.Close()
	}
}

func (k *core) handle(e any) {
	switch e := e.(type) {
	case evMessage:
		k.onMessage(e.conn, e.corr, e.m)
	case evDown:
		delete(k.subs, e.conn)
	case evHead:
		k.rev.OnHead(revision.Platform, e.head)
	case evPlacement:
		k.onPlacement(e.placement)
	case evFetched:
		k.onFetched(e)
	case evRoster:
		k.rosterOK = true
		k.setMembers(e.members)
	case evStates:
		k.onOwnStates(e.states)
	case evLease:
		k.setHolder(e.record.Holder, e.record.Epoch)
	case evDirectory:
		if !reflect.DeepEqual(e.update, k.directory) {
			k.directory = e.update
			k.push(e.update)
		}
	case evLeave:
		k.leaving = true
		k.table.Leave()
		k.beatAt = 0
	case evBeat:
		k.beatAt = 0
	case evPeerUp:
		k.beatAt = 0
		if k.ownStatesAt > 0 {
			e.conn.Send(&wire.EndpointsUpdate{States: k.ownStates})
		}
	case evSources:
		e.reply <- k.sourcesNow()
	case evSync:
		k.advance()
		close(e.done)
	}
}

func (k *core) onMessage(conn *transport.Conn, corr uint64, m wire.Message) {
	remote := conn.Remote()
	if remote.Cell != k.opts.Cell {
		return
	}
	switch m := m.(type) {
	case *wire.Heartbeat:
		k.onHeartbeat(*m)
	case *wire.HeadRequest:
		conn.Reply(corr, &wire.HeadReply{Head: k.rev.Head()})
	case *wire.FileRequest:
		conn.Reply(corr, k.files(m.Digests))
	case *wire.Subscribe:
		k.subscribe(conn, *m)
	case *wire.EntryStatus:
		k.onStatus(remote, *m)
		if corr != 0 {
			conn.Reply(corr, &wire.Ack{})
		}
	case *wire.Inquiry:
		k.answerInquiry(conn, corr, *m)
	case *wire.DemandReport:
		k.onDemand(m.Demand)
	case *wire.ConfigUpdate:
		for _, f := range m.Files {
			k.rev.OnFile(f)
		}
		k.rev.OnHead(remote.Host, m.Head)
	case *wire.PlacementUpdate:
		k.onPlacement(m.Placement)
	case *wire.MembersUpdate:
		// Members of a seed stand in for a roster that can't be read.
		if !k.rosterOK {
			k.setMembers(m.Members)
			k.setHolder(m.Holder, k.epoch)
		}
	case *wire.EndpointsUpdate:
		k.sources[remote.Host] = stateSource{m.States, k.now()}
	}
}

func (k *core) onHeartbeat(hb wire.Heartbeat) {
	if !k.table.Heartbeat(k.now(), hb) {
		if k.peers[hb.Host] == nil && hb.Host != k.opts.Host {
			k.rosterHints.TryPush(struct{}{}) // a host that is not in the roster as it was last read
		}
		return
	}
	k.rev.Seen(hb.Host, hb.Revision)
	switch {
	case hb.Epoch > 0 && hb.Epoch >= k.epoch:
		k.setHolder(hb.Host, hb.Epoch)
		k.lease.hint(leaseHeard)
	case hb.Epoch == 0 && hb.Host == k.holder && hb.Leaving:
		k.setHolder("", k.epoch)
		k.lease.hint(leaseHurry)
	}
}

func (k *core) files(digests []string) *wire.FileReply {
	var r wire.FileReply
	size := 0
	for _, d := range digests {
		f, ok := k.rev.File(d)
		if !ok {
			continue
		}
		if size += len(f.Content); size > maxReplyBytes && len(r.Files) > 0 {
			break
		}
		r.Files = append(r.Files, f)
	}
	return &r
}

// subscribe sends the whole state. The configuration comes last: it makes an entry ready, which should then know the
// leaving endpoints and the other members already.
func (k *core) subscribe(conn *transport.Conn, s wire.Subscribe) {
	k.subs[conn] = true
	if members := k.sentMembers; len(members.Members) > 0 {
		conn.Send(&members)
	}
	if states := k.sentStates; k.statesKnown {
		conn.Send(&states)
	}
	if k.directory != nil {
		conn.Send(k.directory)
	}
	if k.placement.Version > s.Placement {
		conn.Send(&wire.PlacementUpdate{Placement: k.placement})
	}
	if k.rev.Revision() > s.Revision {
		conn.Send(&wire.ConfigUpdate{Head: k.rev.Head(), Files: k.rev.Files()})
	}
}

// settling tells whether a process that has just started may still miss heartbeats and endpoint states. It then pushes
// neither members nor states, so that an entry doesn't replace a full view by an empty one.
func (k *core) settling() bool {
	now := k.now()
	if now > settleBeats*k.opts.Heartbeat && (k.rosterOK || now > settleLimit) {
		return false
	}
	for _, m := range k.table.Members(now) {
		if m.State == membership.Unheard {
			return true
		}
	}
	return !k.rosterOK
}

func (k *core) onStatus(remote wire.Hello, s wire.EntryStatus) {
	if remote.Host == k.opts.Host {
		k.load = s.Load
	}
	for _, d := range s.Demand {
		k.pending[d.Name] = plus(k.pending[d.Name], d)
	}
}

// onPlacement accepts only a newer placement: the version grows with each write, whoever holds the lease.
func (k *core) onPlacement(p wire.Placement) {
	if p.Cell != k.opts.Cell || p.Version <= k.placement.Version {
		return
	}
	k.placement = p
	k.push(&wire.PlacementUpdate{Placement: p})
}

// setHolder records who holds the lease. A lower epoch than the known one is ignored.
func (k *core) setHolder(host string, epoch uint64) {
	if epoch >= k.epoch {
		if host != k.holder || epoch != k.epoch {
			k.observer.note("lease", "lease", "holder is "+cmp.Or(host, "nobody"), fmt.Sprintf("epoch %d", epoch))
		}
		k.holder, k.epoch = host, epoch
	}
}

func (k *core) setMembers(members []wire.Member) {
	k.table.SetRoster(k.now(), members)
	want := make(map[string]string)
	for _, m := range members {
		if m.Host != k.opts.Host {
			want[m.Host] = m.ControlAddress
		}
	}
	for host, p := range k.peers {
		if want[host] != p.Addr() {
			p.Close()
			delete(k.peers, host)
			k.rev.Forget(host)
			delete(k.sources, host)
		}
	}
	for host, addr := range want {
		if k.peers[host] == nil {
			k.peers[host] = transport.Dial(k.ctx, addr, k.transport(func(conn *transport.Conn) { k.events.TryPush(evPeerUp{conn}) }))
		}
	}
}

func (k *core) onFetched(e evFetched) {
	ok := e.err == nil
	for _, f := range e.files {
		if !k.rev.OnFile(f) {
			ok = false
			k.opts.Log.Warn().Str("file", f.Name).Str("source", e.fetch.Source).Msg("File content does not match its digest.")
		}
	}
	if e.head != nil {
		k.rev.OnHead(e.fetch.Source, *e.head)
	}
	if e.err != nil {
		k.opts.Log.Debug().Err(e.err).Str("source", e.fetch.Source).Msg("Fetch failed.")
	}
	k.rev.Settle(k.now(), e.fetch.Source, ok)
}

// advance does what is due after each event and tick.
func (k *core) advance() {
	k.install()
	if f, ok := k.rev.Next(k.now()); ok {
		k.fetches.TryPush(fetchJob{f, k.peers[f.Source]})
	}
	if k.rosterOK && k.rev.Revision() > 0 && len(k.seeds) > 0 {
		for _, s := range k.seeds {
			s.Close()
		}
		k.seeds = nil
	}
	k.pushMembers()
	k.pushStates()
	if now := k.now(); now >= k.beatAt {
		k.beatAt = now + k.opts.Heartbeat
		k.beat()
		k.forwardDemand()
	}
	k.publish()
}

func (k *core) install() {
	head, files, ok := k.rev.Candidate()
	if !ok {
		return
	}
	snap, err := config.Build(head.Revision, files)
	if err != nil {
		k.opts.Log.Error().Err(err).Uint64("revision", head.Revision).Msg("Configuration refused.")
		k.observer.note("config", fmt.Sprintf("revision %d", head.Revision), "refused", err.Error())
		k.rev.Refuse(head.Revision)
		return
	}
	k.rev.Install(head, files)
	k.snapshot = snap
	k.beatAt = 0
	k.push(&wire.ConfigUpdate{Head: head, Files: k.rev.Files()})
	k.opts.Log.Info().Uint64("revision", head.Revision).Msg("Configuration in force.")
	k.observer.note("config", fmt.Sprintf("revision %d", head.Revision), decisionInForce, "author "+head.Author)
}

func (k *core) push(m wire.Message) {
	for conn := range k.subs {
		if conn.Send(m) != nil {
			conn.Close() // it subscribes again and gets the whole state
			delete(k.subs, conn)
		}
	}
}

func (k *core) pushMembers() {
	if len(k.sentMembers.Members) == 0 && k.settling() {
		return
	}
	u := wire.MembersUpdate{Members: k.table.Live(k.now()), Holder: k.holder}
	if !reflect.DeepEqual(u, k.sentMembers) {
		k.sentMembers = u
		k.push(&u)
	}
}

func (k *core) beat() {
	k.seq++
	hb := &wire.Heartbeat{
		Host: k.opts.Host, Incarnation: k.incarnation.Load(), Seq: k.seq, Revision: k.rev.Revision(),
		Placement: k.placement.Version, Epoch: k.lease.held(), Load: k.load, Leaving: k.leaving,
	}
	for _, p := range k.peers {
		p.Send(hb)
	}
}

func (k *core) publish() {
	v := &view{
		snapshot: k.snapshot, head: k.rev.Head(), placement: k.placement, holder: k.holder, epoch: k.epoch,
		states: k.sentStates.States, roster: k.rosterOK, leaving: k.leaving, live: k.sentMembers.Members,
	}
	for _, m := range k.table.Members(k.now()) {
		s := memberStatus{
			Host: m.Host, Zone: m.Zone, Incarnation: m.Incarnation, State: m.State.String(), Leaving: m.Leaving,
			Revision: m.Last.Revision, Placement: m.Last.Placement, Load: m.Last.Load, Control: m.ControlAddress, quiet: m.Quiet,
		}
		if m.Host == k.opts.Host {
			s.Revision, s.Placement, s.Load, s.Incarnation = k.rev.Revision(), k.placement.Version, k.load, k.incarnation.Load()
		}
		v.members = append(v.members, s)
	}
	k.view.Store(v)
}
