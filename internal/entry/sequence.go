package entry

import (
	"encoding/json"
	"strconv"

	"github.com/juju/errors"
)

var (
	doneMarker  = []byte("[DONE]")
	errFinished = errors.New("stream finished")
)

// chunk is the part of a streamed event that the entry reads.
type chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	Refusal   string     `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls"`
}

// sequence joins the events of consecutive attempts into one answer.
//
// Invariants: events reach the sink in the order of their ids, from 1, each once. Events from the finish reason on are
// held until the end marker, so that an answer broken between them resumes from its last token.
type sequence struct {
	choices  int
	next     uint64 // id that the next event must have
	chunkID  string // id of the completion within the current attempt
	text     []string
	finished map[int]bool
	held     []received
}

// received is an event with its decoded data.
type received struct {
	event
	chunk chunk
}

func newSequence(choices int) *sequence {
	return &sequence{choices: choices, next: 1, text: make([]string, choices), finished: make(map[int]bool)}
}

// last returns the id of the last event that counts as received, 0 for none.
func (s *sequence) last() uint64 { return s.next - 1 }

// restart prepares for a new attempt: held events were not delivered and are received again.
func (s *sequence) restart() {
	s.next -= uint64(len(s.held))
	for _, r := range s.held {
		for _, c := range r.chunk.Choices {
			delete(s.finished, c.Index)
		}
	}
	s.held, s.chunkID = nil, ""
}

func (s *sequence) complete() bool { return len(s.finished) >= s.choices }

// accept checks an event and passes those that are due to sink. It returns errFinished after the end marker, and
// another error for an event that does not continue the answer.
func (s *sequence) accept(ev event, sink sink) error {
	if string(ev.data) == string(doneMarker) {
		return s.finish(sink)
	}
	if ev.id != strconv.FormatUint(s.next, 10) {
		return errors.Errorf("event id is %q, want %d", ev.id, s.next)
	}
	r := received{event: ev}
	if err := json.Unmarshal(ev.data, &r.chunk); err != nil {
		return errors.Annotatef(err, "event %d", s.next)
	}
	if s.chunkID == "" {
		s.chunkID = r.chunk.ID
	}
	if r.chunk.ID != s.chunkID {
		return errors.Errorf("event %d belongs to completion %q, want %q", s.next, r.chunk.ID, s.chunkID)
	}
	s.next++
	was := s.complete()
	for _, c := range r.chunk.Choices {
		if c.FinishReason != nil {
			s.finished[c.Index] = true
		}
	}
	if was || s.complete() {
		s.held = append(s.held, r)
		return nil
	}
	return s.deliver(r, sink)
}

func (s *sequence) deliver(r received, sink sink) error {
	for _, c := range r.chunk.Choices {
		if c.Index >= 0 && c.Index < len(s.text) {
			s.text[c.Index] += c.Delta.Content
		}
	}
	return sink.event(r)
}

func (s *sequence) finish(sink sink) error {
	if !s.complete() {
		return errors.New("end marker before the finish reason")
	}
	for _, r := range s.held {
		if err := s.deliver(r, sink); err != nil {
			return err
		}
	}
	s.held = nil
	if err := sink.end(); err != nil {
		return err
	}
	return errFinished
}

// soFar returns the text of each choice, or nil before the first event.
func (s *sequence) soFar() []string {
	if s.last() == 0 {
		return nil
	}
	return s.text
}

// sink receives the events of one answer. Its errors mean that the caller is gone.
type sink interface {
	event(received) error
	end() error
	started() bool // part of the answer was sent, so that its status can't change any more
}
