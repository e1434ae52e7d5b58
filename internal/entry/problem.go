package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"sycamoredeal/internal/attempt"
)

// defaultRetryAfter is told when the time until capacity returns is not known.
const defaultRetryAfter = time.Second

// problem is an error answer in the form of RFC 9457.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"requestId"`
	Executed     string `json:"executed"` // "no" or "unknown"; "yes" only for the recorded outcome of a repeated key
	RetryAfterMs uint32 `json:"retryAfterMs,omitempty"`
	// RecordedStatus is the HTTP status that the first request with the same key got, 0 if it is not known.
	RecordedStatus uint16 `json:"recordedStatus,omitempty"`
}

// newProblem returns a problem that tells what the outcome of the attempts proves.
func newProblem(status int, title, detail string, o attempt.Outcome, retryAfter time.Duration) *problem {
	p := &problem{Type: "about:blank", Title: title, Status: status, Detail: detail, Executed: attempt.ExecutedUnknown}
	if o.NotExecuted() {
		p.Executed = attempt.ExecutedNo
	}
	p.RetryAfterMs = uint32(retryAfter.Milliseconds())
	return p
}

// refusal returns a problem of a request that was not sent anywhere.
func refusal(status int, title, detail string, retryAfter time.Duration) *problem {
	return newProblem(status, title, detail, attempt.NotSent, retryAfter)
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
