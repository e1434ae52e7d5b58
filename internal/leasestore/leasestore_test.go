package leasestore

import (
	"context"
	"errors"
	"testing"
	"time"

	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/objects"
)

// fakeStore is a store with at most one object. Its calls fail with err if that is set.
type fakeStore struct {
	object  *objects.Object
	version int
	err     error
}

func (s *fakeStore) Get(context.Context, string, string) (objects.Object, error) {
	switch {
	case s.err != nil:
		return objects.Object{}, s.err
	case s.object == nil:
		return objects.Object{}, objects.ErrNotFound
	}
	return *s.object, nil
}

func (s *fakeStore) Create(ctx context.Context, o objects.Object) (objects.Object, error) {
	if s.object != nil {
		return objects.Object{}, objects.ErrConflict
	}
	return s.Update(ctx, o)
}

func (s *fakeStore) Update(_ context.Context, o objects.Object) (objects.Object, error) {
	if s.err != nil {
		return objects.Object{}, s.err
	}
	s.version++
	o.Version = string(rune('0' + s.version))
	s.object = &o
	return o, nil
}

// TestStep guards against a lease that is never acquired while its object does not exist, and against a failed call that
// is not reported to the machine, which would then believe that it still holds the lease.
func TestStep(t *testing.T) {
	now := time.Duration(0)
	s := &fakeStore{}
	l := Lease{Store: s, Kind: "k", Name: "n", CallTimeout: time.Second, Now: func() time.Duration { return now }}
	m := lease.New(lease.Config{
		Host: "h", Incarnation: 1, Term: time.Second, RenewInterval: 300 * time.Millisecond, Margin: 100 * time.Millisecond, HolderTimeout: 500 * time.Millisecond, Seed: 1,
	})
	for ; now < 5*time.Second && m.HeldEpoch(now) == 0; now += 50 * time.Millisecond {
		if err := l.Step(t.Context(), m); err != nil {
			t.Fatal(err) // a lease object that does not exist is no error
		}
	}
	if m.HeldEpoch(now) == 0 || s.object == nil {
		t.Fatal("a lease whose object does not exist was not acquired")
	}
	s.err = objects.ErrUnavailable
	failed := false
	for end := now + 3*time.Second; now < end; now += 50 * time.Millisecond {
		failed = errors.Is(l.Step(t.Context(), m), objects.ErrUnavailable) || failed
	}
	if !failed || m.HeldEpoch(now) != 0 {
		t.Errorf("after failed renewals: error returned %v, held epoch %d", failed, m.HeldEpoch(now))
	}
}
