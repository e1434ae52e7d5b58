package control

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/objects"
	platformstandin "sycamoredeal/internal/standin/platform"
	"sycamoredeal/internal/telemetry"
)

// lossy loses the answers of some updates after they took effect.
type lossy struct {
	objects.Store
	n atomic.Int32
}

func (s *lossy) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	o, err := s.Store.Update(ctx, o)
	if err == nil && s.n.Add(1)%5 == 0 {
		return objects.Object{}, objects.ErrUnavailable
	}
	return o, err
}

// TestJoinCell guards against cells that are too large, hosts in two cells, and cells across regions, when many hosts
// start at the same time and answers of the platform are lost.
func TestJoinCell(t *testing.T) {
	srv := httptest.NewServer(platformstandin.New())
	defer srv.Close()
	store := &lossy{Store: objects.NewClient(srv.URL, "")}
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	joined := make(map[string]string)
	for i := range 50 {
		wg.Go(func() {
			host := fmt.Sprint("h", i)
			cell, err := JoinCell(ctx, Options{Host: host, Region: fmt.Sprint("r", i%2), Store: store, Log: telemetry.Discard()})
			if err != nil {
				t.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			joined[host] = cell
		})
	}
	wg.Wait()
	list, _, err := store.List(ctx, objects.KindRoster)
	if err != nil || len(list) != 4 {
		t.Fatalf("%d cells, want 4: %v", len(list), err)
	}
	hosts := 0
	for _, o := range list {
		r, _ := objects.Decode[membership.Roster](o)
		if hosts += len(r.Members); len(r.Members) > membership.MaxCell {
			t.Errorf("%s has %d hosts", o.Name, len(r.Members))
		}
		for _, m := range r.Members {
			if joined[m.Host] != o.Name {
				t.Errorf("%s is in %s and joined %s", m.Host, o.Name, joined[m.Host])
			}
		}
	}
	if hosts != 50 {
		t.Errorf("%d hosts in rosters, want 50", hosts)
	}
}
