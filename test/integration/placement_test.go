package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/testbed"
)

// TestPlacement guards against models that stay unreachable, and against overcommitted memory, when orders are lost,
// delayed and duplicated, an endpoint restarts, drains or dies.
func TestPlacement(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 90*time.Second)
	defer cancel()
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	f := &placementFleet{t: t, ctx: ctx, bed: bed, client: engine.NewClient(time.Second), procs: make(map[string]*testbed.Process)}
	plat, ctl, peer := testbed.FreeAddr(), testbed.FreeAddr(), testbed.FreeAddr()
	f.start("platform", "sycamore-standin", "--listen", plat, "platform")
	var decl strings.Builder
	decl.WriteString("weightStore: {loadsPerSecond: 20, concurrentLoads: 5, adaptersInFlight: 40}\nendpoints:\n")
	for i := range 5 {
		addr := testbed.FreeAddr()
		f.addrs = append(f.addrs, addr)
		args := []string{"--listen", addr, "engine", "--memory", "26GiB", "--load-time", "50ms"}
		if i%2 == 0 {
			args = append(args, "--checks-fencing")
		}
		f.start(addr, "sycamore-standin", args...)
		fmt.Fprintf(&decl, "- {name: e%d, host: g%d, zone: z%d, address: %q, memory: 24GiB, adapterMemory: 2GiB, slots: 8, checksFencing: %v}\n", i, i, i%3, addr, i%2 == 0)
	}
	decl.WriteString("models:\n")
	for i := range 7 {
		f.names = append(f.names, fmt.Sprintf("m%d", i))
		fmt.Fprintf(&decl, "- {name: m%d, memory: 8GiB, minReplicas: 1}\n", i)
	}
	decl.WriteString("adapters:\n")
	for i := range 4 {
		f.names = append(f.names, fmt.Sprintf("a%d", i))
		fmt.Fprintf(&decl, "- {name: a%d, model: m%d, memory: 256MiB}\n", i, i)
	}
	for _, addr := range f.addrs {
		f.wait("http://" + addr + "/v1/report")
		f.do(http.MethodPut, addr, "/_faults", `{"dropOrders":1,"delayOrders":2,"orderDelay":"400ms","duplicateOrders":4,"duplicateAfter":"1s","reportLag":"150ms"}`)
	}
	f.wait("http://" + plat + "/apis/sycamoredeal/v1/leases")
	f.start("control", "sycamore-control", "--host", "h1", "--zone", "z1", "--listen", ctl, "--entry-address", peer, "--platform", "http://"+plat)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(decl.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	if out, err := bed.Run(ctx, "sycamorectl", "--platform", "http://"+plat, "--author", "test", "apply", dir); err != nil {
		t.Fatal(out, err)
	}
	f.eventually("all declared models and adapters resident", func() bool { return len(f.missing(f.addrs)) == 0 })

	f.do(http.MethodPost, f.addrs[0], "/_restart", "")
	f.eventually("restarted endpoint holds models again", func() bool {
		rep, err := f.client.Report(ctx, f.addrs[0])
		return err == nil && len(rep.Residents) >= 2 && len(f.missing(f.addrs)) == 0
	})

	f.do(http.MethodPut, f.addrs[1], "/_faults", `{"drain":true}`)
	f.eventually("models of a draining endpoint resident elsewhere", func() bool {
		return len(f.missing(append([]string{f.addrs[0]}, f.addrs[2:]...))) == 0
	})
	f.do(http.MethodPut, f.addrs[1], "/_faults", `{}`)

	f.noViolations()
	f.procs[f.addrs[2]].Kill()
	f.addrs = append(f.addrs[:2:2], f.addrs[3:]...)
	f.eventually("models of a dead endpoint resident elsewhere", func() bool { return len(f.missing(f.addrs)) == 0 })
	f.noViolations()
}

type placementFleet struct {
	t      *testing.T
	ctx    context.Context
	bed    *testbed.Testbed
	client *engine.Client
	procs  map[string]*testbed.Process
	addrs  []string
	names  []string // models and adapters
}

func (f *placementFleet) start(name, program string, args ...string) {
	f.t.Helper()
	p, err := f.bed.Start(name, program, args...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = p
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("%s: %s", name, p.Output())
		}
	})
}

func (f *placementFleet) wait(url string) {
	f.t.Helper()
	if err := testbed.WaitHTTP(f.ctx, url); err != nil {
		f.t.Fatal(err)
	}
}

func (f *placementFleet) do(method, addr, path, body string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

func (f *placementFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > 20*time.Second || f.ctx.Err() != nil {
			f.t.Fatalf("not within 20 s: %s; missing %v", what, f.missing(f.addrs))
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Logf("%s after %s", what, time.Since(begin).Round(10*time.Millisecond))
}

// missing returns the models and adapters that no endpoint of a list can serve.
func (f *placementFleet) missing(addrs []string) []string {
	served := make(map[string]bool)
	for _, addr := range addrs {
		rep, err := f.client.Report(f.ctx, addr)
		if err != nil {
			continue
		}
		ready := make(map[string]bool)
		for _, r := range rep.Residents {
			ready[r.Name] = r.State == "ready"
		}
		for _, r := range rep.Residents {
			if ready[r.Name] && (!r.Adapter || ready[r.Base]) {
				served[r.Name] = true
			}
		}
	}
	var out []string
	for _, n := range f.names {
		if !served[n] {
			out = append(out, n)
		}
	}
	return out
}

func (f *placementFleet) noViolations() {
	f.t.Helper()
	for _, addr := range f.addrs {
		rep, err := f.client.Report(f.ctx, addr)
		if err != nil {
			f.t.Fatal(err)
		}
		if rep.Violations != 0 || rep.UsedBytes > rep.MemoryBytes {
			f.t.Errorf("%s: overcommitted %d times, uses %d of %d bytes", addr, rep.Violations, rep.UsedBytes, rep.MemoryBytes)
		}
	}
}
