// Package limits implements the token bucket with which the host bounds rates.
package limits

import "time"

// Bucket is a token bucket. Its rate and capacity are passed with each refill, because both change with the configuration and
// with the number of hosts that share a limit. The zero value is empty at time 0. It is not safe for concurrent use.
type Bucket struct {
	Level float64       // units that may be taken; below 0 after units that had to be counted beyond the level
	At    time.Duration // time of the last refill
}

// Refill adds the units of the time since the last refill, up to capacity, and returns the units that exceeded it. A level above
// capacity is lowered to it.
func (b *Bucket) Refill(now time.Duration, perSec, capacity float64) (lost float64) {
	level := b.Level + perSec*(now-b.At).Seconds()
	b.Level, b.At = min(level, capacity), now
	return level - b.Level
}

// Take takes n units and reports whether the bucket held them. Otherwise it takes none.
func (b *Bucket) Take(n float64) bool {
	if b.Level < n {
		return false
	}
	b.Level -= n
	return true
}
