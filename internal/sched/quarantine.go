package sched

import (
	"cmp"
	"slices"
	"time"

	"sycamoredeal/internal/wire"
)

// Some prompts crash the engine that begins an answer on them. The requests come at all hosts and share one part of their
// prompts with each other, and other parts with sound requests. Without a memory of that, each engine that is left gets the
// next one and crashes as well, together with all streams in progress there.
//
// A request is suspect if its connection ended before its answer began. Its parts are suspected, except those on which
// answers have begun lately. Requests with a suspected part are then sent one at a time, each to an engine without another
// such request: an answer that begins clears the part, a second and a third engine that crash show that it is the part that
// crashes them. From then on it is blocked, and its requests are refused at once. A block ends after some time; the next
// request is a trial again.
//
// Engines that crash for other reasons, connections that are reset, answers that are lost and hosts that are cut off make parts
// suspected, which delays requests by one first token, but a block needs trials that fail at different processes one after the
// other. A connection that ends says nothing about the process behind it: a process that answers a later request has not
// crashed, which takes the suspicion and the block back. A block is short until the ends of all processes that crashed under a
// trial are known, so that it costs one trial if it is wrong and nothing shows that.
const (
	trialCrashesToBlock = 2 // processes that crashed under a trial of the part
	crashesOfKnownPart  = 3 // processes that crashed, until a part is suspected on which answers have begun
	// crashSpacing is the time within which crashes under such a part count as one: in the loss of a zone or a reset of
	// all connections, many processes have requests with a popular part.
	crashSpacing = 100 * time.Millisecond
	firstBlock   = 10 * time.Minute // doubles with each further block
	// ShortBlock is the length of a block while it is not known that the processes have ended, longer than it takes until their
	// entries are gone. It doubles with each further block.
	ShortBlock     = 5 * time.Second
	firstTrialWait = time.Second // after a trial without an answer, doubles up to ShortBlock
	maxBlock       = 4 * time.Hour
	suspicionLife  = 30 * time.Minute // after the last crash or the end of the block
	maxQuarantined = 1024             // suspected and blocked parts; bounds the memory
	maxBegunParts  = 16384            // parts remembered on which answers have begun
	maxListedParts = 64               // quarantined parts in a message
	maxTrialTime   = time.Second      // for which other requests with the part wait for the outcome of a trial
)

// engineProcess identifies a run of an engine.
type engineProcess struct {
	endpoint string
	born     int64
}

// crash is a process that ended the connection of a request before its answer began.
type crash struct {
	engineProcess
	at    time.Duration
	trial bool // the request was on trial
	ended bool // the process is known to have ended
}

// quarantinedPart is what is known of a part since an answer on it last began.
type quarantinedPart struct {
	crashed      []crash       // at most crashesOfKnownPart
	crashedAt    time.Duration // when the last of them crashed
	unconfirmed  bool          // the last block is short, since processes that crashed may not have ended
	suspected    bool          // its requests are sent one at a time
	trialCrashes int
	failedTrials int    // trials without an answer, whether or not a process has crashed
	lastEndpoint string // where the last request ended without an answer
	trial        trial
	blockedUntil time.Duration
	blocks       int           // number of blocks so far
	expiresAt    time.Duration // when it is forgotten
}

// trial is a request that is sent although its prompt has a suspected part. Other requests wait for its outcome, but not for
// longer than maxTrialTime: its engine or its host may be silent. The zero value is no trial.
type trial struct {
	request requestKey
	begunAt time.Duration
}

// pending reports whether other requests have to wait for the outcome.
func (t trial) pending(now time.Duration) bool {
	return t.request != requestKey{} && now-t.begunAt < maxTrialTime
}

// Quarantine decides which prompt parts requests may have. It is a state machine without I/O, like State. It is not safe for
// concurrent use.
type Quarantine struct {
	parts   map[uint64]*quarantinedPart
	begun   recentSet[uint64]
	version uint64 // incremented by each change of List
	changes []QuarantineChange
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{parts: make(map[uint64]*quarantinedPart), begun: newRecentSet[uint64](maxBegunParts)}
}

// States of a part in a QuarantineChange.
const (
	PartSuspected = "suspected"
	PartBlocked   = "blocked"
	PartCleared   = "cleared"
)

// QuarantineChange is a change of what is known of a part, for the log.
type QuarantineChange struct {
	Part     uint64
	State    string        // PartSuspected, PartBlocked or PartCleared
	Crashes  int           // processes that crashed under a trial
	Endpoint string        // where it crashed last, empty if another host reported it
	Block    time.Duration // length of the block
}

