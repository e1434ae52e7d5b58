package host

import (
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
)

// listedHost returns a listed host whose process started at a time in seconds.
func listedHost(name string, start float64) fleet.Host {
	return fleet.Host{Name: name, Address: name + ":1", Incarnation: uint64(start*float64(time.Second)) + 1}
}

// TestDispatcherChoice plays what a host knows when it chooses its dispatcher, and guards against a choice that other hosts do
// not share, a switch of all hosts while their dispatcher works, and a wait for hosts that do not answer.
func TestDispatcherChoice(t *testing.T) {
	const now = 1000.0
	self := listedHost("h5", now)
	old1, old2 := listedHost("h1", 1), listedHost("h2", 2)
	fresh3, fresh4 := listedHost("h3", now-0.2), listedHost("h4", now-0.1)
	strong := fleet.Host{Name: "h9", Incarnation: 9, MilliCores: 2 * strengthClassSize}
	reports := func(h fleet.Host) dispatcherReport { return dispatcherReport{true, h, true} }
	for _, c := range []struct {
		name       string
		choice     dispatcherChoice
		clients    []string
		excluded   []string
		doubted    []string
		want       fleet.Host
		wantAtOnce bool
		wantNone   bool
	}{
		{name: "a host that starts in a running fleet asks the first one",
			choice: dispatcherChoice{starting: true, hosts: []fleet.Host{old1, old2}}, want: old1, wantAtOnce: true},
		{name: "also once it is listed itself",
			choice: dispatcherChoice{starting: true, listed: true, hosts: []fleet.Host{old1, old2, self}}, want: old1, wantAtOnce: true},
		{name: "hosts that start together use the first of them, not the earlier ones that may not run yet",
			choice: dispatcherChoice{starting: true, hosts: []fleet.Host{old1, fresh3, fresh4}}, want: fresh3, wantAtOnce: true},
		{name: "also if a host started again shortly before all failed",
			choice: dispatcherChoice{starting: true, hosts: []fleet.Host{listedHost("h1", now-3), fresh3, fresh4}}, want: fresh3, wantAtOnce: true},
		{name: "a host that may not be the first to start waits",
			choice: dispatcherChoice{starting: true, hosts: []fleet.Host{self}}, wantNone: true},
		{name: "the first to start is its own dispatcher",
			choice: dispatcherChoice{starting: true, listed: true, hosts: []fleet.Host{self, fresh3}}, want: self, wantAtOnce: true},
		{name: "also if earlier hosts do not answer",
			choice: dispatcherChoice{starting: true, listed: true, age: earlierGrace, hosts: []fleet.Host{old1, self}}, want: self, wantAtOnce: true},
		{name: "at once if others use it",
			choice: dispatcherChoice{starting: true, listed: true, hosts: []fleet.Host{old1, self, fresh4}}, clients: []string{"h4"}, want: self, wantAtOnce: true},
		{name: "a dispatcher that serves its own host is kept although another comes before it",
			choice: dispatcherChoice{inUse: &old2, report: reports(old2), hosts: []fleet.Host{old1, old2, self}}, want: old2, wantAtOnce: true},
		{name: "the dispatcher that it reports is used",
			choice: dispatcherChoice{inUse: &old1, report: reports(old2), hosts: []fleet.Host{old1, old2, self}}, want: old2, wantAtOnce: true},
		{name: "unless that one may not serve",
			choice: dispatcherChoice{inUse: &old1, report: dispatcherReport{known: true, host: old2}, hosts: []fleet.Host{old1, old2, self}}, want: old1},
		{name: "or failed here",
			choice: dispatcherChoice{inUse: &old2, report: reports(old1), hosts: []fleet.Host{old1, old2, self}}, excluded: []string{"h1"}, want: old2},
		{name: "of two hosts that use each other, the first by name serves, and the other one only after a delay",
			choice: dispatcherChoice{inUse: &fresh4, report: reports(self), hosts: []fleet.Host{old1, fresh4}}, want: self},
		{name: "or the stronger one",
			choice: dispatcherChoice{inUse: &strong, report: reports(self), hosts: []fleet.Host{old1, fresh4}}, want: self},
		{name: "a stronger host takes over from a dispatcher that all use",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{strong, old1, self}}, clients: []string{"h1", "h9"}, want: strong},
		{name: "unless it has failed before",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{strong, old1, self}}, clients: []string{"h1", "h9"}, doubted: []string{"h9"}, want: self},
		{name: "the second of two that use each other",
			choice: dispatcherChoice{inUse: &fleet.Host{Name: "h6"}, report: reports(self), hosts: []fleet.Host{old1}}, want: self, wantAtOnce: true},
		{name: "a dispatcher that all use goes on",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{old1, old2, self}}, clients: []string{"h1", "h2"}, want: self},
		{name: "it turns to a host before it that does not use it",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{old1, old2, self}}, clients: []string{"h1"}, want: old2},
		{name: "it does not turn to a host after it",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{old1, self, fresh4}}, clients: []string{"h1"}, want: self},
		{name: "unless no other host uses it",
			choice: dispatcherChoice{inUse: &self, hosts: []fleet.Host{self, fresh3, fresh4}}, excluded: []string{"h3"}, want: fresh4},
		{name: "after the loss of a dispatcher, hosts that never failed come first",
			choice: dispatcherChoice{hosts: []fleet.Host{old1, old2, fresh3}}, doubted: []string{"h1"}, excluded: []string{"h2"}, want: fresh3},
		{name: "then those that failed long ago",
			choice: dispatcherChoice{hosts: []fleet.Host{old1, old2}}, doubted: []string{"h2"}, excluded: []string{"h1"}, want: old2},
		{name: "a host that stops leaves its own dispatcher once it is no longer listed",
			choice: dispatcherChoice{inUse: &self, leaving: true, hosts: []fleet.Host{old1}}, clients: []string{"h1"}, want: old1},
	} {
		c.choice.self = self
		c.choice.hasClient = func(name string) bool { return slices.Contains(c.clients, name) }
		c.choice.trust = func(h fleet.Host) trust {
			switch {
			case slices.Contains(c.excluded, h.Name):
				return excluded
			case slices.Contains(c.doubted, h.Name):
				return doubted
			}
			return trusted
		}
		got, atOnce, ok := c.choice.choose()
		if ok == c.wantNone || ok && (!sameHost(got, c.want) || atOnce != c.wantAtOnce) {
			t.Errorf("%s: chose %q, at once %v, chosen %v", c.name, got.Name, atOnce, ok)
		}
	}
}

