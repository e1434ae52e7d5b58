package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/wire"
)

const (
	shortTerm = 900 * time.Millisecond
	shortBeat = 200 * time.Millisecond
)

// node is one control process of a test cell.
type node struct {
	*testbed.Process
	host, listen, admin, entry string
}

// cell is a platform, an engine and control processes with short terms.
type cell struct {
	t        *testing.T
	ctx      context.Context
	bed      *testbed.Testbed
	platform string
	engine   string
	dir      string // declarations; one folder, since apply refuses to replace files that a folder has never seen
	nodes    []*node
}

func newCell(t *testing.T, controls int) *cell {
	ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	c := &cell{t: t, ctx: ctx, bed: bed, platform: testbed.FreeAddr(), engine: testbed.FreeAddr(), dir: t.TempDir()}
	c.start("platform", "sycamore-standin", "--listen", c.platform, "platform")
	c.start("engine", "sycamore-standin", "--listen", c.engine, "engine")
	if err := testbed.WaitHTTP(ctx, "http://"+c.platform+"/_stats"); err != nil {
		t.Fatal(err)
	}
	for range controls {
		c.control()
	}
	return c
}

func (c *cell) start(name, program string, args ...string) *testbed.Process {
	c.t.Helper()
	p, err := c.bed.Start(name, program, args...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		if c.t.Failed() {
			c.t.Logf("%s: %s", name, p.Output())
		}
	})
	return p
}

// control starts one more control process.
func (c *cell) control(extra ...string) *node { return c.controlVia(c.platform, extra...) }

// controlVia starts a control process that reaches the platform at another address.
func (c *cell) controlVia(platform string, extra ...string) *node {
	n := &node{host: fmt.Sprint("h", len(c.nodes)+1), listen: testbed.FreeAddr(), admin: testbed.FreeAddr(), entry: testbed.FreeAddr()}
	n.Process = c.start(n.host, "sycamore-control", append([]string{"--host", n.host, "--zone", "z1", "--listen", n.listen,
		"--entry-address", n.entry, "--admin-listen", n.admin, "--platform", "http://" + platform,
		"--lease-term", shortTerm.String(), "--heartbeat", shortBeat.String()}, extra...)...)
	c.nodes = append(c.nodes, n)
	return n
}

// apply stores the next revision with the given number of models.
func (c *cell) apply(models int) {
	c.t.Helper()
	decl := fmt.Sprintf("endpoints: [{name: e1, host: g1, zone: z1, address: %q, memory: 24GiB, slots: 8}]\nmodels:\n", c.engine)
	for i := range models {
		decl += fmt.Sprintf("- {name: m%d, memory: 1GiB, minReplicas: 1}\n", i+1)
	}
	if err := os.WriteFile(filepath.Join(c.dir, "10.yaml"), []byte(decl), 0o644); err != nil {
		c.t.Fatal(err)
	}
	if out, err := c.bed.Run(c.ctx, "sycamorectl", "--platform", "http://"+c.platform, "--author", "test", "apply", c.dir); err != nil {
		c.t.Fatal(out, err)
	}
}

func (c *cell) faults(json string) {
	c.t.Helper()
	req, _ := http.NewRequestWithContext(c.ctx, http.MethodPut, "http://"+c.platform+"/_faults", strings.NewReader(json))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.t.Fatal(resp, err)
	}
	resp.Body.Close()
}

