package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"sort"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	maxDetails        = 20
)

// Row holds the results of one caller and rank, or of one caller's calls to one service.
type Row struct {
	Caller                 string  `json:"caller"`
	Rank                   string  `json:"rank"`
	Sent                   int     `json:"sent"`
	Answered               int     `json:"answered"`
	Refused                int     `json:"refused"`
	Unknown                int     `json:"unknown"`
	Truncated              int     `json:"cut"`
	Wrong                  int     `json:"wrong"`
	Failed                 int     `json:"failed"`
	Unfinished             int     `json:"unfinished"` // still in progress when the run ended
	DuplicateExecutions    int     `json:"doubled"`    // non-idempotent requests executed more than once
	ExecutionsAfterRefusal int     `json:"ranAfterNo"` // executed although the answer was a refusal
	MissingExecutions      int     `json:"lost"`       // answered although never executed
	Attained               int     `json:"attained"`   // answered within the latency targets
	Attainment             float64 `json:"attainment"` // attained / sent
	Goodput                float64 `json:"goodput"`    // attained per second
	FirstP50Ms             float64 `json:"firstP50Ms"` // time to first token
	FirstP95Ms             float64 `json:"firstP95Ms"`
	BetweenP95Ms           float64 `json:"betweenP95Ms"` // time between tokens
	RefusedP95Ms           float64 `json:"refusedP95Ms"` // time to a refusal
	Tokens                 int     `json:"tokens"`
	worth                  float64
	firstToken             *hdrhistogram.Histogram
	betweenTokens          *hdrhistogram.Histogram
	refusalTime            *hdrhistogram.Histogram
}

// Report holds the results of a run.
type Report struct {
	Seconds                float64  `json:"seconds"`
	Rows                   []*Row   `json:"rows"`
	AttainedPerAccelerator float64  `json:"attainedPerAccelerator"` // worth of attained requests per second and accelerator
	EngineOrders           int      `json:"moves"`                  // orders to engines during the run, -1 if unknown
	Details                []string `json:"details"`                // one line for each of the first failed requests, at most maxDetails
	rowsByKey              map[[2]string]*Row
	scenario               *Scenario
}

// newReport counts the results in rows. Before Scenario.CountFrom it leaves out answered and refused requests, but counts
// failures.
func newReport(s *Scenario, results []result) *Report {
	rep := &Report{Seconds: (s.Duration - s.CountFrom).Seconds(), EngineOrders: -1, rowsByKey: make(map[[2]string]*Row), scenario: s}
	worth := 0.0
	for i := range results {
		row := rep.row(results[i].flowIndex)
		if v := results[i].outcome; results[i].sentAt < s.CountFrom && (v == answered || v == refused) {
			continue
		}
		if row.addResult(s, &results[i]) {
			worth += row.worth
		}
		if v := results[i].outcome; v != answered && v != refused && len(rep.Details) < maxDetails {
			rep.Details = append(rep.Details, fmt.Sprintf("%s %s at %.2fs after %.2fs: %s", results[i].requestID, outcomeNames[v], results[i].sentAt.Seconds(), results[i].totalTime.Seconds(), results[i].detail))
		}
	}
	for _, row := range rep.Rows {
		row.computeRates(rep.Seconds)
	}
	if s.Accelerators > 0 {
		rep.AttainedPerAccelerator = worth / rep.Seconds / float64(s.Accelerators)
	}
	sort.Slice(rep.Rows, func(i, j int) bool {
		a, b := rep.Rows[i], rep.Rows[j]
		return a.Rank < b.Rank || a.Rank == b.Rank && a.Caller < b.Caller
	})
	return rep
}

