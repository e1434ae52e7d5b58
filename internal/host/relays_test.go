package host

import (
	"slices"
	"testing"
	"time"
)

// TestRelays replays a dispatcher that loses the store beside some of the hosts (pca-rodeo-grown scale-2: for ten seconds
// all 109 hosts followed the store themselves). It guards against hosts without the store that are kept as relays, and
// against relays after the dispatcher has the store again.
func TestRelays(t *testing.T) {
	var r relaySelector
	now := time.Now()
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	if got := r.choose(now, true, true, hosts); got != nil || r.available(now) {
		t.Errorf("relays with the store: %v", got)
	}
	first := slices.Clone(r.choose(now, false, true, hosts))
	if len(first) != relayCount || r.available(now) {
		t.Fatalf("relays without the store: %v", first)
	}
	if r.recordBeat(now, first[0], false) || r.recordBeat(now, "h5", true) {
		t.Error("a host without the store, or one that was not chosen, counts as relay")
	}
	now = now.Add(relayTrialTime)
	second := slices.Clone(r.choose(now, false, true, hosts))
	if slices.Contains(second, first[0]) && slices.Contains(second, first[1]) && slices.Contains(second, first[2]) {
		t.Errorf("after relays without the store, the same are tried: %v", second)
	}
	if !r.recordBeat(now, second[1], true) || !r.available(now) {
		t.Error("a relay that reaches the store does not count")
	}
	now = now.Add(relayTimeout / 2)
	if got := r.choose(now, false, true, hosts); !slices.Equal(got, second) {
		t.Errorf("a relay that works is left for %v", got)
	}
	now = now.Add(relayTimeout)
	if r.available(now) {
		t.Error("a silent relay counts")
	}
	if got := r.choose(now, true, true, hosts); got != nil {
		t.Errorf("relays after the store is back: %v", got)
	}
	if got := r.choose(now, false, false, hosts); got != nil {
		t.Errorf("relays of a host that is not the dispatcher: %v", got)
	}
}
