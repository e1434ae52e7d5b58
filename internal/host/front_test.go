package host

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
)

// connected returns both ends of a connection.
func connected(t *testing.T) (server, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp4", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return server, client
}

func isOpen(c net.Conn) bool {
	_, err := c.Write([]byte("x"))
	return err == nil
}

// TestIdleEndsAtRequest guards against a request that gets no answer because the idle time of its connection ends when it
// arrives (caprired-grown trouble-3, pca-rodeo-grown mix --seed 848688826239: changes of the idle time).
func TestIdleEndsAtRequest(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	h.directory.now.Store(&fleet.View{Config: &fleet.Config{Version: 1, Limits: fleet.Limits{IdleTimeout: time.Hour}}, EndpointsListed: true})
	f := h.front
	c, _ := connected(t)
	f.connState(c, http.StateIdle)
	x := f.idle[c]
	f.connState(c, http.StateActive)
	f.closeIdle(c, x) // the timer had fired before
	if !isOpen(c) {
		t.Error("a connection with a request is closed")
	}
	c, caller := connected(t)
	f.connState(c, http.StateIdle)
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, pending := upstream.Peek(c); pending {
			break
		}
	}
	f.closeIdle(c, f.idle[c])
	if !isOpen(c) {
		t.Error("a connection whose request has arrived and was not read is closed")
	}
	c, _ = connected(t)
	f.connState(c, http.StateIdle)
	f.closeIdle(c, f.idle[c])
	if isOpen(c) {
		t.Error("an idle connection stays open")
	}
}
