package planner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/placement"
	"sycamoredeal/internal/wire"
)

// object is the placement in memory and what is known of the stored one.
type object struct {
	state   wire.Placement
	version string // resource version that the state was read from or written as
	loaded  bool   // the planner has taken the placement over: state is its own
	known   bool   // the stored placement is the one of version
	unsaved bool   // state has changes whose update failed or is open
}

// settle makes the placement in memory equal to the stored one, or returns an error. The first time it takes the
// placement over by writing it with the planner's epoch, so that an update of the holder before fails.
func (p *planner) settle(ctx context.Context) error {
	o := &p.object
	if !o.known {
		if err := p.readBack(ctx); err != nil {
			return err
		}
	}
	if !o.loaded {
		p.ledger = placement.NewLedger(&o.state, time.Now())
		p.ledger.Bound = p.LateBound
		p.ledger.Takeover(p.epoch)
		p.sender = placement.Sender{}
		p.owners.known, p.owners.next = false, time.Time{} // owners must have been read after the placement
		o.loaded, o.unsaved = true, true
	}
	if o.unsaved {
		return p.store(ctx)
	}
	return nil
}

// readBack finds out what is stored: the state from before an open update, the result of the update, or something else.
// An update is recognised by epoch and version, because an epoch has one holder; other cells that write
// the placement count their writes in it.
func (p *planner) readBack(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o := &p.object
	got, err := p.Store.Get(ctx, objects.KindPlacement, p.Cell)
	if errors.Is(err, objects.ErrNotFound) {
		o.loaded, o.known, o.version, o.state = false, true, "", wire.Placement{Cell: p.Cell}
		return nil
	} else if err != nil {
		return errors.Annotate(err, "read the placement")
	}
	stored, err := objects.Decode[wire.Placement](got)
	if err != nil {
		return err
	}
	switch {
	case stored.Epoch > p.epoch:
		return errors.Annotatef(ErrSuperseded, "epoch %d, stored %d", p.epoch, stored.Epoch)
	case o.loaded && got.Version == o.version: // an open update had no effect
	case o.loaded && stored.Epoch == p.epoch && stored.Version == o.state.Version && stored.Takeovers == o.state.Takeovers: // it had
		o.unsaved = false
		p.Publish(clone(&o.state))
	default:
		o.loaded, o.state = false, stored
	}
	o.version, o.known = got.Version, true
	return nil
}

// store writes the placement. After an error the update is open until readBack.
func (p *planner) store(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o := &p.object
	o.state.Cell, o.state.Epoch = p.Cell, p.epoch
	o.state.Version++
	o.unsaved = true
	obj, err := objects.Encode(objects.KindPlacement, p.Cell, o.version, &o.state)
	if err != nil {
		return err
	}
	write := p.Store.Update
	if o.version == "" {
		write = p.Store.Create
	}
	if obj, err = write(ctx, obj); err != nil {
		o.known = false
		return errors.Annotate(err, "store the placement")
	}
	o.version, o.unsaved = obj.Version, false
	p.Publish(clone(&o.state))
	return nil
}

// clone returns a copy that shares nothing with the ledger's placement.
func clone(s *wire.Placement) wire.Placement {
	out := *s
	out.Endpoints = slices.Clone(s.Endpoints)
	for i := range out.Endpoints {
		e := &out.Endpoints[i]
		e.Residents, e.Intents = slices.Clone(e.Residents), slices.Clone(e.Intents)
	}
	return out
}
