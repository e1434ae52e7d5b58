package telemetry

import (
	"strings"
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

// Explanation is the answer of /v1/explain.
type Explanation struct {
	Subject string     `json:"subject"`
	Entries []Decision `json:"entries"`           // oldest first
	Missing []string   `json:"missing,omitempty"` // processes that did not answer
}

// Journal keeps the latest decisions of a process in bounded memory.
type Journal struct {
	mu      sync.Mutex
	entries []Decision
	next    int
	wrapped bool
}

// NewJournal returns a journal that keeps the latest size decisions.
func NewJournal(size int) *Journal { return &Journal{entries: make([]Decision, size)} }

// maxReasonBytes bounds the text that an endpoint or an error contributes, so that a journal's memory is bounded in bytes too.
const maxReasonBytes = 256 // bytes

// Add records a decision. A zero Time is set to now, and a long Reason is cut.
func (j *Journal) Add(d Decision) {
	if len(d.Reason) > maxReasonBytes {
		d.Reason = strings.Clone(strings.ToValidUTF8(d.Reason[:maxReasonBytes], "")) + "..."
	}
	if d.Time.IsZero() {
		d.Time = time.Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries[j.next] = d
	j.next++
	if j.next == len(j.entries) {
		j.next, j.wrapped = 0, true
	}
}

// Find returns the kept decisions about a subject, oldest first. A decision is about its subject and about the request,
// model and endpoint in its fields. An empty subject matches all.
func (j *Journal) Find(subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Decision{}
	if j.wrapped {
		out = appendMatching(out, j.entries[j.next:], subject)
	}
	return appendMatching(out, j.entries[:j.next], subject)
}

func appendMatching(out, in []Decision, subject string) []Decision {
	for _, d := range in {
		if d.concerns(subject) {
			out = append(out, d)
		}
	}
	return out
}

func (d *Decision) concerns(subject string) bool {
	return subject == "" || d.Subject == subject || d.Fields["request"] == subject || d.Fields["model"] == subject || d.Fields["endpoint"] == subject
}
