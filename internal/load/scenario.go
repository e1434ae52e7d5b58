// Package load is an open-loop load generator: it sends requests at the times of a schedule, whether or not earlier
// ones have been answered, and checks that each answer is complete and belongs to its request.
package load

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// Scenario describes the load of one run.
type Scenario struct {
	Seed         uint64        `yaml:"seed"`
	Duration     time.Duration `yaml:"duration"`
	Grace        time.Duration `yaml:"grace"`     // time to wait for answers after Duration; 20 s if 0
	CountFrom    time.Duration `yaml:"countFrom"` // start of the counted period; earlier requests are sent and checked, but only failures count
	EntryAddrs   []string      `yaml:"entries"`
	AdminAddrs   []string      `yaml:"control"`      // admin addresses of control processes, to count orders to engines
	ServiceAddrs []string      `yaml:"executions"`   // addresses of service stand-ins, to compare executions with answers
	Accelerators int           `yaml:"accelerators"` // number of accelerators, for attainment per accelerator
	Streams      []Stream      `yaml:"streams"`
	Calls        []Call        `yaml:"calls"`
}

// Stream is a flow of completion requests of one caller and rank.
type Stream struct {
	Name                string        `yaml:"name"`
	Caller              string        `yaml:"caller"`
	Key                 string        `yaml:"key"`
	Rank                string        `yaml:"rank"`
	Models              []string      `yaml:"models"`
	ZipfExponent        float64       `yaml:"zipf"`         // exponent of the Zipf distribution over the models, 0 for uniform
	Rate                float64       `yaml:"rate"`         // requests per second
	PromptTokens        int           `yaml:"promptTokens"` // mean of an exponential distribution
	OutputTokens        int           `yaml:"outputTokens"` // mean of an exponential distribution
	NonStreaming        bool          `yaml:"whole"`        // request one JSON object instead of a stream
	FirstTokenTarget    time.Duration `yaml:"firstToken"`   // latency target, 0 for none
	BetweenTokensTarget time.Duration `yaml:"betweenToken"` // target for the 95th percentile within a stream, 0 for none
	Worth               float64       `yaml:"worth"`
	Phases              []Phase       `yaml:"phases"`
}

// Phase multiplies the rate of a flow from At until the next phase.
type Phase struct {
	At     time.Duration `yaml:"at"`
	Factor float64       `yaml:"factor"`
}

// Call is a flow of calls to a plain service.
type Call struct {
	Name               string        `yaml:"name"`
	Caller             string        `yaml:"caller"`
	Key                string        `yaml:"key"`
	Service            string        `yaml:"service"`
	Method             string        `yaml:"method"`
	Path               string        `yaml:"path"`
	Rate               float64       `yaml:"rate"`
	SendIdempotencyKey bool          `yaml:"keyed"` // send an Idempotency-Key
	LatencyTarget      time.Duration `yaml:"target"`
	Worth              float64       `yaml:"worth"`
	Phases             []Phase       `yaml:"phases"`
}

// ReadScenario reads and validates a scenario file (YAML).
func ReadScenario(path string) (*Scenario, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var s Scenario
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return nil, errors.Annotate(err, path)
	}
	return &s, errors.Annotate(s.validate(), path)
}

// validate checks the scenario and sets the default of Grace.
func (s *Scenario) validate() error {
	switch {
	case s.Duration <= 0:
		return errors.New("duration must be positive")
	case len(s.EntryAddrs) == 0:
		return errors.New("entries must name at least one address")
	case len(s.Streams)+len(s.Calls) == 0:
		return errors.New("streams or calls must have at least one flow")
	}
	for _, f := range s.Streams {
		if f.Rate <= 0 || len(f.Models) == 0 {
			return errors.Errorf("stream %q needs a positive rate and at least one model", f.Name)
		}
	}
	for _, f := range s.Calls {
		if f.Rate <= 0 || f.Service == "" || f.Method == "" {
			return errors.Errorf("call %q needs a positive rate, a service and a method", f.Name)
		}
	}
	if s.Grace == 0 {
		s.Grace = 20 * time.Second
	}
	return nil
}

// rateFactor returns the factor of the last phase that has started at a time of the run, or 1 before the first phase.
func rateFactor(phases []Phase, at time.Duration) float64 {
	factor := 1.0
	for _, p := range phases {
		if at >= p.At {
			factor = p.Factor
		}
	}
	return factor
}
