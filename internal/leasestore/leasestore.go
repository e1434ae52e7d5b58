// Package leasestore carries the actions of a lease machine out at a store.
package leasestore

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/objects"
)

// Store is what a lease needs of a store. Errors are those of package objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	Create(ctx context.Context, o objects.Object) (objects.Object, error)
	Update(ctx context.Context, o objects.Object) (objects.Object, error)
}

// Lease is the object of one lease.
type Lease struct {
	Store      Store
	Kind, Name string
	CallTimeout    time.Duration        // of a call
	Now        func() time.Duration // the clock of the machine
}

// Step carries out the action that is due and tells the machine what came of it. The error is that of the call; the
// machine has taken it into account.
func (l *Lease) Step(ctx context.Context, m *lease.Machine) error {
	a := m.Next(l.Now())
	if a.Kind == lease.None {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.CallTimeout)
	defer cancel()
	rec, version, err := l.call(ctx, a)
	now := l.Now()
	switch {
	case err == nil && a.Kind == lease.Write:
		m.OnWritten(now, rec, version)
	case err == nil:
		m.OnRead(now, rec, version)
	case errors.Is(err, objects.ErrNotFound) && a.Kind == lease.Read:
		m.OnNotFound(now)
		return nil
	default:
		m.OnError(now, a.Kind == lease.Write)
	}
	return err
}

func (l *Lease) call(ctx context.Context, a lease.Action) (lease.Record, string, error) {
	var o objects.Object
	var err error
	if a.Kind == lease.Read {
		o, err = l.Store.Get(ctx, l.Kind, l.Name)
	} else if o, err = objects.Encode(l.Kind, l.Name, a.Version, a.Record); err == nil {
		if a.Version == "" {
			o, err = l.Store.Create(ctx, o)
		} else {
			o, err = l.Store.Update(ctx, o)
		}
	}
	if err != nil {
		return lease.Record{}, "", err
	}
	rec, err := objects.Decode[lease.Record](o)
	return rec, o.Version, err
}
