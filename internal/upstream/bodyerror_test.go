package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestBodyErrorIsKept guards against a cut body that counts as complete because one reader has dropped the error that the next one
// relies on: net/http returns io.EOF after an io.ErrUnexpectedEOF.
func TestBodyErrorIsKept(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 9\r\n\r\npart", "chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "within a chunk": "Transfer-Encoding: chunked\r\n\r\n9\r\npart",
		"no length": "\r\npart",
	} {
		for _, reset := range []bool{false, true} {
			read := make(chan struct{})
			addr := startServer(t, func(_ int32, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
				if <-read; reset {
					c.(*net.TCPConn).SetLinger(0)
				}
			})
			resp, err := NewPool(0).RoundTrip(t.Context(), &Request{Address: addr, Method: "GET", Target: "/", Header: http.Header{}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, len("part"))); err != nil {
				t.Fatal(err)
			}
			close(read)
			want := name == "no length" && !reset // complete
			for i := range 3 {
				if n, err := resp.Body.Read(make([]byte, 8)); n > 0 || (err == io.EOF) != want || err == nil {
					t.Errorf("%s, reset %v, read %d: %d bytes, error %v", name, reset, i, n, err)
				}
			}
			resp.Close(false)
		}
	}
}
