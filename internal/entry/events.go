package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"

	"sycamoredeal/internal/upstream"
)

const (
	maxEventBytes   = 1 << 20  // longest line of a stream, and longest event of several lines
	smallEventBytes = 16 << 10 // up to which an event is not counted as held
	eventCopies     = 2        // of the bytes of an event while it is read: the line and the event
)

var errNoEventMemory = errors.New("no memory for a long event")

// heldEvents reads a stream and takes the memory for an event that is not whole.
type heldEvents struct {
	r     io.Reader
	held  upstream.Holding
	begun int64 // bytes read since the last whole event
	taken int64
}

// Read implements io.Reader.
func (h *heldEvents) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	h.begun += int64(n)
	if need := eventCopies*(h.begun-smallEventBytes) - h.taken; need > 0 {
		if d, _ := h.held.Grow(need); d != upstream.HeldAdmit {
			return n, errNoEventMemory
		}
		h.taken += need
	}
	return n, err
}

// release frees the memory after a whole event.
func (h *heldEvents) release() {
	h.held.Release()
	h.begun, h.taken = 0, 0
}

// event is one server-sent event.
type event struct {
	id   string
	data []byte
}

// readEvents calls fn for each event of a stream until it ends or fn returns an error. An event counts once the empty
// line after it has arrived. The end of the stream is io.ErrUnexpectedEOF, because a complete one ends in fn.
func readEvents(r io.Reader, fn func(event) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 16<<10), maxEventBytes)
	var e event
	for sc.Scan() {
		line := sc.Bytes()
		if len(line) > 0 {
			if e.add(line); len(e.data) > maxEventBytes {
				return errors.Errorf("event is longer than %d bytes", maxEventBytes)
			}
			continue
		}
		if e.data != nil {
			if err := fn(e); err != nil {
				return err
			}
		}
		e = event{}
	}
	if err := sc.Err(); err != nil {
		return errors.Trace(err)
	}
	return io.ErrUnexpectedEOF
}

// add takes in one line of an event; other fields and comments are skipped.
func (e *event) add(line []byte) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(field) {
	case "id":
		e.id = string(value)
	case "data":
		if e.data == nil {
			e.data = make([]byte, 0, len(value)) // the scanner uses the line's memory again
		} else {
			e.data = append(e.data, '\n')
		}
		e.data = append(e.data, value...)
	}
}
