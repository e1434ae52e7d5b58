package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/engine"
)

func startServer(t *testing.T, o Options) (*Server, string) {
	s := New(o)
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, strings.TrimPrefix(srv.URL, "http://")
}

// sendLoadOrder sends an order and fails the test if the engine rejects it.
func sendLoadOrder(t *testing.T, c *engine.Client, addr string, o engine.Order) {
	t.Helper()
	o.Action = engine.ActionLoad
	if err := c.Order(t.Context(), addr, o); err != nil {
		t.Fatal(err)
	}
}

// TestOrderFaults checks that orders are dropped, delayed and duplicated as configured, that a duplicate of an ended order has
// no effect, and that a delayed order is executed after a restart.
func TestOrderFaults(t *testing.T) {
	s, addr := startServer(t, Options{MemoryBytes: 10, Slots: 1})
	c := engine.NewClient(time.Second)
	s.SetFaults(Faults{DropOrders: 1, DuplicateOrders: 1, DuplicateAfter: Duration(50 * time.Millisecond)})
	if c.Order(t.Context(), addr, engine.Order{ID: 1, Action: engine.ActionLoad, Name: "a", Bytes: 6}) == nil || len(s.Report().Residents) != 0 {
		t.Fatal("order was not dropped")
	}
	sendLoadOrder(t, c, addr, engine.Order{ID: 1, Name: "a", Bytes: 6})
	c.Order(t.Context(), addr, engine.Order{ID: 2, Action: engine.ActionUnload, Name: "a"})
	time.Sleep(100 * time.Millisecond)
	if n := len(s.Report().Residents); n != 0 {
		t.Fatalf("%d residents after a duplicate of an ended order, want 0", n)
	}
	s.SetFaults(Faults{DelayOrders: 1, OrderDelay: Duration(100 * time.Millisecond)})
	sendLoadOrder(t, c, addr, engine.Order{ID: 3, Name: "a", Bytes: 6})
	if len(s.Report().Residents) != 0 {
		t.Fatal("order was not delayed")
	}
	http.Post("http://"+addr+"/_restart", "", nil)
	sendLoadOrder(t, c, addr, engine.Order{ID: 4, Name: "b", Bytes: 6})
	time.Sleep(200 * time.Millisecond)
	if v := s.Report().Violations; v != 1 {
		t.Fatalf("%d violations after a late order into a new incarnation, want 1", v)
	}
}

// TestReportLag checks that a delayed report shows residents, orders and sequence number of the same earlier state.
func TestReportLag(t *testing.T) {
	s, addr := startServer(t, Options{MemoryBytes: 10, Slots: 1})
	c := engine.NewClient(time.Second)
	time.Sleep(60 * time.Millisecond)
	s.SetFaults(Faults{ReportLag: Duration(50 * time.Millisecond)})
	sendLoadOrder(t, c, addr, engine.Order{ID: 1, Name: "a", Bytes: 6})
	if r, err := c.Report(t.Context(), addr); err != nil || len(r.Residents)+len(r.Orders) != 0 || r.Sequence >= s.Report().Sequence {
		t.Fatalf("report %+v, %v shows state without lag", r, err)
	}
	time.Sleep(100 * time.Millisecond)
	if r, err := c.Report(t.Context(), addr); err != nil || len(r.Residents) != 1 || len(r.Orders) != 1 {
		t.Fatalf("report %+v, %v lacks an order of 100 ms ago", r, err)
	}
}

// TestReportCounts checks that a report shows the requests in progress, also to a client that has the state of memory and
// orders already.
func TestReportCounts(t *testing.T) {
	s, addr := startServer(t, Options{MemoryBytes: 10, Slots: 1})
	c := engine.NewClient(time.Second)
	for _, want := range []int{0, 2, 0} {
		s.addRequests(want-s.waiting, want-s.running)
		if r, err := c.Report(t.Context(), addr); err != nil || r.Running != want || r.Waiting != want {
			t.Errorf("report %+v, %v, want %d running and waiting", r, err, want)
		}
	}
}

// TestQueueOrder checks that requests with a lower priority value are admitted first, and equal ones in order of arrival.
func TestQueueOrder(t *testing.T) {
	q := newQueue(1)
	q.acquire(t.Context(), 0)
	order := make(chan int, 3)
	for i, priority := range []int{5, 1, 1} {
		go func() {
			q.acquire(context.Background(), priority)
			order <- i
			q.release()
		}()
		time.Sleep(20 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if q.acquire(ctx, 0) {
		t.Fatal("two requests have the only slot")
	}
	q.release()
	if a, b, c := <-order, <-order, <-order; a != 1 || b != 2 || c != 0 {
		t.Fatalf("admitted %d, %d, %d; want 1, 2, 0", a, b, c)
	}
}

// TestStreamFaults checks that a stream broken by FailAfterTokens ends without its end marker and with a connection error.
func TestStreamFaults(t *testing.T) {
	s, addr := startServer(t, Options{MemoryBytes: 10, Slots: 1, TokenTime: time.Millisecond})
	sendLoadOrder(t, engine.NewClient(time.Second), addr, engine.Order{ID: 1, Name: "m", Bytes: 1})
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(Faults{FailAfterTokens: 3})
	body, _ := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": 9})
	resp, err := http.Post("http://"+addr+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(got), "data:"); err == nil || n != 3 || strings.Contains(string(got), "DONE") {
		t.Fatalf("%d events, error %v; want 3 and a broken connection", n, err)
	}
}

// TestPrefixCache checks that repeated prefixes hit, that models don't share entries and that the size is bounded.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(64 * blockTokens)
	prompt := strings.Repeat("x", 10*blockBytes)
	if a, b, other := c.lookup("m", prompt), c.lookup("m", prompt+"tail"), c.lookup("n", prompt); a != 0 || b != 10 || other != 0 {
		t.Fatalf("hits %d, %d, %d; want 0, 10, 0", a, b, other)
	}
	c.lookup("m", strings.Repeat("y", 500*blockBytes))
	if len(c.lastUse) > 64 {
		t.Fatalf("%d blocks cached, want at most 64", len(c.lastUse))
	}
}