// sharedParts returns the parts of a prompt that other requests may have as well. The last part belongs to the request itself
// or to its session.
func sharedParts(parts []wire.PromptPart) []wire.PromptPart { return parts[:max(len(parts)-1, 0)] }

// Blocked returns how long the prompt's parts remain blocked, and false if none is.
func (q *Quarantine) Blocked(now time.Duration, prompt []wire.PromptPart) (left time.Duration, blocked bool) {
	if len(q.parts) == 0 {
		return 0, false
	}
	for _, p := range sharedParts(prompt) {
		if x := q.parts[p.ID]; x != nil {
			left = max(left, x.blockedUntil-now)
		}
	}
	return left, left > 0
}

// Suspected reports whether a request with the prompt has to be sent as a trial.
func (q *Quarantine) Suspected(prompt []wire.PromptPart) bool {
	if len(q.parts) == 0 {
		return false
	}
	return slices.ContainsFunc(sharedParts(prompt), func(p wire.PromptPart) bool { return q.parts[p.ID] != nil && q.parts[p.ID].suspected })
}

// onTrial reports whether a request is on trial for one of the prompt's parts.
func (q *Quarantine) onTrial(now time.Duration, prompt []wire.PromptPart) bool {
	return slices.ContainsFunc(sharedParts(prompt), func(p wire.PromptPart) bool {
		x := q.parts[p.ID]
		return x != nil && x.suspected && x.trial.pending(now)
	})
}

// startTrial makes a request the trial for the suspected parts of its prompt.
func (q *Quarantine) startTrial(t trial, prompt []wire.PromptPart) {
	for _, p := range sharedParts(prompt) {
		if x := q.parts[p.ID]; x != nil && x.suspected {
			x.trial = t
		}
	}
}

// endTrial ends the trial of a request, which may have shown nothing.
func (q *Quarantine) endTrial(k requestKey, prompt []wire.PromptPart) {
	for _, p := range sharedParts(prompt) {
		if x := q.parts[p.ID]; x != nil && x.trial.request == k {
			x.trial = trial{}
		}
	}
}

// Began records that an answer on a prompt has begun, which clears all its parts.
func (q *Quarantine) Began(prompt []wire.PromptPart) {
	for _, p := range sharedParts(prompt) {
		q.begun.add(p.ID)
		if x := q.parts[p.ID]; x != nil {
			delete(q.parts, p.ID)
			if x.suspected {
				q.note(p.ID, x, PartCleared, "", 0)
			}
		}
	}
}

// Crashed records that an engine ended the connection of a request before the answer began. onTrial is true if the request was
// the trial for the suspected parts of its prompt.
func (q *Quarantine) Crashed(now time.Duration, prompt []wire.PromptPart, endpoint string, born int64, onTrial bool) {
	process := engineProcess{endpoint, born}
	// Of parts that failed equally often, the last one is the most specific: sound requests share the parts before it.
	var worst, failed *quarantinedPart
	var worstPart, failedPart uint64
	for _, p := range sharedParts(prompt) {
		x := q.parts[p.ID]
		if x == nil {
			if x = q.add(now, p.ID); x == nil {
				continue
			}
		}
		x.lastEndpoint = endpoint
		if x.suspected && onTrial {
			x.failedTrials++
			if failed == nil || x.failedTrials >= failed.failedTrials {
				failed, failedPart = x, p.ID
			}
		}
		if slices.ContainsFunc(x.crashed, func(c crash) bool { return c.engineProcess == process }) {
			continue
		}
		wasSuspected, known := x.suspected, q.begun.has(p.ID)
		if known && !wasSuspected && len(x.crashed) > 0 && now-x.crashedAt < crashSpacing {
			continue
		}
		x.crashedAt = now
		c := crash{engineProcess: process, at: now, trial: wasSuspected && onTrial}
		if x.crashed = append(x.crashed, c); len(x.crashed) > crashesOfKnownPart {
			x.crashed = x.crashed[1:]
		}
		x.expiresAt = max(x.expiresAt, now+suspicionLife)
		if !wasSuspected && (!known || len(x.crashed) >= crashesOfKnownPart) {
			x.suspected = true
			q.note(p.ID, x, PartSuspected, endpoint, 0)
		}
		if !wasSuspected || !onTrial {
			continue
		}
		x.trialCrashes++
		q.version++
		if worst == nil || x.trialCrashes >= worst.trialCrashes {
			worst, worstPart = x, p.ID
		}
	}
	if failed != nil {
		q.delayTrial(now, failedPart, failed, endpoint)
	}
	if worst != nil && worst.trialCrashes >= trialCrashesToBlock {
		q.block(now, worstPart, worst, endpoint)
	}
}

