package host

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/attempt"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/sched"
	"sycamoredeal/internal/wire"
)

// orderedDispatcher is a dispatcher that grants the first endpoint of the view that the ask does not exclude.
type orderedDispatcher struct {
	h *Host
	l *link

	mu           sync.Mutex
	refuseHedges string // reason, empty to grant them
	hedges       []wire.Ask
	granted      map[uint64]string // endpoint by call, of slots in use
	done         []wire.Done
}

// useOrderedDispatcher makes a host use an orderedDispatcher.
func useOrderedDispatcher(h *Host) *orderedDispatcher {
	d := &orderedDispatcher{h: h, granted: make(map[uint64]string)}
	h.binder.mu.Lock()
	defer h.binder.mu.Unlock()
	d.l = &link{host: fleet.Host{Name: "d"}, conn: d, lastHeard: time.Now()}
	h.binder.link = d.l
	return d
}

// Send implements peer. The binder holds its lock during the call, so that an ask is decided before the call returns: on a busy
// machine, an answer from another goroutine was later than askTimeout.
func (d *orderedDispatcher) Send(m wire.Message) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch m := m.(type) {
	case *wire.Ask:
		c := d.h.binder.calls[m.ID]
		if m.Speculative {
			d.hedges = append(d.hedges, *m)
		}
		endpoint := ""
		for _, e := range d.h.directory.view().Endpoints {
			if endpoint == "" && !slices.Contains(m.Exclude, e.ID) {
				endpoint = e.ID
			}
		}
		reason := ""
		switch {
		case m.Speculative && d.refuseHedges != "":
			reason = d.refuseHedges
		case endpoint == "":
			reason = "no endpoint is left"
		default:
			d.granted[m.ID] = endpoint
			c.grant = wire.Grant{ID: m.ID, Endpoint: endpoint}
			c.setState(callBound)
			return nil
		}
		delete(d.h.binder.calls, m.ID)
		c.refuse = wire.Refuse{ID: m.ID, Reason: reason}
		c.setState(callRefused)
	case *wire.Done:
		delete(d.granted, m.ID)
		d.done = append(d.done, *m)
	case *wire.Cancel:
		delete(d.granted, m.ID)
	}
	return nil
}

// Close implements peer.
func (d *orderedDispatcher) Close() {}

// outcomeAt returns the report about the attempt at an endpoint, and false if there is not exactly one.
func (d *orderedDispatcher) outcomeAt(endpoint string) (wire.Done, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []wire.Done
	for _, m := range d.done {
		if m.Endpoint == endpoint {
			found = append(found, m)
		}
	}
	if len(found) != 1 {
		return wire.Done{}, false
	}
	return found[0], true
}

// awaitFree waits until all slots are free.
func (d *orderedDispatcher) awaitFree(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		d.mu.Lock()
		left := len(d.granted)
		d.mu.Unlock()
		if left == 0 && d.h.front.inFlight.Load() == 0 {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%d slots in use, %d requests in progress", left, d.h.front.inFlight.Load())
			return
		}
	}
}

// hedgeTestDelay is the time after which newHedgingHost sends a hedge.
const hedgeTestDelay = 100 * time.Millisecond

// newHedgingHost starts a host that hedges after hedgeTestDelay, with an orderedDispatcher. Requests may be sent maxAttempts times.
func newHedgingHost(t *testing.T, maxAttempts int, servers ...*scriptedServer) (*orderedDispatcher, string) {
	t.Helper()
	h, url := newScriptedHost(t, servers...)
	h.opts.HedgeShare = 0.5
	v := *h.directory.view()
	c := *v.Config
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		c.Routes[i].MaxAttempts = maxAttempts
		c.Routes[i].TargetLatency = time.Second // a failover after 2 s
	}
	c.Index()
	v.Config = &c
	h.directory.currentView.Store(&v)
	g := h.hedges
	for _, route := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
		for range minHedgeSamples {
			g.policy.addBegin(route, hedgeTestDelay/2)
		}
	}
	for range 1000 {
		g.delay("s", &c.Routes[0], 0)
	}
	return useOrderedDispatcher(h), url
}

