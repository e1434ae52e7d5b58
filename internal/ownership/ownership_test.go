package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/wire"
)

// stored is a platform with conditional updates only.
type stored struct {
	data    map[string][]byte
	version map[string]int
}

func (s *stored) get(name string, v any) int {
	if b, ok := s.data[name]; ok {
		if err := json.Unmarshal(b, v); err != nil {
			panic(err)
		}
	}
	return s.version[name]
}

func (s *stored) put(name string, version int, v any) bool {
	if s.version[name] != version {
		return false
	}
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.data[name] = b
	s.version[name]++
	return true
}

// holder is one planner of a cell. It acts in small steps, so that it can be paused between any two of them.
type holder struct {
	cell          string
	epoch         uint64
	placement     *wire.Placement
	version       int
	owners        *Owners
	ownersVersion int
}

type model struct {
	store       stored
	holders     []*holder
	epochs      map[string]uint64
	outstanding map[string]map[uint64]bool // orders by endpoint that no report has resolved
	used        map[string]map[uint64]bool
	cells       []string
	endpoints   map[string]string
	fences      map[string]uint64 // of the latest order that was stored
	moves       int
}

func newModel() *model {
	m := &model{store: stored{make(map[string][]byte), make(map[string]int)}, epochs: make(map[string]uint64), cells: []string{"a", "b", "c"},
		outstanding: make(map[string]map[uint64]bool), used: make(map[string]map[uint64]bool), fences: make(map[string]uint64), endpoints: make(map[string]string)}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		m.endpoints[name], m.outstanding[name], m.used[name] = "", make(map[uint64]bool), make(map[uint64]bool)
	}
	for _, c := range m.cells {
		m.start(c)
	}
	return m
}

// start lets another process of the cell acquire the lease. The one before is not told.
func (m *model) start(cell string) {
	m.epochs[cell]++
	m.holders = append(m.holders, &holder{cell: cell, epoch: m.epochs[cell]})
}

func (m *model) latest(cell string) *holder {
	for _, h := range slices.Backward(m.holders) {
		if h.cell == cell {
			return h
		}
	}
	return nil
}

// save stores the holder's placement. A lost answer or a conflict makes it read everything again.
func (m *model) save(h *holder, lost bool) bool {
	h.placement.Version++
	ok := m.store.put("placement/"+h.cell, h.version, h.placement)
	if !ok || lost {
		h.placement, h.owners = nil, nil
	} else {
		h.version++
	}
	return ok
}

func (m *model) load(h *holder, lost bool) {
	p := wire.Placement{Cell: h.cell}
	h.version = m.store.get("placement/"+h.cell, &p)
	if p.Epoch > h.epoch {
		return // superseded
	}
	p.Epoch = h.epoch
	h.placement, h.owners = &p, nil
	m.save(h, lost)
}

func (m *model) step(t *rapid.T, h *holder) {
	lost := rapid.IntRange(0, 4).Draw(t, "lost") == 0
	if h.placement == nil {
		m.load(h, lost)
		return
	}
	dead := make(map[string]bool)
	for _, c := range m.cells {
		dead[c] = c != h.cell && rapid.IntRange(0, 5).Draw(t, "dead") == 0
	}
	in := Input{Cell: h.cell, Endpoints: m.endpoints, Dead: dead, Placement: h.placement}
	switch action := rapid.SampledFrom([]string{"read", "next", "next", "reconcile", "release", "order", "order", "resolve", "resolve"}).Draw(t, "action"); {
	case action == "read" || h.owners == nil:
		h.owners = &Owners{}
		h.ownersVersion = m.store.get("owners", h.owners)
	case action == "next":
		in.Taken = m.take(t, h, in)
		next, changed := Next(*h.owners, in)
		if !changed {
			return
		}
		ok := m.store.put("owners", h.ownersVersion, next)
		if h.owners = nil; ok && !lost {
			h.owners, h.ownersVersion = &next, h.ownersVersion+1
			m.moves++
		}
	case action == "reconcile":
		m.reconcile(h, lost)
	case action == "release":
		if Release(h.placement, Releasing(h.placement, h.cell, in.Wanted(*h.owners))) {
			m.save(h, lost)
		}
	case action == "order":
		m.order(t, h, lost)
	case action == "resolve":
		m.resolve(t, h, lost)
	}
}

