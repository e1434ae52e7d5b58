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
