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

	"sycamoredeal/internal/httphead"
)

const (
	// callTimeout limits a call, and for a watch the time until its header arrives. The platform normally answers within
	// milliseconds.
	callTimeout = time.Second
	// watchSeconds is the duration of a watch, after which the server ends it.
	watchSeconds   = 30
	maxObjectBytes = 1 << 20             // the platform's limit for one object
	maxAnswerBytes = 2 * maxObjectBytes  // answer with one object, or one watch event
	maxListBytes   = 64 * maxObjectBytes // answer with a list
)

// apiObject is an object in the JSON form of the API.
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

// apiEvent is an event of a watch. The object of an error event is a status, whose code is that of a response.
type apiEvent struct {
	Type   EventType `json:"type"`
	Object struct {
		apiObject
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"object"`
}

func (a apiObject) toObject() Object {
	return Object{Kind: a.Kind, Name: a.Metadata.Name, Version: a.Metadata.ResourceVersion, Data: a.Data}
}

// Client is a Store that calls the object API over HTTP.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
	calls      atomic.Uint64 // requests sent, including watches
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the object API at baseURL, for example "http://127.0.0.1:7000". An empty token means that
// no Authorization header is sent.
func NewClient(baseURL, token string) *Client {
	return &Client{baseURL: baseURL, token: token, httpClient: &http.Client{Transport: httphead.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		// The platform sends the header of a watch at once, so this timeout detects a hanging platform long before the
		// deadline of the watch.
		ResponseHeaderTimeout: callTimeout,
	})}}
}

// Calls returns the number of calls that were made. A watch counts as one call.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.callForObject(ctx, http.MethodGet, objectPath(kind, name), nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, string, error) {
	var list apiList
	if err := c.call(ctx, http.MethodGet, basePath+kind, nil, &list); err != nil {
		return nil, "", err
	}
	out := make([]Object, 0, len(list.Items))
	for _, item := range list.Items {
		out = append(out, item.toObject())
	}
	return out, list.Metadata.ResourceVersion, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	return c.callForObject(ctx, http.MethodPost, basePath+o.Kind, &o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	return c.callForObject(ctx, http.MethodPut, objectPath(o.Kind, o.Name), &o)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, o Object) error {
	path := objectPath(o.Kind, o.Name)
	if o.Version != "" {
		path += "?resourceVersion=" + url.QueryEscape(o.Version)
	}
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind, name, version string, fn func(Event)) error {
	// If the connection was lost without a close, the end of the watch never arrives. The deadline ends the watch then.
	ctx, cancel := context.WithTimeout(ctx, (watchSeconds+5)*time.Second)
	defer cancel()
	query := url.Values{"watch": {"true"}, "resourceVersion": {version}, "timeoutSeconds": {fmt.Sprint(watchSeconds)}}
	if name != "" {
		query.Set("fieldSelector", "metadata.name="+name)
	}
	resp, err := c.send(ctx, http.MethodGet, basePath+kind+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := statusError(resp); err != nil {
		return err
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 64<<10), maxAnswerBytes)
	for scanner.Scan() {
		var e apiEvent
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return errors.Annotate(err, "watch event")
		}
		if e.Type == "ERROR" {
			if err := codeError(e.Object.Code); err != nil {
				return err
			}
			return unavailableError(errors.Errorf("watch of %s ended with code %d: %s", kind, e.Object.Code, e.Object.Message))
		}
		fn(Event{Type: e.Type, Object: e.Object.toObject()})
	}
	if err := scanner.Err(); err != nil && ctx.Err() == nil {
		return unavailableError(err)
	}
	return nil
}

// unavailableError returns an error that matches ErrUnavailable and has the text of err as its detail.
func unavailableError(err error) error { return fmt.Errorf("%w: %v", ErrUnavailable, err) }

func objectPath(kind, name string) string { return basePath + kind + "/" + url.PathEscape(name) }

// callForObject makes a call whose answer is one object.
func (c *Client) callForObject(ctx context.Context, method, path string, in *Object) (Object, error) {
	var out apiObject
	if err := c.call(ctx, method, path, in, &out); err != nil {
		return Object{}, err
	}
	return out.toObject(), nil
}

// call sends a request and decodes the answer into out, unless out is nil.
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
	limit := int64(maxListBytes)
	if _, ok := out.(*apiObject); ok {
		limit = maxAnswerBytes
	}
	// The error must match ErrUnavailable: a change may have taken effect although its answer can't be read.
	body := &io.LimitedReader{R: resp.Body, N: limit}
	if err := json.NewDecoder(body).Decode(out); err != nil && body.N <= 0 {
		return unavailableError(errors.Errorf("answer to %s %s is longer than %d bytes", method, path, limit))
	} else if err != nil {
		return unavailableError(errors.Annotatef(err, "answer to %s %s", method, path))
	}
	return nil
}

// send sends a request with the object in, if it isn't nil, as the body. It returns the response whatever its status is.
func (c *Client) send(ctx context.Context, method, path string, in *Object) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(apiObject{Kind: in.Kind, Metadata: apiMetadata{in.Name, in.Version}, Data: in.Data})
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(b) > maxObjectBytes {
			return nil, errors.Errorf("object %s/%s has %d bytes, limit is %d", in.Kind, in.Name, len(b), maxObjectBytes)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	c.calls.Add(1)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, unavailableError(err)
	}
	return resp, nil
}

// codeError returns the error that a status code stands for, or nil if it stands for none.
func codeError(code int) error {
	switch {
	case code == http.StatusNotFound:
		return ErrNotFound
	case code == http.StatusConflict:
		return ErrConflict
	case code == http.StatusGone:
		return ErrExpired
	case code == http.StatusTooManyRequests:
		return ErrThrottled
	case code >= 500:
		return ErrUnavailable
	}
	return nil
}

// statusError returns the error for the status of a response, or nil if the call succeeded.
func statusError(resp *http.Response) error {
	if resp.StatusCode < 300 {
		return nil
	}
	if err := codeError(resp.StatusCode); err != nil {
		return err
	}
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	return errors.Errorf("unexpected status %d from the platform: %s", resp.StatusCode, bytes.TrimSpace(b))
}

// Close closes the idle connections. Calls in progress go on.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }
