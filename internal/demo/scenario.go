package demo

import (
	"strings"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

// APIKey returns the API key of a caller in the example declarations.
func APIKey(caller string) string { return "demo-" + caller }

// mayUse reports whether a caller may use a model or adapter. Using an adapter requires access to its model, too.
func mayUse(s *config.Snapshot, name, caller string) bool {
	var callers []string
	if a := s.Adapter(name); a != nil {
		if !listAllows(a.Callers, caller) {
			return false
		}
		name = a.Model
	}
	if m := s.Model(name); m != nil {
		callers = m.Callers
	}
	return listAllows(callers, caller)
}

// listAllows reports whether a list of allowed callers allows a caller. An empty list allows all callers.
func listAllows(callers []string, caller string) bool {
	for _, c := range callers {
		if c == caller {
			return true
		}
	}
	return len(callers) == 0
}

// servedNames returns the names of the models and adapters that a caller may use, or of all if caller is nil.
func servedNames(s *config.Snapshot, caller *config.Caller) []string {
	var out []string
	add := func(name string) {
		if caller == nil || mayUse(s, name, caller.Name) {
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

// Scenario returns a load with a stream of each caller and rank of a fleet, and with calls to its services.
func Scenario(f *testbed.Fleet, duration time.Duration) *load.Scenario {
	s := &load.Scenario{Seed: 1, Duration: duration, Accelerators: len(f.Snapshot.Endpoints)}
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
				Rate: streamRate, PromptTokens: promptTokens, OutputTokens: outputTokens,
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

// serviceCalls returns a flow for each declared call of a service, from the first caller that may use the service.
// Non-idempotent calls carry an idempotency key.
func serviceCalls(s *config.Snapshot, svc *config.Service) []load.Call {
	var out []load.Call
	for i := range s.Callers {
		c := &s.Callers[i]
		if !listAllows(svc.Callers, c.Name) {
			continue
		}
		for _, call := range svc.Calls {
			out = append(out, load.Call{
				Name: svc.Name + call.Path, Caller: c.Name, Key: APIKey(c.Name), Service: svc.Name, Method: call.Method,
				Path: strings.ReplaceAll(call.Path, "*", "7"), Rate: callRate / float64(len(svc.Calls)), SendIdempotencyKey: !call.Idempotent, LatencyTarget: time.Second, Worth: 1,
			})
		}
		return out // one caller is enough for the load
	}
	return out
}
