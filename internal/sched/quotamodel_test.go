package sched

import (
	"fmt"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/wire"
)

const (
	modelHosts    = 3
	modelEvents   = 6
	modelTick     = 150 * time.Millisecond // between two broadcasts of a dispatcher
	modelStep     = 900 * time.Millisecond // after each event
	modelRest     = 3 * time.Second        // of modelWait
	modelTimeout  = 600 * time.Millisecond // after which a host gives up a silent dispatcher
	modelAccounts = 2
)

// Events of the model.
const (
	modelAsk0      = iota // host 0 sends as much as it may
	modelAsk1             // host 1 does
	modelAskAll           // all hosts do
	modelRestart          // the process of the dispatcher that host 1 uses is killed and starts again
	modelPartition        // host 0 is cut off and uses its own dispatcher, or connected again
	modelAlone            // host 2 is cut off and decides without a dispatcher, or connected again
	modelFreeze           // host 0 is frozen, or resumes
	modelLower            // the limits are halved
	modelWait
	modelEventKinds
)

// modelDispatcher is the dispatcher in a process, with the messages that it has not read.
type modelDispatcher struct {
	state  *State
	unread []func(s *State, now time.Duration)
	users  [modelHosts]bool // hosts that it takes for connected
}

type modelHost struct {
	quotas    *HostQuotas
	dispatch  modelDispatcher
	startedAt time.Duration
	heardAt   time.Duration // of its dispatcher
	uses      int           // host of its dispatcher, -1 for none
	frozen    bool
	process   int // number of restarts
	linkedTo  int // process number of its dispatcher
}

type modelCharge struct {
	at    time.Duration
	units float64
}

// quotaModel is a fleet of hosts, of which every one may be the dispatcher of some.
type quotaModel struct {
	now       time.Duration
	hosts     [modelHosts]modelHost
	cut       bool // host 0 reaches no other
	alone     bool // host 2 reaches none, and doesn't use its own dispatcher
	limits    [modelAccounts]fleet.AccountLimit
	view      *fleet.View
	loweredAt time.Duration
	charges   [modelAccounts][]modelCharge
	nextID    uint64
	worst     float64 // largest share of a tolerance in use
	fault     string
}

// modelLimits are one with a large burst, and one whose tolerance is mostly the slack.
var modelLimits = [modelAccounts]fleet.AccountLimit{tokens(400_000, 1_600_000), tokens(4200, 1000)}

func newQuotaModel() *quotaModel {
	m := &quotaModel{limits: modelLimits}
	m.view = quotaView(modelHosts, m.limits[:]...)
	for i := range m.hosts {
		m.hosts[i] = modelHost{quotas: NewHostQuotas(), uses: -1}
		m.hosts[i].quotas.SetHosts(modelHosts)
	}
	return m
}

func (m *quotaModel) reaches(a, b int) bool {
	if m.alone && (a == 2 || b == 2) {
		return false
	}
	return a == b || !m.cut || a != 0 && b != 0
}

// hear passes a message to a dispatcher, which reads it once it isn't frozen.
func (m *quotaModel) hear(d int, f func(s *State, now time.Duration)) {
	if x := &m.hosts[d]; x.frozen {
		x.dispatch.unread = append(x.dispatch.unread, f)
	} else if x.dispatch.state != nil {
		f(x.dispatch.state, m.now)
	}
}

// connect makes a host use the first dispatcher that it reaches. A dispatcher that the host left learns it unless it is cut off.
func (m *quotaModel) connect(h int) {
	x := &m.hosts[h]
	name := fmt.Sprint("h", h)
	if old := x.uses; old >= 0 {
		x.uses = -1
		if d := &m.hosts[old].dispatch; m.reaches(h, old) && d.users[h] {
			d.users[h] = false
			m.hear(old, func(s *State, now time.Duration) { s.HostDown(now, name) })
		}
	}
	for d := range m.hosts {
		y := &m.hosts[d]
		if !m.reaches(h, d) || y.frozen {
			continue
		}
		if y.dispatch.state == nil {
			c := testConfig()
			c.Quotas = quotaTestSettings
			y.dispatch.state = New(m.now, c, m.view)
		}
		x.uses, x.linkedTo, x.heardAt = d, y.process, m.now
		y.dispatch.users[h] = true
		y.dispatch.state.HostUp(m.now, name)
		return
	}
}

