package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/platform/platformtest"
)

// maxLostShare is the largest share of its requests whose answers a server loses, in the site file.
const maxLostShare = 0.4

func init() { cases["sound-route-blocked"] = soundRouteBlocked }

// losingServer is an engine that, while losing is set, runs requests and loses the answers of some: it resets the
// connection. These are the requests on the new route, a small part of what it runs.
type losingServer struct {
	*platformtest.Server
	l      *lab
	http   *httptest.Server
	losing atomic.Bool
	ran    atomic.Int64 // requests that ran while losing was set
	lost   atomic.Int64 // of these, those whose answer was lost
}

func newLosingServer(l *lab, id string, models ...string) *losingServer {
	s := &losingServer{l: l}
	s.http = httptest.NewServer(s)
	s.Server = platformtest.NewServer(platformtest.ServerOptions{
		ID: id, Service: platformtest.EngineService, Slots: 16, WorkTime: 20 * time.Millisecond, StreamEvents: 5, EventInterval: 10 * time.Millisecond,
		Models: models, MaxModels: 2, AdapterSlots: 3, LoadTime: 300 * time.Millisecond, OrderTime: 2 * time.Millisecond,
		AdvertisedAddress: strings.TrimPrefix(s.http.URL, "http://"), Observer: observer{l},
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *losingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.losing.Load() && r.URL.Path != "/report" && r.URL.Path != "/order" {
		s.ran.Add(1)
		if strings.HasPrefix(r.URL.Path, newRoutePath) {
			s.lost.Add(1)
			s.Server.ServeHTTP(httptest.NewRecorder(), r)
			s.l.record.printf("%s has run request %s, and its answer is lost", s.ID(), r.Header.Get(`Request-Id`))
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
			return
		}
	}
	s.Server.ServeHTTP(w, r)
}

// soundRouteBlocked adds a route. For 4 s, three of five engines lose the answers of a part of the requests that they run,
// among them those on the new route. Requests that are sent after that are compared with those on the first route.
func soundRouteBlocked(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, 2)
	if err != nil {
		return noResult, err
	}
	defer l.close()
	l.store.Put("config", "main", platformtest.Config(1, 3, 0))
	var servers []*losingServer
	for i, models := range [][]string{{"m0", "m1"}, {"m0", "m1"}, {"m0", "m1"}, {"m0", "m2"}, {"m0", "m2"}} {
		s := newLosingServer(l, fmt.Sprintf("engine-%d", i+1), models...)
		defer s.http.Close()
		defer s.Server.Close()
		s.Register(l.store, "ready")
		servers = append(servers, s)
	}
	if err := l.start(); err != nil {
		return noResult, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := platformtest.Call{Path: platformtest.StreamPath + "x", Method: http.MethodPost, Model: "m0", Deadline: 4 * time.Second, Body: "{}", Parts: "a1:60"}
	added := platformtest.Call{Path: newRoutePath + "x", Method: http.MethodPost, Model: "m1", Deadline: 4 * time.Second, Body: "{}", Parts: "b2:60"}
	var wg sync.WaitGroup
	for i := range 8 { // requests on the first route all the time
		wg.Go(func() {
			c := platformtest.NewClient(l.hosts[i%2].front)
			defer c.Close()
			for ctx.Err() == nil {
				c.Do(ctx, first)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	config := platformtest.Config(5, 3, 0)
	addRoute(config)
	l.store.Put("config", "main", config)
	l.record.printf("configuration 5 adds a route, acknowledged by the store")
	time.Sleep(4 * time.Second)
	if trouble {
		l.record.printf("engines 1 to 3 lose answers")
		for _, s := range servers[:3] {
			s.losing.Store(true)
		}
	}
	began := time.Now()
	for i := 0; time.Since(began) < 3800*time.Millisecond; i++ {
		o := platformtest.Do(ctx, l.hosts[i%2].front, added)
		l.record.printf("request %s on the new route: status %d, %d ms", o.ID, o.Status, o.Duration.Milliseconds())
		time.Sleep(250 * time.Millisecond)
	}
	for _, s := range servers[:3] {
		if s.losing.Swap(false) {
			l.record.printf("%s has lost the answers of %d of %d requests", s.ID(), s.lost.Load(), s.ran.Load())
			if float64(s.lost.Load()) > maxLostShare*float64(s.ran.Load()) {
				return noResult, fmt.Errorf("%s lost the answers of more than %v of its requests", s.ID(), maxLostShare)
			}
		}
	}
	time.Sleep(5 * time.Second) // longer than stable_ms
	const requests = 40
	served := make(map[string]int)
	for i := range requests {
		for name, call := range map[string]platformtest.Call{"first": first, "new": added} {
			o := platformtest.Do(ctx, l.hosts[i%2].front, call)
			l.record.printf("request %s on the %s route: status %d, retry after %d ms", o.ID, name, o.Status, o.RetryAfterMs)
			if o.Status == http.StatusOK && o.BodyComplete {
				served[name]++
			}
		}
	}
	cancel()
	wg.Wait()
	fmt.Printf("of %d requests each, %d on the first route and %d on the new route were served\n", requests, served["first"], served["new"])
	if 4*served["new"] < served["first"] {
		return broken, nil
	}
	return held, nil
}
