// Package demo runs a complete fleet on this machine and sends it a load. Meanwhile it stops a host, kills the holder of the
// placement lease and drains an endpoint.
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
	hostCount        = 3
	stopHostAt       = 5 * time.Second  // when one entry host is stopped, since the start of the load
	killHolderAt     = 10 * time.Second // when the control process that holds the placement lease is killed
	drainEndpointAt  = 14 * time.Second // when one endpoint is declared leaving
	stopTimeout      = 30 * time.Second
	reachableTimeout = 30 * time.Second
	streamRate       = 6.0 // completion requests per second of each caller and rank
	outputTokens     = 24
	promptTokens     = 60
	callRate         = 8.0 // calls per second of each service
	drainFileName    = "90-demo-drain.yaml"
)

// Options configures the demo.
type Options struct {
	Declarations string        // folder
	Duration     time.Duration // of the load
	Out          io.Writer     // receives the progress and the report
}

// Run runs the demo. It returns an error if the load report has violations, an engine overcommitted its memory or a step
// failed.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "sycamore-demo")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	d := &demo{Options: o, started: time.Now()}
	d.printf("Building the programs.")
	bed, err := testbed.New(ctx, filepath.Join(dir, "bin"))
	if err != nil {
		return err
	}
	defer bed.Close()
	declarations := filepath.Join(dir, "declarations")
	if err := os.Mkdir(declarations, 0o755); err != nil {
		return errors.Trace(err)
	}
	d.printf("Starting %d entry hosts, the endpoints of %s and their stand-ins.", hostCount, o.Declarations)
	d.fleet, err = testbed.StartFleet(ctx, bed, testbed.FleetOptions{Declarations: o.Declarations, Dir: declarations, Hosts: hostCount})
	if err != nil {
		return err
	}
	if err := d.waitAllAnswer(ctx); err != nil {
		return err
	}
	return d.runLoad(ctx)
}

// demo is the state of a running demo.
type demo struct {
	Options
	fleet   *testbed.Fleet
	started time.Time
}

// printf writes a line that starts with the time since the start of the demo.
func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.Out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// waitAllAnswer waits until every declared model and adapter has answered a request.
func (d *demo) waitAllAnswer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reachableTimeout)
	defer cancel()
	names := servedNames(d.fleet.Snapshot, nil)
	for _, name := range names {
		if err := d.waitModelAnswers(ctx, name); err != nil {
			return err
		}
	}
	d.printf("All %d models and adapters answer.", len(names))
	return nil
}

// waitModelAnswers sends requests to a model or adapter until one is answered with 200.
func (d *demo) waitModelAnswers(ctx context.Context, name string) error {
	var lastAnswer string
	for {
		status, body := d.pingModel(ctx, name)
		if status == http.StatusOK {
			return nil
		}
		lastAnswer = fmt.Sprint(status, " ", body)
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return errors.Errorf("model %s does not answer: %s", name, lastAnswer)
		}
	}
}

// pingModel requests one token from a model or adapter, for the first caller that may use it. It returns the status and
// the start of the body; status 0 stands for a request that was not answered.
func (d *demo) pingModel(ctx context.Context, name string) (int, string) {
	var caller *config.Caller
	for i := range d.fleet.Snapshot.Callers {
		if c := &d.fleet.Snapshot.Callers[i]; mayUse(d.fleet.Snapshot, name, c.Name) {
			caller = c
			break
		}
	}
	if caller == nil {
		return 0, "no caller may use this model"
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

// runLoad runs the load and the disturbances at the same time, prints the report and checks it.
func (d *demo) runLoad(ctx context.Context) error {
	s := Scenario(d.fleet, d.Duration)
	d.printf("Sending %d flows of completions and %d of service calls for %s.", len(s.Streams), len(s.Calls), d.Duration)
	disturbances := make(chan error, 1)
	go func() { disturbances <- d.runDisturbances(ctx) }()
	rep, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if err := <-disturbances; err != nil {
		return err
	}
	rep.WriteTable(d.Out)
	if n := rep.Violations(); n > 0 {
		return errors.Errorf("%d requests were lost, executed more than once, truncated or answered wrongly", n)
	}
	overcommits, err := d.countOvercommits(ctx)
	if err != nil {
		return err
	}
	d.printf("The engines report %d memory overcommits.", overcommits)
	if overcommits > 0 {
		return errors.Errorf("memory was overcommitted %d times", overcommits)
	}
	d.printf("No request was lost, executed more than once or truncated.")
	return nil
}

// runDisturbances stops a host, kills the control process that holds the placement lease and declares an endpoint as
// leaving, at fixed times after its call.
func (d *demo) runDisturbances(ctx context.Context) error {
	start := time.Now()
	waitUntil := func(t time.Duration) {
		select {
		case <-time.After(t - time.Since(start)):
		case <-ctx.Done():
		}
	}
	waitUntil(stopHostAt)
	lastHost := d.fleet.Hosts[hostCount-1]
	d.printf("Stopping host %s gracefully.", lastHost.Name)
	if err := lastHost.Entry.Stop(stopTimeout); err != nil {
		return err
	}
	if err := lastHost.Control.Stop(stopTimeout); err != nil {
		return err
	}
	waitUntil(killHolderAt)
	holder, err := d.leaseHolder(ctx)
	if err != nil {
		return err
	}
	d.printf("Killing the control process of %s, which holds the placement lease.", holder.Name)
	holder.Control.Kill()
	waitUntil(drainEndpointAt)
	endpoint := d.fleet.Snapshot.Endpoints[len(d.fleet.Snapshot.Endpoints)/2]
	d.printf("Declaring endpoint %s as leaving.", endpoint.Name)
	content := fmt.Sprintf("endpoints:\n  - name: %s\n    leaving: true\n", endpoint.Name)
	if err := os.WriteFile(filepath.Join(d.fleet.Options.Dir, drainFileName), []byte(content), 0o644); err != nil {
		return errors.Trace(err)
	}
	return d.fleet.Apply(ctx)
}

// leaseHolder returns the host that holds the cell's placement lease, by the status of the hosts that were not stopped.
func (d *demo) leaseHolder(ctx context.Context) (*testbed.Host, error) {
	var name string
	for _, h := range d.fleet.Hosts[:hostCount-1] {
		var status struct {
			Lease struct {
				Holder string `json:"holder"`
			} `json:"lease"`
		}
		if err := httpjson.Get(ctx, "http://"+h.AdminAddr+"/v1/status", &status); err == nil && status.Lease.Holder != "" {
			name = status.Lease.Holder
		}
	}
	for _, h := range d.fleet.Hosts[:hostCount-1] {
		if h.Name == name {
			return h, nil
		}
	}
	return nil, errors.Errorf("the placement lease is held by %q, which is not a running host", name)
}

// countOvercommits returns how often the engine stand-ins have loaded more than fits into their memory.
func (d *demo) countOvercommits(ctx context.Context) (int, error) {
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
