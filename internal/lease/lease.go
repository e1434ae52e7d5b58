// Package lease decides which process holds a lease of a cell. Machine is a deterministic state machine without I/O.
//
// The lease is one object of the platform's store, which is only changed by conditional updates. Wall clocks of different
// processes are never compared: the holder counts its term from the time before it sent the write, and a challenger takes
// the lease only after it has seen the same version of the object for the term plus a margin, by its own clock. A
// challenger can see a version only after the write was sent, so its wait ends after the holder's term as long as the
// rates of the two clocks differ by less than the margin allows.
package lease

import (
	"math/rand/v2"
	"time"
)

// Record is the content of the lease object.
type Record struct {
	Holder      string `json:"holder"`      // host that holds the lease, empty after a release
	Incarnation uint64 `json:"incarnation"` // of the holder's process
	Epoch       uint64 `json:"epoch"`       // grows by one whenever a process acquires the lease
	TermMs      int64  `json:"termMs"`      // time in milliseconds for which the write holds the lease
	WriteNumber uint64 `json:"write"`       // number of the write within the incarnation, to recognise a write whose answer was lost
}

// Config holds the settings of a Machine.
type Config struct {
	Host          string        // name of this host
	Incarnation   uint64        // differs for each process of the host
	Term          time.Duration // time for which a write holds the lease
	RenewInterval time.Duration // time between renewals of the holder and between calls without an answer
	// CalmRenewInterval replaces RenewInterval after a renewal that was answered within CalmLatency. 0 means that it never
	// does. The term has to leave time for the time limit of one call and for another attempt.
	CalmRenewInterval time.Duration
	CalmLatency       time.Duration
	ChallengeInterval time.Duration // time between reads of a challenger that waits for the end of a term, 0 for RenewInterval
	Margin            time.Duration // time that a challenger waits beyond the term
	HolderTimeout     time.Duration // time without a sign of life of the holder after which a challenger reads the lease
	Seed              uint64        // seed of the jitter
}

// Kind is the type of an action.
type Kind uint8

// Kinds of actions.
const (
	None  Kind = iota
	Read       // read the lease object
	Write      // create or update the lease object
)

// Action is a call to the store that the caller of Next has to make. It passes the result to OnRead, OnNotFound, OnWritten
// or OnError.
type Action struct {
	Kind    Kind
	Record  Record // record to write
	Version string // version that the update depends on, empty to create the object
}

// Machine is the state machine of one process. At most one action may be outstanding. It is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand

	known     bool          // rec and version are known to be stored: no write has an unknown outcome
	rec       Record        // last record that was read or written
	version   string        // version of rec, empty if the object does not exist
	firstSeen time.Duration // time at which version was first seen
	lastSeen  time.Duration // time at which version was last seen

	writeSentAt  map[uint64]time.Duration // send times by number of the writes whose outcome may be unknown
	writes       uint64                   // number of writes sent
	termEnd      time.Duration            // end of the term, valid if heldEpoch > 0
	heldEpoch    uint64                   // epoch in which this process holds the lease, 0 for none
	nextActionAt time.Duration            // time before which no action is due
	holderSeenAt time.Duration            // time of the last sign of life of the holder
	calm         bool                     // the last call was a renewal that was answered within CalmLatency
	generation   uint64                   // of the store's content
	lostUntil    time.Duration            // time until which another process may hold the lease although the store has lost its record
	maxEpoch     uint64                   // highest epoch seen
	releasing    bool                     // Release was called
	released     bool                     // the release is complete
}

// New returns a machine that does not hold the lease.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), writeSentAt: make(map[uint64]time.Duration), holderSeenAt: -cfg.HolderTimeout}
}

// generationEpochs is the number of epochs of one generation of the store. The epochs of a later one are all higher, so that an
// epoch that the store has lost is not given out again.
const (
	generationEpochs = 1 << 24
	firstGeneration  = 1 // of a store that has never returned from an older copy
)

// SetGeneration tells the machine the generation of the store's content. A new one means that the store has returned from an older
// copy: it may have lost the record of a holder whose term goes on, or name an earlier one.
func (m *Machine) SetGeneration(now time.Duration, generation uint64) {
	if generation <= m.generation {
		return
	}
	if generation > firstGeneration { // also for a process that has just started, which can't tell when the store returned
		m.known = false
		m.lostUntil = now + m.cfg.Term + m.cfg.Margin
	}
	m.generation = generation
}

