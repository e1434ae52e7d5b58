package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/engine"
)

// orderGate is the wire to one engine. While it is closed, it keeps the orders of one fencing token and breaks their
// connections, as a network that delivers them late.
type orderGate struct {
	target func() string // address of the engine
	mu     sync.Mutex
	fence  uint64 // orders with this token are kept; 0 for none
	kept   [][]byte
}

func (g *orderGate) keep(fence uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = fence
}

func (g *orderGate) late() [][]byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kept
}

func (g *orderGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/v1/orders" {
		var o engine.Order
		json.Unmarshal(body, &o)
		g.mu.Lock()
		hold := g.fence > 0 && o.Fence == g.fence
		if hold {
			g.kept = append(g.kept, body)
		}
		g.mu.Unlock()
		if hold {
			panic(http.ErrAbortHandler)
		}
	}
	g.forward(w, r, body)
}

func (g *orderGate) forward(w http.ResponseWriter, r *http.Request, body []byte) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+g.target()+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	req.Header = r.Header.Clone()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, resp.Body)
}

// TestOrdersOfPausedHolderArriveLate guards against memory that a new holder gives away although orders that the holder
// before stored and sent are still on their way to the engines, with and without a restart of the engines in between.
func TestOrdersOfPausedHolderArriveLate(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart=", restart), func(t *testing.T) {
			t.Parallel()
			f := startFaultFleet(t, time.Minute, memoryDeclarations(4))
			gates, moved := make([]*orderGate, 4), "endpoints:\n"
			engines := make([]string, 4)
			for i := range gates {
				name := fmt.Sprint("e", i)
				engines[i] = f.engineAddr(name)
				gates[i] = &orderGate{target: func() string { return engines[i] }}
				srv := httptest.NewServer(gates[i])
				t.Cleanup(srv.Close)
				moved += fmt.Sprintf("- {name: %s, address: %q}\n", name, strings.TrimPrefix(srv.URL, "http://"))
			}
			f.edit("20-gates.yaml", moved)
			old := f.holder()
			s, _ := f.status(old)
			for _, g := range gates {
				g.keep(s.Lease.Held)
			}
			// Eight models of 10 GiB fill the four endpoints, so that the next set needs the memory of every one of them.
			f.edit("30-models.yaml", modelSet(1, 10, 10, 10, 10, 10, 10, 10, 10))
			f.within(10*time.Second, "orders of all loads on the wire", func() string {
				n := make(map[uint64]bool)
				for _, g := range gates {
					for _, b := range g.late() {
						var o engine.Order
						json.Unmarshal(b, &o)
						n[o.ID] = true
					}
				}
				if len(n) < faultConcurrent {
					return fmt.Sprint(len(n), " orders")
				}
				return ""
			})
			old.Control.Suspend()
			defer old.Control.Resume()
			begin := time.Now()
			f.within(20*time.Second, "the next holder executes the inherited loads", func() string { return f.unanswered(f.others(old)...) })
			f.edit("30-models.yaml", modelSet(2, 20, 20, 20, 20))
			if restart {
				// The engines forget the orders. What arrives within the bound on late orders must find its memory charged.
				time.Sleep(faultLateBound / 2)
				for _, addr := range engines {
					f.call(http.MethodPost, addr, "/_restart", "")
				}
			} else {
				f.within(memoryRecovery, "the next holder gives the memory to other models", func() string { return f.unanswered(f.others(old)...) })
			}
			late := 0
			for i, g := range gates {
				for _, b := range g.late() {
					late++
					resp, err := http.Post("http://"+engines[i]+"/v1/orders", "application/json", bytes.NewReader(b))
					if err != nil {
						t.Fatal(err)
					}
					resp.Body.Close()
				}
			}
			t.Logf("%d late orders arrive %s after their holder was paused", late, time.Since(begin).Round(time.Millisecond))
			old.Control.Resume()
			f.within(memoryRecovery, "all models answer", func() string { return f.unanswered(f.Hosts...) })
			if v := f.overcommits(); v != "" {
				t.Fatal(v)
			}
		})
	}
}
