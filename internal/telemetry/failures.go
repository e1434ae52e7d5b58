package telemetry

import (
	"sync/atomic"
	"time"
)

const failureLogInterval = 10 * time.Second // a stranger may try again many times a second

// FailedHandshakeLogger returns a function that logs connections of the project's own protocol that failed in their
// handshake, at most one in 10 s.
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
