package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
)

// FuzzCompletionBody guards against request bodies that crash the entry, or that reach an endpoint as something else
// than JSON with the caller's model.
func FuzzCompletionBody(f *testing.F) {
	for _, s := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"}]}`, `{"model":"m","messages":[],"n":-1,"stream":true}`,
		`{"model":"m","messages":null}`, `{"MODEL":"m","Model":"n","messages":[]}`, `{"model":"m","messages":[],"priority":9,"resume_text":"x"}`,
		`{"model":"` + "\xff" + `","messages":[]}`, `null`, `[]`, `{"model":1}`, `{`, "", strings.Repeat(`{"a":`, 50),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		body, err := parseCompletion(b)
		if err != nil {
			return
		}
		if body.N < 1 || body.Model == "" {
			t.Fatalf("accepted %+v", body.completionRequest)
		}
		out, err := body.encode(3, []string{"so far"})
		if err != nil {
			return // reported to the caller as malformed
		}
		var sent struct {
			Priority int    `json:"priority"`
			Resume   string `json:"resume_text"`
		}
		if err := json.Unmarshal(out, &sent); err != nil || sent.Priority != 3 || sent.Resume != "so far" {
			t.Fatalf("sends %q: %v", out, err)
		}
	})
}

// FuzzEvents guards against streams of an endpoint that crash the entry, make it keep more than the limit of an event,
// or count as complete without an end.
func FuzzEvents(f *testing.F) {
	for _, s := range []string{
		"id: 1\ndata: {}\n\n", "data: a\ndata: b\n\n", "data: a", ": comment\n\n\n", "data\n\n", "id:\xff\ndata: [DONE]\r\n\r\n", "\x00\n\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		size := 0
		err := readEvents(bytes.NewReader(b), func(e event) error {
			size += len(e.data)
			return newSequence(1).accept(e, discardSink{})
		})
		if err == nil || size > len(b) {
			t.Fatalf("stream of %d bytes ends with %v after %d bytes of data", len(b), err, size)
		}
	})
}

type discardSink struct{}

func (discardSink) event(received) error { return nil }
func (discardSink) end() error           { return nil }
func (discardSink) started() bool        { return false }

// TestEventOfManyLines guards against an endpoint that fills the entry's memory with one event of many lines.
func TestEventOfManyLines(t *testing.T) {
	line := "data: " + strings.Repeat("x", 1000) + "\n"
	read := 0
	err := readEvents(io.TeeReader(strings.NewReader(strings.Repeat(line, 5000)), writer(func(n int) { read += n })), func(event) error { return nil })
	if err == nil || !strings.Contains(err.Error(), "longer than") || read > 2*maxEventBytes {
		t.Errorf("got %v after %d bytes", err, read)
	}
}

type writer func(int)

func (w writer) Write(b []byte) (int, error) {
	w(len(b))
	return len(b), nil
}

// FuzzKey guards against idempotency keys that are stored although a header, a log or an object can't carry them.
func FuzzKey(f *testing.F) {
	for _, s := range []string{"", "a", "\"8e03978e\"", "a b", "\x00", "é", "a\nb", strings.Repeat("k", maxKey), strings.Repeat("k", maxKey+1)} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, key string) {
		printable := strings.IndexFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) < 0
		if ok := checkKey(key) == nil; ok != (printable && len(key) <= maxKey) {
			t.Fatalf("key %q: accepted %v", key, ok)
		}
	})
}
