// Package httpjson reads JSON over HTTP for tools and tests.
package httpjson

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const timeout = 2 * time.Second

// Get decodes the JSON answer of url into v. An answer other than 200, or none within two seconds, is an error.
func Get(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return errors.Annotate(json.NewDecoder(resp.Body).Decode(v), url)
}
