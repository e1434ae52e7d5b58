package host

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
)

// upload sends a request with a body.
func upload(t *testing.T, url, path string, size int) (g callerResult) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "POST", url+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Id", "r1")
	req.Header.Set("X-Deadline", "5000")
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResult{elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, body: string(body), whole: err == nil, elapsed: time.Since(start)}
}

// lastEvent ends the answers of TestEarlyAnswerCut that end in order.
const lastEvent = "id: 9\ndata: z\n\n"

// TestEarlyAnswerCut plays servers that answer an upload before they have read it, and end the connection. It guards against callers
// who get a part of such an answer as a complete one, and against answers that end in order and don't arrive.
func TestEarlyAnswerCut(t *testing.T) {
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	for name, body := range map[string]string{
		"nothing": "", "two events": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "200 KB": strings.Repeat("id: 3\ndata: "+strings.Repeat("x", 86)+"\n\n", 2048),
	} {
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body+lastEvent))
		for framing, parts := range map[string][2]string{ // what is sent before all ends, and before orderly ones
			"no length": {"\r\n" + body, lastEvent},
			"length":    {length + body, lastEvent},
			"chunks":    {"Transfer-Encoding: chunked\r\n\r\n" + strings.TrimPrefix(chunk(body), chunk("")), chunk(lastEvent) + chunk("")},
		} {
			for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
				t.Run(name+"/"+framing+path, func(t *testing.T) {
					t.Parallel()
					for _, read := range []int64{0, 200 << 10} {
						for _, pause := range []time.Duration{0, 30 * time.Millisecond, 300 * time.Millisecond} {
							for end := range testbed.AnswerEnds {
								checkEarlyAnswer(t, path, parts, body, testbed.EarlyAnswer{Read: read, Pause: pause, End: end})
							}
						}
					}
				})
			}
		}
	}
}

// checkEarlyAnswer uploads 1 MB to a server that answers as a says. The answer consists of the parts, the second of which is sent only if
// the answer ends in order. Its body is then body with lastEvent.
func checkEarlyAnswer(t *testing.T, path string, parts [2]string, body string, a testbed.EarlyAnswer) {
	t.Helper()
	address, stop, err := testbed.ServeEarlyAnswers(func(r *http.Request) testbed.EarlyAnswer {
		sent := a
		sent.Answer = answerHead + r.Header.Get("X-Id") + "\r\n" + parts[0]
		if a.End.Orderly() {
			sent.Answer += parts[1]
		}
		return sent
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	_, url := newScriptedHost(t, &scriptedServer{address: address})
	g := upload(t, url, path, 1<<20)
	complete := g.status < http.StatusMultipleChoices && g.status > 0 && g.whole
	if complete != a.End.Orderly() || complete && g.body != body+lastEvent {
		t.Errorf("%d bytes of the request read, %s after %v: status %d, complete %v, %d bytes, after %v",
			a.Read, testbed.AnswerEnds[a.End], a.Pause, g.status, complete, len(g.body), g.elapsed)
	}
}
