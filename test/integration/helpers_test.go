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
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/control"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/testbed"
)

const (
	faultTerm       = 600 * time.Millisecond // of the lease
	faultBeat       = 100 * time.Millisecond
	faultLateBound  = 2 * time.Second
	faultLoads      = 20 // model loads per second of the weight store
	faultConcurrent = 5  // model loads
	faultLoadTime   = 50 * time.Millisecond
)

// faultFleet is a fleet with short terms whose processes a test disturbs.
type faultFleet struct {
	*testbed.Fleet
	t       *testing.T
	ctx     context.Context
	reports *engine.Client
}

// startFaultFleet starts a fleet of three hosts from declarations of endpoints and models. It adds a rank, a caller and
// a weight store.
func startFaultFleet(t *testing.T, limit time.Duration, declarations string) *faultFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bed.Close)
	source := t.TempDir()
	all := fmt.Sprintf(`ranks: [{name: urgent, order: 0, firstToken: 200ms, betweenToken: 60ms, deadline: 2s}]
callers: [{name: app, keyHashes: [%s], ranks: [urgent], weight: 1}]
weightStore: {loadsPerSecond: %d, concurrentLoads: %d, adaptersInFlight: 40}
%s`, config.Digest([]byte("secret")), faultLoads, faultConcurrent, declarations)
	if err := os.WriteFile(filepath.Join(source, "10-all.yaml"), []byte(all), 0o644); err != nil {
		t.Fatal(err)
	}
	f := &faultFleet{t: t, ctx: ctx, reports: engine.NewClient(time.Second)}
	f.Fleet, err = testbed.StartFleet(ctx, bed, testbed.FleetOptions{
		Declarations: source, Dir: t.TempDir(), Hosts: 3, EngineArgs: []string{"--load-time", faultLoadTime.String(), "--token-time", "1ms"},
		ControlArgs: []string{"--lease-term", faultTerm.String(), "--heartbeat", faultBeat.String(), "--late-bound", faultLateBound.String()},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.dump)
	return f
}

// dump shows the logs of a failed test.
func (f *faultFleet) dump() {
	if !f.t.Failed() {
		return
	}
	for _, h := range f.Hosts {
		out := h.Control.Output()
		f.t.Logf("%s: %s", h.Name, out[max(0, len(out)-4000):])
	}
}

// edit stores a file of declarations as the next revision.
func (f *faultFleet) edit(name, content string) {
	f.t.Helper()
	if err := os.WriteFile(filepath.Join(f.Options.Dir, name), []byte(content), 0o644); err != nil {
		f.t.Fatal(err)
	}
	if err := f.Apply(f.ctx); err != nil {
		f.t.Fatal(err)
	}
}

// put sets the faults of a stand-in.
func (f *faultFleet) put(addr, faults string) { f.call(http.MethodPut, addr, "/_faults", faults) }

func (f *faultFleet) call(method, addr, path, body string) {
	f.t.Helper()
	req, err := http.NewRequestWithContext(f.ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		f.t.Fatalf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

// status returns the status of a host's control process, and false if it does not answer.
func (f *faultFleet) status(h *testbed.Host) (s control.Status, ok bool) {
	ctx, cancel := context.WithTimeout(f.ctx, 300*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.AdminAddr+"/v1/status", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// holder waits for a host that holds the lease by its own clock.
func (f *faultFleet) holder() *testbed.Host {
	f.t.Helper()
	var out *testbed.Host
	f.within(10*time.Second, "a holder of the lease", func() string {
		for _, h := range f.Hosts {
			if s, ok := f.status(h); ok && s.Lease.Held > 0 {
				out = h
				return ""
			}
		}
		return "none"
	})
	return out
}

// others returns the hosts but one.
func (f *faultFleet) others(not *testbed.Host) (out []*testbed.Host) {
	for _, h := range f.Hosts {
		if h != not {
			out = append(out, h)
		}
	}
	return out
}

// within waits until lacks returns nothing, and returns the time that took.
func (f *faultFleet) within(limit time.Duration, what string, lacks func() string) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		lack := lacks()
		took := time.Since(begin)
		if lack == "" {
			return took
		}
		if took > limit || f.ctx.Err() != nil {
			f.t.Fatalf("%s not within %s: %s", what, limit, lack)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// names returns all declared models and adapters.
func (f *faultFleet) names() (out []string) {
	for i := range f.Snapshot.Models {
		out = append(out, f.Snapshot.Models[i].Name)
	}
	for i := range f.Snapshot.Adapters {
		out = append(out, f.Snapshot.Adapters[i].Name)
	}
	return out
}

// unanswered asks the hosts for every declared name and returns the first few refusals.
func (f *faultFleet) unanswered(hosts ...*testbed.Host) string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var out []string
	for _, h := range hosts {
		for _, name := range f.names() {
			wg.Go(func() {
				if err := f.ask(h, name); err != nil {
					mu.Lock()
					defer mu.Unlock()
					out = append(out, fmt.Sprintf("%s through %s: %v", name, h.Name, err))
				}
			})
		}
	}
	wg.Wait()
	return strings.Join(out[:min(3, len(out))], "; ")
}

func (f *faultFleet) ask(h *testbed.Host, name string) error {
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"ping"}]}`, name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.EntryAddr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d %s", resp.StatusCode, b)
	}
	return nil
}

// overcommits returns what running engines report of overcommitted memory. Call it before an engine is killed, too: its
// account ends with the process.
func (f *faultFleet) overcommits() string {
	var out []string
	for name, p := range f.Engines {
		select {
		case <-p.Done():
			continue
		default:
		}
		rep, err := f.reports.Report(f.ctx, f.engineAddr(name))
		if err != nil {
			out = append(out, fmt.Sprint(name, ": ", err))
		} else if rep.Violations > 0 || rep.UsedBytes > rep.MemoryBytes {
			out = append(out, fmt.Sprintf("%s overcommitted %d times, uses %d of %d bytes", name, rep.Violations, rep.UsedBytes, rep.MemoryBytes))
		}
	}
	return strings.Join(out, "; ")
}

func (f *faultFleet) engineAddr(name string) string { return f.Snapshot.Endpoint(name).Address }
