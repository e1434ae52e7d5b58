// Command lateload leaves orders of an engine unanswered and carries them out late.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases3/lab"
)

const (
	late        = 3300 * time.Millisecond // from an order without an answer until it is carried out; the pages say 2 to 12 s
	troubleTime = 6 * time.Second         // for which orders stay without an answer, as in the days of the site file
	mostLate    = 0.35                    // largest share of orders without an answer in the site file
	loadTime    = 3800 * time.Millisecond // of a model from the weight store
)

func model(name string, adapters int) map[string]any {
	return map[string]any{"name": name, "mb": 65100, "load_s": loadTime.Seconds(), "warm_s": 0.4, "disk_s": 0.84, "adapters": adapters, "adapter_mb": 10}
}

func service(name string, mb int, models ...any) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 780, "engine": map[string]any{
		"slots": 64, "kv_tokens": 172336, "mb": mb, lab.FieldAdapterSlots: 8, "loads_per_s": 0.2, "models": models,
	}}
}

func route(name, service string) map[string]any {
	return map[string]any{
		"name": name, "host": lab.RouteHost, lab.FieldPathPrefix: "/" + name + "/", "kind": "stream", "timeout_ms": 12000, lab.FieldTargetLatency: 250,
		lab.FieldGapAim: 300, "priority": 0, "service": service, lab.FieldMaxAttempts: 1, "sticky": true,
	}
}

// config returns a configuration with two services. Two of the four models of the first one fit into its engine.
func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes":  []any{route("chat", "lm"), route("other", "lm-2")},
		"services": []any{
			service("lm", 150000, model("p", 4), model("q", 0), model("m", 0), model("n", 0)), service("lm-2", 75000, model("r", 24)),
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func main() {
	l := lab.New()
	store := platformtest.NewStore()
	store.Put("config", "main", config())
	var mu sync.Mutex
	var troubleFrom time.Time
	adapterOrders, crash := 0, ""
	orders, unanswered := 0, 0 // while orders stay without an answer
	var crashedAt time.Time
	// The engine i-0 leaves loads of models without an answer, and every other order for an adapter.
	isLate := func(engine, op, adapter string) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if troubleFrom.IsZero() || time.Since(troubleFrom) > troubleTime {
			return 0, false
		}
		orders++
		noAnswer := engine == "i-0" && op == "load"
		if noAnswer && adapter != "" {
			adapterOrders++
			noAnswer = adapterOrders%2 == 1
		}
		if noAnswer {
			unanswered++
		}
		return late, noAnswer
	}
	for id, models := range map[string][]string{"i-0": {"p", "q"}, "i-1": {"r"}} {
		serves := "lm"
		if id == "i-1" {
			serves = "lm-2"
		}
		l.NewEngine(id, lab.EngineOptions{
			Service: serves, Slots: 64, Models: models, Fit: len(models), AdapterSlots: 8, LoadTime: loadTime, WarmTime: 840 * time.Millisecond,
			Work: 30 * time.Millisecond, Events: 30, Interval: 40 * time.Millisecond,
			OnRun:    func(a lab.Arrival) { l.Log("%s runs %s", a.Server, a.ID) },
			Late:     func(op, _, adapter string) (time.Duration, bool) { return isLate(id, op, adapter) },
			OnOrder:  func(text string) { l.Log("%s", text) },
			OnChange: func(entry map[string]any) { store.Put("servers", id, entry) },
			OnCrash: func(reason string) {
				mu.Lock()
				defer mu.Unlock()
				crash, crashedAt = reason, time.Now()
				l.Log("%s crashes: %s", id, reason)
			},
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
	cutByCrash := 0
	caller := func(i int, model string, deadline time.Duration, until time.Time) {
		c := lab.NewClient(0)
		for until.IsZero() || time.Now().Before(until) {
			path := "/chat/x"
			if strings.HasPrefix(model, "r/") {
				path = "/other/x"
			}
			a := c.Do(hosts[i%len(hosts)].Front, "POST", path, "prompt", deadline, map[string]string{
				"Model": model, lab.HeaderTokenCount: "826,60", lab.HeaderPromptPrefix: "ab:198," + lab.NextID() + ":628",
			})
			l.Log("%s for %s, sent %.3f s ago, was answered with status %d, complete: %v", a.ID, model, a.EndedAt.Sub(a.SentAt).Seconds(), a.Status, a.Complete)
			mu.Lock()
			if a.Status == 200 && !a.Complete && !crashedAt.IsZero() {
				cutByCrash++
			}
			mu.Unlock()
			i++
			select {
			case <-stop:
				return
			case <-time.After(max(200*time.Millisecond, a.RetryAfter)):
			}
		}
	}
	for i := range 6 {
		wg.Go(func() { caller(i, "p", 5*time.Second, time.Time{}) })
	}
	for i := range 24 { // so that adapters are loaded all the time, and i-1 answers these orders
		wg.Go(func() { caller(i, fmt.Sprint("r/a", i+1), 5*time.Second, time.Time{}) })
	}
	time.Sleep(7 * time.Second)
	begin := time.Now()
	if l.Trouble {
		mu.Lock()
		troubleFrom = begin
		mu.Unlock()
		l.Log("i-0 leaves orders without an answer from now on, for %v, and carries them out %v later", troubleTime, late)
	}
	for i := range 3 {
		wg.Go(func() { caller(i, "m", 1500*time.Millisecond, begin.Add(time.Second)) })
	}
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	wg.Go(func() { caller(1, "p/a1", time.Second, begin.Add(4500*time.Millisecond)) })
	time.Sleep(time.Until(begin.Add(4300 * time.Millisecond)))
	for i := range 3 {
		wg.Go(func() { caller(i, "n", 1500*time.Millisecond, begin.Add(5*time.Second)) })
	}
	time.Sleep(time.Until(begin.Add(13 * time.Second)))
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.Log("%d of %d orders got no answer in these %v", unanswered, orders, troubleTime)
	if float64(unanswered) > mostLate*float64(orders) {
		l.Exit(lab.ExitNotRun, "could not run: %d of %d orders got no answer, more than a share of %v", unanswered, orders, mostLate)
	}
	if crash != "" {
		l.Exit(lab.ExitBroken, "LIMIT: i-0 crashed %.1f s after the first order without an answer, and %d streams were cut: %s", crashedAt.Sub(begin).Seconds(), cutByCrash, crash)
	}
	l.Exit(lab.ExitHeld, "held: no engine was ordered to hold more than fits")
}
