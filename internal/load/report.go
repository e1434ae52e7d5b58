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
	maxRecorded = int64(10 * time.Minute / time.Microsecond)
	keptDetails = 20
)

// Row is the account of one caller and rank, or of the calls to one service.
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
	DuplicateExecutions    int     `json:"doubled"`    // executed more than once
	ExecutionsAfterRefusal int     `json:"ranAfterNo"` // executed although told "not run"
	MissingExecutions      int     `json:"lost"`       // answered although never executed
	Attained               int     `json:"attained"`   // met the targets
	Attainment             float64 `json:"attainment"` // attained / sent
	Goodput                float64 `json:"goodput"`    // attained a second
	FirstP50Ms             float64 `json:"firstP50Ms"` // time to first token
	FirstP95Ms             float64 `json:"firstP95Ms"`
	BetweenP95Ms           float64 `json:"betweenP95Ms"` // time between tokens
	RefusedP95Ms           float64 `json:"refusedP95Ms"` // time to a refusal
	Tokens                 int     `json:"tokens"`
	worth                  float64
	first                  *hdrhistogram.Histogram
	between                *hdrhistogram.Histogram
	refusal                *hdrhistogram.Histogram
}

// Report is the account of a run.
type Report struct {
	Seconds                float64  `json:"seconds"`
	Rows                   []*Row   `json:"rows"`
	AttainedPerAccelerator float64  `json:"attainedPerAccelerator"` // worth attained a second for each accelerator
	EngineOrders           int      `json:"moves"`                  // orders to engines during the run, -1 if unknown
	Details                []string `json:"details"`                // first requests that went wrong
	rows                   map[[2]string]*Row
	scenario               *Scenario
}

func newReport(s *Scenario, results []result) *Report {
	rep := &Report{Seconds: (s.Duration - s.CountFrom).Seconds(), EngineOrders: -1, rows: make(map[[2]string]*Row), scenario: s}
	worth := 0.0
	for i := range results {
		row := rep.row(results[i].flow)
		if v := results[i].verdict; results[i].sent < s.CountFrom && (v == answered || v == refused) {
			continue
		}
		if row.add(s, &results[i]) {
			worth += row.worth
		}
		if v := results[i].verdict; v != answered && v != refused && len(rep.Details) < keptDetails {
			rep.Details = append(rep.Details, fmt.Sprintf("%s %s at %.2fs after %.2fs: %s", results[i].id, verdictNames[v], results[i].sent.Seconds(), results[i].total.Seconds(), results[i].detail))
		}
	}
	for _, row := range rep.Rows {
		row.finish(rep.Seconds)
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

// row returns the row of a flow; flows of the same caller and rank share one.
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
	row := r.rows[key]
	if row == nil {
		row = &Row{Caller: key[0], Rank: key[1], worth: worth, first: newHistogram(), between: newHistogram(), refusal: newHistogram()}
		r.rows[key] = row
		r.Rows = append(r.Rows, row)
	}
	return row
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), maxRecorded))
}

// add counts a result and tells whether it met its targets.
func (row *Row) add(s *Scenario, res *result) bool {
	row.Sent++
	row.Tokens += res.tokens
	switch res.verdict {
	case refused:
		row.Refused++
		record(row.refusal, res.total)
	case unknown:
		row.Unknown++
	case truncated:
		row.Truncated++
	case wrong:
		row.Wrong++
	case failed:
		row.Failed++
	case unfinished:
		row.Unfinished++
	}
	if res.verdict != answered {
		return false
	}
	row.Answered++
	record(row.first, res.first)
	for _, g := range res.gaps {
		record(row.between, g)
	}
	if !res.meets(s) {
		return false
	}
	row.Attained++
	return true
}

// meets tells whether an answered request met the targets of its flow.
func (res *result) meets(s *Scenario) bool {
	if n := len(s.Streams); res.flow >= n {
		target := s.Calls[res.flow-n].LatencyTarget
		return target == 0 || res.total <= target
	}
	f := &s.Streams[res.flow]
	if f.FirstTokenTarget > 0 && res.first > f.FirstTokenTarget {
		return false
	}
	if f.BetweenTokensTarget == 0 || len(res.gaps) == 0 {
		return true
	}
	gaps := append([]time.Duration(nil), res.gaps...)
	sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
	return gaps[(len(gaps)*95-1)/100] <= f.BetweenTokensTarget
}