// answerFrom returns a whole answer, or stream, that names its server in the body and the header.
func answerFrom(server, id string) string {
	body := fmt.Sprintf("id: 1\ndata: %s for %s\n\nid: 2\ndata: end\n\n", server, id)
	return fmt.Sprintf("%s%s\r\nX-Server: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=9\r\n\r\n%s", answerHead, id, server, len(body), body)
}

// newAnsweringServer starts a server that answers after a time, unless the connection is closed before. Times of closed
// connections, from the arrival of their requests, are sent to the channel that it returns.
func newAnsweringServer(t *testing.T, after time.Duration, answer func(id string) string) (*scriptedServer, <-chan time.Duration) {
	t.Helper()
	closed := make(chan time.Duration, 64)
	s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
		arrived := time.Now()
		c := w.(*countingWriter).Conn
		c.SetReadDeadline(arrived.Add(after))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				closed <- time.Since(arrived)
				return false
			}
		}
		c.SetReadDeadline(time.Time{})
		a := answer(id)
		io.WriteString(w, a)
		return a != "" && !strings.Contains(a, "Connection: close")
	})
	return s, closed
}

// awaitTrue waits until a condition holds, for less than the time after which a failover takes over.
func awaitTrue(condition func() bool) {
	for end := time.Now().Add(1800 * time.Millisecond); !condition() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// newFailingPair starts two servers for a request and its hedge. The first one answers when the second one has got the request, and
// the second one when the host has reported the first attempt.
func newFailingPair(t *testing.T, d **orderedDispatcher, first, second func(id string) string) (s0, s1 *scriptedServer) {
	t.Helper()
	s1, _ = newAnsweringServer(t, 0, func(id string) string {
		awaitTrue(func() bool { _, reported := (*d).outcomeAt("e0"); return reported })
		return second(id)
	})
	s0, _ = newAnsweringServer(t, 0, func(id string) string {
		awaitTrue(func() bool { return s1.requests.Load() > 0 })
		return first(id)
	})
	return s0, s1
}

func answersAs(server string) func(id string) string {
	return func(id string) string { return answerFrom(server, id) }
}

// answersWith returns an answer that states a status, and optionally more headers.
func answersWith(status int, server, headers string) func(id string) string {
	return func(id string) string {
		return fmt.Sprintf("HTTP/1.1 %d S\r\nX-Id: %s\r\nX-Server: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, server, headers, len(server), server)
	}
}

func fails(string) string { return "" }

// TestHedgeAnswers guards against a request that waits for a slow endpoint although a second one has answered, against an answer with
// the header of the other endpoint, and against the work, the slot and the connection of the cancelled attempt going on. That
// attempt must not count as a fault or success of its endpoint, nor the hedge towards the quota again.
func TestHedgeAnswers(t *testing.T) {
	const slowAnswer = 10 * time.Second
	for _, path := range []string{idempotentRoute, resumeRoute} {
		for _, c := range []struct {
			name          string
			first, second time.Duration // of the answers
			winner, loser string
			won, lost     uint64
		}{
			{"hedge wins", slowAnswer, 0, "e1", "e0", 1, 0},
			{"first wins", 0, slowAnswer, "e0", "e1", 0, 1},
		} {
			t.Run(c.name+path, func(t *testing.T) {
				t.Parallel()
				s1, closed1 := newAnsweringServer(t, c.second, answersAs("e1"))
				s0, closed0 := newAnsweringServer(t, c.first, func(id string) string {
					awaitTrue(func() bool { return s1.requests.Load() > 0 })
					return answerFrom("e0", id)
				})
				d, url := newHedgingHost(t, 2, s0, s1)
				req, err := http.NewRequest("GET", url+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Id", "r")
				start := time.Now()
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				elapsed := time.Since(start)
				if err != nil || string(body) != answerBody(c.winner, "r") || resp.Header.Get("X-Server") != c.winner || elapsed > slowAnswer/2 {
					t.Errorf("%v, %q from %q after %v", err, body, resp.Header.Get("X-Server"), elapsed)
				}
				closed := map[string]<-chan time.Duration{"e0": closed0, "e1": closed1}[c.loser]
				select {
				case after := <-closed:
					if after > slowAnswer/2 {
						t.Errorf("the other endpoint worked for %v", after)
					}
				case <-time.After(slowAnswer):
					t.Error("the connection to the other endpoint is not closed")
				}
				d.awaitFree(t)
				if m, ok := d.outcomeAt(c.winner); !ok || m.TotalMs == 0 || m.Fault != 0 {
					t.Errorf("report of the answer: %+v", m)
				}
				if m, ok := d.outcomeAt(c.loser); !ok || m.TotalMs != 0 || m.Fault != 0 || m.Failed || m.ConnectionLost || m.Outcome != uint8(attempt.Unknown) {
					t.Errorf("report of the cancelled attempt: %+v", m)
				}
				if len(d.hedges) != 1 || !d.hedges[0].Retry || !d.hedges[0].Charged || !slices.Equal(d.hedges[0].Exclude, []string{"e0"}) {
					t.Errorf("asks for hedges: %+v", d.hedges)
				}
				g := d.h.hedges
				if g.sent.Load() != 1 || g.results[hedgeWon].Load() != c.won || g.results[hedgeLost].Load() != c.lost {
					t.Errorf("%d sent, %d won, %d lost", g.sent.Load(), g.results[hedgeWon].Load(), g.results[hedgeLost].Load())
				}
				if sent := d.h.retries.sent[allowedByHost].Load() + d.h.retries.sent[allowedByDispatcher].Load(); sent != 1 {
					t.Errorf("%d repeats counted towards the budget", sent)
				}
			})
		}
	}
}

// TestLoserEndsAtOnce guards against an endpoint that goes on with a request, and keeps its slot, for as long as the other endpoint's
// answer takes.
func TestLoserEndsAtOnce(t *testing.T) {
	const events, gap = 30, 100 * time.Millisecond
	for _, path := range []string{idempotentRoute, resumeRoute} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s0, closed := newAnsweringServer(t, 10*time.Second, answersAs("e0"))
			var ended atomic.Bool // the answer
			s1 := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
				fmt.Fprintf(w, "%s%s\r\nTransfer-Encoding: chunked\r\n\r\n", answerHead, id)
				defer ended.Store(true)
				for i := range events {
					event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
					fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
					time.Sleep(gap)
				}
				_, err := io.WriteString(w, "0\r\n\r\n")
				return err == nil
			})
			d, url := newHedgingHost(t, 2, s0, s1)
			answer := make(chan callerResult, 1)
			go func() { answer <- sendRequest(url, path, "r", 8*time.Second) }()
			<-closed
			if ended.Load() {
				t.Error("the connection to the other endpoint was kept until the end of the answer")
			}
			awaitTrue(func() bool { _, reported := d.outcomeAt("e0"); return reported })
			if _, reported := d.outcomeAt("e0"); !reported {
				t.Error("the slot of the other endpoint was not freed")
			}
			if g := <-answer; g.status != http.StatusOK || !g.whole || strings.Count(g.body, "data: x") != events {
				t.Errorf("status %d, whole %v, %q", g.status, g.whole, g.body)
			}
			d.awaitFree(t)
		})
	}
}

