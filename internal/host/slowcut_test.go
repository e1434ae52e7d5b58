package host

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// TestCutAnswerOfSlowReader guards against a long answer that is cut while its caller reads slowly and then looks complete: the host
// reads ahead of what it writes, and must not forget the error it meets.
func TestCutAnswerOfSlowReader(t *testing.T) {
	const length = 3 << 19
	body := eventsText(length)[:length]
	for framing, head := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", length), "chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", length), "no length": "\r\n",
	} {
		for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute} {
			for _, reset := range []bool{true, false} {
				if !reset && framing == "no length" {
					continue // complete
				}
				for _, cut := range []int{length * 3 / 4, length - 1} {
					t.Run(fmt.Sprint(framing, path, cut, " reset ", reset), func(t *testing.T) {
						t.Parallel()
						s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
							io.WriteString(w, answerHead+id+"\r\n"+head)
							io.WriteString(w, body[:cut])
							if time.Sleep(300 * time.Millisecond); reset {
								resetConnection(w)
							}
							return false
						})
						_, url := newSlowReadHost(t, 136, s)
						n, err := readSlowly(openRequest(t, url, path, "", 10*time.Second), 32<<10, 50*time.Millisecond, body)
						if err == nil {
							t.Errorf("%d of %d bytes look complete", n, length)
						}
					})
				}
			}
		}
	}
}
