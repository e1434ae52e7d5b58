package testbed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// AnswerEnd is how a server ends an EarlyAnswer and its connection.
type AnswerEnd int

const (
	// ResetAnswer resets the connection.
	ResetAnswer AnswerEnd = iota
	// CloseUnread closes the connection with the request unread, which makes the kernel reset it.
	CloseUnread
	// CloseAfterRequest reads the rest of the request and closes the connection.
	CloseAfterRequest
	// HalfClose ends the answer and reads the rest of the request after that.
	HalfClose
)

// AnswerEnds are all ends, and their names in test output.
var AnswerEnds = map[AnswerEnd]string{
	ResetAnswer: "reset", CloseUnread: "closed with the request unread", CloseAfterRequest: "closed after the request", HalfClose: "half-closed",
}

// Orderly reports whether an answer without a length is complete by this end.
func (e AnswerEnd) Orderly() bool { return e == CloseAfterRequest || e == HalfClose }

// EarlyAnswer is an answer that a server gives before it has read the request's body.
type EarlyAnswer struct {
	Answer string        // bytes of the head and of the body
	Read   int64         // bytes of the request's body that are read first
	Pause  time.Duration // after the answer, and after a half-close, before anything else happens to the connection
	End    AnswerEnd
}

// write answers a request whose head has been read, and ends the connection.
func (a *EarlyAnswer) write(c *net.TCPConn, req *http.Request) {
	io.CopyN(io.Discard, req.Body, a.Read)
	io.WriteString(c, a.Answer)
	if a.End == HalfClose {
		c.CloseWrite()
	}
	time.Sleep(a.Pause)
	if a.End == ResetAnswer {
		c.SetLinger(0)
	}
	if a.End.Orderly() {
		io.Copy(io.Discard, req.Body)
	}
	c.Close()
}

// ServeEarlyAnswers starts a server that gives one answer on each connection, and returns its address.
func ServeEarlyAnswers(answer func(r *http.Request) EarlyAnswer) (address string, closeListener func(), err error) {
	return Serve(func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		a := answer(req)
		a.write(c.(*net.TCPConn), req)
	})
}
