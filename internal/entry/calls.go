package entry

import (
	"net/http"
	"path"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"sycamoredeal/internal/config"
)

// hopByHop lists the headers that belong to one connection (RFC 9110, section 7.6.1), and Expect, which is answered by
// the entry itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// isIdempotent tells whether a call may be repeated. If several declared calls match, one that may not be repeated
// decides; if none matches, RFC 9110 does.
func isIdempotent(svc *config.Service, method, p string) bool {
	name := strings.TrimPrefix(path.Clean("/"+p), "/")
	matched := false
	for _, c := range svc.Calls {
		if c.Method != "" && !strings.EqualFold(c.Method, method) {
			continue
		}
		if ok, _ := path.Match(strings.Trim(c.Path, "/"), name); !ok {
			continue
		}
		if !c.Idempotent {
			return false
		}
		matched = true
	}
	if matched {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// removeHopByHop deletes the headers that must not be passed on, including those that Connection names.
func removeHopByHop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// copyRequestHeaders copies a caller's headers for a service. The caller's API key stays with the entry.
func copyRequestHeaders(c *app.RequestContext, h http.Header) {
	c.Request.Header.VisitAll(func(k, v []byte) { h.Add(string(k), string(v)) })
	removeHopByHop(h)
	for _, name := range []string{"Authorization", "Host", "Content-Length", rankHeader, "X-Caller"} {
		h.Del(name)
	}
}

// copyAnswerHeaders copies a service's headers for the caller.
func copyAnswerHeaders(from http.Header, to *protocol.ResponseHeader) {
	removeHopByHop(from)
	from.Del("Content-Length")
	for k, vs := range from {
		for i, v := range vs {
			if i == 0 {
				to.Set(k, v)
			} else {
				to.Add(k, v)
			}
		}
	}
}
