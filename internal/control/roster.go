package control

import (
	"context"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/membership"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/wire"
)

const (
	rosterInterval = 30 * time.Second // between reads without a hint; an unknown host's heartbeat is a hint
	rosterPause    = time.Second      // least time between reads
	forgetAfter    = 6                // times the dead limit after which the holder removes a host
)

// keepRoster joins the cell and keeps the members up to date. A host that was removed while it was frozen joins again.
func (c *Control) keepRoster(ctx context.Context) {
	log := c.opts.Log.Part("roster")
	var b objects.Backoff
	first := true
	for ctx.Err() == nil && !c.view.Load().leaving {
		members, err := c.updateRoster(ctx, func(r []wire.Member) []wire.Member { return c.joined(r, first) })
		if err != nil {
			if ctx.Err() == nil {
				log.Warn().Err(err).Msg("Roster not updated.")
			}
			b.Wait(ctx, err)
			continue
		}
		b.Reset()
		if first {
			log.Info().Int("members", len(members)).Msg("Joined the cell.")
		}
		first = false
		c.events.Push(ctx, evRoster{members})
		c.waitRoster(ctx)
	}
}

func (c *Control) waitRoster(ctx context.Context) {
	clock.Sleep(ctx, min(rosterPause, c.opts.Heartbeat))
	t := time.NewTimer(rosterInterval/2 + rand.N(rosterInterval/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.rosterHints.C():
	case <-ctx.Done():
	}
}

// joined returns the roster with this host in it. The holder of the lease also removes hosts that have long been dead.
// At the first join a process whose clock was set back takes an incarnation above that of its predecessor.
func (c *Control) joined(r []wire.Member, first bool) []wire.Member {
	v := c.view.Load()
	gone := make(map[string]bool)
	if c.lease.held() > 0 {
		for _, m := range v.members {
			if m.quiet > forgetAfter*missedForDead*c.opts.Heartbeat && m.Host != c.opts.Host {
				gone[m.Host] = true
			}
		}
	}
	var out []wire.Member
	for _, m := range r {
		if m.Host == c.opts.Host {
			if first && m.Incarnation >= c.incarnation.Load() {
				c.incarnation.Store(m.Incarnation + 1)
			}
			continue
		}
		if !gone[m.Host] {
			out = append(out, m)
		}
	}
	if v.leaving {
		return out
	}
	out = append(out, wire.Member{
		Host: c.opts.Host, Zone: c.opts.Zone, Incarnation: c.incarnation.Load(), ControlAddress: c.opts.Listen, EntryAddress: c.opts.EntryAddress,
		CallerAddress: c.opts.CallerAddr,
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (c *Control) leaveRoster(ctx context.Context) error {
	_, err := c.updateRoster(ctx, func(r []wire.Member) []wire.Member {
		return slices.DeleteFunc(slices.Clone(r), func(m wire.Member) bool { return m.Host == c.opts.Host })
	})
	return err
}

// updateRoster changes the roster by conditional update and returns it. A conflict or a lost answer leads to a new read,
// which finds the change made or makes it again.
func (c *Control) updateRoster(ctx context.Context, change func([]wire.Member) []wire.Member) ([]wire.Member, error) {
	var out []wire.Member
	err := update(ctx, c.opts.Store, objects.KindRoster, c.opts.Cell, func(r membership.Roster) (membership.Roster, bool) {
		out = change(r.Members)
		return membership.Roster{Region: c.opts.Region, Members: out}, r.Region != c.opts.Region || !reflect.DeepEqual(out, r.Members)
	})
	return out, err
}

// update reads an object, lets change compute its next content, and stores that if it differs. It tries again after a
// conflict or an unknown outcome, a few times.
func update[T any](ctx context.Context, s objects.Store, kind, name string, change func(T) (T, bool)) error {
	var b objects.Backoff
	var err error
	for range 5 {
		var o objects.Object
		if o, err = s.Get(ctx, kind, name); err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		var old T
		if err == nil {
			if old, err = objects.Decode[T](o); err != nil {
				return err
			}
		}
		next, changed := change(old)
		if !changed {
			return nil
		}
		if err = put(ctx, s, kind, name, o.Version, next); err == nil || ctx.Err() != nil {
			return err
		}
		b.Wait(ctx, err)
	}
	return err
}

func put(ctx context.Context, s objects.Store, kind, name, version string, v any) error {
	o, err := objects.Encode(kind, name, version, v)
	if err != nil {
		return err
	}
	if version == "" {
		_, err = s.Create(ctx, o)
	} else {
		_, err = s.Update(ctx, o)
	}
	return err
}

// residents returns the names of the models and adapters that the cell holds.
func residents(p wire.Placement) []string {
	seen := make(map[string]bool)
	var out []string
	for i := range p.Endpoints {
		for _, r := range p.Endpoints[i].Residents {
			if !seen[r.Name] {
				seen[r.Name] = true
				out = append(out, r.Name)
			}
		}
	}
	return out
}

// Dispatcher returns the host with the cell's dispatcher role among live members, or "". It is the choice that the
// entries make in package binding.
func Dispatcher(cell string, members []wire.Member) string {
	return rendezvous.Pick(cell, membership.Hosts(members))
}
