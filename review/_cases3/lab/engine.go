package lab

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
)

// EngineOptions are the settings of an engine.
type EngineOptions struct {
	Service  string
	Slots    int
	Models   []string      // in memory at the start
	Fit      int           // models that fit into memory together
	LoadTime time.Duration // of weights from the weight store
	WarmTime time.Duration // of weights that the engine has had before
	Work     time.Duration // until the first event
	Events   int
	Interval time.Duration
	OnLoad   func(engine, model string, fromStore bool, holder string, fence uint64) // when a load begins
	OnRun    func(Arrival)
	OnChange func(entry map[string]any) // writes the engine's entry to the platform's store
	// Late tells whether an order gets no answer, and after which time it is carried out. It may be nil.
	Late func(op, model, adapter string) (after time.Duration, late bool)
	// OnOrder is called for each order that is answered or carried out late.
	OnOrder func(text string)
	// OnCrash is called when the engine was ordered to hold more than fits, and has crashed.
	OnCrash      func(reason string)
	AdapterSlots int
}

// Engine is a model server that behaves as the pages say.
type Engine struct {
	ID, Address string
	o           EngineOptions
	born        int64
	http        *http.Server

	mu       sync.Mutex
	models   []string
	had      map[string]bool // models whose weights are on the engine's disk
	sequence int64
	fence    uint64
	busy     bool
	running  int
	byModel  map[string]int
	state    string
	writes   int
	adapters map[string][]string // by model
	crashed  bool
}

// NewEngine starts an engine on a free port and writes its entry.
func (l *Lab) NewEngine(id string, o EngineOptions) *Engine {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	l.Check(err, "engine "+id)
	e := &Engine{ID: id, Address: ln.Addr().String(), o: o, born: time.Now().UnixMilli(), models: slices.Clone(o.Models), had: make(map[string]bool), byModel: make(map[string]int), state: "ready", adapters: make(map[string][]string)}
	for _, m := range o.Models {
		e.had[m] = true
	}
	e.http = &http.Server{Handler: e}
	go func() { _ = e.http.Serve(ln) }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeEntry()
	return e
}

func (e *Engine) residents() []map[string]any {
	out := []map[string]any{}
	for _, m := range e.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, e.adapters[m]...)})
	}
	return out
}

func (e *Engine) atHand() map[string]any {
	held := []string{}
	for m := range e.had {
		held = append(held, m)
	}
	slices.Sort(held)
	return map[string]any{FieldInMemory: []string{}, FieldOnDisk: held}
}

// writeEntry writes the entry. The caller holds the lock.
func (e *Engine) writeEntry() {
	e.writes++
	e.o.OnChange(map[string]any{
		"service": e.o.Service, "address": e.Address, "zone": "z", "version": "v1", "slots": e.o.Slots, "state": e.state, "cold_left_ms": 0,
		"sequence": e.writes, "born": e.born, "stage": "both", "models": e.residents(), FieldAtHand: e.atHand(),
	})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	if want := r.Header.Get(HeaderExpectInstance); want != "" && want != e.ID {
		w.Header().Set(HeaderInstanceID, e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/order":
		e.order(w, r)
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": e.residents(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": e.running,
			"kv_used": 0, "kv_total": 100000, "handles": 0, FieldAtHand: e.atHand(), "coming": []string{}, "born": e.born,
		})
	default:
		e.request(w, r, id)
	}
}

// order is the body of an order.
type order struct {
	Op, Model, Adapter, Holder string
	Expect                     *int64
	Fence                      uint64
}

