package entry

import (
	"bytes"
	"context"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/httphead"
)

const connectTimeout = time.Second

// outbound sends requests to endpoints. It uses transports directly, because http.Client would follow a redirect and
// thereby send a request a second time.
type outbound struct {
	kept  *httphead.Transport // for engines; reuses connections
	fresh *httphead.Transport // for services; one connection for each request, which net/http never sends twice
}

func newOutbound() outbound {
	dial := attempt.WrapDial((&net.Dialer{Timeout: connectTimeout}).DialContext)
	return outbound{
		kept:  httphead.NewTransport(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DisableCompression: true}),
		fresh: httphead.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}),
	}
}

func (o *outbound) close() {
	o.kept.CloseIdleConnections()
	o.fresh.CloseIdleConnections()
}

// complete opens a completion stream at an endpoint or at an entry of another cell. last is the id of the last event that was accepted, 0 for none.
func (o *outbound) complete(ctx context.Context, to target, requestID string, last uint64) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.addr+"/v1/chat/completions", bytes.NewReader(to.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	maps.Copy(req.Header, to.header)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("X-Request-Id", requestID)
	if last > 0 {
		req.Header.Set("Last-Event-ID", strconv.FormatUint(last, 10))
	}
	return o.kept.RoundTrip(req)
}
