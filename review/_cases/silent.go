package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

func init() { cases["silent-connections"] = silentConnections }

// peerPath is the path to one host for the other hosts. The connections that are open at one moment can be silenced for
// good: their bytes are held, and they are neither closed nor reset. New connections work.
type peerPath struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	open   []*silenceable
}

type silenceable struct {
	mu     sync.Mutex
	silent bool
}

func newPeerPath(target string) (*peerPath, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peerPath{ln: ln, target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *peerPath) serve(c net.Conn) {
	defer c.Close()
	up, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	s := &silenceable{}
	p.mu.Lock()
	p.open = append(p.open, s)
	p.mu.Unlock()
	var wg sync.WaitGroup
	forward := func(to, from net.Conn) {
		buf := make([]byte, 16<<10)
		for {
			n, err := from.Read(buf)
			s.mu.Lock()
			silent := s.silent
			s.mu.Unlock()
			switch {
			case silent && err == nil:
				continue // the bytes get lost
			case silent:
				return // the other side learns nothing of the end
			}
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				if err == io.EOF {
					to.(*net.TCPConn).CloseWrite()
				} else {
					to.Close()
				}
				return
			}
		}
	}
	wg.Go(func() { forward(up, c) })
	wg.Go(func() { forward(c, up) })
	wg.Wait()
}

// silence silences the open connections for good.
func (p *peerPath) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.open {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
	n := len(p.open)
	p.open = nil
	return n
}

// silentConnections has the open connections between the hosts go silent for good, while new ones work. Later a route is
// added, whose requests ask for adapters that are not loaded yet. They are compared with those on the first route.
func silentConnections(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, 6)
	if err != nil {
		return noResult, err
	}
	defer l.close()
	paths := make(map[string]*peerPath)
	for _, h := range l.hosts {
		p, err := newPeerPath(h.control)
		if err != nil {
			return noResult, err
		}
		defer p.ln.Close()
		paths[h.name] = p
	}
	l.store.SetRewrite(func(kind, name string, spec json.RawMessage) json.RawMessage {
		for _, h := range l.hosts {
			if h.name == name && kind == "sycamore-hosts" {
				return json.RawMessage(strings.Replace(string(spec), strconv.Quote(h.control), strconv.Quote(paths[name].ln.Addr().String()), 1))
			}
		}
		return spec
	})
	l.store.Put("config", "main", configWithAdapters(1, false))
	for i := range 3 {
		s := platformtest.NewServer(platformtest.ServerOptions{
			ID: fmt.Sprintf("engine-%d", i+1), Service: platformtest.EngineService, Slots: 16, WorkTime: 20 * time.Millisecond, StreamEvents: 5,
			EventInterval: 10 * time.Millisecond, Models: []string{"m0", "m1"}, MaxModels: 2, AdapterSlots: 3, LoadTime: 300 * time.Millisecond,
			OrderTime: 2 * time.Millisecond, Observer: observer{l},
		})
		defer s.Close()
		s.Register(l.store, "ready")
	}
	if err := l.start(); err != nil {
		return noResult, err
	}
	time.Sleep(4 * time.Second)
	var lease struct {
		Holder string `json:"holder"`
	}
	if !l.store.DecodeSpec("sycamore-leases", "placement", &lease) || lease.Holder == "" {
		return noResult, errors.New("no host gives orders")
	}
	l.record.printf("%s gives the orders to the engines", lease.Holder)
	first := platformtest.Call{Path: platformtest.StreamPath + "x", Method: http.MethodPost, Model: "m0", Deadline: 4 * time.Second, Body: "{}"}
	// send sends a request to a host, for an adapter if its number is not 0, and reports whether it was served.
	send := func(h *host, path, model string, adapter int) bool {
		call := first
		if call.Path, call.Model = path+"x", model; adapter > 0 {
			call.Model = fmt.Sprintf("%s/a%d", model, adapter)
		}
		o := platformtest.Do(context.Background(), h.front, call)
		l.record.printf("request %s for %s on %s to %s: status %d, body complete %v, after %d ms", o.ID, call.Model, call.Path, h.name, o.Status, o.BodyComplete, o.Duration.Milliseconds())
		return o.Status == http.StatusOK && o.BodyComplete
	}
	for i, h := range l.hosts {
		send(h, platformtest.StreamPath, "m0", i+1)
	}
	if trouble {
		n := 0
		for _, p := range paths {
			n += p.silence()
		}
		l.record.printf("%d connections between the hosts go silent", n)
	}
	time.Sleep(8 * time.Second) // longer than stable_ms
	l.store.Put("config", "main", configWithAdapters(5, true))
	l.record.printf("configuration 5 adds a route, acknowledged by the store")
	time.Sleep(4 * time.Second) // longer than apply_ms
	const perHost = 5
	servedFirst, servedNew := 0, 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, h := range l.hosts {
		wg.Go(func() {
			for j := range perHost {
				a, b := send(h, platformtest.StreamPath, "m0", 0), send(h, newRoutePath, "m1", i*perHost+j+1)
				mu.Lock()
				if a {
					servedFirst++
				}
				if b {
					servedNew++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	fmt.Printf("of %d requests each, %d on the first route and %d on the new route were served\n", perHost*len(l.hosts), servedFirst, servedNew)
	if 4*servedNew < servedFirst {
		return broken, nil
	}
	return held, nil
}

// configWithAdapters returns a configuration whose models have 32 adapters each, and with the new route if added is set.
func configWithAdapters(version int, added bool) map[string]any {
	c := platformtest.Config(version, 2, 32)
	if added {
		addRoute(c)
	}
	return c
}
