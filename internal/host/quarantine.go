package host

import (
	"strconv"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

// replaceQuarantine replaces the known suspected and blocked prompt parts by the dispatcher's. The caller holds the lock.
func (b *binder) replaceQuarantine(list []wire.QuarantinedPart) {
	b.quarantine.Replace(clock.Boot(), list)
	for _, c := range b.quarantine.TakeChanges() {
		if c.State == sched.PartBlocked {
			b.log.Info().Str("promptPart", strconv.FormatUint(c.Part, 16)).Int64("blockMs", c.Block.Milliseconds()).Msg("Prompt part is blocked, by the dispatcher.")
		}
	}
}

// blockedPartCount returns the number of blocked prompt parts.
func (b *binder) blockedPartCount() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.quarantine.List(clock.Boot()) {
		if p.BlockedMs > 0 {
			n++
		}
	}
	return float64(n)
}

// promptBlocked returns for how long a part of the prompt is still blocked, 0 if none is.
func (b *binder) promptBlocked(prompt []wire.PromptPart) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, _ := b.quarantine.Blocked(clock.Boot(), prompt)
	return max(left, 0)
}
