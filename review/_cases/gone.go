package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

func init() { cases["gone-server-returns"] = goneServerReturns }

// drainBound is drain_ms of the settings.
const drainBound = 2 * time.Second

// arrivals records the requests that reach servers.
type arrivals struct {
	l    *lab
	mu   sync.Mutex
	sent map[string]sentRequest
	late []string // requests that reached the server later than the bound allows
	gone string   // id of the server that has left
	ack  time.Time
}

type sentRequest struct {
	host string
	at   time.Time
}

func (a *arrivals) RequestArrived(r platformtest.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.l.record.printf("request %s reaches %s, ran %v", r.ID, r.Server, r.Ran)
	if s := a.sent[r.ID]; r.Server == a.gone && !a.ack.IsZero() && r.ArrivedAt.Sub(a.ack) > drainBound {
		a.late = append(a.late, fmt.Sprintf("request %s, sent to %s %d ms after the acknowledgement, reaches %s %d ms after it", r.ID, s.host,
			s.at.Sub(a.ack).Milliseconds(), r.Server, r.ArrivedAt.Sub(a.ack).Milliseconds()))
	}
}

func (a *arrivals) RequestEnded(platformtest.Arrival, bool) {}

func (a *arrivals) OrderReceived(platformtest.ReceivedOrder) {}

// goneServerReturns adds a server and takes it away again while the store turns one host away, the one that follows the
// store for the others. That host is served again 2.3 s after the server's entry was removed. From the removal on, the
// server says in all its answers that it leaves. It serves for two seconds longer than drain_ms, and then exits.
func goneServerReturns(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, 3)
	if err != nil {
		return noResult, err
	}
	defer l.close()
	a := &arrivals{l: l, sent: make(map[string]sentRequest), gone: "server-b"}
	newServer := func(id string) *platformtest.Server {
		return platformtest.NewServer(platformtest.ServerOptions{ID: id, Service: platformtest.PlainService, Slots: 6, WorkTime: 60 * time.Millisecond, Observer: a})
	}
	stays, leaves := newServer("server-a"), newServer("server-b")
	defer stays.Close()
	defer leaves.Close()
	l.store.Put("config", "main", platformtest.Config(1, 2, 0))
	stays.Register(l.store, "ready")
	if err := l.start(); err != nil {
		return noResult, err
	}
	time.Sleep(4 * time.Second) // longer than stable_ms
	follower := l.follower()
	if follower == nil {
		return noResult, errors.New("no single host follows the store")
	}
	l.record.printf("%s follows the store for the others", follower.name)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range l.hosts {
		if h != follower { // that host has no path to the store, so it is not in touch
			for range 4 {
				wg.Go(func() { a.sendRequests(ctx, h) })
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		l.record.printf("the store turns %s away", follower.name)
		follower.path.refused.Store(true)
	}
	time.Sleep(1500 * time.Millisecond)
	leaves.Register(l.store, "ready")
	l.record.printf("entry of server-b is created")
	time.Sleep(2600 * time.Millisecond)
	l.store.Delete("servers", "server-b") // the server goes on serving for drain_ms and longer
	ack := time.Now()
	a.mu.Lock()
	a.ack = ack
	a.mu.Unlock()
	l.record.printf("entry of server-b is removed, acknowledged by the store")
	leaves.SetLeaving(true)
	time.Sleep(2300 * time.Millisecond)
	follower.path.refused.Store(false)
	l.record.printf("the store serves %s", follower.name)
	time.Sleep(time.Until(ack.Add(drainBound + 2*time.Second)))
	l.record.printf("server-b exits")
	leaves.Close()
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, late := range a.late {
		l.record.printf("DRAIN: %s", late)
	}
	fmt.Printf("%d requests reached server-b later than %v after its entry was removed\n", len(a.late), drainBound)
	if len(a.late) > 0 {
		return broken, nil
	}
	return held, nil
}

// follower returns the host that follows the servers in the store, or nil if there is not exactly one.
func (l *lab) follower() *host {
	before := make(map[*host]int64)
	for _, h := range l.hosts {
		before[h] = h.path.watches.Load()
	}
	time.Sleep(3 * time.Second)
	var found *host
	for _, h := range l.hosts {
		if h.path.watches.Load() > before[h] {
			if found != nil {
				return nil
			}
			found = h
		}
	}
	return found
}

// sendRequests sends requests to a host one after the other until ctx ends.
func (a *arrivals) sendRequests(ctx context.Context, h *host) {
	c := platformtest.NewClient(h.front)
	defer c.Close()
	for ctx.Err() == nil {
		id := platformtest.NextID()
		a.mu.Lock()
		a.sent[id] = sentRequest{h.name, time.Now()}
		a.mu.Unlock()
		o := c.DoWithID(ctx, id, platformtest.Call{Path: platformtest.BookingPath + "x", Method: http.MethodPost, Deadline: 4 * time.Second, Body: "{}"})
		a.l.record.printf("request %s to %s: status %d after %d ms", id, h.name, o.Status, o.Duration.Milliseconds())
		time.Sleep(20 * time.Millisecond)
	}
}
