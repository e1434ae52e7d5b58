// Package upstream owns the connections to endpoints. A connection carries one exchange at a time, and a request is
// written at most once: a repetition is the caller's decision, made from Error.Sent. HTTP/1.1 messages are parsed by
// net/http's reader.
package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	dialTimeout = 400 * time.Millisecond // zones are about a millisecond apart; a server that is up accepts at once
	userTimeout = 1500 * time.Millisecond
	probeIdle   = time.Second // silence after which TCP asks whether the other side is there
	probeEvery  = 500 * time.Millisecond
	probeCount  = 2
	readBuffer  = 4 << 10
	maxHeaders  = 64 << 10
	idleMargin  = 0.75 // of the idle time that the endpoint states
	// unstatedIdle is used where the endpoint states no idle time. On the users' platform, engines state none and keep
	// connections for more than 6 s.
	unstatedIdle = 5 * time.Second
)

const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT of Linux

type conn struct {
	net.Conn
	r         *bufio.Reader
	limit     int64 // bytes that the header of the next response may still have
	idleSince time.Time
	idleLimit time.Duration
	reused    bool
}

// Read bounds the header of a response: net/http's reader has no bound of its own.
func (c *conn) Read(p []byte) (int, error) {
	if c.limit <= 0 {
		return 0, errHeaderTooLong
	}
	if int64(len(p)) > c.limit {
		p = p[:c.limit]
	}
	n, err := c.Conn.Read(p)
	c.limit -= int64(n)
	return n, err
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.r = bufio.NewReaderSize(c, readBuffer)
	return c
}

// NewDialer returns a dialer with the socket options that reveal a peer which has gone dark.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			if cerr := rc.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// quiet tells whether an idle connection is open and has no bytes to read. Bytes that arrive while no request is under
// way belong to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	open, pending := Peek(c.Conn)
	return open && !pending
}

// Peek tells whether a connection is open and whether bytes have arrived on it that nobody has read. It neither reads them
// nor waits for a reader of the connection. Of a connection that is no socket, nothing is known: it counts as open.
func Peek(c net.Conn) (open, pending bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = rerr == nil && n > 0
		open = pending || rerr == syscall.EAGAIN || rerr == syscall.EINTR
	})
	if err != nil {
		return false, false
	}
	return open, pending
}

// keepFor returns how long the connection may stay idle after a response, 0 if it must be closed.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close || !resp.ProtoAtLeast(1, 1) {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return time.Duration(idleMargin * float64(s) * float64(time.Second))
		}
	}
	return unstatedIdle
}
