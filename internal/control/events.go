package control

import (
	"time"

	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/revision"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// Events that the duties send to the core.
type (
	// evMessage is a message of another process.
	evMessage struct {
		conn *transport.Conn
		corr uint64
		m    wire.Message
	}
	evDown      struct{ conn *transport.Conn }
	evPeerUp    struct{ conn *transport.Conn } // a connection to another control process of the cell
	evHead      struct{ head wire.Head }       // from the platform
	evPlacement struct{ placement wire.Placement }
	// evFetched is the result of a fetch job.
	evFetched struct {
		fetch revision.Fetch
		head  *wire.Head
		files []wire.File
		err   error
	}
	// evRoster is the roster as read from the platform.
	evRoster struct{ members []wire.Member }
	// evStates is the platform's endpoint list.
	evStates struct{ states []wire.EndpointState }
	// evLease is the latest lease record that was seen.
	evLease struct{ record lease.Record }
	// evDirectory is the part of the directory about other cells.
	evDirectory struct{ update *wire.DirectoryUpdate }
	evLeave     struct{}
	// evBeat sends a heartbeat at once.
	evBeat struct{}
	// evSync is acknowledged when all earlier events have been handled.
	evSync struct{ done chan struct{} }
)

// memberStatus is a member as the status page shows it.
type memberStatus struct {
	Host        string `json:"host"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	State       string `json:"state"`
	Leaving     bool   `json:"leaving,omitempty"`
	Revision    uint64 `json:"revision"`
	Placement   uint64 `json:"placement"`
	Load        uint16 `json:"load"`
	Control     string `json:"control"`
	quiet       time.Duration
}
