package sched

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

// plainFlood describes callers of a plain service with three servers of four slots. They send requests in clumps of three, and
// come back once when they are refused. The last one asks a deadline before the end of the run.
type plainFlood struct {
	rate      func(now time.Duration) float64 // requests per second
	accounts  []floodAccount                  // instead of rate
	length    time.Duration
	objective time.Duration
	deadline  time.Duration // the longest of a caller
	varied    bool          // callers state deadlines from a quarter of the longest on
	lossFrom  time.Duration // from here to lossTo, one of the servers is not listed; 0 if all are all the time
	lossTo    time.Duration
	failing   bool // that server is listed, and answers each request with an error after 2 ms
	seed      uint64
	patience  time.Duration // if set, the servers are engines, and answers are streams whose first event must come within it
	untold    bool          // the callers told to come back don't count for the times that refusals state
	unshared  bool          // requests don't state their accounts
	startRule bool          // the rule before run times were known: a request is on time if it starts before its target
}

// floodAccount is a client account whose callers take part in a flood.
type floodAccount struct {
	name   string
	perSec float64 // of its quota
	rate   func(now time.Duration) float64
}

// plainFloodResult counts callers by how they ended. Times count from a caller's first attempt to the end of the answer.
type plainFloodResult struct {
	callers, onTime, late, unserved int
	refusals, refusedCallers        int
	times                           []time.Duration // of the answered callers
	byAccount                       map[string]*plainFloodResult
}

func (r *plainFloodResult) add(o plainFloodResult) {
	r.callers += o.callers
	r.onTime += o.onTime
	r.late += o.late
	r.unserved += o.unserved
	r.refusals += o.refusals
	r.refusedCallers += o.refusedCallers
	r.times = append(r.times, o.times...)
	for name, x := range o.byAccount {
		if r.byAccount == nil {
			r.byAccount = make(map[string]*plainFloodResult)
		}
		if r.byAccount[name] == nil {
			r.byAccount[name] = &plainFloodResult{}
		}
		r.byAccount[name].add(*x)
	}
}

// quantile returns the time within which a share of all callers were answered, the longest one if fewer were.
func (r *plainFloodResult) quantile(share float64) time.Duration {
	times := slices.Sorted(slices.Values(r.times))
	return times[min(int(share*float64(r.callers)), len(times)-1)]
}

// worth returns the mean worth of a caller's answer, of which one in time counts 1 and a late one 0.3.
func (r *plainFloodResult) worth() float64 {
	return (float64(r.onTime) + 0.3*float64(r.late)) / float64(r.callers)
}

func (r *plainFloodResult) log(t *testing.T, name string) {
	t.Helper()
	share := func(n int) float64 { return 100 * float64(n) / float64(r.callers) }
	t.Logf("%-44s of %d callers %.1f%% on time, %.1f%% late, %.1f%% refused, %.2f refusals per request never served, %.2f per refused caller; worth %.3f",
		name, r.callers, share(r.onTime), share(r.late), share(r.unserved), float64(r.refusals)/float64(max(r.unserved, 1)),
		float64(r.refusals)/float64(max(r.refusedCallers, 1)), r.worth())
}

const (
	plainMedian = 54 * time.Millisecond
	// plainMean is the mean of plainRun.
	plainMean  = 56.16 // ms
	plainSlots = 12
	callerTrip = 3 * time.Millisecond // one way between caller and host
)

// plainCapacity is the number of requests per second that the slots can serve.
const plainCapacity = plainSlots / plainMean * 1000

// plainRun returns a run time: half to one and a half times the median, and of 1% of the requests five times as long.
func plainRun(rng *rand.Rand) time.Duration {
	run := time.Duration((0.5 + rng.Float64()) * float64(plainMedian))
	if rng.Float64() < 0.01 {
		run *= 5
	}
	return run
}

// timedEvents is a heap of functions by the times at which they are due.
type timedEvents []timedEvent

type timedEvent struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

func (h timedEvents) Len() int { return len(h) }
func (h timedEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timedEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timedEvents) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *timedEvents) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// plainCaller is a simulated caller.
type plainCaller struct {
	first   time.Duration // time of its first attempt
	end     time.Duration // of its deadline
	target  time.Duration // of its present attempt, as the host knows it
	ask     wire.Ask
	run     time.Duration // run time of its request
	results []*plainFloodResult
	refused int
}

// count applies a change to the results of all callers and of those of its account.
func (c *plainCaller) count(change func(r *plainFloodResult)) {
	for _, r := range c.results {
		change(r)
	}
}

