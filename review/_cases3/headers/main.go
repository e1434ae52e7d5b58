// Command headers raises the limit on the header of a request and sends requests within the new limit.
package main

import (
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases3/lab"
)

const (
	oldLimit    = 8 << 10
	newLimit    = 32 << 10
	headerBytes = 20 << 10        // of the requests that only the new limit allows
	applied     = 3 * time.Second // after the acknowledgement; apply_ms is 2,000
	requests    = 200             // of each size
)

func config(version, headerLimit int) map[string]any {
	c := platformtest.Config(version, 1, 0)
	c["limits"].(map[string]any)["max_header_bytes"] = headerLimit
	return c
}

func main() {
	l := lab.New()
	store := platformtest.NewStore()
	before := oldLimit
	if !l.Trouble {
		before = newLimit
	}
	store.Put("config", "main", config(1, before))
	for _, id := range []string{"i-a", "i-b"} {
		s := l.NewPlainServer(id, 10*time.Millisecond, func(a lab.Arrival) { l.Log("%s runs %s", a.Server, a.ID) })
		store.Put("servers", id, s.Entry(platformtest.PlainService, "ready"))
	}
	var hosts []*lab.Host
	for n := 1; n <= 3; n++ {
		hosts = append(hosts, l.AddHost(n, store.Address()))
		l.WaitFor("registration", 10*time.Second, func() bool { return len(store.Names("sycamore-hosts")) == n })
	}
	for _, h := range hosts {
		l.WaitFor("readiness of "+h.Name, 15*time.Second, h.IsReady)
	}
	time.Sleep(3 * time.Second)
	store.Put("config", "main", config(2, newLimit))
	l.Log("the store has acknowledged version 2 of the configuration; version 1 allowed headers of %d bytes, version 2 allows %d", before, newLimit)
	time.Sleep(applied)
	var mu sync.Mutex
	denied, all, served := 0, 0, 0
	var wg sync.WaitGroup
	for _, size := range []int{100, headerBytes} {
		for _, h := range hosts {
			wg.Go(func() {
				c := lab.NewClient(1)
				for range requests / len(hosts) {
					a := c.Do(h.Front, "POST", platformtest.BookingPath+"x", "a booking", 4*time.Second, map[string]string{"Note": strings.Repeat("n", size)})
					l.Log("%s with a header of about %d bytes, sent to %s, was answered with status %d", a.ID, size+150, h.Name, a.Status)
					mu.Lock()
					all++
					if a.Status == 200 {
						served++
					}
					if a.Status >= 300 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429 {
						denied++
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	if float64(denied) > 5+float64(all)/500 {
		l.Exit(lab.ExitBroken, "DENIED: %d of %d requests that the configuration allows were ended with a 4xx of the host, %d were served", denied, all, served)
	}
	l.Exit(lab.ExitHeld, "held: %d of %d requests were ended with a 4xx of the host, %d were served", denied, all, served)
}
