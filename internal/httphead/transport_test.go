package httphead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/httphead"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/upstream"
)

// TestEndlessHead guards against a head without end of which a reader keeps megabytes.
func TestEndlessHead(t *testing.T) {
	const maxUnread, enough = 8 << 20, 32 << 20 // bytes that may be in sockets, and those after which the server gives up
	for name, parts := range map[string][2]string{
		"fields": {"HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n"}, "long field": {"HTTP/1.1 200 OK\r\nX: ", "y"}, "status line": {"HTTP/1.1 2", "0"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: y\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			address, end, err := testbed.Serve(func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				n, err := io.WriteString(c, parts[0])
				for again := strings.Repeat(parts[1], 1+(64<<10)/len(parts[1])); err == nil && n < enough; {
					var more int
					more, err = io.WriteString(c, again)
					n += more
				}
				written <- n
			})
			if err != nil {
				t.Fatal(err)
			}
			defer end()
			client := http.Client{Transport: httphead.NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
			if resp, err := client.Get("http://" + address); err == nil {
				resp.Body.Close()
				t.Errorf("status %d without an error", resp.StatusCode)
			}
			if n := <-written; n > maxUnread {
				t.Errorf("%d bytes read", n)
			}
		})
	}
}

// TestConnectionNotReused guards against a connection that carries another request after a malformed head.
func TestConnectionNotReused(t *testing.T) {
	for _, head := range testbed.MalformedHeads() {
		var conns atomic.Int64
		address, end, err := testbed.Serve(func(c net.Conn) {
			conns.Add(1)
			for r := bufio.NewReader(c); ; {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, testbed.Sized(head, ""))
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		client := http.Client{Transport: httphead.NewTransport(&http.Transport{}), Timeout: 10 * time.Second}
		const requests = 3
		for range requests {
			if resp, err := client.Get("http://" + address); err == nil {
				resp.Body.Close()
				t.Errorf("%q: status %d without an error", head, resp.StatusCode)
			}
		}
		if n := conns.Load(); n != requests {
			t.Errorf("%q: %d connections for %d requests", head, n, requests)
		}
		end()
	}
}

// TestErrorsAreShort guards against errors that quote long lines of a head: they are logged, and callers get them.
func TestErrorsAreShort(t *testing.T) {
	const most = 300
	long := strings.Repeat("\x01", 3000)
	for _, answer := range []string{
		long + "\r\n\r\n", "HTTP/1.1 000 " + long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nBad Name" + strings.Repeat("x", 3000) + ": x\r\nContent-Length: 0\r\n\r\n",
	} {
		address, end, err := testbed.ServeAnswers(func(*http.Request) string { return answer })
		if err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := httphead.NewTransport(&http.Transport{}).RoundTrip(req); err == nil || len(err.Error()) > most {
			t.Errorf("transport: error %.400v", err)
		}
		p := upstream.NewPool(0)
		if _, err := p.RoundTrip(t.Context(), &upstream.Request{Address: address, Method: "GET", Target: "/"}); err == nil || len(err.Error()) > most {
			t.Errorf("pool: error %.400v", err)
		}
		end()
	}
}
