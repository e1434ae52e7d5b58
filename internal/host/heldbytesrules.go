package host

import "time"

const (
	// unreadTimeSending is how long a caller may take nothing of an answer that its endpoint is still sending. The endpoint
	// waits meanwhile, and a server cuts off an answer that stays unread for some seconds, here taken as 5 s: an end by the
	// server would look like its fault. It is twice the least patience of a stream's caller (2 s), so that no caller that is
	// still waiting is ended for one pause, and a socket's buffer of 64 KB passes at 16 KB/s.
	unreadTimeSending = 4 * time.Second
	// unreadTimeWhole is the same for an answer that has been read whole, which keeps no endpoint waiting.
	unreadTimeWhole = callerWriteTimeout
	// finalWriteTime is how long a write may go on after the request's time is over, its caller has left or this host stops. It
	// fits into finalAnswerTime, in which a stop answers the requests that are still in progress.
	finalWriteTime = finalAnswerTime / 2
	// maxEventMemoryWait is how long a stream waits for the memory of a long event. Its endpoint waits meanwhile.
	maxEventMemoryWait = 2 * time.Second
	// callerBlockedTime is the time from which a write counts as held up by the caller.
	callerBlockedTime = 100 * time.Millisecond
	// callerHoldUpTime is the time from which a write of at most callerWriteBytes shows that the caller is slower than the
	// network.
	callerHoldUpTime = 5 * time.Millisecond
	// unreadByEndpointTime is the time without reading after which an endpoint that ends its answer is taken to have cut off an
	// answer that stayed unread, which is no fault of it.
	unreadByEndpointTime = time.Second
)

// unreadTime returns how long a caller may take nothing while data is pending. whole says that the answer was read whole, and
// pressed that so much is held for slow readers that others could lack memory.
//
// Load pattern: callers that stop reading and keep their connections, alone or many at once. Callers that read slowly at an even
// pace take something within each such time and are served to the end.
func unreadTime(whole, pressed bool) time.Duration {
	if whole && !pressed {
		return unreadTimeWhole
	}
	return unreadTimeSending
}

// writeLimit returns the time at which a write that begins now has to end: when the caller has taken nothing for unread, and
// not after end, the end of the request's time, if there is one. An answer that begins just before the end gets finalWriteTime.
func writeLimit(now, begun, end time.Time, unread time.Duration) time.Time {
	limit := now.Add(unread)
	if end.IsZero() {
		return limit
	}
	if last := begun.Add(finalWriteTime); end.Before(last) {
		end = last
	}
	if end.Before(limit) {
		return end
	}
	return limit
}
