package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"
)

// TestLostConnection guards against an error that does not match ErrUnavailable when the connection ends before the
// answer: callers must then treat the outcome of an update as unknown.
func TestLostConnection(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	if _, err := NewClient(srv.URL, "").Update(t.Context(), Object{Kind: KindHead, Name: "head"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v does not match ErrUnavailable", err)
	}
}
