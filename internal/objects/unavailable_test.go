package objects

import (
	"net/http"
	"net/http/httptest"
	"strings"
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

// TestUnreadableAnswers guards against answers that fill the memory of a control process, and against unclear errors. Both
// leave the outcome of an update unknown.
func TestUnreadableAnswers(t *testing.T) {
	for want, body := range map[string]string{
		"is longer than": `{"metadata":{"name":"` + strings.Repeat("x", 2*maxReply) + `"}}`,
		"answer to PUT":  `{"metadata":[`,
	} {
		sent := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sent, _ = w.Write([]byte(body)) }))
		_, err := NewClient(srv.URL, "").Update(t.Context(), Object{Kind: KindHead, Name: "head"})
		srv.Close()
		if !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v after %d bytes, want %q and ErrUnavailable", err, sent, want)
		}
	}
}
