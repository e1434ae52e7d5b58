package host

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/upstream"
)

// newGuardedExchange returns a request whose answer goes to w.
func newGuardedExchange(w http.ResponseWriter) *exchange {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: testCodec{}, Log: telemetry.Discard()})
	return &exchange{f: h.front, w: w, q: &fleet.Request{ID: "r", Arrived: time.Now(), Route: &fleet.Route{}}}
}

// blockingWriter is a response whose writes take a time, or last until their deadline.
type blockingWriter struct {
	discardingWriter
	took time.Duration // of a write, 0 for one that lasts until its deadline
	got  bytes.Buffer

	mu       sync.Mutex
	deadline time.Time
}

func (w *blockingWriter) SetWriteDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	return nil
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.took > 0 {
		time.Sleep(w.took)
		return w.got.Write(p)
	}
	for {
		w.mu.Lock()
		deadline := w.deadline
		w.mu.Unlock()
		if !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
}

// TestGuardedWriteEnds guards against a write to a caller that does not read and outlives the request, against a caller that
// counts as one that reads nothing because its request ended, and against a later write that blocks again.
func TestGuardedWriteEnds(t *testing.T) {
	const after, slack = 300 * time.Millisecond, time.Second
	for _, c := range []struct {
		name   string
		cancel bool
		limit  time.Duration
		want   time.Duration
		unread uint64
	}{
		{"cancelled", true, 0, after + finalWriteTime, 0},
		{"deadline", false, after, after, 0},
		{"reads nothing", false, 0, unreadTimeSending, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := newGuardedExchange(&blockingWriter{})
			if c.limit > 0 {
				x.q.Deadline = time.Now().Add(c.limit)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			defer x.guardWrites(ctx)()
			if c.cancel {
				time.AfterFunc(after, cancel)
			}
			start := time.Now()
			_, err := callerWriter{x.w}.Write([]byte("x"))
			var callerErr *callerError
			if took := time.Since(start); !errors.As(err, &callerErr) || took < c.want-10*time.Millisecond || took > c.want+slack {
				t.Errorf("ended after %v, want %v, error %v", took, c.want, err)
			}
			if n := x.f.h.requestPool.Held().Unread(); n != c.unread {
				t.Errorf("%d callers count as reading nothing, want %d", n, c.unread)
			}
			if !c.cancel {
				return
			}
			start = time.Now()
			callerWriter{x.w}.Write([]byte("x"))
			if took := time.Since(start); took > slack {
				t.Errorf("a second write lasted %v", took)
			}
		})
	}
}

// TestLongAnswerToSlowCaller guards against bytes of a long answer that are lost, repeated or out of order when the rest is read
// while its begin is written, and against an endpoint that is not read until the whole begin is written.
func TestLongAnswerToSlowCaller(t *testing.T) {
	const size = 3 << 20
	body := []byte(eventsText(size))
	for _, sized := range []bool{true, false} {
		for _, took := range []time.Duration{time.Microsecond, callerHoldUpTime + time.Millisecond} {
			s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
				length := ""
				if sized {
					length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
				}
				fmt.Fprintf(w, "%s%s\r\n%s\r\n", answerHead, id, length)
				w.Write(body)
				return false
			})
			w := &blockingWriter{took: took}
			x := newGuardedExchange(w)
			end := x.guardWrites(t.Context())
			resp, err := x.f.h.requestPool.RoundTrip(t.Context(), &upstream.Request{Address: s.address, Method: "GET", Target: "/", Header: http.Header{"X-Id": {"r"}}})
			if err != nil {
				t.Fatal(err)
			}
			begun, more, err := x.readAnswer(resp)
			if !more || err != nil || len(begun) != maxBufferedAnswer+1 {
				t.Fatalf("read %d bytes, more %v, error %v", len(begun), more, err)
			}
			n, err := callerWriter{x.w}.writeBegun(resp, begun, maxUnsizedAnswer)
			if err != nil || n == 0 && took > callerHoldUpTime {
				t.Errorf("caller takes %v: %d bytes were read while the begin was written, error %v", took, n, err)
			}
			if _, err = copyBody(callerWriter{x.w}, resp, maxUnsizedAnswer); err != nil {
				t.Error(err)
			}
			resp.Close(err == nil)
			end()
			if !bytes.Equal(w.got.Bytes(), body) {
				t.Errorf("caller takes %v: got %d other bytes", took, w.got.Len())
			}
			for kind, n := range x.f.h.requestPool.Held().Bytes() {
				if n != 0 {
					t.Errorf("%d bytes of kind %s are still held", n, kind)
				}
			}
		}
	}
}

// eventsText returns events of 1 KB, no two of which are equal.
func eventsText(size int) string {
	var b bytes.Buffer
	for i := range size >> 10 {
		head := fmt.Sprintf("id: %d\ndata: ", i+1)
		b.WriteString(head)
		b.Write(bytes.Repeat([]byte("y"), 1<<10-len(head)-2))
		b.WriteString("\n\n")
	}
	return b.String()
}

// TestSlowCallerIsNoSilence guards against a watchdog that takes the endpoint for silent while its caller holds up a write.
func TestSlowCallerIsNoSilence(t *testing.T) {
	const timeout = 50 * time.Millisecond
	expired := make(chan struct{}, 1)
	w := newWatchdog(timeout, func() { expired <- struct{}{} })
	defer w.stop()
	err := w.writing(timeout, func() (time.Duration, error) {
		time.Sleep(4 * timeout)
		return 4 * timeout, nil
	})
	select {
	case <-expired:
		t.Error("the endpoint counts as silent during a write")
	default:
	}
	if err != nil || w.silence() > timeout {
		t.Errorf("silent for %v after a write, error %v", w.silence(), err)
	}
	select {
	case <-expired:
	case <-time.After(20 * timeout):
		t.Error("a silent endpoint is not noticed after a write")
	}
}

// TestLimitUnsent guards against a caller that does not read and leaves megabytes in this machine's socket.
func TestLimitUnsent(t *testing.T) {
	const most = 2 << 20 // the peer's socket is on this machine too
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := upstream.LimitUnsent(c, callerUnsentBytes); err != nil {
		t.Fatal(err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Write(make([]byte, 16<<20)); !errors.Is(err, os.ErrDeadlineExceeded) || n > most {
		t.Errorf("%d bytes were taken, error %v", n, err)
	}
}

// TestHeldBytesMetrics guards against metrics that can't be registered or lack a kind.
func TestHeldBytesMetrics(t *testing.T) {
	m := telemetry.MustNewMetrics()
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: testCodec{}, Log: telemetry.Discard(), Metrics: m})
	if err := h.registerHeldBytesMetrics(); err != nil {
		t.Fatal(err)
	}
	g := h.newHolding(upstream.HeldEvents, &fleet.Request{})
	g.Charge(initialEventBuffer)
	r := httptest.NewRecorder()
	m.Handler().ServeHTTP(r, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`sycamore_held_bytes{kind="events"} 4096`, `sycamore_held_bytes{kind="body"} 0`, `sycamore_held_decisions_total{decision="refuse"} 0`,
		"sycamore_answers_unread_total 0"} {
		if !strings.Contains(r.Body.String(), want) {
			t.Errorf("%s is missing in\n%s", want, r.Body)
		}
	}
}
