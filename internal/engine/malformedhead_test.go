package engine_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/testbed"
)

// TestMalformedHead guards against a report or a confirmed order in an answer with a malformed head.
func TestMalformedHead(t *testing.T) {
	for _, head := range testbed.MalformedHeads() {
		address, end, err := testbed.ServeAnswers(func(r *http.Request) string {
			if r.Method == http.MethodPost {
				return testbed.Sized(strings.Replace(head, "200 OK", "202 Accepted", 1), "")
			}
			return testbed.Sized(head, `{"incarnation":"a"}`)
		})
		if err != nil {
			t.Fatal(err)
		}
		defer end()
		c := engine.NewClient(time.Second)
		if r, err := c.Report(t.Context(), address); err == nil {
			t.Errorf("%q: report %+v without an error", head, r)
		}
		if err := c.Order(t.Context(), address, engine.Order{ID: 1}); err == nil {
			t.Errorf("%q: order without an error", head)
		}
	}
}
