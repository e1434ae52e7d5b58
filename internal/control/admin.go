package control

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/juju/errors"

	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

const adminExitWait = time.Second

// quietHertz silences hertz's logger, which is one for the whole process: the process logs through its own.
var quietHertz = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// Status is the answer to GET /v1/status.
type Status struct {
	Host             string                   `json:"host"`
	Zone             string                   `json:"zone"`
	Cell             string                   `json:"cell"`
	Incarnation      uint64                   `json:"incarnation"`
	Revision         uint64                   `json:"revision"`
	PlacementVersion uint64                   `json:"placementVersion"`
	PlacementEpoch   uint64                   `json:"placementEpoch"`
	Lease            LeaseStatus              `json:"lease"`
	Dispatcher       string                   `json:"dispatcher"`
	Members          []memberStatus           `json:"members"`
	Endpoints        []wire.EndpointPlacement `json:"endpoints"`
	Leaving          []wire.EndpointState     `json:"leaving"`      // endpoints that take no new work
	ControlBytes     ByteStatus               `json:"controlBytes"` // messages that leave the host, without claims
	LocalBytes       ByteStatus               `json:"localBytes"`   // messages with the entry process of the same host
	ClaimBytes       ByteStatus               `json:"claimBytes"`   // claims of requests, which are not control traffic
	PlatformCalls    uint64                   `json:"platformCalls"`
	Orders           uint64                   `json:"orders"` // orders to engines since the cell exists
}

// LeaseStatus tells who holds the cell's lease as far as this process knows.
type LeaseStatus struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	Held   uint64 `json:"held"` // epoch that this process holds now by its own clock, 0 for none
}

// ByteStatus counts messages of the project's own protocol since the start of the process.
type ByteStatus struct {
	Sent             uint64 `json:"sent"`     // bytes
	Received         uint64 `json:"received"` // bytes
	SentMessages     uint64 `json:"sentMessages"`
	ReceivedMessages uint64 `json:"receivedMessages"`
}

func byteStatus(c *transport.Counters) ByteStatus {
	return ByteStatus{c.Sent.Load(), c.Received.Load(), c.SentMessages.Load(), c.ReceivedMessages.Load()}
}

// Status returns the state of the process.
func (c *Control) Status() Status {
	v := c.view.Load()
	s := Status{
		Host: c.opts.Host, Zone: c.opts.Zone, Cell: c.opts.Cell, Incarnation: c.incarnation.Load(), Revision: v.head.Revision,
		PlacementVersion: v.placement.Version, PlacementEpoch: v.placement.Epoch,
		Lease:      LeaseStatus{Holder: v.holder, Epoch: v.epoch, Held: c.lease.held()},
		Dispatcher: Dispatcher(c.opts.Cell, v.live), Members: v.members, Endpoints: v.placement.Endpoints, Leaving: v.states,
		ControlBytes: byteStatus(&c.counters), LocalBytes: byteStatus(&c.local), ClaimBytes: byteStatus(&c.claimed), Orders: v.placement.NextIntent,
	}
	if calls, ok := c.opts.Store.(interface{ Calls() uint64 }); ok {
		s.PlatformCalls = calls.Calls()
	}
	return s
}

// ready tells whether the process can serve its entry: it has a configuration and is not leaving.
func (c *Control) ready() bool {
	v := c.view.Load()
	return v.snapshot != nil && !v.leaving
}

// authenticate refuses requests without the operators' token.
func (c *Control) authenticate(_ context.Context, r *app.RequestContext) {
	want := "Bearer " + c.opts.AdminToken
	if c.opts.AdminToken != "" && subtle.ConstantTimeCompare(r.GetHeader("Authorization"), []byte(want)) != 1 {
		r.AbortWithStatus(http.StatusUnauthorized)
	}
}

// serveAdmin starts the admin HTTP server and returns the function that stops it.
func (c *Control) serveAdmin() (stop func(), err error) {
	if c.opts.AdminListen == "" {
		return func() {}, nil
	}
	quietHertz()
	h := server.New(server.WithHostPorts(c.opts.AdminListen), server.WithExitWaitTime(adminExitWait), server.WithDisablePrintRoute(true))
	h.GET("/healthz", func(_ context.Context, r *app.RequestContext) { r.String(http.StatusOK, "ok") })
	h.GET("/readyz", func(_ context.Context, r *app.RequestContext) {
		if !c.ready() {
			r.String(http.StatusServiceUnavailable, "not ready")
			return
		}
		r.String(http.StatusOK, "ready")
	})
	v1 := h.Group("/v1", c.authenticate)
	v1.GET("/status", func(_ context.Context, r *app.RequestContext) { r.JSON(http.StatusOK, c.Status()) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := h.Run(); err != nil {
			c.opts.Log.Error().Err(errors.Annotate(err, c.opts.AdminListen)).Msg("Admin server ended.")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), adminExitWait)
		defer cancel()
		h.Shutdown(ctx)
		h.Close()
		<-ended
	}, nil
}
