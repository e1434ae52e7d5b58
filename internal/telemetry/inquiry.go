package telemetry

import (
	"maps"
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

// maxWireDecisions limits the decisions in one reply, so that its size stays far below the limit on frames.
const maxWireDecisions = 1000

// ToWire converts the last maxWireDecisions of a list, which has the oldest first, for a reply to another process.
func ToWire(decisions []Decision) []wire.Decision {
	decisions = decisions[max(0, len(decisions)-maxWireDecisions):]
	out := make([]wire.Decision, 0, len(decisions))
	for _, d := range decisions {
		w := wire.Decision{UnixMicro: d.Time.UnixMicro(), Part: d.Part, Subject: d.Subject, Decision: d.Decision, Reason: d.Reason}
		for _, k := range slices.Sorted(maps.Keys(d.Fields)) {
			w.Fields = append(w.Fields, wire.DecisionField{Name: k, Value: d.Fields[k]})
		}
		out = append(out, w)
	}
	return out
}

// FromWire converts the decisions of another process and adds the name of that process as the field "process".
func FromWire(process string, decisions []wire.Decision) []Decision {
	out := make([]Decision, 0, len(decisions))
	for _, d := range decisions {
		fields := map[string]string{"process": process}
		for _, f := range d.Fields {
			fields[f.Name] = f.Value // the field "process" may already name a process that the other one asked
		}
		out = append(out, Decision{
			Time: time.UnixMicro(d.UnixMicro).UTC(), Part: d.Part, Subject: d.Subject, Decision: d.Decision, Reason: d.Reason, Fields: fields,
		})
	}
	return out
}

// SortDecisions sorts decisions by time, oldest first. The clocks of hosts differ, so the order of decisions of different
// processes is approximate.
func SortDecisions(decisions []Decision) {
	slices.SortStableFunc(decisions, func(a, b Decision) int { return a.Time.Compare(b.Time) })
}
