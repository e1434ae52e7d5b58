package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// excludeScan bounds how far a queue is searched for a request that does not exclude the endpoint.
const excludeScan = 4

// flowKey identifies a queue. Queues are per model, so that a full endpoint of one model blocks no other model.
type flowKey struct {
	model  *model
	caller *caller
	rank   int
}

type flow struct {
	flowKey
	resumed  []*request // go first
	fresh    []*request
	nResumed int // waiting requests in resumed
	n        int // waiting requests; the slices may also hold requests that have gone
	active   int // place in State.active
}

// group measures how fast the waiting requests of a model and rank are granted, whoever sent them.
type group struct {
	n        int           // waiting requests
	weight   float64       // sum of the weights of the callers that wait
	since    time.Duration // latest grant, or start of the backlog
	interval time.Duration // mean time between grants while backlogged, 0 if unknown
	ended    time.Duration // when the backlog ended
}

func (g *group) granted(now time.Duration) {
	gap := now - g.since
	if g.interval == 0 {
		g.interval = gap
	} else {
		g.interval += time.Duration(smoothing * float64(gap-g.interval))
	}
	g.since = now
}

// head returns the first waiting request that may run at the endpoint.
func (f *flow) head(e *endpoint) *request {
	f.trim()
	for _, q := range [2][]*request{f.resumed, f.fresh} {
		for i, r := range q {
			if i == excludeScan {
				break
			}
			if r.status == waiting && !slices.Contains(r.ask.Exclude, e.name) {
				return r
			}
		}
	}
	return nil
}

func (f *flow) trim() { f.resumed, f.fresh = trim(f.resumed), trim(f.fresh) }

func trim(q []*request) []*request {
	for len(q) > 0 && q[0].status != waiting {
		q[0] = nil
		q = q[1:]
	}
	return q
}

func (s *State) enqueue(r *request) {
	k := flowKey{r.model, r.caller, r.rank.index}
	f := s.flows[k]
	if f == nil {
		f = &flow{flowKey: k}
		s.flows[k] = f
	}
	r.flow, r.status = f, waiting
	g := &r.model.groups[k.rank]
	if g.n == 0 {
		g.since = s.now
		if s.now-g.ended > staleInterval {
			g.interval = 0
		}
	}
	g.n++
	if f.n == 0 {
		g.weight += r.caller.weight
		f.resumed, f.fresh = nil, nil
		r.model.flows[k.rank] = append(r.model.flows[k.rank], f)
		f.active = len(s.active[k.rank])
		s.active[k.rank] = append(s.active[k.rank], f)
	}
	f.n++
	if r.ask.Resumed {
		f.nResumed++
		f.resumed = append(f.resumed, r)
	} else {
		f.fresh = append(f.fresh, r)
	}
	sh := &r.caller.shares[k.rank]
	if sh.waiting == 0 {
		sh.tag = max(sh.tag, r.rank.vtime) // an idle caller keeps no credit
	}
	sh.waiting++
	r.rank.waiting++
	s.waiting++
	if r.deadline > 0 {
		heap.Push(&s.deadlines, r)
	}
}

// dequeue takes a waiting request out of the counts; its place in the slices is skipped later.
func (s *State) dequeue(r *request) {
	f := r.flow
	r.status = gone
	f.n--
	if r.ask.Resumed {
		f.nResumed--
	}
	r.caller.shares[f.rank].waiting--
	r.rank.waiting--
	s.waiting--
	g := &f.model.groups[f.rank]
	if g.n--; g.n == 0 {
		g.ended, g.weight = s.now, 0 // exactly zero, whatever was rounded
	}
	if f.n == 0 {
		g.weight = max(g.weight-f.caller.weight, 0)
		list := f.model.flows[f.rank]
		i := slices.Index(list, f)
		list[i] = list[len(list)-1]
		f.model.flows[f.rank] = list[:len(list)-1]
		list = s.active[f.rank]
		last := list[len(list)-1]
		list[f.active], last.active = last, f.active
		s.active[f.rank] = list[:len(list)-1]
	}
}

// deadlines orders waiting requests by deadline. It may hold requests that no longer wait.
type deadlines []*request

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*request)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return r
}
