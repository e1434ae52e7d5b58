package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ownership"
	"sycamoredeal/internal/testbed"
)

const cellTerm = 600 * time.Millisecond // short, so that a dead cell is taken over within seconds

// cellsWorld is two cells of two hosts with six endpoints. The models fit into both cells together, not into one.
type cellsWorld struct {
	*placementFleet
	platform string
	hosts    []*cellHost
}

type cellHost struct {
	cell, caller, admin string
	procs               []*testbed.Process
}

func newCellsWorld(t *testing.T, models int) *cellsWorld {
	ctx, cancel := context.WithTimeout(t.Context(), 150*time.Second)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	w := &cellsWorld{platform: testbed.FreeAddr(), placementFleet: &placementFleet{t: t, ctx: ctx, bed: bed, client: engine.NewClient(time.Second), procs: make(map[string]*testbed.Process)}}
	w.start("platform", "sycamore-standin", "--listen", w.platform, "platform")
	decl := fmt.Sprintf("ranks: [{name: urgent, order: 0, firstToken: 1s, deadline: 8s, queueLimit: 100}]\n"+
		"callers: [{name: app, keyHashes: [%q], ranks: [urgent], weight: 1}]\n"+
		"weightStore: {loadsPerSecond: 20, concurrentLoads: 5, adaptersInFlight: 40}\nendpoints:\n", config.Digest([]byte("secret")))
	for i := range 6 {
		addr := testbed.FreeAddr()
		w.addrs = append(w.addrs, addr)
		args := []string{"--listen", addr, "engine", "--memory", "24GiB", "--load-time", "50ms", "--token-time", "20ms"}
		if i%2 == 0 {
			args = append(args, "--checks-fencing")
		}
		w.start(addr, "sycamore-standin", args...)
		decl += fmt.Sprintf("- {name: e%d, host: g%d, zone: z%d, address: %q, memory: 24GiB, slots: 8, checksFencing: %v}\n", i, i, i%2, addr, i%2 == 0)
	}
	decl += "models:\n"
	for i := range models {
		w.names = append(w.names, fmt.Sprintf("m%d", i))
		decl += fmt.Sprintf("- {name: m%d, memory: 8GiB, minReplicas: 1}\n", i)
	}
	w.wait("http://" + w.platform + "/apis/sycamoredeal/v1/leases")
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(decl), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := bed.Run(ctx, "sycamorectl", "--platform", "http://"+w.platform, "--author", "test", "apply", dir); err != nil {
		t.Fatal(out, err)
	}
	for i := range 4 {
		w.host(fmt.Sprintf("h%d", i), fmt.Sprintf("cell-%d", i/2+1))
	}
	return w
}

func (w *cellsWorld) host(name, cell string) {
	h := &cellHost{cell: cell, caller: testbed.FreeAddr(), admin: testbed.FreeAddr()}
	ctl, peer := testbed.FreeAddr(), testbed.FreeAddr()
	w.start("control "+name, "sycamore-control", "--host", name, "--zone", "z0", "--cell", cell, "--listen", ctl, "--entry-address", peer,
		"--caller-address", h.caller, "--admin-listen", h.admin, "--platform", "http://"+w.platform, "--lease-term", cellTerm.String(), "--heartbeat", "200ms")
	w.start("entry "+name, "sycamore-entry", "--host", name, "--zone", "z0", "--cell", cell, "--listen", h.caller, "--peer-listen", peer, "--control", ctl)
	h.procs = []*testbed.Process{w.procs["control "+name], w.procs["entry "+name]}
	w.hosts = append(w.hosts, h)
}

// owned returns the endpoints by cell whose transfer has ended.
func (w *cellsWorld) owned() map[string][]int {
	out := make(map[string][]int)
	o, err := objects.NewClient("http://"+w.platform, "").Get(w.ctx, objects.KindOwners, ownership.Name)
	if err != nil {
		return out
	}
	owners, _ := objects.Decode[ownership.Owners](o)
	for i := range 6 {
		if r := owners.Endpoints[fmt.Sprint("e", i)]; r.Transit == nil {
			out[r.Owner] = append(out[r.Owner], i)
		}
	}
	return out
}

// answer asks a host for a model, whole or as a stream, and returns whether the answer is complete.
func (w *cellsWorld) answer(addr, model string, stream bool) (bool, string) {
	ctx, cancel := context.WithTimeout(w.ctx, 12*time.Second)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "max_tokens": 5, "messages": []map[string]string{{"role": "user", "content": "hello"}}})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	ok := resp.StatusCode == http.StatusOK && (!stream || strings.Contains(string(b), "[DONE]"))
	return ok, fmt.Sprintf("%d %s", resp.StatusCode, b)
}

