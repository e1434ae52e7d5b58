package claims

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/wire"
)

// world is a platform with faults and machines of one shard that share it.
type world struct {
	now      time.Time
	objects  map[uint64]Stored
	version  int
	late     []Write // writes whose answer was lost and that may take effect later
	machines []*owner
	holder   map[string]string
	released map[string]bool  // attempts that the platform shows as released
	freed    map[string]bool  // attempts whose release is confirmed
	last     *wire.ClaimReply // latest reply to a claim
	replies  map[uint64]wire.ClaimReply
	failed   string
}

type owner struct {
	m       *Machine
	io      Action // outstanding Load, Write or Delete
	pending map[uint64]wire.ClaimRequest
	results map[uint64]string // attempts to release
}

func newWorld(n int, retention time.Duration) *world {
	w := &world{now: time.Unix(1000, 0), objects: make(map[uint64]Stored), holder: make(map[string]string), released: make(map[string]bool), freed: make(map[string]bool), replies: make(map[uint64]wire.ClaimReply)}
	for range n {
		w.machines = append(w.machines, &owner{m: NewMachine(3, retention), pending: make(map[uint64]wire.ClaimRequest), results: make(map[uint64]string)})
	}
	return w
}

func (w *world) store(x Write) (string, WriteResult) {
	cur, ok := w.objects[x.Seq]
	if ok != (x.Version != "") || cur.Version != x.Version {
		return "", WriteConflict
	}
	w.version++
	x.Stored.Version = fmt.Sprint(w.version)
	w.objects[x.Seq] = x.Stored
	for _, r := range x.Records {
		if r.Outcome.NotExecuted() {
			w.released[r.Attempt] = true
		}
	}
	return x.Stored.Version, WriteDone
}

func (w *world) load(l Load) []Stored {
	var out []Stored
	for seq := uint64(0); seq <= uint64(w.version)+1; seq++ {
		s, ok := w.objects[seq]
		if ok && (l.All || seq >= l.From) {
			out = append(out, s)
		}
	}
	return out
}

// take handles the actions of a machine. A grant to a second attempt of a key is the failure looked for.
func (w *world) take(o *owner, as []Action) {
	for _, a := range as {
		switch a := a.(type) {
		case Reply:
			w.last, w.replies[a.Token] = &a.ClaimReply, a.ClaimReply
			c := o.pending[a.Token]
			if a.State != wire.ClaimGranted {
				continue
			}
			if h := w.holder[c.Key]; h != "" && h != c.Attempt && !w.released[h] {
				w.failed = fmt.Sprintf("key %s granted to %s while %s holds it", c.Key, c.Attempt, h)
			}
			w.holder[c.Key] = c.Attempt
		case Confirm:
			if x := o.results[a.Token]; x != "" {
				w.freed[x] = true
			}
		case Wake, Drop:
		default:
			if o.io != nil {
				w.failed = "two outstanding actions"
			}
			o.io = a
		}
	}
}

// finish ends the outstanding action of a machine: 0 normally, 1 with a lost answer after the effect, 2 with a lost
// answer and a late effect, 3 without effect.
func (w *world) finish(o *owner, how int) {
	a := o.io
	o.io = nil
	switch a := a.(type) {
	case Load:
		w.take(o, o.m.Loaded(w.now, w.load(a), how != 3))
	case Write:
		version, res := "", WriteUnclear
		switch how {
		case 0:
			version, res = w.store(a)
		case 1:
			w.store(a)
		case 2:
			w.late = append(w.late, a)
		}
		w.take(o, o.m.Written(w.now, version, res))
	case Delete:
		delete(w.objects, a.Seq)
		w.take(o, o.m.Deleted(w.now, WriteDone))
	}
}

