package testbed

import (
	"net"

	"github.com/juju/errors"
)

// Serve accepts connections on a free port of the loopback interface and handles each in a goroutine of its own, until it is
// closed. A connection is closed when its handler returns.
func Serve(handle func(net.Conn)) (address string, end func(), err error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Trace(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return ln.Addr().String(), func() { ln.Close() }, nil
}
