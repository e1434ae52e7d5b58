// Command descriptors loses all machines but two for some time, so that the clients' connections use up the descriptors of one of
// these, and checks that a route that is added after the machines are back is served.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases2/bed"
)

const (
	machines   = 13
	perSec     = 124              // the sheet's traffic
	busyShare  = 62               // of 100 clients are at one of the two machines: the platform's shares are uneven
	idleLimit  = 75 * time.Second // idle_timeout_ms; clients keep a connection for four fifths of it
	maxFDs     = 2870             // of the settings
	ownFDs     = 8000             // for the clients' ends of the connections
	lostFor    = 48 * time.Second
	adapters   = 20 // of each of the four models; each is asked for once on the added route
	addedPath  = "/added/"
	perMachine = 5 // requests on each of the two routes
)

func config(version int) map[string]any {
	c := platformtest.Config(version, 4, adapters)
	c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": idleLimit.Milliseconds()}
	if version > 1 {
		c["routes"] = append(c["routes"].([]any), map[string]any{"name": "added", "host": platformtest.Host, bed.FieldPathPrefix: addedPath, "kind": "stream", "timeout_ms": 8000,
			bed.FieldTargetLatency: 300, "priority": 0, "service": platformtest.EngineService, bed.FieldMaxAttempts: 1, bed.FieldGapAim: 300})
	}
	return c
}

// users open a connection for each request and keep it for later ones.
type users struct {
	mu     sync.Mutex
	conns  []net.Conn
	served int
	failed int
}

func (u *users) request(address string) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err == nil {
		c.SetDeadline(time.Now().Add(4 * time.Second))
		fmt.Fprintf(c, "GET /lookup/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", platformtest.Host, platformtest.NextID())
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.failed++
		if c != nil {
			c.Close()
		}
		return
	}
	u.served++
	c.SetDeadline(time.Time{})
	u.conns = append(u.conns, c)
	time.AfterFunc(idleLimit*4/5, func() { c.Close() })
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	b := bed.New(os.Args[1])
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil || own.Cur < ownFDs {
		b.Fail("the stand-ins need %d descriptors, the limit is %d", ownFDs, own.Cur)
	}
	b.Store.Put("config", "main", config(1))
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
	plain := platformtest.NewServer(platformtest.ServerOptions{ID: "i-p0", Service: platformtest.PlainService, Slots: 64, WorkTime: 10 * time.Millisecond})
	plain.Register(b.Store, "ready")
	var hosts []*bed.Host
	run := func(h *bed.Host) {
		b.Run(h)
		if err := unix.Prlimit(b.PID(h), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFDs, Max: maxFDs}, nil); err != nil {
			b.Fail("limit of descriptors: %v", err)
		}
	}
	for i := range machines {
		h := b.NewHost(fmt.Sprint("front-", i+1), hosts...)
		hosts = append(hosts, h)
		run(h)
		b.WaitFor("registration", func() bool { return b.Registered(h) })
	}
	b.WaitReady(hosts...)
	b.WaitFor("holder", func() bool { return b.Holder() != "" })
	time.Sleep(time.Second)

	// The two that stay are the one that registered first and the holder of the placement lease.
	kept := []*bed.Host{hosts[0]}
	for _, h := range hosts[1:] {
		if h.Name == b.Holder() || b.Holder() == hosts[0].Name && len(kept) < 2 {
			kept = append(kept, h)
		}
	}
	target := func(n int) *bed.Host { return hosts[n%machines] }
	if trouble {
		target = func(n int) *bed.Host {
			if n*37%100 < busyShare {
				return kept[0]
			}
			return kept[1]
		}
		for _, h := range hosts {
			if !slices.Contains(kept, h) {
				b.Kill(h)
			}
		}
		b.Logf("%d of %d machines are lost; holder %s", machines-len(kept), machines, b.Holder())
	}
	u := &users{}
	begin := time.Now()
	n := 0
	for ; time.Since(begin) < lostFor; n++ {
		go u.request(target(n).Front())
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * time.Second / perSec)))
	}
	u.mu.Lock()
	b.Logf("%d requests, %d answered, %d failed; %d connections were kept", n, u.served, u.failed, len(u.conns))
	u.mu.Unlock()
	if trouble {
		for _, h := range hosts {
			if !slices.Contains(kept, h) {
				run(h)
			}
		}
		b.Logf("the machines are back")
	}
	time.Sleep(4 * time.Second)
	u.mu.Lock()
	for _, c := range u.conns {
		c.Close()
	}
	u.mu.Unlock()
	b.Logf("the users have left")
	b.WaitReady(hosts...)
	time.Sleep(6 * time.Second) // twice stable_ms
	b.Store.Put("config", "main", config(2))
	b.Logf("configuration 2 is acknowledged: it adds a route; holder %s", b.Holder())
	time.Sleep(3 * time.Second) // more than apply_ms

	served := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range machines * perMachine {
		for _, path := range []string{platformtest.StreamPath, addedPath} {
			wg.Go(func() {
				model := fmt.Sprint("m", i%4)
				if path == addedPath {
					model += fmt.Sprintf("/a%d", i/4%adapters+1)
				}
				h, id := hosts[i%machines], platformtest.NextID()
				b.Logf("request %s on %s for %s sent to %s", id, path, model, h.Name)
				c := platformtest.NewClient(h.Front())
				defer c.Close()
				call := bed.Chat(model, 6*time.Second)
				call.Path = path + "x"
				o := c.DoWithID(context.Background(), id, call)
				b.Logf("request %s answered: status %d, whole %v, after %d ms", id, o.Status, o.BodyComplete, o.Duration.Milliseconds())
				mu.Lock()
				defer mu.Unlock()
				if o.Status == http.StatusOK && o.BodyComplete {
					served[path]++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	first, added, all := served[platformtest.StreamPath], served[addedPath], machines*perMachine
	fmt.Printf("%d of %d served on the first route, %d of %d on the added one\n", first, all, added, all)
	b.Logf("%d of %d served on the first route, %d of %d on the added one", first, all, added, all)
	switch {
	case first < all/2:
		b.Fail("the first route is not served")
	case 4*added < first:
		fmt.Println("CONFIG is broken")
		b.Exit(bed.Broken)
	}
	b.Exit(bed.Held)
}
