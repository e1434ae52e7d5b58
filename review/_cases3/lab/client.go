package lab

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// RouteHost is the Host header of the routes.
const RouteHost = "api.example"

var lastID atomic.Uint64

// NextID returns a new request id.
func NextID() string { return fmt.Sprintf("%016x", 0x5c00000000000000+lastID.Add(1)) }

// Answer is what a client saw of a request.
type Answer struct {
	ID         string
	Status     int // 0 without an answer
	Sealed     bool
	Complete   bool
	Body       string
	SentAt     time.Time
	EndedAt    time.Time
	RetryAfter time.Duration
}

// Client sends requests over kept connections.
type Client struct{ http *http.Client }

// NewClient returns a client that keeps at most n connections to a host.
func NewClient(n int) *Client {
	return &Client{&http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: n, IdleConnTimeout: 4 * time.Second}}}
}

// Do sends a request with the given headers beside the id and the deadline.
func (c *Client) Do(front, method, path, body string, deadline time.Duration, header map[string]string) Answer {
	a := Answer{ID: NextID(), SentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = RouteHost
	req.Header.Set(HeaderRequestID, a.ID)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := *c.http
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err == nil {
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.Status, a.Sealed, a.Complete, a.Body = resp.StatusCode, resp.Header.Get(HeaderSeal) != "", err == nil, string(b)
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.RetryAfter = time.Duration(s * float64(time.Second))
		}
	}
	a.EndedAt = time.Now()
	return a
}
