// Package engine is the client of model engines: reports, orders and completion streams.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
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
type Client struct{ http *http.Client }

// NewClient returns a client whose calls end after timeout.
func NewClient(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// Report asks the engine at an ip:port for its report.
func (c *Client) Report(ctx context.Context, addr string) (Report, error) {
	var r Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return r, errors.Trace(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Errorf("report of %s: status %d", addr, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(&r)
	return r, errors.Annotatef(err, "report of %s", addr)
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
