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

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (server, client net.Conn) {
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

// TestIdleEndsAtRequest guards against a request that gets no answer because the idle timeout of its connection fires while
// the request arrives. Scenarios caprired-grown trouble-3 and pca-rodeo-grown mix --seed 848688826239, which change the idle
// timeout, lost requests in this way.
func TestIdleEndsAtRequest(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Log: telemetry.NewLogger(os.Stderr, "error", "test")})
	h.directory.currentView.Store(&fleet.View{Config: &fleet.Config{Version: 1, Limits: fleet.Limits{IdleTimeout: time.Hour}}, EndpointsListed: true})
	f := h.front
	c, _ := tcpPair(t)
	f.connState(c, http.StateIdle)
	x := f.idleConns[c]
	f.connState(c, http.StateActive)
	f.closeIdle(c, x) // as if the timer had fired before the request arrived
	if !isOpen(c) {
		t.Error("a connection with a request in progress was closed")
	}
	c, caller := tcpPair(t)
	f.connState(c, http.StateIdle)
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, pending := upstream.Peek(c); pending {
			break
		}
	}
	f.closeIdle(c, f.idleConns[c])
	if !isOpen(c) {
		t.Error("a connection with an unread request was closed")
	}
	c, _ = tcpPair(t)
	f.connState(c, http.StateIdle)
	f.closeIdle(c, f.idleConns[c])
	if isOpen(c) {
		t.Error("an idle connection was not closed")
	}
}