// run plays a flood.
func (f plainFlood) run(t *testing.T) plainFloodResult {
	t.Helper()
	full, reduced := testView(4, nil, 3), testView(4, nil, 2)
	if f.patience > 0 {
		full = testView(4, [][]string{{"m"}, {"m"}, {"m"}}, 0)
	}
	for _, v := range []*fleet.View{full, reduced} {
		v.Config.Accounts = fleet.NewAccounts()
		for _, a := range f.accounts {
			v.Config.Accounts.Add(fleet.Account{Name: a.name, Limit: fleet.AccountLimit{PerSec: a.perSec, Burst: a.perSec}}, nil)
		}
		v.Config.Routes = []fleet.Route{{Name: "r", TargetLatency: f.objective, Services: []fleet.WeightedService{{Service: plainService, Weight: 1}}}}
	}
	s := New(0, testConfig(), full)
	res := plainFloodResult{byAccount: make(map[string]*plainFloodResult)}
	var events timedEvents
	seq := 0
	at := func(when time.Duration, do func(now time.Duration)) {
		seq++
		heap.Push(&events, timedEvent{when, seq, do})
	}
	byID := make(map[uint64]*plainCaller)
	id := uint64(0)
	attempt := func(now time.Duration, c *plainCaller) {
		id++
		byID[id], c.target = c, now+f.objective
		left := c.end - now
		a := c.ask
		a.ID, a.TargetMs, a.DeadlineMs, a.EndMs = id, uint32(f.objective.Milliseconds()), uint32(left.Milliseconds()), uint32(left.Milliseconds())
		if f.patience > 0 {
			a.Service, a.Model, a.PromptTokens, a.MaxTokens = engineService, "m", 50, 20
			a.PromptParts = []wire.PromptPart{{ID: uint64(c.run), Tokens: 50}}
			a.DeadlineMs = min(a.DeadlineMs, uint32(f.patience.Milliseconds()))
		}
		s.Ask(now, "h", a)
	}
	accounts := f.accounts
	if accounts == nil {
		accounts = []floodAccount{{rate: f.rate}}
	}
	for i, account := range accounts {
		arrivals, rng := rand.New(rand.NewPCG(f.seed, uint64(13+8*i))), rand.New(rand.NewPCG(f.seed, uint64(17+8*i)))
		own := &plainFloodResult{}
		res.byAccount[account.name] = own
		var arrive func(now time.Duration)
		arrive = func(now time.Duration) {
			if now >= f.length-f.deadline {
				return
			}
			for range 3 {
				deadline := f.deadline
				if f.varied {
					deadline -= time.Duration(0.75 * arrivals.Float64() * float64(f.deadline))
				}
				c := &plainCaller{
					first: now - callerTrip, end: now - callerTrip + deadline, run: plainRun(rng), results: []*plainFloodResult{&res, own},
					ask: wire.Ask{Service: plainService},
				}
				if account.name != "" && !f.unshared {
					c.ask.Account, c.ask.Cost, c.ask.Charged = account.name, 1, true // within its quota, so that only the shares decide
				}
				c.count(func(r *plainFloodResult) { r.callers++ })
				attempt(now, c)
			}
			at(now+seconds(3*arrivals.ExpFloat64()/account.rate(now)), arrive)
		}
		at(seconds(3*arrivals.ExpFloat64()/account.rate(0)), arrive)
	}
	var tick func(now time.Duration)
	tick = func(now time.Duration) {
		s.Tick(now)
		at(now+15*time.Millisecond, tick)
	}
	at(0, tick)
	if f.lossTo > 0 && !f.failing {
		at(f.lossFrom, func(now time.Duration) { s.SetView(now, reduced) })
		at(f.lossTo, func(now time.Duration) { s.SetView(now, full) })
	}
	for events[0].at < f.length {
		x := heap.Pop(&events).(timedEvent)
		x.do(x.at)
		if f.untold {
			for _, m := range s.modelOrder {
				if m.key.service == engineService {
					m.told = nil
				}
			}
		}
		if f.startRule {
			g := s.serviceEstimateOf(plainService)
			g.runs, g.returns = runEstimate{}, expectedReturns{}
			if m := s.models[modelKey{service: plainService}]; m != nil {
				m.meanOnTime = 0
			}
		}
		now := x.at
		for _, o := range s.TakeOutputs() {
			switch m := o.Message.(type) {
			case *wire.Grant:
				c := byID[m.ID]
				if f.failing && m.Endpoint == "p2" && now >= f.lossFrom && now < f.lossTo {
					at(now+2*time.Millisecond, func(now time.Duration) {
						s.Done(now, "h", wire.Done{ID: m.ID, Fault: uint8(ErrorStatus)})
						id++
						byID[id] = c
						a, left := c.ask, c.end-now
						a.ID, a.TargetMs, a.DeadlineMs, a.EndMs = id, uint32(max(c.target-now, 0).Milliseconds()), uint32(left.Milliseconds()), uint32(left.Milliseconds())
						a.Retry, a.Exclude = true, []string{"p2"}
						s.Ask(now, "h", a)
					})
					continue
				}
				answered := c.run
				if f.patience > 0 {
					answered = 14 * time.Millisecond
				}
				at(now+c.run, func(now time.Duration) {
					s.Done(now, "h", wire.Done{ID: m.ID, TotalMs: uint32(c.run.Milliseconds())})
				})
				at(now+answered, func(now time.Duration) {
					s.Started(now, "h", wire.Started{ID: m.ID, FirstMs: uint32(answered.Milliseconds())})
					total := now + callerTrip - c.first
					c.count(func(r *plainFloodResult) {
						r.times = append(r.times, total)
						if total <= f.objective {
							r.onTime++
						} else {
							r.late++
						}
					})
				})
			case *wire.Refuse:
				c := byID[m.ID]
				c.refused++
				c.count(func(r *plainFloodResult) {
					r.refusals++
					switch c.refused {
					case 1:
						r.refusedCallers++
					case 2:
						r.unserved++
					}
				})
				if c.refused == 2 {
					continue
				}
				back := min(ms(m.RetryAfterMs), (c.end-now)/3)
				at(now+back+2*callerTrip, func(now time.Duration) { attempt(now, c) })
			}
		}
	}
	if n := res.onTime + res.late + res.unserved; n != res.callers {
		t.Errorf("%d of %d callers got an answer or a second refusal", n, res.callers)
	}
	return res
}

