package host

import (
	"slices"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// This file chooses the dispatcher that a host uses.
//
// The load pattern: all hosts of a fleet start at once, or one after another within a second or two, and the store still lists
// their earlier processes. Each host lists the hosts once, at another moment than the others, so that each sees another first
// entry. The hosts agree because each dispatcher says whether its own host uses it or, if not, which other one that host
// uses: hosts follow this if that one serves its own host, and stay with a dispatcher that serves its own host although
// another is listed before it.

const (
	// freshWindow is the difference of the start times of two processes within which they count as started together. A
	// longer one includes hosts that had started again shortly before all of them failed.
	freshWindow = 2 * time.Second
	// earlierGrace is the time after the start for which a host tries the hosts that started long before it, before it
	// becomes its own dispatcher.
	earlierGrace = 100 * time.Millisecond
)

// trust is how far a host is trusted as dispatcher.
type trust uint8

const (
	trusted  trust = iota
	doubted        // failed, and has not been in use since
	excluded       // failed recently
)

// dispatcherReport is what a dispatcher says about the dispatcher that its own host uses.
type dispatcherReport struct {
	known  bool
	host   fleet.Host
	serves bool // that dispatcher is used by its own host
}

// newDispatcherReport reads the report in a state that the dispatcher on host from has sent.
func newDispatcherReport(from fleet.Host, m *wire.FleetState) dispatcherReport {
	switch {
	case m.Serving:
		return dispatcherReport{true, from, true}
	case m.Successor != nil:
		return dispatcherReport{true, fleet.Host{Name: m.Successor.Name, Address: m.Successor.Address, Incarnation: m.Successor.Incarnation,
			MilliCores: int(m.Successor.MilliCores)}, m.SuccessorServes}
	}
	return dispatcherReport{}
}

// dispatcherChoice is what a host knows when it chooses its dispatcher.
type dispatcherChoice struct {
	self      fleet.Host
	hosts     []fleet.Host      // as listed, in the order in which they become the dispatcher
	inUse     *fleet.Host       // nil if there is none
	report    dispatcherReport  // of the dispatcher in use, if it is on another host
	starting  bool              // there was no dispatcher in use since the start
	age       time.Duration     // time since the start
	listed    bool              // hosts shows all that registered before this one, or this is no longer waited for
	leaving   bool              // this host is stopping
	hasClient func(string) bool // reports whether a host uses the dispatcher of this one
	trust     func(fleet.Host) trust
}

// choose returns the dispatcher to use, and whether to switch to it without delay. ok is false while none can be chosen.
func (c *dispatcherChoice) choose() (want fleet.Host, atOnce, ok bool) {
	switch {
	case c.inUse != nil && c.inUse.Name == c.self.Name && !c.leaving:
		return c.chooseServing(), false, true
	case c.inUse != nil && c.report.known:
		if want, atOnce, ok := c.follow(); ok {
			return want, atOnce, true
		}
	case c.inUse == nil && c.starting:
		want, ok := c.chooseStarting()
		return want, true, ok
	}
	return c.chooseListed(), false, true
}

// follow returns the dispatcher that the dispatcher in use reports, and false if that can't be used.
func (c *dispatcherChoice) follow() (want fleet.Host, atOnce, ok bool) {
	r := c.report.host
	switch {
	case sameHost(r, *c.inUse):
		return *c.inUse, true, true
	case r.Name != c.self.Name:
		return r, true, c.report.serves && c.trust(r) != excluded
	case r.Incarnation != c.self.Incarnation || c.leaving:
		return fleet.Host{}, false, false
	}
	// Each of the two uses the other. One of them serves at once, and the other one if that does not happen.
	x, y := strengthClass(c.self), strengthClass(*c.inUse)
	return c.self, x > y || x == y && c.self.Name < c.inUse.Name, true
}

// strengthClass returns the class of hosts that count as equally strong. Hosts of a higher class are preferred.
func strengthClass(h fleet.Host) int { return h.MilliCores / strengthClassSize }

// chooseServing returns the dispatcher for a host that uses its own. It stays with it unless a host that comes before it does
// not use it, or no other host uses it: then another dispatcher serves at the same time. A stronger host takes over.
func (c *dispatcherChoice) chooseServing() fleet.Host {
	alone := c.alone()
	for _, h := range c.hosts {
		switch {
		case h.Name == c.self.Name:
			if !alone {
				return c.self
			}
		case c.hasClient(h.Name):
			if strengthClass(h) > strengthClass(c.self) && c.trust(h) == trusted {
				return h
			}
		case c.trust(h) != excluded:
			return h
		}
	}
	return c.self
}

// chooseStarting returns the first dispatcher for a host that starts: the first of the hosts that have started with it, else the
// first listed one, which uses or is the dispatcher of a fleet that is running.
func (c *dispatcherChoice) chooseStarting() (fleet.Host, bool) {
	var earlier, fresh *fleet.Host
	for i := range c.hosts {
		h := &c.hosts[i]
		if h.Name != c.self.Name && c.trust(*h) == excluded {
			continue
		}
		switch together := c.startedTogether(h); {
		case together && fresh == nil:
			fresh = h
		case !together && earlier == nil:
			earlier = h
		}
	}
	switch {
	case fresh != nil && fresh.Name != c.self.Name:
		return *fresh, true
	case earlier != nil && (!c.listed || c.age < earlierGrace && c.alone()):
		return *earlier, true
	}
	return c.self, c.listed
}

// alone reports whether no other host uses the dispatcher of this one.
func (c *dispatcherChoice) alone() bool {
	return !slices.ContainsFunc(c.hosts, func(h fleet.Host) bool { return h.Name != c.self.Name && c.hasClient(h.Name) })
}

// startedTogether reports whether the process of a listed host started within freshWindow of this one.
func (c *dispatcherChoice) startedTogether(h *fleet.Host) bool {
	return time.Duration(h.Incarnation-c.self.Incarnation).Abs() < freshWindow // incarnations are start times in nanoseconds
}

// chooseListed returns the first listed host that has not failed, else the first that has not failed recently. A host that
// knows no others is its own dispatcher.
func (c *dispatcherChoice) chooseListed() fleet.Host {
	for _, limit := range []trust{trusted, doubted} {
		for _, h := range c.hosts {
			if h.Name == c.self.Name || c.trust(h) <= limit {
				return h
			}
		}
	}
	return c.self
}