// TestFirstFailsDuringHedge guards against a request that ends with the failure of its first attempt, or is sent to a third
// endpoint, while the hedge is still in progress.
func TestFirstFailsDuringHedge(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id string) string
		fault  sched.Fault
	}{
		"connection closed": {fails, sched.BrokenResponse},
		"error":             {answersWith(500, "e0", "X-Seal: s\r\n"), sched.ErrorStatus},
		"refusal":           {answersWith(503, "e0", "X-Not-Run: 1\r\n"), sched.NoFault},
		"unsealed":          {answersWith(200, "e0", ""), sched.BrokenResponse},
		"of another":        {func(string) string { return answerFrom("e0", "other") }, sched.BrokenResponse},
		"head only":         {func(id string) string { return answerHead + id + "\r\nConnection: close\r\n\r\n" }, sched.BrokenResponse},
	} {
		for _, path := range []string{idempotentRoute, resumeRoute} {
			if name == "head only" && path == idempotentRoute {
				continue // an empty body is a whole answer there
			}
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var d *orderedDispatcher
				s0, s1 := newFailingPair(t, &d, c.answer, answersAs("e1"))
				s2, _ := newAnsweringServer(t, 0, answersAs("e2"))
				var url string
				d, url = newHedgingHost(t, 2, s0, s1, s2)
				g := sendRequest(url, path, "r", 3*time.Second)
				if g.status != http.StatusOK || !strings.Contains(g.body, "e1 for r") || !g.whole {
					t.Errorf("status %d, %q, whole %v", g.status, g.body, g.whole)
				}
				if n := s2.requests.Load(); n != 0 {
					t.Errorf("sent to a third endpoint %d times", n)
				}
				d.awaitFree(t)
				if m, ok := d.outcomeAt("e0"); !ok || m.Fault != uint8(c.fault) {
					t.Errorf("report of the first attempt: %+v", m)
				}
				if m, ok := d.outcomeAt("e1"); !ok || m.TotalMs == 0 {
					t.Errorf("report of the hedge: %+v", m)
				}
			})
		}
	}
}

