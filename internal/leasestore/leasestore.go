// Package leasestore carries out the actions of a lease.Machine at a store.
package leasestore

import (
	"context"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/lease"
	"sycamoredeal/internal/objects"
)

// Store is the part of a store that a lease needs. Its methods return the errors of package objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (objects.Object, error)
	Create(ctx context.Context, o objects.Object) (objects.Object, error)
	Update(ctx context.Context, o objects.Object) (objects.Object, error)
}

// restorable is implemented by stores that may return from an older copy of themselves.
type restorable interface {
	// Generation returns the generation of the store's content, which rises each time.
	Generation() uint64
}

// Lease identifies the object of one lease in a store.
type Lease struct {
	Store       Store
	Kind, Name  string
	CallTimeout time.Duration        // time limit of one call to the store
	Now         func() time.Duration // clock of the machine
}

// Step carries out the next action of the machine, if one is due, and reports the result to the machine. It returns the
// error of the call, which the machine has been told of already; an object that a read does not find is no error.
func (l *Lease) Step(ctx context.Context, m *lease.Machine) error {
	l.updateGeneration(m)
	a := m.Next(l.Now())
	if a.Kind == lease.None {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.CallTimeout)
	defer cancel()
	rec, version, err := l.call(ctx, a)
	l.updateGeneration(m)
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

// updateGeneration tells the machine the generation of the store's content.
func (l *Lease) updateGeneration(m *lease.Machine) {
	if s, ok := l.Store.(restorable); ok {
		m.SetGeneration(l.Now(), s.Generation())
	}
}

// call carries out an action, and returns the record that is stored then with its version.
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
