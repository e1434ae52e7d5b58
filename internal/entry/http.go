package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

var (
	doneMarker  = []byte("[DONE]")
	errFinished = errors.New("stream finished")
)

func (e *Entry) routes() {
	e.http.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	e.http.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if !e.ready() {
			c.String(http.StatusServiceUnavailable, "not ready")
			return
		}
		c.String(http.StatusOK, "ready")
	})
	e.http.POST("/v1/chat/completions", e.completions)
}

// completionRequest is the part of a request body that the entry reads; the rest is passed on.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens uint32 `json:"max_tokens"`
}

func (e *Entry) authenticate(snap *config.Snapshot, c *app.RequestContext) *config.Caller {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return nil
	}
	return snap.CallerByKey(key)
}

func (e *Entry) completions(ctx context.Context, c *app.RequestContext) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	id := string(c.GetHeader("X-Request-Id"))
	if id == "" {
		id = uuid.NewString()
	}
	refuse := func(status int, title, detail string, retryMs uint32) {
		problem{Type: "about:blank", Title: title, Status: status, Detail: detail, RequestID: id, Executed: executedNo, RetryAfterMs: retryMs}.write(c)
	}
	snap := e.view.Load().Snapshot
	if snap == nil {
		refuse(http.StatusServiceUnavailable, "No configuration yet", "", 1000)
		return
	}
	caller := e.authenticate(snap, c)
	if caller == nil {
		refuse(http.StatusUnauthorized, "Unknown API key", "", 0)
		return
	}
	body := append([]byte(nil), c.Request.Body()...)
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		refuse(http.StatusBadRequest, "Malformed request body", err.Error(), 0)
		return
	}
	if !snap.Serves(req.Model) {
		refuse(http.StatusNotFound, "Unknown model", req.Model, 0)
		return
	}
	b, err := e.binder.Bind(ctx, wire.Ask{Caller: caller.Name, Model: req.Model, PromptTokens: uint32(len(body) / 4), MaxTokens: req.MaxTokens})
	if err != nil {
		var r *routing.Refusal
		if errors.As(err, &r) {
			refuse(http.StatusServiceUnavailable, "Not served in time", r.Reason, r.RetryAfterMs)
		}
		return
	}
	defer b.Release(wire.Done{})
	resp, err := e.outbound.complete(ctx, snap.Endpoint(b.Endpoint()).Address, id, body)
	if err != nil {
		refuse(http.StatusBadGateway, "Endpoint failed", err.Error(), 1000)
		return
	}
	defer resp.Body.Close()
	c.Response.Header.Set("X-Request-Id", id)
	if resp.StatusCode != http.StatusOK || !req.Stream {
		b, _ := io.ReadAll(resp.Body)
		c.Data(resp.StatusCode, resp.Header.Get("Content-Type"), b)
		return
	}
	w := sse.NewWriter(c)
	defer w.Close()
	err = readEvents(resp.Body, func(ev event) error {
		if err := w.WriteEvent(ev.id, "", ev.data); err != nil {
			return err
		}
		if string(ev.data) == string(doneMarker) {
			return errFinished
		}
		return nil
	})
	if err != errFinished {
		e.opts.Log.Warn().Err(err).Str("request", id).Msg("Stream broken.")
	}
}
