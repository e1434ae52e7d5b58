package claims

import (
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/wire"
)

const (
	maxPending = 4096 // claims and results that wait
	maxBatch   = 128  // records of one write; bounds a segment well below the platform's limit
	// writeGap is the least time between the starts of two writes of a shard, so that 16 busy shards make at most 160
	// writes/s of the several hundred that the platform allows. A lone claim finds the gap over and is written at once.
	writeGap    = 100 * time.Millisecond
	outagePause = 1 * time.Second // claims are answered at once for so long after the platform failed
	// maxIndexAge is the age of an index that may refuse a key whose outcome is open. It bounds the reads of a shard to two a
	// second.
	maxIndexAge = 500 * time.Millisecond
)

// Action is an order to the I/O layer. A Load, Write or Delete is answered by Loaded, Written or Deleted; at most one
// of them is outstanding.
type Action interface{ action() }

// Load reads the shard's segments in order: all of them, or from sequence number From until the first that is not
// sealed or does not exist.
type Load struct {
	All  bool
	From uint64
}

// Write stores a segment if its version is still the given one; an empty version creates it.
type Write struct{ Stored }

// Delete removes a segment.
type Delete struct{ Stored }

// Reply answers a claim.
type Reply struct {
	Token uint64
	wire.ClaimReply
}

// Confirm tells that a result is recorded or is of no consequence.
type Confirm struct{ Token uint64 }

// Wake asks for a Tick at a time.
type Wake struct{ At time.Time }

// Drop tells that a result could not be kept. It gets no Confirm.
type Drop struct{ Token uint64 }

func (Load) action()    {}
func (Wake) action()    {}
func (Drop) action()    {}
func (Write) action()   {}
func (Delete) action()  {}
func (Reply) action()   {}
func (Confirm) action() {}

// WriteResult is how a Write or Delete ended.
type WriteResult uint8

// Ends of a Write.
const (
	WriteDone     WriteResult = iota + 1
	WriteConflict             // the version was stale: nothing was stored
	WriteUnclear              // it may have been stored, now or later
)

type pending struct {
	token  uint64
	claim  *wire.ClaimRequest
	result *wire.ClaimResult
	stored bool // a write with its record ended unclear
}

// Machine holds one shard. Any number of machines of a shard may be active at once.
//
// Invariants: a claim is granted only if its record is in a segment that the platform has stored, and no record of
// another attempt was before it unless that attempt was released. This holds because every write is conditional on the
// version of the open segment, and a segment is sealed by such a write before the next is created: a machine that has
// missed a record of another one gets a conflict and reloads. A machine that has been idle for half of the retention
// reloads everything first, because segments that it has not seen may have been dropped by then.
//
// A write that meets no conflict proves that the index was current. What the index decides without a write may be out of
// date, unless the outcome of the key is final: the machine reads back first if its index is older than maxIndexAge.
type Machine struct {
	shard     int
	retention time.Duration
	sealBytes int // SealBytes; smaller in tests

	index    map[keyID]*holding
	released map[string]uint64 // segment of the release by attempt
	segments []Stored          // sealed, oldest first
	open     Stored
	loaded   bool
	all      bool // the next load reads all segments
	synced   time.Time
	written  time.Time // start of the latest write
	wake     time.Time // latest Wake asked for
	down     time.Time // until then, claims are answered as unavailable at once

	busy    bool
	waiting []pending
	staged  []pending // covered by the outstanding write
	records []Record  // of staged
	writing Stored
}

// NewMachine returns a machine that has not loaded its shard yet. A retention of 0 is DefaultRetention.
func NewMachine(shard int, retention time.Duration) *Machine {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &Machine{shard: shard, retention: retention, sealBytes: SealBytes, index: make(map[keyID]*holding), released: make(map[string]uint64), all: true}
}

// Claim takes in a claim. Its Reply carries the token.
func (m *Machine) Claim(now time.Time, token uint64, r wire.ClaimRequest) []Action {
	if now.Before(m.down) || len(m.waiting) >= maxPending {
		return []Action{unavailable(pending{token: token})}
	}
	m.waiting = append(m.waiting, pending{token: token, claim: &r})
	return m.step(now, nil)
}

// Result takes in how a claimed attempt ended. Its Confirm carries the token. A result that can't be stored now is
// kept for a later write, unless too many wait.
func (m *Machine) Result(now time.Time, token uint64, r wire.ClaimResult) []Action {
	if len(m.waiting) >= maxPending {
		return []Action{Drop{token}}
	}
	m.waiting = append(m.waiting, pending{token: token, result: &r})
	return m.step(now, nil)
}

// Tick lets time-dependent work start: retries after an outage and the dropping of old segments.
func (m *Machine) Tick(now time.Time) []Action { return m.step(now, nil) }

