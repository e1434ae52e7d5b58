package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"sycamoredeal/internal/httpjson"
)

type run struct {
	*Scenario
	balancer *balancer
	client   *http.Client
	id       string
}

// Run plays a scenario and returns its report. It ends at the latest after the duration and the grace of the scenario.
func Run(ctx context.Context, s *Scenario) (*Report, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	arrivals := schedule(s)
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Grace)
	defer cancel()
	r := &run{
		Scenario: s, balancer: newBalancer(s.EntryAddrs), id: uuid.NewString()[:8],
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
	r.balancer.check(ctx)
	go r.balancer.run(ctx)
	movesBefore, movesKnown := r.moves(ctx)
	results := r.play(ctx, arrivals)
	rep := newReport(s, results)
	if after, ok := r.moves(ctx); ok && movesKnown {
		rep.EngineOrders = after - movesBefore
	}
	if len(s.ServiceAddrs) > 0 {
		executions, err := r.executions(context.WithoutCancel(ctx))
		if err != nil {
			return nil, err
		}
		rep.compare(results, executions)
	}
	return rep, nil
}

func (r *run) play(ctx context.Context, arrivals []arrival) []result {
	results := make([]result, len(arrivals))
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if wait := a.at - time.Since(start); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", r.id, i)
			if a.flow < len(r.Streams) {
				results[i] = r.complete(ctx, a, id)
			} else {
				results[i] = r.call(ctx, a, id)
			}
			if results[i].verdict == truncated && ctx.Err() != nil {
				results[i].verdict = unfinished // the run ended it, not the system
			}
			results[i].sent = a.at
		})
	}
	wg.Wait()
	return results
}

// moves returns how many orders to engines the cell has decided so far.
func (r *run) moves(ctx context.Context) (int, bool) {
	for _, addr := range r.AdminAddrs {
		var st struct {
			Orders int `json:"orders"`
		}
		if httpjson.Get(ctx, "http://"+addr+"/v1/status", &st) == nil {
			return st.Orders, true
		}
	}
	return 0, false
}

// executions returns how often each request id was executed by the service stand-ins.
func (r *run) executions(ctx context.Context) (map[string]int, error) {
	all := make(map[string]int)
	for _, addr := range r.ServiceAddrs {
		var counts map[string]int
		if err := httpjson.Get(ctx, "http://"+addr+"/_executions", &counts); err != nil {
			return nil, err
		}
		for id, n := range counts {
			all[id] += n
		}
	}
	return all, nil
}
