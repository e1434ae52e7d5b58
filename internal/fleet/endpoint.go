package fleet

import "time"

// Resident is a model in an endpoint's memory.
type Resident struct {
	Model    string
	Version  int
	Adapters []string // names of its adapters that are loaded
}

// Endpoint is a server of a service, as the platform lists it.
type Endpoint struct {
	ID          string // may be used again by a later process, see StartUnixMs
	StartUnixMs int64  // start of the server's process in Unix milliseconds, 0 if unknown
	Writes      int64  // number of writes of the entry by that process, 0 if unknown
	Service     string
	Address     string // ip:port
	Zone        string
	Slots       int           // requests that it runs at the same time
	Draining    bool          // finishes its requests and must get no new ones
	LeavesIn    time.Duration // time until a server that leaves at short notice is gone, 0 if unknown
	Models      []Resident
	InMemory    []string // models whose weights are in the machine's memory
	OnDisk      []string // models whose weights are on its disk
}

// SameProcess tells whether two entries describe the same server process.
func (e *Endpoint) SameProcess(o *Endpoint) bool {
	return e.ID == o.ID && e.StartUnixMs == o.StartUnixMs && e.Address == o.Address && e.Service == o.Service
}

// Resident returns the model in memory that has the given name, or nil.
func (e *Endpoint) Resident(model string) *Resident {
	for i := range e.Models {
		if e.Models[i].Model == model {
			return &e.Models[i]
		}
	}
	return nil
}

// Report is the state that an engine reports when it is asked.
type Report struct {
	Busy            bool  // an order is being carried out
	Sequence        int64 // number of orders that it has accepted
	Models          []Resident
	LoadingAdapters []string // adapters that are being loaded, as MODEL/NAME@VERSION
	InMemory        []string // models whose weights are in the machine's memory
	OnDisk          []string // models whose weights are on its disk
}

// Order tells an engine to load or unload a model or adapter.
type Order struct {
	Endpoint         string // id of the endpoint
	Load             bool   // load if true, unload if false
	Model            string
	Adapter          string // empty for the model itself
	ExpectedSequence int64  // Report.Sequence of the engine at which the order is valid; the engine refuses it at any other
	Holder           string // host that sends the order
	FencingToken     uint64 // epoch of the holder's placement lease
}

// OrderResult is an endpoint's answer to an order.
type OrderResult uint8

// Answers to an order.
const (
	OrderUnknown  OrderResult = iota // no answer: the order may have been carried out, or may still be
	OrderAccepted                    // the order is being carried out
	OrderNoop                        // the endpoint already is in the state that was ordered
	OrderConflict                    // another order is in progress, or the sequence is not the expected one
	OrderFenced                      // a holder with a later epoch has sent orders
	OrderInvalid                     // the endpoint did not understand the order, or another server has the address now
)

// String returns the name of the result, as it is logged.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid"}[r]
}

// Host is a host process of the fleet, as it registered itself in the store.
type Host struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // ip:port for other hosts
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"` // differs for each process of the host
	MilliCores  int    `json:"strength"`    // processor time of the host, in thousandths of a core
	Revision    uint64 `json:"-"`           // store's revision at registration; a later one means a younger host
}

// View is what a host knows of the fleet. It must not be changed after it was published.
type View struct {
	Config          *Config // nil until the first configuration has been read
	Endpoints       []Endpoint
	Hosts           []Host // in the order in which they become the dispatcher
	EndpointsListed bool   // the list of endpoints has been read
}

// Endpoint returns the endpoint with an id, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	for i := range v.Endpoints {
		if v.Endpoints[i].ID == id {
			return &v.Endpoints[i]
		}
	}
	return nil
}

// SameModels tells whether two entries hold the same models in memory.
func (e *Endpoint) SameModels(o *Endpoint) bool {
	if len(e.Models) != len(o.Models) {
		return false
	}
	for i := range e.Models {
		if o.Resident(e.Models[i].Model) == nil {
			return false
		}
	}
	return true
}
