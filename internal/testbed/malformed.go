package testbed

import (
	"fmt"
	"slices"
)

// MalformedStatusLines are status lines that no final response in HTTP/1.1 has.
var MalformedStatusLines = []string{
	"HTTP/1.1 000 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 +20 OK", "HTTP/1.1 101 Switching Protocols",
}

// MalformedFields are lines of a head whose field names hold a blank or a control byte.
var MalformedFields = []string{
	"Bad Name: x", "X-Bad : x", "Content-Length : 3", "Transfer-Encoding : chunked", "X\tBad: x", "X-Bad\t: x", "X\x00Bad: x", "X\x01Bad: x",
	"X\rBad: x", "X\x7fBad: x",
}

// FoldedFields are lines of a head that begin with a blank, so that they continue the value before by the obsolete line folding.
var FoldedFields = []string{" X-Bad: x", "\tX-Bad: x", " Content-Length: 3", "\tTransfer-Encoding: chunked"}

// MalformedHeads returns the begins of answers that no reader may take for a success.
func MalformedHeads() []string {
	heads := slices.Clone(MalformedStatusLines)
	for _, f := range MalformedFields {
		heads = append(heads, "HTTP/1.1 200 OK\r\nX-First: 1\r\n"+f)
	}
	return heads
}

// Sized returns a response with a head that has no length yet.
func Sized(head, body string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
