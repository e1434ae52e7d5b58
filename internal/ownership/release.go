package ownership

import (
	"sort"

	"sycamoredeal/internal/wire"
)

// MaxMoving bounds the endpoints that a cell gives up at the same time, so that a new cell takes over in steps and the
// models that move are never many.
const MaxMoving = 4

// Releasing returns the endpoints that the cell should give up now: it plans nothing new for them, and releases each as
// soon as it has no unresolved intent.
func Releasing(p *wire.Placement, cell string, wanted map[string]string) []string {
	var out []string
	moving := 0
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		if e.Released {
			moving++
		} else if to := wanted[e.Endpoint]; to != "" && to != cell {
			out = append(out, e.Endpoint)
		}
	}
	sort.Strings(out)
	return out[:min(len(out), max(0, MaxMoving-moving))]
}

// Release marks those of the named endpoints as released that have no unresolved intent, and returns whether there are
// any. The account counts as given up once the placement is stored.
func Release(p *wire.Placement, names []string) bool {
	own := index(p)
	changed := false
	for _, name := range names {
		if e := own[name]; e != nil && !e.Released && len(e.Intents) == 0 {
			e.Released, changed = true, true
		}
	}
	return changed
}