// TestBothAttemptsFail guards against a wrong end of a request whose attempts both failed: a refusal that says that the request did
// not run although it may have, more runs than the route allows, another attempt at one of the two endpoints, or no further attempt
// where one is allowed.
func TestBothAttemptsFail(t *testing.T) {
	internalError := func(server string) func(string) string { return answersWith(500, server, "X-Seal: s\r\n") }
	refuses := func(server string) func(string) string { return answersWith(503, server, "X-Not-Run: 1\r\n") }
	for _, c := range []struct {
		name          string
		first, second func(id string) string
		maxAttempts   int
		third         bool // a third endpoint is listed
		status        int
		body          string
	}{
		{"errors", internalError("e0"), internalError("e1"), 2, true, 500, "e1"},
		{"errors, a third run allowed", internalError("e0"), internalError("e1"), 3, true, 200, "e2 for r"},
		{"connections closed", fails, fails, 2, true, http.StatusBadGateway, ""},
		{"connections closed, a third run allowed", fails, fails, 3, true, 200, "e2 for r"},
		{"refusals", refuses("e0"), refuses("e1"), 2, true, 200, "e2 for r"},
		{"refusals, no third endpoint", refuses("e0"), refuses("e1"), 2, false, http.StatusServiceUnavailable, ""},
		{"closed and refusal", fails, refuses("e1"), 2, true, 200, "e2 for r"},
		{"refusal and closed", refuses("e0"), fails, 2, true, 200, "e2 for r"},
		{"closed and refusal, no third endpoint", fails, refuses("e1"), 2, false, http.StatusBadGateway, ""},
		{"refusal and closed, no third endpoint", refuses("e0"), fails, 2, false, http.StatusBadGateway, ""},
		{"error and closed", internalError("e0"), fails, 2, true, 500, "e0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var d *orderedDispatcher
			s0, s1 := newFailingPair(t, &d, c.first, c.second)
			s2, _ := newAnsweringServer(t, 0, answersAs("e2"))
			servers := []*scriptedServer{s0, s1}
			if c.third {
				servers = append(servers, s2)
			}
			var url string
			d, url = newHedgingHost(t, c.maxAttempts, servers...)
			g := sendRequest(url, idempotentRoute, "r", 3*time.Second)
			if g.status != c.status || !strings.Contains(g.body, c.body) {
				t.Errorf("status %d, %q, want %d, %q", g.status, g.body, c.status, c.body)
			}
			if s0.requests.Load() != 1 || s1.requests.Load() != 1 || s2.requests.Load() > 1 {
				t.Errorf("sent %d, %d, %d times", s0.requests.Load(), s1.requests.Load(), s2.requests.Load())
			}
			d.awaitFree(t)
			if n := d.h.hedges.results[hedgeFailed].Load(); n != 1 {
				t.Errorf("%d hedges counted as failed", n)
			}
		})
	}
}