// unanswered returns the models that some of the hosts don't answer for, with the reason.
func (w *cellsWorld) unanswered(hosts []*cellHost, stream bool) (out []string) {
	for _, h := range hosts {
		for _, m := range w.names {
			if ok, why := w.answer(h.caller, m, stream); !ok {
				out = append(out, fmt.Sprintf("%s at %s: %s", m, h.cell, why))
			}
		}
	}
	return out
}

func (w *cellsWorld) within(limit time.Duration, what string, cond func() bool) {
	w.t.Helper()
	begin := time.Now()
	for !cond() {
		if time.Since(begin) > limit || w.ctx.Err() != nil {
			w.t.Fatalf("not within %s: %s; owners %v, missing %v", limit, what, w.owned(), w.missing(w.addrs))
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Logf("%s after %s", what, time.Since(begin).Round(10*time.Millisecond))
}

func (w *cellsWorld) shares(a, b int) func() bool {
	return func() bool { o := w.owned(); return len(o["cell-1"]) == a && len(o["cell-2"]) == b }
}

// TestCells guards against models that only the hosts of one cell answer for, endpoints that two cells order or none,
// and overcommitted memory, while a cell loses its endpoints and while a whole cell dies.
func TestCells(t *testing.T) {
	w := newCellsWorld(t, 12)
	w.within(30*time.Second, "two cells share the endpoints", w.shares(3, 3))
	w.within(60*time.Second, "every model resident", func() bool { return len(w.missing(w.addrs)) == 0 })
	w.within(20*time.Second, "every model answers at every host", func() bool { return len(w.unanswered(w.hosts, true)) == 0 })
	if bad := w.unanswered(w.hosts, false); len(bad) > 0 {
		t.Error("whole answers", bad)
	}
	w.noViolations()

	for _, h := range w.hosts[2:] {
		for _, p := range h.procs {
			p.Kill()
		}
	}
	w.within(40*time.Second, "endpoints of the dead cell taken over", w.shares(6, 0))
	w.within(60*time.Second, "every model resident", func() bool { return len(w.missing(w.addrs)) == 0 })
	w.within(20*time.Second, "every model answers at the cell that lives", func() bool { return len(w.unanswered(w.hosts[:2], true)) == 0 })
	w.noViolations()

	w.hosts = w.hosts[:2]
	w.host("h4", "cell-2")
	w.host("h5", "cell-2")
	w.within(40*time.Second, "the cell that returns gets endpoints", w.shares(3, 3))
	w.within(60*time.Second, "every model answers at every host", func() bool { return len(w.unanswered(w.hosts, true)) == 0 })
	w.noViolations()
}

// TestForwarding guards against requests that a cell refuses although another serves the model, after all endpoints of
// the cell have died.
func TestForwarding(t *testing.T) {
	w := newCellsWorld(t, 6)
	w.within(30*time.Second, "two cells share the endpoints", w.shares(3, 3))
	w.within(30*time.Second, "every model answers at every host", func() bool { return len(w.unanswered(w.hosts, true)) == 0 })
	w.within(30*time.Second, "every model in both cells", func() bool {
		o := w.owned()
		return len(w.missing(pick(w.addrs, o["cell-1"]))) == 0 && len(w.missing(pick(w.addrs, o["cell-2"]))) == 0
	})
	time.Sleep(10 * cellTerm) // until every host has read the directory
	dead := w.owned()["cell-2"]
	for _, i := range dead {
		w.procs[w.addrs[i]].Kill()
	}
	if bad := w.unanswered(w.hosts, true); len(bad) > 0 {
		t.Errorf("%d of %d requests failed right after the endpoints died: %v", len(bad), len(w.hosts)*len(w.names), bad)
	}
	w.addrs = slices.DeleteFunc(slices.Clone(w.addrs), func(a string) bool { return slices.Contains(pick(w.addrs, dead), a) })
	w.noViolations()
}

// TestSelfJoin guards against hosts without a cell in their settings that don't join, join different cells, or whose
// entry does not learn its cell.
func TestSelfJoin(t *testing.T) {
	c := newCell(t, 0)
	c.apply(1)
	for range 2 {
		n := c.control("--cell", "auto")
		caller := testbed.FreeAddr()
		c.start("entry", "sycamore-entry", "--host", n.host, "--zone", "z1", "--cell", "auto", "--listen", caller, "--peer-listen", n.entry, "--control", n.listen)
		c.until("entry ready", 10*time.Second, func() bool {
			ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
			defer cancel()
			return testbed.WaitHTTP(ctx, "http://"+caller+"/readyz") == nil
		})
	}
	c.until("both in one cell", 10*time.Second, c.hears(2, c.nodes...))
	for _, n := range c.nodes {
		if s, ok := c.status(n); !ok || s.Cell != "cell-1" {
			t.Errorf("%s is in cell %q", n.host, s.Cell)
		}
	}
}

func pick(addrs []string, index []int) (out []string) {
	for _, i := range index {
		out = append(out, addrs[i])
	}
	return out
}
