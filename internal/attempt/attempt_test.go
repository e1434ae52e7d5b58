package attempt

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestOutcome guards against a retry or a "not run" that could execute a request twice.
func TestOutcome(t *testing.T) {
	for _, c := range []struct {
		o                       Outcome
		notRun, retry, retryIdm bool
		executed                string
	}{
		{0, false, false, false, "unknown"},
		{NotSent, true, true, true, "no"},
		{Refused, true, true, true, "no"},
		{Answered, false, false, false, "yes"},
		{Unknown, false, false, true, "unknown"},
		{77, false, false, false, "unknown"},
	} {
		if c.o.NotExecuted() != c.notRun || c.o.MayRetry(false) != c.retry || c.o.MayRetry(true) != c.retryIdm || c.o.Executed() != c.executed {
			t.Errorf("%d: notRun %v retry %v/%v executed %s", c.o, c.o.NotExecuted(), c.o.MayRetry(false), c.o.MayRetry(true), c.o.Executed())
		}
	}
}

// TestCombine guards against a later refusal that hides an earlier attempt of unknown outcome.
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

// TestTrace guards against an error after the first byte that is reported as not sent.
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

// TestGiveUp guards against a write that starts after the attempt was classified as not sent.
func TestGiveUp(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	c := &TrackedConn{Conn: a}
	c.begin()
	if !c.giveUp() {
		t.Fatal("a connection without writes was not given up")
	}
	if _, err := c.Write([]byte("x")); err != errSealed {
		t.Fatalf("late write: %v, want %v", err, errSealed)
	}
}
