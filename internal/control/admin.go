package control

import (
	"context"
	"time"

	"sycamoredeal/internal/adminhttp"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// Status is the answer to GET /v1/status.
type Status struct {
	Host             string               `json:"host"`
	Zone             string               `json:"zone"`
	Cell             string               `json:"cell"`
	Incarnation      uint64               `json:"incarnation"`
	Revision         uint64               `json:"revision"`
	PlacementVersion uint64               `json:"placementVersion"`
	PlacementEpoch   uint64               `json:"placementEpoch"`
	Lease            LeaseStatus          `json:"lease"`
	Dispatcher       string               `json:"dispatcher"`
	Members          []memberStatus       `json:"members"`
	Endpoints        []EndpointStatus     `json:"endpoints"`
	Leaving          []wire.EndpointState `json:"leaving"`      // endpoints and hosts that the platform's list shows as leaving
	ControlBytes     ByteStatus           `json:"controlBytes"` // messages that leave the host, without claims
	LocalBytes       ByteStatus           `json:"localBytes"`   // messages with the entry process of the same host
	ClaimBytes       ByteStatus           `json:"claimBytes"`   // claims of requests, which are not control traffic
	PlatformCalls    uint64               `json:"platformCalls"`
	Orders           uint64               `json:"orders"` // orders to engines since the cell exists
}

// EndpointStatus is one endpoint with what it holds and does.
type EndpointStatus struct {
	wire.EndpointPlacement
	Reported bool   `json:"reported"`                // the numbers below come from a report of the last seconds
	Running  uint32 `json:"running"`                 // requests that the engine runs
	Waiting  uint32 `json:"waiting"`                 // requests that wait in the engine
	AgeMs    uint32 `json:"ageMs"`                   // age of the report
	Reason   string `json:"leavingReason,omitempty"` // why the endpoint takes no new work
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
	return ByteStatus{c.SentBytes.Load(), c.ReceivedBytes.Load(), c.SentMessages.Load(), c.ReceivedMessages.Load()}
}

// Status returns the state of the process, with the reports that the holder of the lease has.
func (c *Control) Status(ctx context.Context) Status {
	v := c.view.Load()
	s := Status{
		Host: c.opts.Host, Zone: c.opts.Zone, Cell: c.opts.Cell, Incarnation: c.incarnation.Load(), Revision: v.head.Revision,
		PlacementVersion: v.placement.Version, PlacementEpoch: v.placement.Epoch,
		Lease:      LeaseStatus{Holder: v.holder, Epoch: v.epoch, Held: c.lease.held()},
		Dispatcher: Dispatcher(c.opts.Cell, v.live), Members: v.members, Endpoints: endpointStatus(v, c.reports(ctx)), Leaving: v.states,
		ControlBytes: byteStatus(&c.counters), LocalBytes: byteStatus(&c.local), ClaimBytes: byteStatus(&c.claimed), Orders: v.placement.NextIntent,
	}
	if calls, ok := c.opts.Store.(interface{ Calls() uint64 }); ok {
		s.PlatformCalls = calls.Calls()
	}
	return s
}

// endpointStatus joins the placement, the reports and the reasons for leaving.
func endpointStatus(v *view, reports []wire.EndpointState) []EndpointStatus {
	byName := make(map[string]wire.EndpointState, len(reports))
	for _, r := range reports {
		byName[r.Endpoint] = r
	}
	reasons := leavingReasons(v, time.Now())
	out := make([]EndpointStatus, 0, len(v.placement.Endpoints))
	for _, p := range v.placement.Endpoints {
		r, ok := byName[p.Endpoint]
		s := EndpointStatus{EndpointPlacement: p, Reported: ok, Running: r.Running, Waiting: r.Waiting, AgeMs: r.AgeMs, Reason: reasons[p.Endpoint]}
		s.Leaving = s.Leaving || s.Reason != ""
		out = append(out, s)
	}
	return out
}

// ready tells whether the process can serve its entry: it has a configuration and is not leaving.
func (c *Control) ready() bool {
	v := c.view.Load()
	return v.snapshot != nil && !v.leaving
}

// serveAdmin starts the admin HTTP server and returns the function that stops it.
func (c *Control) serveAdmin() (stop func()) {
	if c.opts.AdminListen == "" {
		return func() {}
	}
	s := adminhttp.New(adminhttp.Options{
		Listen: c.opts.AdminListen, Token: c.opts.AdminToken, Ready: c.ready, Metrics: c.observer.metrics.Handler(), Log: c.opts.Log.Part("admin"),
	})
	s.HandleJSON("/status", func(ctx context.Context) any { return c.Status(ctx) })
	s.HandleExplain(c.explain)
	return s.Start()
}
