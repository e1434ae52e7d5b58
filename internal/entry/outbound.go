package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	connectTimeout = time.Second
	maxEventBytes  = 1 << 20
)

// outbound sends requests to endpoints.
type outbound struct{ engines *http.Client }

func newOutbound() outbound {
	return outbound{engines: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, ResponseHeaderTimeout: time.Minute}}}
}

// event is one server-sent event.
type event struct {
	id   string
	data []byte
}

// readEvents calls fn for each event of a stream until it ends or fn returns an error.
func readEvents(r io.Reader, fn func(event) error) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 16<<10), maxEventBytes)
	var e event
	for sc.Scan() {
		line := sc.Bytes()
		switch {
		case len(line) == 0:
			if e.data != nil {
				if err := fn(e); err != nil {
					return err
				}
			}
			e = event{}
		case bytes.HasPrefix(line, []byte("id: ")):
			e.id = string(line[4:])
		case bytes.HasPrefix(line, []byte("data: ")):
			e.data = append([]byte(nil), line[6:]...)
		}
	}
	if err := sc.Err(); err != nil {
		return errors.Trace(err)
	}
	return io.ErrUnexpectedEOF
}

func (o *outbound) complete(ctx context.Context, addr, requestID string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", requestID)
	return o.engines.Do(req)
}
