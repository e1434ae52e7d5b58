package upstream

// HeldKind is a kind of bytes that a host holds for a caller or an endpoint.
type HeldKind int

// Kinds of held bytes.
const (
	HeldBody   HeldKind = iota // bodies of requests, which may have to be sent more than once
	HeldAnswer                 // answers that are read whole before they are passed on
	HeldEvents                 // buffers in which the events of streams are separated
	HeldCopy                   // buffers through which long answers are copied
	HeldHead                   // heads of answers that are longer than those of sound endpoints
	HeldKinds                  // number of kinds
)

// String returns the kind's name in metrics and log lines.
func (k HeldKind) String() string {
	return [...]string{"body", "answer", "events", "copy", "head"}[k]
}

// HeldDecision is what happens to bytes that are about to be held.
type HeldDecision int

// Decisions about bytes to be held.
const (
	HeldAdmit  HeldDecision = iota // they are held
	HeldSlow                       // they are left in the endpoint's connection, whose reading goes on at the reader's pace
	HeldRefuse                     // the request is refused before it is sent
	HeldEnd                        // the answer can't be passed on without holding more than one connection may, and ends
)

// String returns the decision's name in log lines.
func (d HeldDecision) String() string {
	return [...]string{"admit", "slow down", "refuse", "end"}[d]
}

const (
	bodyMemoryShare     = 0.25  // largest share of the process's memory for request bodies
	answerMemoryShare   = 0.125 // the same for all that is held of answers
	accountHeldShare    = 0.5   // largest share of either that one account's requests hold; the rest is left to others
	slowHeldShare       = 0.75  // of a bound; above it, answers are passed on as they arrive instead of being buffered whole
	connectionHeldShare = 0.125 // largest share of a bound that one connection holds
	minConnectionHeld   = 64 << 10
	smallAnswerBytes    = 64 << 10 // answers up to this size are buffered until the bound is reached
)

// HeldLimits bounds the bytes that are held: each of the three numbers covers a wider scope than the one before.
type HeldLimits struct{ Connection, Account, Host int64 }

// LimitsFor returns the bounds for a kind on a host with the given memory in bytes.
func LimitsFor(kind HeldKind, memory int64) HeldLimits {
	share := answerMemoryShare
	if kind == HeldBody {
		share = bodyMemoryShare
	}
	host := int64(share * float64(memory))
	l := HeldLimits{Host: host, Account: int64(accountHeldShare * float64(host))}
	l.Connection = min(max(int64(connectionHeldShare*float64(host)), minConnectionHeld), l.Account)
	if kind == HeldBody {
		l.Connection = l.Account // the configuration limits the size of one body
	}
	return l
}

// HeldUse is what is held now, of the kinds that share a bound.
type HeldUse struct {
	Connection int64 // for the request itself
	Account    int64 // for all requests of its account; 0 if it has none
	Host       int64
}

// Decide returns what happens to need further bytes of a kind.
//
// Load patterns: many callers that read their answers of up to 1 MB slowly, at once (the answers are then passed on as they
// arrive, at each caller's pace, and the rest stays with the endpoint); one account whose callers all read slowly, while others
// need memory (its bound is half of the host's); many long bodies to an endpoint that reads slowly (new requests are refused);
// endpoints that send events without an end (the stream ends at the bound of one connection), or heads without an end on many
// connections (the answers end at the bound of the host).
func (l HeldLimits) Decide(kind HeldKind, need int64, u HeldUse) HeldDecision {
	overConnection := u.Connection+need > l.Connection
	over := overConnection || u.Account+need > l.Account || u.Host+need > l.Host
	if kind == HeldBody {
		if over {
			return HeldRefuse
		}
		return HeldAdmit
	}
	if kind == HeldHead && !over {
		return HeldAdmit
	}
	if kind == HeldHead || kind == HeldEvents && overConnection {
		return HeldEnd
	}
	small := u.Connection+need <= smallAnswerBytes
	if over || !small && l.Pressed(HeldUse{Account: u.Account + need, Host: u.Host + need}) {
		return HeldSlow
	}
	return HeldAdmit
}

// Pressed reports whether so much is held that reading from endpoints slows down, before the bound is reached.
func (l HeldLimits) Pressed(u HeldUse) bool {
	return float64(u.Account) > slowHeldShare*float64(l.Account) || float64(u.Host) > slowHeldShare*float64(l.Host)
}
