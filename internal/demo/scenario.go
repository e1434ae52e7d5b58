package demo

import (
	"strings"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

// APIKey returns the API key of a caller in the example folders.
func APIKey(caller string) string { return "demo-" + caller }

// allowed tells whether a caller may use a model or adapter.
func allowed(s *config.Snapshot, name, caller string) bool {
	var list []string
	if a := s.Adapter(name); a != nil {
		if !contains(a.Callers, caller) {
			return false
		}
		name = a.Model
	}
	if m := s.Model(name); m != nil {
		list = m.Callers
	}
	return contains(list, caller)
}

// contains tells whether a caller is in a list; an empty list holds all callers.
func contains(list []string, caller string) bool {
	for _, c := range list {
		if c == caller {
			return true
		}
	}
	return len(list) == 0
}

// servedNames returns the models and adapters that a caller may use; a nil caller stands for all.
func servedNames(s *config.Snapshot, caller *config.Caller) []string {
	var out []string
	add := func(name string) {
		if caller == nil || allowed(s, name, caller.Name) {
			out = append(out, name)
		}
	}
	for i := range s.Models {
		add(s.Models[i].Name)
	}
	for i := range s.Adapters {
		add(s.Adapters[i].Name)
	}
	return out
}

// Scenario returns a mixed load of all callers and ranks of a fleet, with calls to its services.
func Scenario(f *testbed.Fleet, length time.Duration) *load.Scenario {
	s := &load.Scenario{Seed: 1, Duration: length, Accelerators: len(f.Snapshot.Endpoints)}
	for _, h := range f.Hosts {
		s.EntryAddrs = append(s.EntryAddrs, h.EntryAddr)
		s.AdminAddrs = append(s.AdminAddrs, h.AdminAddr)
	}
	for i := range f.Snapshot.Callers {
		c := &f.Snapshot.Callers[i]
		for _, name := range c.Ranks {
			r := f.Snapshot.Rank(name)
			s.Streams = append(s.Streams, load.Stream{
				Name: c.Name + "/" + name, Caller: c.Name, Key: APIKey(c.Name), Rank: name, Models: servedNames(f.Snapshot, c), ZipfExponent: 0.9,
				Rate: flowRate, PromptTokens: promptTokens, OutputTokens: outputTokens,
				FirstTokenTarget: r.FirstToken, BetweenTokensTarget: r.BetweenToken, Worth: r.Worth,
			})
		}
	}
	for _, svc := range f.Snapshot.Services {
		for _, e := range svc.Endpoints {
			s.ServiceAddrs = append(s.ServiceAddrs, e.Address)
		}
		s.Calls = append(s.Calls, serviceCalls(f.Snapshot, &svc)...)
	}
	return s
}

// serviceCalls returns a flow for each declared call of a service; non-idempotent ones carry a key.
func serviceCalls(s *config.Snapshot, svc *config.Service) []load.Call {
	var out []load.Call
	for i := range s.Callers {
		c := &s.Callers[i]
		if !contains(svc.Callers, c.Name) {
			continue
		}
		for _, call := range svc.Calls {
			out = append(out, load.Call{
				Name: svc.Name + call.Path, Caller: c.Name, Key: APIKey(c.Name), Service: svc.Name, Method: call.Method,
				Path: strings.ReplaceAll(call.Path, "*", "7"), Rate: callRate / float64(len(svc.Calls)), SendIdempotencyKey: !call.Idempotent, LatencyTarget: time.Second, Worth: 1,
			})
		}
		return out // one caller is enough
	}
	return out
}
