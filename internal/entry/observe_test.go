package entry

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/dispatch"
	"sycamoredeal/internal/wire"
)

// TestSeriesAreDeclared guards against label sets that callers can invent, and against series that start again with each
// configuration.
func TestSeriesAreDeclared(t *testing.T) {
	o := newObserver()
	d := config.Declarations{Callers: []config.Caller{{Name: "app"}}, Ranks: []config.Rank{{Name: "urgent"}}}
	o.declare(config.NewSnapshot(1, d))
	first := o.of("app", "urgent")
	d.Ranks = append(d.Ranks, config.Rank{Name: "batch"})
	o.declare(config.NewSnapshot(2, d))
	if o.of("app", "urgent") != first || o.of("app", "batch") == o.other {
		t.Error("a new configuration loses a series or makes none for a new rank")
	}
	for i := range 100 {
		o.of(fmt.Sprint("invented", i), "urgent").Request(resultAnswered)
	}
	w := httptest.NewRecorder()
	o.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if text := w.Body.String(); strings.Contains(text, "invented") || !strings.Contains(text, `caller="-",rank="-",result="answered"} 100`) {
		t.Errorf("undeclared callers are not counted as one:\n%s", text)
	}
}

// TestRareDecisionsSurviveAFlood guards against a flood of requests that pushes ejections out of the journal.
func TestRareDecisionsSurviveAFlood(t *testing.T) {
	o := newObserver()
	o.dispatched(dispatch.Output{Endpoint: "e1", Decision: dispatch.Decision{Reason: "failing requests"}})
	for i := range 2 * requestDecisions {
		o.dispatched(dispatch.Output{Kind: wire.KindRefuse, Decision: dispatch.Decision{Request: fmt.Sprint("r", i), Model: "m1"}})
	}
	if got := o.find("e1"); len(got) != 1 || got[0].Decision != "ejection" {
		t.Errorf("decisions about e1: %v", got)
	}
	if got := o.find(fmt.Sprint("r", 2*requestDecisions-1)); len(got) != 1 || got[0].Decision != "refuse" {
		t.Errorf("decisions about the latest request: %v", got)
	}
}

// TestLongHeaders guards against callers that fill the entry's memory with headers.
func TestLongHeaders(t *testing.T) {
	b := newBed(t, Options{}, newScript("e1"), config.Declarations{})
	resp, err := b.try("GET", "/v1/models", "", "X-Filler", strings.Repeat("x", 2*maxHeaderBytes))
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode < 400 {
			t.Errorf("a header of %d bytes got %d", 2*maxHeaderBytes, resp.StatusCode)
		}
	}
	if resp := b.do("GET", "/v1/models", ""); resp.StatusCode != 200 {
		t.Errorf("after it, a request got %d", resp.StatusCode)
	}
}
