package config

import (
	"net/netip"
	"path"
	"strings"
	"time"
	"unicode"
)

const maxNameBytes = 128

func (c *checker) name(path, name string) {
	bad := func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }
	if len(name) > maxNameBytes || strings.ContainsFunc(name, bad) {
		c.fail(path, "name", "a name has at most %d bytes and no spaces", maxNameBytes)
	}
}

func (c *checker) share(path, key string, v float64) {
	if v < 0 || v > 1 {
		c.fail(path, key, "%g is not a share from 0 to 1", v)
	}
}

func (c *checker) notNegative(path, key string, v float64) {
	if v < 0 {
		c.fail(path, key, "must not be negative")
	}
}

func (c *checker) positive(path, key string, v int64) {
	if v <= 0 {
		c.fail(path, key, "must be greater than 0")
	}
}

func (c *checker) duration(path, key string, v time.Duration) {
	if v < 0 {
		c.fail(path, key, "must not be negative")
	}
}

func (c *checker) known(path, key, what string, names []string, set map[string]bool) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if !set[n] {
			c.fail(path, key, "%s %q is not declared", what, n)
		} else if seen[n] {
			c.fail(path, key, "%s %q is listed twice", what, n)
		}
		seen[n] = true
	}
}

func (c *checker) address(path, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.fail(path, "address", "%q is not an address in the form ip:port", addr)
		return
	}
	if other, used := c.addresses[ap.String()]; used {
		c.fail(path, "address", "%s is also the address of %s", addr, other)
		return
	}
	c.addresses[ap.String()] = displayPath(path)
}

func (c *checker) checkRanks() {
	orders := make(map[int]string)
	floors, headroom, last := 0.0, 0.0, ""
	lastOrder := -1
	for i := range c.Ranks {
		r := &c.Ranks[i]
		p := "ranks/" + r.Name
		c.name(p, r.Name)
		if other, used := orders[r.Order]; used {
			c.fail(p, "order", "rank %q has the same order %d", other, r.Order)
		}
		orders[r.Order] = r.Name
		c.notNegative(p, "order", float64(r.Order))
		c.duration(p, "firstToken", r.FirstToken)
		c.duration(p, "betweenToken", r.BetweenToken)
		c.duration(p, "deadline", r.Deadline)
		if r.Deadline > 0 && r.Deadline < r.FirstToken {
			c.warn(p, "deadline", "is shorter than the target for the first token, %s", r.FirstToken)
		}
		c.notNegative(p, "worth", r.Worth)
		c.notNegative(p, "queueLimit", float64(r.QueueLimit))
		c.share(p, "floor", r.Floor)
		if r.Headroom < 0 || r.Headroom >= 1 {
			c.fail(p, "headroom", "%g is not a share from 0 to below 1", r.Headroom)
		}
		floors += r.Floor
		headroom += r.Headroom
		if r.Order > lastOrder {
			last, lastOrder = p, r.Order
		}
	}
	if floors > 1+1e-9 {
		c.fail(last, "floor", "the floors of all ranks add up to %.3g, more than 1", floors)
	}
	if headroom >= 1 && len(c.Ranks) > 1 {
		c.fail(last, "headroom", "the headrooms of all ranks add up to %.3g and leave nothing to the last rank", headroom)
	}
}

func (c *checker) checkCallers() {
	keys := make(map[string]string)
	floors, last := 0.0, ""
	for i := range c.Callers {
		v := &c.Callers[i]
		p := "callers/" + v.Name
		c.name(p, v.Name)
		c.known(p, "ranks", "rank", v.Ranks, c.ranks)
		if len(v.Ranks) == 0 {
			c.warn(p, "ranks", "the caller may use no rank, so its model requests are refused")
		}
		for _, h := range v.KeyHashes {
			c.keyHash(p, h, keys)
		}
		c.notNegative(p, "weight", v.Weight)
		c.share(p, "floor", v.Floor)
		floors += v.Floor
		last = p
	}
	if floors > 1+1e-9 {
		c.fail(last, "floor", "the floors of all callers add up to %.3g, more than 1", floors)
	}
}

// keyHash never repeats the value in its message: what is not a hash may be the key itself.
func (c *checker) keyHash(path, hash string, keys map[string]string) {
	if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
		c.fail(path, "keyHashes", "an entry is not the lower-case hex SHA-256 of a key; sycamorectl hash-key prints it")
		return
	}
	if other, used := keys[hash]; used {
		c.fail(path, "keyHashes", "a key is also declared for %s", other)
		return
	}
	keys[hash] = displayPath(path)
}

func (c *checker) checkModels() {
	for i := range c.Models {
		m := &c.Models[i]
		p := "models/" + m.Name
		c.name(p, m.Name)
		c.positive(p, "memory", int64(m.Memory))
		c.notNegative(p, "minReplicas", float64(m.MinReplicas))
		c.known(p, "callers", "caller", m.Callers, c.callers)
	}
}

func (c *checker) checkAdapters() {
	for i := range c.Adapters {
		a := &c.Adapters[i]
		p := "adapters/" + a.Name
		c.name(p, a.Name)
		switch {
		case a.Model == "":
			c.fail(p, "model", "the adapter names no base model")
		case !c.models[a.Model]:
			c.fail(p, "model", "model %q is not declared", a.Model)
		}
		if c.models[a.Name] {
			c.fail(p, "name", "a model has the same name")
		}
		c.positive(p, "memory", int64(a.Memory))
		c.known(p, "callers", "caller", a.Callers, c.callers)
	}
}

func (c *checker) checkEndpoints() {
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		p := "endpoints/" + e.Name
		c.name(p, e.Name)
		c.place(p, e.Host, e.Zone)
		c.address(p, e.Address)
		c.positive(p, "memory", int64(e.Memory))
		c.positive(p, "slots", int64(e.Slots))
		c.notNegative(p, "adapterMemory", float64(e.AdapterMemory))
	}
}

func (c *checker) place(path, host, zone string) {
	if host == "" {
		c.fail(path, "host", "the endpoint has no host")
	}
	if zone == "" {
		c.fail(path, "zone", "the endpoint has no availability zone")
	}
}

func (c *checker) checkServices() {
	for i := range c.Services {
		s := &c.Services[i]
		p := "services/" + s.Name
		c.name(p, s.Name)
		c.duration(p, "timeout", s.Timeout)
		c.known(p, "callers", "caller", s.Callers, c.callers)
		if len(s.Endpoints) == 0 {
			c.warn(p, "endpoints", "the service has no endpoint")
		}
		for j := range s.Endpoints {
			e := &s.Endpoints[j]
			ep := p + "/endpoints/" + e.Name
			c.name(ep, e.Name)
			c.place(ep, e.Host, e.Zone)
			c.address(ep, e.Address)
		}
		for _, call := range s.Calls {
			if call.Method == "" || strings.Trim(call.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ*") != "" {
				c.fail(p, "calls", "%q is not an HTTP method in upper case", call.Method)
			}
			if _, err := path.Match(call.Path, ""); err != nil || call.Path == "" {
				c.fail(p, "calls", "%q is not a path pattern", call.Path)
			}
		}
	}
}

func (c *checker) checkWeightStore() {
	w := c.WeightStore
	c.notNegative("weightStore", "loadsPerSecond", w.LoadsPerSecond)
	c.notNegative("weightStore", "concurrentLoads", float64(w.ConcurrentLoads))
	c.notNegative("weightStore", "adaptersInFlight", float64(w.AdaptersInFlight))
}
