package host

import "time"

// The holder learns from an engine's report that an order was carried out, and requests reach a new copy only after that.
// It handles the load pattern of exchanges that follow a shift of demand: each consists of an unload that takes no time and
// a load of known length, and reports show a state that is 100 to 200 ms old. A report is therefore requested several
// times around the expected end, and rarely while an unload waits for requests in progress, because each report has a
// cost.
const (
	firstPollDelay       = 125 * time.Millisecond // after the expected end of the change; an earlier report does not show it
	frequentPollInterval = 100 * time.Millisecond // between polls around the expected end
	frequentPolls        = 4                      // polls at that interval
	rarePollInterval     = 250 * time.Millisecond // between later polls
)

// pollDelay returns the time to wait before a poll of an engine that carries out an order. poll counts from 0. takes is
// the expected duration of the change, which counts from the engine's answer to the order.
func pollDelay(poll int, takes time.Duration) time.Duration {
	switch {
	case poll == 0:
		return takes + firstPollDelay
	case poll < frequentPolls:
		return frequentPollInterval
	}
	return rarePollInterval
}
