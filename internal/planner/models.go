package planner

import (
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/ownership"
	"sycamoredeal/internal/placement"
)

// assignEvery is the time between two looks at which cells serve which models.
const assignEvery = time.Second

// assign restricts a planning round to the models that this cell plans. With one cell it changes nothing.
func (p *planner) assign(in *placement.Input, snap *config.Snapshot, now time.Time) {
	if !p.owners.known || p.Served == nil {
		if p.models.Cell == "" {
			return
		}
	} else if cells := p.liveCells(); len(cells) < 2 {
		p.models = ownership.Models{}
		return
	} else if p.models.Cell == "" || now.Sub(p.assigned) >= assignEvery {
		p.assigned = now
		served, lag := p.Served()
		p.models.Cell, p.models.Wait = p.Cell, lag
		names := make([]string, len(snap.Models))
		for i := range snap.Models {
			names[i] = snap.Models[i].Name
		}
		for i := range snap.Adapters {
			names = append(names, snap.Adapters[i].Name)
		}
		p.models.Update(now, names, cells, served)
	}
	in.Cells = ownership.HomeCells
	in.Elsewhere = p.models.Elsewhere
	in.Expendable = func(m string) bool { return p.models.Expendable(m) && p.adaptersElsewhere(snap, m) }
	in.Planned = func(m string) bool { return p.models.Planned(now, m, p.rounds.Hot(m, now)) }
	in.Retired = func(m string) bool { return p.models.Retired(now, m, p.rounds.Hot(m, now)) }
}

// liveCells returns the cells of this region that are not dead.
func (p *planner) liveCells() []string {
	out := []string{p.Cell}
	for c, region := range p.owners.state.Cells {
		if c != p.Cell && region == p.Region && !p.owners.dead[c] {
			out = append(out, c)
		}
	}
	return out
}

// adaptersElsewhere tells whether other cells serve all adapters of a model.
func (p *planner) adaptersElsewhere(snap *config.Snapshot, model string) bool {
	for i := range snap.Adapters {
		if a := &snap.Adapters[i]; a.Model == model && !p.models.Elsewhere(a.Name) {
			return false
		}
	}
	return true
}
