package upstream

import "bytes"

const (
	// smallHeadBytes is the memory of a head up to which it is not counted as held. Heads of sound endpoints need less.
	smallHeadBytes = 8 << 10
	// fieldBytes is the memory of a parsed field of a head, without its text.
	fieldBytes = 128
)

// HeldError is the error of a response whose head needs more memory than there is for it.
type HeldError struct{ Report *HeldReport } // Report may be nil

// Error implements error.
func (e *HeldError) Error() string { return "no memory for a long response header" }

// headReads watches the bytes that are read while a response's head is read.
type headReads struct {
	active   bool
	bytes    int64 // read so far
	lines    int64 // among these
	last     byte  // the last one of these
	foldedAt int64 // bytes before the first line that begins with a blank, -1 for none
	held     Holding
	err      error // ends the head
}

// begin starts to watch the head of the next response.
func (h *headReads) begin(held Holding) { *h = headReads{active: true, foldedAt: -1, held: held} }

// reserve takes the memory for what was read, none of which was the end of the head, before more is read. Once it has returned an
// error, it does so again: bufio.Reader.ReadLine returns a part of a line without the error behind it, so that net/http would take
// the rest of the line for another one.
func (h *headReads) reserve() error {
	if h.err != nil {
		return h.err
	}
	need := h.bytes + h.lines*fieldBytes - smallHeadBytes - h.held.bytes
	if d, report := h.held.Grow(need); d != HeldAdmit {
		h.err = &HeldError{report}
	}
	return h.err
}

// add records bytes that were read. It finds lines that begin with a blank: net/http takes such a line for a part of the value before
// it (obsolete line folding) and does not report it.
func (h *headReads) add(p []byte) {
	if h.foldedAt < 0 && len(p) > 0 {
		if h.last == '\n' && isBlank(p[0]) {
			h.foldedAt = h.bytes
		}
		for i := 1; i < len(p) && h.foldedAt < 0; i++ {
			if p[i-1] == '\n' && isBlank(p[i]) {
				h.foldedAt = h.bytes + int64(i)
			}
		}
		h.last = p[len(p)-1]
	}
	h.bytes += int64(len(p))
	h.lines += int64(bytes.Count(p, []byte{'\n'}))
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// folded reports whether a line of the head begins with a blank. unread is the number of the bytes that follow the head.
func (h *headReads) folded(unread int) bool {
	return h.foldedAt >= 0 && h.foldedAt < h.bytes-int64(unread)
}
