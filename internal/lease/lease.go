// Package lease decides who holds a cell's lease. It is a deterministic state machine without I/O.
//
// The lease is one object of the platform that is changed by conditional update only. No wall clocks are compared: the
// holder counts its term from before it sent a write, and a challenger waits until it has seen the same version for the
// term plus a margin on its own clock. The challenger sees a version only after its write was sent, so its wait ends
// after the holder's term as long as the two clocks differ in rate by less than the margin allows.
package lease

import (
	"math/rand/v2"
	"time"
)

// Record is the content of the lease object.
type Record struct {
	Holder      string `json:"holder"`      // host; empty after a release
	Incarnation uint64 `json:"incarnation"` // of the holder's process
	Epoch       uint64 `json:"epoch"`       // grows by one whenever the lease is acquired
	TermMs      int64  `json:"termMs"`
	WriteNumber       uint64 `json:"write"` // number of the write within the incarnation, to recognise a lost answer
}

// Config holds the settings of one process.
type Config struct {
	Host        string
	Incarnation uint64
	Term        time.Duration // time that a write keeps the lease
	RenewInterval       time.Duration // time between renewals, and between reads of a challenger
	Margin      time.Duration // additional wait of a challenger
	HolderTimeout       time.Duration // time without a sign of the holder after which a challenger reads
	Seed        uint64
}

// Kind is the type of an action.
type Kind uint8

// Kinds of actions.
const (
	None  Kind = iota
	Read       // read the lease object
	Write      // create or update the lease object
)

// Action is what the caller has to do. Its result goes to OnRead, OnAbsent, OnWritten or OnUnsure.
type Action struct {
	Kind    Kind
	Record  Record
	Version string // version that the update depends on; empty for a create
}

// Machine is the state machine of one process. It has at most one action outstanding and is not safe for concurrent use.
type Machine struct {
	cfg Config
	rng *rand.Rand

	known     bool // the object has been read and no write since is unsettled
	rec       Record
	version   string
	firstSeen time.Duration // when the current version was first seen
	lastSeen  time.Duration // when it was last seen

	sent      map[uint64]time.Duration // send times of writes whose outcome is unsettled
	writes    uint64
	until     time.Duration // end of the term, valid if epoch > 0
	epoch     uint64        // held epoch, 0 for none
	nextAt    time.Duration // no action before
	heard     time.Duration // last sign of the holder
	releasing bool
	released  bool
}

// New returns a machine that holds nothing.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), sent: make(map[uint64]time.Duration), heard: -cfg.HolderTimeout}
}

// HeldEpoch returns the epoch that the process holds at now, or 0. It is false from the end of the term on, even when no
// other process has taken the lease.
func (m *Machine) HeldEpoch(now time.Duration) uint64 {
	if m.epoch > 0 && now < m.until && !m.releasing {
		return m.epoch
	}
	return 0
}

// TermEnd returns the end of the held term.
func (m *Machine) TermEnd() time.Duration { return m.until }

// LastRecord returns the last record that was read or written.
func (m *Machine) LastRecord() Record { return m.rec }

// HolderSeen records a sign of life of the current holder, which lets a challenger read less often. It never shortens the
// wait before the lease is taken.
func (m *Machine) HolderSeen(now time.Duration) { m.heard = now }

// MakeDue makes the next action due at once, for example after the holder said that it is leaving.
func (m *Machine) MakeDue() { m.nextAt, m.heard = 0, -m.cfg.HolderTimeout }

// Release gives the lease up: Held is 0 from now on, and the next actions hand it over. The lease is not taken again.
func (m *Machine) Release() { m.releasing, m.nextAt = true, 0 }

// Released tells whether a hand-over has ended: the stored record no longer names this process.
func (m *Machine) Released() bool { return m.released }

