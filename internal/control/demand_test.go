package control

import (
	"fmt"
	"testing"
)

// TestDemandTree guards against a holder that receives the reports of all hosts, and against demand that never arrives.
func TestDemandTree(t *testing.T) {
	for n := 1; n <= 21; n++ {
		var hosts []string
		for i := range n {
			hosts = append(hosts, fmt.Sprintf("host-%02d", i))
		}
		holder := hosts[n/2]
		children := make(map[string]int)
		for _, h := range hosts {
			if h == holder {
				continue
			}
			children[demandParent(h, holder, hosts)]++
			hops := 0
			for at := h; at != holder; at = demandParent(at, holder, hosts) {
				if hops++; hops > 4 {
					t.Fatalf("%d hosts: %s is more than 4 hops from the holder", n, h)
				}
			}
		}
		for h, c := range children {
			if c > 2 {
				t.Errorf("%d hosts: %s has %d children", n, h, c)
			}
		}
	}
	if got := demandParent("unknown", "a", []string{"a", "b"}); got != "a" {
		t.Errorf("a host that is not yet a member reports to %q, want the holder", got)
	}
}
