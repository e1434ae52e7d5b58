// Package config holds the operators' declarations: their types, and how a folder of files becomes one snapshot.
//
// A folder holds YAML files; each may hold any of the top-level lists of Declarations. Files are merged in the order of
// their names: a list entry with a name that an earlier file declared replaces the fields that it gives and keeps the
// others.
package config

import "time"

// Declarations is the merged content of a folder.
type Declarations struct {
	Ranks       []Rank        `yaml:"ranks"`
	Callers     []Caller      `yaml:"callers"`
	Models      []Model       `yaml:"models"`
	Adapters    []Adapter     `yaml:"adapters"`
	Endpoints   []Endpoint    `yaml:"endpoints"`
	Services    []Service     `yaml:"services"`
	Maintenance []Maintenance `yaml:"maintenance"`
	WeightStore WeightStore   `yaml:"weightStore"`
}

// Rank is a class of urgency with its targets.
type Rank struct {
	Name         string        `yaml:"name"`
	Order        int           `yaml:"order"`        // 0 is the most urgent
	FirstToken   time.Duration `yaml:"firstToken"`   // target for the time to first token
	BetweenToken time.Duration `yaml:"betweenToken"` // target for the time between tokens
	Deadline     time.Duration `yaml:"deadline"`     // a request that can't start within it is refused
	Worth        float64       `yaml:"worth"`        // value of a request that meets its targets
	Floor        float64       `yaml:"floor"`        // share of the slots kept while work of the rank waits, 0 to 1
	Headroom     float64       `yaml:"headroom"`     // share of each endpoint's slots that later ranks may not use, 0 to 1
	QueueLimit   int           `yaml:"queueLimit"`   // waiting requests per cell
	Preemptible  bool          `yaml:"preemptible"`  // running requests may be paused for more urgent ones
}

// Caller is an application with its API keys.
type Caller struct {
	Name      string   `yaml:"name"`
	KeyHashes []string `yaml:"keyHashes"` // hex SHA-256 of each API key
	Ranks     []string `yaml:"ranks"`     // ranks that the caller may use; the first is the default
	Weight    float64  `yaml:"weight"`    // share within a rank
	Floor     float64  `yaml:"floor"`     // share of the slots kept while work of the caller waits, 0 to 1
}

// Model is a language model that must stay reachable.
type Model struct {
	Name        string   `yaml:"name"`
	Memory      Bytes    `yaml:"memory"`
	MinReplicas int      `yaml:"minReplicas"` // least number of endpoints that hold it
	Callers     []string `yaml:"callers"`     // callers that may use it; empty for all
}

// Adapter is a fine-tuned variant of a model that shares the model's weights.
type Adapter struct {
	Name    string   `yaml:"name"`
	Model   string   `yaml:"model"`
	Memory  Bytes    `yaml:"memory"`
	Callers []string `yaml:"callers"`
}

// Endpoint is a model engine.
type Endpoint struct {
	Name          string `yaml:"name"`
	Host          string `yaml:"host"`
	Zone          string `yaml:"zone"`    // availability zone
	Region        string `yaml:"region"`  // empty if there is one region
	Address       string `yaml:"address"` // ip:port
	Memory        Bytes  `yaml:"memory"`  // accelerator memory for models
	AdapterMemory Bytes  `yaml:"adapterMemory"`
	Slots         int    `yaml:"slots"`         // requests in one batch
	ChecksFencing bool   `yaml:"checksFencing"` // the engine refuses orders with an old fencing token
	Leaving       bool   `yaml:"leaving"`
}

// Service is a plain service beside the engines.
type Service struct {
	Name      string            `yaml:"name"`
	Endpoints []ServiceEndpoint `yaml:"endpoints"`
	Calls     []Call            `yaml:"calls"`
	Timeout   time.Duration     `yaml:"timeout"`
	Callers   []string          `yaml:"callers"`
}

// ServiceEndpoint is one server of a plain service.
type ServiceEndpoint struct {
	Name    string `yaml:"name"`
	Host    string `yaml:"host"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
	Leaving bool   `yaml:"leaving"`
}

// Call declares whether the requests of a method and path may be repeated.
type Call struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"` // path.Match pattern below the service's prefix
	Idempotent bool   `yaml:"idempotent"`
}

// Maintenance is a window in which the landlord takes hosts down.
type Maintenance struct {
	Name  string        `yaml:"name"`
	Hosts []string      `yaml:"hosts"`
	Start time.Time     `yaml:"start"`
	End   time.Time     `yaml:"end"`
	Drain time.Duration `yaml:"drain"` // new work stops this long before the start
}

// WeightStore limits loads from the store across all cells.
type WeightStore struct {
	LoadsPerSecond   float64 `yaml:"loadsPerSecond"`
	ConcurrentLoads  int     `yaml:"concurrentLoads"`
	AdaptersInFlight int     `yaml:"adaptersInFlight"`
}
