package integration

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

const (
	endlessMemoryMB = 136 // of the host, the least of the platform's machines
	endlessRequests = 600 // that callers send at the same time
	endlessDeadline = 3 * time.Second
)

// Sizes of what a faulty server writes at once, below those at which an answer is given up.
const (
	endlessHeadBytes = 60 << 10
	endlessBodyBytes = 1000 << 10
)

// shortField returns a short line of a head whose name differs from those of the other lines.
func shortField(line int) string { return strconv.FormatInt(int64(line), 36) + ":\r\n" }

func repeated(s string) func(int) string { return func(int) string { return s } }

// endlessBody returns an answer with a body that does not end. The head lacks its empty line.
func endlessBody(head string) platformtest.EndlessAnswer {
	return platformtest.EndlessAnswer{Begin: head + "\r\n", Next: repeated(strings.Repeat("x", 1000)), AtOnce: endlessBodyBytes}
}

func startEndlessServer(t *testing.T, after time.Duration, a platformtest.EndlessAnswer) *platformtest.EndlessServer {
	t.Helper()
	s, err := platformtest.NewEndlessServer(after, a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// checkMemory fails if a host has had more resident memory than its machine has.
func checkMemory(t *testing.T, h *platformHost) {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.PID()))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	var kb int
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB", kb>>10)
	if kb > endlessMemoryMB<<10 {
		t.Errorf("peak memory %d MB of %d MB", kb>>10, endlessMemoryMB)
	}
}

// TestPlatformEndlessAnswers has a server answer many requests at the same time with bytes that do not end. It guards against a host
// that keeps them all and exceeds the memory of its machine, where the requests of other clients end with it.
func TestPlatformEndlessAnswers(t *testing.T) {
	head := func(begin string, next func(int) string) platformtest.EndlessAnswer {
		return platformtest.EndlessAnswer{Begin: begin, Next: next, AtOnce: endlessHeadBytes}
	}
	for name, a := range map[string]platformtest.EndlessAnswer{
		"fields":     head(platformtest.SuccessHead, shortField),
		"long field": head(platformtest.SuccessHead+"X: ", repeated("y")),
		"no HTTP":    head(strings.Repeat("\x01", endlessHeadBytes)+"\r\n", repeated("\x01")),
		"refusal":    endlessBody(platformtest.RefusalHead),
		"error":      endlessBody(platformtest.ErrorHead),
		"body":       endlessBody(platformtest.SuccessHead),
	} {
		t.Run(name, func(t *testing.T) {
			f := startPlatformFleet(t, 1, hostMemory(endlessMemoryMB))
			h := f.hosts["h0"]
			for _, p := range f.plain {
				f.store.Delete("servers", p.ID())
			}
			faulty := startEndlessServer(t, time.Second, a)
			faulty.Register(f.store, "faulty", platformtest.PlainService, 2*endlessRequests)
			time.Sleep(time.Second) // until the host uses the entry
			stop := f.load(func(n int) platformtest.Call { return chatCall(fmt.Sprint("m", n%platformModels)) }, "h0")
			var wg sync.WaitGroup
			statuses := make(chan int, endlessRequests)
			for range endlessRequests {
				wg.Go(func() { statuses <- platformtest.FinalStatus(h.front, platformtest.BookingPath+"x", endlessDeadline) })
			}
			wg.Wait()
			close(statuses)
			for _, o := range stop() {
				if o.Status != http.StatusOK || !o.BodyComplete {
					t.Errorf("another client's request %s: status %d, whole %v after %v", o.ID, o.Status, o.BodyComplete, o.Duration)
				}
			}
			counts := make(map[int]int)
			for s := range statuses {
				counts[s]++
			}
			t.Logf("%d requests at the server, statuses %v", faulty.Requests(), counts)
			if n := faulty.Requests(); n < endlessRequests/2 {
				t.Errorf("the server got %d requests only", n)
			}
			if n := counts[http.StatusOK]; n > 0 && a.AtOnce == endlessHeadBytes {
				t.Errorf("%d successes, though no head has ended", n)
			}
			if counts[0] > 0 {
				t.Errorf("%d requests got no answer", counts[0])
			}
			checkMemory(t, h)
		})
	}
}

// TestPlatformEndlessReports has many engines answer the request for their report with bytes that do not end. It guards against a holder
// of the placement lease that keeps them all, and against other engines that get no orders meanwhile.
func TestPlatformEndlessReports(t *testing.T) {
	const engines = 300
	f := startPlatformFleet(t, 1, hostMemory(endlessMemoryMB))
	h := f.hosts["h0"]
	faulty := startEndlessServer(t, 0, endlessBody("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"))
	for i := range engines {
		faulty.Register(f.store, fmt.Sprint("faulty-", i), platformtest.EngineService, 16)
	}
	f.waitFor("requests for reports", func() bool { return faulty.Requests() >= 2*engines })
	checkMemory(t, h)
	if o := platformtest.Do(f.ctx, h.front, chatCall("m0/a2")); o.Status != http.StatusOK || !o.BodyComplete {
		t.Errorf("a request whose adapter has to be loaded: status %d, whole %v after %v", o.Status, o.BodyComplete, o.Duration)
	}
}
