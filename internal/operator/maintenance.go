package operator

import (
	"context"
	"slices"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/wire"
)

// WindowStatus is a declared window with the endpoints on its hosts.
type WindowStatus struct {
	Name      string           `json:"name"`
	Start     time.Time        `json:"start"`
	End       time.Time        `json:"end"`
	Drain     string           `json:"drain"`
	State     string           `json:"state"` // planned, draining, open or past
	Hosts     []string         `json:"hosts"`
	Endpoints []EndpointStatus `json:"endpoints"` // residents and intents as far as a status was given
	Services  []string         `json:"services,omitempty"`

	// OnlyCopies are the models and adapters that no endpoint outside the window's hosts holds; the window must not open
	// before they are copied. InProgress counts the requests on the window's endpoints. Both need a status.
	OnlyCopies []string `json:"onlyCopies"`
	InProgress int      `json:"inProgress"`
}

// StoredDeclarations returns the declarations of the stored head.
func StoredDeclarations(ctx context.Context, store objects.Store) (config.Declarations, error) {
	head, err := LoadHead(ctx, store)
	if err != nil {
		return config.Declarations{}, err
	}
	got, err := fetch(ctx, store, head.digests())
	if err != nil {
		return config.Declarations{}, err
	}
	var files []wire.File
	for _, f := range got {
		files = append(files, f)
	}
	d, findings := config.Check(files)
	return d, findings.Err()
}

// Windows lists the declared maintenance windows by start with what is still on their hosts.
func Windows(d config.Declarations, status *Status, now time.Time) []WindowStatus {
	var out []WindowStatus
	for _, m := range d.Maintenance {
		w := WindowStatus{Name: m.Name, Start: m.Start, End: m.End, Drain: placement.Drain(&m).String(), State: windowState(m, now), Hosts: m.Hosts}
		for _, e := range d.Endpoints {
			if slices.Contains(m.Hosts, e.Host) {
				w.Endpoints = append(w.Endpoints, endpointStatus(e, status))
			}
		}
		for _, s := range d.Services {
			for _, e := range s.Endpoints {
				if slices.Contains(m.Hosts, e.Host) {
					w.Services = append(w.Services, e.Name)
				}
			}
		}
		w.obstacles(status)
		out = append(out, w)
	}
	slices.SortStableFunc(out, func(a, b WindowStatus) int { return a.Start.Compare(b.Start) })
	return out
}

// obstacles finds what is still in the way of a window.
func (w *WindowStatus) obstacles(status *Status) {
	w.OnlyCopies = []string{}
	if status == nil {
		return
	}
	inside := make(map[string]bool)
	for _, e := range w.Endpoints {
		inside[e.Name] = true
		w.InProgress += e.Running + e.Waiting
	}
	elsewhere := make(map[string]bool)
	for _, e := range status.Endpoints {
		for _, r := range e.Residents {
			elsewhere[r] = elsewhere[r] || !inside[e.Name] && !e.Leaving
		}
	}
	for _, e := range w.Endpoints {
		for _, r := range e.Residents {
			if !elsewhere[r] && !slices.Contains(w.OnlyCopies, r) {
				w.OnlyCopies = append(w.OnlyCopies, r)
			}
		}
	}
}

func endpointStatus(e config.Endpoint, status *Status) EndpointStatus {
	out := EndpointStatus{Name: e.Name, Host: e.Host, Leaving: e.Leaving}
	if status == nil {
		return out
	}
	for _, s := range status.Endpoints {
		if s.Name == e.Name {
			s.Host = e.Host
			return s
		}
	}
	return out
}

func windowState(m config.Maintenance, now time.Time) string {
	switch {
	case !now.Before(m.End):
		return "past"
	case !now.Before(m.Start):
		return "open"
	case !now.Before(m.Start.Add(-placement.Drain(&m))):
		return "draining"
	}
	return "planned"
}
