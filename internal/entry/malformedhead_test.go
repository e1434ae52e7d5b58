package entry

import (
	"io"
	"net"
	"net/http"
	"testing"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/testbed"
)

// TestMalformedHead guards against a malformed head of a service that reaches the caller as an answer, and against a call that runs
// again after one although it is not idempotent.
func TestMalformedHead(t *testing.T) {
	for _, head := range testbed.MalformedHeads() {
		ex := &executions{n: make(map[string]int)}
		addr := rawEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
			ex.add(r.Header.Get("X-Request-Id"))
			io.WriteString(conn, testbed.Sized(head+"\r\nX-Request-Id: "+r.Header.Get("X-Request-Id"), "broken"))
		})
		b := newBed(t, Options{}, nil, service(addr))
		for _, method := range []string{"GET", "POST"} {
			resp := b.do(method, "/svc/registry/x", "x", "X-Request-Id", method)
			if p := readProblem(t, resp); resp.StatusCode != http.StatusBadGateway || p.Executed != attempt.ExecutedUnknown || ex.of(method) != 1 {
				t.Errorf("%s, %q: status %d, %+v, executed %d times", method, head, resp.StatusCode, p, ex.of(method))
			}
		}
	}
}
