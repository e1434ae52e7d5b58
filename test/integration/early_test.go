package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// TestPlatformEarlyAnswers has servers answer uploads before they have read them, with answers that end with the connection. It guards
// against a host that takes a part of an answer, whose connection was reset meanwhile, for a complete one.
func TestPlatformEarlyAnswers(t *testing.T) {
	const servers, callers, uploads, uploadBytes = 3, 6, 12, 900 << 10
	f := startPlatformFleet(t, 1)
	for _, p := range f.plain {
		f.store.Delete("servers", p.ID())
	}
	for i := range servers {
		s, err := platformtest.NewEarlyServer()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.Register(f.store, fmt.Sprint("early-", i), platformtest.PlainService, 8)
	}
	time.Sleep(time.Second) // until the host uses the entries
	for _, path := range []string{platformtest.BookingPath, platformtest.LookupPath} {
		var wg sync.WaitGroup
		outcomes := make(chan platformtest.Outcome, callers*uploads)
		for range callers {
			wg.Go(func() {
				for range uploads {
					outcomes <- platformtest.Do(f.ctx, f.hosts["h0"].front, platformtest.Call{
						Method: http.MethodPost, Path: path + "x", Body: strings.Repeat("x", uploadBytes), Deadline: 3 * time.Second,
					})
				}
			})
		}
		wg.Wait()
		close(outcomes)
		statuses := make(map[int]int)
		for o := range outcomes {
			statuses[o.Status]++
			if o.Status == http.StatusOK && (!o.BodyComplete || o.Body != platformtest.EarlyBody) {
				t.Errorf("request %s %s: body %q, complete %v", o.ID, path, o.Body, o.BodyComplete)
			}
		}
		t.Logf("%s: statuses %v", path, statuses)
		if n := statuses[http.StatusOK]; n < callers*uploads/2 {
			t.Errorf("%s: %d of %d requests were served", path, n, callers*uploads)
		}
	}
}