func (row *Row) finish(seconds float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row.FirstP50Ms, row.FirstP95Ms = ms(row.first, 50), ms(row.first, 95)
	row.BetweenP95Ms, row.RefusedP95Ms = ms(row.between, 95), ms(row.refusal, 95)
	row.Attainment = float64(row.Attained) / float64(max(row.Sent, 1))
	row.Goodput = float64(row.Attained) / seconds
}

// compare sets what callers were told against how often their requests were executed.
func (r *Report) compare(results []result, executions map[string]int) {
	for i := range results {
		res := &results[i]
		if res.flow < len(r.scenario.Streams) {
			continue
		}
		row, n := r.row(res.flow), executions[res.id]
		what := ""
		switch {
		case n > 1 && !idempotent(r.scenario.Calls[res.flow-len(r.scenario.Streams)].Method):
			row.DuplicateExecutions++
			what = "executed more than once"
		case n > 0 && res.verdict == refused:
			row.ExecutionsAfterRefusal++
			what = "executed although told that it was not run"
		case n == 0 && res.verdict == answered:
			row.MissingExecutions++
			what = "answered although not executed"
		}
		if what != "" && len(r.Details) < keptDetails {
			r.Details = append(r.Details, res.id+" "+what)
		}
	}
}

func idempotent(method string) bool { return method != "POST" && method != "PATCH" }

// Violations counts requests that were lost, doubled, cut, wrong, without an answer when the run ended, or executed
// although told "not run".
func (r *Report) Violations() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Truncated + row.Wrong + row.Failed + row.Unfinished + row.DuplicateExecutions + row.ExecutionsAfterRefusal + row.MissingExecutions
	}
	return n
}

// Unfinished counts requests that were in progress when the run ended. They are violations unless the grace of the
// scenario is shorter than what callers would wait.
func (r *Report) Unfinished() int {
	n := 0
	for _, row := range r.Rows {
		n += row.Unfinished
	}
	return n
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) {
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "caller\trank\tsent\tanswered\trefused\tunknown\tcut\twrong\tfailed\tunfinished\tdoubled\tfirst p50 ms\tfirst p95 ms\tbetween p95 ms\tattainment\tgoodput/s\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t%.1f\t\n", x.Caller, x.Rank, x.Sent, x.Answered, x.Refused,
			x.Unknown, x.Truncated, x.Wrong, x.Failed, x.Unfinished, x.DuplicateExecutions+x.ExecutionsAfterRefusal+x.MissingExecutions, x.FirstP50Ms, x.FirstP95Ms, x.BetweenP95Ms, x.Attainment, x.Goodput)
	}
	t.Flush()
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
	c := csv.NewWriter(w)
	c.Write([]string{"caller", "rank", "sent", "answered", "refused", "unknown", "cut", "wrong", "failed", "unfinished", "doubled", "first_p50_ms", "first_p95_ms", "between_p95_ms", "attainment", "goodput"})
	f := func(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }
	for _, x := range r.Rows {
		c.Write([]string{x.Caller, x.Rank, strconv.Itoa(x.Sent), strconv.Itoa(x.Answered), strconv.Itoa(x.Refused), strconv.Itoa(x.Unknown), strconv.Itoa(x.Truncated), strconv.Itoa(x.Wrong),
			strconv.Itoa(x.Failed), strconv.Itoa(x.Unfinished), strconv.Itoa(x.DuplicateExecutions + x.ExecutionsAfterRefusal + x.MissingExecutions), f(x.FirstP50Ms), f(x.FirstP95Ms), f(x.BetweenP95Ms), f(x.Attainment), f(x.Goodput)})
	}
	c.Flush()
	return c.Error()
}

// Group adds up the rows of completions that key maps to the same name; an empty name leaves a row out.
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
			sum = &Row{Caller: name, Rank: name, first: newHistogram(), between: newHistogram(), refusal: newHistogram()}
			sums[name] = sum
			out = append(out, sum)
		}
		sum.merge(x)
	}
	for _, sum := range out {
		sum.finish(r.Seconds)
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
	row.first.Merge(x.first)
	row.between.Merge(x.between)
	row.refusal.Merge(x.refusal)
}
