package upstream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unreadBodyCheckInterval is the time between two looks at whether an endpoint reads its request. It is well below
	// tcpUserTimeout, so that a look comes before that ends the connection.
	unreadBodyCheckInterval = 400 * time.Millisecond
	// unreadBodyTimeout is the TCP_USER_TIMEOUT of a connection whose endpoint is alive and reads nothing of its request. With
	// tcpUserTimeout, the kernel ended it after 1.8 s, which looked like the endpoint's end.
	unreadBodyTimeout = 10 * time.Second
)

// endpointReadsSlowly reports whether an endpoint's machine has acknowledged all that was sent and takes no more for now. If the
// machine can't be reached, what was sent is not acknowledged.
func endpointReadsSlowly(unacked, unsentBytes uint32) bool { return unacked == 0 && unsentBytes > 0 }

// tolerateUnreadBody raises the time in which the endpoint has to take data, if it is alive and reads slowly.
func (c *conn) tolerateUnreadBody() {
	if c.unreadTolerated.Load() {
		return
	}
	c.control(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && endpointReadsSlowly(info.Unacked, info.Notsent_bytes) {
			c.unreadTolerated.Store(setUserTimeout(fd, unreadBodyTimeout) == nil)
		}
	})
}

// expectPrompt sets the time in which the endpoint has to take data back, before the next request. It returns false if that fails.
func (c *conn) expectPrompt() bool {
	if !c.unreadTolerated.Load() {
		return true
	}
	c.control(func(fd int) { c.unreadTolerated.Store(setUserTimeout(fd, tcpUserTimeout) != nil) })
	return !c.unreadTolerated.Load()
}

// control calls fn with the descriptor of the socket, unless the connection is closed or has none.
func (c *conn) control(fn func(fd int)) { _, _ = controlSocket(c.Conn, fn) }

func setUserTimeout(fd int, d time.Duration) error {
	return syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(d.Milliseconds()))
}

// watchUnreadBody looks at intervals whether the endpoint reads its request, until the returned function is called.
func (c *conn) watchUnreadBody() (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(unreadBodyCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				c.tolerateUnreadBody()
			}
		}
	}()
	return func() { close(done) }
}
