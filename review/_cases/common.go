package main

import (
	"maps"
	"slices"

	"sycamoredeal/platform/platformtest"
)

// observer records the requests that reach servers.
type observer struct{ l *lab }

func (o observer) RequestArrived(r platformtest.Arrival) {
	o.l.record.printf("request %s reaches %s, ran %v", r.ID, r.Server, r.Ran)
}

func (o observer) RequestEnded(r platformtest.Arrival, senderGone bool) {
	o.l.record.printf("run of request %s ends at %s, sender gone %v", r.ID, r.Server, senderGone)
}

func (observer) OrderReceived(platformtest.ReceivedOrder) {}

// configWith returns the configuration of the stand-ins with the given fields of the booking and lookup routes changed.
func configWith(version int, fields map[string]any) map[string]any {
	c := platformtest.Config(version, 2, 0)
	for _, r := range c["routes"].([]any) {
		if route := r.(map[string]any); route["service"] == platformtest.PlainService {
			for k, v := range fields {
				route[k] = v
			}
		}
	}
	return c
}

// newRoutePath is the path of the route that is added later.
const newRoutePath = "/drafts/"

// addRoute adds the new route to a configuration: a copy of the first route with another path.
func addRoute(config map[string]any) {
	routes := config["routes"].([]any)
	added := maps.Clone(routes[0].(map[string]any))
	added["name"], added[`path_prefix`] = "drafts", newRoutePath
	config["routes"] = append(slices.Clone(routes), added)
}
