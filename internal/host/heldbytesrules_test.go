package host

import (
	"testing"
	"time"
)

// TestUnreadTime guards against ending a caller that is still within a stream's patience, against one that makes its endpoint
// wait until the server cuts the answer off, and against whole answers that stay in memory while others lack it.
func TestUnreadTime(t *testing.T) {
	const leastPatience, serverCutsOff = 2 * time.Second, 5 * time.Second
	for _, pressed := range []bool{false, true} {
		if d := unreadTime(false, pressed); d <= leastPatience || d >= serverCutsOff {
			t.Errorf("pressed %v: a caller may take nothing for %v while its endpoint sends", pressed, d)
		}
	}
	if free, pressed := unreadTime(true, false), unreadTime(true, true); free != callerWriteTimeout || pressed != unreadTimeSending {
		t.Errorf("whole answers: %v, %v under pressure", free, pressed)
	}
}

// TestWriteLimit guards against a write that lasts longer than its request, and against an answer that was complete in time and
// is cut because its request's time ends in the middle of the first write.
func TestWriteLimit(t *testing.T) {
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name       string
		begun, end time.Time
		want       time.Time
	}{
		{"no limit", now, time.Time{}, at(unreadTimeSending)},
		{"ends later", now, at(time.Minute), at(unreadTimeSending)},
		{"ends before", at(-time.Second), at(time.Second), at(time.Second)},
		{"begins just before the end", now, at(time.Millisecond), at(finalWriteTime)},
		{"begins after the end", now, at(-time.Second), at(finalWriteTime)},
		{"has ended", at(-time.Second), at(-time.Millisecond), at(-time.Millisecond)},
	} {
		if got := writeLimit(now, c.begun, c.end, unreadTimeSending); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got.Sub(now), c.want.Sub(now))
		}
	}
}
