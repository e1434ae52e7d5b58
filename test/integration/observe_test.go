package integration

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/operator"
	"sycamoredeal/internal/peertls"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// observed is a fleet of two hosts with mutual TLS. e3 is declared leaving.
type observed struct {
	*testbed.Fleet
	t     *testing.T
	ctx   context.Context
	files peertls.Files
	seen  atomic.Int64 // tokens of the latest request
}

func newObserved(t *testing.T) *observed {
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	files, err := testbed.IssueCertificate(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	start := time.Now().Add(2 * time.Hour).UTC()
	decl := fmt.Sprintf(`
ranks: [{name: urgent, order: 0, firstToken: 200ms, betweenToken: 60ms, deadline: 10s}]
callers: [{name: app, keyHashes: [%s], ranks: [urgent], weight: 1}]
models: [{name: m1, memory: 4GiB, minReplicas: 2}, {name: big, memory: 16GiB, minReplicas: 1}]
endpoints:
- {name: e1, host: g1, zone: z1, address: "127.0.0.1:1", memory: 24GiB, slots: 8}
- {name: e2, host: g2, zone: z1, address: "127.0.0.1:2", memory: 24GiB, slots: 8}
- {name: e3, host: g3, zone: z1, address: "127.0.0.1:3", memory: 24GiB, slots: 8, leaving: true}
maintenance: [{name: power, hosts: [g1], start: %s, end: %s, drain: 5m}]
`, config.Digest([]byte("secret")), start.Format(time.RFC3339), start.Add(time.Hour).Format(time.RFC3339))
	if err := os.WriteFile(filepath.Join(dir, "10.yaml"), []byte(decl), 0o644); err != nil {
		t.Fatal(err)
	}
	args := tlsArgs(files)
	f, err := testbed.StartFleet(ctx, bed, testbed.FleetOptions{
		Declarations: dir, Dir: t.TempDir(), Hosts: 2, ControlArgs: args, EntryArgs: args, EngineArgs: []string{"--token-time", "30ms"},
	})
	if err != nil {
		t.Fatal(err)
	}
	o := &observed{Fleet: f, t: t, ctx: ctx, files: files}
	for _, h := range f.Hosts {
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s: %s\n%s", h.Name, h.Control.Output(), h.Entry.Output())
			}
		})
		o.until("a whole stream through "+h.Name, func() bool { return o.request(h, "ready-"+h.Name, "m1", 5) })
	}
	return o
}

func tlsArgs(f peertls.Files) []string {
	return []string{"--tls-cert", f.Cert, "--tls-key", f.Key, "--tls-ca", f.CA}
}

