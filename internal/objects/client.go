package objects

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// callTimeout bounds one call; the platform normally answers in milliseconds.
	callTimeout = time.Second
	// watchSeconds is the time after which the server is asked to end a watch.
	watchSeconds = 30
	maxObject    = 1 << 20        // platform limit on a value
	maxReply     = 2 * maxObject  // bytes of an answer with one object, or of a watch event
	maxList      = 64 * maxObject // bytes of a list
)

// Object in the form that the API sends.
type apiObject struct {
	Kind     string          `json:"kind"`
	Metadata apiMetadata     `json:"metadata"`
	Data     json.RawMessage `json:"data,omitempty"`
}

type apiMetadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type apiList struct {
	Metadata apiMetadata `json:"metadata"`
	Items    []apiObject `json:"items"`
}

type apiEvent struct {
	Type   EventType `json:"type"`
	Object apiObject `json:"object"`
}

func (a apiObject) object() Object {
	return Object{Kind: a.Kind, Name: a.Metadata.Name, Version: a.Metadata.ResourceVersion, Data: a.Data}
}

// Client is a Store that speaks the object API over HTTP.
type Client struct {
	base  string
	token string
	http  *http.Client
	calls atomic.Uint64
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the object API at base, for example "http://127.0.0.1:7000".
func NewClient(base, token string) *Client {
	return &Client{base: base, token: token, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		// A watch answers its header at once, so a platform that hangs is noticed before the watch's own deadline.
		ResponseHeaderTimeout: callTimeout,
	}}}
}

// Calls returns the number of calls made; a watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.single(ctx, http.MethodGet, objectPath(kind, name), nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, string, error) {
	var l apiList
	if err := c.call(ctx, http.MethodGet, basePath+kind, nil, &l); err != nil {
		return nil, "", err
	}
	out := make([]Object, 0, len(l.Items))
	for _, it := range l.Items {
		out = append(out, it.object())
	}
	return out, l.Metadata.ResourceVersion, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.single(ctx, http.MethodPost, basePath+o.Kind, &o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.single(ctx, http.MethodPut, objectPath(o.Kind, o.Name), &o)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, o Object) error {
	p := objectPath(o.Kind, o.Name)
	if o.Version != "" {
		p += "?resourceVersion=" + url.QueryEscape(o.Version)
	}
	return c.call(ctx, http.MethodDelete, p, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind, name, version string, fn func(Event)) error {
	// The client's own deadline ends a watch on a connection that was cut without notice.
	ctx, cancel := context.WithTimeout(ctx, (watchSeconds+5)*time.Second)
	defer cancel()
	q := url.Values{"watch": {"true"}, "resourceVersion": {version}, "timeoutSeconds": {fmt.Sprint(watchSeconds)}}
	if name != "" {
		q.Set("fieldSelector", "metadata.name="+name)
	}
	resp, err := c.send(ctx, http.MethodGet, basePath+kind+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return err
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 64<<10), maxReply)
	for sc.Scan() {
		var e apiEvent
		if err := json.Unmarshal(sc.Bytes(), &e); err != nil {
			return errors.Annotate(err, "watch event")
		}
		if e.Type == "ERROR" {
			return ErrExpired
		}
		fn(Event{Type: e.Type, Object: e.Object.object()})
	}
	if err := sc.Err(); err != nil && ctx.Err() == nil {
		return unavailable(err)
	}
	return nil
}

// unavailable keeps the cause in the text; errors.Is finds ErrUnavailable.
func unavailable(err error) error { return fmt.Errorf("%w: %v", ErrUnavailable, err) }

func objectPath(kind, name string) string { return basePath + kind + "/" + url.PathEscape(name) }

func (c *Client) single(ctx context.Context, method, path string, in *Object) (Object, error) {
	var out apiObject
	if err := c.call(ctx, method, path, in, &out); err != nil {
		return Object{}, err
	}
	return out.object(), nil
}

func (c *Client) call(ctx context.Context, method, path string, in *Object, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	limit := int64(maxList)
	if _, ok := out.(*apiObject); ok {
		limit = maxReply
	}
	// The error stays "unavailable": a change may have taken effect although its answer can't be read.
	body := &io.LimitedReader{R: resp.Body, N: limit}
	if err := json.NewDecoder(body).Decode(out); err != nil && body.N <= 0 {
		return unavailable(errors.Errorf("answer to %s %s is longer than %d bytes", method, path, limit))
	} else if err != nil {
		return unavailable(errors.Annotatef(err, "answer to %s %s", method, path))
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, in *Object) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(apiObject{Kind: in.Kind, Metadata: apiMetadata{in.Name, in.Version}, Data: in.Data})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(b) > maxObject {
			return nil, errors.Errorf("object %s/%s has %d bytes, limit is %d", in.Kind, in.Name, len(b), maxObject)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable(err)
	}
	return resp, nil
}

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusConflict:
		return ErrConflict
	case resp.StatusCode == http.StatusGone:
		return ErrExpired
	case resp.StatusCode == http.StatusTooManyRequests:
		return ErrThrottled
	case resp.StatusCode >= 500:
		return ErrUnavailable
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return errors.Errorf("platform answered %d: %s", resp.StatusCode, bytes.TrimSpace(b))
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
