package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestLongAnswerArrivesWhole plays endpoints that send an answer at an even pace for longer than the time after which a silent
// endpoint is left. It guards against answers that are broken off, or fetched again, although their bytes arrive.
func TestLongAnswerArrivesWhole(t *testing.T) {
	const pieces, pause = 20, 60 * time.Millisecond // 1.2 s, of which no 0.4 s are silent
	for _, size := range []int{1 << 10, 64 << 10, 2 << 20, 20 << 20} {
		for _, sized := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, length %v", size, sized), func(t *testing.T) {
				t.Parallel()
				answer := func(_ int64, id string, w io.Writer) bool {
					io.WriteString(w, answerHead+id+"\r\n")
					if sized {
						fmt.Fprintf(w, "Content-Length: %d\r\n", size)
					}
					io.WriteString(w, "\r\n")
					part := strings.Repeat("x", size/pieces)
					for range pieces - 1 {
						io.WriteString(w, part)
						time.Sleep(pause)
					}
					io.WriteString(w, strings.Repeat("x", size-(pieces-1)*len(part)))
					return sized
				}
				first, second := newScriptedServer(t, answer), newScriptedServer(t, answer)
				_, url := newScriptedHost(t, first, second)
				if g := sendRequest(url, idempotentRoute, "r1", 8*time.Second); g.status != http.StatusOK || !g.whole {
					t.Errorf("status %d, whole %v after %v", g.status, g.whole, g.elapsed)
				}
				if n := first.requests.Load() + second.requests.Load(); n != 1 {
					t.Errorf("%d endpoints got the request", n)
				}
			})
		}
	}
}

// TestStalledAnswerIsLeft guards against a request that may be repeated and waits for an answer that has stalled in its body.
func TestStalledAnswerIsLeft(t *testing.T) {
	answered := make(chan struct{}, 2)
	answer := func(n int64, id string, w io.Writer) bool {
		select {
		case answered <- struct{}{}:
		default:
		}
		if len(answered) == 1 { // the first endpoint that is asked
			fmt.Fprintf(w, "%s%s\r\nContent-Length: 6\r\n\r\nans", answerHead, id)
			time.Sleep(5 * time.Second)
			return false
		}
		io.WriteString(w, wholeAnswer(id, "answer"))
		return true
	}
	_, url := newScriptedHost(t, newScriptedServer(t, answer), newScriptedServer(t, answer))
	if g := sendRequest(url, idempotentRoute, "r1", 4*time.Second); g.status != http.StatusOK || g.body != "answer" || g.elapsed > 3*time.Second {
		t.Errorf("status %d, body %q after %v", g.status, g.body, g.elapsed)
	}
}
