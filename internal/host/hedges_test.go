package host

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/telemetry"
)

// TestHedgeMetrics guards against hedges that can't be told apart in the metrics by how they ended or why they were not sent.
func TestHedgeMetrics(t *testing.T) {
	m := telemetry.MustNewMetrics()
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: testCodec{}, Log: telemetry.NewLogger(&bytes.Buffer{}, "fatal", "test"), Metrics: m})
	if err := h.registerHedgeMetrics(); err != nil {
		t.Fatal(err)
	}
	g := h.hedges
	g.sent.Add(9)
	for i := range g.results {
		g.results[i].Add(uint64(2 + i))
	}
	for why, reason := range map[hedgeRefusal]string{
		hedgeWaiting: sched.HedgeWaitingReason, hedgeLoad: sched.HedgeLoadReason, hedgeSlow: sched.HedgeSlowReason,
		hedgeNoRoom: sched.HedgeNoRoomReason, hedgeBudget: sched.RetriesUsedReason, hedgeUndecided: "another reason",
	} {
		if got := hedgeRefusalOf(&refusal{reason: reason}); got != why {
			t.Errorf("%q counts as %v", reason, got)
		}
		g.countRefusal(why)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body := w.Body.String()
	for _, want := range []string{`result="won"} 2`, `result="lost"} 3`, `result="failed"} 4`, `reason="requests wait"} 1`, `reason="limit"} 0`, "sycamore_hedges_sent_total 9"} {
		if !strings.Contains(strings.ReplaceAll(body, `,otel_scope_name=""`, ""), want) {
			t.Errorf("no %s", want)
		}
	}
	if t.Failed() {
		for line := range strings.Lines(body) {
			if strings.Contains(line, "hedges") {
				t.Log(line)
			}
		}
	}
}

// TestEndNamesAccount guards against the log of an ended request that doesn't tell whose quota it used, and against an account of a
// request that has none.
func TestEndNamesAccount(t *testing.T) {
	for _, a := range []*fleet.Account{nil, {Name: "team-7"}} {
		var out bytes.Buffer
		h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: testCodec{}, Log: telemetry.NewLogger(&out, "info", "test")})
		x := &exchange{f: h.front, q: &fleet.Request{ID: "r", Route: &fleet.Route{Name: "route"}, Account: a}}
		x.logEnd("answered", 200, nil)
		if got := out.String(); !strings.Contains(got, "Request ended.") || strings.Contains(got, `"account"`) != (a != nil) || a != nil && !strings.Contains(got, `"account":"team-7"`) {
			t.Errorf("account %v: %s", a, got)
		}
	}
}
