package placement

import (
	"slices"
	"time"

	"sycamoredeal/internal/config"
)

// DefaultDrain is the time between the end of new work on a host and the start of its maintenance window if the
// declaration gives none.
const DefaultDrain = 2 * time.Minute

// Drain returns the time between the end of new work on a window's hosts and its start.
func Drain(m *config.Maintenance) time.Duration {
	if m.Drain <= 0 {
		return DefaultDrain
	}
	return m.Drain
}

// stage tells how far an endpoint is on its way out.
type stage uint8

const (
	stageServing  stage = iota
	stageVacating       // serves, but its copies don't count and it gets no new ones
	stageLeaving        // gets no new work
)

// Reasons why an endpoint takes no new work.
const (
	ReasonDeclared = "declared leaving"
	reasonReported = "its report says that it drains"
)

// LeavingReason tells why the planner lets an endpoint take no new work.
func LeavingReason(snap *config.Snapshot, e *config.Endpoint, now time.Time) string {
	if e.Leaving {
		return ReasonDeclared
	}
	for i := range snap.Maintenance {
		m := &snap.Maintenance[i]
		if slices.Contains(m.Hosts, e.Host) && now.Before(m.End) && !now.Before(m.Start.Add(-Drain(m))) {
			return "maintenance window " + m.Name
		}
	}
	return reasonReported
}

// maintenanceStage returns the stage of an endpoint by the declared windows. Copying starts so early that all of the
// endpoint's copies can be loaded elsewhere at half the rate of the weight store before new work stops.
func maintenanceStage(snap *config.Snapshot, e *config.Endpoint, copies int, rate float64, now time.Time) stage {
	out := stageServing
	for i := range snap.Maintenance {
		m := &snap.Maintenance[i]
		if !slices.Contains(m.Hosts, e.Host) || !now.Before(m.End) {
			continue
		}
		hosts := max(1, len(m.Hosts))
		lead := time.Minute + time.Duration(2*float64(copies*hosts)/rate*float64(time.Second))
		stop := m.Start.Add(-Drain(m))
		if !now.Before(stop) {
			return stageLeaving
		}
		if !now.Before(stop.Add(-lead)) {
			out = stageVacating
		}
	}
	return out
}