// TestPlainFloodServesOnTime guards against starting requests of a plain service so late that their answers miss the target:
// under the start rule, 31% of the callers at 222 requests per second got a late answer.
func TestPlainFloodServesOnTime(t *testing.T) {
	for _, test := range []struct {
		name         string
		rate         float64
		serversLost  bool
		varied       bool
		failing      bool
		onTime, gain float64 // least share of callers on time, and least gain in worth over the start rule
	}{
		{"222 per second", 222, false, false, false, 0.92, 0.15},
		{"0.7 of the capacity", 0.7 * plainCapacity, false, false, false, 0.99, 0},
		{"the capacity", plainCapacity, false, false, false, 0.94, 0.06},
		{"1.3 of the capacity", 1.3 * plainCapacity, false, false, false, 0.74, 0.35},
		{"1.3 of the capacity, varied deadlines", 1.3 * plainCapacity, false, true, false, 0.7, 0.3},
		{"twice the capacity", 2 * plainCapacity, false, false, false, 0.48, 0.27},
		{"twice the capacity, varied deadlines", 2 * plainCapacity, false, true, false, 0.4, 0.2},
		{"0.7 of the capacity, a third lost", 0.7 * plainCapacity, true, false, false, 0.96, 0.01},
		{"the capacity, a third lost", plainCapacity, true, false, false, 0.85, 0.2},
		{"0.6 of the capacity, a third failing", 0.6 * plainCapacity, true, false, true, 0.97, 0},
		{"the capacity, a third failing", plainCapacity, true, false, true, 0.8, 0.1},
		{"1.3 of the capacity, a third lost", 1.3 * plainCapacity, true, false, false, 0.67, 0.3},
	} {
		var before, after plainFloodResult
		for seed := uint64(1); seed <= 3; seed++ {
			f := plainFlood{
				rate: func(time.Duration) float64 { return test.rate }, length: 24 * time.Second,
				objective: 300 * time.Millisecond, deadline: 4 * time.Second, varied: test.varied, failing: test.failing, seed: seed,
			}
			if test.serversLost {
				f.lossFrom, f.lossTo = 7*time.Second, 13*time.Second
			}
			after.add(f.run(t))
			f.startRule = true
			before.add(f.run(t))
		}
		before.log(t, test.name+", start rule:")
		after.log(t, test.name+":")
		if share := float64(after.onTime) / float64(after.callers); share < test.onTime {
			t.Errorf("%s: %.3f on time, want %.3f", test.name, share, test.onTime)
		}
		if gain := after.worth() - before.worth(); gain < test.gain {
			t.Errorf("%s: worth %.3f, %.3f under the start rule", test.name, after.worth(), before.worth())
		}
	}
}

