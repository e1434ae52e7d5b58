package upstream

// headReads finds lines that begin with a blank among the bytes that are read while a response's head is read. net/http takes such a
// line for a part of the value before it (obsolete line folding) and does not report it.
type headReads struct {
	active   bool
	bytes    int64 // read so far
	last     byte  // the last one of these
	foldedAt int64 // bytes before the first such line, -1 for none
}

func newHeadReads() headReads { return headReads{active: true, foldedAt: -1} }

// add records bytes that were read.
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
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

// folded reports whether a line of the head begins with a blank. unread is the number of the bytes that follow the head.
func (h *headReads) folded(unread int) bool {
	return h.foldedAt >= 0 && h.foldedAt < h.bytes-int64(unread)
}
