package bed

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

// EngineOptions describe a model server.
type EngineOptions struct {
	ID, Service  string
	Slots        int
	MB           float64            // memory for weights and adapters together
	ModelMB      map[string]float64 // sizes of models
	AdapterMB    map[string]float64 // size of an adapter, by model
	AdapterSlots int
	Held         []string // models held at the start
	FirstEvent   time.Duration
	Events       int
	EventGap     time.Duration
	AdapterTime  time.Duration // of a load of an adapter
	ModelTime    time.Duration // of a load of a model
	Heartbeat    time.Duration
}

// Engine is a stand-in of a model server. It checks fences and crashes if it is ordered to load more than it can hold.
type Engine struct {
	o     EngineOptions
	bed   *Bed
	ln    net.Listener
	http  *http.Server
	born  int64
	ended chan struct{}

	mu       sync.Mutex
	running  int
	inUse    map[string]int       // requests by "model/adapter"
	models   map[string][]string  // adapters by model held
	readyAt  map[string]time.Time // of adapters, by "model/adapter"
	leaving  map[string]bool      // adapters that are unloaded when their requests have ended
	sequence int64
	writes   int64
	fence    uint64
	busy     bool
	crash    string
	Runs     map[string]int // by request id
	Orders   int
}

// StartEngine starts a model server and registers it.
func (b *Bed) StartEngine(o EngineOptions) *Engine {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fail("%v", err)
	}
	e := &Engine{o: o, bed: b, ln: ln, born: time.Now().UnixMilli(), ended: make(chan struct{}), inUse: make(map[string]int),
		models: make(map[string][]string), readyAt: make(map[string]time.Time), leaving: make(map[string]bool), Runs: make(map[string]int)}
	for _, m := range o.Held {
		e.models[m] = []string{}
	}
	e.http = &http.Server{Handler: e}
	go e.http.Serve(ln)
	e.register()
	go func() {
		t := time.NewTicker(o.Heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.register()
			case <-e.ended:
				return
			}
		}
	}()
	return e
}

// Crashed returns why the server has crashed, empty if it has not.
func (e *Engine) Crashed() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crash
}

func (e *Engine) register() {
	e.mu.Lock()
	if e.crash != "" {
		e.mu.Unlock()
		return
	}
	e.writes++
	entry := map[string]any{"service": e.o.Service, "address": e.ln.Addr().String(), "zone": "z", "version": "v1", "slots": e.o.Slots, "state": "ready",
		"cold_left_ms": 0, "sequence": e.writes, "born": e.born, "stage": "both", "models": e.residents()}
	e.mu.Unlock()
	e.bed.Store.Put("servers", e.o.ID, entry)
}

func (e *Engine) residents() []map[string]any {
	out := []map[string]any{}
	for m, adapters := range e.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": slices.Clone(adapters)})
	}
	return out
}

// heldMB returns the memory that weights and adapters take, and the number of adapters. The caller holds the lock.
func (e *Engine) heldMB() (mb float64, adapters int) {
	for m, list := range e.models {
		mb += e.o.ModelMB[m] + float64(len(list))*e.o.AdapterMB[m]
		adapters += len(list)
	}
	return mb, adapters
}

// checkMemory crashes the server if it holds more than it can. The caller holds the lock.
func (e *Engine) checkMemory(after string) {
	mb, adapters := e.heldMB()
	if e.crash != "" || mb <= e.o.MB && adapters <= e.o.AdapterSlots {
		return
	}
	e.crash = fmt.Sprintf("%s: ordered to hold %.0f MB of %.0f, %d adapters of %d", after, mb, e.o.MB, adapters, e.o.AdapterSlots)
	e.bed.Logf("server %s crashes: %s, %d requests in progress", e.o.ID, e.crash, e.running)
	close(e.ended)
	go func() {
		e.http.Close()
		time.Sleep(3 * e.o.Heartbeat) // the platform removes the entry after three intervals of silence
		e.bed.Store.Delete("servers", e.o.ID)
	}()
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	if want := r.Header.Get(HeaderExpectInstance); want != "" && want != e.o.ID {
		w.Header().Set(HeaderInstanceID, e.o.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/order":
		e.order(w, r)
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": e.residents(), "busy": e.busy, "sequence": e.sequence, "waiting": 0,
			"running": e.running, "kv_used": 0, "kv_total": 100000, "handles": 0, "born": e.born})
	case "/health":
		w.Header().Set(HeaderInstanceID, e.o.ID)
	default:
		e.request(w, r, id)
	}
}

