package transport

import (
	"io"

	"github.com/juju/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	bodyChunkBytes = 64 << 10 // a body is allocated as its bytes arrive, not by the length that the frame states
	maxDepth       = 16       // nesting of arrays and maps; the deepest message has 5 levels
	maxElements    = 1 << 18  // of all arrays and maps of one message; a map counts keys and values
)

// readBody reads n bytes and allocates no more than twice what has arrived, plus a chunk.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, bodyChunkBytes))
	for len(body) < n {
		if len(body) == cap(body) {
			body = append(make([]byte, 0, min(n, 2*cap(body))), body...)
		}
		free := body[len(body):cap(body)]
		if _, err := io.ReadFull(r, free); err != nil {
			return nil, err
		}
		body = body[:cap(body)]
	}
	return body, nil
}

// checkBody walks a message before it is decoded: the generated decoders allocate arrays by the length in
// the header.
// Each element takes at least one byte, so a header may not state more elements than bytes follow. This bounds what a
// frame makes a decoder allocate to its own size times the size of the largest struct.
func checkBody(b []byte) error {
	left := maxElements
	rest, err := checkElement(b, 0, &left)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("%d bytes after the message", len(rest))
	}
	return err
}

func checkElement(b []byte, depth int, left *int) ([]byte, error) {
	var n int64
	var rest []byte
	var err error
	switch msgp.NextType(b) {
	case msgp.ArrayType:
		var size uint32
		size, rest, err = msgp.ReadArrayHeaderBytes(b)
		n = int64(size)
	case msgp.MapType:
		var size uint32
		size, rest, err = msgp.ReadMapHeaderBytes(b)
		n = 2 * int64(size) // keys and values
	default:
		return msgp.Skip(b)
	}
	if err != nil {
		return b, err
	}
	if depth >= maxDepth || n > int64(len(rest)) || n > int64(*left) {
		return b, errors.Errorf("%d elements at depth %d in %d bytes exceed the limits", n, depth, len(b))
	}
	*left -= int(n)
	for range n {
		if rest, err = checkElement(rest, depth+1, left); err != nil {
			return b, err
		}
	}
	return rest, nil
}