func (m *model) take(t *rapid.T, h *holder, in Input) map[string]Account {
	all := make(map[string]Account)
	for _, c := range m.cells {
		if names := Takeable(*h.owners, in, c); in.Dead[c] && len(names) > 0 {
			p := wire.Placement{Cell: c}
			v := m.store.get("placement/"+c, &p)
			taken, changed := Take(&p, *h.owners, names)
			if changed && !m.store.put("placement/"+c, v, p) || rapid.IntRange(0, 4).Draw(t, "lost take") == 0 {
				continue
			}
			for n, a := range taken {
				all[n] = a
			}
		}
	}
	return all
}

func (m *model) reconcile(h *holder, lost bool) {
	c := Reconcile(h.placement, *h.owners, h.cell)
	drop := make(map[string]bool)
	for _, name := range c.Drop {
		drop[name] = true
	}
	for _, e := range c.Adopt {
		drop[e.Endpoint] = true
	}
	var kept []wire.EndpointPlacement
	for _, e := range h.placement.Endpoints {
		if !drop[e.Endpoint] {
			kept = append(kept, e)
		}
	}
	h.placement.Endpoints = append(kept, c.Adopt...)
	if len(drop) > 0 {
		m.save(h, lost)
	}
}

// order adds an intent to an endpoint that the holder believes it owns. What is stored may be sent at any later time.
func (m *model) order(t *rapid.T, h *holder, lost bool) {
	for i := range h.placement.Endpoints {
		e := &h.placement.Endpoints[i]
		if e.Released || rapid.Bool().Draw(t, "skip") {
			continue
		}
		h.placement.NextIntent++
		id, name, fence := h.placement.NextIntent, e.Endpoint, e.FenceBase+h.epoch
		e.Intents = append(e.Intents, wire.Intent{ID: id, Epoch: h.epoch})
		if m.save(h, lost) {
			if m.used[name][id] {
				t.Fatalf("order id %d used twice at %s", id, name)
			}
			if fence < m.fences[name] {
				t.Fatalf("fencing token of %s falls from %d to %d", name, m.fences[name], fence)
			}
			m.fences[name] = fence
			m.used[name][id], m.outstanding[name][id] = true, true
		}
		return
	}
}

func (m *model) resolve(t *rapid.T, h *holder, lost bool) {
	for i := range h.placement.Endpoints {
		e := &h.placement.Endpoints[i]
		if e.Released || len(e.Intents) == 0 || rapid.Bool().Draw(t, "skip") {
			continue
		}
		id, name := e.Intents[0].ID, e.Endpoint
		e.Intents = e.Intents[1:]
		if m.save(h, lost) {
			delete(m.outstanding[name], id)
		}
		return
	}
}

// check verifies that at most one stored placement lets its cell order an endpoint, and that every order that may still
// be executed is in the account that the present or next owner has.
func (m *model) check(t *rapid.T) {
	var o Owners
	m.store.get("owners", &o)
	for name := range m.endpoints {
		active, account := "", []wire.Intent(nil)
		r := o.Endpoints[name]
		if r.Transit != nil {
			account = r.Transit.Endpoint.Intents
		}
		for _, c := range m.cells {
			var p wire.Placement
			m.store.get("placement/"+c, &p)
			for _, e := range p.Endpoints {
				if e.Endpoint != name {
					continue
				}
				if !e.Released && active != "" {
					t.Fatalf("%s may be ordered by %s and %s", name, active, c)
				}
				if !e.Released {
					active = c
				}
				if c == r.Owner && e.Generation == r.Generation {
					account = e.Intents
				}
			}
		}
		ids := make(map[uint64]bool)
		for _, in := range account {
			ids[in.ID] = true
		}
		for id := range m.outstanding[name] {
			if !ids[id] {
				t.Fatalf("order %d of %s is in no account; record %+v", id, name, r)
			}
		}
	}
}

