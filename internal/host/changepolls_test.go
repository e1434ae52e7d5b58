package host

import (
	"testing"
	"time"
)

// TestPollDelayFindsChangeSoon replays loads and unloads at engines whose reports show a state that is 100 or 200 ms old. It
// guards against a copy that is loaded and stays unused until a late poll: with one poll shortly after the expected end
// and the next one 250 ms later, each load was noticed 0.33 s late and each unload of an idle model after 0.25 s
// (further/jyltyr-almaty, scale-1).
func TestPollDelayFindsChangeSoon(t *testing.T) {
	for _, lag := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond} {
		for _, takes := range []time.Duration{0, 780 * time.Millisecond, 1100 * time.Millisecond, 5400 * time.Millisecond} {
			at, polls := time.Duration(0), 0
			for at < takes+lag {
				at += pollDelay(polls, takes)
				polls++
			}
			if late := at - takes - lag; late > frequentPollInterval {
				t.Errorf("lag %v, duration %v: noticed %v after the first report that shows it", lag, takes, late)
			}
			if polls > 3 {
				t.Errorf("lag %v, duration %v: %d polls, want at most 3", lag, takes, polls)
			}
		}
	}
}

// TestPollDelayWhileUnloadWaits guards against many reports from an engine whose unload waits for requests in progress.
func TestPollDelayWhileUnloadWaits(t *testing.T) {
	polls := 0
	for at := time.Duration(0); at < 6*time.Second; polls++ {
		at += pollDelay(polls, 0)
	}
	if polls > 27 {
		t.Errorf("%d polls in 6 s, want at most 27", polls)
	}
}
