package host

import (
	"strings"
	"testing"
	"testing/iotest"
)

// split runs splitEvents byte by byte and returns the events, each followed by "|".
func split(in string) (events string, err error) {
	var b strings.Builder
	err = splitEvents(iotest.OneByteReader(strings.NewReader(in)), nil, func(e []byte) error {
		b.Write(e)
		b.WriteByte('|')
		return nil
	})
	return b.String(), err
}

// TestSplitEvents guards against passing on part of an event, which a stream resumed at another endpoint would repeat.
func TestSplitEvents(t *testing.T) {
	for _, c := range []struct {
		name, in, want string
		fails          bool
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\n|id: 2\ndata: b\n\n|", false},
		{"crlf", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n|", false},
		{"cut in an event", "id: 1\ndata: a\n\nid: 2\ndat", "id: 1\ndata: a\n\n|", true},
		{"cut before the empty line", "id: 1\ndata: a\n", "", true},
		{"empty", "", "", false},
	} {
		got, err := split(c.in)
		if got != c.want || (err != nil) != c.fails {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
	if _, err := split(strings.Repeat("x", maxEventBytes+1)); err == nil {
		t.Error("an event longer than maxEventBytes is accepted")
	}
}

// TestEventID guards against resuming a stream after the wrong event.
func TestEventID(t *testing.T) {
	for in, want := range map[string]string{
		"id: 7\ndata: a\n\n": "7", "id:7\n\nid: 8\n\n": "8", "data: id: 9\n\n": "", "data: a\nid: 10\r\n\r\n": "10",
	} {
		if got := eventID([]byte(in)); got != want {
			t.Errorf("%q: %q, want %q", in, got, want)
		}
	}
}

// FuzzSplitEvents checks that the events of a stream, put together, are its input.
func FuzzSplitEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("id: 1\r\n\r\n\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		got, err := split(in)
		if whole := strings.ReplaceAll(got, "|", ""); err == nil && !strings.Contains(in, "|") && strings.TrimSpace(whole) != strings.TrimSpace(in) {
			t.Errorf("%q became %q", in, whole)
		}
	})
}