// delayTrial blocks a part for a short time after a trial without an answer: the work of the next one might be lost as well.
func (q *Quarantine) delayTrial(now time.Duration, part uint64, x *quarantinedPart, endpoint string) {
	if until := now + trialWait(x.failedTrials); until > x.blockedUntil {
		x.blockedUntil = until
		q.note(part, x, PartBlocked, endpoint, until-now)
	}
}

// trialWait returns the time between a failed trial and the next one.
func trialWait(failed int) time.Duration { return min(firstTrialWait<<min(failed-1, 8), ShortBlock) }

// lostAt reports whether the last request with a suspected part of the prompt ended without an answer at an endpoint, so that a
// trial elsewhere shows more.
func (q *Quarantine) lostAt(endpoint string, prompt []wire.PromptPart) bool {
	return slices.ContainsFunc(sharedParts(prompt), func(p wire.PromptPart) bool {
		x := q.parts[p.ID]
		return x != nil && x.suspected && (x.lastEndpoint == endpoint || slices.ContainsFunc(x.crashed, func(c crash) bool { return c.endpoint == endpoint }))
	})
}

// block blocks a part. After the block, one more crash under a trial blocks it again.
func (q *Quarantine) block(now time.Duration, part uint64, x *quarantinedPart, endpoint string) {
	x.blocks++
	q.setBlock(now, part, x, endpoint)
	x.trialCrashes = trialCrashesToBlock - 1
}

// setBlock begins the last block of a part anew. It is short until all processes that crashed under a trial have ended.
func (q *Quarantine) setBlock(now time.Duration, part uint64, x *quarantinedPart, endpoint string) {
	x.unconfirmed = slices.ContainsFunc(x.crashed, func(c crash) bool { return c.trial && !c.ended })
	length := min(firstBlock<<min(x.blocks-1, 8), maxBlock)
	if x.unconfirmed {
		length = min(ShortBlock<<min(x.blocks-1, 8), length)
	}
	x.blockedUntil = now + length
	x.expiresAt = x.blockedUntil + suspicionLife
	q.note(part, x, PartBlocked, endpoint, length)
}

// Ended records that a process has ended. What crashed it may then be one of the parts that it had last.
func (q *Quarantine) Ended(now time.Duration, endpoint string, born int64) {
	for id, x := range q.parts {
		changed := false
		for i := range x.crashed {
			if c := &x.crashed[i]; c.engineProcess == (engineProcess{endpoint, born}) && !c.ended {
				c.ended, changed = true, true
			}
		}
		if changed && x.unconfirmed && !slices.ContainsFunc(x.crashed, func(c crash) bool { return c.trial && !c.ended }) {
			q.setBlock(now, id, x, endpoint)
		}
	}
}

// processes returns the processes that crashed and are not known to have ended.
func (q *Quarantine) processes() []engineProcess {
	var out []engineProcess
	for _, x := range q.parts {
		for _, c := range x.crashed {
			if !c.ended && !slices.Contains(out, c.engineProcess) {
				out = append(out, c.engineProcess)
			}
		}
	}
	return out
}

// Alive records that a process has answered a request that was sent to it at sentAt. It has not crashed before.
func (q *Quarantine) Alive(now time.Duration, endpoint string, born int64, sentAt time.Duration) {
	for id, x := range q.parts {
		i := slices.IndexFunc(x.crashed, func(c crash) bool {
			return c.engineProcess == (engineProcess{endpoint, born}) && c.at < sentAt
		})
		if i < 0 {
			continue
		}
		wasTrial := x.crashed[i].trial
		x.crashed = slices.Delete(x.crashed, i, i+1)
		q.version++
		if len(x.crashed) == 0 && !x.suspected {
			delete(q.parts, id)
			continue
		}
		// A suspected part stays on trial until an answer on it begins, since answers on it may still get lost.
		if !wasTrial {
			continue
		}
		x.trialCrashes = max(x.trialCrashes-1, 0)
		if wait := x.crashedAt + trialWait(max(x.failedTrials, 1)); x.blocks > 0 && x.blockedUntil > max(now, wait) {
			x.blockedUntil, x.unconfirmed = wait, false
			x.blocks--
			q.note(id, x, PartSuspected, endpoint, 0)
		}
	}
}

