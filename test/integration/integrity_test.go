package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/standin/engine"
	"sycamoredeal/internal/testbed"
)

const integrityKey = "secret"

// integrityModels are declared on all engines, so that each can be served while an engine is away.
var integrityModels = []string{"m0", "m1", "m2"}

// integrityFleet is a fleet of three entry hosts, four engines and two servers of the service registry.
type integrityFleet struct {
	*testbed.Fleet
	t      *testing.T
	ctx    context.Context
	client *http.Client
	pause  time.Duration // of a caller before it repeats a call
}

func newIntegrityFleet(t *testing.T, o testbed.FleetOptions) *integrityFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	o.Declarations, o.Dir, o.Hosts = t.TempDir(), t.TempDir(), 3
	if err := os.WriteFile(filepath.Join(o.Declarations, "10-all.yaml"), []byte(integrityDeclarations()), 0o644); err != nil {
		t.Fatal(err)
	}
	f := &integrityFleet{t: t, ctx: ctx, pause: 200 * time.Millisecond, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 15 * time.Second}}
	if f.Fleet, err = testbed.StartFleet(ctx, bed, o); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, h := range f.Hosts {
			if t.Failed() {
				t.Logf("%s: %s\n%s", h.Name, h.Control.Output(), h.Entry.Output())
			}
		}
	})
	for _, m := range integrityModels {
		for _, h := range f.Hosts {
			f.until("answer of "+m, 20*time.Second, func() bool { return f.answers(h, m) })
		}
	}
	return f
}

func integrityDeclarations() string {
	var b strings.Builder
	fmt.Fprintf(&b, `
ranks: [{name: urgent, order: 0, firstToken: 500ms, betweenToken: 100ms, deadline: 8s}]
callers: [{name: app, keyHashes: [%s], ranks: [urgent], weight: 1}]
weightStore: {loadsPerSecond: 50, concurrentLoads: 8, adaptersInFlight: 40}
services: [{name: registry, timeout: 4s, endpoints: [{name: s0, host: gs0, zone: z0, address: "127.0.0.1:30000"}, {name: s1, host: gs1, zone: z1, address: "127.0.0.1:30001"}]}]
models:
`, config.Digest([]byte(integrityKey)))
	for _, m := range integrityModels {
		fmt.Fprintf(&b, "- {name: %s, memory: 2GiB, minReplicas: 2}\n", m)
	}
	b.WriteString("endpoints:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "- {name: e%d, host: g%d, zone: z%d, address: \"127.0.0.1:%d\", memory: 8GiB, slots: 64}\n", i, i, i%3, 30010+i)
	}
	return b.String()
}

