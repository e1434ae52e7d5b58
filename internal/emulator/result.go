package emulator

import (
	"fmt"
	"strings"
	"time"
)

// window is the span over which the course of a day is shown.
const window = 2 * time.Second

// Tally counts requests and what they earned.
type Tally struct {
	Asked  int
	Ended  [outcomes]int
	Owed   float64
	Earned float64
}

// Share returns the part of the owed credit that was earned.
func (t *Tally) Share() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

// Result is what a day came to.
type Result struct {
	Scenario   string
	Seed       uint64
	All        Tally
	Classes    []Tally // in the order of the scenario
	Names      []string
	Windows    []Tally // by the time of arrival
	Orders     int     // for models
	StoreLoads int     // of these, loads from the weight store
	Again      int     // requests that came back after a refusal and were refused again
	idle       time.Duration
}

func newResult(s *Scenario, seed uint64) Result {
	r := Result{Scenario: s.Name, Seed: seed, Classes: make([]Tally, len(s.Classes)), Windows: make([]Tally, int(s.Length/window)+1), idle: s.Idle}
	for i := range s.Classes {
		r.Names = append(r.Names, s.Classes[i].Name)
	}
	return r
}

func (r *Result) tallies(q *request) []*Tally {
	w := min(int((q.came-r.idle)/window), len(r.Windows)-1)
	return []*Tally{&r.All, &r.Classes[q.index], &r.Windows[w]}
}

func (r *Result) came(q *request) {
	for _, t := range r.tallies(q) {
		t.Asked++
		t.Owed += q.class.Worth
	}
}

func (r *Result) ended(q *request, o outcome) {
	earned := 0.0
	switch o {
	case outcomeOnTime:
		earned = q.class.Worth
	case outcomeLate:
		earned = q.class.Late
	}
	if o == outcomeRefused && q.tries > 0 {
		r.Again++
	}
	for _, t := range r.tallies(q) {
		t.Ended[o]++
		t.Earned += earned
	}
}

// Worst returns the share earned in the worst window.
func (r *Result) Worst() float64 {
	least := 1.0
	for i := range r.Windows {
		if r.Windows[i].Asked > 0 {
			least = min(least, r.Windows[i].Share())
		}
	}
	return least
}

// Header is the first line of a CSV file of results.
func Header() string {
	return "variant,scenario,seed,share,worst,asked,on_time,late,refused,failed,orders,store_loads,refused_again,windows"
}

// Row returns the result as a line of a CSV file.
func (r *Result) Row(variant string) string {
	var w []string
	for i := range r.Windows {
		w = append(w, fmt.Sprintf("%.3f", r.Windows[i].Share()))
	}
	e := r.All.Ended
	return fmt.Sprintf("%s,%s,%d,%.4f,%.4f,%d,%d,%d,%d,%d,%d,%d,%d,%s", variant, r.Scenario, r.Seed, r.All.Share(), r.Worst(), r.All.Asked,
		e[outcomeOnTime], e[outcomeLate], e[outcomeRefused], e[outcomeFailed], r.Orders, r.StoreLoads, r.Again, strings.Join(w, " "))
}
