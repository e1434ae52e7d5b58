package rendezvous

import (
	"fmt"
	"testing"
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
