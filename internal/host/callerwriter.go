package host

import (
	"net/http"
	"time"

	"sycamoredeal/internal/upstream"
)

// callerWriteBytes is the size of one write to a caller: one that accepts this much in callerWriteTimeout is not gone.
const callerWriteBytes = 32 << 10

// minCopyBytes is the size of the buffer of a long answer while much is held for slow readers.
const minCopyBytes = 4 << 10

// callerWriter writes the body of an answer to the caller. Its errors are of type *callerError, so that they are told from
// those of the endpoint. A caller that stops reading makes a write fail after callerWriteTimeout; without a limit, it would
// hold its slot at the endpoint for as long as it keeps the connection.
type callerWriter struct{ w http.ResponseWriter }

// Write implements io.Writer.
func (c callerWriter) Write(p []byte) (n int, err error) { return c.writeFrom(time.Now(), p) }

// writeFrom is like Write. The time is now, which its caller needs as well.
func (c callerWriter) writeFrom(now time.Time, p []byte) (n int, err error) {
	rc := http.NewResponseController(c.w)
	for len(p) > 0 {
		if err := rc.SetWriteDeadline(now.Add(callerWriteTimeout)); err != nil {
			return n, &callerError{err}
		}
		written, err := c.w.Write(p[:min(len(p), callerWriteBytes)])
		n += written
		if err != nil {
			return n, &callerError{err}
		}
		if p = p[written:]; len(p) > 0 {
			now = time.Now()
		}
	}
	return n, nil
}

// writeBegun writes the part of a long answer that was read before the first write. If the caller holds up a write, as much as
// half of what it took is read behind the rest: at 100 KB/s, an endpoint would see its answer unread for 10 s otherwise. It
// returns the number of bytes read.
func (c callerWriter) writeBegun(resp *upstream.Response, begun []byte, limit int64) (read int64, err error) {
	head, size := 0, len(begun) // begun is a ring that holds size bytes from head on
	for size > 0 {
		start := time.Now()
		n, err := c.writeFrom(start, begun[head:head+min(size, callerWriteBytes, len(begun)-head)])
		if err != nil {
			return read, err
		}
		head, size = (head+n)%len(begun), size-n
		if time.Since(start) < callerHoldUpTime || size == 0 || read >= limit || !resp.Pending() {
			continue
		}
		tail := (head + size) % len(begun)
		room := min(n/2, len(begun)-tail, len(begun)-size)
		if tail < head {
			room = min(room, head-tail)
		}
		m, readErr := resp.Body.Read(begun[tail : tail+room])
		read, size = read+int64(m), size+m
		if readErr != nil {
			// The next read returns it again.
			limit = 0
		}
	}
	return read, nil
}

// copyBuffer returns the buffer through which the rest of a long answer is copied, and a function that frees it. The part that
// was read before has been written. While much is held for slow readers, the buffer is the smallest one.
func (c callerWriter) copyBuffer() (buf []byte, free func()) {
	r, ok := c.w.(*callerResponse)
	if !ok {
		return make([]byte, callerWriteBytes), func() {}
	}
	r.answer.Release()
	g := r.x.f.h.newHolding(upstream.HeldCopy, r.x.q)
	size := int64(callerWriteBytes)
	d, report := g.Grow(size)
	r.x.f.h.logHeld(report)
	if d != upstream.HeldAdmit {
		size = minCopyBytes
		g.Charge(size)
	}
	return make([]byte, size), g.Release
}
