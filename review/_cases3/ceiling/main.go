// Command ceiling kills all processes of the system while models are loaded from the weight store.
package main

import (
	"fmt"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases3/lab"
)

const (
	engines      = 20
	models       = 36 // of which one fits into an engine
	busyModels   = 4
	rareModels   = models - engines
	loadsPerSec  = 1.6
	window       = 5 * time.Second // ceiling_window_s
	over         = 1.1             // ceiling_over
	restartDelay = 200 * time.Millisecond
	burstTime    = 6 * time.Second // the site file has x = 2.4 for 6.2 s, for the kind of request with this objective
	mostBurst    = 2.4
)

type load struct {
	at     time.Time
	holder string
	fence  uint64
}

func config() map[string]any {
	list := []map[string]any{}
	for i := range models {
		list = append(list, map[string]any{"name": fmt.Sprint("m", i), "mb": 65100, "load_s": 3.8, "warm_s": 0.4, "disk_s": 0.84, "adapters": 0, "adapter_mb": 0})
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "chat", "host": lab.RouteHost, lab.FieldPathPrefix: "/chat/", "kind": "stream", "timeout_ms": 12000, lab.FieldTargetLatency: 6000,
			lab.FieldGapAim: 300, "priority": 0, "service": "lm", lab.FieldMaxAttempts: 1, "sticky": true,
		}},
		"services": []any{map[string]any{"name": "lm", "health_path": "/health", "max_conns": 780, "engine": map[string]any{
			"slots": 16, "kv_tokens": 172336, "mb": 80000, lab.FieldAdapterSlots: 8, "loads_per_s": loadsPerSec, "models": list,
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func main() {
	l := lab.New()
	store := platformtest.NewStore()
	store.Put("config", "main", config())
	var mu sync.Mutex
	var loads []load
	onLoad := func(engine, model string, fromStore bool, holder string, fence uint64) {
		l.Log("%s begins to load %s, from the weight store: %v, ordered by %s with fencing token %d", engine, model, fromStore, holder, fence)
		if fromStore {
			mu.Lock()
			defer mu.Unlock()
			loads = append(loads, load{time.Now(), holder, fence})
		}
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(loads)
	}
	for i := range engines {
		id := fmt.Sprintf("i-%02d", i)
		l.NewEngine(id, lab.EngineOptions{
			Service: "lm", Slots: 16, Models: []string{fmt.Sprint("m", i)}, Fit: 1, LoadTime: 3800 * time.Millisecond, WarmTime: 840 * time.Millisecond,
			Work: 30 * time.Millisecond, Events: 10, Interval: 20 * time.Millisecond, OnLoad: onLoad, OnRun: func(a lab.Arrival) { l.Log("%s runs %s", a.Server, a.ID) },
			OnChange: func(entry map[string]any) { store.Put("servers", id, entry) },
		})
	}
	var hosts []*lab.Host
	for n := 1; n <= 3; n++ {
		hosts = append(hosts, l.AddHost(n, store.Address()))
		l.WaitFor("registration", 10*time.Second, func() bool { return len(store.Names("sycamore-hosts")) == n })
	}
	for _, h := range hosts {
		l.WaitFor("readiness of "+h.Name, 15*time.Second, h.IsReady)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent []time.Time // of all requests
	ask := func(front, model string) lab.Answer {
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		c := lab.NewClient(0)
		return c.Do(front, "POST", "/chat/x", "prompt", 12*time.Second, map[string]string{
			"Model": model, lab.HeaderTokenCount: "826,60", lab.HeaderPromptPrefix: "ab:198," + lab.NextID() + ":628",
		})
	}
	caller := func(i int, model string, pause time.Duration, until time.Time) {
		for until.IsZero() || time.Now().Before(until) {
			a := ask(hosts[i%len(hosts)].Front, model)
			l.Log("%s for %s, sent %.3f s ago, was answered with status %d, complete: %v", a.ID, model, a.EndedAt.Sub(a.SentAt).Seconds(), a.Status, a.Complete)
			i++
			select {
			case <-stop:
				return
			case <-time.After(max(pause, a.RetryAfter)):
			}
		}
	}
	for i := range 3 * busyModels {
		wg.Go(func() { caller(i, fmt.Sprint("m", i%busyModels), 200*time.Millisecond, time.Time{}) })
	}
	time.Sleep(8 * time.Second)
	l.Log("rare models are asked for, for %v", burstTime)
	burst := time.Now()
	for i := range rareModels {
		wg.Go(func() { caller(i, fmt.Sprint("m", engines+i), 300*time.Millisecond, burst.Add(burstTime)) })
	}
	l.WaitFor("loads from the weight store", 10*time.Second, func() bool { return count() >= 6 })
	for before := -1; before != count(); time.Sleep(150 * time.Millisecond) {
		before = count()
	}
	if l.Trouble {
		l.Log("all processes are killed after %d loads", count())
		var killed sync.WaitGroup
		for _, h := range hosts {
			killed.Go(h.Kill)
		}
		killed.Wait()
		time.Sleep(restartDelay)
		for _, h := range hosts {
			h.StartProcess()
		}
	}
	time.Sleep(8 * time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	before, during := 0, 0
	for _, t := range sent {
		if d := t.Sub(burst); d >= -burstTime && d < 0 {
			before++
		} else if d >= 0 && d < burstTime {
			during++
		}
	}
	l.Log("%d requests were sent in the %v before the burst, %d in the %v of it", before, burstTime, during, burstTime)
	if float64(during) > mostBurst*float64(before) {
		l.Exit(lab.ExitNotRun, "could not run: the burst was %.2f times the traffic before", float64(during)/float64(before))
	}
	allowed := loadsPerSec*window.Seconds()*over + 3
	most, from := 0, time.Time{}
	for i := range loads {
		n := 0
		for _, x := range loads[i:] {
			if x.at.Sub(loads[i].at) < window {
				n++
			}
		}
		if n > most {
			most, from = n, loads[i].at
		}
	}
	if float64(most) > allowed {
		l.Exit(lab.ExitBroken, "CEILING: %d loads from the weight store began within %v, from %.3f s on; %.1f are allowed", most, window, from.Sub(l.Start).Seconds(), allowed)
	}
	l.Exit(lab.ExitHeld, "held: at most %d loads from the weight store began within %v; %.1f are allowed", most, window, allowed)
}
