package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
)

// TestEndlessAnswers has a service answer many calls at the same time with bodies that do not end. It guards against an entry that
// keeps more of them than its memory has room for, and against calls of other callers that fail meanwhile.
func TestEndlessAnswers(t *testing.T) {
	const memory, maxAnswer, calls = 32 << 20, 4 << 20, 60
	addr := rawEndpoint(t, func(conn net.Conn, r *http.Request, _ int) {
		if r.URL.Path == "/sound" {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", maxAnswer-1))
		io.Copy(io.Discard, conn) // until the entry closes the connection
	})
	b := newBed(t, Options{MaxAnswer: maxAnswer, AnswerMemory: memory}, nil, service(addr))
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			resp, err := b.try("POST", "/svc/registry/endless", "x", "X-Request-Id", fmt.Sprint("r", i))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if p := readProblem(t, resp); p.Executed != attempt.ExecutedUnknown || resp.StatusCode != http.StatusBadGateway && resp.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("status %d, %+v", resp.StatusCode, p)
			}
		})
	}
	time.Sleep(time.Second) // the service's time limit is 2 s
	var during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&during)
	resp := b.do("GET", "/svc/registry/sound", "")
	if body, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK || string(body) != "ok" {
		t.Errorf("another call: status %d, %q", resp.StatusCode, body)
	}
	wg.Wait()
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > memory {
		t.Errorf("%d MB are kept of %d calls", grown>>20, calls)
	}
}
