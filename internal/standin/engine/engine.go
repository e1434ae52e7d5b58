// Package engine is a stand-in for a model engine: it holds models in bounded memory, takes orders, and streams
// deterministic tokens, so that a test can tell whether an answer is whole and belongs to its request.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"sycamoredeal/internal/engine"
)

const keptOrders = 64

// Options set the size and speed of an engine.
type Options struct {
	MemoryBytes   int64
	Slots         int
	ChecksFencing bool
	LoadTime      time.Duration // for a model
	AdapterTime   time.Duration // for an adapter
	Prefill       time.Duration // for each 1000 prompt tokens
	TokenTime     time.Duration // between tokens of one stream
	Log           func(format string, args ...any)
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	opts  Options
	mux   *http.ServeMux
	slots chan struct{}

	mu          sync.Mutex
	incarnation string
	sequence    uint64
	residents   map[string]*engine.Resident
	orders      []engine.OrderResult
	maxFence    uint64
	running     int
	waiting     int
	violations  int
	draining    bool
}

// New returns an engine without residents.
func New(opts Options) *Server {
	s := &Server{
		opts: opts, mux: http.NewServeMux(), slots: make(chan struct{}, opts.Slots),
		incarnation: uuid.NewString(), residents: make(map[string]*engine.Resident),
	}
	if s.opts.Log == nil {
		s.opts.Log = func(string, ...any) {}
	}
	s.mux.HandleFunc("GET /v1/report", s.report)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Report returns the engine's account of its state.
func (s *Server) Report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := engine.Report{
		Incarnation: s.incarnation, Sequence: s.sequence, MemoryBytes: s.opts.MemoryBytes, Running: s.running,
		Waiting: s.waiting, Draining: s.draining, Orders: append([]engine.OrderResult(nil), s.orders...),
		MaxFence: s.maxFence, Violations: s.violations, Residents: []engine.Resident{},
	}
	for _, m := range s.residents {
		r.Residents = append(r.Residents, *m)
		r.UsedBytes += m.Bytes
	}
	return r
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Report())
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "malformed order: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFencing && o.Fence < s.maxFence {
		http.Error(w, "stale fencing token", http.StatusPreconditionFailed)
		return
	}
	s.maxFence = max(s.maxFence, o.Fence)
	s.sequence++
	switch o.Action {
	case engine.ActionLoad:
		s.load(o)
	case engine.ActionUnload:
		delete(s.residents, o.Name)
		s.finish(o.ID, "done", "")
	default:
		http.Error(w, fmt.Sprintf("unknown action %q", o.Action), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// load starts loading a model. Memory is taken at once. The caller holds the lock.
func (s *Server) load(o engine.Order) {
	if s.residents[o.Name] != nil {
		s.finish(o.ID, "done", "")
		return
	}
	res := &engine.Resident{Name: o.Name, Adapter: o.Adapter, Base: o.Base, Bytes: o.Bytes, State: "loading"}
	s.residents[o.Name] = res
	var used int64
	for _, m := range s.residents {
		used += m.Bytes
	}
	if used > s.opts.MemoryBytes {
		s.violations++
		s.opts.Log("memory overcommitted: %d of %d bytes", used, s.opts.MemoryBytes)
	}
	wait := s.opts.LoadTime
	if o.Adapter {
		wait = s.opts.AdapterTime
	}
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sequence++
		if s.residents[o.Name] == res {
			res.State = "ready"
			s.finish(o.ID, "done", "")
			return
		}
		s.finish(o.ID, "failed", "unloaded while loading")
	})
}

func (s *Server) finish(id uint64, state, msg string) {
	s.orders = append(s.orders, engine.OrderResult{ID: id, State: state, Error: msg})
	if len(s.orders) > keptOrders {
		s.orders = s.orders[len(s.orders)-keptOrders:]
	}
}

// Completion is the part of a chat completion request that the stand-in reads.
type Completion struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
}

func (c *Completion) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns token n, counted from 1, of the answer of a model to a prompt.
func Token(model, prompt string, n int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), n)
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var c Completion
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(&c); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	res := s.residents[c.Model]
	ready := res != nil && res.State == "ready" && (!res.Adapter || s.residents[res.Base] != nil)
	if ready {
		s.waiting++
	}
	s.mu.Unlock()
	if !ready {
		http.Error(w, fmt.Sprintf("model %q is not loaded", c.Model), http.StatusNotFound)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		s.count(-1, 0)
		return
	}
	s.count(-1, 1)
	defer func() {
		s.count(0, -1)
		<-s.slots
	}()
	s.generate(w, r, &c)
}

func (s *Server) count(waiting, running int) {
	s.mu.Lock()
	s.waiting += waiting
	s.running += running
	s.mu.Unlock()
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *Completion) {
	prompt := c.prompt()
	if c.MaxTokens <= 0 {
		c.MaxTokens = 16
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if !sleep(r, s.opts.Prefill*time.Duration(len(prompt)/4)/1000) {
		return
	}
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	if !c.Stream {
		var text strings.Builder
		for n := 1; n <= c.MaxTokens; n++ {
			if !sleep(r, s.opts.TokenTime) {
				return
			}
			text.WriteString(Token(c.Model, prompt, n))
		}
		writeJSON(w, http.StatusOK, map[string]any{
			"id": id, "object": "chat.completion", "model": c.Model,
			"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text.String()}}},
			"usage":   map[string]int{"prompt_tokens": len(prompt) / 4, "completion_tokens": c.MaxTokens, "total_tokens": len(prompt)/4 + c.MaxTokens},
		})
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.WriteHeader(http.StatusOK)
	f := w.(http.Flusher)
	for n := from + 1; n <= c.MaxTokens; n++ {
		if !sleep(r, s.opts.TokenTime) {
			return
		}
		writeEvent(w, n, id, c.Model, map[string]string{"content": Token(c.Model, prompt, n)}, nil)
		f.Flush()
	}
	writeEvent(w, c.MaxTokens+1, id, c.Model, map[string]string{}, "stop")
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, n int, id, model string, delta map[string]string, finish any) {
	b, _ := json.Marshal(map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b)
}

func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}