// TestBothAttemptsSilent guards against a failover beside a hedge in progress, which would be a third run, and against waiting for
// two silent endpoints where a third run is allowed.
func TestBothAttemptsSilent(t *testing.T) {
	for _, c := range []struct {
		path        string
		maxAttempts int
		want        string
		status      int
	}{
		{idempotentRoute, 2, "e1 for r", 200},
		{idempotentRoute, 3, "e2 for r", 200},
		{resumeRoute, 2, "e1 for r", 200},
	} {
		t.Run(fmt.Sprint(c.path, c.maxAttempts), func(t *testing.T) {
			t.Parallel()
			s0, closed := newAnsweringServer(t, 20*time.Second, answersAs("e0"))
			s1, _ := newAnsweringServer(t, 2800*time.Millisecond, answersAs("e1"))
			s2, _ := newAnsweringServer(t, 0, answersAs("e2"))
			d, url := newHedgingHost(t, c.maxAttempts, s0, s1, s2)
			g := sendRequest(url, c.path, "r", 12*time.Second)
			if g.status != c.status || !strings.Contains(g.body, c.want) {
				t.Errorf("status %d, %q after %v", g.status, g.body, g.elapsed)
			}
			if n := s0.requests.Load() + s1.requests.Load() + s2.requests.Load(); n > int64(c.maxAttempts) {
				t.Errorf("sent %d times", n)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection to the first endpoint is not closed")
			}
			d.awaitFree(t)
		})
	}
}

// TestSilentStreamsEnd guards against a stream that waits for two silent endpoints for longer than its caller does.
func TestSilentStreamsEnd(t *testing.T) {
	const patience = 4 * time.Second // of the routes of newHedgingHost
	s0, closed0 := newAnsweringServer(t, 20*time.Second, answersAs("e0"))
	s1, closed1 := newAnsweringServer(t, 20*time.Second, answersAs("e1"))
	d, url := newHedgingHost(t, 2, s0, s1)
	if g := sendRequest(url, resumeRoute, "r", 0); g.status == http.StatusOK || g.elapsed > 2*patience {
		t.Errorf("status %d after %v", g.status, g.elapsed)
	}
	<-closed0
	<-closed1
	d.awaitFree(t)
}

// TestCallerLeavesDuringHedge guards against attempts that go on, or start, after their caller has left.
func TestCallerLeavesDuringHedge(t *testing.T) {
	for name, leaves := range map[string]time.Duration{"before the hedge": hedgeTestDelay / 4, "during the hedge": 8 * hedgeTestDelay} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s0, closed0 := newAnsweringServer(t, 5*time.Second, answersAs("e0"))
			s1, closed1 := newAnsweringServer(t, 5*time.Second, answersAs("e1"))
			d, url := newHedgingHost(t, 2, s0, s1)
			ctx, cancel := context.WithTimeout(t.Context(), leaves)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "GET", url+idempotentRoute, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Id", "r")
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
				t.Fatalf("status %d", resp.StatusCode)
			}
			<-closed0
			if leaves > hedgeTestDelay {
				<-closed1
			} else if time.Sleep(2 * hedgeTestDelay); s1.requests.Load() != 0 {
				t.Error("hedged after the caller had left")
			}
			d.awaitFree(t)
			for _, e := range []string{"e0", "e1"} {
				if m, ok := d.outcomeAt(e); ok && (m.Fault != 0 || m.TotalMs != 0) {
					t.Errorf("report of the attempt at %s: %+v", e, m)
				}
			}
		})
	}
}

