package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/platform/platformtest"
)

func init() { cases["long-answers-cut"] = longAnswersCut }

// longServer answers lookups with a long body, which it sends at an even pace, and other requests with a short one.
type longServer struct {
	l        *lab
	id       string
	http     *httptest.Server
	sendTime atomic.Int64 // nanoseconds
	mu       sync.Mutex
	runs     map[string]int
}

const (
	longBody   = 2 << 20 // bytes
	longPieces = 32
)

func newLongServer(l *lab, id string, sendTime time.Duration) *longServer {
	s := &longServer{l: l, id: id, runs: make(map[string]int)}
	s.sendTime.Store(int64(sendTime))
	s.http = httptest.NewServer(s)
	return s
}

func (s *longServer) register(state string) {
	s.l.store.Put("servers", s.id, map[string]any{
		"service": platformtest.PlainService, "address": strings.TrimPrefix(s.http.URL, "http://"), "zone": "z", "version": "v1", "slots": 6,
		"state": state, "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (s *longServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get(`Request-Id`)
	w.Header().Set(`Request-Id`, id)
	if want := r.Header.Get(`Expect-Instance`); want != "" && want != s.id {
		w.Header().Set(`Instance-Id`, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.l.record.printf("server %s runs request %s", s.id, id)
	w.Header().Set(`Server-Seal`, s.id+"."+id)
	if !strings.HasPrefix(r.URL.Path, platformtest.LookupPath) {
		io.WriteString(w, "done")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(longBody))
	piece := strings.Repeat("x", longBody/longPieces)
	for i := range longPieces {
		if _, err := io.WriteString(w, piece); err != nil || r.Context().Err() != nil {
			s.l.record.printf("server %s: the sender of request %s has left after %d of %d pieces", s.id, id, i, longPieces)
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(s.sendTime.Load()) / longPieces)
	}
	s.l.record.printf("server %s has sent the whole answer to request %s", s.id, id)
}

// longAnswersCut has seven servers send answers of 2 MB, in 250 ms each. Then one of them turns slow for 6 s and takes four
// times as long.
func longAnswersCut(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, 1)
	if err != nil {
		return noResult, err
	}
	defer l.close()
	l.store.Put("config", "main", configWith(1, map[string]any{"timeout_ms": 4000}))
	var servers []*longServer
	for i := range 7 {
		s := newLongServer(l, fmt.Sprintf("server-%d", i+1), 250*time.Millisecond)
		defer s.http.Close()
		s.register("ready")
		servers = append(servers, s)
	}
	if err := l.start(); err != nil {
		return noResult, err
	}
	time.Sleep(4 * time.Second) // longer than stable_ms
	if trouble {
		servers[0].sendTime.Store(int64(time.Second))
		l.record.printf("%s takes four times as long", servers[0].id)
	}
	end := time.Now().Add(6 * time.Second)
	short := platformtest.Call{Path: platformtest.BookingPath + "x", Method: http.MethodPost, Deadline: 4 * time.Second, Body: "{}"}
	long := platformtest.Call{Path: platformtest.LookupPath + "x", Method: http.MethodGet, Deadline: 4 * time.Second}
	var mu sync.Mutex
	cut, sent := 0, 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for time.Now().Before(end) {
				c := platformtest.NewClient(l.hosts[0].front)
				before := c.Do(context.Background(), short)
				o := c.Do(context.Background(), long) // on the kept connection
				c.Close()
				complete := o.Status == http.StatusOK && o.BodyComplete && len(o.Body) == longBody
				l.record.printf("request %s, after one with status %d on its connection: status %d, %d of %d bytes, complete %v, after %d ms", o.ID, before.Status, o.Status, len(o.Body), longBody, complete, o.Duration.Milliseconds())
				mu.Lock()
				if sent++; !complete {
					cut++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("%d of %d answers of sound servers were cut\n", cut, sent)
	if cut > 3 {
		return broken, nil
	}
	return held, nil
}