type order struct {
	Op, Model, Adapter, Holder string
	Expect                     *int64
	Fence                      uint64
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	status := e.apply(&o)
	e.Orders++
	mb, adapters := e.heldMB()
	e.mu.Unlock()
	e.bed.Logf("server %s is ordered by %s: %s %s %s, answer %d; holds %.0f MB of %.0f, %d adapters of %d", e.o.ID, o.Holder, o.Op, o.Model, o.Adapter, status, mb, e.o.MB, adapters, e.o.AdapterSlots)
	w.WriteHeader(status)
}

// apply carries out an order and returns the status of its answer. The caller holds the lock.
func (e *Engine) apply(o *order) int {
	adapters, held := e.models[o.Model]
	key := o.Model + "/" + o.Adapter
	switch {
	case e.crash != "":
		return http.StatusServiceUnavailable
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy || o.Expect != nil && *o.Expect != e.sequence:
		return http.StatusConflict
	}
	e.fence = o.Fence
	switch {
	case o.Adapter == "" && held == (o.Op == "load"):
		return http.StatusOK
	case o.Adapter == "" && o.Op == "load":
		e.sequence++
		e.busy, e.models[o.Model] = true, []string{}
		e.checkMemory("load of " + o.Model)
		time.AfterFunc(e.o.ModelTime, func() {
			e.mu.Lock()
			e.busy = false
			e.mu.Unlock()
			e.register()
		})
		return http.StatusAccepted
	case o.Adapter == "":
		e.sequence++
		delete(e.models, o.Model)
		return http.StatusAccepted
	case !held:
		return http.StatusBadRequest
	case o.Op == "load" && slices.Contains(adapters, o.Adapter):
		return http.StatusOK
	case o.Op == "load":
		e.sequence++
		e.models[o.Model] = append(adapters, o.Adapter)
		e.readyAt[key] = time.Now().Add(e.o.AdapterTime)
		e.checkMemory("load of " + key)
		return http.StatusAccepted
	case !slices.Contains(adapters, o.Adapter):
		return http.StatusOK
	}
	e.sequence++
	if e.inUse[key] > 0 {
		e.leaving[key] = true
		return http.StatusAccepted
	}
	e.drop(o.Model, o.Adapter)
	return http.StatusOK
}

func (e *Engine) drop(model, adapter string) {
	delete(e.leaving, model+"/"+adapter)
	e.models[model] = slices.DeleteFunc(e.models[model], func(a string) bool { return a == adapter })
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request, id string) {
	io.Copy(io.Discard, r.Body)
	name := r.Header.Get("Model")
	model, adapter, _ := strings.Cut(name, "/")
	e.mu.Lock()
	adapters, held := e.models[model]
	switch {
	case !held || adapter != "" && (!slices.Contains(adapters, adapter) || e.leaving[name]):
		e.mu.Unlock()
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.running >= e.o.Slots || adapter != "" && time.Now().Before(e.readyAt[name]):
		e.mu.Unlock()
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.inUse[name]++
	e.Runs[id]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if e.inUse[name]--; e.inUse[name] == 0 && e.leaving[name] {
			e.drop(model, adapter)
		}
	}()
	w.Header().Set(HeaderSeal, e.o.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	gap := e.o.FirstEvent
	for i := last + 1; i <= e.o.Events; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		http.NewResponseController(w).Flush()
		gap = e.o.EventGap
	}
}

// Chat returns a stream request for a model or adapter.
func Chat(model string, deadline time.Duration) platformtest.Call {
	return platformtest.Call{Path: platformtest.StreamPath + "x", Method: http.MethodPost, Model: model, Deadline: deadline, Body: "prompt"}
}
