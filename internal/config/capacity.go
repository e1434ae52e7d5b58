package config

import (
	"sort"
	"strings"
	"time"
)

// checkCapacity reports models and adapters that the endpoints which are not leaving cannot hold.
func (c *checker) checkCapacity() {
	var live []*Endpoint
	var slabs, largestSlab Bytes
	for i := range c.Endpoints {
		if e := &c.Endpoints[i]; !e.Leaving {
			live = append(live, e)
			slabs += e.AdapterMemory
			largestSlab = max(largestSlab, e.AdapterMemory)
		}
	}
	if len(c.Models) > 0 {
		c.checkFit(live)
	}
	var adapters Bytes
	for i := range c.Adapters {
		a := &c.Adapters[i]
		adapters += a.Memory
		if a.Memory > largestSlab {
			c.fail("adapters/"+a.Name, "memory", "%d bytes are more than the largest adapter slab, %d bytes", a.Memory, largestSlab)
		}
	}
	if n := len(c.Adapters); n > 0 && adapters > slabs {
		c.fail("adapters/"+c.Adapters[n-1].Name, "memory", "all adapters need %d bytes, the adapter slabs hold %d bytes", adapters, slabs)
	}
}

func (c *checker) checkFit(live []*Endpoint) {
	memory := make([]Bytes, len(live))
	var total, need, copies Bytes
	for i, e := range live {
		memory[i] = e.Memory
		total += e.Memory
	}
	sort.Slice(memory, func(i, j int) bool { return memory[i] > memory[j] })
	fit := true
	for i := range c.Models {
		m := &c.Models[i]
		n := sort.Search(len(memory), func(i int) bool { return memory[i] < m.Memory })
		switch {
		case n == 0:
			c.fail("models/"+m.Name, "memory", "%d bytes fit no endpoint that is not leaving", m.Memory)
			fit = false
		case m.MinReplicas > n:
			c.fail("models/"+m.Name, "minReplicas", "%d copies are wanted, but the model fits only %d endpoints that are not leaving", m.MinReplicas, n)
			fit = false
		}
		need += m.Memory
		copies += m.Memory * Bytes(max(1, min(m.MinReplicas, len(live))))
	}
	if !fit {
		return
	}
	last := "models/" + c.Models[len(c.Models)-1].Name
	switch {
	case need > total:
		c.fail(last, "memory", "all models need %d bytes, the endpoints that are not leaving hold %d bytes", need, total)
	case copies > total:
		c.fail(last, "minReplicas", "all models with their minReplicas need %d bytes, the endpoints that are not leaving hold %d bytes", copies, total)
	default:
		if m := c.pack(memory); m != nil {
			c.warn("models/"+m.Name, "memory", "placing the largest models first leaves no endpoint with room for every copy of this model")
		}
	}
}

// pack places every model's copies on distinct endpoints, largest first into the emptiest endpoint, and returns the
// first model that finds no room. Failing proves nothing, as another order may succeed; hence only a warning.
func (c *checker) pack(free []Bytes) *Model {
	free = append([]Bytes(nil), free...)
	order := make([]*Model, len(c.Models))
	for i := range c.Models {
		order[i] = &c.Models[i]
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].Memory > order[j].Memory })
	for _, m := range order {
		used := make(map[int]bool)
		for range max(1, m.MinReplicas) {
			best := -1
			for i, f := range free {
				if f >= m.Memory && !used[i] && (best < 0 || f > free[best]) {
					best = i
				}
			}
			if best < 0 {
				return m
			}
			free[best] -= m.Memory
			used[best] = true
		}
	}
	return nil
}

// window is a maintenance window with the hosts that it takes.
type window struct {
	name       string
	start, end time.Time // start includes the drain time
	hosts      map[string]bool
}

func (c *checker) checkMaintenance() {
	var windows []window
	for i := range c.Maintenance {
		m := &c.Maintenance[i]
		p := "maintenance/" + m.Name
		c.name(p, m.Name)
		c.known(p, "hosts", "host", m.Hosts, c.hosts)
		c.duration(p, "drain", m.Drain)
		if len(m.Hosts) == 0 {
			c.warn(p, "hosts", "the window names no host")
		}
		switch {
		case m.Start.IsZero():
			c.fail(p, "start", "the window has no start")
		case m.End.IsZero():
			c.fail(p, "end", "the window has no end")
		case !m.End.After(m.Start):
			c.fail(p, "end", "the window ends at %s, not after its start at %s", m.End.Format(time.RFC3339), m.Start.Format(time.RFC3339))
		default:
			w := window{name: m.Name, start: m.Start.Add(-m.Drain), end: m.End, hosts: map[string]bool{}}
			for _, h := range m.Hosts {
				w.hosts[h] = true
			}
			windows = append(windows, w)
		}
	}
	sort.SliceStable(windows, func(i, j int) bool { return windows[i].start.Before(windows[j].start) })
	for i := range windows {
		c.checkOverlap(windows[:i+1])
	}
}

// checkOverlap reports models that no endpoint can hold when the last of the windows opens.
func (c *checker) checkOverlap(windows []window) {
	at := windows[len(windows)-1]
	down := make(map[string]bool)
	var names []string
	for _, w := range windows {
		if w.end.After(at.start) {
			names = append(names, w.name)
			for h := range w.hosts {
				down[h] = true
			}
		}
	}
	var before, after Bytes // largest endpoint with and without the windows
	var total, need Bytes
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if e.Leaving {
			continue
		}
		before = max(before, e.Memory)
		if !down[e.Host] {
			after = max(after, e.Memory)
			total += e.Memory
		}
	}
	var lost []string
	for i := range c.Models {
		need += c.Models[i].Memory
		if c.Models[i].Memory <= before && c.Models[i].Memory > after {
			lost = append(lost, c.Models[i].Name)
		}
	}
	with := strings.Join(names, ", ")
	switch {
	case len(lost) > 0:
		c.fail("maintenance/"+at.name, "hosts", "during %s no endpoint in any availability zone can hold %s", with, abbreviate(lost))
	case need > total && len(c.Models) > 0:
		c.fail("maintenance/"+at.name, "hosts", "during %s the remaining endpoints hold %d bytes, all models need %d bytes", with, total, need)
	}
}

func abbreviate(names []string) string {
	if len(names) > 3 {
		return strings.Join(names[:3], ", ") + " and others"
	}
	return strings.Join(names, ", ")
}
