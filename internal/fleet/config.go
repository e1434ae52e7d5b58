// Package fleet holds the data types of the serving path: the configuration in force, the endpoints, and a request. They
// don't depend on the platform that provides them.
package fleet

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells whether a request may be executed more than once.
type Kind uint8

// Kinds of requests.
const (
	Idempotent    Kind = iota + 1 // may be executed more than once
	NonIdempotent                 // may be executed at most once
	Stream                        // answered by a stream of events; executed at most once unless its route is resumable
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// Route describes how the requests for a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration     // longest time from the arrival of a request to the end of its answer, 0 for no limit
	TargetLatency      time.Duration     // latest time for an answer, or the first event of a stream, to count as on time
	MaxPause           time.Duration     // longest pause between two events of a stream that counts as on time
	Rank               int               // 0 is the most urgent
	Services           []WeightedService // services that the requests are divided among
	MaxAttempts        int               // largest number of endpoints that one request is sent to
	Resumable          bool              // a broken stream may be continued at another endpoint
	Public             bool              // callers need no key
}

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Repeatable tells whether a request may be sent again after an endpoint may have executed it.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// PickService returns the service for a request, by a hash of its id: the same id always gets the same service.
func (r *Route) PickService(requestID string) string {
	var total float64
	for _, w := range r.Services {
		total += w.Weight
	}
	const buckets = 1 << 20
	at := float64(xxhash.Sum64String(requestID)%buckets) / buckets * total
	for _, w := range r.Services {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	if len(r.Services) > 0 {
		return r.Services[len(r.Services)-1].Service
	}
	return ""
}

// Model is a model that a service of model engines has to serve.
type Model struct {
	Name           string
	WeightsMB      float64       // size of the weights
	AdapterMB      float64       // size of one adapter
	Adapters       int           // number of adapters of the model
	StoreLoadTime  time.Duration // time of a load from the weight store
	MemoryLoadTime time.Duration // time of a load from the endpoint's memory
	DiskLoadTime   time.Duration // time of a load from the endpoint's disk
}

// Engine describes the endpoints of a service of model engines. They are all alike.
type Engine struct {
	Slots          int     // requests that an endpoint runs at the same time
	KVTokens       int     // capacity for prompts and generated tokens, in tokens
	MemoryMB       float64 // memory for weights and adapters
	AdapterSlots   int     // adapters that an endpoint holds at the same time
	LoadsPerSecond float64 // limit of loads from the weight store, for all endpoints together
	Models         []Model
}

// Model returns the declared model with a name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name     string
	MaxConns int     // connections that an endpoint accepts from all callers together
	Engine   *Engine // nil for a plain service
}

// Limits holds the limits on the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It must not be changed after Index.
type Config struct {
	Version  uint64 // grows with each change, not always by one
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	Accounts *Accounts // nil if callers have no accounts

	byHost map[string][]*Route // routes by host, longest prefix first
}

// Index builds the index that Match uses. It must be called once, before the configuration is used.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, rs := range c.byHost {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
}

// LimitedAccount returns the account with a name, or nil if it has no quota or the configuration has no such account. A nil
// receiver has no accounts.
func (c *Config) LimitedAccount(name string) *Account {
	if c == nil {
		return nil
	}
	if a := c.Accounts.ByName(name); a != nil && a.Limit.Limited() {
		return a
	}
	return nil
}

// Match returns the route of a host with the longest prefix that the path starts with, or nil. A port in the host is
// ignored.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
