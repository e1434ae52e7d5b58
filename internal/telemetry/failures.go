package telemetry

import (
	"sync/atomic"
	"time"
)

const failureLogInterval = 10 * time.Second // an untrusted peer may retry many times a second

// FailedHandshakeLogger returns a function that logs connections between the project's own processes that failed in the
// handshake. It logs at most one failure per failureLogInterval.
func (g Logger) FailedHandshakeLogger() func(addr string, err error) {
	var next atomic.Int64
	start := time.Now()
	return func(addr string, err error) {
		now := int64(time.Since(start))
		if due := next.Load(); now >= due && next.CompareAndSwap(due, now+int64(failureLogInterval)) {
			g.Warn().Str("address", addr).Err(err).Msg("Handshake with another process failed.")
		}
	}
}