// run lets time pass.
func (m *quotaModel) run(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now += modelTick
		for h := range m.hosts {
			if x := &m.hosts[h]; !x.frozen && x.dispatch.state != nil {
				x.dispatch.state.Tick(m.now)
			}
		}
		for h := range m.hosts {
			x := &m.hosts[h]
			if x.frozen {
				continue
			}
			if x.uses < 0 || x.linkedTo != m.hosts[x.uses].process || m.now-x.heardAt > modelTimeout {
				m.connect(h)
				continue
			}
			if !m.reaches(h, x.uses) {
				continue
			}
			name := modelNames[h]
			m.hear(x.uses, func(s *State, now time.Duration) { s.Cancel(now, name, 0) })
			if !m.hosts[x.uses].frozen {
				x.heardAt = m.now
			}
		}
	}
}

var modelNames = [modelHosts]string{"h0", "h1", "h2"}

// ask lets a host send as much as its dispatcher, or else its own part, allows.
func (m *quotaModel) ask(h int) {
	x := &m.hosts[h]
	if x.frozen {
		return
	}
	for i := range m.limits {
		account := fleet.Account{Name: fmt.Sprint("a", i), Limit: m.limits[i]}
		answered := x.uses >= 0 && m.reaches(h, x.uses) && !m.hosts[x.uses].frozen && x.linkedTo == m.hosts[x.uses].process
		if !answered {
			for part := quotaTestSettings.capacity(&account.Limit) / modelHosts; part > 10; part /= 2 {
				if x.quotas.Take(m.now, x.heardAt, quotaTestSettings, &account, part) {
					m.charge(i, part)
				}
			}
			continue
		}
		s := m.hosts[x.uses].dispatch.state
		s.hear(m.now, modelNames[h])
		b, capacity := s.quotaOf(account.Name, s.limitOf(account.Name))
		cost := b.Level
		if b.Level == capacity { // the most that a full bucket admits
			cost += quotaOverdraftShare*quotaTestSettings.tolerance(&account.Limit) - 1e-3
		}
		if cost <= 0 {
			continue
		}
		m.nextID++
		a := costing(m.nextID, cost)
		a.Account = account.Name
		s.Ask(m.now, modelNames[h], a)
		for _, o := range s.TakeOutputs() {
			if _, ok := o.Message.(*wire.Grant); ok {
				m.charge(i, cost)
			}
		}
		s.Done(m.now, modelNames[h], wire.Done{ID: m.nextID, Endpoint: "p0"})
		s.TakeQuotaDecisions()
	}
}

// charge counts units that were sent, and checks the bound over all intervals that end now and are up to a window long. For an interval
// shorter than the window, it allows the rate for this interval: few events that don't fill a window must show a fault too.
func (m *quotaModel) charge(account int, units float64) {
	m.charges[account] = append(m.charges[account], modelCharge{m.now, units})
	l := &m.limits[account]
	if m.now-m.loweredAt < quotaTestSettings.Window && m.loweredAt > 0 {
		l = &modelLimits[account]
	}
	tolerance := quotaTestSettings.tolerance(l)
	sum := 0.0
	for i := len(m.charges[account]) - 1; i >= 0; i-- {
		c := &m.charges[account][i]
		interval := m.now - c.at
		if interval > quotaTestSettings.Window {
			break
		}
		sum += c.units
		over := (sum - l.PerSec*interval.Seconds() - l.Burst) / tolerance
		m.worst = max(m.worst, over)
		if over > 1 && m.fault == "" {
			m.fault = fmt.Sprintf("account %d used %.0f units in %v until %v, %.2f of the tolerance", account, sum, interval, m.now, over)
		}
	}
}

