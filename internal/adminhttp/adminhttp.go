// Package adminhttp is the admin HTTP server of the entry and control processes.
//
// /healthz, /readyz and /metrics answer everyone. Paths under /v1 need the operators' token; a process without a token
// answers them for loopback clients only, so that a forgotten token doesn't open them to the network.
package adminhttp

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/juju/errors"

	"sycamoredeal/internal/telemetry"
)

const (
	exitWait    = time.Second
	readTimeout = 10 * time.Second // for a whole request
	maxBody     = 64 << 10         // bytes; no admin path reads a body
	maxHeader   = 16 << 10         // bytes
	maxSubject  = 256              // bytes
)

// quiet silences hertz's logger, which is one for the whole process: the process logs through its own.
var quiet = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Options are the settings of a server.
type Options struct {
	Listen  string       // ip:port
	Token   string       // operators' bearer token, empty to serve /v1 to loopback clients only
	Ready   func() bool  // answers /readyz
	Metrics http.Handler // answers /metrics
	Log     telemetry.Logger
}

// Server is an admin server. Paths are added before Start.
type Server struct {
	opts Options
	h    *server.Hertz
	v1   *route.RouterGroup
}

// New returns a server that is not yet running.
func New(o Options) *Server {
	quiet()
	s := &Server{opts: o, h: server.New(
		server.WithHostPorts(o.Listen), server.WithExitWaitTime(exitWait), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBody), server.WithMaxHeaderBytes(maxHeader), server.WithReadTimeout(readTimeout),
	)}
	s.h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	s.h.GET("/readyz", s.readyz)
	s.h.GET("/metrics", adaptor.HertzHandler(o.Metrics))
	s.v1 = s.h.Group("/v1", s.authenticate)
	s.h.NoRoute(func(_ context.Context, c *app.RequestContext) { AbortWithProblem(c, http.StatusNotFound, "unknown path") })
	return s
}

func (s *Server) readyz(_ context.Context, c *app.RequestContext) {
	if !s.opts.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready")
		return
	}
	c.String(http.StatusOK, "ready")
}

// authenticate refuses requests without the operators' token.
func (s *Server) authenticate(_ context.Context, c *app.RequestContext) {
	if s.opts.Token == "" {
		if !loopback(c.RemoteAddr()) {
			AbortWithProblem(c, http.StatusForbidden, "this process has no operators' token, so /v1 answers loopback clients only")
		}
		return
	}
	if subtle.ConstantTimeCompare(c.GetHeader("Authorization"), []byte("Bearer "+s.opts.Token)) != 1 {
		AbortWithProblem(c, http.StatusUnauthorized, "the operators' token is missing or wrong")
	}
}

func loopback(a net.Addr) bool {
	host, _, err := net.SplitHostPort(a.String())
	return err == nil && net.ParseIP(host).IsLoopback()
}

// AbortWithProblem answers with a problem (RFC 9457) and ends the handling of the request.
func AbortWithProblem(c *app.RequestContext, status int, detail string) {
	b, _ := json.Marshal(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": detail})
	c.Data(status, "application/problem+json", b)
	c.Abort()
}

// HandleJSON adds a path under /v1 that is answered with what read returns.
func (s *Server) HandleJSON(path string, read func(context.Context) any) {
	s.v1.GET(path, func(ctx context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, read(ctx)) })
}

// HandleExplain adds /v1/explain.
func (s *Server) HandleExplain(find func(ctx context.Context, subject string) telemetry.Explanation) {
	s.v1.GET("/explain", func(ctx context.Context, c *app.RequestContext) {
		subject := c.Query("subject")
		if subject == "" || len(subject) > maxSubject {
			AbortWithProblem(c, http.StatusBadRequest, "parameter subject must be a request id, model or endpoint of at most 256 bytes")
			return
		}
		c.JSON(http.StatusOK, find(ctx, subject))
	})
}

// Start serves in the background and returns the function that stops the server.
func (s *Server) Start() (stop func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.h.Run(); err != nil {
			s.opts.Log.Error().Err(errors.Annotate(err, s.opts.Listen)).Msg("Admin server ended.")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), exitWait)
		defer cancel()
		s.h.Shutdown(ctx)
		s.h.Close()
		<-ended
	}
}