// TestHedgedAnswersReachTheirCallers guards against an answer, or a part of one, that reaches another caller, and against two answers
// that are mixed: both endpoints answer at times that decide differently for each request, on kept connections.
func TestHedgedAnswersReachTheirCallers(t *testing.T) {
	const callers, requests = 12, 25
	server := func(name string) *scriptedServer {
		return newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
			time.Sleep(time.Duration(rand.IntN(int(3 * hedgeTestDelay))))
			a := answerFrom(name, id)
			half := len(a) - len(a)/8
			if _, err := io.WriteString(w, a[:half]); err != nil {
				return false
			}
			time.Sleep(time.Duration(rand.IntN(int(hedgeTestDelay / 4))))
			_, err := io.WriteString(w, a[half:])
			return err == nil
		})
	}
	d, url := newHedgingHost(t, 2, server("e0"), server("e1"))
	deployment := *d.h.deployment()
	deployment.RetryExtra = 10000
	d.h.activeDeployment.Store(&deployment)
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range requests {
				path := []string{idempotentRoute, resumeRoute}[i%2]
				id := fmt.Sprint("r", caller, "-", i)
				g := sendRequest(url, path, id, 5*time.Second)
				if g.status != http.StatusOK || !g.whole || g.body != answerBody("e0", id) && g.body != answerBody("e1", id) {
					t.Errorf("%s: status %d, whole %v, %q", id, g.status, g.whole, g.body)
				}
			}
		})
	}
	wg.Wait()
	d.awaitFree(t)
	g := d.h.hedges
	t.Logf("%d hedges, %d won, %d lost, %d failed", g.sent.Load(), g.results[hedgeWon].Load(), g.results[hedgeLost].Load(), g.results[hedgeFailed].Load())
	if g.results[hedgeWon].Load() == 0 || g.results[hedgeLost].Load() == 0 || g.results[hedgeFailed].Load() != 0 {
		t.Error("the hedges did not end in both ways")
	}
}

// answerBody returns the body of answerFrom.
func answerBody(server, id string) string {
	_, body, _ := strings.Cut(answerFrom(server, id), "\r\n\r\n")
	return body
}

// TestHedgedStream guards against a hedge of a stream that has begun, and against a caller that gets the header of one endpoint and
// events of the other: a header and comments are no begin, since the endpoint may never send an event.
func TestHedgedStream(t *testing.T) {
	chunk := func(w io.Writer, s string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(s), s) }
	stream := func(name string, comments int, begin func(), gap time.Duration) *scriptedServer {
		return newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
			fmt.Fprintf(w, "%s%s\r\nX-Server: %s\r\nTransfer-Encoding: chunked\r\n\r\n", answerHead, id, name)
			for range comments {
				chunk(w, ": wait\n\n")
			}
			begin()
			for i := range 4 {
				chunk(w, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, name))
				time.Sleep(gap)
			}
			_, err := io.WriteString(w, "0\r\n\r\n")
			return err == nil
		})
	}
	atOnce, late := func() {}, func() { time.Sleep(5 * time.Second) }
	hedge := stream("e1", 1, late, 0)
	whenHedged := func() { awaitTrue(func() bool { return hedge.requests.Load() > 0 }) }
	for _, c := range []struct {
		name          string
		first, second *scriptedServer
		winner        string
		hedges        uint64
	}{
		{"comments without events", stream("e0", 3, late, 0), stream("e1", 1, atOnce, 10*time.Millisecond), "e1", 1},
		{"begun before the delay", stream("e0", 0, atOnce, 2*hedgeTestDelay), stream("e1", 0, atOnce, 0), "e0", 0},
		{"first event before that of the hedge", stream("e0", 1, whenHedged, hedgeTestDelay), hedge, "e0", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, url := newHedgingHost(t, 2, c.first, c.second)
			g := sendRequest(url, resumeRoute, "r", 5*time.Second)
			if g.status != http.StatusOK || !g.whole || strings.Count(g.body, "data: "+c.winner) != 4 || strings.Count(g.body, "data:") != 4 {
				t.Errorf("status %d, whole %v, %q", g.status, g.whole, g.body)
			}
			if n := d.h.hedges.sent.Load(); n != c.hedges {
				t.Errorf("%d hedges", n)
			}
			d.awaitFree(t)
			if m, ok := d.outcomeAt(c.winner); !ok || m.Events == 0 || m.TotalMs == 0 {
				t.Errorf("report of the stream: %+v", m)
			}
		})
	}
}

