// Package httphead rejects HTTP/1.1 responses whose head net/http accepts although RFC 9112 does not allow it.
package httphead

import (
	"net/http"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

// minFinalStatus is the lowest status of a response that answers a request.
const minFinalStatus = http.StatusOK

// maxErrorBytes is the length of the longest text of an error. net/http quotes lines of a head in its errors, which reach logs and
// callers.
const maxErrorBytes = 256

// ShortenError returns err, or an error with the begin of its text if that is long.
func ShortenError(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(strings.Clone(text[:maxErrorBytes]) + "...")
	}
	return err
}

// IsInterim reports whether a status announces that the final response follows. Switching protocols ends HTTP instead.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// Check returns an error unless the head of a response has a final status and valid field names.
func Check(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus {
		return ShortenError(errors.Errorf("status %q is not that of a final response", resp.Status))
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error unless the names of all fields are tokens. net/http accepts names with blanks, but does not read the
// body by a Content-Length or Transfer-Encoding that is written so.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ShortenError(errors.Errorf("field name %q is not a token", name))
		}
	}
	return nil
}
