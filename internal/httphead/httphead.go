// Package httphead rejects HTTP/1.1 responses whose head net/http accepts although RFC 9112 does not allow it.
package httphead

import (
	"net/http"

	"github.com/juju/errors"
)

// minFinalStatus is the lowest status of a response that answers a request.
const minFinalStatus = http.StatusOK

// IsInterim reports whether a status announces that the final response follows. Switching protocols ends HTTP instead.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// Check returns an error unless the head of a response is that of a final response.
func Check(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus {
		return errors.Errorf("status %q is not that of a final response", resp.Status)
	}
	return nil
}
