package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestAnswerCutAnywhere ends an endpoint's answer after each of its bytes, in the head and in the body, by a close and by a reset. It
// guards against callers who get a 200 that looks complete with an empty or short body, and against whole answers that are taken
// for cut ones when they come in pieces.
func TestAnswerCutAnywhere(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	const head = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\n"
	chunked := head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
	sized := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events)
	interim := "HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n" + sized
	unframed := head + "\r\n" + events
	cuts := map[string]int{sized: len(sized) - 1, chunked: len(chunked) - 1, interim: len(interim) - 1, unframed: len(head)} // in the body, its end is not seen
	for name, answer := range map[string]string{"with a length": sized, "in chunks": chunked, "after an interim answer": interim, "up to the end": unframed} {
		for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, " reset ", reset), func(t *testing.T) {
					t.Parallel()
					for cut := range cuts[answer] + 1 {
						s := newScriptedServer(t, func(_ int64, _ string, w io.Writer) bool {
							io.WriteString(w, answer[:cut])
							if reset {
								resetConnection(w)
							}
							return false
						})
						_, url := newScriptedHost(t, s)
						if g := sendRequest(url, path, "r1", 2*time.Second); g.status < 300 && g.status > 0 && g.whole {
							t.Errorf("cut after %d of %d bytes (%q): status %d with a whole body %q", cut, len(answer), answer[max(cut-20, 0):cut], g.status, g.body)
						}
					}
				})
			}
			t.Run(fmt.Sprint(name, path, " in pieces"), func(t *testing.T) {
				t.Parallel()
				s := newScriptedServer(t, func(_ int64, _ string, w io.Writer) bool {
					for part := answer; part != ""; part = part[min(7, len(part)):] {
						io.WriteString(w, part[:min(7, len(part))])
						time.Sleep(time.Millisecond)
					}
					return answer != unframed
				})
				_, url := newScriptedHost(t, s)
				if g := sendRequest(url, path, "r1", 2*time.Second); g.status != http.StatusOK || !g.whole || !strings.HasSuffix(g.body, events) {
					t.Errorf("status %d, whole %v, body %q", g.status, g.whole, g.body)
				}
			})
		}
	}
}
