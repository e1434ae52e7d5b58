package testbed

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"
)

// Serve accepts connections on a free port of the loopback interface and calls handle for each in a goroutine of its own. It
// closes a connection when handle returns. The returned function closes the listener but not the connections.
func Serve(handle func(net.Conn)) (address string, closeListener func(), err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // the listener was closed
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return ln.Addr().String(), func() { ln.Close() }, nil
}

// ServeAnswers starts a server that calls answer for each request that it has read whole, and writes the bytes that answer returns. It
// returns the server's address.
func ServeAnswers(answer func(r *http.Request) string) (address string, closeListener func(), err error) {
	return Serve(func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer(req)); err != nil {
				return
			}
		}
	})
}
