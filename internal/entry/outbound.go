package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
)

const (
	connectTimeout = time.Second
	maxEventBytes  = 1 << 20
)

// outbound sends requests to endpoints. It uses transports directly, because http.Client would follow a redirect and
// thereby send a request a second time.
type outbound struct {
	kept  *http.Transport // for engines; reuses connections
	fresh *http.Transport // for services; one connection for each request, which net/http never sends twice
}

func newOutbound() outbound {
	dial := attempt.Dialer((&net.Dialer{Timeout: connectTimeout}).DialContext)
	return outbound{
		kept:  &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true},
		fresh: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

func (o *outbound) close() {
	o.kept.CloseIdleConnections()
	o.fresh.CloseIdleConnections()
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

// complete opens a completion stream at an endpoint. last is the id of the last event that was accepted, 0 for none.
func (o *outbound) complete(ctx context.Context, addr, requestID string, last uint64, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("X-Request-Id", requestID)
	if last > 0 {
		req.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	}
	return o.kept.RoundTrip(req)
}