// TestNoHedge guards against hedges where none is allowed: they are off, the request must not be repeated, the route is not known well
// enough, the limit or the budget of repeats is reached, the dispatcher refuses, there is none, or the host stops.
func TestNoHedge(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		prepare func(d *orderedDispatcher)
		refused hedgeRefusal // hedgeAllowed if none is due
		asked   bool
	}{
		{"off", idempotentRoute, func(d *orderedDispatcher) { d.h.opts.HedgeShare = 0 }, hedgeAllowed, false},
		{"not repeatable", nonIdempotentRoute, func(*orderedDispatcher) {}, hedgeAllowed, false},
		{"stream that can't be resumed", streamRoute, func(*orderedDispatcher) {}, hedgeAllowed, false},
		{"route not known", idempotentRoute, func(d *orderedDispatcher) { clear(d.h.hedges.policy.routes) }, hedgeAllowed, false},
		{"limit", idempotentRoute, func(d *orderedDispatcher) { clear(d.h.hedges.policy.services) }, hedgeLimitReached, false},
		{"requests wait", idempotentRoute, func(d *orderedDispatcher) { d.refuseHedges = sched.HedgeWaitingReason }, hedgeWaiting, true},
		{"load", idempotentRoute, func(d *orderedDispatcher) { d.refuseHedges = sched.HedgeLoadReason }, hedgeLoad, true},
		{"slow service", idempotentRoute, func(d *orderedDispatcher) { d.refuseHedges = sched.HedgeSlowReason }, hedgeSlow, true},
		{"budget", resumeRoute, func(d *orderedDispatcher) { d.refuseHedges = sched.RetriesUsedReason }, hedgeBudget, true},
		{"host stops", idempotentRoute, func(d *orderedDispatcher) {
			time.AfterFunc(hedgeTestDelay/2, func() {
				d.h.stopping.Store(&stopProgress{plan: planStop(8 * time.Second), start: time.Now()})
			})
		}, hedgeStopping, false},
		{"no dispatcher", idempotentRoute, func(d *orderedDispatcher) {
			d.h.binder.mu.Lock()
			defer d.h.binder.mu.Unlock()
			d.h.binder.link = nil
			d.h.binder.avoidUntil["e1"] = time.Now().Add(time.Minute)
		}, hedgeUndecided, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s0, _ := newAnsweringServer(t, 8*hedgeTestDelay, answersAs("e0"))
			s1, _ := newAnsweringServer(t, 0, answersAs("e1"))
			d, url := newHedgingHost(t, 2, s0, s1)
			c.prepare(d)
			if g := sendRequest(url, c.path, "r", 3*time.Second); g.status != http.StatusOK || g.body != answerBody("e0", "r") {
				t.Errorf("status %d, %q", g.status, g.body)
			}
			if s1.requests.Load() != 0 {
				t.Error("hedged")
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			if asked := len(d.hedges) > 0; asked != c.asked {
				t.Errorf("asked for a hedge: %v", asked)
			}
			g := d.h.hedges
			for why := hedgeAllowed + 1; why < hedgeRefusals; why++ {
				if n := g.refused[why].Load(); n != 0 && why != c.refused || n != 1 && why == c.refused {
					t.Errorf("%d hedges refused for %v", n, why)
				}
			}
		})
	}
}

// TestFirstAnswersWhileAsked guards against a slot that stays in use because the first attempt answers while the dispatcher decides
// about the hedge, and against such a hedge that counts towards the limit.
func TestFirstAnswersWhileAsked(t *testing.T) {
	s0, _ := newAnsweringServer(t, hedgeTestDelay, answersAs("e0"))
	s1, _ := newAnsweringServer(t, hedgeTestDelay, answersAs("e1"))
	d, url := newHedgingHost(t, 2, s0, s1)
	for i := range 30 {
		if g := sendRequest(url, idempotentRoute, fmt.Sprint("r", i), 3*time.Second); g.status != http.StatusOK {
			t.Errorf("status %d", g.status)
		}
	}
	d.awaitFree(t)
	g := d.h.hedges
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := uint64(0)
	for _, b := range g.policy.counts("s").buckets {
		counted += uint64(b.hedges)
	}
	if counted != g.sent.Load() {
		t.Errorf("%d hedges sent, %d count towards the limit", g.sent.Load(), counted)
	}
}

