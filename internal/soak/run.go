package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/testbed"
)

const (
	startLimit           = 20 * time.Second               // from the start until everything is served
	settleTime           = faultGracePeriod + time.Second // from the recovery until planned work begins; longer than faultGracePeriod
	lateRunWait          = 1500 * time.Millisecond        // after the load, to detect a refused request that still runs
	runTimeout           = 4 * time.Minute
	recoveryPollInterval = 200 * time.Millisecond
)

// Result holds the plan, the violations and the figures of one run.
type Result struct {
	Plan         Plan
	Violations   []Violation
	Requests     int
	Statuses     map[int]int   // number of answers by status; 0 stands for no answer
	Recovery     time.Duration // from the end of the last fault until everything was served
	PeakMemoryMB int           // of the host that used the most memory
	Err          error         // with which the run ended, nil for a whole run
	LogDir       string        // folder with the logs of a failed run; empty if none were written
}

// String returns the result as one line.
func (r Result) String() string {
	codes := make([]int, 0, len(r.Statuses))
	for c := range r.Statuses {
		codes = append(codes, c)
	}
	sort.Ints(codes)
	var b strings.Builder
	for _, c := range codes {
		fmt.Fprintf(&b, " %d:%d", c, r.Statuses[c])
	}
	verdict := "ok"
	if n := len(r.Violations); n > 0 {
		verdict = fmt.Sprintf("%d violations, logs in %s", n, r.LogDir)
	}
	if r.Err != nil {
		verdict = strings.TrimPrefix(verdict+", error: "+r.Err.Error(), "ok, ")
	}
	return fmt.Sprintf("seed %d: %d hosts, %d faults, %d planned events, %d requests (%s ), recovered after %.1f s, peak memory %d MB: %s",
		r.Plan.Seed, r.Plan.Hosts, len(r.Plan.Faults), len(r.Plan.Planned), r.Requests, b.String(), r.Recovery.Seconds(), r.PeakMemoryMB, verdict)
}

// Options holds the options of a run.
type Options struct {
	Bed        *testbed.Testbed // contains the built programs; each run uses a sibling of it
	FailureDir string           // folder for the logs of failed runs; empty for none
	LogEvent   func(string)     // called with each event when it begins; may be nil
}

// Run executes a plan. An error means that the run could not be made or its logs could not be written. Violations are
// reported in the result, not as an error.
func Run(ctx context.Context, p Plan, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	if o.LogEvent == nil {
		o.LogEvent = func(string) {}
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	bed := o.Bed.WithSamePrograms()
	defer bed.Close()
	audit := NewAudit()
	if p.Accounts {
		audit.SetAccounts()
	}
	r := Result{Plan: p}
	f, err := startFleet(ctx, bed, dir, &p, audit)
	if err != nil {
		return r, err
	}
	if problem := f.awaitServing(startLimit); problem != "" {
		audit.Report("START", "%s", problem)
	} else {
		f.runPhases(p, &r, o.LogEvent)
	}
	f.close(ctx.Err() == nil)
	if ctx.Err() != nil {
		audit.Report("SOAK", "the run was interrupted: %v", ctx.Err())
	}
	audit.Finish()
	r.Violations = audit.Violations()
	r.Requests, r.Statuses = audit.Counts()
	if len(r.Violations) > 0 && o.FailureDir != "" {
		r.LogDir, err = f.writeLogs(o.FailureDir, p, r.Violations)
	}
	return r, err
}

// runPhases runs the faults under load, waits for the recovery, and runs the planned work.
func (f *fleet) runPhases(p Plan, r *Result, logEvent func(string)) {
	stopLoad := f.startLoad(p.Callers, p.Seed)
	f.runEvents(p.Faults, logEvent)
	faultsEnd := time.Now()
	if problem := f.awaitServing(recoveryLimit); problem != "" {
		f.audit.Report("RECOVER", "%v after the last fault: %s", recoveryLimit, problem)
		stopLoad()
		return
	}
	r.Recovery = time.Since(faultsEnd)
	time.Sleep(settleTime)
	f.runEvents(p.Planned, logEvent)
	if problem := f.awaitServing(recoveryLimit); problem != "" {
		f.audit.Report("RECOVER", "after planned work: %s", problem)
	}
	if p.CrashingPart {
		logEvent("requests with a part that crashes engines")
		f.runCrashingPart()
		if problem := f.awaitServing(recoveryLimit); problem != "" {
			f.audit.Report("RECOVER", "after requests that crash engines: %s", problem)
		}
	}
	stopLoad()
	for _, h := range f.hosts {
		r.PeakMemoryMB = max(r.PeakMemoryMB, h.peakMemoryMB())
	}
	if r.PeakMemoryMB > maxMemoryMB {
		f.audit.Report("MEMORY", "a host used %d MB, its settings allow %d MB", r.PeakMemoryMB, maxMemoryMB)
	}
	time.Sleep(lateRunWait)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if problem := s.CrashReason(); problem != "" {
			f.audit.Report("LIMIT", "server %s would have crashed: %s", s.ID(), problem)
		}
	}
}

// awaitServing waits until everything is served. It returns what is still not served after the limit.
func (f *fleet) awaitServing(limit time.Duration) (problem string) {
	deadline := time.Now().Add(limit)
	for {
		if problem = f.servingProblem(); problem == "" || time.Now().After(deadline) || f.ctx.Err() != nil {
			return problem
		}
		time.Sleep(recoveryPollInterval)
	}
}

// writeLogs writes the plan, the violations and the output of all processes to a folder for this seed.
func (f *fleet) writeLogs(parent string, p Plan, violations []Violation) (string, error) {
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", p.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Trace(err)
	}
	var b strings.Builder
	for _, e := range append(append([]Event(nil), p.Faults...), p.Planned...) {
		fmt.Fprintln(&b, e)
	}
	for _, v := range violations {
		fmt.Fprintln(&b, v)
	}
	if err := os.WriteFile(filepath.Join(dir, "run.txt"), []byte(b.String()), 0o644); err != nil {
		return "", errors.Trace(err)
	}
	for _, h := range f.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(h.logs()), 0o644); err != nil {
			return "", errors.Trace(err)
		}
	}
	return dir, nil
}
