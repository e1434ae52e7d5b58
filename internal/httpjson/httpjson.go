// Package httpjson fetches JSON over HTTP for tools and tests.
package httpjson

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const requestTimeout = 2 * time.Second

// Get requests url and decodes the JSON response into v. It returns an error if the status is not 200 or the response
// takes longer than two seconds.
func Get(ctx context.Context, url string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
