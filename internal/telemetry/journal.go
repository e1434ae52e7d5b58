package telemetry

import (
	"strings"
	"sync"
	"time"
)

// Decision is an entry of the journal. It states what a part of the process decided about a subject, and why.
type Decision struct {
	Time     time.Time         `json:"time"`
	Part     string            `json:"part"`    // for example "dispatch" or "planner"
	Subject  string            `json:"subject"` // request id, model or endpoint
	Decision string            `json:"decision"`
	Reason   string            `json:"reason"`
	Fields   map[string]string `json:"fields,omitempty"`
}

// Explanation is the response of /v1/explain.
type Explanation struct {
	Subject string     `json:"subject"`
	Entries []Decision `json:"entries"`           // oldest first
	Missing []string   `json:"missing,omitempty"` // processes that did not answer in time
}

// Journal keeps the latest decisions of a process in a ring buffer of fixed size.
type Journal struct {
	mu      sync.Mutex
	entries []Decision // ring buffer
	next    int        // index of the next entry to write
	wrapped bool       // the buffer is full, and the entry at next is the oldest
}

// NewJournal returns a journal that keeps the latest size decisions.
func NewJournal(size int) *Journal { return &Journal{entries: make([]Decision, size)} }

// maxReasonBytes limits the length of a reason, which may contain text of an endpoint or an error, so that the memory of a
// journal is limited too.
const maxReasonBytes = 256

// Add records a decision. It sets a zero Time to the current time and truncates a Reason that is longer than maxReasonBytes.
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

// Find returns the decisions in the journal that concern a subject, oldest first. A decision concerns its own subject and
// the request, model and endpoint in its fields. An empty subject matches all decisions.
func (j *Journal) Find(subject string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Decision{}
	if j.wrapped {
		out = appendMatching(out, j.entries[j.next:], subject)
	}
	return appendMatching(out, j.entries[:j.next], subject)
}

// appendMatching appends to out the decisions of entries that concern the subject.
func appendMatching(out, entries []Decision, subject string) []Decision {
	for _, d := range entries {
		if d.concerns(subject) {
			out = append(out, d)
		}
	}
	return out
}

// concerns reports whether Find returns the decision for the subject.
func (d *Decision) concerns(subject string) bool {
	return subject == "" || d.Subject == subject || d.Fields["request"] == subject || d.Fields["model"] == subject || d.Fields["endpoint"] == subject
}
