package host

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resetConnection closes a server's connection so that the client sees a reset.
func resetConnection(w io.Writer) {
	c := w.(*countingWriter).Conn
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// TestUnframedAnswers guards against answers without a length or chunks, which end with their connection, that are taken for
// broken ones, and against broken ones that callers take for complete: a stream that ends inside an event or before its first
// one, and a connection that is reset.
func TestUnframedAnswers(t *testing.T) {
	const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, c := range []struct {
		name, path, body string
		reset            bool
		whole            bool // the caller gets the complete body
	}{
		{"plain", nonIdempotentRoute, "answer", false, true},
		{"plain, repeatable", idempotentRoute, "answer", false, true},
		{"plain, reset", nonIdempotentRoute, "answ", true, false},
		{"stream", streamRoute, twoEvents, false, true},
		{"stream inside an event", streamRoute, twoEvents + "id: 3\ndata: c\n", false, false},
		{"stream inside its first event", streamRoute, "id: 1\nda", false, false},
		{"stream before its first event", streamRoute, "", false, false},
		{"stream, reset", streamRoute, twoEvents, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
				io.WriteString(w, answerHead+id+"\r\nContent-Type: text/event-stream\r\n\r\n"+c.body)
				if time.Sleep(30 * time.Millisecond); c.reset {
					resetConnection(w)
				}
				return false
			})
			_, url := newScriptedHost(t, s)
			g := sendRequest(url, c.path, "r1", time.Second)
			complete := g.status == http.StatusOK && g.whole
			if complete != c.whole || complete && g.body != c.body || !strings.HasPrefix(c.body, g.body) && g.status == http.StatusOK {
				t.Errorf("status %d, complete %v: %q", g.status, g.whole, g.body)
			}
		})
	}
}
