package emulator

import (
	"fmt"
	"strings"
	"time"
)

// windowLength is the span over which the course of a day is shown.
const windowLength = 2 * time.Second

// Tally counts requests and what they earned.
type Tally struct {
	Requests  int
	Outcomes  [outcomeCount]int
	MaxCredit   float64
	EarnedCredit float64
}

// CreditShare returns the part of the owed credit that was earned.
func (t *Tally) CreditShare() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return t.EarnedCredit / t.MaxCredit
}

// Result is what a day came to.
type Result struct {
	Scenario   string
	Seed       uint64
	Total        Tally
	ClassTallies    []Tally // in the order of the scenario
	ClassNames      []string
	WindowTallies    []Tally // by the time of arrival
	Orders     int     // for models
	StoreLoads int     // of these, loads from the weight store
	RefusedAgain      int     // requests that came back after a refusal and were refused again
	trafficStart       time.Duration
}

func newResult(s *Scenario, seed uint64) Result {
	r := Result{Scenario: s.Name, Seed: seed, ClassTallies: make([]Tally, len(s.Classes)), WindowTallies: make([]Tally, int(s.TrafficDuration/windowLength)+1), trafficStart: s.TrafficStart}
	for i := range s.Classes {
		r.ClassNames = append(r.ClassNames, s.Classes[i].Name)
	}
	return r
}

func (r *Result) talliesOf(q *request) []*Tally {
	sim := min(int((q.arrivedAt-r.trafficStart)/windowLength), len(r.WindowTallies)-1)
	return []*Tally{&r.Total, &r.ClassTallies[q.classIndex], &r.WindowTallies[sim]}
}

func (r *Result) addArrival(q *request) {
	for _, t := range r.talliesOf(q) {
		t.Requests++
		t.MaxCredit += q.class.OnTimeCredit
	}
}

func (r *Result) addOutcome(q *request, o outcome) {
	earned := 0.0
	switch o {
	case outcomeOnTime:
		earned = q.class.OnTimeCredit
	case outcomeLate:
		earned = q.class.LateCredit
	}
	if o == outcomeRefused && q.callerRetries > 0 {
		r.RefusedAgain++
	}
	for _, t := range r.talliesOf(q) {
		t.Outcomes[o]++
		t.EarnedCredit += earned
	}
}

// WorstWindowShare returns the share earned in the worst window.
func (r *Result) WorstWindowShare() float64 {
	least := 1.0
	for i := range r.WindowTallies {
		if r.WindowTallies[i].Requests > 0 {
			least = min(least, r.WindowTallies[i].CreditShare())
		}
	}
	return least
}

// CSVHeader is the first line of a CSV file of results.
func CSVHeader() string {
	return "variant,scenario,seed,share,worst,asked,on_time,late,refused,failed,orders,store_loads,refused_again,windows"
}

// CSVRow returns the result as a line of a CSV file.
func (r *Result) CSVRow(variant string) string {
	var w []string
	for i := range r.WindowTallies {
		w = append(w, fmt.Sprintf("%.3f", r.WindowTallies[i].CreditShare()))
	}
	e := r.Total.Outcomes
	return fmt.Sprintf("%s,%s,%d,%.4f,%.4f,%d,%d,%d,%d,%d,%d,%d,%d,%s", variant, r.Scenario, r.Seed, r.Total.CreditShare(), r.WorstWindowShare(), r.Total.Requests,
		e[outcomeOnTime], e[outcomeLate], e[outcomeRefused], e[outcomeFailed], r.Orders, r.StoreLoads, r.RefusedAgain, strings.Join(w, " "))
}
