// Command drain removes the entries of servers that leave, each after the connection of the dispatcher's watch has gone silent.
package main

import (
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases3/lab"
)

// leaving are the servers that leave one after the other, without reporting it first.
var leaving = []string{"i-c", "i-d", "i-e", "i-f", "i-g"}

const (
	drainBound = 2 * time.Second         // drain_ms
	stable     = 3 * time.Second         // stable_ms
	exitsAfter = 2400 * time.Millisecond // from the removal of a server's entry to its exit: drain_ms "and a little longer"
	work       = 150 * time.Millisecond  // of a request
	callers    = 40
	pause      = 100 * time.Millisecond // of a caller between two requests
)

func main() {
	l := lab.New()
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	sentTo := make(map[string]string)
	answers := make(map[string]lab.Answer)
	var arrivals []lab.Arrival
	onRun := func(a lab.Arrival) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, a)
		l.Log("%s runs %s", a.Server, a.ID)
	}
	store := platformtest.NewStore()
	store.Put("config", "main", platformtest.Config(1, 1, 0))
	servers := make(map[string]*lab.PlainServer)
	for _, id := range append([]string{"i-a", "i-b"}, leaving...) {
		s := l.NewPlainServer(id, work, onRun)
		store.Put("servers", id, s.Entry(platformtest.PlainService, "ready"))
		servers[id] = s
	}
	// The first host to register is the dispatcher. Its connections to the store pass through a proxy.
	proxy := l.NewProxy(store.Address())
	first := l.AddHost(1, proxy.Address)
	l.WaitFor("registration", 10*time.Second, func() bool { return len(store.Names("sycamore-hosts")) == 1 })
	hosts := []*lab.Host{first}
	for n := 2; n <= 4; n++ {
		hosts = append(hosts, l.AddHost(n, store.Address()))
		l.WaitFor("registration", 10*time.Second, func() bool { return len(store.Names("sycamore-hosts")) == n })
	}
	for _, h := range hosts {
		l.WaitFor("readiness of "+h.Name, 15*time.Second, h.IsReady)
	}
	time.Sleep(4 * time.Second)
	if !first.LogHas("Serving as dispatcher") {
		l.Exit(lab.ExitNotRun, "could not run: the first host is not the dispatcher")
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := lab.NewClient(2)
			front := hosts[1+i%3].Front // hosts that no disruption touches
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				a := c.Do(front, "POST", platformtest.BookingPath+"x", "a booking", 4*time.Second, nil)
				mu.Lock()
				sentAt[a.ID], sentTo[a.ID], answers[a.ID] = a.SentAt, front, a
				mu.Unlock()
				l.Log("%s, sent to %s %.3f s ago, was answered with status %d, complete: %v", a.ID, front, a.EndedAt.Sub(a.SentAt).Seconds(), a.Status, a.Complete)
			}
		})
	}
	time.Sleep(4 * time.Second)
	isWatch := func(line string) bool {
		return strings.Contains(line, "/objects/servers?") && strings.Contains(line, "watch=")
	}
	disturbed, removed := make(map[string]time.Time), make(map[string]time.Time)
	for _, id := range leaving {
		disturbed[id] = time.Now()
		if l.Trouble {
			disturbed[id] = <-proxy.SilenceNext(isWatch)
			l.Log("one connection of %s to the store goes silent, that of its watch of the servers' entries; all others work, and new ones too", first.Name)
		}
		time.Sleep(time.Until(disturbed[id].Add(900 * time.Millisecond)))
		store.Delete("servers", id)
		removed[id] = time.Now()
		l.Log("the store has removed the entry of %s, which goes on serving", id)
		time.Sleep(exitsAfter)
		servers[id].Close()
		l.Log("%s exits", id)
		time.Sleep(4600 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost, lastLate, reached := 0, 0, time.Duration(0), make(map[string]bool)
	for _, a := range arrivals {
		after := a.At.Sub(removed[a.Server])
		if removed[a.Server].IsZero() || after < 0 {
			continue
		}
		l.Log("%s ran %s, sent to %s, %.3f s after the removal, %.3f s after the disruption", a.Server, a.ID, sentTo[a.ID], after.Seconds(), a.At.Sub(disturbed[a.Server]).Seconds())
		if after > drainBound && sentAt[a.ID].After(disturbed[a.Server].Add(stable)) {
			late++
			if out := answers[a.ID]; out.Status != 200 {
				lost++
				l.Log("%s has begun to run %s and exits; the client got status %d", a.Server, a.ID, out.Status)
			}
			lastLate, reached[a.Server] = max(lastLate, after), true
		}
	}
	if late > 0 {
		l.Exit(lab.ExitBroken, "DRAIN: %d requests reached %d of %d servers later than %v after their entries were removed, the latest after %.3f s; %d of them were lost when their server exited", late, len(reached), len(leaving), drainBound, lastLate.Seconds(), lost)
	}
	l.Exit(lab.ExitHeld, "held: no request reached a server later than %v after its entry was removed", drainBound)
}
