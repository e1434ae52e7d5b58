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
	startWithin  = 20 * time.Second
	calmTime     = stableFor + time.Second // between the recovery and planned work
	quietTime    = 1500 * time.Millisecond // after the load, in which a refused request might still run
	runLimit     = 4 * time.Minute
	recoveryPoll = 200 * time.Millisecond
)

// Result is what one run found.
type Result struct {
	Plan       Plan
	Violations []Violation
	Requests   int
	Statuses   map[int]int   // number of answers by status; 0 stands for none
	Recovery   time.Duration // from the end of the last fault until everything was served
	PeakMB     int           // of the host that used most memory
	Kept       string        // folder with the logs of a run that failed, empty if none were kept
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
		verdict = fmt.Sprintf("%d violations, logs in %s", n, r.Kept)
	}
	return fmt.Sprintf("seed %d: %d hosts, %d faults, %d planned, %d requests (%s ), served again after %.1f s, %d MB at most: %s",
		r.Plan.Seed, r.Plan.Hosts, len(r.Plan.Faults), len(r.Plan.Planned), r.Requests, b.String(), r.Recovery.Seconds(), r.PeakMB, verdict)
}

// Options of a run.
type Options struct {
	Bed  *testbed.Testbed // with the programs; the run starts its processes from a sibling
	Keep string           // folder for the logs of runs that fail, empty for none
	Log  func(string)     // is told of each event as it begins
}

// Run carries a plan out. The error tells that the run could not be made; what it found is in the result.
func Run(ctx context.Context, p Plan, o Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if o.Log == nil {
		o.Log = func(string) {}
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	bed := o.Bed.WithSamePrograms()
	defer bed.Close()
	audit := NewAudit()
	r := Result{Plan: p}
	f, err := startFleet(ctx, bed, dir, p.Hosts, audit)
	if err != nil {
		return r, err
	}
	if why := f.await(startWithin); why != "" {
		audit.Violate("START", "%s", why)
	} else {
		f.play(p, &r, o.Log)
	}
	f.close(ctx.Err() == nil)
	if ctx.Err() != nil {
		audit.Violate("SOAK", "the run was broken off: %v", ctx.Err())
	}
	audit.Finish()
	r.Violations = audit.Violations()
	r.Requests, r.Statuses = audit.Counts()
	if len(r.Violations) > 0 && o.Keep != "" {
		r.Kept, err = f.keepLogs(o.Keep, p, r.Violations)
	}
	return r, err
}

// play disturbs the fleet under load, waits until it has recovered, and does planned work.
func (f *fleet) play(p Plan, r *Result, log func(string)) {
	stop := f.load(p.Callers, p.Seed)
	f.disturb(p.Faults, log)
	end := time.Now()
	if why := f.await(recoverWithin); why != "" {
		f.audit.Violate("RECOVER", "%v after the last fault: %s", recoverWithin, why)
		stop()
		return
	}
	r.Recovery = time.Since(end)
	time.Sleep(calmTime)
	f.disturb(p.Planned, log)
	if why := f.await(recoverWithin); why != "" {
		f.audit.Violate("RECOVER", "after planned work: %s", why)
	}
	stop()
	for _, h := range f.hosts {
		r.PeakMB = max(r.PeakMB, h.peakMB())
	}
	if r.PeakMB > memoryMB {
		f.audit.Violate("MEMORY", "a host has used %d MB, its settings allow %d", r.PeakMB, memoryMB)
	}
	time.Sleep(quietTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if why := s.Crashed(); why != "" {
			f.audit.Violate("LIMIT", "server %s would have crashed: %s", s.ID(), why)
		}
	}
}

// await waits until everything is served, and returns what is not after the time.
func (f *fleet) await(limit time.Duration) (why string) {
	deadline := time.Now().Add(limit)
	for {
		if why = f.recovered(); why == "" || time.Now().After(deadline) || f.ctx.Err() != nil {
			return why
		}
		time.Sleep(recoveryPoll)
	}
}

// keepLogs writes the plan, the violations and the logs of all processes to a folder of their own.
func (f *fleet) keepLogs(keep string, p Plan, found []Violation) (string, error) {
	dir := filepath.Join(keep, fmt.Sprintf("seed-%d", p.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Trace(err)
	}
	var b strings.Builder
	for _, e := range append(append([]Event(nil), p.Faults...), p.Planned...) {
		fmt.Fprintln(&b, e)
	}
	for _, v := range found {
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
