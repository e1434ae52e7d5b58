package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"
)

func (e *Entry) routes() {
	e.http.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	e.http.GET("/readyz", e.readyz)
	e.http.POST("/v1/chat/completions", e.handle(e.completions))
	e.http.GET("/v1/models", e.handle(e.models))
	e.http.Any("/svc/:service/*path", e.handle(e.service))
	e.http.NoRoute(e.handle(func(_ context.Context, x *exchange) {
		x.fail(refusal(http.StatusNotFound, "Unknown path", string(x.c.Path()), 0))
	}))
}

func (e *Entry) readyz(_ context.Context, c *app.RequestContext) {
	if !e.ready() {
		c.String(http.StatusServiceUnavailable, "not ready")
		return
	}
	c.String(http.StatusOK, "ready")
}

// modelInfo is one element of the answer to GET /v1/models.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models and adapters that the caller may use.
func (e *Entry) models(_ context.Context, x *exchange) {
	list := []modelInfo{}
	add := func(name string) {
		if mayUseModel(x.snap, name, x.caller.Name) {
			list = append(list, modelInfo{ID: name, Object: "model", OwnedBy: "sycamoredeal"})
		}
	}
	for i := range x.snap.Models {
		add(x.snap.Models[i].Name)
	}
	for i := range x.snap.Adapters {
		add(x.snap.Adapters[i].Name)
	}
	b, _ := json.Marshal(map[string]any{"object": "list", "data": list})
	x.c.Response.Header.Set("X-Request-Id", x.id)
	x.c.Data(http.StatusOK, "application/json", b)
}
