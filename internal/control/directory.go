package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/directory"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

const (
	directoryInterval = time.Second // between comparisons; a read is made only after a change
	// With the default term a cell writes at most 4 times a minute, and a host reads at most twice a minute.
	termsPerDirectoryWrite = 5.0 / 2
	termsPerDirectoryRead  = 5
	// directoryRate is what the reads may cost a host, of the 2 KB/s of control. At the target the directory has 197 KB
	// and is read every 3 minutes.
	directoryRate = 1 << 10 // bytes per second
)

// keepDirectory writes this cell's part of the directory when it changes, and removes those of dead cells. Only the
// holder of the lease runs it.
func (c *Control) keepDirectory(ctx context.Context) {
	log := c.opts.Log.Part("directory")
	var written directory.Directory
	for ctx.Err() == nil {
		wrote, err := c.writeDirectory(ctx, &written)
		if err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("Directory not written.")
		}
		if wrote {
			clock.Sleep(ctx, time.Duration(float64(c.opts.Term)*termsPerDirectoryWrite))
		} else {
			clock.Sleep(ctx, directoryInterval)
		}
	}
}

func (c *Control) writeDirectory(ctx context.Context, written *directory.Directory) (bool, error) {
	v := c.view.Load()
	models := residents(v.placement)
	members := slices.DeleteFunc(slices.Clone(v.live), func(m wire.Member) bool { return m.Leaving })
	next := func(d directory.Directory) (directory.Directory, bool) {
		d, merged := directory.Merge(d, c.opts.Cell, models, members)
		d, removed := directory.Remove(d, c.deadCells())
		return d, merged || removed
	}
	if _, changed := next(*written); !changed || v.snapshot == nil {
		return false, nil
	}
	err := update(ctx, c.opts.Store, objects.KindDirectory, directory.Name, func(d directory.Directory) (directory.Directory, bool) {
		d, changed := next(d)
		*written = d
		return d, changed
	})
	if err != nil {
		*written = directory.Directory{}
	}
	return err == nil, err
}

// deadCells returns the cells that the planner of this process found dead.
func (c *Control) deadCells() map[string]bool {
	if d := c.dead.Load(); d != nil {
		return *d
	}
	return nil
}

// pollDirectory reads the directory now and then. Heartbeats stay within a cell, so this is all that a host knows of
// the others.
func (c *Control) pollDirectory(ctx context.Context) {
	log := c.opts.Log.Part("directory")
	every := termsPerDirectoryRead * c.opts.Term
	c.directoryEvery.Store(int64(every))
	for ctx.Err() == nil {
		o, err := c.opts.Store.Get(ctx, objects.KindDirectory, directory.Name)
		var d directory.Directory
		if err == nil {
			d, err = objects.Decode[directory.Directory](o)
		}
		if err == nil {
			c.cells.Store(&d)
			every = max(termsPerDirectoryRead*c.opts.Term, time.Duration(len(o.Data))*time.Second/directoryRate)
			c.directoryEvery.Store(int64(every))
			c.events.Push(ctx, evDirectory{directory.Others(d, c.opts.Cell)})
		} else if ctx.Err() == nil && !errors.Is(err, objects.ErrNotFound) {
			log.Debug().Err(err).Msg("Directory not read.")
		}
		clock.Sleep(ctx, every-rand.N(every/4+1))
	}
}

// served returns the cells by model as last read, or nil, and the time within which all hosts see a change.
func (c *Control) served() (map[string][]string, time.Duration) {
	lag := time.Duration(c.directoryEvery.Load()) + time.Duration(float64(c.opts.Term)*termsPerDirectoryWrite) + directoryInterval
	if d := c.cells.Load(); d != nil {
		return d.Models, lag
	}
	return nil, lag
}
