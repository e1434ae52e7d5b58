package upstream

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

const testMemory = 136 << 20

// TestHeldDecisions guards against reading at full speed until the bound is reached, against one account or connection that takes
// what others need, and against small answers that are no longer buffered long before the bound.
func TestHeldDecisions(t *testing.T) {
	body, answer := LimitsFor(HeldBody, testMemory), LimitsFor(HeldAnswer, testMemory)
	for _, c := range []struct {
		name string
		kind HeldKind
		need int64
		use  HeldUse
		want HeldDecision
	}{
		{"first answer", HeldAnswer, 1 << 20, HeldUse{}, HeldAdmit},
		{"answer near the host's bound", HeldAnswer, 1 << 20, HeldUse{Host: answer.Host * 3 / 4}, HeldSlow},
		{"small answer near the host's bound", HeldAnswer, 2 << 10, HeldUse{Host: answer.Host * 7 / 8}, HeldAdmit},
		{"small answer at the host's bound", HeldAnswer, 2 << 10, HeldUse{Host: answer.Host}, HeldSlow},
		{"answer near the account's bound", HeldAnswer, 1 << 20, HeldUse{Account: answer.Account * 3 / 4, Host: answer.Account}, HeldSlow},
		{"another account's answer", HeldAnswer, 1 << 20, HeldUse{Host: answer.Account}, HeldAdmit},
		{"long event", HeldEvents, 1 << 20, HeldUse{Connection: 512 << 10}, HeldAdmit},
		{"event beyond a connection's bound", HeldEvents, 1, HeldUse{Connection: answer.Connection}, HeldEnd},
		{"long event at the host's bound", HeldEvents, 64 << 10, HeldUse{Host: answer.Host}, HeldSlow},
		{"copy at the host's bound", HeldCopy, 32 << 10, HeldUse{Host: answer.Host}, HeldSlow},
		{"head near the host's bound", HeldHead, 64 << 10, HeldUse{Host: answer.Host * 7 / 8}, HeldAdmit},
		{"head at the host's bound", HeldHead, 1, HeldUse{Host: answer.Host}, HeldEnd},
		{"head beyond a connection's bound", HeldHead, 1, HeldUse{Connection: answer.Connection}, HeldEnd},
		{"body", HeldBody, 4 << 20, HeldUse{}, HeldAdmit},
		{"body at the host's bound", HeldBody, 1, HeldUse{Host: body.Host}, HeldRefuse},
		{"body at the account's bound", HeldBody, 1, HeldUse{Account: body.Account, Host: body.Account}, HeldRefuse},
	} {
		if got := LimitsFor(c.kind, testMemory).Decide(c.kind, c.need, c.use); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestHeldWithinBounds replays holdings that grow and end in any order. It guards against a bound that is exceeded and against
// bytes that stay counted.
func TestHeldWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := int64(rapid.IntRange(1, 512).Draw(t, "MB")) << 20
		var h Held
		holdings := make([]Holding, 12)
		for i := range holdings {
			holdings[i] = h.New(HeldKind(rapid.IntRange(0, int(HeldKinds)-1).Draw(t, "kind")), []string{"", "a", "b"}[i%3], memory)
		}
		for range 200 {
			g := &holdings[rapid.IntRange(0, len(holdings)-1).Draw(t, "holding")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				g.Release()
			case 1:
				if g.bytes > 0 {
					g.Shrink(rapid.Int64Range(0, g.bytes).Draw(t, "less"))
				}
			default:
				g.Grow(rapid.Int64Range(1, memory/4).Draw(t, "more"))
			}
			total := make(map[bool]int64)
			accounts := make(map[string]map[bool]int64)
			for i := range holdings {
				g := &holdings[i]
				total[g.kind == HeldBody] += g.bytes
				if accounts[g.account] == nil {
					accounts[g.account] = make(map[bool]int64)
				}
				accounts[g.account][g.kind == HeldBody] += g.bytes
			}
			for _, isBody := range []bool{false, true} {
				kind := HeldAnswer
				if isBody {
					kind = HeldBody
				}
				l := LimitsFor(kind, memory)
				if total[isBody] > l.Host || accounts["a"][isBody] > l.Account || accounts["b"][isBody] > l.Account {
					t.Fatalf("held %v, %v, limits %+v", total, accounts, l)
				}
			}
		}
		for i := range holdings {
			holdings[i].Release()
		}
		for kind, n := range h.Bytes() {
			if n != 0 {
				t.Fatalf("%d bytes of kind %s are still held", n, kind)
			}
		}
		if len(h.byAccount) != 0 {
			t.Fatalf("%d accounts are still kept", len(h.byAccount))
		}
	})
}

// TestHeldReportsAtMostOnceASecond guards against a log line for each of many decisions at the bound.
func TestHeldReportsAtMostOnceASecond(t *testing.T) {
	var h Held
	var wg sync.WaitGroup
	reports := make(chan *HeldReport, 1000)
	for range 10 {
		wg.Go(func() {
			g := h.New(HeldBody, "a", 1<<20)
			for range 10 {
				if _, r := g.Grow(1 << 20); r != nil {
					reports <- r
				}
			}
		})
	}
	wg.Wait()
	if len(reports) != 1 {
		t.Fatalf("%d reports at once", len(reports))
	}
	if r := <-reports; r.Account != "a" || r.Decision != HeldRefuse || r.Need != 1<<20 || h.Decisions()["refuse"] != 100 {
		t.Errorf("report %+v, decisions %v", r, h.Decisions())
	}
}

// TestReadAllWithin guards against an answer that is changed, lost or buffered beyond what is admitted.
func TestReadAllWithin(t *testing.T) {
	const maxBytes = 1 << 20
	for _, size := range []int{0, 1, firstReadBytes - 1, firstReadBytes, firstReadBytes + 1, 100_000, maxBytes - 1, maxBytes, maxBytes + 1, 3 << 20} {
		for _, sized := range []bool{true, false} {
			for _, memory := range []int64{testMemory, 0} {
				body := make([]byte, size)
				for i := range body {
					body[i] = byte(i % 251)
				}
				length := int64(-1)
				if sized {
					length = int64(size)
				}
				var h Held
				g := h.New(HeldAnswer, "", memory)
				resp := &Response{Response: &http.Response{ContentLength: length, Body: io.NopCloser(iotest.HalfReader(bytes.NewReader(body)))}}
				got, more, _, err := resp.ReadAllWithin(maxBytes, &g)
				rest, restErr := io.ReadAll(resp.Body)
				if err != nil || restErr != nil || !bytes.Equal(append(bytes.Clone(got), rest...), body) {
					t.Fatalf("%d bytes, memory %d: read %d and %d, error %v", size, memory, len(got), len(rest), err)
				}
				if more != (len(rest) > 0 || len(got) > maxBytes) && memory > 0 || !more && len(rest) > 0 {
					t.Errorf("%d bytes, memory %d: read %d, %d remain, more %v", size, memory, len(got), len(rest), more)
				}
				if int64(cap(got)) != g.bytes || memory == 0 && cap(got) > firstReadBytes || cap(got) > maxBytes+1 {
					t.Errorf("%d bytes, memory %d: buffer of %d, %d counted", size, memory, cap(got), g.bytes)
				}
				g.Release()
			}
		}
	}
}

// BenchmarkHold measures the cost of the decision for one answer.
func BenchmarkHold(b *testing.B) {
	var h Held
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g := h.New(HeldAnswer, "", testMemory)
			g.Grow(2 << 10)
			g.Release()
		}
	})
}