// checkFreed looks for a key that is held by an attempt whose release was confirmed before.
func (w *world) checkFreed() {
	m := NewMachine(3, 0)
	m.install(w.load(Load{All: true}))
	for k, h := range m.index {
		if h.Outcome == 0 && w.freed[h.Attempt] {
			w.failed = fmt.Sprintf("key %s is held by %s, which was released", k.key, h.Attempt)
		}
	}
}

// TestNoKeyIsGrantedTwice guards against a second grant of a key with two owners, lost answers, conflicts, late
// effects and crashes, unless the first attempt was released as not run; and against a key that stays held by an attempt
// whose release was confirmed.
func TestNoKeyIsGrantedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2, 0)
		seal := rapid.SampledFrom([]int{100, 250, SealBytes}).Draw(t, "seal") // a record has about 50 bytes
		for _, o := range w.machines {
			o.m.sealBytes = seal
		}
		var token uint64
		var granted []wire.ClaimRequest
		steps := rapid.IntRange(20, 150).Draw(t, "steps")
		for range steps {
			o := w.machines[rapid.IntRange(0, 1).Draw(t, "owner")]
			token++
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				c := wire.ClaimRequest{Caller: "c", Key: fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key")), Attempt: fmt.Sprint("a", rapid.IntRange(0, 8).Draw(t, "attempt"))}
				c.Attempt += c.Key
				o.pending[token] = c
				granted = append(granted, c)
				if w.released[c.Attempt] {
					continue // an attempt that was told "not run" is not used again
				}
				w.take(o, o.m.Claim(w.now, token, c))
			case 3:
				if len(granted) == 0 {
					continue
				}
				c := granted[rapid.IntRange(0, len(granted)-1).Draw(t, "which")]
				out := rapid.SampledFrom([]attempt.Outcome{attempt.NotSent, attempt.Answered, attempt.Unknown}).Draw(t, "outcome")
				if out == attempt.NotSent && w.holder[c.Key] != c.Attempt {
					o.results[token] = c.Attempt
				}
				w.take(o, o.m.Result(w.now, token, wire.ClaimResult{Caller: "c", Key: c.Key, Attempt: c.Attempt, Outcome: uint8(out)}))
			case 4:
				w.now = w.now.Add(2 * time.Second)
				w.take(o, o.m.Tick(w.now))
			case 5:
				if len(w.late) > 0 {
					w.store(w.late[0])
					w.late = w.late[1:]
				}
			case 6:
				if x, ok := o.io.(Write); ok {
					w.late = append(w.late, x)
				}
				*o = owner{m: NewMachine(3, 0), pending: make(map[uint64]wire.ClaimRequest), results: make(map[uint64]string)}
				o.m.sealBytes = seal
			default:
				w.finish(o, rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "how"))
			}
			w.checkFreed()
			if w.failed != "" {
				t.Fatal(w.failed)
			}
		}
		w.checkAgreement()
		if w.failed != "" {
			t.Fatal(w.failed)
		}
	})
}

// settle lets all machines finish their I/O without faults.
func (w *world) settle() {
	for _, o := range w.machines {
		for o.io != nil {
			w.finish(o, 0)
		}
	}
}

// drain lets time pass without faults until no machine has anything to do. Each input may take a write of its own.
func (w *world) drain() {
	for n := 0; n == 0 || slices.ContainsFunc(w.machines, func(o *owner) bool { return len(o.m.waiting) > 0 }); n++ {
		if n == 1000 {
			w.failed = "an input is never answered"
			return
		}
		w.now = w.now.Add(2 * outagePause)
		for _, o := range w.machines {
			w.take(o, o.m.Tick(w.now))
		}
		w.settle()
	}
}

// claimLater makes a claim without faults some time after everything before it.
func (w *world) claimLater(o *owner, c wire.ClaimRequest) wire.ClaimReply {
	w.drain()
	w.now = w.now.Add(time.Second)
	token := uint64(1<<20 + len(w.replies))
	o.pending[token] = c
	w.take(o, o.m.Claim(w.now, token, c))
	w.settle()
	w.drain()
	return w.replies[token]
}

