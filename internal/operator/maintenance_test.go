package operator

import (
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/config"
)

// Guards against a window that looks safe to open while a model has no copy outside of it, or requests are running.
func TestWindowObstacles(t *testing.T) {
	d := config.Declarations{
		Endpoints:   []config.Endpoint{{Name: "e1", Host: "g1"}, {Name: "e2", Host: "g2"}, {Name: "e3", Host: "g3"}, {Name: "e4", Host: "g1"}},
		Maintenance: []config.Maintenance{{Name: "soon", Start: time.Now().Add(time.Minute), End: time.Now().Add(time.Hour)}, {Name: "power", Hosts: []string{"g1"}, Start: time.Now(), End: time.Now().Add(time.Hour)}},
	}
	status := &Status{Endpoints: []EndpointStatus{
		{Name: "e1", Residents: names{"both", "only", "inside", "leaving"}, Running: 2, Waiting: 1},
		{Name: "e2", Residents: names{"both", "other"}, Running: 7},
		{Name: "e3", Residents: names{"leaving"}, Leaving: true},
		{Name: "e4", Residents: names{"inside"}},
	}}
	w := Windows(d, status, time.Now())[0]
	if s := Windows(d, status, time.Now())[1].State; s != "draining" {
		t.Errorf("a window without a declared drain is %s a minute before its start, want draining by the default", s)
	}
	if want := []string{"only", "inside", "leaving"}; !slices.Equal(w.OnlyCopies, want) {
		t.Errorf("without another copy: %v, want %v", w.OnlyCopies, want)
	}
	if w.InProgress != 3 {
		t.Errorf("%d requests in progress, want 3", w.InProgress)
	}
	if w := Windows(d, nil, time.Now())[0]; w.OnlyCopies == nil || len(w.OnlyCopies) > 0 {
		t.Errorf("without a status: %v, want an empty list", w.OnlyCopies)
	}
}