// TestSafety guards against an endpoint that two cells may order, and against orders that the next owner does not know,
// under lost answers, planners paused at any point, two planners of one cell, racing cells, and cells that are taken for
// dead while they are not.
func TestSafety(t *testing.T) {
	moves := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(100, 800).Draw(t, "steps") {
			if rapid.IntRange(0, 30).Draw(t, "start") == 0 {
				m.start(rapid.SampledFrom(m.cells).Draw(t, "cell"))
			}
			h := m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
			if rapid.IntRange(0, 3).Draw(t, "latest") > 0 {
				h = m.latest(h.cell)
			}
			m.step(t, h)
			m.check(t)
		}
		moves += m.moves
	})
	if moves < 100 {
		t.Errorf("only %d changes of the owners: the test proves nothing", moves)
	}
}

// TestLiveness guards against a takeover of a cell that renews or whose lease has a longer term, and against taking all cells for dead after an outage.
func TestLiveness(t *testing.T) {
	l := Liveness{Bound: 10 * time.Second, MaxGap: 3 * time.Second}
	at := time.Unix(1000, 0)
	term := time.Second
	see := func(after time.Duration, version string) bool {
		at = at.Add(after)
		l.Observe(at, []string{"a"}, map[string]Lease{"a": {version, term}})
		return l.Dead()["a"]
	}
	for i := range 20 {
		if see(time.Second, fmt.Sprint(i)) {
			t.Fatal("a cell that renews counts as dead")
		}
	}
	if see(time.Minute, "19") {
		t.Fatal("a cell counts as dead for an outage of the platform")
	}
	for range 9 {
		if see(time.Second, "19") {
			t.Fatal("dead before the bound")
		}
	}
	if !see(time.Second, "19") {
		t.Fatal("not dead after the bound")
	}
	term = 5 * time.Second
	see(time.Second, "20")
	for range 14 {
		if see(time.Second, "20") {
			t.Fatal("a cell whose planner may still hold its lease counts as dead")
		}
	}
}

// TestAssign guards against unbalanced cells and against many moves when a cell appears.
func TestAssign(t *testing.T) {
	endpoints, cells := make(map[string]string), make(map[string]string)
	for i := range 730 {
		endpoints[fmt.Sprintf("endpoint-%03d", i)] = fmt.Sprint("r", i%2)
	}
	for i := range 18 {
		cells[fmt.Sprintf("cell-%02d", i)] = fmt.Sprint("r", i%2)
	}
	before := Assign(endpoints, cells)
	size := make(map[string]int)
	for e, c := range before {
		if size[c]++; endpoints[e] != cells[c] {
			t.Fatalf("%s of region %s assigned to %s", e, endpoints[e], c)
		}
	}
	for c, n := range size {
		if n > 41 || n < 20 {
			t.Errorf("%s has %d endpoints", c, n)
		}
	}
	cells["cell-18"] = "r0"
	moved, after := 0, Assign(endpoints, cells)
	for e, c := range after {
		if before[e] != c {
			moved++
		}
	}
	t.Logf("%d of 730 endpoints move when one cell of 18 is added", moved)
	if len(after) != 730 || moved > 3*730/19 {
		t.Errorf("%d assigned, %d moved", len(after), moved)
	}
}

// TestObjectSize guards against an owners object near the platform's limit of 1 MB at the target size.
func TestObjectSize(t *testing.T) {
	o := Owners{Cells: make(map[string]string), Endpoints: make(map[string]Record)}
	var residents []wire.Resident
	for i := range 32 {
		residents = append(residents, wire.Resident{Name: fmt.Sprintf("a-model-with-a-long-name-%04d", i), Bytes: 1 << 36})
	}
	for i := range 20 {
		o.Cells[fmt.Sprintf("cell-%02d", i)] = "region-andina"
	}
	for i := range 730 {
		r := Record{Owner: fmt.Sprintf("cell-%02d", i%20), Generation: 1000}
		if i < 20*MaxMoving {
			r.Transit = &Account{Endpoint: wire.EndpointPlacement{Endpoint: "servidor-ia-000", Residents: residents}, NextIntent: 1 << 40, Fence: 1 << 30}
		}
		o.Endpoints[fmt.Sprintf("servidor-ia-%03d", i)] = r
	}
	b, err := json.Marshal(o)
	if err != nil || len(b) > 400<<10 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	for name, r := range o.Endpoints {
		r.Transit = nil
		o.Endpoints[name] = r
	}
	quiet, _ := json.Marshal(o)
	t.Logf("%d bytes, and %d with every cell at its limit of moves", len(quiet), len(b))
}
