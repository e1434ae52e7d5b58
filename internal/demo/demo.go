// Package demo runs a whole fleet on this machine, loads it and disturbs it while the load runs.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/httpjson"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

const (
	hosts         = 3
	stopAt        = 5 * time.Second  // one entry host stops
	killAt        = 10 * time.Second // the holder of the lease is killed
	drainAt       = 14 * time.Second // one endpoint is declared leaving
	stopLimit     = 30 * time.Second
	reachableIn   = 30 * time.Second
	flowRate      = 6.0 // requests per second of each caller and rank
	outputTokens  = 24
	promptTokens  = 60
	callRate      = 8.0
	drainFileName = "90-demo-drain.yaml"
)

// Options set what the demo runs.
type Options struct {
	Declarations string
	Duration     time.Duration
	Out          io.Writer
}

// Run plays the demo. It returns an error if a request was lost, doubled or cut, or a step failed.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "sycamore-demo")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	d := &demo{Options: o, started: time.Now()}
	d.say("Building the programs.")
	bed, err := testbed.New(ctx, filepath.Join(dir, "bin"))
	if err != nil {
		return err
	}
	defer bed.Close()
	declarations := filepath.Join(dir, "declarations")
	if err := os.Mkdir(declarations, 0o755); err != nil {
		return errors.Trace(err)
	}
	d.say("Starting %d entry hosts, the endpoints of %s and their stand-ins.", hosts, o.Declarations)
	d.fleet, err = testbed.StartFleet(ctx, bed, testbed.FleetOptions{Declarations: o.Declarations, Dir: declarations, Hosts: hosts})
	if err != nil {
		return err
	}
	if err := d.waitReachable(ctx); err != nil {
		return err
	}
	return d.play(ctx)
}

type demo struct {
	Options
	fleet   *testbed.Fleet
	started time.Time
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// waitReachable waits until every declared model and adapter answers.
func (d *demo) waitReachable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reachableIn)
	defer cancel()
	names := servedNames(d.fleet.Snapshot, nil)
	for _, name := range names {
		if err := d.waitAnswer(ctx, name); err != nil {
			return err
		}
	}
	d.say("All %d models and adapters answer.", len(names))
	return nil
}

func (d *demo) waitAnswer(ctx context.Context, name string) error {
	var last string
	for {
		status, body := d.ask(ctx, name)
		if status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(status, " ", body)
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("model %s does not answer: %s", name, last)
		}
	}
}

func (d *demo) ask(ctx context.Context, name string) (int, string) {
	var caller *config.Caller
	for i := range d.fleet.Snapshot.Callers {
		if c := &d.fleet.Snapshot.Callers[i]; allowed(d.fleet.Snapshot, name, c.Name) {
			caller = c
			break
		}
	}
	if caller == nil {
		return 0, "no caller may use it"
	}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"ping"}]}`, name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.fleet.Hosts[0].EntryAddr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+APIKey(caller.Name))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return resp.StatusCode, string(b)
}

// play runs the load with the disturbances and prints the account.
func (d *demo) play(ctx context.Context) error {
	s := Scenario(d.fleet, d.Duration)
	d.say("Sending %d flows of completions and %d of service calls for %s.", len(s.Streams), len(s.Calls), d.Duration)
	disturbed := make(chan error, 1)
	go func() { disturbed <- d.disturb(ctx) }()
	rep, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := <-disturbed; err != nil {
		return err
	}
	rep.WriteTable(d.Out)
	if n := rep.Violations(); n > 0 {
		return errors.Errorf("%d requests were lost, doubled, cut or wrong", n)
	}
	overcommits, err := d.overcommits(ctx)
	if err != nil {
		return err
	}
	d.say("Memory overcommitted %d times by the engines' own account.", overcommits)
	if overcommits > 0 {
		return errors.Errorf("memory was overcommitted %d times", overcommits)
	}
	d.say("No request was lost, doubled or cut.")
	return nil
}

// disturb stops a host, kills the holder of the lease and drains an endpoint while the load runs.
func (d *demo) disturb(ctx context.Context) error {
	start := time.Now()
	at := func(t time.Duration) {
		select {
		case <-time.After(t - time.Since(start)):
		case <-ctx.Done():
		}
	}
	at(stopAt)
	last := d.fleet.Hosts[hosts-1]
	d.say("Stopping host %s gracefully.", last.Name)
	if err := last.Entry.Stop(stopLimit); err != nil {
		return err
	}
	if err := last.Control.Stop(stopLimit); err != nil {
		return err
	}
	at(killAt)
	holder, err := d.holder(ctx)
	if err != nil {
		return err
	}
	d.say("Killing the control process of %s, which holds the lease.", holder.Name)
	holder.Control.Kill()
	at(drainAt)
	e := d.fleet.Snapshot.Endpoints[len(d.fleet.Snapshot.Endpoints)/2]
	d.say("Declaring endpoint %s as leaving.", e.Name)
	content := fmt.Sprintf("endpoints:\n  - name: %s\n    leaving: true\n", e.Name)
	if err := os.WriteFile(filepath.Join(d.fleet.Options.Dir, drainFileName), []byte(content), 0o644); err != nil {
		return errors.Trace(err)
	}
	return d.fleet.Apply(ctx)
}

// holder returns the running host that holds the cell's lease.
func (d *demo) holder(ctx context.Context) (*testbed.Host, error) {
	var name string
	for _, h := range d.fleet.Hosts[:hosts-1] {
		var st struct {
			Lease struct {
				Holder string `json:"holder"`
			} `json:"lease"`
		}
		if err := httpjson.Get(ctx, "http://"+h.AdminAddr+"/v1/status", &st); err == nil && st.Lease.Holder != "" {
			name = st.Lease.Holder
		}
	}
	for _, h := range d.fleet.Hosts[:hosts-1] {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Errorf("the lease is held by %q, which is not a running host", name)
}

// overcommits adds up the violations that the engine stand-ins counted.
func (d *demo) overcommits(ctx context.Context) (int, error) {
	total := 0
	for i := range d.fleet.Snapshot.Endpoints {
		var rep struct {
			Violations int `json:"violations"`
		}
		if err := httpjson.Get(ctx, "http://"+d.fleet.Snapshot.Endpoints[i].Address+"/v1/report", &rep); err != nil {
			return 0, err
		}
		total += rep.Violations
	}
	return total, nil
}
