package testbed

import "fmt"

// MalformedStatusLines are status lines that no final response in HTTP/1.1 has.
var MalformedStatusLines = []string{
	"HTTP/1.1 000 Unknown", "HTTP/1.1 099 Unknown", "HTTP/1.1 +20 OK", "HTTP/1.1 101 Switching Protocols",
}

// Sized returns a response with a head that has no length yet.
func Sized(head, body string) string {
	return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