// Loaded takes in the segments that a Load has read, oldest first, or that it failed.
func (m *Machine) Loaded(now time.Time, segs []Stored, ok bool) []Action {
	m.busy = false
	if !ok {
		return m.outage(now)
	}
	if m.all {
		m.index, m.released, m.segments, m.open = make(map[keyID]*holding), make(map[string]uint64), nil, Stored{}
	} else if m.open.Version != "" && len(segs) == 0 {
		m.all = true // the segment was dropped meanwhile
		return m.step(now, nil)
	}
	m.install(segs)
	m.loaded, m.all, m.synced, m.down = true, false, now, time.Time{}
	return m.step(now, nil)
}

// install takes over segments that follow the sealed ones.
func (m *Machine) install(segs []Stored) {
	sort.Slice(segs, func(i, j int) bool { return segs[i].Seq < segs[j].Seq })
	next := max(m.open.Seq, 1)
	open := Stored{}
	for _, s := range segs {
		for _, r := range s.Records {
			m.apply(r, s.Seq)
		}
		next = s.Seq + 1
		if s.Sealed {
			m.segments = append(m.segments, s.header())
		} else {
			open = s
		}
	}
	if open.Version == "" {
		open = Stored{Segment: Segment{Shard: m.shard, Seq: next}}
	}
	m.open = open
}

// header returns a segment without its records, which the index holds.
func (s Stored) header() Stored {
	s.Records = nil
	return s
}

// apply takes in a stored record. The release of an attempt that does not hold the key leaves the holder in place.
func (m *Machine) apply(r Record, seq uint64) {
	id := keyID{r.Caller, r.Key}
	if r.Outcome.NotExecuted() {
		m.released[r.Attempt] = seq
		if h := m.index[id]; h != nil && h.Attempt != r.Attempt {
			return
		}
	}
	m.index[id] = &holding{r, seq}
}

// Written takes in how a Write ended.
func (m *Machine) Written(now time.Time, version string, res WriteResult) []Action {
	m.busy = false
	staged, records := m.staged, m.records
	m.staged, m.records = nil, nil
	if res != WriteDone {
		// After a conflict another machine has written; after an unclear end the record may be there. Both are
		// settled by reading back: a claim that is found belongs to its attempt id.
		m.loaded = false
		for i := range staged {
			staged[i].stored = staged[i].stored || res == WriteUnclear
		}
		m.waiting = append(staged, m.waiting...)
		return m.step(now, nil)
	}
	m.open = m.writing
	m.open.Version, m.synced = version, now
	for _, r := range records {
		m.apply(r, m.open.Seq)
	}
	if m.open.Sealed {
		m.segments = append(m.segments, m.open.header())
		m.open = Stored{Segment: Segment{Shard: m.shard, Seq: m.open.Seq + 1}}
	}
	var out []Action
	for _, p := range staged {
		if p.claim != nil {
			out = append(out, Reply{p.token, wire.ClaimReply{State: wire.ClaimGranted}})
		} else {
			out = append(out, Confirm{p.token})
		}
	}
	return m.step(now, out)
}

// Deleted takes in how a Delete ended. WriteDone also stands for a segment that another machine has deleted.
func (m *Machine) Deleted(now time.Time, res WriteResult) []Action {
	m.busy = false
	if res != WriteDone {
		return m.outage(now)
	}
	old := m.segments[0]
	m.segments = m.segments[1:]
	for k, h := range m.index {
		if h.seq == old.Seq {
			delete(m.index, k)
		}
	}
	for a, seq := range m.released {
		if seq == old.Seq {
			delete(m.released, a)
		}
	}
	return m.step(now, nil)
}

// outage answers all claims and keeps the results.
func (m *Machine) outage(now time.Time) []Action {
	m.down = now.Add(outagePause)
	var out []Action
	var kept []pending
	for _, p := range m.waiting {
		if p.claim != nil {
			out = append(out, unavailable(p))
		} else {
			kept = append(kept, p)
		}
	}
	m.waiting = kept
	return out
}

// unavailable refuses a claim. NotSent as its outcome tells that no write contained it, so that it needs no release.
func unavailable(p pending) Action {
	r := Reply{p.token, wire.ClaimReply{State: wire.ClaimUnavailable, RetryAfterMs: uint32(outagePause.Milliseconds())}}
	if !p.stored {
		r.Outcome = uint8(attempt.NotSent)
	}
	return r
}

// step starts the next I/O if none is outstanding and there is a reason for it.
func (m *Machine) step(now time.Time, out []Action) []Action {
	if m.busy || now.Before(m.down) {
		return out
	}
	if age := now.Sub(m.synced); m.loaded && age > m.retention/2 {
		m.loaded, m.all = false, true
	} else if m.loaded && age > maxIndexAge && slices.ContainsFunc(m.waiting, m.mayBeOutdated) {
		m.loaded = false
	}
	idle := len(m.waiting) == 0
	if idle && (m.loaded || len(m.segments) == 0) {
		if old, ok := m.expired(now); ok {
			m.busy = true
			return append(out, Delete{old})
		}
		return out
	}
	if !m.loaded {
		m.busy = true
		return append(out, Load{All: m.all, From: m.open.Seq})
	}
	if next := m.written.Add(writeGap); now.Before(next) {
		out = m.stage(out, 0)
		if len(m.waiting) > 0 && m.wake != next {
			m.wake = next
			out = append(out, Wake{next})
		}
		return out
	}
	out = m.stage(out, maxBatch)
	if len(m.records) == 0 {
		return out
	}
	m.busy, m.written = true, now
	m.writing = m.next(now)
	return append(out, Write{m.writing})
}

