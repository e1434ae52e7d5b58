// Package load is an open-loop load generator: it sends requests at the times of a schedule, whether or not earlier
// ones have been answered, and checks that each answer is whole and belongs to its request.
package load

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// Scenario describes one run.
type Scenario struct {
	Seed         uint64        `yaml:"seed"`
	Duration     time.Duration `yaml:"duration"`
	Grace        time.Duration `yaml:"grace"`     // time after the last arrival to wait for answers
	CountFrom    time.Duration `yaml:"countFrom"` // earlier requests are sent and checked but not counted in the rows
	EntryAddrs   []string      `yaml:"entries"`
	AdminAddrs   []string      `yaml:"control"`      // admin addresses of control processes, to count moves
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
	ZipfExponent        float64       `yaml:"zipf"`         // skew over the models, 0 for uniform
	Rate                float64       `yaml:"rate"`         // requests per second
	PromptTokens        int           `yaml:"promptTokens"` // mean, exponential
	OutputTokens        int           `yaml:"outputTokens"` // mean, exponential
	NonStreaming        bool          `yaml:"whole"`        // ask for one whole answer in place of a stream
	FirstTokenTarget    time.Duration `yaml:"firstToken"`   // target
	BetweenTokensTarget time.Duration `yaml:"betweenToken"` // target for the 95th percentile within a stream
	Worth               float64       `yaml:"worth"`
	Phases              []Phase       `yaml:"phases"`
}

// Phase multiplies the rate of a flow from a time on.
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

// ReadScenario parses a scenario file.
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

// factor returns the multiplier in force at a time of the run.
func factor(phases []Phase, at time.Duration) float64 {
	f := 1.0
	for _, p := range phases {
		if at >= p.At {
			f = p.Factor
		}
	}
	return f
}