// TestReadFirstEvent guards against bytes of a stream that are lost or doubled where the first event was read ahead, and against
// reading without end where there is none.
func TestReadFirstEvent(t *testing.T) {
	for _, c := range []struct {
		name, in string
		begun    bool
	}{
		{"event", "id: 1\ndata: a\n\nid: 2\n\n", true},
		{"comments before", ": x\n\n: y\r\n\r\ndata: a\n\ndata: b\n\n", true},
		{"comments only", ": x\n\n: y\n\n", false},
		{"part of an event", "id: 1\ndata: a\n", false},
		{"empty", "", false},
	} {
		r := bufio.NewReaderSize(strings.NewReader(c.in), 16)
		begin, err := readFirstEvent(r, nil)
		if begun := err == nil; begun != c.begun {
			t.Errorf("%s: begun %v, %v", c.name, begun, err)
		}
		all, readErr := io.ReadAll(newReplayedBody(begin, err, io.NopCloser(r)))
		if string(all) != c.in || readErr != nil {
			t.Errorf("%s: %q, %v", c.name, all, readErr)
		}
	}
	endless := io.MultiReader(strings.NewReader(strings.Repeat(": x\n\n", maxEventBytes)))
	if begin, err := readFirstEvent(endless, nil); err == nil || len(begin) > maxEventBytes {
		t.Errorf("%d bytes of comments read, %v", len(begin), err)
	}
}

// TestEndlessHedgedAnswers has an endpoint answer many requests that may be hedged with errors or events that do not end. It guards
// against a host that keeps more of them than its memory has room for.
func TestEndlessHedgedAnswers(t *testing.T) {
	const memoryMB, requests = 64, 150
	for path, begin := range map[string]string{
		idempotentRoute: "HTTP/1.1 500 Internal Server Error\r\nX-Id: %s\r\n\r\n", resumeRoute: answerHead + "%s\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
	} {
		t.Run(path, func(t *testing.T) {
			s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
				fmt.Fprintf(w, begin, id)
				io.WriteString(w, strings.Repeat("x", maxBufferedAnswer-1000))
				io.Copy(io.Discard, w.(*countingWriter).Conn) // until the host closes the connection
				return false
			})
			h, url := newScriptedHost(t, s)
			h.opts.HedgeShare = 0.5
			h.activeDeployment.Store(&fleet.Deployment{Host: "h0", MemoryMB: memoryMB, RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second})
			v := *h.directory.view()
			v.Endpoints = []fleet.Endpoint{{ID: "e0", Service: "s", Address: s.address, Slots: 2 * requests}}
			h.directory.currentView.Store(&v)
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					req, err := http.NewRequestWithContext(t.Context(), "GET", url+path, nil)
					if err != nil {
						t.Error(err)
						return
					}
					req.Header.Set("X-Id", fmt.Sprint("r", i))
					req.Header.Set("X-Deadline", "2000")
					resp, err := http.DefaultClient.Do(req)
					if err != nil {
						return
					}
					defer resp.Body.Close()
					if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode == http.StatusOK {
						t.Errorf("status %d as if complete", resp.StatusCode)
					}
				})
			}
			time.Sleep(700 * time.Millisecond)
			runtime.GC()
			runtime.ReadMemStats(&during)
			wg.Wait()
			if n := s.requests.Load(); n < requests/2 {
				t.Errorf("the endpoint got %d requests only", n)
			}
			if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > memoryMB<<20 {
				t.Errorf("%d MB are kept of %d answers", grown>>20, requests)
			}
			for kind, n := range h.requestPool.Held().Bytes() {
				if n != 0 {
					t.Errorf("%d bytes of kind %s are still held", n, kind)
				}
			}
		})
	}
}
