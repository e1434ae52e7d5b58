package soak

import (
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"sycamoredeal/internal/testbed"
)

// regressions are seeds whose runs once violated a rule.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "adapters competed for adapter slots: requests waited for six seconds while slots were free"},
	{5, "a dispatcher that knew the endpoints but no configuration crashed on the first adapter"},
	{16, "deadlock between the binder and the directory: a restarted host never became ready"},
	{17, "deadlock between the binder and the directory, at the first start"},
	{18, "hosts took what the store held after its return from an older copy for older than what they had"},
	{19, "two holders of the lease used one fencing token after the store's return from an older copy"},
}

// TestSoak runs the regression seeds with real processes.
func TestSoak(t *testing.T) {
	bed, err := testbed.New(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range regressions {
		t.Run(x.cause, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), NewPlan(x.seed, 0), Options{Bed: bed, LogEvent: func(s string) { t.Log(s) }})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Error(v)
			}
			t.Log(r)
		})
	}
}

// TestNewPlan guards against seeds whose plans are not reproducible, and against kinds that no seed draws.
func TestNewPlan(t *testing.T) {
	drawn := make(map[Kind]bool)
	for seed := range uint64(200) {
		p := NewPlan(seed, 0)
		if !reflect.DeepEqual(p, NewPlan(seed, 0)) {
			t.Fatalf("seed %d has two plans", seed)
		}
		for _, e := range append(append([]Event(nil), p.Faults...), p.Planned...) {
			drawn[e.Kind] = true
		}
		for _, e := range p.Planned {
			if e.Kind.Unplanned() {
				t.Errorf("seed %d: %s among planned work", seed, e)
			}
		}
	}
	for _, k := range append([]Kind{ServerLimits}, faultKinds...) {
		if !drawn[k] {
			t.Errorf("%s was not drawn", k)
		}
	}
}

// TestResultLine guards against a run that ended with an error and is printed as ok.
func TestResultLine(t *testing.T) {
	for _, tc := range []struct {
		r    Result
		want string
	}{
		{Result{}, ": ok"},
		{Result{Err: errors.New("no port")}, ": error: no port"},
		{Result{Err: errors.New("no disk"), Violations: make([]Violation, 2), LogDir: "x"}, ": 2 violations, logs in x, error: no disk"},
	} {
		if got := tc.r.String(); !strings.HasSuffix(got, tc.want) {
			t.Errorf("%q does not end with %q", got, tc.want)
		}
	}
}
