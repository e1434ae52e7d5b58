package objects_test

import (
	"net/http"
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