// row returns the row of a flow. Flows of the same caller and rank share a row.
func (r *Report) row(flow int) *Row {
	var key [2]string
	var worth float64
	if n := len(r.scenario.Streams); flow < n {
		f := &r.scenario.Streams[flow]
		key, worth = [2]string{f.Caller, f.Rank}, f.Worth
	} else {
		f := &r.scenario.Calls[flow-n]
		key, worth = [2]string{f.Caller, "call:" + f.Service}, f.Worth
	}
	row := r.rowsByKey[key]
	if row == nil {
		row = &Row{Caller: key[0], Rank: key[1], worth: worth, firstToken: newHistogram(), betweenTokens: newHistogram(), refusalTime: newHistogram()}
		r.rowsByKey[key] = row
		r.Rows = append(r.Rows, row)
	}
	return row
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicros, 3) }

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

// addResult counts a result and reports whether it met its targets.
func (row *Row) addResult(s *Scenario, res *result) bool {
	row.Sent++
	row.Tokens += res.tokens
	switch res.outcome {
	case refused:
		row.Refused++
		recordDuration(row.refusalTime, res.totalTime)
	case unknown:
		row.Unknown++
	case truncated:
		row.Truncated++
	case mismatched:
		row.Wrong++
	case failed:
		row.Failed++
	case unfinished:
		row.Unfinished++
	}
	if res.outcome != answered {
		return false
	}
	row.Answered++
	recordDuration(row.firstToken, res.firstToken)
	for _, g := range res.tokenGaps {
		recordDuration(row.betweenTokens, g)
	}
	if !res.meetsTargets(s) {
		return false
	}
	row.Attained++
	return true
}

// meetsTargets reports whether an answered request met the latency targets of its flow.
func (res *result) meetsTargets(s *Scenario) bool {
	if n := len(s.Streams); res.flowIndex >= n {
		target := s.Calls[res.flowIndex-n].LatencyTarget
		return target == 0 || res.totalTime <= target
	}
	f := &s.Streams[res.flowIndex]
	if f.FirstTokenTarget > 0 && res.firstToken > f.FirstTokenTarget {
		return false
	}
	if f.BetweenTokensTarget == 0 || len(res.tokenGaps) == 0 {
		return true
	}
	sorted := append([]time.Duration(nil), res.tokenGaps...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[(len(sorted)*95-1)/100] <= f.BetweenTokensTarget
}

// computeRates sets the quantiles, the attainment and the goodput from the counts.
func (row *Row) computeRates(seconds float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row.FirstP50Ms, row.FirstP95Ms = ms(row.firstToken, 50), ms(row.firstToken, 95)
	row.BetweenP95Ms, row.RefusedP95Ms = ms(row.betweenTokens, 95), ms(row.refusalTime, 95)
	row.Attainment = float64(row.Attained) / float64(max(row.Sent, 1))
	row.Goodput = float64(row.Attained) / seconds
}

// checkExecutions compares the answers to service calls with how often the service stand-ins executed each request.
func (r *Report) checkExecutions(results []result, executions map[string]int) {
	for i := range results {
		res := &results[i]
		if res.flowIndex < len(r.scenario.Streams) {
			continue
		}
		row, n := r.row(res.flowIndex), executions[res.requestID]
		violation := ""
		switch {
		case n > 1 && !idempotent(r.scenario.Calls[res.flowIndex-len(r.scenario.Streams)].Method):
			row.DuplicateExecutions++
			violation = "executed more than once"
		case n > 0 && res.outcome == refused:
			row.ExecutionsAfterRefusal++
			violation = "executed although it was refused"
		case n == 0 && res.outcome == answered:
			row.MissingExecutions++
			violation = "answered although not executed"
		}
		if violation != "" && len(r.Details) < maxDetails {
			r.Details = append(r.Details, res.requestID+" "+violation)
		}
	}
}

func idempotent(method string) bool { return method != "POST" && method != "PATCH" }

// Violations counts requests whose answer was truncated, mismatched or an unexpected status, that were unfinished when the
// run ended, or whose executions contradict their answer.
func (r *Report) Violations() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Truncated + row.Wrong + row.Failed + row.Unfinished + row.DuplicateExecutions + row.ExecutionsAfterRefusal + row.MissingExecutions
	}
	return n
}

