package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/rendezvous"
	"sycamoredeal/internal/wire"
)

const (
	// forwardedHeader marks a request that another entry has forwarded, so that it makes at most one hop. Its value is
	// the time in milliseconds that the request has spent there.
	forwardedHeader = "X-Sycamore-Forwarded"
	// notHere is the status of an entry whose cell has no copy of the model of a forwarded request. Another may be tried.
	notHere = http.StatusMisdirectedRequest
	// unreachableFor is the time for which an endpoint that refused a connection is not preferred to another cell.
	unreachableFor = 2 * time.Second
	refusedTitle   = "Not served in time"
)

// remoteHosts indexes the hosts of other cells by the models that their cells serve.
func remoteHosts(u *wire.DirectoryUpdate) map[string][]wire.Member {
	cells := make(map[string][]wire.Member)
	for _, c := range u.Cells {
		for _, m := range c.Members {
			if m.CallerAddress != "" && !m.Leaving {
				cells[c.Cell] = append(cells[c.Cell], m)
			}
		}
	}
	out := make(map[string][]wire.Member)
	for _, m := range u.Models {
		for _, c := range m.Cells {
			out[m.Model] = append(out[m.Model], cells[c]...)
		}
	}
	return out
}

// unreachable remembers endpoints that lately could not be connected to.
type unreachable struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (u *unreachable) note(endpoint string, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !failed {
		delete(u.until, endpoint)
		return
	}
	if u.until == nil {
		u.until = make(map[string]time.Time)
	}
	u.until[endpoint] = time.Now().Add(unreachableFor)
}

func (u *unreachable) has(endpoint string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Now().Before(u.until[endpoint])
}

// remote returns the caller address of an entry of another cell for the next attempt. It returns "" if the request
// should be served by this cell, was forwarded already, or no untried entry serves its model.
func (r *completion) remote() string {
	if r.forwarded {
		return ""
	}
	v := r.e.view.Load()
	for _, name := range v.Residents(r.ask.Model) {
		if !r.e.unreachable.has(name) && !r.failed[name] {
			return ""
		}
	}
	hosts := make(map[string]string)
	for _, m := range v.Remote[r.ask.Model] {
		if !r.tried[m.CallerAddress] {
			hosts[m.CallerAddress] = m.CallerAddress
		}
	}
	var addrs []string
	for a := range hosts {
		addrs = append(addrs, a)
	}
	return rendezvous.Pick(r.upstream, addrs)
}

// forward makes one attempt at an entry of another cell. The answer is read like that of an endpoint, so a stream that
// breaks there is resumed from its next token.
func (r *completion) forward(ctx context.Context, addr string) result {
	body, err := r.body.encode(r.x.rank.Order, r.seq.soFar())
	if err != nil {
		return result{outcome: attempt.NotSent, problem: refusal(http.StatusBadRequest, "Malformed request body", err.Error(), 0)}
	}
	h := http.Header{}
	h.Set("Authorization", string(r.x.c.GetHeader("Authorization")))
	h.Set(rankHeader, r.x.rank.Name)
	h.Set(forwardedHeader, strconv.FormatInt(time.Since(r.x.start).Milliseconds(), 10))
	// The request may wait in the other cell's queue until its deadline, where it is refused.
	first := max(time.Until(r.x.deadline()), minFirstToken)
	if r.seq.last() > 0 {
		first = r.e.opts.FirstTokenTimeout
	}
	res := r.exchange(ctx, target{addr: addr, body: body, header: h, refused: refusedByEntry, first: first}, nil, func() {})
	r.seq.restart()
	return res
}

// refusedByEntry classifies an error answer of another entry by what it says of the execution.
func refusedByEntry(resp *http.Response) result {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	p := problem{Executed: attempt.ExecutedUnknown}
	json.Unmarshal(b, &p)
	res := result{outcome: attempt.Unknown, err: errors.Errorf("entry of another cell answered %d: %s", resp.StatusCode, b)}
	if p.Executed == attempt.ExecutedNo {
		res.outcome = attempt.Refused
	}
	s := resp.StatusCode
	final := s >= 400 && s < 500 && s != http.StatusNotFound && s != http.StatusUnauthorized && s != notHere
	if final || s == http.StatusServiceUnavailable && p.Title == refusedTitle {
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		res.problem = newProblem(s, p.Title, p.Detail, res.outcome, time.Duration(seconds)*time.Second)
	}
	return res
}

// acceptForwarded prepares a request that another entry has forwarded: its time there counts, and an answer that it has
// begun continues after the events that it has.
func (r *completion) acceptForwarded() {
	spent := r.x.c.GetHeader(forwardedHeader)
	if len(spent) == 0 {
		return
	}
	r.forwarded = true
	if ms, err := strconv.Atoi(string(spent)); err == nil && ms > 0 {
		r.x.start = r.x.start.Add(-min(time.Duration(ms)*time.Millisecond, time.Hour))
	}
	last, err := strconv.ParseUint(string(r.x.c.GetHeader("Last-Event-ID")), 10, 63)
	if err != nil || last == 0 {
		return
	}
	text := make([]string, r.body.N)
	raw := r.body.fields["resume_text"]
	if json.Unmarshal(raw, &text[0]) != nil && json.Unmarshal(raw, &text) != nil || len(text) != r.body.N {
		return
	}
	r.seq.next, r.seq.text = last+1, text
	r.progress = time.Now()
}
