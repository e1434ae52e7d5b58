package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sycamoredeal/internal/soak"
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

// TestPlatformHolderOutOfReach cuts the other hosts off from the holder of the placement lease, which the dispatcher still hears. It
// guards against requests for adapters that are not loaded and are held until their deadline (CONFIG), though nobody can load them.
func TestPlatformHolderOutOfReach(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 3, proxyPeers)
	holder, dispatcher := f.holder(), f.dispatcher()
	if holder == dispatcher {
		t.Fatal("the dispatcher holds the lease, though there are other hosts")
	}
	f.hosts[holder].toPeers.SetMode(soak.Silent, 0)
	for _, name := range f.hostsExcept(holder) {
		o := platformtest.Do(f.ctx, f.hosts[name].front, chatCall("m0/a2"))
		if o.Status != http.StatusServiceUnavailable || o.Duration > callLimit*3/4 || o.RetryAfterMs == 0 {
			t.Errorf("%s: status %d after %v, Retry-After %d ms", name, o.Status, o.Duration, o.RetryAfterMs)
		}
	}
	f.hosts[holder].toPeers.SetMode(soak.Pass, 0)
	time.Sleep(time.Second)
	for _, name := range f.hostsExcept(holder) {
		if o := platformtest.Do(f.ctx, f.hosts[name].front, chatCall("m0/a2")); o.Status != http.StatusOK {
			t.Errorf("%s, within reach again: status %d after %v", name, o.Status, o.Duration)
		}
	}
}
