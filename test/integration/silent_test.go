package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// TestPlatformSilentPeers has the open connections between hosts go silent for good, while new ones work. It guards against hosts
// that go on using them: every request for an adapter that was not loaded was held until its deadline, at all hosts but the
// holder of the placement lease.
func TestPlatformSilentPeers(t *testing.T) {
	t.Parallel()
	const hosts = 4
	f := startPlatformFleet(t, hosts, proxyPeers)
	for _, h := range f.hosts {
		if o := platformtest.Do(f.ctx, h.front, chatCall("m0/a1")); o.Status != http.StatusOK {
			t.Fatalf("before: %d %s", o.Status, o.Body)
		}
	}
	silenced := 0
	for _, h := range f.hosts {
		silenced += h.toPeers.SilenceOpen()
	}
	if silenced < hosts-1 {
		t.Fatalf("%d connections silenced", silenced)
	}
	time.Sleep(4 * time.Second) // longer than the bounds that hold while connections are reset
	for i := range hosts {
		o := platformtest.Do(f.ctx, f.hosts[fmt.Sprint("h", i)].front, chatCall(fmt.Sprint("m0/a", i+2)))
		if o.Status != http.StatusOK || !o.BodyComplete {
			t.Errorf("adapter %d at host %d: status %d after %v", i+2, i, o.Status, o.Duration)
		}
	}
}
