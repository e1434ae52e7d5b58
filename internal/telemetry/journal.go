package telemetry

import (
	"sync"
	"time"
)

// Decision is one entry of the journal: what a part decided about a subject, and why.
type Decision struct {
	Time     time.Time         `json:"time"`
	Part     string            `json:"part"`    // for example "dispatch" or "planner"
	Subject  string            `json:"subject"` // request id, model or endpoint
	Decision string            `json:"decision"`
	Reason   string            `json:"reason"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Journal keeps the latest decisions of a process in bounded memory.
type Journal struct {
	mu   sync.Mutex
	ring []Decision
	next int
	full bool
}

// NewJournal returns a journal that keeps the latest size decisions.
func NewJournal(size int) *Journal { return &Journal{ring: make([]Decision, size)} }

// Add records a decision. A zero Time is set to now.
func (j *Journal) Add(d Decision) {
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next] = d
	j.next++
	if j.next == len(j.ring) {
		j.next, j.full = 0, true
	}
}

// Find returns the kept decisions about a subject, oldest first; an empty subject matches all.
func (j *Journal) Find(subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Decision{}
	if j.full {
		out = appendMatching(out, j.ring[j.next:], subject)
	}
	return appendMatching(out, j.ring[:j.next], subject)
}

func appendMatching(out, in []Decision, subject string) []Decision {
	for _, d := range in {
		if subject == "" || d.Subject == subject {
			out = append(out, d)
		}
	}
	return out
}
