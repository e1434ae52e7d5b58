package sched

import "sycamoredeal/internal/wire"

// observeRun updates the estimate of the run time of a plain service from the outcome of an attempt. Failures and requests
// that were sent again in the same slot don't count: they say nothing about the time of a run. The time from the grant to
// the outcome includes two messages between host and dispatcher. The ask and the grant take as long, and the target of a
// request doesn't include that time.
func (s *State) observeRun(r *request, d *wire.Done) {
	if r.endpoint.engine != nil || r.ask.Model != "" || d.TotalMs == 0 || d.Fault != 0 || d.Missing || d.Resends > 0 || r.ask.Resumed {
		return
	}
	total := ms(d.TotalMs)
	run := min(max(s.now-r.grantedAt, total), total+maxHostPath)
	s.serviceEstimateOf(r.ask.Service).runs.observe(run - min(ms(d.StreamMs), total))
}
