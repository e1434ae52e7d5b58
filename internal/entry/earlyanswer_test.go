package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/testbed"
)

// TestEarlyAnswerCut guards against a part of a service's answer that reaches the caller as a complete one, because the connection was
// reset while the call's body was still being written. An answer that ends in order has to arrive.
func TestEarlyAnswerCut(t *testing.T) {
	const uploadBytes = 1 << 20
	body := strings.Repeat("x", uploadBytes)
	for end, name := range testbed.AnswerEnds {
		for _, read := range []int64{0, 200 << 10} {
			plays := 80 // few of them fail with the fault
			if end.Orderly() {
				plays = 4
			}
			// The cases don't run side by side: the listener of an entry that stops closes its descriptor twice (netpoll v0.7.2), which
			// can be that of a connection of another entry the second time.
			t.Run(name, func(t *testing.T) {
				addr, stop, err := testbed.ServeEarlyAnswers(func(*http.Request) testbed.EarlyAnswer {
					return testbed.EarlyAnswer{Answer: "HTTP/1.1 200 OK\r\n\r\nanswer", Read: read, End: end}
				})
				if err != nil {
					t.Fatal(err)
				}
				defer stop()
				b := newBed(t, Options{MaxBody: 2 * uploadBytes}, nil, service(addr))
				for range plays {
					resp := b.do("POST", "/svc/registry/x", body)
					if !end.Orderly() && resp.StatusCode == http.StatusBadGateway {
						if p := readProblem(t, resp); p.Executed != attempt.ExecutedUnknown {
							t.Errorf("%d bytes of the request read: %+v, want unknown", read, p)
						}
						continue
					}
					got, err := io.ReadAll(resp.Body)
					if !end.Orderly() || resp.StatusCode != http.StatusOK || string(got) != "answer" || err != nil {
						t.Errorf("%d bytes of the request read: status %d, %q, %v", read, resp.StatusCode, got, err)
					}
				}
			})
		}
	}
}
