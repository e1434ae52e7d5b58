package slopes

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/control"
	"sycamoredeal/internal/httpjson"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

const (
	changeFile  = "90-change.yaml"
	changeLimit = 18 * time.Second // time in which a change must be in force everywhere
)

func (r *runner) scenario(f *testbed.Fleet) *load.Scenario {
	s := &load.Scenario{Seed: 1, Duration: r.window, Accelerators: len(f.Snapshot.Endpoints)}
	for _, h := range f.Hosts {
		s.EntryAddrs = append(s.EntryAddrs, h.EntryAddr)
	}
	return s
}

// requests sends streams of 16 tokens on average.
func (r *runner) requests(ctx context.Context, f *testbed.Fleet, perSecond int) error {
	s := r.scenario(f)
	var models []string
	for i := range f.Snapshot.Models {
		models = append(models, f.Snapshot.Models[i].Name)
	}
	s.Streams = []load.Stream{{
		Name: "requests", Caller: "caller", Key: apiKey, Rank: "normal", Models: models, Rate: float64(perSecond),
		PromptTokens: 20, OutputTokens: 16, FirstTokenTarget: time.Second, BetweenTokensTarget: time.Second, Worth: 1,
	}}
	return play(ctx, s)
}

// claims sends calls of a plain service with an idempotency key.
func (r *runner) claims(ctx context.Context, f *testbed.Fleet, perSecond int) error {
	s := r.scenario(f)
	s.Calls = []load.Call{{
		Name: "claims", Caller: "caller", Key: apiKey, Service: "ledger", Method: "POST", Path: "/pay", Rate: float64(perSecond),
		SendIdempotencyKey: true, LatencyTarget: time.Second, Worth: 1,
	}}
	return play(ctx, s)
}

func play(ctx context.Context, s *load.Scenario) error {
	rep, err := load.Run(ctx, s)
	if err != nil {
		return err
	}
	if n := rep.Violations(); n > 0 {
		return errors.Errorf("%d requests were lost, doubled, cut or wrong", n)
	}
	return nil
}

// changes applies configuration changes at a rate and records how long the slowest host took to have one in force.
func (r *runner) changes(ctx context.Context, f *testbed.Fleet, perMinute int) error {
	gap := time.Minute / time.Duration(perMinute)
	end := time.Now().Add(r.window)
	slowest := time.Duration(0)
	for n := 1; time.Now().Before(end); n++ {
		next := time.Now().Add(gap)
		took, err := r.change(ctx, f, n)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
		if err := pause(ctx, time.Until(min2(next, end))); err != nil {
			return err
		}
	}
	r.add(fmt.Sprintf("slowest change in force, %d models", len(f.Snapshot.Models)), float64(perMinute), "fleet", "seconds", slowest.Seconds())
	return nil
}

func min2(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// change applies one change and waits until all hosts have it in force.
func (r *runner) change(ctx context.Context, f *testbed.Fleet, n int) (time.Duration, error) {
	content := fmt.Sprintf("callers: [{name: caller, weight: %d.%d}]\n", 1+n%7, time.Now().UnixMilli()%1000)
	if err := os.WriteFile(filepath.Join(f.Options.Dir, changeFile), []byte(content), 0o644); err != nil {
		return 0, errors.Trace(err)
	}
	var st control.Status
	if err := httpjson.Get(ctx, "http://"+f.Hosts[0].AdminAddr+"/v1/status", &st); err != nil {
		return 0, err
	}
	want, started := st.Revision+1, time.Now()
	if err := f.Apply(ctx); err != nil {
		return 0, err
	}
	for _, h := range f.Hosts {
		for {
			if err := httpjson.Get(ctx, "http://"+h.AdminAddr+"/v1/status", &st); err != nil {
				return 0, err
			}
			if st.Revision >= want {
				break
			}
			if time.Since(started) > changeLimit {
				return 0, errors.Errorf("revision %d is not in force at %s after %s", want, h.Name, changeLimit)
			}
			if err := pause(ctx, 20*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(started), nil
}
