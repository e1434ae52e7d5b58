// Package upstream sends HTTP/1.1 requests to endpoints over pooled connections. A connection carries one request at a
// time, and a request is written at most once: the code that calls RoundTrip decides from Error.MaybeSent whether to
// retry. Responses are parsed by net/http.
package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout       = 400 * time.Millisecond // zones are about 1 ms apart, and a running server accepts at once
	tcpUserTimeout    = 1500 * time.Millisecond
	keepAliveIdle     = time.Second // silence before the first TCP keep-alive probe
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
	readBufferBytes   = 4 << 10
	maxHeaderBytes    = 64 << 10
	idleTimeoutFactor = 0.75 // share of the endpoint's idle timeout during which a connection is reused
	// defaultIdleTimeout applies if a response has no Keep-Alive timeout. Engines on the users' platform send none and
	// keep idle connections open for more than 6 s.
	defaultIdleTimeout = 5 * time.Second
)

// Socket options on Linux that package syscall does not name.
const (
	sockoptTCPUserTimeout  = 0x12 // TCP_USER_TIMEOUT
	sockoptTCPNotSentLowat = 0x19 // TCP_NOTSENT_LOWAT
)

// conn is a connection to an endpoint with a buffered reader and the times that decide how long it stays in the pool.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	readLimit   int64 // bytes that may still be read from the connection
	head        headReads
	idleSince   time.Time
	idleTimeout time.Duration // from the last response
	reused      bool          // has carried an earlier request

	endsResponse bool // the end of the connection is that of the response
	request      WriteState

	unreadTolerated atomic.Bool // TCP_USER_TIMEOUT is unreadBodyTimeout
}

// Read returns errHeaderTooLong once readLimit bytes have been read, a *HeldError if there is no memory for more of a header, and
// EndError in place of io.EOF at the end of a response that has no length.
// http.ReadResponse doesn't limit the size of a header, so an endpoint could otherwise fill the memory with one.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errHeaderTooLong
	}
	if c.head.active {
		if err := c.head.reserve(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > c.readLimit {
		p = p[:c.readLimit]
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.endsResponse {
		err = EndError(c.Conn, &c.request)
	}
	c.readLimit -= int64(n)
	if c.head.active {
		c.head.add(p[:n])
	}
	return n, err
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// NewDialer returns a dialer whose connections fail soon after the peer stops responding: TCP keep-alive covers idle
// connections, TCP_USER_TIMEOUT those with unacknowledged data.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			var err error
			if controlErr := rawConn.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(tcpUserTimeout.Milliseconds()))
			}); controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// receiveBufferBytes is the size of the receive buffer of a connection to an endpoint, of which the kernel uses about half for
// data. Without a limit the buffer grows to several MB (7.5 MB of an unread answer were seen between endpoint and caller), and
// the endpoint of a slow reader sees progress only in lumps of a share of it.
const receiveBufferBytes = 64 << 10

// maxSegmentBytes limits the segments of a connection to an endpoint to those of jumbo frames. The kernel sizes a send buffer by
// the segments that it may hold: on the loopback device, whose segments have 64 KB, an endpoint's is 2.6 MB, and the endpoint sees
// progress only when a third of it is free, which took 4.2 s for a caller at 400 KB/s.
const maxSegmentBytes = 8960

// newRequestDialer returns a dialer like NewDialer whose connections leave little data of a slow reader's answer in sockets.
func newRequestDialer() *net.Dialer {
	d := NewDialer()
	control := d.Control
	d.Control = func(network, address string, rawConn syscall.RawConn) error {
		if err := control(network, address, rawConn); err != nil {
			return err
		}
		// The sizes are no requirement: a system that refuses them keeps its own.
		return rawConn.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}
	return d
}

// LimitUnsent limits the bytes that a socket holds before they are sent, and so what a peer that does not read leaves in this
// machine's memory. Bytes on their way to a peer that reads are not limited.
func LimitUnsent(c net.Conn, bytes int) (err error) {
	_, controlErr := controlSocket(c, func(fd int) {
		err = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, sockoptTCPNotSentLowat, bytes)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// controlSocket calls fn with the descriptor of a connection's socket. It returns false if the connection has none, and an error if
// it is closed.
func controlSocket(c net.Conn, fn func(fd int)) (hasSocket bool, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return true, err
	}
	return true, rawConn.Control(func(fd uintptr) { fn(int(fd)) })
}

// openWithoutData reports whether an idle connection is open and has no bytes to read. Bytes that arrive between two
// requests belong to neither, so a connection with such bytes can't be reused.
func (c *conn) openWithoutData() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	open, pending := Peek(c.Conn)
	return open && !pending
}

// Peek reports whether a connection is open and whether it has unread bytes. It doesn't consume the bytes, and it doesn't
// block while another goroutine reads from the connection. A connection that isn't a socket is reported as open without
// unread bytes.
func Peek(c net.Conn) (open, pending bool) {
	hasSocket, err := controlSocket(c, func(fd int) {
		var b [1]byte
		n, _, recvErr := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = recvErr == nil && n > 0
		open = pending || recvErr == syscall.EAGAIN || recvErr == syscall.EINTR
	})
	switch {
	case !hasSocket:
		return true, false
	case err != nil:
		return false, false
	}
	return open, pending
}

// idleTimeoutAfter returns how long the connection may stay idle after a response, or 0 if it can't be reused.
func idleTimeoutAfter(resp *http.Response) time.Duration {
	if resp.Close || !resp.ProtoAtLeast(1, 1) {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFactor * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
