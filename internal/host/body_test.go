package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestBodiesAtOnceWithinBound guards against bodies that are each within the memory bound and exceed it together, because
// they are read at the same time. One that does not fit is refused at once.
func TestBodiesAtOnceWithinBound(t *testing.T) {
	const bound, body = 1000, 600
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprint("chunked ", chunked), func(t *testing.T) {
			s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
				io.WriteString(w, wholeAnswer(id, "ok"))
				return true
			})
			h, url := newScriptedHost(t, s)
			h.front.maxBodyBytes = bound
			length, part := fmt.Sprintf("Content-Length: %d", body), strings.Repeat("x", body-1)
			rest := "x"
			if chunked {
				length, part = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", body-1, part)
				rest = "1\r\nx\r\n0\r\n\r\n"
			}
			var conns []net.Conn
			for i := range 2 {
				c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(10 * time.Second))
				fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r%d\r\nX-Deadline: 9000\r\n%s\r\n\r\n%s", nonIdempotentRoute, i, length, part)
				conns = append(conns, c)
			}
			time.Sleep(50 * time.Millisecond) // both bodies are being read
			statuses := make(map[int]int)
			for _, c := range conns {
				io.WriteString(c, rest) // fails for a caller that has its answer
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				statuses[resp.StatusCode]++
			}
			if statuses[http.StatusOK] != 1 || statuses[http.StatusServiceUnavailable] != 1 {
				t.Errorf("statuses of two bodies of %d bytes within a bound of %d: %v", body, bound, statuses)
			}
			for end := time.Now().Add(5 * time.Second); h.front.inFlight.Load() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			if n := h.front.bodyBytes.Load(); n != 0 {
				t.Errorf("%d bytes are still reserved", n)
			}
		})
	}
}