// add returns the new entry of a part, or nil if there is no room for it. A part that is blocked, on trial or has crashed more
// than one process never makes room, so that prompts with ever new parts can't displace what is known.
func (q *Quarantine) add(now time.Duration, part uint64) *quarantinedPart {
	q.forget(now)
	if len(q.parts) >= maxQuarantined {
		victim, found := uint64(0), false
		for id, x := range q.parts {
			if x.blockedUntil > now || x.trial.pending(now) || len(x.crashed) > 1 {
				continue
			}
			if v := q.parts[victim]; !found || x.expiresAt < v.expiresAt || x.expiresAt == v.expiresAt && id < victim {
				victim, found = id, true
			}
		}
		if !found {
			return nil
		}
		delete(q.parts, victim)
		q.version++
	}
	x := &quarantinedPart{expiresAt: now + suspicionLife}
	q.parts[part] = x
	return x
}

// forget drops the parts that have not crashed an engine for long.
func (q *Quarantine) forget(now time.Duration) {
	for id, x := range q.parts {
		if now > x.expiresAt {
			delete(q.parts, id)
			q.version++
		}
	}
}

func (q *Quarantine) note(part uint64, x *quarantinedPart, state, endpoint string, block time.Duration) {
	q.version++
	if len(q.changes) >= maxQuarantined {
		return // nobody takes them
	}
	q.changes = append(q.changes, QuarantineChange{Part: part, State: state, Crashes: x.trialCrashes, Endpoint: endpoint, Block: block})
}

// TakeChanges returns the changes since the previous call. The slice is valid until the next event.
func (q *Quarantine) TakeChanges() []QuarantineChange {
	out := q.changes
	q.changes = q.changes[:0]
	return out
}

// Version returns a number that changes whenever the result of List may have changed.
func (q *Quarantine) Version() uint64 { return q.version }

// List returns the blocked parts and then the suspected ones, at most maxListedParts.
func (q *Quarantine) List(now time.Duration) []wire.QuarantinedPart {
	var out []wire.QuarantinedPart
	for id, x := range q.parts {
		if x.suspected && now <= x.expiresAt {
			out = append(out, wire.QuarantinedPart{
				Part: id, TrialCrashes: uint8(min(x.trialCrashes, trialCrashesToBlock)), Blocks: uint8(min(x.blocks, 255)),
				BlockedMs: uint32(max(x.blockedUntil-now, 0).Milliseconds()), ExpiresMs: uint32((x.expiresAt - now).Milliseconds()),
			})
		}
	}
	slices.SortFunc(out, func(a, b wire.QuarantinedPart) int {
		return cmp.Or(cmp.Compare(b.BlockedMs, a.BlockedMs), cmp.Compare(b.TrialCrashes, a.TrialCrashes), cmp.Compare(b.ExpiresMs, a.ExpiresMs), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxListedParts)]
}

// Merge adds what another host knows. A part on which an answer has begun here is not suspected because of another host's
// older knowledge, but a block is taken over.
func (q *Quarantine) Merge(now time.Duration, list []wire.QuarantinedPart) {
	for _, m := range list {
		if m.BlockedMs == 0 && q.begun.has(m.Part) {
			continue
		}
		x := q.parts[m.Part]
		if x == nil {
			if x = q.add(now, m.Part); x == nil {
				continue
			}
		}
		before := *x
		x.suspected = true
		x.trialCrashes = max(x.trialCrashes, int(m.TrialCrashes))
		x.blocks = max(x.blocks, int(m.Blocks))
		// A block that is known already is not prolonged by the time that its report took, but by a longer one.
		if until := now + ms(m.BlockedMs); m.BlockedMs > 0 && (x.blockedUntil <= now || until > x.blockedUntil+ShortBlock) {
			x.blockedUntil = until
		}
		x.expiresAt = max(x.expiresAt, now+ms(m.ExpiresMs))
		switch {
		case before.blockedUntil <= now && x.blockedUntil > now:
			q.note(m.Part, x, PartBlocked, "", x.blockedUntil-now)
		case !before.suspected:
			q.note(m.Part, x, PartSuspected, "", 0)
		}
	}
}

// Replace replaces all suspected and blocked parts by those in a list.
func (q *Quarantine) Replace(now time.Duration, list []wire.QuarantinedPart) {
	listed := make(map[uint64]bool, len(list))
	for _, m := range list {
		listed[m.Part] = true
		if m.BlockedMs == 0 && q.parts[m.Part] != nil {
			q.parts[m.Part].blockedUntil = 0
		}
	}
	for id := range q.parts {
		if !listed[id] {
			delete(q.parts, id)
			q.version++
		}
	}
	q.Merge(now, list)
}
