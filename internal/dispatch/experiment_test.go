package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

// The setting of section 6 of docs/design.md. Ranks get 0.2, 0.3 and 0.5 of the requests; caller c0 sends 0.3 of them
// and seven others 0.1 each. Demand of the models falls with 1/(i+20). Messages take no time.
const (
	simEntries, simEndpoints, simSlots, simModels = 16, 40, 16, 110
	simWork                                       = 4.0 // s, exponential
	simWarm, simEnd                               = 30 * time.Second, 150 * time.Second
)

var simRanks = []string{"urgent", "normal", "batch"}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any     { o := *q; e := o[len(o)-1]; *q = o[:len(o)-1]; return e }

type simRequest struct {
	ask     wire.Ask
	entry   int
	rank    int
	asked   time.Duration
	work    time.Duration
	started time.Duration
	running int // attempts; an end belongs to the latest
}

type counts struct{ asked, soon, served float64 }

type sim struct {
	now    time.Duration
	events simQueue
	n      int
	rng    *rand.Rand
	view   *routing.View
	flood  func(rank, caller int) float64 // multiplies the rate

	ranks   [3]counts
	callers [8]counts
	refused [3]float64
	held    [3]float64 // refused after more than 0.1 s
	used    [3]float64 // sum of samples of the share of slots in use
	samples float64
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.events, simEvent{s.now + d, s.n, do})
}

func (s *sim) run() {
	for len(s.events) > 0 && s.events[0].at < simEnd {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func simDeclarations() config.Declarations {
	d := config.Declarations{Ranks: threeRanks()}
	for c := range 8 {
		d.Callers = append(d.Callers, config.Caller{Name: fmt.Sprint("c", c), Weight: 1, Floor: 0.1})
	}
	return d
}

func newSim(seed uint64, flood func(rank, caller int) float64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 9)), flood: flood}
	load := make([]float64, simEndpoints)
	s.view = testView(simEndpoints, simSlots, simModels, func(m int) []int {
		o := s.rng.Perm(simEndpoints)
		sort.SliceStable(o, func(i, j int) bool { return load[o[i]] < load[o[j]] })
		for _, e := range o[:3] {
			load[e] += 1 / float64(m+20)
		}
		return o[:3]
	}, simDeclarations())
	return s
}

// arrivals schedules the requests of every rank and caller.
func (s *sim) arrivals(load float64, ask func(*simRequest)) {
	total := 0.0
	for m := range simModels {
		total += 1 / float64(m+20)
	}
	model := func() int {
		x := s.rng.Float64() * total
		for m := range simModels {
			if x -= 1 / float64(m+20); x < 0 {
				return m
			}
		}
		return 0
	}
	var id uint64
	for r, rs := range []float64{0.2, 0.3, 0.5} {
		for c := range 8 {
			rate := load * simEndpoints * simSlots / simWork * rs * []float64{0.3, 0.1}[min(c, 1)] * s.flood(r, c)
			var next func()
			next = func() {
				id++
				q := &simRequest{entry: s.rng.IntN(simEntries), rank: r, asked: s.now, work: seconds(s.rng.ExpFloat64() * simWork)}
				q.ask = wire.Ask{ID: id, Caller: fmt.Sprint("c", c), Rank: simRanks[r], Model: fmt.Sprint("m", model()), PromptTokens: 100}
				if s.now > simWarm {
					s.ranks[r].asked++
					s.callers[c].asked++
				}
				ask(q)
				s.after(seconds(s.rng.ExpFloat64()/rate), next)
			}
			s.after(seconds(s.rng.ExpFloat64()/rate), next)
		}
	}
}

func (s *sim) start(q *simRequest) {
	if q.started = s.now; q.asked <= simWarm || q.running > 1 {
		return
	}
	c := &s.callers[q.ask.Caller[1]-'0']
	if s.now-q.asked <= 200*ms {
		s.ranks[q.rank].soon++
		c.soon++
	}
	s.ranks[q.rank].served++
	c.served++
}

// dispatcher drives the real state machine.
func (s *sim) dispatcher(load float64, firstCome bool) {
	st := New(0, Config{Seed: 1, FirstCome: firstCome, TotalLimit: 3500}, s.view, nil)
	all := make(map[uint64]*simRequest)
	var flush func()
	flush = func() {
		for _, o := range append([]Output(nil), st.Take()...) {
			q := all[o.ID]
			switch o.Kind {
			case wire.KindGrant:
				q.running++
				s.start(q)
				attempt := q.running
				s.after(q.work, func() {
					if q.running == attempt && all[q.ask.ID] == q {
						st.Done(s.now, fmt.Sprint(q.entry), wire.Done{ID: q.ask.ID, Tokens: 100, FirstMs: 100})
						delete(all, q.ask.ID)
						flush()
					}
				})
			case wire.KindRefuse:
				if q.asked > simWarm {
					s.refused[q.rank]++
					if s.now-q.asked > 100*ms {
						s.held[q.rank]++
					}
				}
				delete(all, o.ID)
			case wire.KindPreempt: // the engine's resume continues the work elsewhere
				st.Done(s.now, fmt.Sprint(q.entry), wire.Done{ID: o.ID})
				delete(all, o.ID)
				q.running++ // the end of the stopped attempt does not count
				q.work -= s.now - q.started
				q.ask.ID |= 1 << (40 + q.ask.Preemptions)
				q.ask.Resumed = true
				q.ask.Preemptions++
				all[q.ask.ID] = q
				st.Ask(s.now, fmt.Sprint(q.entry), q.ask)
				flush()
			}
		}
	}
	s.arrivals(load, func(q *simRequest) {
		all[q.ask.ID] = q
		st.Ask(s.now, fmt.Sprint(q.entry), q.ask)
		flush()
	})
	var tick func()
	tick = func() {
		st.Tick(s.now)
		flush()
		if s.now > simWarm {
			s.samples++
			for i, k := range st.ranks {
				s.used[i] += float64(k.used) / float64(st.total)
			}
		}
		s.after(20*ms, tick)
	}
	s.after(20*ms, tick)
	s.run()
}

