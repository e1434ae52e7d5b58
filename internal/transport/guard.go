package transport

import (
	"io"

	"github.com/juju/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	bodyChunkBytes = 64 << 10 // first allocation for a body, which grows as bytes arrive, not by the length in the frame
	maxDepth       = 16       // levels of nested arrays and maps; the deepest message has 5
	maxElements    = 1 << 18  // in all arrays and maps of one message; keys and values of a map count separately
)

// readBody reads a body of n bytes. A buffer that it allocates has at most twice the bytes that have arrived, or
// bodyChunkBytes if that is more.
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

// checkBody checks the structure of a message before it is decoded, because the generated decoders allocate arrays by the
// length in the array's header. Each element takes at least one byte, so a header may not state more elements than bytes
// follow. This limits the memory that a decoder allocates to the size of the frame times the size of the largest struct.
func checkBody(b []byte) error {
	remaining := maxElements
	rest, err := checkElement(b, 0, &remaining)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("%d bytes after the message", len(rest))
	}
	return err
}

// checkElement checks the first element of b with the elements nested in it and returns the bytes after it. It subtracts
// the number of nested elements from remaining.
func checkElement(b []byte, depth int, remaining *int) ([]byte, error) {
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
	if depth >= maxDepth || n > int64(len(rest)) || n > int64(*remaining) {
		return b, errors.Errorf("%d elements at depth %d in %d bytes exceed the limits", n, depth, len(b))
	}
	*remaining -= int(n)
	for range n {
		if rest, err = checkElement(rest, depth+1, remaining); err != nil {
			return b, err
		}
	}
	return rest, nil
}
