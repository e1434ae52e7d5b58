package telemetry

import (
	"maps"
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

// maxWireDecisions bounds the decisions in one reply, so that it stays far below the largest frame.
const maxWireDecisions = 1000

// ToWire returns the latest decisions for a reply to another process.
func ToWire(list []Decision) []wire.Decision {
	list = list[max(0, len(list)-maxWireDecisions):]
	out := make([]wire.Decision, 0, len(list))
	for _, d := range list {
		w := wire.Decision{UnixMicro: d.Time.UnixMicro(), Part: d.Part, Subject: d.Subject, Decision: d.Decision, Reason: d.Reason}
		for _, k := range slices.Sorted(maps.Keys(d.Fields)) {
			w.Fields = append(w.Fields, wire.DecisionField{Name: k, Value: d.Fields[k]})
		}
		out = append(out, w)
	}
	return out
}

// FromWire returns the decisions of another process, marked with the name of that process.
func FromWire(process string, list []wire.Decision) []Decision {
	out := make([]Decision, 0, len(list))
	for _, d := range list {
		fields := map[string]string{"process": process}
		for _, f := range d.Fields {
			fields[f.Name] = f.Value // may name the process that the other one asked
		}
		out = append(out, Decision{
			Time: time.UnixMicro(d.UnixMicro).UTC(), Part: d.Part, Subject: d.Subject, Decision: d.Decision, Reason: d.Reason, Fields: fields,
		})
	}
	return out
}

// SortDecisions orders decisions by time, oldest first. Clocks of hosts differ, so the order of decisions of different
// processes is approximate.
func SortDecisions(list []Decision) {
	slices.SortStableFunc(list, func(a, b Decision) int { return a.Time.Compare(b.Time) })
}
