// Package routing decides which endpoint serves a request.
package routing

import (
	"context"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// Refusal is the error of a request that can't be served in time. It was not sent anywhere.
type Refusal struct {
	Reason       string
	RetryAfterMs uint32
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Binding reserves a slot at an endpoint for one attempt.
type Binding interface {
	// Endpoint returns the name of the endpoint.
	Endpoint() string
	// Preempted is closed when the attempt should stop and bind again; it may be nil.
	Preempted() <-chan struct{}
	// Release frees the slot and reports how the attempt ended. It is called once.
	Release(d wire.Done)
}

// Binder assigns endpoints to requests.
type Binder interface {
	// Bind waits until the request has an endpoint. It returns a *Refusal if it can't be served.
	Bind(ctx context.Context, ask wire.Ask) (Binding, error)
}

// View is what an entry knows when it decides.
type View struct {
	Snapshot  *config.Snapshot
	Placement *wire.Placement
	Leaving   map[string]bool               // endpoints that take no new work
	Members   []wire.Member                 // live hosts of the cell
	Holder    string                        // host that holds the cell's lease, empty if unknown
	Cells     []wire.CellMembers            // hosts of the other cells
	Remote    map[string][]wire.Member      // hosts of other cells that serve a model or adapter
	States    map[string]wire.EndpointState // latest reports of the endpoints, empty if unknown
}

// Residents returns the endpoints that hold a model, or an adapter with its model, and are not leaving.
func (v *View) Residents(name string) []string {
	var out []string
	if v.Snapshot == nil || v.Placement == nil {
		return nil
	}
	for i := range v.Placement.Endpoints {
		e := &v.Placement.Endpoints[i]
		d := v.Snapshot.Endpoint(e.Endpoint)
		if e.Leaving || v.Leaving[e.Endpoint] || d == nil || d.Leaving {
			continue
		}
		for _, r := range e.Residents {
			if r.Name == name {
				out = append(out, e.Endpoint)
				break
			}
		}
	}
	return out
}

// ErrNoResident is returned while no endpoint holds a declared model.
var ErrNoResident = errors.New("no endpoint holds the model")
