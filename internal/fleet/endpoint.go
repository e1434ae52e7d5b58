package fleet

import "time"

// Resident is a model in an endpoint's memory.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// Endpoint is a server as the platform's list shows it.
type Endpoint struct {
	ID       string // of this server; it may return under the same id, see Born
	StartUnixMs     int64  // start of the server's process in Unix milliseconds, 0 if unknown
	Service  string
	Address  string // ip:port
	Zone     string
	Slots    int
	Draining bool
	LeavesIn   time.Duration // time until a server that leaves at short notice is gone, 0 if unknown
	Models   []Resident
	InMemory []string // models whose weights are in the machine's memory
	OnDisk   []string // models whose weights are on its disk
}

// SameProcess tells whether two entries are of the same process.
func (e *Endpoint) SameProcess(o *Endpoint) bool {
	return e.ID == o.ID && e.StartUnixMs == o.StartUnixMs && e.Address == o.Address && e.Service == o.Service
}

// Resident returns the resident model of a name, or nil.
func (e *Endpoint) Resident(model string) *Resident {
	for i := range e.Models {
		if e.Models[i].Model == model {
			return &e.Models[i]
		}
	}
	return nil
}

// Report is what an engine says of itself when asked.
type Report struct {
	Busy     bool  // carries out an order
	Sequence int64 // orders that it has accepted
	Models   []Resident
	LoadingAdapters   []string // adapters on their way, as MODEL/NAME@VERSION
	InMemory []string
	OnDisk   []string
}

// Order tells an engine to load or unload a model or adapter.
type Order struct {
	Endpoint string // id of the endpoint
	Load     bool   // else unload
	Model    string
	Adapter  string // empty for the model itself
	ExpectedSequence   int64  // sequence at which the order applies
	Holder   string // host that sends it
	FencingToken    uint64 // epoch of the holder's lease
}

// OrderResult is an endpoint's answer to an order.
type OrderResult uint8

// Answers to an order.
const (
	OrderUnknown  OrderResult = iota // no answer: it may be carried out, or be carried out later
	OrderAccepted                    // it is being carried out
	OrderNoop                       // nothing to do
	OrderConflict                    // another order is in progress, or the sequence has moved on
	OrderFenced                      // a later epoch has sent orders
	OrderInvalid                     // not understood, or another server has the address
)

// String returns the name of the result.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "invalid"}[r]
}

// Host is a process of the fleet as it registered itself.
type Host struct {
	Name        string `json:"name"`
	Address     string `json:"address"` // ip:port for other hosts
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	MilliCores    int    `json:"strength"` // thousandths of a core
	Revision    uint64 `json:"-"`        // of the store when it registered: a later one is younger
}

// View is what a host knows of the fleet. It is not changed after it was published.
type View struct {
	Config    *Config // nil before the first one
	Endpoints []Endpoint
	Hosts     []Host // in the order in which they take the dispatcher's duty
	EndpointsListed    bool   // the list of endpoints has been read
}

// Endpoint returns the entry of an id, or nil.
func (v *View) Endpoint(id string) *Endpoint {
	for i := range v.Endpoints {
		if v.Endpoints[i].ID == id {
			return &v.Endpoints[i]
		}
	}
	return nil
}

// SameModels tells whether two entries show the same models.
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