// status returns the status of a node, and false if it does not answer.
func (c *cell) status(n *node) (s control.Status, ok bool) {
	ctx, cancel := context.WithTimeout(c.ctx, 300*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+"/v1/status", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return s, err == nil && json.Unmarshal(b, &s) == nil
}

// until waits for a condition and returns how long that took.
func (c *cell) until(what string, limit time.Duration, cond func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !cond() {
		if time.Since(start) > limit || c.ctx.Err() != nil {
			c.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	d := time.Since(start)
	c.t.Logf("%s after %s", what, d.Round(time.Millisecond))
	return d
}

// holder waits until exactly one of the nodes holds the lease and all of them know it.
func (c *cell) holder(limit time.Duration, nodes ...*node) (*node, uint64) {
	c.t.Helper()
	var holder *node
	var epoch uint64
	c.until("one holder known to all", limit, func() bool {
		holder, epoch = nil, 0
		known := make(map[control.LeaseStatus]bool)
		for _, n := range nodes {
			s, ok := c.status(n)
			if !ok {
				return false
			}
			if s.Lease.Held > 0 {
				if holder != nil {
					return false
				}
				holder, epoch = n, s.Lease.Held
			}
			known[control.LeaseStatus{Holder: s.Lease.Holder, Epoch: s.Lease.Epoch}] = true
		}
		return holder != nil && len(known) == 1 && known[control.LeaseStatus{Holder: holder.host, Epoch: epoch}]
	})
	return holder, epoch
}

func (c *cell) others(n *node) []*node {
	var out []*node
	for _, o := range c.nodes {
		if o != n {
			out = append(out, o)
		}
	}
	return out
}

// at tells whether the nodes have a revision in force.
func (c *cell) at(revision uint64, nodes ...*node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if s, ok := c.status(n); !ok || s.Revision != revision {
				return false
			}
		}
		return true
	}
}

// hears tells whether each of the nodes knows a number of live members.
func (c *cell) hears(alive int, nodes ...*node) func() bool {
	return func() bool {
		for _, n := range nodes {
			s, ok := c.status(n)
			for _, m := range s.Members {
				ok = ok && m.State == "alive"
			}
			if !ok || len(s.Members) != alive {
				return false
			}
		}
		return true
	}
}

// placed tells whether the placement shows a number of residents and was written with an epoch.
func (c *cell) placed(n *node, residents int, epoch uint64) func() bool {
	return func() bool {
		s, ok := c.status(n)
		return ok && len(s.Endpoints) == 1 && len(s.Endpoints[0].Residents) == residents && s.PlacementEpoch == epoch
	}
}

// TestHolderKilled guards against a cell that stops planning when the holder of the lease dies.
func TestHolderKilled(t *testing.T) {
	c := newCell(t, 3)
	c.apply(1)
	old, epoch := c.holder(5*time.Second, c.nodes...)
	c.until("first model placed", 5*time.Second, c.placed(old, 1, epoch))
	old.Kill()
	next, epoch2 := c.holder(4*time.Second, c.others(old)...)
	if epoch2 <= epoch {
		t.Fatalf("epoch %d after %d", epoch2, epoch)
	}
	c.apply(2)
	c.until("second model placed by the next holder", 5*time.Second, c.placed(next, 2, epoch2))
}

// TestHolderFrozen guards against a holder that still acts when it resumes after its term.
func TestHolderFrozen(t *testing.T) {
	c := newCell(t, 3)
	c.apply(1)
	old, epoch := c.holder(5*time.Second, c.nodes...)
	c.until("first model placed", 5*time.Second, c.placed(old, 1, epoch))
	old.Suspend()
	defer old.Resume()
	next, epoch2 := c.holder(4*time.Second, c.others(old)...)
	c.apply(2)
	c.until("second model placed by the next holder", 5*time.Second, c.placed(next, 2, epoch2))
	old.Resume()
	c.until("resumed holder knows the next one", 3*time.Second, func() bool {
		s, ok := c.status(old)
		if ok && s.Lease.Held > 0 {
			t.Fatalf("resumed process holds epoch %d while %s holds %d", s.Lease.Held, next.host, epoch2)
		}
		return ok && s.Lease.Holder == next.host && s.Lease.Epoch == epoch2
	})
	c.apply(3)
	c.until("placement follows the next holder", 5*time.Second, c.placed(old, 3, epoch2))
	if epoch2 <= epoch {
		t.Fatalf("epoch %d after %d", epoch2, epoch)
	}
}

// TestHandOver guards against a planned stop that leaves the cell without a holder for a term.
func TestHandOver(t *testing.T) {
	c := newCell(t, 3)
	c.apply(1)
	old, epoch := c.holder(5*time.Second, c.nodes...)
	c.until("all hear each other", 4*time.Second, c.hears(3, c.nodes...))
	start := time.Now()
	if err := old.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_, epoch2 := c.holder(2*time.Second, c.others(old)...)
	if d := time.Since(start); d > shortTerm || epoch2 != epoch+1 {
		t.Fatalf("epoch %d followed by %d after %s, want the next one before a term of %s", epoch, epoch2, d, shortTerm)
	}
	select {
	case <-old.Done():
	case <-time.After(4 * time.Second):
		t.Fatal("the stopped process does not end")
	}
	c.until("left the roster", 2*time.Second, func() bool {
		o, err := objects.NewClient("http://"+c.platform, "").Get(c.ctx, objects.KindRoster, "cell-1")
		return err == nil && !strings.Contains(string(o.Data), fmt.Sprintf("%q", old.host))
	})
}

// TestStartDuringOutage guards against a process that can't start while the platform is out.
func TestStartDuringOutage(t *testing.T) {
	c := newCell(t, 2)
	c.apply(1)
	c.until("revision 1", 5*time.Second, c.at(1, c.nodes...))
	c.until("all hear each other", 4*time.Second, c.hears(2, c.nodes...))
	c.faults(`{"outage":true}`)
	n := c.control("--seeds", testbed.FreeAddr()+","+c.nodes[0].listen)
	c.until("revision and members from a member", 5*time.Second, func() bool {
		s, ok := c.status(n)
		return ok && s.Revision == 1 && len(s.Members) == 3
	})
	c.until("ready", time.Second, func() bool { return testbed.WaitHTTP(c.ctx, "http://"+n.admin+"/readyz") == nil })
	c.faults(`{}`)
	c.holder(6*time.Second, c.nodes...)
	c.until("joined after the outage", 6*time.Second, func() bool {
		s, ok := c.status(c.nodes[1])
		return ok && len(s.Members) == 3
	})
}

// TestLostAnswers guards against a process that takes a lost answer of an update for a failure or for a success.
func TestLostAnswers(t *testing.T) {
	c := newCell(t, 0)
	c.faults(`{"loseAnswer":0.5}`)
	c.control()
	c.control()
	h, epoch := c.holder(6*time.Second, c.nodes...)
	start := time.Now()
	for time.Since(start) < 3*shortTerm {
		if s, ok := c.status(h); ok && s.Lease.Held != epoch {
			t.Fatalf("epoch %d after %d although only answers were lost", s.Lease.Held, epoch)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.until("both joined", 4*time.Second, func() bool {
		s, ok := c.status(h)
		return ok && len(s.Members) == 2
	})
	resp, err := http.Get("http://" + c.platform + "/_stats")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var stats struct{ LostAnswers int }
	if err := json.NewDecoder(resp.Body).Decode(&stats); err != nil || stats.LostAnswers == 0 {
		t.Fatalf("no answer was lost: %v", err)
	}
}

// TestFrozenAcrossEdit guards against processes that keep an old revision after a freeze, and against an entry that is
// left behind with a frozen control process (G8).
func TestFrozenAcrossEdit(t *testing.T) {
	c := newCell(t, 3)
	entry := func(n *node) *testbed.Process {
		return c.start("entry-"+n.host, "sycamore-entry", "--host", n.host, "--zone", "z1", "--listen", testbed.FreeAddr(), "--peer-listen", n.entry, "--control", n.listen)
	}
	c.until("all hear each other", 4*time.Second, c.hears(3, c.nodes...))
	entries := []*testbed.Process{entry(c.nodes[0]), entry(c.nodes[1])}
	entriesAt := func(revision int, es ...*testbed.Process) func() bool {
		return func() bool {
			for _, e := range es {
				if !strings.Contains(e.Output(), fmt.Sprintf(`"revision":%d`, revision)) {
					return false
				}
			}
			return true
		}
	}
	c.apply(1)
	c.until("revision 1", 5*time.Second, c.at(1, c.nodes...))
	c.until("revision 1 at the entries", 5*time.Second, entriesAt(1, entries...))
	c.nodes[0].Suspend() // its entry runs on and has to use another control process
	entries[1].Suspend()
	defer c.nodes[0].Resume()
	defer entries[1].Resume()
	c.apply(2)
	c.until("revision 2 at the entry of the frozen process", 5*time.Second, entriesAt(2, entries[0]))
	c.nodes[0].Resume()
	entries[1].Resume()
	c.until("revision 2 at resumed processes", 5*time.Second, func() bool { return c.at(2, c.nodes...)() && entriesAt(2, entries...)() })
	c.nodes[0].Kill()
	c.apply(3)
	c.until("revision 3 at the entry of the dead process", 5*time.Second, entriesAt(3, entries...))
}

// TestNeverReverts guards against a lower revision from the platform that replaces the one in force.
func TestNeverReverts(t *testing.T) {
	c := newCell(t, 2)
	c.apply(1)
	c.apply(2)
	c.until("revision 2", 5*time.Second, c.at(2, c.nodes...))
	store := objects.NewClient("http://"+c.platform, "")
	o, err := store.Get(c.ctx, objects.KindHead, "head")
	if err != nil {
		t.Fatal(err)
	}
	head, err := objects.Decode[wire.Head](o)
	if err != nil {
		t.Fatal(err)
	}
	head.Revision = 1
	low, _ := objects.Encode(objects.KindHead, "head", o.Version, head)
	if low, err = store.Update(c.ctx, low); err != nil {
		t.Fatal(err)
	}
	head.Revision = 3
	high, _ := objects.Encode(objects.KindHead, "head", low.Version, head)
	time.AfterFunc(time.Second, func() { store.Update(c.ctx, high) })
	c.until("revision 3", 5*time.Second, func() bool {
		for _, n := range c.nodes {
			if s, ok := c.status(n); ok && s.Revision < 2 {
				t.Fatalf("%s went back to revision %d", n.host, s.Revision)
			}
		}
		return c.at(3, c.nodes...)()
	})
}

// TestLeavingEndpoint guards against a leaving endpoint that some host of the cell notices later than 3 s (G6).
func TestLeavingEndpoint(t *testing.T) {
	c := newCell(t, 5)
	c.apply(1)
	c.until("revision 1", 5*time.Second, c.at(1, c.nodes...))
	c.until("all hear each other", 4*time.Second, c.hears(5, c.nodes...))
	c.faults(`{"listLagMs":500}`)
	o, _ := objects.Encode(objects.KindEndpoint, "e1", "", map[string]any{"leaving": true, "reason": "maintenance"})
	if _, err := objects.NewClient("http://"+c.platform, "").Create(c.ctx, o); err != nil {
		t.Fatal(err)
	}
	c.until("leaving known everywhere", 3*time.Second, func() bool {
		for _, n := range c.nodes {
			if s, ok := c.status(n); !ok || len(s.Leaving) != 1 || s.Leaving[0].Reason != "maintenance" {
				return false
			}
		}
		return true
	})
}

// TestDirectory guards against a directory that lacks the cell's models or members.
func TestDirectory(t *testing.T) {
	c := newCell(t, 2)
	c.apply(2)
	store := objects.NewClient("http://"+c.platform, "")
	c.until("directory complete", 8*time.Second, func() bool {
		o, err := store.Get(c.ctx, objects.KindDirectory, "directory")
		if err != nil {
			return false
		}
		var d struct {
			Models map[string][]string
			Cells  map[string][]wire.Member
		}
		return json.Unmarshal(o.Data, &d) == nil && len(d.Models) == 2 && len(d.Models["m2"]) == 1 && len(d.Cells["cell-1"]) == 2
	})
}

// TestCutOffPlatform guards against a process that keeps an old revision because its connections to the platform went
// silent without an error: the other members have to tell it (G8). Its lease has to lapse by its own clock.
func TestCutOffPlatform(t *testing.T) {
	c := newCell(t, 0)
	addr := testbed.FreeAddr()
	proxies := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(proxies, "platform", addr, c.platform)
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	defer proxy.Stop()
	n := c.controlVia(addr)
	c.holder(5*time.Second, n)
	c.control()
	c.control()
	c.until("all hear each other", 5*time.Second, c.hears(3, c.nodes...))
	c.apply(1)
	c.until("revision 1", 5*time.Second, c.at(1, c.nodes...))
	for _, stream := range []string{"upstream", "downstream"} {
		toxic := fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream, stream)
		if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			t.Fatal(err)
		}
	}
	c.apply(2)
	c.until("revision 2 at the process that is cut off", 5*time.Second, c.at(2, n))
	c.until("another process holds the lease", 5*time.Second, func() bool {
		a, ok1 := c.status(c.nodes[1])
		b, ok2 := c.status(c.nodes[2])
		s, ok3 := c.status(n)
		return ok1 && ok2 && ok3 && s.Lease.Held == 0 && (a.Lease.Held > 0) != (b.Lease.Held > 0)
	})
}