// firstEpoch returns the lowest epoch of the store's generation.
func (m *Machine) firstEpoch() uint64 { return m.generation * generationEpochs }

// nextEpoch returns the epoch of a new acquisition.
func (m *Machine) nextEpoch() uint64 { return max(m.rec.Epoch, m.maxEpoch, m.firstEpoch()) + 1 }

// recordLost tells whether the record is of an earlier generation of the store, so that it does not show who holds the lease.
func (m *Machine) recordLost() bool { return m.generation > 0 && m.rec.Epoch < m.firstEpoch() }

// HeldEpoch returns the epoch in which this process holds the lease at now, or 0. It is 0 after the end of the term, even
// if no other process has taken the lease.
func (m *Machine) HeldEpoch(now time.Duration) uint64 {
	if m.heldEpoch > 0 && now < m.termEnd && !m.releasing {
		return m.heldEpoch
	}
	return 0
}

// TermEnd returns the end of the term, which is valid while HeldEpoch is not 0.
func (m *Machine) TermEnd() time.Duration { return m.termEnd }

// Calm tells whether the store answered the last renewal at once, so that the next call is expected to be answered soon.
func (m *Machine) Calm() bool { return m.calm }

// LastRecord returns the last record that was read or written.
func (m *Machine) LastRecord() Record { return m.rec }

// HolderSeen records a sign of life of the current holder, so that a challenger reads the lease less often. It may
// postpone a takeover, but never brings it forward.
func (m *Machine) HolderSeen(now time.Duration) { m.holderSeenAt = now }

// MakeDue makes the next action due at once, for example after the holder announced that it is leaving.
func (m *Machine) MakeDue() { m.nextActionAt, m.holderSeenAt = 0, -m.cfg.HolderTimeout }

// Release starts to give up the lease: HeldEpoch returns 0 from now on, and the next actions remove this process from the
// record. The machine does not acquire the lease again.
func (m *Machine) Release() { m.releasing, m.nextActionAt = true, 0 }

// Released tells whether the release is complete: the stored record no longer names this process.
func (m *Machine) Released() bool { return m.released }

// Next returns the action that is due at now. Its Kind is None if no action is due.
func (m *Machine) Next(now time.Duration) Action {
	if m.released || now < m.nextActionAt {
		return Action{}
	}
	if m.releasing {
		return m.release(now)
	}
	if m.HeldEpoch(now) > 0 {
		switch {
		case !m.known:
			return m.read(now)
		case m.recordLost() && m.heldEpoch < m.firstEpoch():
			return m.write(now, m.cfg.Host, m.nextEpoch()) // nobody else writes before the end of this term
		}
		return m.write(now, m.cfg.Host, m.rec.Epoch)
	}
	if !m.known || m.nextActionAt == 0 {
		return m.read(now)
	}
	switch {
	case m.recordLost() && now < m.lostUntil:
		return m.read(now)
	case m.version == "" || m.rec.Holder == "" || m.ownsRecord():
		// After the end of its own term, the process acquires the lease with a new epoch: the work of the old one was
		// cancelled.
		return m.write(now, m.cfg.Host, m.nextEpoch())
	case m.lastSeen-m.firstSeen > m.takeoverWait():
		// The version was read again at the end of the wait, so that a process that has not read for long sends no write
		// that would be refused.
		return m.write(now, m.cfg.Host, m.nextEpoch())
	case now-m.holderSeenAt < m.cfg.HolderTimeout:
		m.nextActionAt = m.holderSeenAt + m.cfg.HolderTimeout
		return Action{}
	}
	return m.read(now)
}

// release returns the next action of a release that has been started.
func (m *Machine) release(now time.Duration) Action {
	switch {
	case !m.known:
		return m.read(now)
	case !m.ownsRecord():
		m.released = true
		return Action{}
	}
	return m.write(now, "", m.rec.Epoch)
}

// ownsRecord tells whether the last known record names this process as the holder.
func (m *Machine) ownsRecord() bool {
	return m.rec.Holder == m.cfg.Host && m.rec.Incarnation == m.cfg.Incarnation
}

