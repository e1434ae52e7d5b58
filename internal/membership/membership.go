// Package membership decides which hosts of a cell are live, from heartbeats. It is a deterministic state machine
// without I/O.
package membership

import (
	"sort"
	"time"

	"sycamoredeal/internal/wire"
)

// State of a member.
type State uint8

// States of members. Only Alive members get roles.
const (
	Unheard State = iota // in the roster, no heartbeat yet
	Alive
	Suspect // heartbeats are missing
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"unheard", "alive", "suspect", "dead"}[s]
}

// Config holds the settings of one process.
type Config struct {
	Self    wire.Member
	Suspect time.Duration // time without a heartbeat
	Dead    time.Duration
}

// Info is what is known of one member.
type Info struct {
	wire.Member
	Last  wire.Heartbeat // latest heartbeat
	State State
	Quiet time.Duration // time since the latest heartbeat, or since the member was first seen
}

type member struct {
	wire.Member
	last  wire.Heartbeat
	heard bool
	at    time.Duration
}

// Table holds the members of a cell. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	members map[string]*member
}

// New returns a table that contains the process's own host only.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, members: make(map[string]*member)}
}

// SetRoster replaces the known members by those of the roster. The own host always stays.
func (t *Table) SetRoster(now time.Duration, roster []wire.Member) {
	next := make(map[string]*member, len(roster))
	for _, r := range roster {
		if r.Host == t.cfg.Self.Host {
			continue
		}
		m := t.members[r.Host]
		if m == nil || r.Incarnation > m.Incarnation && !(m.heard && m.last.Incarnation >= r.Incarnation) {
			m = &member{at: now}
		}
		leaving := m.heard && m.last.Leaving
		m.Member = r
		m.Leaving = m.Leaving || leaving
		next[r.Host] = m
	}
	t.members = next
}

// Heartbeat records a heartbeat. It returns false for one of an unknown host, of an earlier incarnation, or out of
// order; such a heartbeat changes nothing.
func (t *Table) Heartbeat(now time.Duration, hb wire.Heartbeat) bool {
	m := t.members[hb.Host]
	if m == nil {
		return false
	}
	if m.heard && (hb.Incarnation < m.last.Incarnation || hb.Incarnation == m.last.Incarnation && hb.Seq <= m.last.Seq) {
		return false
	}
	if hb.Incarnation < m.Incarnation {
		return false
	}
	m.last, m.heard, m.at = hb, true, now
	m.Leaving = hb.Leaving
	return true
}

// Leave marks the own host as leaving.
func (t *Table) Leave() { t.cfg.Self.Leaving = true }

// Self returns the own member.
func (t *Table) Self() wire.Member { return t.cfg.Self }

// Members returns all members in the order of their names, with the own host as alive.
func (t *Table) Members(now time.Duration) []Info {
	out := []Info{{Member: t.cfg.Self, State: Alive}}
	for _, m := range t.members {
		out = append(out, Info{Member: m.Member, Last: m.last, State: t.state(now, m), Quiet: now - m.at})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (t *Table) state(now time.Duration, m *member) State {
	switch quiet := now - m.at; {
	case quiet >= t.cfg.Dead:
		return Dead
	case !m.heard:
		return Unheard
	case quiet >= t.cfg.Suspect:
		return Suspect
	}
	return Alive
}

// Live returns the alive members, leaving ones included, in the order of their names.
func (t *Table) Live(now time.Duration) []wire.Member {
	var out []wire.Member
	for _, m := range t.Members(now) {
		if m.State == Alive {
			out = append(out, m.Member)
		}
	}
	return out
}

// Hosts returns the names of the members that may get a role: all that are not leaving.
func Hosts(members []wire.Member) []string {
	var out []string
	for _, m := range members {
		if !m.Leaving {
			out = append(out, m.Host)
		}
	}
	return out
}
