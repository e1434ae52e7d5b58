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

// run is one run of a scenario.
type run struct {
	*Scenario
	balancer *balancer
	client   *http.Client
	idPrefix string // start of each request id, different in each run
}

// Run sends the requests of a scenario and returns the report. It cancels requests that are still in progress when the
// scenario's Duration and Grace have passed.
func Run(ctx context.Context, s *Scenario) (*Report, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	arrivals := schedule(s)
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Grace)
	defer cancel()
	r := &run{
		Scenario: s, balancer: newBalancer(s.EntryAddrs), idPrefix: uuid.NewString()[:8],
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
	r.balancer.checkReadiness(ctx)
	go r.balancer.run(ctx)
	ordersBefore, ordersKnown := r.countEngineOrders(ctx)
	results := r.sendAll(ctx, arrivals)
	rep := newReport(s, results)
	if after, ok := r.countEngineOrders(ctx); ok && ordersKnown {
		rep.EngineOrders = after - ordersBefore
	}
	if len(s.ServiceAddrs) > 0 {
		executions, err := r.fetchExecutions(context.WithoutCancel(ctx))
		if err != nil {
			return nil, err
		}
		rep.checkExecutions(results, executions)
	}
	return rep, nil
}

// sendAll sends each request at its scheduled time and waits until all have ended.
func (r *run) sendAll(ctx context.Context, arrivals []arrival) []result {
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
			id := fmt.Sprintf("%s-%d", r.idPrefix, i)
			if a.flowIndex < len(r.Streams) {
				results[i] = r.sendCompletion(ctx, a, id)
			} else {
				results[i] = r.sendCall(ctx, a, id)
			}
			if results[i].outcome == truncated && ctx.Err() != nil {
				results[i].outcome = unfinished // cancelled by the end of the run, not by the system
			}
			results[i].sentAt = a.at
		})
	}
	wg.Wait()
	return results
}

// countEngineOrders returns the number of orders to engines that the cell has decided so far, from the first control
// process that answers. It returns false if none does.
func (r *run) countEngineOrders(ctx context.Context) (int, bool) {
	for _, addr := range r.AdminAddrs {
		var status struct {
			Orders int `json:"orders"`
		}
		if httpjson.Get(ctx, "http://"+addr+"/v1/status", &status) == nil {
			return status.Orders, true
		}
	}
	return 0, false
}

// fetchExecutions returns how often the service stand-ins have executed each request, by request id.
func (r *run) fetchExecutions(ctx context.Context) (map[string]int, error) {
	total := make(map[string]int)
	for _, addr := range r.ServiceAddrs {
		var counts map[string]int
		if err := httpjson.Get(ctx, "http://"+addr+"/_executions", &counts); err != nil {
			return nil, err
		}
		for id, n := range counts {
			total[id] += n
		}
	}
	return total, nil
}
