package host

import (
	"net/http"
	"time"
)

// callerWriteBytes is the size of one write to a caller: one that accepts this much in callerWriteTimeout is not gone.
const callerWriteBytes = 32 << 10

// callerWriter writes the body of an answer to the caller. Its errors are of type *callerError, so that they are told from
// those of the endpoint. A caller that stops reading makes a write fail after callerWriteTimeout; without a limit, it would
// hold its slot at the endpoint for as long as it keeps the connection.
type callerWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (c callerWriter) Write(p []byte) (n int, err error) {
	rc := http.NewResponseController(c.w)
	for len(p) > 0 {
		if err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
			return n, &callerError{err}
		}
		written, err := c.w.Write(p[:min(len(p), callerWriteBytes)])
		n += written
		if err != nil {
			return n, &callerError{err}
		}
		p = p[written:]
	}
	return n, nil
}