// TestSuspectsByProcess guards against a host that is passed over after it has started again: the failure was that of its
// earlier process.
func TestSuspectsByProcess(t *testing.T) {
	s, now := make(suspects), time.Now()
	first, second := listedHost("h1", 1), listedHost("h1", 2)
	until := s.recordFailure(first, first, now)
	if got := s.trust(first, now); got != excluded {
		t.Errorf("trust %v in a process that failed", got)
	}
	if got := s.trust(first, until.Add(1)); got != doubted {
		t.Errorf("trust %v in a process that failed some time ago", got)
	}
	if got := s.trust(second, now); got != trusted {
		t.Errorf("trust %v in a process that started after the failure", got)
	}
	if again := s.recordFailure(first, first, now).Sub(now); again != 2*minSuspectTime {
		t.Errorf("excluded for %s after the second failure", again)
	}
	// The second process answers while the first one is still listed, and fails.
	if next := s.recordFailure(second, first, now).Sub(now); next != minSuspectTime {
		t.Errorf("excluded for %s after the first failure of a process", next)
	}
	if s.trust(first, now) != excluded || s.trust(second, now) != excluded {
		t.Error("a process that failed is trusted under its own or its listed incarnation")
	}
	s.recordEnd(first, now)
	if s.trust(first, now) != excluded || s.trust(second, now) != trusted {
		t.Error("a process that ended is trusted, or its successor is not")
	}
}
