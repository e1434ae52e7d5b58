package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"sycamoredeal/platform/platformtest"
)

func init() { cases["stop-cuts-requests"] = stopCutsRequests }

// stopCutsRequests stops a host with SIGTERM. Clients with connections from before send a request each 4.5 s later, which
// the host accepts. The server answers after 2.9 s, inside the clients' deadlines, the route's timeout and grace_s.
func stopCutsRequests(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, 2)
	if err != nil {
		return noResult, err
	}
	defer l.close()
	s := platformtest.NewServer(platformtest.ServerOptions{ID: "server-a", Service: platformtest.PlainService, Slots: 64, WorkTime: 2900 * time.Millisecond, Observer: observer{l}})
	defer s.Close()
	l.store.Put("config", "main", configWith(1, map[string]any{"timeout_ms": 4000}))
	s.Register(l.store, "ready")
	if err := l.start(); err != nil {
		return noResult, err
	}
	time.Sleep(3 * time.Second)
	const clients = 8
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	h := l.hosts[0]
	call := platformtest.Call{Path: platformtest.BookingPath + "x", Method: http.MethodPost, Deadline: 4 * time.Second, Body: "{}"}
	var wg, first sync.WaitGroup
	signal := make(chan struct{})
	var mu sync.Mutex
	lost := 0
	for range clients {
		first.Add(1)
		wg.Go(func() {
			c := platformtest.NewClient(h.front)
			defer c.Close()
			o := c.Do(ctx, call) // opens the connection
			l.record.printf("request %s before the stop: status %d", o.ID, o.Status)
			first.Done()
			<-signal
			time.Sleep(4500 * time.Millisecond)
			id := platformtest.NextID()
			l.record.printf("request %s is sent on the kept connection", id)
			o = c.DoWithID(ctx, id, call)
			l.record.printf("request %s: status %d, body complete %v, after %d ms", id, o.Status, o.BodyComplete, o.Duration.Milliseconds())
			if runs := s.Runs()[id]; runs > 0 && !(o.Status > 0 && o.BodyComplete) {
				mu.Lock()
				defer mu.Unlock()
				lost++
				l.record.printf("LOST: request %s reached the server, and its connection ended without an answer", id)
			}
		})
	}
	first.Wait()
	if trouble {
		l.record.printf("SIGTERM to %s", h.name)
		if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return noResult, err
		}
	}
	stopped := time.Now()
	close(signal)
	wg.Wait()
	if trouble {
		<-h.done
		l.record.printf("%s ended %d ms after the signal", h.name, time.Since(stopped).Milliseconds())
	}
	fmt.Printf("%d of %d requests were passed on and got no answer\n", lost, clients)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