// apply applies an event.
func (m *quotaModel) apply(event int) {
	switch event {
	case modelAsk0:
		m.ask(0)
	case modelAsk1:
		m.ask(1)
	case modelAskAll:
		for h := range m.hosts {
			m.ask(h)
		}
	case modelRestart:
		d := m.hosts[1].uses
		if d < 0 {
			return
		}
		process := m.hosts[d].process + 1
		for i := range m.hosts { // connections of the killed process close at the others
			if i != d && m.reaches(d, i) && m.hosts[i].dispatch.users[d] {
				m.hosts[i].dispatch.users[d] = false
				m.hear(i, func(s *State, now time.Duration) { s.HostDown(now, modelNames[d]) })
			}
		}
		m.hosts[d] = modelHost{quotas: NewHostQuotas(), uses: -1, process: process, startedAt: m.now, heardAt: m.now}
		m.hosts[d].quotas.SetHosts(modelHosts)
	case modelPartition:
		m.cut = !m.cut
	case modelAlone:
		m.alone = !m.alone
	case modelFreeze:
		x := &m.hosts[0]
		x.frozen = !x.frozen
		if x.frozen || x.dispatch.state == nil {
			break
		}
		unread := x.dispatch.unread
		x.dispatch.unread = nil
		for i, f := range unread {
			f(x.dispatch.state, m.now)
			if i == len(unread)/2 {
				m.ask(0) // a request of its own, between the messages from before
			}
		}
	case modelLower:
		if m.loweredAt > 0 {
			return
		}
		m.loweredAt = m.now
		for i := range m.limits {
			m.limits[i].PerSec /= 2
			m.limits[i].Burst /= 2
		}
		m.view = quotaView(modelHosts, m.limits[:]...)
		for i := range m.hosts {
			if s := m.hosts[i].dispatch.state; s != nil {
				s.SetView(m.now, m.view)
			}
		}
	case modelWait:
		m.run(modelRest)
		return
	}
	m.run(modelStep)
}

// play returns the largest share of a tolerance that was in use over a sequence of events, and what exceeded it.
func play(events []int) (worst float64, fault string) {
	m := newQuotaModel()
	m.run(2 * modelTick)
	s := m.hosts[0].dispatch.state // all hosts use it
	for i := range m.limits {
		b, capacity := s.quotaOf(fmt.Sprint("a", i), &m.limits[i])
		b.Level = capacity
	}
	for _, e := range events {
		m.apply(e)
	}
	return m.worst, m.fault
}

// TestQuotaModel guards against a quota that is exceeded beyond its tolerance by some interleaving of requests, restarts, a
// partition, a freeze and a lowered limit, at three hosts that may all be dispatchers. It plays every sequence of modelEvents events
// that ends with requests.
func TestQuotaModel(t *testing.T) {
	for first := range modelEventKinds {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			events := [modelEvents]int{first}
			worst, failures := 0.0, 0
			var worstEvents [modelEvents]int
			var play1 func(i int)
			play1 = func(i int) {
				if i == modelEvents {
					w, fault := play(events[:])
					if w > worst {
						worst, worstEvents = w, events
					}
					if fault != "" {
						if failures++; failures <= 3 {
							t.Errorf("%v: %s", events, fault)
						}
					}
					return
				}
				kinds := modelEventKinds
				if i == modelEvents-1 {
					kinds = modelAskAll + 1
				}
				for e := range kinds {
					events[i] = e
					play1(i + 1)
				}
			}
			play1(1)
			t.Logf("%.3f of the tolerance in use at most, by %v; %d failures", worst, worstEvents, failures)
		})
	}
}