// takeoverWait returns how long a challenger must have seen the same version before it takes the lease. The term is taken
// from the record, because the holder may use another one than this process.
func (m *Machine) takeoverWait() time.Duration {
	return time.Duration(m.rec.TermMs)*time.Millisecond + m.cfg.Margin
}

func (m *Machine) read(now time.Duration) Action {
	m.scheduleNext(now)
	return Action{Kind: Read}
}

// scheduleNext sets the time of the next action to RenewInterval from now, reduced by a random part of up to a quarter, so
// that challengers don't act at the same time.
func (m *Machine) scheduleNext(now time.Duration) {
	m.nextActionAt = now + m.cfg.RenewInterval - time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/4+1))
}

// write returns a write action. The term of the lease counts from now, because the answer may arrive much later.
func (m *Machine) write(now time.Duration, holder string, epoch uint64) Action {
	m.writes++
	m.writeSentAt[m.writes] = now
	m.known = false
	m.scheduleNext(now)
	return Action{Kind: Write, Version: m.version, Record: Record{
		Holder: holder, Incarnation: m.cfg.Incarnation, Epoch: epoch, TermMs: m.cfg.Term.Milliseconds(), WriteNumber: m.writes,
	}}
}

// OnWritten records a write that was confirmed with its new version.
func (m *Machine) OnWritten(now time.Duration, rec Record, version string) {
	sentAt, known := m.writeSentAt[rec.WriteNumber]
	m.observe(now, rec, version)
	m.calm = m.cfg.CalmRenewInterval > 0 && known && m.ownsRecord() && now-sentAt <= m.cfg.CalmLatency
	if m.calm && !m.releasing {
		m.nextActionAt = sentAt + m.cfg.CalmRenewInterval
	}
}

// OnRead records the record and version that were read.
func (m *Machine) OnRead(now time.Duration, rec Record, version string) { m.observe(now, rec, version) }

// OnNotFound records that a read has found no object.
func (m *Machine) OnNotFound(now time.Duration) { m.observe(now, Record{}, "") }

// OnError records that a call failed, was refused because of a newer version, or has an unknown outcome. After a write,
// the object is read before anything else is done.
func (m *Machine) OnError(now time.Duration, wrote bool) {
	m.calm = false
	if wrote {
		m.nextActionAt = min(m.nextActionAt, now+m.cfg.RenewInterval/8)
	}
}

// observe records the stored record with its version, and updates the held epoch and the time of the next action.
func (m *Machine) observe(now time.Duration, rec Record, version string) {
	m.lastSeen = now
	if !m.known || version != m.version {
		if version != m.version || m.firstSeen == 0 {
			m.firstSeen = now
		}
		m.rec, m.version, m.known = rec, version, true
	}
	m.maxEpoch = max(m.maxEpoch, rec.Epoch)
	if m.recordLost() && m.HeldEpoch(now) > 0 && m.heldEpoch < m.firstEpoch() {
		m.nextActionAt = now // to store a record again
		return
	}
	if !m.ownsRecord() {
		m.heldEpoch = 0
		if rec.Holder == "" {
			m.nextActionAt = now + time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/8+1))
		} else {
			// The reads before the end of the wait show a release that was not announced, or another holder.
			if m.cfg.ChallengeInterval > 0 {
				m.nextActionAt = now + m.cfg.ChallengeInterval
			}
			remaining := max(m.firstSeen+m.takeoverWait()-now, 0)
			m.nextActionAt = min(m.nextActionAt, now+remaining+1+time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/8+1)))
		}
		return
	}
	// The stored record was written by this process. Its term counts from the send time of the write that stored it. Earlier
	// writes have a known outcome; a later one can no longer take effect because it depends on an older version.
	if sentAt, ok := m.writeSentAt[rec.WriteNumber]; ok {
		m.heldEpoch, m.termEnd = rec.Epoch, sentAt+m.cfg.Term
		m.nextActionAt = min(m.nextActionAt, sentAt+m.cfg.RenewInterval)
	}
	for number := range m.writeSentAt {
		if number < rec.WriteNumber {
			delete(m.writeSentAt, number)
		}
	}
}
