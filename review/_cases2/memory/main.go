// Command memory asks for rare adapters at once, on model servers whose weights leave room for some adapters only, and checks
// that no server is ordered to hold more than its memory.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases2/bed"
)

const (
	serverMB     = 218400.0 // three models of 72,700 MB leave 300 MB, which is room for four adapters of 66 MB
	modelMB      = 72700.0
	adapterMB    = 66.0
	adapterSlots = 8
	usual        = 4  // adapters that are asked for all the time
	rare         = 12 // adapters that are asked for in the burst, the usual ones included
	perSec       = 20
	burst        = 2.4 // times the traffic, the sheet's dose for a class
	calm         = 6 * time.Second
	burstTime    = 4500 * time.Millisecond
)

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	b := bed.New(os.Args[1])
	models := []map[string]any{}
	sizes, adapterSizes := map[string]float64{}, map[string]float64{}
	for i := range 3 {
		name := fmt.Sprint("m", i)
		sizes[name], adapterSizes[name] = modelMB, adapterMB
		models = append(models, map[string]any{"name": name, "mb": modelMB, "load_s": 4.2, "warm_s": 0.4, "disk_s": 0.84, "adapters": 20, "adapter_mb": adapterMB})
	}
	config := platformtest.Config(1, 3, 20)
	config["services"].([]any)[0].(map[string]any)["engine"] = map[string]any{
		"slots": 64, "kv_tokens": 172336, "mb": serverMB, bed.FieldAdapterSlots: adapterSlots, "loads_per_s": 1.6, "models": models,
	}
	b.Store.Put("config", "main", config)
	var engines []*bed.Engine
	for i := range 2 {
		engines = append(engines, b.StartEngine(bed.EngineOptions{
			ID: fmt.Sprint("i-e", i), Service: platformtest.EngineService, Slots: 64, MB: serverMB, ModelMB: sizes, AdapterMB: adapterSizes, AdapterSlots: adapterSlots,
			Held: []string{"m0", "m1", "m2"}, FirstEvent: 40 * time.Millisecond, Events: 20, EventGap: 15 * time.Millisecond,
			AdapterTime: 9 * time.Millisecond, ModelTime: 4200 * time.Millisecond, Heartbeat: 1200 * time.Millisecond,
		}))
	}
	h0 := b.NewHost("front-1")
	h1 := b.NewHost("front-2", h0)
	hosts := []*bed.Host{h0, h1}
	b.Run(h0)
	b.Run(h1)
	b.WaitReady(hosts...)
	b.WaitFor("holder", func() bool { return b.Holder() != "" })
	time.Sleep(time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, served, other := 0, 0, 0
	send := func(n int, adapters int) {
		model := fmt.Sprintf("m0/a%d", n%adapters+1)
		if n%3 == 0 {
			model = fmt.Sprint("m", n/3%3)
		}
		wg.Go(func() {
			id := platformtest.NextID()
			b.Logf("request %s for %s sent to %s", id, model, hosts[n%2].Name)
			c := platformtest.NewClient(hosts[n%2].Front())
			defer c.Close()
			o := c.DoWithID(context.Background(), id, bed.Chat(model, 6*time.Second))
			b.Logf("request %s answered: status %d, whole %v, %d events, after %d ms", id, o.Status, o.BodyComplete, len(o.EventIDs()), o.Duration.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.Status == http.StatusOK && o.BodyComplete:
				served++
			case o.Status == http.StatusOK:
				cut++
			default:
				other++
			}
		})
	}
	n := 0
	load := func(d time.Duration, rate float64, adapters int) {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			send(n, adapters)
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
	}
	load(calm, perSec, usual)
	if trouble {
		b.Logf("rare adapters are asked for at once")
		load(burstTime, perSec*burst, rare)
	}
	load(calm, perSec, usual)
	wg.Wait()
	b.Logf("served %d, cut in the answer %d, not served %d", served, cut, other)
	broken := false
	for i, e := range engines {
		if why := e.Crashed(); why != "" {
			broken = true
			fmt.Printf("LIMIT is broken at server i-e%d: %s\n", i, why)
		}
	}
	fmt.Printf("served %d, cut in the answer %d, not served %d\n", served, cut, other)
	switch {
	case broken:
		b.Exit(bed.Broken)
	case served == 0:
		b.Fail("nothing was served")
	}
	b.Exit(bed.Held)
}
