package entry

import (
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
)

// Values of the member "executed" of a problem.
const (
	executedNo      = "no"
	executedUnknown = "unknown"
)

// problem is an error answer in the form of RFC 9457.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"requestId"`
	Executed     string `json:"executed"` // "no" or "unknown"
	RetryAfterMs uint32 `json:"retryAfterMs,omitempty"`
}

// write sends the problem as the final answer.
func (p problem) write(c *app.RequestContext) {
	b, _ := json.Marshal(p)
	if p.RetryAfterMs > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(int((p.RetryAfterMs+999)/1000)))
	}
	c.Response.Header.Set("X-Request-Id", p.RequestID)
	c.Data(p.Status, "application/problem+json", b)
}