// TestShortSpikes guards against refusing requests to a plain service in a spike that ends soon, when the rest of their deadline
// would do to serve them after it. With the present rate of arrivals alone, 3.9 and 10.7% were refused twice.
func TestShortSpikes(t *testing.T) {
	for _, test := range []struct {
		lasts                      time.Duration
		worth, unserved, perCaller float64 // least worth, most callers refused twice, and most refusals per refused caller
	}{
		{500 * time.Millisecond, 0.88, 0.03, 1.4},
		{time.Second, 0.84, 0.06, 1.4},
	} {
		var before, after plainFloodResult
		for seed := uint64(1); seed <= 4; seed++ {
			f := plainFlood{rate: func(now time.Duration) float64 {
				if now/test.lasts%5 == 3 {
					return 2 * plainCapacity
				}
				return 0.6 * plainCapacity
			}, length: 40 * time.Second, objective: 300 * time.Millisecond, deadline: 4 * time.Second, seed: seed}
			after.add(f.run(t))
			f.startRule = true
			before.add(f.run(t))
		}
		before.log(t, "spikes of "+test.lasts.String()+", start rule:")
		after.log(t, "spikes of "+test.lasts.String()+":")
		unserved, perCaller := float64(after.unserved)/float64(after.callers), float64(after.refusals)/float64(after.refusedCallers)
		if after.worth() < test.worth || after.worth() < before.worth() || unserved > test.unserved || perCaller > test.perCaller {
			t.Errorf("spikes of %v: worth %.3f, %.3f refused twice, %.2f refusals per refused caller", test.lasts, after.worth(), unserved, perCaller)
		}
	}
}

// TestFailuresLeaveRunTimes guards against run times learned from attempts that failed, which end early, or that were sent
// again in the same slot.
func TestFailuresLeaveRunTimes(t *testing.T) {
	s := New(0, testConfig(), testView(1, nil, 1))
	now := time.Duration(0)
	run := func(id uint64, took time.Duration, d wire.Done) {
		s.Ask(now, "h", wire.Ask{ID: id, Service: plainService, DeadlineMs: 9000, TargetMs: 9000})
		if _, ok := answers(s)[id].(*wire.Grant); !ok {
			t.Fatalf("request %d is not granted", id)
		}
		now += took
		d.ID = id
		s.Done(now, "h", d)
		now += time.Second
		s.Tick(now)
	}
	runs := &s.serviceEstimateOf(plainService).runs
	for id := uint64(1); id <= 2*minRuns; id++ {
		if id <= minRuns && runs.known() {
			t.Fatalf("the run times are known after %d answers", id-1)
		}
		run(id, 100*time.Millisecond, wire.Done{TotalMs: 100})
	}
	want := runs.quantile(typicalRun)
	if want < 100*time.Millisecond || want > 110*time.Millisecond {
		t.Fatalf("typical run %v after runs of 100 ms", want)
	}
	for id := uint64(1000); id < 1200; id++ {
		switch id % 3 {
		case 0:
			run(id, time.Millisecond, wire.Done{TotalMs: 1, Fault: uint8(ErrorStatus)})
		case 1:
			run(id, time.Millisecond, wire.Done{})
		case 2:
			run(id, 2*time.Second, wire.Done{TotalMs: 2000, Resends: 2})
		}
	}
	if got := runs.quantile(typicalRun); got != want || runs.quantile(0.999) != want {
		t.Errorf("typical run %v after failures, %v before", got, want)
	}
}

// TestNoTimeForRun guards against sending a request to a plain service that can't answer it before its deadline. The caller
// has left by then, and the run takes capacity from others.
func TestNoTimeForRun(t *testing.T) {
	s := New(0, testConfig(), testView(1, nil, 1))
	for id := uint64(1); id <= 2*minRuns; id++ {
		now := time.Duration(id) * time.Second
		s.Ask(now, "h", wire.Ask{ID: id, Service: plainService, DeadlineMs: 900, TargetMs: 300, EndMs: 900})
		s.Done(now+100*time.Millisecond, "h", wire.Done{ID: id, TotalMs: 100})
	}
	now := time.Hour
	answers(s)
	s.Ask(now, "h", wire.Ask{ID: 1000, Service: plainService, DeadlineMs: 60, TargetMs: 60, EndMs: 60})
	if m, ok := answers(s)[1000].(*wire.Refuse); !ok {
		t.Errorf("a request with 60 ms left for a run of 100 ms is not refused: %#v", m)
	}
	s.Ask(now, "h", wire.Ask{ID: 1001, Service: plainService, DeadlineMs: 1, TargetMs: 300, EndMs: 900})
	if m, ok := answers(s)[1001].(*wire.Grant); !ok {
		t.Errorf("a request that has to start at once, but not to end, is not granted: %#v", m)
	}
}