func (o *order) String() string {
	expect := "none"
	if o.Expect != nil {
		expect = strconv.FormatInt(*o.Expect, 10)
	}
	return fmt.Sprintf("%s %s %s, expect %s, by %s with fencing token %d", o.Op, o.Model, o.Adapter, expect, o.Holder, o.Fence)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.o.Late != nil {
		if after, late := e.o.Late(o.Op, o.Model, o.Adapter); late {
			e.note("%s gets no answer: %s", e.ID, &o)
			time.AfterFunc(after, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.note("%s carries out late: %s: %d", e.ID, &o, e.apply(&o))
			})
			<-r.Context().Done() // until the sender gives up
			panic(http.ErrAbortHandler)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.apply(&o)
	e.note("%s answers %d: %s", e.ID, status, &o)
	w.WriteHeader(status)
}

func (e *Engine) note(format string, args ...any) {
	if e.o.OnOrder != nil {
		e.o.OnOrder(fmt.Sprintf(format, args...))
	}
}

// apply carries out an order and returns the status of its answer. The caller holds the lock.
func (e *Engine) apply(o *order) int {
	resident := slices.Contains(e.models, o.Model)
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy, o.Expect != nil && *o.Expect != e.sequence:
		return http.StatusConflict
	}
	e.fence = o.Fence
	if o.Adapter != "" {
		return e.applyAdapter(o, resident)
	}
	if resident == (o.Op == "load") {
		return http.StatusOK
	}
	e.sequence++
	e.busy = true
	if o.Op == "unload" {
		go e.unload(o.Model)
		return http.StatusAccepted
	}
	if len(e.models)+1 > e.o.Fit {
		e.crash(fmt.Sprintf("it holds %v and was ordered to load %s; %d models fit", e.models, o.Model, e.o.Fit))
		return http.StatusAccepted
	}
	takes := e.o.LoadTime
	if e.had[o.Model] {
		takes = e.o.WarmTime
	}
	if e.o.OnLoad != nil {
		e.o.OnLoad(e.ID, o.Model, !e.had[o.Model], o.Holder, o.Fence)
	}
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models, e.busy, e.had[o.Model] = append(e.models, o.Model), false, true
		e.writeEntry()
	})
	return http.StatusAccepted
}

// applyAdapter carries out an order for an adapter. The caller holds the lock.
func (e *Engine) applyAdapter(o *order, resident bool) int {
	held := e.adapters[o.Model]
	switch {
	case !resident:
		return http.StatusBadRequest
	case slices.Contains(held, o.Adapter) == (o.Op == "load"):
		return http.StatusOK
	}
	e.sequence++
	if o.Op == "unload" {
		e.adapters[o.Model] = slices.DeleteFunc(held, func(a string) bool { return a == o.Adapter })
		return http.StatusOK
	}
	e.adapters[o.Model] = append(held, o.Adapter)
	total := 0
	for _, a := range e.adapters {
		total += len(a)
	}
	if total > e.o.AdapterSlots {
		e.crash(fmt.Sprintf("it was ordered to load adapter %s/%s beyond its %d places", o.Model, o.Adapter, e.o.AdapterSlots))
	}
	return http.StatusAccepted
}

// crash ends the engine: its address refuses connections and all its runs are lost. The caller holds the lock.
func (e *Engine) crash(reason string) {
	if !e.crashed {
		e.crashed = true
		go e.http.Close()
		e.o.OnCrash(reason)
	}
}

// unload waits for the runs of a model and drops it.
func (e *Engine) unload(model string) {
	for {
		e.mu.Lock()
		if e.byModel[model] == 0 {
			e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
			e.busy = false
			e.writeEntry()
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

func (e *Engine) request(w http.ResponseWriter, r *http.Request, id string) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	refuse := func(status int) {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(status)
	}
	e.mu.Lock()
	switch {
	case id == "":
		e.mu.Unlock()
		refuse(http.StatusBadRequest)
		return
	case !slices.Contains(e.models, model) || adapter != "" && !slices.Contains(e.adapters[model], adapter):
		e.mu.Unlock()
		refuse(http.StatusMisdirectedRequest)
		return
	case e.running >= e.o.Slots:
		e.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.byModel[model]++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		e.byModel[model]--
	}()
	if e.o.OnRun != nil {
		e.o.OnRun(Arrival{e.ID, id, time.Now()})
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderSeal, e.ID+"."+id)
	rc := http.NewResponseController(w)
	wait := e.o.Work
	for i := last + 1; i <= e.o.Events; i++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = e.o.Interval
		fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id)
		if rc.Flush() != nil {
			return
		}
	}
}
