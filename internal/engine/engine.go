// Package engine is the client of model engines: reports, orders and completion streams.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/httphead"
)

// Orders to an engine.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)

// Resident is a model or adapter in an engine's memory.
type Resident struct {
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
	Base    string `json:"base,omitempty"`
	Bytes   int64  `json:"bytes"`
	State   string `json:"state"` // "loading", "ready" or "unloading"
}

// OrderResult tells how an engine ended an order.
type OrderResult struct {
	ID    uint64 `json:"id"`
	State string `json:"state"` // "done", "failed" or "refused"
	Error string `json:"error,omitempty"`
}

// Report is an engine's own account of its state.
type Report struct {
	Incarnation string        `json:"incarnation"` // changes with each start of the engine process
	Sequence    uint64        `json:"sequence"`    // grows with each change of memory or orders
	MemoryBytes int64         `json:"memoryBytes"`
	UsedBytes   int64         `json:"usedBytes"`
	Residents   []Resident    `json:"residents"`
	Running     int           `json:"running"`
	Waiting     int           `json:"waiting"`
	Draining    bool          `json:"draining"`
	Orders      []OrderResult `json:"orders"` // latest ended orders
	MaxFence    uint64        `json:"maxFence"`
	Violations  int           `json:"violations"` // times that memory was overcommitted
}

// Order asks an engine to change its residents.
type Order struct {
	ID      uint64 `json:"id"`
	Fence   uint64 `json:"fence"` // lease epoch of the sender
	Action  string `json:"action"`
	Name    string `json:"name"`
	Adapter bool   `json:"adapter,omitempty"`
	Base    string `json:"base,omitempty"`
	Bytes   int64  `json:"bytes"`
}

// ErrStaleFence is returned for an order that the engine refused because of its fencing token.
var ErrStaleFence = errors.New("engine refused the order: stale fencing token")

// Client sends reports requests and orders to engines.
type Client struct {
	http *http.Client

	mu    sync.Mutex
	known map[string]tagged // latest report with an entity tag by address
}

// Headers of a report with the numbers of requests, which an entity tag does not cover. An engine that sends them also
// sends them in a 304 response.
const (
	HeaderRunning = "X-Requests-Running"
	HeaderWaiting = "X-Requests-Waiting"
)

// tagged is a report with the entity tag that the engine gave it.
type tagged struct {
	tag    string
	report Report
}

// NewClient returns a client whose calls end after timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{
		http:  &http.Client{Timeout: timeout, Transport: httphead.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2})},
		known: make(map[string]tagged),
	}
}

// Report asks the engine at an ip:port for its report. If the engine gives its reports entity tags (RFC 9110) and states
// the numbers of requests in headers, the request is conditional, because decoding unchanged reports was the largest part
// of a lease holder's processor time. A weak tag stands for everything but Running and Waiting, which are read from the
// headers. The caller must not change the report.
func (c *Client) Report(ctx context.Context, addr string) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return r, errors.Trace(err)
	}
	before := c.latest(addr)
	if before.tag != "" {
		req.Header.Set("If-None-Match", before.tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotModified && before.tag != "":
		if !readCounts(resp.Header, &before.report) {
			c.forget(addr)
			return r, errors.Errorf("report of %s: unchanged, without the numbers of requests", addr)
		}
		return before.report, nil
	case resp.StatusCode != http.StatusOK:
		return r, errors.Errorf("report of %s: status %d", addr, resp.StatusCode)
	}
	if err = json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&r); err != nil {
		return r, errors.Annotatef(err, "report of %s", addr)
	}
	counted := r
	if tag := resp.Header.Get("ETag"); tag != "" && readCounts(resp.Header, &counted) {
		c.remember(addr, tagged{tag, r})
	} else {
		c.forget(addr)
	}
	return r, nil
}

// readCounts sets the numbers of requests to those in a response header. It returns false if the header lacks one.
func readCounts(h http.Header, r *Report) bool {
	running, err := strconv.Atoi(h.Get(HeaderRunning))
	if err != nil {
		return false
	}
	waiting, err := strconv.Atoi(h.Get(HeaderWaiting))
	if err != nil {
		return false
	}
	r.Running, r.Waiting = running, waiting
	return true
}

func (c *Client) latest(addr string) tagged {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[addr]
}

func (c *Client) remember(addr string, t tagged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[addr] = t
}

// forget makes the next request for the report of an engine unconditional.
func (c *Client) forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, addr)
}

// Order sends an order. An error other than ErrStaleFence leaves open whether the engine received it.
func (c *Client) Order(ctx context.Context, addr string, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return ErrStaleFence
	}
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return errors.Errorf("order %d to %s: status %d: %s", o.ID, addr, resp.StatusCode, bytes.TrimSpace(body))
}
