package host

import (
	"slices"
	"testing"
	"time"
)

// TestRelays plays a dispatcher that loses the store together with some of the hosts (pca-rodeo-grown scale-2: for ten
// seconds all 109 hosts followed the store themselves). It guards against relays that are kept although they do not
// reach the store, and against relays that are kept after the dispatcher reaches the store again.
func TestRelays(t *testing.T) {
	var r relaySelector
	now := time.Now()
	hosts := []string{"h1", "h2", "h3", "h4", "h5"}
	if got := r.choose(now, true, true, hosts); got != nil || r.available(now) {
		t.Errorf("relays while the dispatcher follows the store: %v", got)
	}
	first := slices.Clone(r.choose(now, false, true, hosts))
	if len(first) != relayCount || r.available(now) {
		t.Fatalf("relays when the dispatcher has lost the store: %v", first)
	}
	if r.recordBeat(now, first[0], false) || r.recordBeat(now, "h5", true) {
		t.Error("a host that does not reach the store, or that was not chosen, counts as a relay")
	}
	now = now.Add(relayTrialTime)
	second := slices.Clone(r.choose(now, false, true, hosts))
	if slices.Contains(second, first[0]) && slices.Contains(second, first[1]) && slices.Contains(second, first[2]) {
		t.Errorf("the same hosts are tried again after they did not reach the store: %v", second)
	}
	if !r.recordBeat(now, second[1], true) || !r.available(now) {
		t.Error("a relay that reaches the store does not count as available")
	}
	now = now.Add(relayTimeout / 2)
	if got := r.choose(now, false, true, hosts); !slices.Equal(got, second) {
		t.Errorf("an available relay is replaced by %v", got)
	}
	now = now.Add(relayTimeout)
	if r.available(now) {
		t.Error("a silent relay counts as available")
	}
	if got := r.choose(now, true, true, hosts); got != nil {
		t.Errorf("relays after the dispatcher reaches the store again: %v", got)
	}
	if got := r.choose(now, false, false, hosts); got != nil {
		t.Errorf("relays of a host that is not the dispatcher: %v", got)
	}
}
