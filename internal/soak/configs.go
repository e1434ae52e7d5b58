package soak

import (
	"fmt"
	"net/http"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Each configuration version adds a route of its own. The next version still has that route, and the one after that drops it.
// Requests for these routes show which version a host uses.

// versionPath returns the path of the route that a version adds.
func versionPath(version int) string { return fmt.Sprintf("/v%d/", version) }

// configuration returns the configuration with the given version.
func configuration(version int) map[string]any {
	c := platformtest.Config(version, models, adaptersPerModel)
	for v := max(version-1, 1); v <= version; v++ {
		platformtest.AddLookupRoute(c, fmt.Sprint("v", v), versionPath(v))
	}
	return c
}

// servedVersion is a version and the time at which a process was first seen to serve its route.
type servedVersion struct {
	version int
	at      time.Time
}

// configAudit tracks which versions are stored and which ones the host processes use.
type configAudit struct {
	newest         int
	acknowledgedAt map[int]time.Time        // by version
	newestServed   map[string]servedVersion // highest version by process
}

// RecordVersion records that the store has acknowledged a version.
func (a *Audit) RecordVersion(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configs.newest = version
	a.configs.acknowledgedAt[version] = time.Now()
}

// NewestVersion returns the newest acknowledged version.
func (a *Audit) NewestVersion() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.configs.newest
}

// CheckProbe checks the answer of a host process to a request for the route of a version.
func (a *Audit) CheckProbe(process string, version int, o platformtest.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &a.configs
	highest := c.newestServed[process]
	served := o.Status >= 200 && o.Status < 300
	switch {
	case served && highest.version >= version+2 && o.StartedAt.After(highest.at):
		a.reportLocked("CONFIG", "%s reverted to an older configuration: it served version %d after version %d", process, version, highest.version)
	case o.Status == http.StatusNotFound && highest.version == version && o.StartedAt.After(highest.at) && c.newest <= version+1:
		a.reportLocked("CONFIG", "%s reverted to an older configuration: version %d, which it had served, is not found", process, version)
	case served && c.overdue(version+2, o.StartedAt) && a.faultFreeLocked(c.acknowledgedAt[version+2], o.StartedAt):
		a.reportLocked("CONFIG", "%s served version %d %v after version %d was stored", process, version, o.StartedAt.Sub(c.acknowledgedAt[version+2]), version+2)
	case o.Status == http.StatusNotFound && c.overdue(version, o.StartedAt) && c.newest <= version+1 && a.faultFreeLocked(c.acknowledgedAt[version], o.StartedAt):
		a.reportLocked("CONFIG", "%s does not serve version %d, which was stored %v earlier", process, version, o.StartedAt.Sub(c.acknowledgedAt[version]))
	}
	if served && version > highest.version {
		c.newestServed[process] = servedVersion{version, time.Now()}
	}
}

// overdue reports whether all hosts should have been using a version, or a newer one, at a given time.
func (c *configAudit) overdue(version int, at time.Time) bool {
	ack, ok := c.acknowledgedAt[version]
	return ok && at.Sub(ack) > configApplyLimit
}
