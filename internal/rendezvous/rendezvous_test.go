package rendezvous

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against the owner of a key moving when another host leaves, and against most keys falling to few hosts.
func TestPick(t *testing.T) {
	hosts := []string{"a", "b", "c", "d"}
	n := map[string]int{}
	for k := range 4000 {
		key := fmt.Sprint(k)
		best := Pick(key, hosts)
		n[best]++
		if best != "d" && Pick(key, hosts[:3]) != best {
			t.Fatalf("owner of %s moved from %s when d left", key, best)
		}
	}
	for _, h := range hosts {
		if n[h] < 850 || n[h] > 1150 {
			t.Errorf("%s owns %d of 4000 keys", h, n[h])
		}
	}
	if Pick("k", nil) != "" {
		t.Error("owner without hosts")
	}
}

// TestKeysStay guards against keys that move between hosts that stay.
func TestKeysStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.SliceOfNDistinct(rapid.StringMatching("h[0-9]{1,3}"), 1, 20, rapid.ID).Draw(t, "hosts")
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		rest := append(append([]string(nil), hosts[:gone]...), hosts[gone+1:]...)
		for i := range 16 {
			key := fmt.Sprint("shard/", i)
			before, after := Pick(key, hosts), Pick(key, rest)
			if before != hosts[gone] && before != after {
				t.Fatalf("%s moved from %s to %s when %s left", key, before, after, hosts[gone])
			}
		}
	})
}