// checkAgreement ends the faults and looks for a machine whose answer to a claim is not what the platform has stored.
func (w *world) checkAgreement() {
	w.settle()
	for i, o := range w.machines {
		for _, key := range []string{"k0", "k1", "k2"} {
			c := wire.ClaimRequest{Caller: "c", Key: key, Attempt: fmt.Sprint("last", i, key)}
			got := w.claimLater(o, c)
			m := NewMachine(3, 0)
			m.install(w.load(Load{All: true}))
			h := m.index[keyID{"c", key}]
			want := wire.ClaimReply{State: wire.ClaimGranted}
			if h != nil && h.Attempt != c.Attempt {
				want = wire.ClaimReply{State: wire.ClaimTaken, Outcome: uint8(h.Outcome), Status: h.Status}
			}
			if got != want {
				w.failed = fmt.Sprintf("claim of %s at machine %d: %+v, want %+v", key, i, got, want)
			}
		}
	}
}

// TestOldIndex guards against a key that one owner refuses for good although another has recorded that its attempt was
// not run, and against outcomes that are lost because the owner that gets them has not seen the claim.
func TestOldIndex(t *testing.T) {
	claim := wire.ClaimRequest{Caller: "c", Key: "k", Attempt: "a", Fingerprint: 1}
	for _, c := range []struct {
		name    string
		outcome attempt.Outcome
		next    wire.ClaimRequest
		want    wire.ClaimReply
	}{
		{"released", attempt.NotSent, wire.ClaimRequest{Caller: "c", Key: "k", Attempt: "b", Fingerprint: 1}, wire.ClaimReply{State: wire.ClaimGranted}},
		{"released, another request", attempt.NotSent, wire.ClaimRequest{Caller: "c", Key: "k", Attempt: "b", Fingerprint: 2}, wire.ClaimReply{State: wire.ClaimGranted}},
		{"answered", attempt.Answered, wire.ClaimRequest{Caller: "c", Key: "k", Attempt: "b", Fingerprint: 1},
			wire.ClaimReply{State: wire.ClaimTaken, Outcome: uint8(attempt.Answered), Status: 201}},
	} {
		for _, order := range []string{"the refusing owner has the claim", "the recording owner has not seen the claim"} {
			t.Run(c.name+"/"+order, func(t *testing.T) {
				w := newWorld(2, 0)
				one, two := w.machines[0], w.machines[1]
				w.claimLater(two, wire.ClaimRequest{Caller: "c", Key: "other", Attempt: "x"}) // the second owner has read the shard
				if r := w.claimLater(one, claim); r.State != wire.ClaimGranted {
					t.Fatalf("first claim: %+v", r)
				}
				if order == "the refusing owner has the claim" {
					w.claimLater(two, claim)
				}
				w.take(two, two.m.Result(w.now, 7, wire.ClaimResult{Caller: "c", Key: "k", Attempt: "a", Outcome: uint8(c.outcome), Status: c.want.Status}))
				w.settle()
				if r := w.claimLater(one, c.next); r != c.want {
					t.Errorf("next claim: %+v, want %+v", r, c.want)
				}
			})
		}
	}
}

