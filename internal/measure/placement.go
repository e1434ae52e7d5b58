package measure

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"sycamoredeal/internal/demo"
	"sycamoredeal/internal/load"
	"sycamoredeal/internal/testbed"
)

const (
	placementName = "placement"
	placementLoad = 0.75
	// A copy is moved at the earliest two minutes after it was loaded, so the shift comes after that.
	shiftAt      = 130 * time.Second
	shiftSettled = 15 * time.Second // after the shift; the rest of the run is counted
	shiftLength  = 45 * time.Second
	hotModels    = 3
	hotShare     = 0.7 // of the requests that go to the models in demand
	shiftFactor  = 10  // the demand of the hot models grows and falls by it
)

// placements are the policies compared; each runs on a fleet of its own, all at the same time.
var placements = []string{"mixed", "static", "groups"}

// measurePlacement shifts the demand of a few models tenfold, up and down, and counts what is attained afterwards.
func measurePlacement(ctx context.Context, o Options, bed *testbed.Testbed, folder, dir string) ([]Result, error) {
	if !o.wants(placementName) {
		return nil, nil
	}
	fleets := make([]*testbed.Fleet, len(placements))
	reports := make([]*load.Report, len(placements))
	var g errgroup.Group
	for i, name := range placements {
		own := filepath.Join(dir, name)
		if err := os.MkdirAll(own, 0o755); err != nil {
			return nil, errors.Trace(err)
		}
		f, err := testbed.StartFleet(ctx, bed, testbed.FleetOptions{
			Declarations: folder, Dir: own, Hosts: hosts, ControlArgs: []string{"--placement", name},
			EngineArgs: []string{"--token-time", tokenTime.String(), "--prefill", "20ms", "--load-time", "200ms"},
		})
		if err != nil {
			return nil, err
		}
		defer stopFleet(f)
		fleets[i] = f
	}
	for i, f := range fleets {
		g.Go(func() error {
			if err := waitLayout(ctx, f); err != nil {
				return errors.Annotate(err, placements[i])
			}
			fmt.Fprintf(o.Log, "%s: %s, %s\n", filepath.Base(folder), placementName, placements[i])
			var err error
			reports[i], err = load.Run(ctx, shiftScenario(f))
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var all []Result
	e := experiment{name: placementName}
	base := reports[0].Group(byRank)
	for i, rep := range reports {
		all = append(all, results(filepath.Base(folder), e, variant{name: placements[i]}, rep, rep.Group(byRank), base)...)
	}
	return all, nil
}

// shiftScenario returns a load in which one set of models is in demand until shiftAt and another one after it.
func shiftScenario(f *testbed.Fleet) *load.Scenario {
	s := demo.Scenario(f, shiftAt+shiftSettled+shiftLength)
	s.Calls, s.ServiceAddrs, s.CountFrom = nil, nil, shiftAt+shiftSettled
	slots := 0
	for _, ep := range f.Snapshot.Endpoints {
		slots += ep.Slots
	}
	total := placementLoad * float64(slots) / (outputTokens * tokenTime).Seconds()
	var streams []load.Stream
	callers := make(map[string]float64)
	for _, st := range s.Streams {
		callers[st.Rank]++
	}
	for _, st := range s.Streams {
		rank := f.Snapshot.Rank(st.Rank).Order
		rate := total * rankShares[rank] / callers[st.Rank]
		var models []string
		for _, m := range st.Models {
			if f.Snapshot.Model(m) != nil {
				models = append(models, m)
			}
		}
		st.OutputTokens, st.ZipfExponent = outputTokens, 0
		early, late, rest := st, st, st
		early.Models, late.Models, rest.Models = models[:hotModels], models[len(models)-hotModels:], models
		early.Rate, late.Rate, rest.Rate = rate*hotShare, rate*hotShare/shiftFactor, rate*(1-hotShare)
		early.Phases = []load.Phase{{At: shiftAt, Factor: 1.0 / shiftFactor}}
		late.Phases = []load.Phase{{At: shiftAt, Factor: shiftFactor}}
		streams = append(streams, early, late, rest)
	}
	s.Streams = streams
	return s
}
