package objects_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/testbed"
)

// TestMalformedHead guards against a malformed head that counts as the platform's confirmation. The outcome of an update is unknown
// then, so the error must match ErrUnavailable.
func TestMalformedHead(t *testing.T) {
	for _, head := range testbed.MalformedHeads() {
		address, end, err := testbed.ServeAnswers(func(*http.Request) string { return testbed.Sized(head, `{"kind":"head","metadata":{"name":"head"}}`) })
		if err != nil {
			t.Fatal(err)
		}
		defer end()
		c := objects.NewClient("http://"+address, "")
		if _, err := c.Update(t.Context(), objects.Object{Kind: objects.KindHead, Name: "head"}); !errors.Is(err, objects.ErrUnavailable) {
			t.Errorf("%q: update: error %v does not match ErrUnavailable", head, err)
		}
		if err := c.Watch(t.Context(), objects.KindHead, "", "1", func(objects.Event) {}); !errors.Is(err, objects.ErrUnavailable) {
			t.Errorf("%q: watch: error %v does not match ErrUnavailable", head, err)
		}
	}
}

// TestCutAnswer guards against a part of an answer that counts as the platform's confirmation of an update: it has no length, and its
// connection was reset while the update was still being written.
func TestCutAnswer(t *testing.T) {
	const answer = `{"kind":"head","metadata":{"name":"head","resourceVersion":"7"}}`
	for cut := range answer {
		end := testbed.AnswerEnd(cut % 2) // by a reset or by a close
		address, stop, err := testbed.ServeEarlyAnswers(func(*http.Request) testbed.EarlyAnswer {
			return testbed.EarlyAnswer{Answer: "HTTP/1.1 200 OK\r\n\r\n" + answer[:cut], End: end}
		})
		if err != nil {
			t.Fatal(err)
		}
		o := objects.Object{Kind: objects.KindHead, Name: "head", Data: []byte(`"` + strings.Repeat("x", 600<<10) + `"`)}
		if _, err := objects.NewClient("http://"+address, "").Update(t.Context(), o); !errors.Is(err, objects.ErrUnavailable) {
			t.Errorf("%s, %s: error %v does not match ErrUnavailable", answer[:cut], testbed.AnswerEnds[end], err)
		}
		stop()
	}
}
