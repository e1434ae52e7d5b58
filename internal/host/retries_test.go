package host

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
)

// TestResendsWithinBudget guards against requests for adapters that are sent again, without asking the retry budget, to the
// endpoint that has just refused them (BUDGET): 66 of 425 retries in a window of the day many-disruptions.
func TestResendsWithinBudget(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			const requests, ratio, extra = 40, 0.2, 10
			refusing := func() *scriptedServer {
				return newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
					_, err := fmt.Fprintf(w, "HTTP/1.1 %d Refused\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nKeep-Alive: timeout=9\r\n\r\n", status, id)
					return err == nil
				})
			}
			servers := []*scriptedServer{refusing(), refusing(), refusing()}
			h, url := newScriptedHost(t, servers...)
			d := *h.deployment()
			d.RetryRatio, d.RetryExtra = ratio, extra
			h.activeDeployment.Store(&d)
			v := h.directory.view()
			for i := range v.Endpoints {
				v.Endpoints[i].Models = []fleet.Resident{{Model: "m", Adapters: []string{"a"}}}
			}
			for i := range requests {
				if g := sendModelRequest(url, streamRoute, fmt.Sprint("r", i), "m/a", time.Second); g.status != http.StatusServiceUnavailable {
					t.Errorf("request %d got status %d", i, g.status)
				}
			}
			sends := int64(0)
			for _, s := range servers {
				sends += s.requests.Load()
			}
			if retries, allowed := sends-requests, int64(ratio*requests+extra); retries > allowed {
				t.Errorf("%d retries of %d requests, %d are allowed", retries, requests, allowed)
			}
		})
	}
}
