// Package adminhttp implements the admin HTTP server of the entry and control processes.
//
// /healthz, /readyz and /metrics are open to every client. Requests for paths under /v1 need the operators' token. A
// process without a token serves these paths to loopback clients only, so that they aren't open to the network if an
// operator forgets to set the token.
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
	shutdownTimeout = time.Second
	readTimeout     = 10 * time.Second // for a whole request
	maxBodyBytes    = 64 << 10         // no admin path reads a body
	maxHeaderBytes  = 16 << 10
	maxSubjectBytes = 256
)

// silenceHertzLog limits the logger of hertz, which is global to the process, to fatal errors. The server logs through
// Options.Log.
var silenceHertzLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Options are the settings of a server.
type Options struct {
	Listen  string       // ip:port
	Token   string       // operators' bearer token; if empty, /v1 serves loopback clients only
	Ready   func() bool  // whether /readyz reports that the process is ready
	Metrics http.Handler // serves /metrics
	Log     telemetry.Logger
}

// Server is an admin server. All paths must be added before Start.
type Server struct {
	opts  Options
	hertz *server.Hertz
	v1    *route.RouterGroup // paths that need the operators' token
}

// New returns a server that has not been started.
func New(o Options) *Server {
	silenceHertzLog()
	s := &Server{opts: o, hertz: server.New(
		server.WithHostPorts(o.Listen), server.WithExitWaitTime(shutdownTimeout), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBodyBytes), server.WithMaxHeaderBytes(maxHeaderBytes), server.WithReadTimeout(readTimeout),
	)}
	s.hertz.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok") })
	s.hertz.GET("/readyz", s.readyz)
	s.hertz.GET("/metrics", adaptor.HertzHandler(o.Metrics))
	s.v1 = s.hertz.Group("/v1", s.authenticate)
	s.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) { SendProblem(c, http.StatusNotFound, "unknown path") })
	return s
}

// readyz answers 200 if the process is ready, else 503.
func (s *Server) readyz(_ context.Context, c *app.RequestContext) {
	if !s.opts.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready")
		return
	}
	c.String(http.StatusOK, "ready")
}

// authenticate rejects requests without the operators' token. If no token is set, it rejects all but loopback clients.
func (s *Server) authenticate(_ context.Context, c *app.RequestContext) {
	if s.opts.Token == "" {
		if !isLoopback(c.RemoteAddr()) {
			SendProblem(c, http.StatusForbidden, "this process has no operators' token, so /v1 answers loopback clients only")
		}
		return
	}
	if subtle.ConstantTimeCompare(c.GetHeader("Authorization"), []byte("Bearer "+s.opts.Token)) != 1 {
		SendProblem(c, http.StatusUnauthorized, "the operators' token is missing or wrong")
	}
}

// isLoopback reports whether the address is a loopback IP address with a port.
func isLoopback(addr net.Addr) bool {
	host, _, err := net.SplitHostPort(addr.String())
	return err == nil && net.ParseIP(host).IsLoopback()
}

// SendProblem responds with a problem document (RFC 9457) and skips the remaining handlers of the request.
func SendProblem(c *app.RequestContext, status int, detail string) {
	b, _ := json.Marshal(map[string]any{"type": "about:blank", "title": http.StatusText(status), "status": status, "detail": detail})
	c.Data(status, "application/problem+json", b)
	c.Abort()
}

// HandleJSON adds a path under /v1. It responds with the value that read returns, encoded as JSON.
func (s *Server) HandleJSON(path string, read func(context.Context) any) {
	s.v1.GET(path, func(ctx context.Context, c *app.RequestContext) { c.JSON(http.StatusOK, read(ctx)) })
}

// HandleExplain adds the path /v1/explain. It responds with the explanation that explain returns for the subject in the
// query.
func (s *Server) HandleExplain(explain func(ctx context.Context, subject string) telemetry.Explanation) {
	s.v1.GET("/explain", func(ctx context.Context, c *app.RequestContext) {
		subject := c.Query("subject")
		if subject == "" || len(subject) > maxSubjectBytes {
			SendProblem(c, http.StatusBadRequest, "parameter subject must be a request id, model or endpoint of at most 256 bytes")
			return
		}
		c.JSON(http.StatusOK, explain(ctx, subject))
	})
}

// Start runs the server in the background. The returned function shuts it down and waits until it has stopped.
func (s *Server) Start() (stop func()) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := s.hertz.Run(); err != nil {
			s.opts.Log.Error().Err(errors.Annotate(err, s.opts.Listen)).Msg("Admin server ended.")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		s.hertz.Shutdown(ctx)
		s.hertz.Close()
		<-stopped
	}
}
