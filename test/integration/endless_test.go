package integration

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
	"sycamoredeal/platform/platformtest"
)

const (
	endlessMemoryMB = 136 // of the host, the least of the platform's machines
	endlessRequests = 600 // in progress at the faulty server at the same time
	endlessDeadline = 3 * time.Second
	endlessInterval = 100 * time.Millisecond
)

// endlessAnswer is an answer that the faulty server begins with begin and continues until its caller closes the connection.
type endlessAnswer struct {
	begin  string // %s stands for the id of the request
	next   func(line int) string
	atOnce int // bytes that are written at once; the lines after them come one at a time
}

// shortField returns a short line of a head whose name differs from those of the other lines.
func shortField(line int) string { return strconv.FormatInt(int64(line), 36) + ":\r\n" }

func repeated(s string) func(int) string { return func(int) string { return s } }

// startEndlessServer starts a server that begins its answers a time after its first request, so that many are in progress. It returns
// its address and the number of requests that it has got.
func startEndlessServer(t *testing.T, after time.Duration, a endlessAnswer) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	var first sync.Once
	begin := make(chan struct{})
	address, end, err := testbed.Serve(func(c net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		requests.Add(1)
		first.Do(func() { time.AfterFunc(after, func() { close(begin) }) })
		<-begin
		var b bytes.Buffer
		if strings.Contains(a.begin, "%s") {
			fmt.Fprintf(&b, a.begin, req.Header.Get("Request-Id"))
		} else {
			b.WriteString(a.begin)
		}
		line := 0
		for ; b.Len() < a.atOnce; line++ {
			b.WriteString(a.next(line))
		}
		for {
			if _, err := c.Write(b.Bytes()); err != nil {
				return
			}
			time.Sleep(endlessInterval)
			b.Reset()
			b.WriteString(a.next(line))
			line++
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return address, requests
}

// peakMemory returns the largest resident memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// TestPlatformEndlessAnswers has a server answer many requests at the same time with bytes that do not end. It guards against a host
// that keeps them all and exceeds the memory of its machine, where the requests of other clients end with it.
func TestPlatformEndlessAnswers(t *testing.T) {
	const success, refusal = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\n", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: %s\r\n"
	const heads, bodies = 60 << 10, 1000 << 10 // bytes at once, below the sizes at which an answer is given up
	letters := repeated(strings.Repeat("x", 1000))
	for name, a := range map[string]endlessAnswer{
		"fields":     {success, shortField, heads},
		"long field": {success + "X: ", repeated("y"), heads},
		"refusal":    {refusal + "\r\n", letters, bodies},
		"error":      {"HTTP/1.1 500 Error\r\nRequest-Id: %s\r\n\r\n", letters, bodies},
		"body":       {success + "\r\n", letters, bodies},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPlatformFleet(t, 1, hostMemory(endlessMemoryMB))
			h := f.hosts["h0"]
			for _, p := range f.plain {
				f.store.Delete("servers", p.ID())
			}
			address, requests := startEndlessServer(t, time.Second, a)
			f.store.Put("servers", "faulty", map[string]any{
				"service": platformtest.PlainService, "address": address, "zone": "z", "version": "v1", "slots": 2 * endlessRequests, "state": "ready",
				"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "models": []any{},
			})
			time.Sleep(time.Second) // until the host uses the entry
			stop := f.load(func(n int) platformtest.Call { return chatCall(fmt.Sprint("m", n%platformModels)) }, "h0")
			var wg sync.WaitGroup
			statuses := make(chan string, endlessRequests)
			for range endlessRequests {
				wg.Go(func() { statuses <- finalStatus(h.front, platformtest.BookingPath+"x", endlessDeadline) })
			}
			wg.Wait()
			close(statuses)
			for _, o := range stop() {
				if o.Status != http.StatusOK || !o.BodyComplete {
					t.Errorf("another client's request %s: status %d, whole %v after %v", o.ID, o.Status, o.BodyComplete, o.Duration)
				}
			}
			counts := make(map[string]int)
			for s := range statuses {
				counts[s]++
			}
			select {
			case <-h.Done():
				t.Fatal("the host has ended")
			default:
			}
			peak := peakMemory(t, h.PID())
			t.Logf("%d requests at the server, peak memory %d MB, statuses %v", requests.Load(), peak>>20, counts)
			if n := requests.Load(); n < endlessRequests/2 {
				t.Errorf("the server got %d requests only", n)
			}
			if n := counts["200"]; n > 0 && a.atOnce == heads {
				t.Errorf("%d successes, though no head has ended", n)
			}
			if counts["no answer"] > 0 {
				t.Errorf("%d requests got no answer", counts["no answer"])
			}
			if peak > endlessMemoryMB<<20 {
				t.Errorf("peak memory %d MB of %d MB", peak>>20, endlessMemoryMB)
			}
		})
	}
}

// TestPlatformEndlessReports has many engines answer the request for their report with bytes that do not end. It guards against a holder
// of the placement lease that keeps them all, and against other engines that get no orders meanwhile.
func TestPlatformEndlessReports(t *testing.T) {
	const engines = 300
	f := startPlatformFleet(t, 1, hostMemory(endlessMemoryMB))
	h := f.hosts["h0"]
	report := endlessAnswer{"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", repeated(strings.Repeat("x", 1000)), 1000 << 10}
	address, requests := startEndlessServer(t, 0, report)
	for i := range engines {
		f.store.Put("servers", fmt.Sprint("faulty-", i), map[string]any{
			"service": platformtest.EngineService, "address": address, "zone": "z", "version": "v1", "slots": 16, "state": "ready",
			"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "models": []any{},
		})
	}
	f.waitFor("requests for reports", func() bool { return requests.Load() >= 2*engines })
	peak := peakMemory(t, h.PID())
	t.Logf("%d requests for reports, peak memory %d MB", requests.Load(), peak>>20)
	if peak > endlessMemoryMB<<20 {
		t.Errorf("peak memory %d MB of %d MB", peak>>20, endlessMemoryMB)
	}
	if o := platformtest.Do(f.ctx, h.front, chatCall("m0/a2")); o.Status != http.StatusOK || !o.BodyComplete {
		t.Errorf("a request whose adapter has to be loaded: status %d, whole %v after %v", o.Status, o.BodyComplete, o.Duration)
	}
}

// finalStatus sends a request that may not be repeated, discards the answer, and returns its status.
func finalStatus(address, path string, deadline time.Duration) string {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, platformtest.Host, platformtest.NextID(), deadline.Milliseconds())
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return "no answer"
	}
	c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	io.Copy(io.Discard, r)
	return strings.Fields(line)[1]
}
