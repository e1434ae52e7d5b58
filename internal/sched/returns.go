package sched

import "time"

// Requests to plain services have no prompt by which the return of a refused caller could be recognized, and callers of a
// route may state any deadline. A return is therefore recognized by its route, account and rank, the end of its deadline, and
// the time at which the caller was told to come back. Taken for new requests, returns that could only be late were served in
// place of requests that could be on time: 21% of the callers in a flood of twice the capacity.

const (
	// returnShare is the share of their remaining time up to which callers honour the time that a refusal states.
	returnShare = 1.0 / 3
	// returnWindow is how much later than told a caller may come back: the refusal and the request travel, and a host that is
	// busy is late with both.
	returnWindow = 250 * time.Millisecond
	// returnSlack is how much earlier a return may be than told, as times are rounded to milliseconds.
	returnSlack = 5 * time.Millisecond
	maxReturns  = 8192 // expected returns per service; bounds the memory
)

// callerKey identifies the callers among whom a return is searched.
type callerKey struct {
	route, account string
	priority       uint8
	end            int64 // end of the deadline, in units of endTolerance
}

func callerKeyOf(r *request) callerKey {
	return callerKey{r.ask.Caller, r.ask.Account, r.ask.Priority, int64(r.endBy / endTolerance)}
}

// expectedReturn is a refused caller who may come back.
type expectedReturn struct {
	at, end, target time.Duration // when it comes back, the end of its deadline, and its first target
}

// expectedReturns holds the refused callers of a plain service who may come back.
type expectedReturns struct {
	byKey map[callerKey][]expectedReturn
	count int
}

// add remembers a refused request whose caller is told to come back after the given time.
func (x *expectedReturns) add(now time.Duration, r *request, after time.Duration) {
	if x.count >= maxReturns {
		return
	}
	if x.byKey == nil {
		x.byKey = make(map[callerKey][]expectedReturn)
	}
	after = min(after, time.Duration(returnShare*float64(r.endBy-now)))
	k := callerKeyOf(r)
	x.byKey[k] = append(x.byKey[k], expectedReturn{now + after, r.endBy, r.target})
	x.count++
}

// take removes the refused caller whose return a request is, and returns its first target.
func (x *expectedReturns) take(now time.Duration, r *request) (target time.Duration, ok bool) {
	k := callerKeyOf(r)
	end := k.end
	for k.end = end - 1; k.end <= end+1; k.end++ {
		list := x.byKey[k]
		for i, c := range list {
			if now < c.at-returnSlack || now > c.at+returnWindow || (c.end-r.endBy).Abs() > endTolerance {
				continue
			}
			x.count--
			if list[i] = list[len(list)-1]; len(list) == 1 {
				delete(x.byKey, k)
			} else {
				x.byKey[k] = list[:len(list)-1]
			}
			return c.target, true
		}
	}
	return 0, false
}

// forget drops the callers who should have come back.
func (x *expectedReturns) forget(now time.Duration) {
	for k, list := range x.byKey {
		kept := list[:0]
		for _, c := range list {
			if now <= c.at+returnWindow {
				kept = append(kept, c)
			}
		}
		x.count -= len(list) - len(kept)
		if x.byKey[k] = kept; len(kept) == 0 {
			delete(x.byKey, k)
		}
	}
}

const (
	toldStep  = 250 * time.Millisecond // resolution of the times that callers were told
	toldSteps = 64
)

// toldTimes counts the callers who were told to come back, by time in units of toldStep.
type toldTimes struct {
	counts [toldSteps]float64
	step   int64 // the counts hold this step and those after it
}

// advance drops the counts of the past.
func (x *toldTimes) advance(now time.Duration) {
	to := int64(now / toldStep)
	for x.step = max(x.step, to-toldSteps); x.step < to; x.step++ {
		x.counts[x.step%toldSteps] = 0
	}
}

// addTold counts the caller of a refused request of a rank who is told to come back after the given time.
func (m *model) addTold(now time.Duration, priority uint8, after time.Duration) {
	x := m.told[priority]
	if x == nil {
		if m.told == nil {
			m.told = make(map[uint8]*toldTimes)
		}
		x = &toldTimes{}
		m.told[priority] = x
	}
	x.advance(now)
	x.counts[min(int64((now+after)/toldStep), x.step+toldSteps-1)%toldSteps]++
}

// toldToReturn returns how many callers of the model's requests, at least as urgent as the rank, have been told to come back at a
// time to come.
func (m *model) toldToReturn(now time.Duration, priority uint8) float64 {
	sum := 0.0
	for p, x := range m.told {
		if p > priority {
			continue
		}
		x.advance(now)
		for _, n := range x.counts {
			sum += n // whole numbers, so that the order doesn't matter
		}
	}
	return sum
}
