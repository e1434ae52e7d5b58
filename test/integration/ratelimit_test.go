package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sycamoredeal/platform/platformtest"
)

// Bounds of the users' platform for a server that names its limit.
const (
	limitWindow      = 4 * time.Second
	limitOver        = 1.5 // times what the limit allows in limitWindow
	limitSlack       = 5   // requests
	limitPassedAfter = 500 * time.Millisecond
)

// checkLimit fails if a server got too many requests in some limitWindow from the given time on.
func checkLimit(t *testing.T, s *platformtest.Server, perSec float64, from time.Time) {
	t.Helper()
	allowed := limitOver*perSec*limitWindow.Seconds() + limitSlack
	var times []time.Time
	for _, at := range s.Received() {
		if at.After(from) {
			times = append(times, at)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			t.Errorf("server %s with a limit of %v a second got %d requests in %v, allowed %v", s.ID(), perSec, n, limitWindow, allowed)
			return
		}
	}
}

// TestPlatformRateLimit guards against hosts that send a server more requests than the limit that it names (LIMIT), for an
// engine and for a plain service: on a calm fleet, while the dispatcher is killed or stands still, without the store, and when
// the limit changes or ends. All servers together can serve the load, so nothing else may suffer.
func TestPlatformRateLimit(t *testing.T) {
	for _, trouble := range []string{"none", "dispatcher killed", "dispatcher frozen", "store away", "limit changes", "limit ends"} {
		t.Run(trouble, func(t *testing.T) {
			f := startPlatformFleet(t, 4)
			for i := range 3 { // engines that hold the models of the first one, and one more plain server
				s := platformtest.NewServer(platformtest.ServerOptions{
					ID: fmt.Sprint("e", 2+i), Service: platformtest.EngineService, Slots: 16, WorkTime: 10 * time.Millisecond, StreamEvents: 20,
					EventInterval: 5 * time.Millisecond, Models: []string{"m0", "m1"}, MaxModels: 2, AdapterSlots: 3, LoadTime: 100 * time.Millisecond, OrderTime: 20 * time.Millisecond,
				})
				t.Cleanup(s.Close)
				s.Register(f.store, "ready")
			}
			first := f.dispatcher()
			callers := f.hostsExcept(first)
			stop := f.load(func(n int) platformtest.Call {
				c := lookupCall()
				if n%2 == 0 {
					c = chatCall(fmt.Sprint("m", n/2%2))
				}
				c.Deadline = 3 * time.Second
				return c
			}, callers...)
			time.Sleep(time.Second)
			if trouble == "store away" {
				f.store.SetUnavailable(true)
			}
			limited := []*platformtest.Server{f.engines[0], f.plain[0]}
			perSec := 2.0
			setLimit := func(v float64) {
				for _, s := range limited {
					s.SetRateLimit(v)
				}
			}
			setLimit(perSec)
			named := time.Now()
			time.Sleep(2 * time.Second)
			switch trouble {
			case "dispatcher killed":
				f.hosts[first].Kill()
			case "dispatcher frozen":
				if err := f.hosts[first].Suspend(); err != nil {
					t.Fatal(err)
				}
				defer func() {
					if err := f.hosts[first].Resume(); err != nil {
						t.Error(err)
					}
				}()
			case "limit changes":
				perSec = 6
				setLimit(perSec)
			case "limit ends":
				setLimit(-1)
			}
			changed := time.Now()
			time.Sleep(5 * time.Second)
			got := stop()
			if trouble == "store away" {
				f.store.SetUnavailable(false)
			}
			for _, s := range limited {
				if trouble != "limit ends" {
					checkLimit(t, s, perSec, named.Add(limitPassedAfter))
				}
				n := 0
				for _, at := range s.Received() {
					if at.After(changed.Add(3 * time.Second)) {
						n++
					}
				}
				if least := perSec; float64(n) < least || trouble == "limit ends" && n < 20 {
					t.Errorf("server %s got %d requests in the last two seconds", s.ID(), n)
				}
			}
			failed := 0
			for _, o := range got {
				if o.Status != http.StatusOK || !o.BodyComplete {
					failed++
				}
			}
			if failed > len(got)/50 || len(got) < 200 {
				t.Errorf("%d of %d requests failed", failed, len(got))
			}
			f.checkPromises(got, true)
		})
	}
}