func (f *integrityFleet) until(what string, limit time.Duration, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

func (f *integrityFleet) request(method, url, body string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(f.ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+integrityKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func (f *integrityFleet) answers(h *testbed.Host, model string) bool {
	resp, _, err := f.request("POST", "http://"+h.EntryAddr+"/v1/chat/completions", fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"x"}]}`, model))
	return err == nil && resp.StatusCode == http.StatusOK
}

// faults sets the switches of a stand-in.
func (f *integrityFleet) faults(url, body string) {
	f.t.Helper()
	if resp, b, err := f.request("PUT", url+"/_faults", body); err != nil || resp.StatusCode >= 300 {
		f.t.Fatalf("faults of %s: %v %s", url, err, b)
	}
}

func (f *integrityFleet) serviceFaults(body string) {
	f.t.Helper()
	for _, e := range f.Snapshot.Services[0].Endpoints {
		f.faults("http://"+e.Address, body)
	}
}

// scenario is a load of all models on all hosts.
func (f *integrityFleet) scenario(length time.Duration, rate float64, output int) *load.Scenario {
	s := &load.Scenario{Seed: 7, Duration: length, Grace: 20 * time.Second}
	for _, h := range f.Hosts {
		s.EntryAddrs = append(s.EntryAddrs, h.EntryAddr)
	}
	s.Streams = []load.Stream{{Name: "s", Caller: "app", Key: integrityKey, Rank: "urgent", Models: integrityModels, Rate: rate, PromptTokens: 10, OutputTokens: output}}
	return s
}

// play runs a load while the fleet is disturbed, and fails on each request that was cut, wrong, doubled or lost.
func (f *integrityFleet) play(s *load.Scenario, disturb func()) *load.Report {
	f.t.Helper()
	var wg sync.WaitGroup
	wg.Go(disturb)
	rep, err := load.Run(f.ctx, s)
	wg.Wait()
	if err != nil {
		f.t.Fatal(err)
	}
	if rep.Violations() > 0 {
		f.t.Errorf("%d violations:\n%s", rep.Violations(), strings.Join(rep.Details, "\n"))
	}
	for _, r := range rep.Rows {
		f.t.Logf("%s: sent %d, answered %d, refused %d, unknown %d", r.Rank, r.Sent, r.Answered, r.Refused, r.Unknown)
		if r.Answered < r.Sent/2 {
			f.t.Errorf("%d of %d answered", r.Answered, r.Sent)
		}
	}
	return rep
}

func (f *integrityFleet) stats(endpoint string) (s engine.Stats) {
	e := f.Snapshot.Endpoint(endpoint)
	_, b, err := f.request("GET", "http://"+e.Address+"/_stats", "")
	if err != nil || json.Unmarshal([]byte(b), &s) != nil {
		f.t.Errorf("stats of %s: %v", endpoint, err)
	}
	return s
}

// integrityCall is what the caller of one call was told.
type integrityCall struct {
	key, id  string
	status   int // 0 if the connection broke
	executed string
	took     time.Duration
	retry    string
}

func (f *integrityFleet) call(h *testbed.Host, key, id string) integrityCall {
	c := integrityCall{key: key, id: id}
	req, _ := http.NewRequestWithContext(f.ctx, "POST", "http://"+h.EntryAddr+"/svc/registry/transfers", strings.NewReader(`{"animal":1}`))
	req.Header.Set("Authorization", "Bearer "+integrityKey)
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		// The name in this form keeps net/http from sending the request a second time.
		req.Header["idempotency-key"] = []string{`"` + key + `"`}
	}
	start := time.Now()
	resp, err := f.client.Do(req)
	c.took = time.Since(start)
	if err != nil {
		return c
	}
	defer resp.Body.Close()
	var p struct{ Executed string }
	json.NewDecoder(resp.Body).Decode(&p)
	c.status, c.executed, c.retry = resp.StatusCode, p.Executed, resp.Header.Get("Retry-After")
	return c
}

// transfer makes calls with one key until one of them ends for good: copies of them at once at first, then one at a
// time after each "not run".
func (f *integrityFleet) transfer(rng *rand.Rand, key string, copies int, end time.Time) []integrityCall {
	var out []integrityCall
	for n := 0; ; n++ {
		start := rng.IntN(len(f.Hosts))
		got := make([]integrityCall, copies)
		var wg sync.WaitGroup
		for i := range copies {
			wg.Go(func() {
				got[i] = f.call(f.Hosts[(start+i)%len(f.Hosts)], key, fmt.Sprintf("%s/%d.%d", key, n, i))
			})
		}
		wg.Wait()
		out, copies = append(out, got...), 1
		if integritySettled(out) || time.Now().After(end) {
			return out
		}
		time.Sleep(f.pause)
	}
}

// integritySettled tells whether a caller knows all that it can learn: an answer, or an own call with unknown outcome.
func integritySettled(calls []integrityCall) bool {
	for _, c := range calls {
		if c.status == http.StatusOK || c.status == 0 || c.executed == "unknown" && c.status != http.StatusConflict {
			return true
		}
	}
	return false
}

// transfers plays many keys over a time and checks the services' record against what the callers were told.
func (f *integrityFleet) transfers(name string, keys, copies int, length time.Duration, disturb func()) {
	f.t.Helper()
	results := make([][]integrityCall, keys)
	var wg sync.WaitGroup
	wg.Go(disturb)
	end := time.Now().Add(length + 9*time.Second)
	for i := range keys {
		rng := rand.New(rand.NewPCG(1, uint64(i)))
		wg.Go(func() { results[i] = f.transfer(rng, fmt.Sprintf("%s-%d", name, i), copies, end) })
		time.Sleep(length / time.Duration(keys))
	}
	wg.Wait()
	f.compare(name, results)
}

// executions adds up the records of the services by request id.
func (f *integrityFleet) executions() map[string]int {
	all := make(map[string]int)
	for _, e := range f.Snapshot.Services[0].Endpoints {
		_, b, err := f.request("GET", "http://"+e.Address+"/_executions", "")
		count := make(map[string]int)
		if err != nil || json.Unmarshal([]byte(b), &count) != nil {
			f.t.Fatalf("executions of %s: %v", e.Name, err)
		}
		for id, n := range count {
			all[id] += n
		}
	}
	return all
}

func (f *integrityFleet) compare(name string, results [][]integrityCall) {
	f.t.Helper()
	f.settleCalls()
	executions := f.executions()
	calls, answered, unknown, again := 0, 0, 0, 0
	for _, list := range results {
		ran := 0
		for _, c := range list {
			n := executions[c.id]
			ran += n
			calls++
			switch {
			case c.status == http.StatusOK && n != 1:
				f.t.Errorf("%s: %s was answered and executed %d times", name, c.id, n)
			case (c.executed == "no" || c.status == http.StatusConflict) && n != 0:
				f.t.Errorf("%s: %s was told %d %q and executed %d times", name, c.id, c.status, c.executed, n)
			case c.status != 0 && c.status != http.StatusOK && c.executed == "":
				f.t.Errorf("%s: %s was told %d without an outcome", name, c.id, c.status)
			case c.status == http.StatusOK:
				answered++
			case c.executed == "no":
				again++
			case c.status != http.StatusConflict:
				unknown++
			}
		}
		if ran > 1 {
			f.t.Errorf("%s: key %s was executed %d times", name, list[0].key, ran)
		}
		if !integritySettled(list) {
			f.t.Errorf("%s: key %s was executed %d times and has no outcome; of %d calls, the first were told %+v, the last %+v", name, list[0].key, ran, len(list), list[:min(6, len(list))], list[len(list)-1])
		}
	}
	f.t.Logf("%s: %d keys, %d calls, %d answered, %d not run, %d unknown or broken", name, len(results), calls, answered, again, unknown)
	if answered < len(results)/2 {
		f.t.Errorf("%s: %d of %d keys answered", name, answered, len(results))
	}
}

// settleCalls waits until the services execute nothing more.
func (f *integrityFleet) settleCalls() {
	last := -1
	for n := len(f.executions()); n != last; n = len(f.executions()) {
		last = n
		time.Sleep(300 * time.Millisecond)
	}
}

// TestKeysAtOnce guards against a call that runs twice when its key reaches several hosts at once and the service's
// connections close before and after execution, and against a key that is lost after "not run".
func TestKeysAtOnce(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{})
	f.serviceFaults(`{"closeBefore":0.1,"closeAfter":0.1}`)
	f.transfers("closed", 300, 3, 2*time.Second, func() {})
	f.serviceFaults(`{}`)
	f.faults(f.PlatformURL, `{"loseAnswer":0.3}`)
	f.transfers("lost", 300, 3, 2*time.Second, func() {})
}

// TestKeysAcrossOutage guards against keyed calls that run, or wait, while the platform is out, against unkeyed ones
// that don't run, and against keys that stay taken by claims that took effect after they were reported unavailable.
func TestKeysAcrossOutage(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{})
	f.faults(f.PlatformURL, `{"outage":true}`)
	f.call(f.Hosts[0], "probe", "probe") // the shard's owner learns of the outage
	var refused []integrityCall
	for i := range 300 {
		h := f.Hosts[i%3]
		c := f.call(h, fmt.Sprintf("out-%d", i), fmt.Sprintf("out-%d/0", i))
		refused = append(refused, c)
		if c.status != http.StatusServiceUnavailable || c.executed != "no" || c.retry == "" || c.took > 2*time.Second {
			t.Errorf("keyed call during an outage: %+v", c)
		}
		if c := f.call(h, "", fmt.Sprintf("open-%d", i)); c.status != http.StatusOK {
			t.Errorf("unkeyed call during an outage: %+v", c)
		}
	}
	f.settleCalls()
	ran := f.executions()
	for _, c := range refused {
		if ran[c.id] != 0 {
			t.Errorf("%s ran although told that it did not", c.id)
		}
	}
	f.faults(f.PlatformURL, `{}`)
	f.transfers("out", 300, 1, time.Second, func() {})
}

// TestLateClaims guards against keys that stay taken with an unknown outcome because the write of their claim took
// effect after the claim had been reported unavailable and released.
func TestLateClaims(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{})
	f.transfers("warm", 200, 1, 500*time.Millisecond, func() {}) // the shards are loaded
	f.faults(f.PlatformURL, `{"delayMs":4000}`)
	f.pause = 3500 * time.Millisecond // the releases are done and the late writes arrive before the keys are used again
	f.transfers("late", 300, 1, 200*time.Millisecond, func() {
		time.Sleep(700 * time.Millisecond)
		f.faults(f.PlatformURL, `{"outage":true}`) // no owner can read back
		time.Sleep(900 * time.Millisecond)
		f.faults(f.PlatformURL, `{}`)
	})
}

// TestKeysAcrossDeaths guards against calls that run twice or run after "not run" while entry and control processes
// die and a control process is frozen and resumed.
func TestKeysAcrossDeaths(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{})
	f.serviceFaults(`{"delayMs":20}`)
	f.transfers("control", 400, 2, 4*time.Second, func() {
		time.Sleep(500 * time.Millisecond)
		f.Hosts[0].Control.Kill()
		time.Sleep(300 * time.Millisecond)
		f.Hosts[1].Control.Suspend()
		time.Sleep(2 * time.Second)
		f.Hosts[1].Control.Resume()
		f.StartControl(f.Hosts[0])
	})
	f.transfers("entry", 300, 2, 2*time.Second, func() {
		time.Sleep(700 * time.Millisecond)
		f.Hosts[2].Entry.Kill()
		if err := f.StartEntry(f.Hosts[2]); err != nil {
			t.Error(err)
		}
	})
}

// integrityProxies puts a toxiproxy in front of each engine and declares the proxies as the endpoints.
func (f *integrityFleet) integrityProxies() map[string]*toxiproxy.Proxy {
	f.t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	out := make(map[string]*toxiproxy.Proxy)
	path := filepath.Join(f.Options.Dir, "10-all.yaml")
	b, err := os.ReadFile(path)
	if err != nil {
		f.t.Fatal(err)
	}
	text := string(b)
	for _, e := range f.Snapshot.Endpoints {
		p := toxiproxy.NewProxy(server, e.Name, testbed.FreeAddr(), e.Address)
		if err := p.Start(); err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(p.Stop)
		out[e.Name] = p
		text = strings.ReplaceAll(text, e.Address, p.Listen)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
	if err := f.Apply(f.ctx); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	return out
}

// toxic sets one toxic of a proxy; "" takes all away.
func (f *integrityFleet) toxic(p *toxiproxy.Proxy, json string) {
	f.t.Helper()
	p.Toxics.ResetToxics(f.ctx)
	if json == "" {
		return
	}
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(json)); err != nil {
		f.t.Error(err)
	}
}

// TestStreamsThroughBrokenConnections guards against tokens that are lost, doubled or given to another caller when
// connections to engines are cut, delayed, reset and half open, many streams run at once, and the dispatcher is frozen
// and another dies.
func TestStreamsThroughBrokenConnections(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{EngineArgs: []string{"--token-time", "8ms"}, EntryArgs: []string{"--idle-timeout", "700ms", "--first-token-timeout", "1s"}})
	p := f.integrityProxies()
	s := f.scenario(4*time.Second, 150, 40)
	s.EntryAddrs = s.EntryAddrs[:1] // the dispatcher may be any entry; the callers of one that dies see their connections break
	f.play(s, func() {
		f.toxic(p["e0"], `{"type":"limit_data","stream":"downstream","attributes":{"bytes":3000}}`)
		f.toxic(p["e1"], `{"type":"latency","stream":"downstream","attributes":{"latency":60,"jitter":40}}`)
		time.Sleep(1500 * time.Millisecond)
		f.Hosts[1].Entry.Suspend()
		f.toxic(p["e0"], `{"type":"reset_peer","stream":"downstream","attributes":{"timeout":100}}`)
		f.toxic(p["e2"], `{"type":"timeout","stream":"downstream","attributes":{"timeout":0}}`)
		time.Sleep(1200 * time.Millisecond)
		f.toxic(p["e0"], "")
		f.toxic(p["e2"], "")
		f.Hosts[1].Entry.Resume()
		f.Hosts[2].Entry.Kill()
	})
}

// TestStreamsAcrossEngineDeaths guards against broken or mixed answers when engines die, freeze, break off streams and
// send the answer to another request, in the middle of hundreds of them; and against streams that wait for ever because
// each endpoint has failed them once.
func TestStreamsAcrossEngineDeaths(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{EngineArgs: []string{"--token-time", "8ms"}, EntryArgs: []string{"--idle-timeout", "700ms", "--first-token-timeout", "1s"}})
	f.faults("http://"+f.Snapshot.Endpoint("e2").Address, `{"misdirectEvery":5}`)
	e3 := "http://" + f.Snapshot.Endpoint("e3").Address
	f.faults(e3, `{"failAfterTokens":7}`)
	f.play(f.scenario(5*time.Second, 120, 40), func() {
		time.Sleep(time.Second)
		f.faults(e3, `{}`)
		f.Engines["e0"].Kill()
		time.Sleep(time.Second)
		f.Engines["e1"].Suspend()
	})
}

// TestRollingRestart guards against a planned stop of hosts, one after the other under load, that a caller or the load
// balancer notices (G7).
func TestRollingRestart(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{EngineArgs: []string{"--token-time", "8ms"}, EntryArgs: []string{"--ready-delay", "1s"}})
	s := f.scenario(6500*time.Millisecond, 60, 40)
	s.Calls = []load.Call{{Name: "c", Caller: "app", Key: integrityKey, Service: "registry", Method: "POST", Path: "/transfers", Rate: 40, SendIdempotencyKey: true}}
	for _, e := range f.Snapshot.Services[0].Endpoints {
		s.ServiceAddrs = append(s.ServiceAddrs, e.Address)
	}
	long := load.Stream{Name: "long", Caller: "app", Key: integrityKey, Rank: "urgent", Models: integrityModels, Rate: 8, PromptTokens: 10, OutputTokens: 90}
	s.Streams = append(s.Streams, long)
	rep := f.play(s, func() {
		for _, h := range f.Hosts {
			if err := f.restart(h); err != nil {
				t.Error(err)
			}
		}
	})
	for _, r := range rep.Rows {
		if r.Unknown+r.Refused > 0 {
			t.Errorf("%s: %d refused and %d unknown in a planned stop: %v", r.Rank, r.Refused, r.Unknown, rep.Details)
		}
	}
	for _, e := range f.Snapshot.Endpoints {
		if st := f.stats(e.Name); st.Truncated > 0 {
			t.Errorf("%s: %d streams were cut", e.Name, st.Truncated)
		}
	}
}

// restart stops both processes of a host gracefully and starts them again.
func (f *integrityFleet) restart(h *testbed.Host) error {
	if err := h.Entry.Stop(20 * time.Second); err != nil {
		return err
	}
	if err := h.Control.Stop(10 * time.Second); err != nil {
		return err
	}
	if err := f.StartControl(h); err != nil {
		return err
	}
	if err := f.StartEntry(h); err != nil {
		return err
	}
	return testbed.WaitHTTP(f.ctx, "http://"+h.EntryAddr+"/readyz")
}

// TestLeavingEndpointGetsNothing guards against new work on an endpoint that has been leaving for 3 s by the platform's
// list, a declaration or its own report (G6), and against streams in progress there that are cut.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{EngineArgs: []string{"--token-time", "8ms"}})
	f.faults(f.PlatformURL, `{"listLagMs":300}`)
	f.play(f.scenario(7*time.Second, 100, 30), func() {
		time.Sleep(time.Second)
		o, _ := objects.Encode(objects.KindEndpoint, "e0", "", map[string]any{"leaving": true})
		if _, err := objects.NewClient(f.PlatformURL, "").Create(f.ctx, o); err != nil {
			t.Error(err)
		}
		since := map[string]time.Time{"e0": time.Now()}
		f.declare("90-leaving.yaml", "endpoints: [{name: e1, leaving: true}]")
		since["e1"] = time.Now()
		f.faults("http://"+f.Snapshot.Endpoint("e2").Address, `{"drain":true}`)
		since["e2"] = time.Now()
		time.Sleep(4800 * time.Millisecond)
		for e, at := range since {
			st := f.stats(e)
			t.Logf("%s: latest of %d starts %s after it was leaving, %d cut", e, st.Started, st.LastStart.Sub(at).Round(time.Millisecond), st.Truncated)
			if st.LastStart.Sub(at) > 3*time.Second || st.Truncated > 0 || st.Started == 0 {
				t.Errorf("%s: %+v, leaving since %s", e, st, at)
			}
		}
		if st := f.stats("e3"); time.Since(st.LastStart) > time.Second {
			t.Errorf("e3 got nothing either: %+v", st)
		}
	})
}

func (f *integrityFleet) declare(file, content string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.Options.Dir, file), []byte(content), 0o644); err != nil {
		f.t.Error(err)
	}
	if err := f.Apply(f.ctx); err != nil {
		f.t.Error(err)
	}
}

// TestMaintenanceWindow guards against a window that opens while requests run on its hosts, against models that don't
// answer then, and against requests that are cut to get there (G7).
func TestMaintenanceWindow(t *testing.T) {
	f := newIntegrityFleet(t, testbed.FleetOptions{EngineArgs: []string{"--token-time", "8ms"}})
	opens := time.Now().Add(7 * time.Second).Truncate(time.Second)
	f.play(f.scenario(time.Until(opens)+time.Second, 80, 30), func() {
		f.declare("90-window.yaml", fmt.Sprintf("maintenance: [{name: w, hosts: [g0, g1], start: %s, end: %s, drain: 4s}]",
			opens.Format(time.RFC3339), opens.Add(time.Hour).Format(time.RFC3339)))
		time.Sleep(time.Until(opens))
		for _, e := range []string{"e0", "e1"} {
			st := f.stats(e)
			t.Logf("%s: latest of %d starts %s before the window", e, st.Started, opens.Sub(st.LastStart).Round(time.Millisecond))
			if st.Running > 0 || st.Truncated > 0 || st.Started == 0 {
				t.Errorf("%s when the window opens: %+v", e, st)
			}
			f.Engines[e].Kill()
		}
		for _, m := range integrityModels {
			for _, h := range f.Hosts {
				if !f.answers(h, m) {
					t.Errorf("%s does not answer at %s in the window", m, h.Name)
				}
			}
		}
	})
}
