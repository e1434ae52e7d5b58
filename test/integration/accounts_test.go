package integration

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/soak"
	"sycamoredeal/platform/platformtest"
)

const (
	keyApplyLimit = 3 * time.Second // from the store's acknowledgement of a configuration until it is in force at every host
	lastingKey    = "key-lasting"   // of account "lasting" in every configuration
)

// accountConfig returns a configuration in which account "changing" holds the given keys and the route for lookups is public.
func accountConfig(version int, keys ...string) map[string]any {
	c := platformtest.Config(version, platformModels, platformAdapters)
	platformtest.SetPublic(c, "lookup")
	platformtest.AddAccount(c, "lasting", 1, lastingKey)
	platformtest.AddAccount(c, "changing", -1, keys...)
	return c
}

// keyCall returns a call without a body, whose rejection leaves the connection open. It forges the account header.
func keyCall(keys ...string) platformtest.Call {
	return platformtest.Call{Path: platformtest.BookingPath + "x", Method: http.MethodGet, Deadline: callLimit, Keys: keys, Account: "forged"}
}

// checkKey fails if a key is not accepted, or not rejected, at every host within keyApplyLimit of since and from then on.
func (f *platformFleet) checkKey(key string, want int, since time.Time) {
	f.t.Helper()
	for name, h := range f.hosts {
		for {
			o := platformtest.Do(f.ctx, h.front, keyCall(key))
			if o.Status == want {
				break
			}
			if o.StartedAt.Sub(since) > keyApplyLimit {
				f.t.Errorf("host %s: status %d for key %s %v after the change, want %d", name, o.Status, key, o.StartedAt.Sub(since), want)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	f.t.Logf("status %d for key %s at every host after %v", want, key, time.Since(since).Round(time.Millisecond))
	for name, h := range f.hosts {
		if o := platformtest.Do(f.ctx, h.front, keyCall(key)); o.Status != want {
			f.t.Errorf("host %s: status %d for key %s later, want %d", name, o.Status, key, want)
		}
	}
}

// TestPlatformAccounts guards against requests that run without a valid key, keys that reach a server or a log, changes of keys
// that are late or lost on one of their ways to the hosts, and 401 for a key that every configuration has.
func TestPlatformAccounts(t *testing.T) {
	f := startPlatformFleet(t, 4)
	version := 1
	put := func(keys ...string) time.Time {
		version++
		f.store.Put("config", "main", accountConfig(version, keys...))
		return time.Now()
	}
	f.checkKey(lastingKey, http.StatusOK, time.Now()) // without accounts every key is accepted
	f.checkKey("key-x", http.StatusUnauthorized, put("key-a", "key-b"))
	keysBefore := f.keysSeen()
	stop := f.load(func(int) platformtest.Call {
		c := bookingCall()
		c.Keys = []string{lastingKey}
		return c
	}, f.hostsExcept("")...)

	open := platformtest.NewClient(f.hosts["h1"].front)
	defer open.Close()
	for _, c := range []struct {
		call    platformtest.Call
		status  int
		account string
	}{
		{keyCall("key-a"), 200, "changing"}, {keyCall(lastingKey), 200, "lasting"}, {keyCall(), 401, ""}, {keyCall(""), 401, ""},
		{keyCall("key-a", "key-a"), 401, ""}, {keyCall("key-a "), 200, "changing"},
		{platformtest.Call{Path: platformtest.LookupPath + "x", Method: "GET", Deadline: callLimit, Account: "forged"}, 200, ""},
		{platformtest.Call{Path: platformtest.LookupPath + "x", Method: "GET", Deadline: callLimit, Account: "forged", Keys: []string{"key-b"}}, 200, "changing"},
		{platformtest.Call{Path: platformtest.LookupPath + "x", Method: "GET", Deadline: callLimit, Account: "forged", Keys: []string{"key-x"}}, 200, ""},
	} {
		o := open.Do(f.ctx, c.call)
		account, ran := f.accountOf(o.ID)
		if o.Status != c.status || ran != (c.status == 200) || account != c.account {
			t.Errorf("%s with keys %q: status %d, ran %v for account %q, want %d for %q", c.call.Path, c.call.Keys, o.Status, ran, account, c.status, c.account)
		}
	}

	f.checkKey("key-c", http.StatusOK, put("key-a", "key-b", "key-c")) // a key is added
	f.engines[0].StallStreams(1500 * time.Millisecond)
	var wg sync.WaitGroup
	wg.Go(func() { // a request that runs when its key is removed
		c := chatCall("m0")
		c.Keys = []string{"key-a"}
		checkStream(t, platformtest.Do(f.ctx, f.hosts["h2"].front, c))
	})
	time.Sleep(200 * time.Millisecond)
	f.checkKey("key-a", http.StatusUnauthorized, put("key-b", "key-c"))
	if o := open.Do(f.ctx, keyCall("key-a")); o.Status != http.StatusUnauthorized || !strings.Contains(o.Body, platformtest.KeyHeader) {
		t.Errorf("removed key on an open connection: status %d %q", o.Status, o.Body)
	}
	if o := open.Do(f.ctx, keyCall("key-b")); o.Status != http.StatusOK {
		t.Errorf("other key on the same connection: status %d", o.Status)
	}
	wg.Wait()

	f.hosts["h2"].toStore.SetMode(soak.Silent, 0) // it gets configurations from other hosts only
	f.checkKey("key-d", http.StatusOK, put("key-c", "key-d"))
	f.checkKey("key-b", http.StatusUnauthorized, put("key-c", "key-d"))
	f.hosts["h2"].toStore.SetMode(soak.Pass, 0)

	unusable := accountConfig(version+1, "key-d", lastingKey) // a key of two accounts
	f.store.Put("config", "main", unusable)
	f.waitFor("finding", func() bool { return strings.Contains(f.hosts["h0"].Output(), "tenants[1].api_keys[1]") })
	time.Sleep(time.Second)
	f.checkKey("key-c", http.StatusOK, time.Now())
	f.checkKey("key-x", http.StatusUnauthorized, time.Now())
	f.checkKey("key-e", http.StatusOK, put("key-c", "key-e"))

	older := f.store.Copy()
	f.checkKey("key-c", http.StatusUnauthorized, put("key-e"))
	f.store.Restore(older) // the store holds the removed key again
	time.Sleep(time.Second)
	f.checkKey("key-c", http.StatusUnauthorized, time.Now())
	f.checkKey("key-f", http.StatusOK, put("key-e", "key-f"))
	got := stop()

	f.store.SetUnavailable(true)
	f.restartHost("h3")
	ctx, cancel := context.WithTimeout(f.ctx, 15*time.Second)
	defer cancel()
	for status := 0; status != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if status = platformtest.Do(f.ctx, f.hosts["h3"].front, keyCall("key-f")).Status; status == http.StatusUnauthorized || ctx.Err() != nil {
			t.Fatalf("status %d at a host that starts without the store", status)
		}
	}
	f.checkKey("key-c", http.StatusUnauthorized, time.Now())

	for _, o := range got {
		account, ran := f.accountOf(o.ID)
		if o.Status != http.StatusOK || !ran || account != "lasting" {
			t.Errorf("request %s: status %d, account %q: %.60s", o.ID, o.Status, account, o.Body)
		}
	}
	if n := f.keysSeen() - keysBefore; len(got) < 100 || n > 0 {
		t.Errorf("%d requests, %d keys reached servers", len(got), n)
	}
	for name, h := range f.hosts {
		if out := h.Output(); strings.Contains(out, "key-") {
			t.Errorf("the log of host %s contains a key: %.200s", name, out[strings.Index(out, "key-")-80:])
		}
	}
	f.checkPromises(got, false)
}

// accountOf returns the account that a server was told of a request, and whether a server received the request.
func (f *platformFleet) accountOf(id string) (account string, received bool) {
	for _, s := range f.servers() {
		if a, ok := s.Accounts()[id]; ok {
			return a, true
		}
	}
	return "", false
}

// keysSeen returns the number of requests with a key that reached servers.
func (f *platformFleet) keysSeen() int {
	n := 0
	for _, s := range f.servers() {
		n += s.KeysSeen()
	}
	return n
}
