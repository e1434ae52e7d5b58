package host

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestCallerIsNoFaultOfEndpoint guards against an endpoint that is avoided because a caller left in the middle of a long
// answer, or set too short a time for it. An endpoint that breaks a long answer off is still avoided.
func TestCallerIsNoFaultOfEndpoint(t *testing.T) {
	const bodyBytes = 64 << 20 // more than sockets hold
	cases := []struct {
		name      string
		deadline  time.Duration
		callerOff bool // the caller closes its connection
		breakAt   int  // bytes after which the endpoint closes its connection
		fault     bool
	}{
		{"caller leaves", 5 * time.Second, true, bodyBytes, false},
		{"deadline", 300 * time.Millisecond, false, bodyBytes, false},
		{"endpoint breaks off", 5 * time.Second, false, 2 << 20, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedServer(t, func(n int64, id string, w io.Writer) bool {
				fmt.Fprintf(w, "%s%s\r\nContent-Length: %d\r\n\r\n", answerHead, id, bodyBytes)
				chunk := strings.Repeat("x", 64<<10)
				for sent := 0; sent < c.breakAt; sent += len(chunk) {
					if _, err := io.WriteString(w, chunk); err != nil {
						return false
					}
					if c.deadline < time.Second {
						time.Sleep(5 * time.Millisecond)
					}
				}
				return false
			})
			h, url := newScriptedHost(t, s)
			conn, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Deadline: %d\r\n\r\n", nonIdempotentRoute, c.deadline.Milliseconds())
			if _, err := io.ReadFull(conn, make([]byte, 1<<20)); err != nil {
				t.Fatal(err)
			}
			if c.callerOff {
				conn.Close()
			} else {
				io.Copy(io.Discard, conn)
			}
			for end := time.Now().Add(10 * time.Second); h.front.inFlight.Load() > 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the request has not ended")
				}
			}
			h.binder.mu.Lock()
			defer h.binder.mu.Unlock()
			if _, avoided := h.binder.avoidUntil["e0"]; avoided != c.fault {
				t.Errorf("endpoint avoided: %v, want %v", avoided, c.fault)
			}
		})
	}
}

// recordingWriter records the sizes of writes and whether each had a new deadline.
type recordingWriter struct {
	http.ResponseWriter
	sizes    []int
	deadline time.Time
}

func (w *recordingWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	if time.Until(w.deadline) < callerWriteTimeout/2 {
		return 0, os.ErrDeadlineExceeded
	}
	w.deadline = time.Time{}
	w.sizes = append(w.sizes, len(p))
	return len(p), nil
}

// TestEachWriteToCallerHasDeadline guards against callers that stop reading a whole or long answer and hold their slot at the
// endpoint for as long as they like, and against one deadline for a long body, which would cut slow callers.
func TestEachWriteToCallerHasDeadline(t *testing.T) {
	w := &recordingWriter{}
	n, err := callerWriter{w}.Write(make([]byte, 2*callerWriteBytes+1))
	if want := []int{callerWriteBytes, callerWriteBytes, 1}; n != 2*callerWriteBytes+1 || err != nil || !slices.Equal(w.sizes, want) {
		t.Errorf("wrote %d bytes in %v, error %v, want %v", n, w.sizes, err, want)
	}
}
