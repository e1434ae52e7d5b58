package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestConditionalReport guards against an outdated report after a restart of the engine, and against engines that send
// no entity tag.
func TestConditionalReport(t *testing.T) {
	tag, body, unchanged := "", "", 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRunning, "0")
		w.Header().Set(HeaderWaiting, "0")
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			unchanged++
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fmt.Fprint(w, body)
	}))
	defer srv.Close()
	c := NewClient(time.Second)
	for i, step := range []struct {
		tag, body, want string
		unchanged       int
	}{
		{`W/"a-1"`, `{"incarnation":"a"}`, "a", 0},
		{`W/"a-1"`, `{"incarnation":"wrong"}`, "a", 1},
		{`W/"b-1"`, `{"incarnation":"b"}`, "b", 1},
		{"", `{"incarnation":"c"}`, "c", 1},
		{`W/"b-1"`, `{"incarnation":"d"}`, "d", 1},
	} {
		tag, body = step.tag, step.body
		r, err := c.Report(context.Background(), strings.TrimPrefix(srv.URL, "http://"))
		if err != nil || r.Incarnation != step.want || unchanged != step.unchanged {
			t.Errorf("step %d: incarnation %q, %d unchanged, error %v; want %q, %d", i, r.Incarnation, unchanged, err, step.want, step.unchanged)
		}
	}
}

// TestCountsOfUnchangedReport guards against the numbers of requests of an earlier report, which operators would take for
// those of now: an entity tag does not cover them.
func TestCountsOfUnchangedReport(t *testing.T) {
	running, withHeaders := 0, true
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `W/"a-1"`)
		if withHeaders {
			w.Header().Set(HeaderRunning, fmt.Sprint(running))
			w.Header().Set(HeaderWaiting, fmt.Sprint(running+1))
		}
		if r.Header.Get("If-None-Match") != "" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fmt.Fprintf(w, `{"incarnation":"a","running":%d,"waiting":%d}`, running, running+1)
	}))
	defer srv.Close()
	c := NewClient(time.Second)
	report := func() (Report, error) { return c.Report(context.Background(), strings.TrimPrefix(srv.URL, "http://")) }
	for _, withHeaders = range []bool{true, false} {
		for running = range 4 {
			r, err := report()
			if !withHeaders && running == 0 {
				if err == nil {
					t.Errorf("got %+v without an error from a response 304 without numbers", r)
				}
				continue // the client learns here that the engine no longer sends the headers
			}
			if err != nil || r.Running != running || r.Waiting != running+1 || r.Incarnation != "a" {
				t.Errorf("headers %v: got %+v, error %v, want %d running and %d waiting", withHeaders, r, err, running, running+1)
			}
		}
	}
}
