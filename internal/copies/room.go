package copies

import (
	"maps"
	"math"
	"time"

	"sycamoredeal/internal/fleet"
)

// mostMoves is how many last copies may be moved at a time, as a share of the endpoints that may change.
const mostMoves = 0.34

// makeRoom loads a second copy of a model that keeps an endpoint with room from taking a loaded model, because its only
// copy is there. The load patterns that it answers: some models take most of the requests, and the endpoints with room hold
// nothing but last copies, while second copies of rare models lie on endpoints that are full.
func (r *layout) makeRoom() {
	if !r.fits || !r.p.asked {
		return // last copies may go, or nothing tells which models are loaded
	}
	least := 2 * r.least // two loads
	maps.DeleteFunc(r.p.moving, func(m string, until time.Duration) bool { return r.in.Now > until || r.copies(m) < 2 })
	for _, x := range r.candidates(least) {
		if r.changes >= r.most || len(r.p.moving) >= max(int(mostMoves*float64(r.most)), 1) {
			return
		}
		if level, _ := r.level(x.m.Name, -1); r.copies(x.m.Name) == 0 || level < r.slots {
			continue // only where requests wait for places
		}
		rare, gain := r.inTheWay(x.m)
		if rare == nil || gain < least {
			continue
		}
		c := r.best(rare, false, func(at int, victim string) bool {
			return r.servedElsewhere(victim, at) && victim != x.m.Name && !r.isMoving(victim)
		})
		if c.at < 0 || gain+min(c.gain, 0) < least {
			continue
		}
		takes := loadSeconds(rare, r.in.Endpoints[c.at].source(rare.Name))
		r.p.moving[rare.Name] = r.in.Now + time.Duration((takes+followUp)*float64(time.Second))
		r.order(c.at, Order{Load: rare.Name, Unload: c.victim, Reason: "its only copy is in the way of a loaded model", Gain: gain + min(c.gain, 0)})
	}
}

// followUp is how long after its second copy has come, in seconds, the first one of a model that was moved may stay.
const followUp = 2.0

func (r *layout) isMoving(model string) bool {
	_, ok := r.p.moving[model]
	return ok
}

// inTheWay returns the model whose last copy keeps a loaded model from the endpoint where it would gain most, and that gain.
func (r *layout) inTheWay(m *fleet.Model) (rare *fleet.Model, gain float64) {
	gain = math.Inf(-1)
	for i := range r.in.Endpoints {
		e := &r.in.Endpoints[i]
		if !r.settled(e) || !r.mayTake(i, m) {
			continue
		}
		for _, v := range e.Models {
			d := r.models[v]
			if d == nil || r.copies(v) != 1 || r.isMoving(v) || r.free[i]+d.WeightsMB < m.WeightsMB {
				continue
			}
			// What its loss would cost is counted when it gets its second copy.
			x := r.effectOf(i, m, v)
			x.now += r.lossOf(i, v)
			g := x.gain(loadSeconds(m, e.source(m.Name))+d.StoreLoadTime.Seconds(), r.horizon(m.Name))
			if g > gain {
				rare, gain = d, g
			}
		}
	}
	return rare, gain
}