// Unfinished counts requests that were in progress when the run ended. Violations includes them; they are no fault of the
// system if Scenario.Grace is shorter than the time that callers would wait.
func (r *Report) Unfinished() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Unfinished
	}
	return n
}

// WriteTable writes the report as a table for people to read.
func (r *Report) WriteTable(w io.Writer) {
	tw := tabwriter.NewWriter(w, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "caller\trank\tsent\tanswered\trefused\tunknown\tcut\twrong\tfailed\tunfinished\tdoubled\tfirst p50 ms\tfirst p95 ms\tbetween p95 ms\tattainment\tgoodput/s\t")
	for _, x := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%.1f\t\n", x.Caller, x.Rank, x.Sent, x.Answered, x.Refused,
			x.Unknown, x.Truncated, x.Wrong, x.Failed, x.Unfinished, x.DuplicateExecutions+x.ExecutionsAfterRefusal+x.MissingExecutions, x.FirstP50Ms, x.FirstP95Ms, x.BetweenP95Ms, x.Attainment, x.Goodput)
	}
	tw.Flush()
	if r.scenario.Accelerators > 0 {
		fmt.Fprintf(w, "worth attained per second and accelerator: %.3f\n", r.AttainedPerAccelerator)
	}
	if r.EngineOrders >= 0 {
		fmt.Fprintf(w, "orders to engines during the run: %d\n", r.EngineOrders)
	}
	for _, d := range r.Details {
		fmt.Fprintln(w, "  ", d)
	}
}

// WriteCSV writes the rows as comma-separated values.
func (r *Report) WriteCSV(w io.Writer) error {
	cw := csv.NewWriter(w)
	cw.Write([]string{"caller", "rank", "sent", "answered", "refused", "unknown", "cut", "wrong", "failed", "unfinished", "doubled", "first_p50_ms", "first_p95_ms", "between_p95_ms", "attainment", "goodput"})
	f := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
	for _, x := range r.Rows {
		cw.Write([]string{x.Caller, x.Rank, strconv.Itoa(x.Sent), strconv.Itoa(x.Answered), strconv.Itoa(x.Refused), strconv.Itoa(x.Unknown), strconv.Itoa(x.Truncated), strconv.Itoa(x.Wrong),
			strconv.Itoa(x.Failed), strconv.Itoa(x.Unfinished), strconv.Itoa(x.DuplicateExecutions + x.ExecutionsAfterRefusal + x.MissingExecutions), f(x.FirstP50Ms), f(x.FirstP95Ms), f(x.BetweenP95Ms), f(x.Attainment), f(x.Goodput)})
	}
	cw.Flush()
	return cw.Error()
}

// Group sums the rows for which key returns the same name. It skips rows for which key returns an empty name.
func (r *Report) Group(key func(*Row) string) []*Row {
	sums := make(map[string]*Row)
	var out []*Row
	for _, x := range r.Rows {
		name := key(x)
		if name == "" {
			continue
		}
		sum := sums[name]
		if sum == nil {
			sum = &Row{Caller: name, Rank: name, firstToken: newHistogram(), betweenTokens: newHistogram(), refusalTime: newHistogram()}
			sums[name] = sum
			out = append(out, sum)
		}
		sum.merge(x)
	}
	for _, sum := range out {
		sum.computeRates(r.Seconds)
	}
	return out
}

func (row *Row) merge(x *Row) {
	row.Sent += x.Sent
	row.Answered += x.Answered
	row.Refused += x.Refused
	row.Unknown += x.Unknown
	row.Truncated += x.Truncated
	row.Wrong += x.Wrong
	row.Failed += x.Failed
	row.Unfinished += x.Unfinished
	row.Attained += x.Attained
	row.Tokens += x.Tokens
	row.firstToken.Merge(x.firstToken)
	row.betweenTokens.Merge(x.betweenTokens)
	row.refusalTime.Merge(x.refusalTime)
}