// Next returns the action that is due at now.
func (m *Machine) Next(now time.Duration) Action {
	if m.released || now < m.nextAt {
		return Action{}
	}
	if m.releasing {
		return m.release(now)
	}
	if m.HeldEpoch(now) > 0 {
		if !m.known {
			return m.read(now)
		}
		return m.write(now, m.cfg.Host, m.rec.Epoch)
	}
	if !m.known || m.nextAt == 0 {
		return m.read(now)
	}
	switch {
	case m.version == "" || m.rec.Holder == "" || m.own():
		// An own record whose term has lapsed is acquired again with a new epoch: work of the old epoch was cancelled.
		return m.write(now, m.cfg.Host, m.rec.Epoch+1)
	case m.lastSeen-m.firstSeen > m.wait():
		// The version was read again at the end of the wait: a process that has not read for long sends no vain write.
		return m.write(now, m.cfg.Host, m.rec.Epoch+1)
	case now-m.heard < m.cfg.HolderTimeout:
		m.nextAt = m.heard + m.cfg.HolderTimeout
		return Action{}
	}
	return m.read(now)
}

func (m *Machine) release(now time.Duration) Action {
	switch {
	case !m.known:
		return m.read(now)
	case !m.own():
		m.released = true
		return Action{}
	}
	return m.write(now, "", m.rec.Epoch)
}

// own tells whether the stored record was written by this process.
func (m *Machine) own() bool {
	return m.rec.Holder == m.cfg.Host && m.rec.Incarnation == m.cfg.Incarnation
}

// wait is the time that a challenger must see the same version for; the term is the one that the holder counts.
func (m *Machine) wait() time.Duration {
	return time.Duration(m.rec.TermMs)*time.Millisecond + m.cfg.Margin
}

func (m *Machine) read(now time.Duration) Action {
	m.pause(now)
	return Action{Kind: Read}
}

// pause sets the time of the next action, jittered by a quarter so that challengers don't act together.
func (m *Machine) pause(now time.Duration) {
	m.nextAt = now + m.cfg.RenewInterval - time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/4+1))
}

// write remembers now as the start of the term: the answer may arrive much later.
func (m *Machine) write(now time.Duration, holder string, epoch uint64) Action {
	m.writes++
	m.sent[m.writes] = now
	m.known = false
	m.pause(now)
	return Action{Kind: Write, Version: m.version, Record: Record{
		Holder: holder, Incarnation: m.cfg.Incarnation, Epoch: epoch, TermMs: m.cfg.Term.Milliseconds(), WriteNumber: m.writes,
	}}
}

// OnWritten settles a write that was confirmed with its new version.
func (m *Machine) OnWritten(now time.Duration, rec Record, version string) {
	m.observe(now, rec, version)
}

// OnRead records the object as it was read.
func (m *Machine) OnRead(now time.Duration, rec Record, version string) { m.observe(now, rec, version) }

// OnNotFound records that the object does not exist.
func (m *Machine) OnNotFound(now time.Duration) { m.observe(now, Record{}, "") }

// OnError records that a call failed, was refused as stale, or that its outcome is unknown. After a write the object
// is read back before anything else is decided.
func (m *Machine) OnError(now time.Duration, wrote bool) {
	if wrote {
		m.nextAt = min(m.nextAt, now+m.cfg.RenewInterval/8)
	}
}

func (m *Machine) observe(now time.Duration, rec Record, version string) {
	m.lastSeen = now
	if !m.known || version != m.version {
		if version != m.version || m.firstSeen == 0 {
			m.firstSeen = now
		}
		m.rec, m.version, m.known = rec, version, true
	}
	if !m.own() {
		m.epoch = 0
		if rec.Holder == "" {
			m.nextAt = now + time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/8+1))
		} else {
			left := max(m.firstSeen+m.wait()-now, 0)
			m.nextAt = min(m.nextAt, now+left+1+time.Duration(m.rng.Int64N(int64(m.cfg.RenewInterval)/8+1)))
		}
		return
	}
	// The stored record is ours. Its term counts from the send time of the write that stored it; writes before it are
	// settled, and a later one can no longer take effect because it depends on an older version.
	if at, ok := m.sent[rec.WriteNumber]; ok {
		m.epoch, m.until = rec.Epoch, at+m.cfg.Term
		m.nextAt = min(m.nextAt, at+m.cfg.RenewInterval)
	}
	for w := range m.sent {
		if w < rec.WriteNumber {
			delete(m.sent, w)
		}
	}
}