// alone lets every entry decide; endpoints queue by rank.
func (s *sim) alone(load float64, policy routing.Policy) {
	type engine struct {
		busy  int
		queue [3][]*simRequest
	}
	engines, choosers := make(map[string]*engine), make([]*routing.Chooser, simEntries)
	for i := range choosers {
		choosers[i] = routing.NewChooser(policy, uint64(i))
	}
	for _, e := range s.view.Placement.Endpoints {
		engines[e.Endpoint] = &engine{}
	}
	var serve func(name string)
	serve = func(name string) {
		e := engines[name]
		for r := 0; r < 3 && e.busy < simSlots; {
			if len(e.queue[r]) == 0 {
				r++
				continue
			}
			q := e.queue[r][0]
			e.queue[r] = e.queue[r][1:]
			e.busy++
			s.start(q)
			s.after(q.work, func() {
				e.busy--
				choosers[q.entry].Ended(s.now, name, false)
				serve(name)
			})
		}
	}
	s.arrivals(load, func(q *simRequest) {
		name := choosers[q.entry].Choose(s.now, s.view, &q.ask, simEntries, false)
		choosers[q.entry].Started(name)
		engines[name].queue[q.rank] = append(engines[name].queue[q.rank], q)
		serve(name)
	})
	var report func()
	report = func() {
		v := *s.view
		v.States = make(map[string]wire.EndpointState)
		for n, e := range engines {
			v.States[n] = wire.EndpointState{Running: uint32(e.busy), Waiting: uint32(len(e.queue[0]) + len(e.queue[1]) + len(e.queue[2]))}
		}
		s.view = &v
		s.after(500*ms, report)
	}
	s.after(0, report)
	s.run()
}

func (s *sim) row(name string) string {
	out := fmt.Sprintf("%-34s", name)
	for r := range s.ranks {
		c := s.ranks[r]
		out += fmt.Sprintf("  %.3f/%.3f", c.soon/c.asked, c.served/c.asked)
	}
	if s.samples > 0 {
		out += fmt.Sprintf("  slots %.2f %.2f %.2f", s.used[0]/s.samples, s.used[1]/s.samples, s.used[2]/s.samples)
		for r := range s.refused {
			out += fmt.Sprintf("  %.0f/%.0f", s.held[r], s.refused[r])
		}
	}
	return out
}

const simHeader = "started within 0.2 s/started at all   urgent       normal       batch   slots in use   refused after 0.1 s/refused"

func noFlood(int, int) float64 { return 1 }

// Guards against the dispatcher losing its advantage over decisions of single entries.
func TestPolicies(t *testing.T) {
	rows := []string{simHeader}
	late := newSim(1, noFlood)
	late.dispatcher(0.9, false)
	rows = append(rows, late.row("dispatcher"))
	for _, p := range []routing.Policy{routing.PolicyIndependent, routing.PolicyTwoChoices, routing.PolicyRoundRobin} {
		s := newSim(1, noFlood)
		s.alone(0.9, p)
		rows = append(rows, s.row(string(p)))
		for r := range s.ranks {
			if s.ranks[r].soon > late.ranks[r].soon {
				t.Errorf("%s starts more %s work in time than the dispatcher", p, simRanks[r])
			}
		}
	}
	t.Log("\n" + strings.Join(rows, "\n"))
}

// Guards against a flood of one kind of work taking what the others are entitled to.
func TestFloods(t *testing.T) {
	rows := []string{simHeader}
	run := func(name string, flood func(r, c int) float64) (s *sim) {
		for _, first := range []bool{true, false} {
			s = newSim(2, flood)
			s.dispatcher(0.9, first)
			rows = append(rows, s.row(name+map[bool]string{true: ", first come", false: ", dispatcher"}[first]))
		}
		return s
	}
	calm := run("no flood", noFlood)
	tenfold := func(rank int) func(r, c int) float64 {
		return func(r, c int) float64 { return []float64{1, 10}[map[bool]int{true: 1}[r == rank]] }
	}
	s := run("tenfold least urgent", tenfold(2))
	if got := s.ranks[0].soon / s.ranks[0].asked; got < 0.95 {
		t.Errorf("flood of the least urgent rank: %.3f of the urgent work started within 0.2 s, want 0.95", got)
	}
	s = run("tenfold most urgent", tenfold(0))
	for r, floor := range []float64{0.2, 0.2, 0.1} {
		if got := s.used[r] / s.samples; got < 0.98*floor { // a freed slot is empty for part of a sample
			t.Errorf("flood of the most urgent rank: %s keeps %.3f of the slots, its floor is %.2f", simRanks[r], got, floor)
		}
	}
	s = run("tenfold one caller", func(r, c int) float64 { return []float64{10, 1}[min(c, 1)] })
	least := 1.0
	for c := 1; c < 8; c++ {
		got, before := s.callers[c].served/s.callers[c].asked, calm.callers[c].served/calm.callers[c].asked
		least = min(least, got/before)
		if got < 0.9*before {
			t.Errorf("flood of one caller: %.3f of the requests of c%d are served, %.3f without the flood", got, c, before)
		}
	}
	rows = append(rows, fmt.Sprintf("flood of one caller: every other one keeps at least %.3f of its served requests", least))
	t.Log("\n" + strings.Join(rows, "\n"))
}
