package planner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/engine"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/ownership"
	"sycamoredeal/internal/planner"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

const ownersEvery = 200 * time.Millisecond

// startCell runs the planner of a cell and renews the cell's lease until the returned function is called.
func (w *world) startCell(ctx context.Context, cell string, epoch uint64, valid func() bool) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		planner.Run(ctx, epoch, planner.Deps{
			Cell: cell, OwnersEvery: ownersEvery, Store: w.store, Engines: engine.NewClient(time.Second), Snapshot: w.decl.Load, Valid: valid,
			Demand:  func() map[string]wire.ModelDemand { return nil },
			Publish: func(wire.Placement) {}, Log: telemetry.Discard(), LateBound: 500 * time.Millisecond,
		})
	}()
	go w.renew(ctx, cell, valid)
	stop = func() {
		cancel()
		<-ended
	}
	w.t.Cleanup(stop)
	return stop
}

func (w *world) renew(ctx context.Context, cell string, valid func() bool) {
	for n := 0; ctx.Err() == nil; n++ {
		if valid() {
			old, err := w.store.Store.Get(ctx, objects.KindLease, cell)
			o, _ := objects.Encode(objects.KindLease, cell, old.Version, n)
			if errors.Is(err, objects.ErrNotFound) {
				w.store.Store.Create(ctx, o)
			} else if err == nil {
				w.store.Store.Update(ctx, o)
			}
		}
		clock.Sleep(ctx, ownersEvery/2)
	}
}

func (w *world) owners() map[string]int {
	out := make(map[string]int)
	o, err := w.store.Store.Get(context.Background(), objects.KindOwners, ownership.Name)
	if err != nil {
		return out
	}
	owners, _ := objects.Decode[ownership.Owners](o)
	for _, r := range owners.Endpoints {
		if r.Transit == nil {
			out[r.Owner]++
		}
	}
	return out
}

func (w *world) has(want string) func() bool {
	return func() bool { return fmt.Sprint(w.owners()) == want }
}

// TestCells guards against a cell that keeps endpoints that another should own, against endpoints of a dead cell that
// nobody takes over, and against overcommitted memory meanwhile, with lost answers of the platform and a planner that
// resumes after its cell has been taken over.
func TestCells(t *testing.T) {
	w := newWorld(t, 4, 4, true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			w.store.lose.Store(1)
			clock.Sleep(ctx, 300*time.Millisecond)
		}
	}()
	always := func() bool { return true }
	w.startCell(ctx, "c", 7, always)
	w.eventually(20*time.Second, "one cell owns and loads everything", func() bool { return w.has("map[c:4]")() && w.complete() })

	paused := make(chan bool, 1)
	paused <- false
	valid := func() bool { v := <-paused; paused <- v; return !v }
	w.startCell(ctx, "d", 1, valid)
	w.eventually(20*time.Second, "two cells share the endpoints", w.has("map[c:2 d:2]"))
	w.eventually(20*time.Second, "models resident", w.complete)

	<-paused
	paused <- true
	w.eventually(20*time.Second, "the endpoints of the dead cell are taken over", w.has("map[c:4]"))
	<-paused
	paused <- false
	w.eventually(20*time.Second, "the cell that resumes gets endpoints back", w.has("map[c:2 d:2]"))
	w.eventually(20*time.Second, "models resident", w.complete)
	w.noViolations()
}
