package upstream

import (
	"sync"
	"time"
)

// heldLogInterval is the shortest time between two reports that the bound is reached.
const heldLogInterval = time.Second

// Held counts the bytes that are held for callers and endpoints, by kind and account, and decides whether more may be. Its
// zero value holds nothing.
type Held struct {
	mu         sync.Mutex
	bytes      [HeldKinds]int64
	byAccount  map[string]*accountHeld // accounts that hold something
	decisions  [HeldEnd + 1]uint64
	reportedAt time.Time
	unread     uint64 // answers ended because their callers read nothing
}

// accountHeld is what the requests of one account hold.
type accountHeld struct{ bodies, answers int64 }

// of returns the counter to which a kind belongs.
func (a *accountHeld) of(kind HeldKind) *int64 {
	if kind == HeldBody {
		return &a.bodies
	}
	return &a.answers
}

// Holding is what one request holds of a kind. It is used by one goroutine at a time. Its zero value holds nothing, and can't
// grow.
type Holding struct {
	held    *Held
	kind    HeldKind
	account string
	limits  HeldLimits
	bytes   int64
}

// HeldReport describes a decision that was not to admit bytes.
type HeldReport struct {
	Kind     HeldKind
	Decision HeldDecision
	Account  string
	Need     int64
	Use      HeldUse
	Limits   HeldLimits
}

// New returns a holding without bytes on a host with the given memory. The account is empty for requests that have none.
func (h *Held) New(kind HeldKind, account string, memory int64) Holding {
	return h.NewWithin(kind, account, LimitsFor(kind, memory))
}

// NewWithin is like New, with limits of its own.
func (h *Held) NewWithin(kind HeldKind, account string, limits HeldLimits) Holding {
	return Holding{held: h, kind: kind, account: account, limits: limits}
}

// use returns what is held of the kinds that share a bound with kind. The caller holds the lock.
func (h *Held) use(kind HeldKind, account string) HeldUse {
	u := HeldUse{Host: h.bytes[HeldBody]}
	if kind != HeldBody {
		u.Host = h.bytes[HeldAnswer] + h.bytes[HeldEvents] + h.bytes[HeldCopy] + h.bytes[HeldHead]
	}
	if a := h.byAccount[account]; account != "" && a != nil {
		u.Account = *a.of(kind)
	}
	return u
}

// add changes what a holding holds. The caller holds the lock.
func (h *Held) add(g *Holding, n int64) {
	g.bytes += n
	h.bytes[g.kind] += n
	if g.account == "" {
		return
	}
	a := h.byAccount[g.account]
	if a == nil {
		if h.byAccount == nil {
			h.byAccount = make(map[string]*accountHeld)
		}
		a = &accountHeld{}
		h.byAccount[g.account] = a
	}
	*a.of(g.kind) += n
	if *a == (accountHeld{}) {
		delete(h.byAccount, g.account)
	}
}

// Grow adds n bytes if they are admitted. A report is returned if they are not and none was returned in the last second.
func (g *Holding) Grow(n int64) (HeldDecision, *HeldReport) {
	if g.held == nil || n <= 0 {
		return HeldAdmit, nil
	}
	h := g.held
	h.mu.Lock()
	defer h.mu.Unlock()
	u := h.use(g.kind, g.account)
	u.Connection = g.bytes
	d := g.limits.Decide(g.kind, n, u)
	h.decisions[d]++
	if d == HeldAdmit {
		h.add(g, n)
		return d, nil
	}
	now := time.Now()
	if now.Sub(h.reportedAt) < heldLogInterval {
		return d, nil
	}
	h.reportedAt = now
	return d, &HeldReport{g.kind, d, g.account, n, u, g.limits}
}

// Charge adds n bytes without a decision: the smallest buffer that a request in progress needs.
func (g *Holding) Charge(n int64) {
	if g.held == nil {
		return
	}
	g.held.mu.Lock()
	defer g.held.mu.Unlock()
	g.held.add(g, n)
}

// Shrink frees n bytes.
func (g *Holding) Shrink(n int64) { g.Charge(-n) }

// Release frees everything that is held.
func (g *Holding) Release() {
	if g.bytes != 0 {
		g.Charge(-g.bytes)
	}
}

// Pressed reports whether so much is held that reading from endpoints slows down.
func (g *Holding) Pressed() bool {
	if g.held == nil {
		return false
	}
	g.held.mu.Lock()
	defer g.held.mu.Unlock()
	return g.limits.Pressed(g.held.use(g.kind, g.account))
}

// Bytes returns the bytes held, by kind.
func (h *Held) Bytes() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int, HeldKinds)
	for k, n := range h.bytes {
		out[HeldKind(k).String()] = int(n)
	}
	return out
}

// Decisions returns how often bytes were admitted, slowed down, refused and ended.
func (h *Held) Decisions() map[string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]uint64, len(h.decisions))
	for d, n := range h.decisions {
		out[HeldDecision(d).String()] = n
	}
	return out
}

// AddUnread counts an answer that was ended because its caller read nothing.
func (h *Held) AddUnread() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unread++
}

// Unread returns the number of answers that were ended because their callers read nothing.
func (h *Held) Unread() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unread
}
