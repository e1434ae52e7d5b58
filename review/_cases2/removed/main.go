// Command removed replaces machines one after the other, each without SIGTERM and by one at another address, then kills all
// processes right after a change of the configuration, and checks how much is served later than recover_s after the machines
// are back.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases2/bed"
)

const (
	machines     = 3
	replacements = 110
	adapters     = 10 // of each of the four models
	perSec       = 20
	before       = 6 * time.Second
	recover      = 12 * time.Second
	after        = 12 * time.Second
	deadline     = 6 * time.Second
	startGap     = 2500 * time.Millisecond // before each of the last replacements: the machines that stay were not started together
	calmLimit    = 45 * time.Second        // after the replacements, without any disruption
)

func main() {
	trouble := os.Getenv("TROUBLE") // 0: no disruption; fault: only the final fault
	b := bed.New(os.Args[1])
	b.Store.Put("config", "main", platformtest.Config(1, 4, adapters))
	sizes, adapterSizes := map[string]float64{}, map[string]float64{}
	for i := range 4 {
		sizes[fmt.Sprint("m", i)], adapterSizes[fmt.Sprint("m", i)] = 100, 1
	}
	for i, held := range [][]string{{"m0", "m1"}, {"m2", "m3"}} {
		b.StartEngine(bed.EngineOptions{
			ID: fmt.Sprint("i-e", i), Service: platformtest.EngineService, Slots: 16, MB: 210, ModelMB: sizes, AdapterMB: adapterSizes, AdapterSlots: 3, Held: held,
			FirstEvent: 20 * time.Millisecond, Events: 5, EventGap: 5 * time.Millisecond, AdapterTime: 9 * time.Millisecond, ModelTime: 300 * time.Millisecond, Heartbeat: 1200 * time.Millisecond,
		})
	}
	var live []*bed.Host
	add := func(name string) *bed.Host {
		h := b.NewHost(name, live...)
		b.Run(h)
		b.WaitFor("registration of "+name, func() bool { return b.Registered(h) })
		live = append(live, h)
		return h
	}
	for i := range machines {
		add(fmt.Sprint("front-", i+1))
	}
	b.WaitReady(live...)
	b.WaitFor("holder", func() bool { return b.Holder() != "" })
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	n := 0
	load := func(name string, d time.Duration) func() (served, sent int) {
		served, sent := 0, 0
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			h, model := live[n%len(live)], fmt.Sprintf("m%d/a%d", n%4, n/4%adapters+1)
			sent++
			wg.Go(func() {
				id := platformtest.NextID()
				b.Logf("request %s for %s sent to %s", id, model, h.Name)
				c := platformtest.NewClient(h.Front())
				defer c.Close()
				o := c.DoWithID(context.Background(), id, bed.Chat(model, deadline))
				b.Logf("request %s answered: status %d, whole %v, after %d ms", id, o.Status, o.BodyComplete, o.Duration.Milliseconds())
				mu.Lock()
				defer mu.Unlock()
				if o.Status == http.StatusOK && o.BodyComplete {
					served++
				}
			})
			time.Sleep(time.Second / perSec)
		}
		return func() (int, int) {
			mu.Lock()
			defer mu.Unlock()
			b.Logf("%s: %d of %d served", name, served, sent)
			fmt.Printf("%s: %d of %d served\n", name, served, sent)
			return served, sent
		}
	}
	start := load("before the machines are replaced", before)
	if trouble == "" || trouble == "1" {
		count := replacements
		if s := os.Getenv("REPLACEMENTS"); s != "" {
			count, _ = strconv.Atoi(s)
		}
		for i := range count {
			if i >= count-machines {
				time.Sleep(startGap)
			}
			add(fmt.Sprint("front-", machines+i+1))
			gone := live[0]
			live = live[1:]
			b.Kill(gone)
			b.Dark(gone.Control())
			b.Logf("%s is removed, %s takes its place", gone.Name, live[len(live)-1].Name)
		}
	}
	b.WaitReady(live...)
	holds := func() bool {
		for _, h := range live {
			if h.Name == b.Holder() {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(calmLimit); !holds() && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	b.Logf("%d machines, holder %s", len(live), b.Holder())
	time.Sleep(time.Second)

	first := load("before the final fault, machines replaced", before)
	if trouble != "0" {
		b.Store.Put("config", "main", platformtest.Config(2, 4, adapters))
		b.Logf("configuration 2 is acknowledged, all processes are killed")
		for _, h := range live {
			b.Kill(h)
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range live {
			b.Run(h)
		}
		b.WaitReady(live...)
		b.Logf("the machines are back")
	}
	load("until recover_s", recover)
	last := load("later than recover_s", after)
	wg.Wait()
	served, sent := start()
	servedFirst, sentFirst := first()
	served, sent = served+servedFirst, sent+sentFirst
	servedAfter, sentAfter := last()
	b.Logf("holder %s", b.Holder())
	switch {
	case 4*served < sent:
		b.Fail("less than a quarter was served before the final fault")
	case 4*servedAfter < sentAfter:
		fmt.Println("RECOVER is broken")
		b.Exit(bed.Broken)
	}
	b.Exit(bed.Held)
}
