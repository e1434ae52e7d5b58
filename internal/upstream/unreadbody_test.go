package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndpointPausesInBody guards against a request that is cut because its endpoint, which is alive, pauses before it reads the
// body: the kernel ends a connection whose peer takes nothing for TCP_USER_TIMEOUT. A connection that is kept is
// again one whose peer has to answer soon.
func TestEndpointPausesInBody(t *testing.T) {
	for _, size := range []int{1 << 20, 8 << 20} {
		for _, pause := range []time.Duration{time.Second, 2500 * time.Millisecond} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				addr := startServer(t, func(_ int32, c net.Conn, r *bufio.Reader) {
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						time.Sleep(pause)
						if n, err := io.Copy(io.Discard, req.Body); n != int64(size) || err != nil {
							t.Errorf("the endpoint got %d of %d bytes, %v", n, size, err)
						}
						io.WriteString(c, okResponse)
					}
				})
				p := NewPool(0)
				for range 2 {
					resp, err := p.RoundTrip(t.Context(), &Request{Address: addr, Method: "POST", Target: "/", Header: http.Header{}, Body: make([]byte, size)})
					if err != nil {
						t.Fatalf("%d bytes, pause %v: %v", size, pause, err)
					}
					_, _, err = resp.ReadAll(10)
					resp.Close(err == nil)
				}
				for _, c := range p.idleConns[addr] {
					if c.unreadTolerated.Load() {
						t.Error("a kept connection still has the longer time")
					}
				}
			})
		}
	}
}

// TestUnreachableIsNotSlow guards against an endpoint that can't be reached and is taken for one that reads slowly.
func TestUnreachableIsNotSlow(t *testing.T) {
	for _, c := range []struct {
		unacked, unsent uint32
		want            bool
	}{{0, 0, false}, {3, 0, false}, {3, 1 << 20, false}, {0, 1, true}} {
		if got := endpointReadsSlowly(c.unacked, c.unsent); got != c.want {
			t.Errorf("%d segments not acknowledged, %d bytes not sent: %v", c.unacked, c.unsent, got)
		}
	}
}
