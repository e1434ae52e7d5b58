package emulator

import (
	"fmt"
	"strings"
	"time"
)

// windowLength is the length of the windows of arrival times into which a result is divided.
const windowLength = 2 * time.Second

// Tally counts requests and adds up their credit.
type Tally struct {
	Requests     int
	Ended        [outcomeCount]int // ended requests by outcome
	MaxCredit    float64           // credit if every response were on time
	EarnedCredit float64
}

// CreditShare returns the earned share of the maximum credit. It is 1 if there were no requests.
func (t *Tally) CreditShare() float64 {
	if t.MaxCredit == 0 {
		return 1
	}
	return t.EarnedCredit / t.MaxCredit
}

// Result is the result of one run of a scenario.
type Result struct {
	Scenario      string
	Seed          uint64
	All           Tally   // all requests
	ClassTallies  []Tally // in the order of Scenario.Classes
	ClassNames    []string
	WindowTallies []Tally // by time of arrival, in windows of windowLength
	Orders        int     // orders of the planner
	StoreLoads    int     // orders that load a model from the weight store
	RefusedAgain  int     // requests that were refused again after the caller's retries
	trafficStart  time.Duration
}

func newResult(s *Scenario, seed uint64) Result {
	r := Result{
		Scenario: s.Name, Seed: seed, ClassTallies: make([]Tally, len(s.Classes)),
		WindowTallies: make([]Tally, int(s.TrafficDuration/windowLength)+1), trafficStart: s.TrafficStart}
	for i := range s.Classes {
		r.ClassNames = append(r.ClassNames, s.Classes[i].Name)
	}
	return r
}

// talliesOf returns the tallies that count a request: the total and those of its class and of its window.
func (r *Result) talliesOf(q *request) []*Tally {
	window := min(int((q.arrivedAt-r.trafficStart)/windowLength), len(r.WindowTallies)-1)
	return []*Tally{&r.All, &r.ClassTallies[q.classIndex], &r.WindowTallies[window]}
}

// addArrival counts a new request.
func (r *Result) addArrival(q *request) {
	for _, t := range r.talliesOf(q) {
		t.Requests++
		t.MaxCredit += q.class.OnTimeCredit
	}
}

// addOutcome counts the outcome of a request and its credit.
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
		t.Ended[o]++
		t.EarnedCredit += earned
	}
}

// WorstWindowShare returns the lowest credit share of all windows with requests.
func (r *Result) WorstWindowShare() float64 {
	worst := 1.0
	for i := range r.WindowTallies {
		if r.WindowTallies[i].Requests > 0 {
			worst = min(worst, r.WindowTallies[i].CreditShare())
		}
	}
	return worst
}

// CSVHeader returns the header line of a CSV file of results.
func CSVHeader() string {
	return "variant,scenario,seed,share,worst,asked,on_time,late,refused,failed,orders,store_loads,refused_again,windows"
}

// CSVRow returns the result as a line of a CSV file. The last column holds the credit shares of the windows.
func (r *Result) CSVRow(variant string) string {
	var windowShares []string
	for i := range r.WindowTallies {
		windowShares = append(windowShares, fmt.Sprintf("%.3f", r.WindowTallies[i].CreditShare()))
	}
	outcomes := r.All.Ended
	return fmt.Sprintf("%s,%s,%d,%.4f,%.4f,%d,%d,%d,%d,%d,%d,%d,%d,%s",
		variant, r.Scenario, r.Seed, r.All.CreditShare(), r.WorstWindowShare(), r.All.Requests,
		outcomes[outcomeOnTime], outcomes[outcomeLate], outcomes[outcomeRefused], outcomes[outcomeFailed],
		r.Orders, r.StoreLoads, r.RefusedAgain, strings.Join(windowShares, " "))
}
