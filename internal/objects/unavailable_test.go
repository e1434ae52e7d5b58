package objects

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"
)

// TestLostConnection guards against an error that doesn't match ErrUnavailable if the connection ends before the answer:
// the outcome of an update is unknown then.
func TestLostConnection(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	if _, err := NewClient(srv.URL, "").Update(t.Context(), Object{Kind: KindHead, Name: "head"}); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v does not match ErrUnavailable", err)
	}
}

// TestUnreadableAnswers guards against an answer without end that fills the memory of a control process, and against
// unclear errors. After an unreadable answer the outcome of an update is unknown, so the error must match ErrUnavailable.
func TestUnreadableAnswers(t *testing.T) {
	for want, body := range map[string]string{
		"is longer than": `{"metadata":{"name":"` + strings.Repeat("x", 2*maxAnswerBytes) + `"}}`,
		"answer to PUT":  `{"metadata":[`,
	} {
		bytesSent := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { bytesSent, _ = w.Write([]byte(body)) }))
		_, err := NewClient(srv.URL, "").Update(t.Context(), Object{Kind: KindHead, Name: "head"})
		srv.Close()
		if !errors.Is(err, ErrUnavailable) || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v after %d bytes, want %q and ErrUnavailable", err, bytesSent, want)
		}
	}
}
