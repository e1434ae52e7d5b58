package httphead

import "net/http"

// Transport is an http.RoundTripper that returns an error instead of a final response with a malformed or long head. Heads of interim
// responses don't get out of http.Transport.
type Transport struct{ base *http.Transport }

// maxHeadBytes is the size of the longest head. http.Transport allows 10 MB, and the parsed fields can take 12 times the size.
const maxHeadBytes = 16 << 10

// NewTransport returns a transport that sends requests through base, whose limit for heads it sets.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = maxHeadBytes
	return &Transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, ShortenError(err)
	}
	if err := Check(resp); err != nil {
		resp.Body.Close()
		t.base.CloseIdleConnections() // a connection whose response has no body is idle already
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