// expired returns the oldest sealed segment if its retention is over.
func (m *Machine) expired(now time.Time) (Stored, bool) {
	if !m.loaded || len(m.segments) == 0 || now.Unix()-m.segments[0].UnixTime <= int64(m.retention/time.Second) {
		return Stored{}, false
	}
	return m.segments[0], true
}

// stage answers what the index already decides and moves the rest into the next write, up to room records. A claim or
// result of a key that is already part of the write waits for the next one.
func (m *Machine) stage(out []Action, room int) []Action {
	var rest []pending
	touched := make(map[keyID]bool)
	for _, p := range m.waiting {
		id := p.id()
		if touched[id] {
			rest = append(rest, p)
			continue
		}
		r, done := m.decide(p, m.index[id])
		if done != nil {
			out = append(out, done)
			continue
		}
		touched[id] = true // later ones of the key keep their order
		if len(m.records) >= room {
			rest = append(rest, p)
			continue
		}
		m.staged, m.records = append(m.staged, p), append(m.records, r)
	}
	m.waiting = rest
	return out
}

func (p pending) id() keyID {
	if p.claim != nil {
		return keyID{p.claim.Caller, p.claim.Key}
	}
	return keyID{p.result.Caller, p.result.Key}
}

// mayBeOutdated reports whether the index decides an input without a write, by what another machine may have replaced.
func (m *Machine) mayBeOutdated(p pending) bool {
	h := m.index[p.id()]
	if p.claim != nil {
		_, released := m.released[p.claim.Attempt]
		return !released && h != nil && (h.Outcome == 0 || h.Outcome == attempt.Unknown)
	}
	_, released := m.released[p.result.Attempt]
	return !released && !attempt.Outcome(p.result.Outcome).NotExecuted() && (h == nil || h.Attempt != p.result.Attempt)
}

// decide returns the record to write, or the final answer if none is needed.
func (m *Machine) decide(p pending, h *holding) (Record, Action) {
	if p.claim == nil {
		return m.decideResult(p, h)
	}
	c := p.claim
	if _, ok := m.released[c.Attempt]; ok {
		// The entry has given up on this attempt; nobody would record its end.
		return Record{}, unavailable(p)
	}
	if h == nil || h.Outcome.NotExecuted() {
		return Record{Caller: c.Caller, Key: c.Key, Attempt: c.Attempt, Fingerprint: c.Fingerprint}, nil
	}
	reply := wire.ClaimReply{State: wire.ClaimTaken, Outcome: uint8(h.Outcome), Status: h.Status}
	switch {
	case h.Fingerprint != c.Fingerprint:
		reply = wire.ClaimReply{State: wire.ClaimMismatch}
	case h.Attempt == c.Attempt && h.Outcome == 0:
		reply = wire.ClaimReply{State: wire.ClaimGranted}
	}
	return Record{}, Reply{p.token, reply}
}

// decideResult records the result of the attempt that holds the key. A release needs that no other end is recorded. A
// release of an attempt that does not hold the key is stored too: a write of its claim that is still on the way then
// fails on the segment's version, and a claim of the attempt that arrives later is not granted.
func (m *Machine) decideResult(p pending, h *holding) (Record, Action) {
	r := p.result
	o := attempt.Outcome(r.Outcome)
	if _, ok := m.released[r.Attempt]; !ok && o.NotExecuted() && (h == nil || h.Attempt != r.Attempt) {
		return Record{Caller: r.Caller, Key: r.Key, Attempt: r.Attempt, Outcome: o}, nil
	}
	if h == nil || h.Attempt != r.Attempt || (h.Outcome != 0 && h.Outcome != attempt.Unknown) ||
		(h.Outcome == attempt.Unknown && o != attempt.Answered) || o == 0 {
		return Record{}, Confirm{p.token}
	}
	rec := h.Record
	rec.Outcome, rec.Status = o, r.Status
	return rec, nil
}

// next returns the open segment with the staged records. It is sealed by the write that fills it, or that finds it
// older than the retention, so that the keys of a quiet shard are dropped as well.
func (m *Machine) next(now time.Time) Stored {
	s := m.open
	s.Records = append(append([]Record(nil), s.Records...), m.records...)
	s.UnixTime = now.Unix()
	if s.Started == 0 {
		s.Started = s.UnixTime
	}
	size := 0
	for i := range s.Records {
		size += s.Records[i].size()
	}
	s.Sealed = size >= m.sealBytes || s.UnixTime-s.Started > int64(m.retention/time.Second)
	return s
}
