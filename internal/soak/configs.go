package soak

import (
	"fmt"
	"net/http"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Each version of the configuration has a route of its own, which its next version keeps and the one after that drops.
// Requests on these routes show which version a host works with.

// versionPath returns the path of a version's route.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// configuration returns a version of the configuration.
func configuration(version int) map[string]any {
	c := platformtest.Config(version, models, adapters)
	for v := max(version-1, 1); v <= version; v++ {
		platformtest.AddLookupRoute(c, fmt.Sprint("v", v), versionPath(v))
	}
	return c
}

type seenVersion struct {
	version int
	at      time.Time
}

// configAudit follows which versions hosts work with.
type configAudit struct {
	newest       int
	acknowledged map[int]time.Time
	seen         map[string]seenVersion // highest version by process, and when it was first seen
}

// Configured notes that the store has acknowledged a version.
func (a *Audit) Configured(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configs.newest = version
	a.configs.acknowledged[version] = time.Now()
}

// Newest returns the newest version.
func (a *Audit) Newest() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configs.newest
}

// Probed checks the answer of a process to a request on the route of a version.
func (a *Audit) Probed(process string, version int, o platformtest.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &a.configs
	seen := c.seen[process]
	served := o.Status >= 200 && o.Status < 300
	switch {
	case served && seen.version >= version+2 && o.StartedAt.After(seen.at):
		a.violate("CONFIG", "%s went back: it served version %d after %d", process, version, seen.version)
	case o.Status == http.StatusNotFound && seen.version == version && o.StartedAt.After(seen.at) && c.newest <= version+1:
		a.violate("CONFIG", "%s went back: version %d, which it has served, is not found", process, version)
	case served && c.late(version+2, o.StartedAt) && a.calm(c.acknowledged[version+2], o.StartedAt):
		a.violate("CONFIG", "%s served version %d, %v after version %d", process, version, o.StartedAt.Sub(c.acknowledged[version+2]), version+2)
	case o.Status == http.StatusNotFound && c.late(version, o.StartedAt) && c.newest <= version+1 && a.calm(c.acknowledged[version], o.StartedAt):
		a.violate("CONFIG", "%s does not know version %d after %v", process, version, o.StartedAt.Sub(c.acknowledged[version]))
	}
	if served && version > seen.version {
		c.seen[process] = seenVersion{version, time.Now()}
	}
}

// late tells whether a version should have been in force at a time.
func (c *configAudit) late(version int, at time.Time) bool {
	ack, ok := c.acknowledged[version]
	return ok && at.Sub(ack) > applyWithin
}