// TestSealAndDrop guards against segments that grow without bound, lose keys at a seal, or are never dropped.
func TestSealAndDrop(t *testing.T) {
	w := newWorld(1, time.Hour)
	o := w.machines[0]
	claim := func(token uint64, key, attempt string, fingerprint uint64) *wire.ClaimReply {
		w.last = nil
		w.now = w.now.Add(2 * writeGap)
		w.take(o, o.m.Claim(w.now, token, wire.ClaimRequest{Caller: "c", Key: key, Attempt: attempt, Fingerprint: fingerprint}))
		w.settle()
		return w.last
	}
	padded := strings.Repeat("a", 200)
	for i := range 700 {
		claim(uint64(i), fmt.Sprint("key", i), padded, 1)
	}
	if len(w.objects) < 2 {
		t.Fatalf("%d segments, want several", len(w.objects))
	}
	for seq, s := range w.objects {
		size := 0
		for i := range s.Records {
			size += s.Records[i].size()
		}
		if size > SealBytes+maxBatch*300 {
			t.Errorf("segment %d has %d bytes", seq, size)
		}
	}
	o.m = NewMachine(3, time.Hour)
	claim(1, "other", "a", 1)
	if r := claim(1, "key3", "b", 1); r == nil || r.State != wire.ClaimTaken {
		t.Errorf("second claim after a reload: %+v, want taken", r)
	}
	if r := claim(1, "key3", "b", 2); r == nil || r.State != wire.ClaimMismatch {
		t.Errorf("claim with another fingerprint: %+v, want mismatch", r)
	}
	w.now = w.now.Add(2 * time.Hour)
	claim(2, "last", "a", 1)
	w.take(o, o.m.Tick(w.now))
	w.settle()
	if len(w.objects) > 2 {
		t.Errorf("%d segments after the retention, want at most 2", len(w.objects))
	}
}

// TestOutage guards against claims that wait for the platform during an outage, and results that are lost by it.
func TestOutage(t *testing.T) {
	w := newWorld(1, 0)
	o := w.machines[0]
	c := wire.ClaimRequest{Caller: "c", Key: "k", Attempt: "a"}
	w.take(o, o.m.Claim(w.now, 1, c))
	w.settle()
	w.take(o, o.m.Result(w.now, 2, wire.ClaimResult{Caller: "c", Key: "k", Attempt: "a", Outcome: uint8(attempt.NotSent)}))
	w.now = w.now.Add(writeGap)
	w.take(o, o.m.Tick(w.now))
	w.finish(o, 3) // unclear
	w.finish(o, 3) // the read fails as well
	as := o.m.Claim(w.now, 3, wire.ClaimRequest{Caller: "c", Key: "k2", Attempt: "b"})
	if r, ok := as[0].(Reply); len(as) != 1 || !ok || r.State != wire.ClaimUnavailable || r.RetryAfterMs == 0 {
		t.Fatalf("claim during an outage: %+v, want unavailable at once", as)
	}
	w.now = w.now.Add(2 * outagePause)
	w.take(o, o.m.Tick(w.now))
	w.settle()
	if !w.released["a"] {
		t.Error("the release was not stored after the outage")
	}
}

// TestBatching guards against one write per claim, which the platform's rate limit does not allow, against a lone claim
// that waits, and against a known answer that waits for a write.
func TestBatching(t *testing.T) {
	w := newWorld(1, 0)
	o := w.machines[0]
	claim := func(token uint64, key string) []Action {
		as := o.m.Claim(w.now, token, wire.ClaimRequest{Caller: "c", Key: key, Attempt: fmt.Sprint(token)})
		w.take(o, as)
		return as
	}
	claim(1, "lone")
	w.settle()
	if w.last == nil || w.last.State != wire.ClaimGranted {
		t.Fatal("a lone claim waits")
	}
	before := w.version
	var wake time.Time
	for i := range 50 {
		for _, a := range claim(uint64(10+i), fmt.Sprint("k", i)) {
			if x, ok := a.(Wake); ok {
				wake = x.At
			}
		}
	}
	w.last = nil
	claim(100, "lone")
	if w.last == nil || w.last.State != wire.ClaimTaken {
		t.Error("a known answer waits for the next write")
	}
	if o.io != nil || !wake.Equal(w.now.Add(writeGap)) {
		t.Errorf("outstanding %v, wake at %v; want none and one gap later", o.io, wake)
	}
	w.now = wake
	w.take(o, o.m.Tick(w.now))
	w.settle()
	if w.version-before != 1 || len(o.m.waiting) != 0 {
		t.Errorf("%d writes for 50 claims, %d left; want 1 and 0", w.version-before, len(o.m.waiting))
	}
}
