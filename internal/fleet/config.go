// Package fleet holds the types that the serving path works on: the configuration in force, the endpoints, and one
// request. They are the same whoever provides them.
package fleet

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated of a request.
type Kind uint8

// Kinds of requests.
const (
	Idempotent    Kind = iota + 1 // may run more than once
	NonIdempotent                 // may run at most once
	Stream                        // answered by a series of events; runs at most once unless its route is resumable
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

// Route tells how the requests under a host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // longest time that a caller is kept waiting, 0 for none
	TargetLatency             time.Duration // time within which an answer, or the first piece of a stream, is on time
	MaxPause           time.Duration // longest pause between pieces of a stream that is on time
	Rank               int           // 0 is the most urgent
	Services           []WeightedService    // services that share the requests
	MaxAttempts        int           // endpoints that one request may be sent to
	Resumable          bool          // a broken stream may go on at another endpoint
}

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// Repeatable tells whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// PickService returns the service of a request. The same id always gets the same service.
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

// Model is a model that an engine service has to serve.
type Model struct {
	Name      string
	WeightsMB        float64 // of the weights
	AdapterMB float64 // of one adapter
	Adapters  int
	StoreLoadTime      time.Duration // from the weight store
	MemoryLoadTime  time.Duration // from the endpoint's memory
	DiskLoadTime  time.Duration // from the endpoint's disk
}

// Engine describes the endpoints of a service of model engines.
type Engine struct {
	Slots          int
	KVTokens       int     // memory for prompts and generated tokens
	MemoryMB             float64 // memory for weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64 // from the weight store, by all endpoints
	Models         []Model
}

// Model returns the declared model of a name, or nil.
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
	MaxConns int     // connections that an endpoint accepts from all callers
	Engine   *Engine // nil for a plain service
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed after Index.
type Config struct {
	Version  uint64 // grows with each change, in uneven steps
	Routes   []Route
	Services map[string]*Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// Index prepares Match. It has to be called once, before the configuration is used.
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

// Match returns the route with the longest prefix of the path, or nil. A port in the host is ignored.
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
