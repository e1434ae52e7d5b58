package testbed

import (
	"net"

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