func (o *observed) until(what string, ok func() bool) {
	o.t.Helper()
	for !ok() {
		if o.ctx.Err() != nil {
			o.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// request sends a streamed request with a request id and tells whether its answer is whole.
func (o *observed) request(h *testbed.Host, id, model string, tokens int) bool {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, model, tokens)
	req, _ := http.NewRequestWithContext(o.ctx, http.MethodPost, "http://"+h.EntryAddr+"/v1/chat/completions", strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	o.seen.Store(0)
	whole := false
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		if strings.Contains(sc.Text(), `"content"`) {
			o.seen.Add(1)
		}
		whole = whole || sc.Text() == "data: [DONE]"
	}
	return resp.StatusCode == 200 && whole && o.seen.Load() == int64(tokens)
}

// ctl runs sycamorectl against the admin port of one host's control process.
func (o *observed) ctl(h *testbed.Host, args ...string) string {
	o.t.Helper()
	code, out, errs := ctl(o.ctx, "", append([]string{"--platform", o.PlatformURL, "--control", h.AdminAddr}, args...)...)
	if code != 0 {
		o.t.Fatalf("sycamorectl %v: exit code %d, %s%s", args, code, out, errs)
	}
	return out
}

func (o *observed) explain(h *testbed.Host, subject string) (e telemetry.Explanation) {
	o.t.Helper()
	if err := json.Unmarshal([]byte(o.ctl(h, "--output", "json", "explain", subject)), &e); err != nil {
		o.t.Fatal(err)
	}
	return e
}

// has tells whether one of the entries has these values, empty ones match all.
func has(e telemetry.Explanation, part, decision, reason string) bool {
	for _, d := range e.Entries {
		if (part == "" || d.Part == part) && (decision == "" || d.Decision == decision) && strings.Contains(d.Reason, reason) {
			return true
		}
	}
	return false
}

func (o *observed) metrics(addr string) string {
	resp, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		o.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

func (o *observed) wantAll(what, text string, wants ...string) {
	o.t.Helper()
	for _, w := range wants {
		if !strings.Contains(text, w) {
			o.t.Errorf("%s lacks %q:\n%s", what, w, text)
		}
	}
}

// Guards against decisions, states and metrics that operators can't see, in a fleet with mutual TLS: a request whose
// path is spread over two hosts, a stream resumed after its engine died, a leaving endpoint, a maintenance window.
func TestObserve(t *testing.T) {
	o := newObserved(t)
	h1, h2 := o.Hosts[0], o.Hosts[1]
	for _, h := range o.Hosts {
		other := h1
		if h == h1 {
			other = h2
		}
		// The same question at either control process finds what the entry and the dispatcher decided, wherever they run.
		o.until("grant of ready-"+h.Name, func() bool {
			e := o.explain(other, "ready-"+h.Name)
			if has(e, "entry", "chose alone", "") { // the dispatcher did not answer in time, so it has decided nothing yet
				o.request(h, "ready-"+h.Name, "m1", 5)
			}
			return has(e, "dispatch", "grant", "")
		})
	}
	if e := o.explain(h1, "m1"); !has(e, "planner", "load", "too few copies") || len(e.Missing) > 0 {
		t.Errorf("explain m1 lacks why the planner loaded it, or processes did not answer: %+v", e)
	}
	o.wantAll("explain as a table", o.ctl(h2, "explain", "e1"), "PROCESS", "planner", "load", "model=m1")
	o.until("model big", func() bool { return o.request(h2, "big", "big", 2) })
	o.until("reports in the status of both", func() bool {
		return !strings.Contains(o.ctl(h1, "status"), "?") && !strings.Contains(o.ctl(h2, "status"), "?")
	})
	o.wantAll("status", o.ctl(h2, "status"), "entry-01", "entry-02", "lease", "dispatcher", "declared leaving", "m1", "big")
	o.wantAll("maintenance", o.ctl(h1, "maintenance"), "power: planned", "without another copy:", "in progress: 0 requests")
	o.wantAll("metrics of control", o.metrics(h1.AdminAddr), "sycamore_lease_epoch", "sycamore_config_revision 1", "sycamore_platform_calls_total", "sycamore_unplaced 0")

	done := make(chan bool, 1)
	go func() { done <- o.request(h1, "resumed", "m1", 100) }()
	var running string
	o.until("tokens, and the stream in the status", func() bool {
		for _, d := range o.explain(h2, "resumed").Entries {
			running = d.Fields["endpoint"]
		}
		var s operator.Status
		json.Unmarshal([]byte(o.ctl(h1, "--output", "json", "status")), &s)
		return o.seen.Load() >= 5 && slices.ContainsFunc(s.Endpoints, func(e operator.EndpointStatus) bool { return e.Name == running && e.Running == 1 })
	})
	o.Engines[running].Kill()
	if !<-done {
		t.Errorf("the stream was not resumed after %s died", running)
	}
	e := o.explain(h2, "resumed")
	if !has(e, "entry", "resume", "") {
		t.Errorf("explain lacks the resume: %+v", e)
	}
	o.wantAll("metrics of the entry", o.metrics(h1.EntryAdminAddr), `sycamore_resumes_total{caller="app",rank="urgent"} 1`,
		`sycamore_requests_total{caller="app",rank="urgent",result="answered"}`, `sycamore_first_token_seconds_count{caller="app",rank="urgent"}`,
		`sycamore_between_tokens_seconds_count{caller="app",rank="urgent"}`, `sycamore_queue_seconds_count{caller="app",rank="urgent"}`, "sycamore_in_progress 0")
	dispatchers := 0
	for _, h := range o.Hosts {
		m := o.metrics(h.EntryAdminAddr)
		if strings.Contains(m, "\nsycamore_dispatcher 1\n") {
			dispatchers++
			o.wantAll("metrics of the dispatcher", m, `sycamore_waiting{rank="urgent"}`)
		}
	}
	if dispatchers != 1 {
		t.Errorf("%d entries say that they are the dispatcher", dispatchers)
	}
}

// Guards against processes that serve a stranger: one with a certificate of another authority, or without any.
func TestStrangerGetsNothing(t *testing.T) {
	o := newObserved(t)
	foreign, err := testbed.IssueCertificate(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	h := o.Hosts[0]
	entry := func(name string, f peertls.Files) string {
		addr := testbed.FreeAddr()
		args := append([]string{"--host", name, "--zone", "z1", "--listen", addr, "--peer-listen", testbed.FreeAddr(), "--control", h.ControlAddr}, tlsArgs(f)...)
		if _, err := o.Start(name, "sycamore-entry", args...); err != nil {
			t.Fatal(err)
		}
		return "http://" + addr
	}
	own, stranger := entry("own", o.files), entry("stranger", foreign)
	if err := testbed.WaitHTTP(o.ctx, own+"/readyz"); err != nil {
		t.Fatal(err) // shows that the stranger below is refused for its certificate only
	}
	foreignTLS, err := foreign.Load()
	if err != nil {
		t.Fatal(err)
	}
	hello := wire.Hello{Host: "stranger", Role: wire.RoleControl, Cell: "cell-1"}
	for _, addr := range []string{h.ControlAddr, h.PeerAddr} {
		for _, opts := range []transport.Options{{Hello: hello, TLS: foreignTLS}, {Hello: hello}} {
			opts.Handler = func(_ *transport.Conn, _ uint64, m wire.Message) {
				t.Errorf("a stranger got a message of kind %d", m.Kind())
			}
			opts.OnConnected = func(*transport.Conn) { t.Errorf("a stranger got a Hello from %s", addr) }
			c := transport.Dial(o.ctx, addr, opts)
			time.Sleep(500 * time.Millisecond)
			c.Close()
		}
	}
	for name, log := range map[string]string{"control": h.Control.Output(), "entry": h.Entry.Output()} {
		if !strings.Contains(log, "Handshake with another process failed.") {
			t.Errorf("the log of %s lacks the stranger:\n%s", name, log)
		}
	}
	resp, err := http.Get(stranger + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("an entry with a foreign certificate answers /readyz with %d", resp.StatusCode)
	}
}
