package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"sycamoredeal/internal/testbed"
)

// TestOutcome guards against a request that is executed twice because it was retried, or reported as not executed, after
// an outcome that doesn't prove it.
func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		outcome                             Outcome
		notExecuted, retry, retryIdempotent bool
		executed                            string
	}{
		{0, false, false, false, "unknown"},
		{NotSent, true, true, true, "no"},
		{Refused, true, true, true, "no"},
		{Answered, false, false, false, "yes"},
		{Unknown, false, false, true, "unknown"},
		{77, false, false, false, "unknown"},
	} {
		if c.outcome.NotExecuted() != c.notExecuted || c.outcome.MayRetry(false) != c.retry ||
			c.outcome.MayRetry(true) != c.retryIdempotent || c.outcome.Executed() != c.executed {
			t.Errorf("%d: NotExecuted %v, MayRetry %v, MayRetry of an idempotent request %v, Executed %s",
				c.outcome, c.outcome.NotExecuted(), c.outcome.MayRetry(false), c.outcome.MayRetry(true), c.outcome.Executed())
		}
	}
}

// TestCombine guards against a refusal that makes a request count as not executed although the outcome of an earlier
// attempt is unknown.
func TestCombine(t *testing.T) {
	for _, c := range []struct{ a, b, want Outcome }{
		{0, NotSent, NotSent}, {NotSent, Refused, Refused}, {Unknown, NotSent, Unknown}, {Refused, Unknown, Unknown},
		{Unknown, Answered, Answered}, {Unknown, 0, Unknown},
	} {
		if got := Combine(c.a, c.b); got != c.want {
			t.Errorf("Combine(%v, %v) = %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// post sends one request with a Trace and returns its outcome.
func post(t *testing.T, addr string) Outcome {
	t.Helper()
	tr := &http.Transport{DialContext: WrapDial((&net.Dialer{}).DialContext), DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	var trace Trace
	req, _ := http.NewRequestWithContext(trace.NewContext(context.Background()), http.MethodPost, "http://"+addr, strings.NewReader("x"))
	resp, err := tr.RoundTrip(req)
	if err == nil {
		resp.Body.Close()
		return Answered
	}
	return trace.FailureOutcome()
}

// TestTrace guards against a request that is reported as not sent although its first byte was written.
func TestTrace(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if c, err := ln.Accept(); err == nil {
			c.Read(make([]byte, 1))
			c.Close()
		}
	}()
	if got := post(t, ln.Addr().String()); got != Unknown {
		t.Errorf("closed after the first byte: %v, want unknown", got)
	}
	ln.Close()
	if got := post(t, ln.Addr().String()); got != NotSent {
		t.Errorf("connection refused: %v, want not sent", got)
	}
}

// TestNoWriteAfterNotSent guards against a write that starts after the attempt was classified as not sent: the request
// could then be executed twice.
func TestNoWriteAfterNotSent(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := &TrackedConn{Conn: a}
	c.startAttempt()
	if !c.blockWritesIfUnsent() {
		t.Fatal("writes to a connection without writes were not blocked")
	}
	if _, err := c.Write([]byte("x")); err != errWritesBlocked {
		t.Fatalf("late write: %v, want %v", err, errWritesBlocked)
	}
}

// TestResetAtEndOfAnswer guards against a part of an answer that counts as complete because the reset of its connection was reported
// to the write of the request instead of the read.
func TestResetAtEndOfAnswer(t *testing.T) {
	address, stop, err := testbed.Serve(func(c net.Conn) {
		io.WriteString(c, "part")
		io.ReadFull(c, make([]byte, 1))
		c.(*net.TCPConn).SetLinger(0)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	nc, err := WrapDial((&net.Dialer{}).DialContext)(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.(*TrackedConn).startAttempt()
	if _, err := io.ReadFull(nc, make([]byte, len("part"))); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = nc.Write([]byte("request"))
	}
	if n, err := nc.Read(make([]byte, 8)); n > 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %d bytes with error %v, want that of a reset", n, err)
	}
}
