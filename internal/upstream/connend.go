package upstream

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpStateClose is TCP_CLOSE of the kernel, the state of a connection that was reset or has timed out. One that the peer has
	// ended in order is in TCP_CLOSE_WAIT.
	tcpStateClose = 7
	// Pauses between two looks at a connection whose peer has ended its response and has not received all of the request.
	minEndPause = time.Millisecond
	maxEndPause = 20 * time.Millisecond
	// maxEndUnread is how long such a peer may take nothing more of the request until its end counts as orderly. It has only shut down
	// its own side: closing the connection with unread bytes would have reset it.
	maxEndUnread = time.Second
)

// WriteState tells how far the request of an exchange has been written to its connection. The zero value is that of a connection
// without a request.
type WriteState struct{ state atomic.Int32 }

const (
	writeDone int32 = iota
	writeInProgress
	writeFailed
)

// Begin records that a request is being written.
func (s *WriteState) Begin() { s.state.Store(writeInProgress) }

// End records that the request was written whole, or that this failed.
func (s *WriteState) End(err error) {
	if err != nil {
		s.state.Store(writeFailed)
		return
	}
	s.state.Store(writeDone)
}

// written reports whether the request was written whole.
func (s *WriteState) written() bool { return s.state.Load() == writeDone }

var errResetAtEnd = fmt.Errorf("the connection was reset at the end of the response: %w", syscall.ECONNRESET)

// EndError returns the error that takes the place of an io.EOF of a connection's Read: io.EOF itself only if the peer ended the
// connection in order. The EOF alone doesn't tell, because the kernel reports a reset to one system call only. If that was a write of
// the request or a look at unread bytes, the next read returns EOF.
//
// While a part of the request is on its way, EndError waits until the peer has acknowledged or reset it: a peer that closes the
// connection while its receive buffer is empty ends it first and resets it when the next part arrives.
func EndError(c net.Conn, request *WriteState) error {
	acked, ackedAt := uint64(0), time.Now()
	for pause := minEndPause; ; pause = min(2*pause, maxEndPause) {
		written := request.state.Load() // before the look, which would miss what is written after it
		info, err := tcpInfo(c)
		switch {
		case err != nil:
			return err
		case info == nil:
			return io.EOF
		case info.State == tcpStateClose || written == writeFailed:
			return errResetAtEnd
		case written == writeDone && info.Unacked == 0 && info.Notsent_bytes == 0:
			return io.EOF
		case info.Unacked > 0 || info.Bytes_acked != acked:
			acked, ackedAt = info.Bytes_acked, time.Now()
		case time.Since(ackedAt) >= maxEndUnread:
			return io.EOF
		}
		time.Sleep(pause)
	}
}

// tcpInfo returns the kernel's state of a connection, nil if it has no socket.
func tcpInfo(c net.Conn) (info *unix.TCPInfo, err error) {
	hasSocket, controlErr := controlSocket(c, func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if !hasSocket {
		return nil, nil
	}
	if controlErr != nil {
		return nil, controlErr
	}
	return info, err
}

// responseBody is a body that returns the error that has ended it on each later read. The body of net/http returns io.EOF, the mark of
// a complete body, after io.ErrUnexpectedEOF.
type responseBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.ReadCloser.Read(p)
	return n, b.err
}
