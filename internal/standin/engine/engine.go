// Package engine is a stand-in for a model engine: it holds models in bounded memory, takes orders, and streams
// deterministic tokens, so that a test can tell whether an answer is whole and belongs to its request.
package engine

import (
	"context"
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

const (
	keptOrders = 64   // ended orders in a report
	keptIDs    = 1024 // order ids that the engine remembers; it executes an order again whose id it has forgotten
)

// Options set the size and speed of an engine.
type Options struct {
	MemoryBytes   int64
	Slots         int
	ChecksFencing bool
	LoadTime      time.Duration // for a model
	AdapterTime   time.Duration // for an adapter
	PrefillTime   time.Duration // for each 1000 prompt tokens
	TokenTime     time.Duration // between tokens of a stream that runs alone
	BatchSlowdown float64       // relative growth of TokenTime from an empty to a full batch
	CacheTokens   int           // prompt tokens in the prefix cache, 0 for none
	Log           func(format string, args ...any)
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	opts  Options
	mux   *http.ServeMux
	queue *queue

	mu          sync.Mutex
	faults      Faults
	life        context.Context // ends with the incarnation
	endLife     context.CancelFunc
	history     []snapshot
	known       map[uint64]bool // order ids
	knownOrder  []uint64
	cache       prefixCache
	incarnation string
	sequence    uint64
	residents   map[string]*engine.Resident
	orders      []engine.OrderResult
	maxFence    uint64
	running     int
	waiting     int
	violations  int
	draining    bool
	stats       Stats
	asked       int
	before      question
}

// Stats are the engine's account of completion requests, at GET /_stats.
type Stats struct {
	Started   int       `json:"started"`   // requests that found their model, since the process started
	LastStart time.Time `json:"lastStart"` // arrival of the latest of them
	Running   int       `json:"running"`   // including those that wait for a slot
	Truncated int       `json:"cut"`       // ended before their last token
}

// New returns an engine without residents.
func New(opts Options) *Server {
	s := &Server{opts: opts, mux: http.NewServeMux(), queue: newQueue(opts.Slots)}
	s.begin()
	if s.opts.Log == nil {
		s.opts.Log = func(string, ...any) {}
	}
	s.mux.HandleFunc("GET /v1/report", s.report)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("POST /v1/chat/completions", s.complete)
	s.mux.HandleFunc("PUT /_faults", s.setFaults)
	s.mux.HandleFunc("GET /_stats", s.getStats)
	s.mux.HandleFunc("POST /_restart", s.restart)
	return s
}

// begin starts an incarnation with empty memory. The caller holds the lock, except in New.
func (s *Server) begin() {
	if s.endLife != nil {
		s.endLife()
	}
	s.life, s.endLife = context.WithCancel(context.Background())
	s.incarnation, s.sequence, s.maxFence = uuid.NewString(), 0, 0
	s.residents, s.known = make(map[string]*engine.Resident), make(map[uint64]bool)
	s.orders, s.knownOrder, s.history = nil, nil, nil
	s.cache = newPrefixCache(s.opts.CacheTokens)
	s.changed()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().RefuseConnections && !strings.HasPrefix(r.URL.Path, "/_") {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Report returns the engine's account of its state, without lag.
func (s *Server) Report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.account()
}

func (s *Server) account() engine.Report {
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

// report answers with a weak entity tag, which stands for the state of memory and orders.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rep := s.lagging(time.Now())
	s.mu.Unlock()
	tag := fmt.Sprintf(`W/"%s-%d"`, rep.Incarnation, rep.Sequence)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, rep)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	st := s.stats
	st.Running = s.running + s.waiting
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, st)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "malformed order: "+err.Error(), http.StatusBadRequest)
		return
	}
	if o.Action != engine.ActionLoad && o.Action != engine.ActionUnload {
		http.Error(w, fmt.Sprintf("unknown action %q", o.Action), http.StatusBadRequest)
		return
	}
	f := s.takeOrderFaults()
	if f.DropOrders > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.DuplicateAfter > 0 {
		time.AfterFunc(f.DuplicateAfter.D(), func() { s.execute(o) })
	}
	if f.OrderDelay > 0 {
		time.AfterFunc(f.OrderDelay.D(), func() { s.execute(o) })
	} else if !s.execute(o) {
		http.Error(w, "stale fencing token", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// execute carries out an order unless its id is known. It returns false for a stale fencing token.
func (s *Server) execute(o engine.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFencing && o.Fence < s.maxFence {
		return false
	}
	s.maxFence = max(s.maxFence, o.Fence)
	if s.known[o.ID] {
		return true
	}
	s.known[o.ID] = true
	if s.knownOrder = append(s.knownOrder, o.ID); len(s.knownOrder) > keptIDs {
		delete(s.known, s.knownOrder[0])
		s.knownOrder = s.knownOrder[1:]
	}
	if o.Action == engine.ActionLoad {
		s.load(o)
	} else {
		delete(s.residents, o.Name)
		s.finish(o.ID, "done", "")
	}
	s.changed()
	return true
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
	life := s.life
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if life.Err() != nil {
			return
		}
		defer s.changed()
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

// CompletionRequest is the part of a chat completion request that the stand-in reads.
type CompletionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
	Priority  int  `json:"priority"`
}

func (c *CompletionRequest) prompt() string {
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
	var c CompletionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(&c); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	res := s.residents[c.Model]
	ready := res != nil && res.State == "ready" && (!res.Adapter || s.residents[res.Base] != nil)
	if ready {
		s.stats.Started++
		s.stats.LastStart = time.Now()
		s.waiting++
	}
	life := s.life
	s.mu.Unlock()
	if !ready {
		http.Error(w, fmt.Sprintf("model %q is not loaded", c.Model), http.StatusNotFound)
		return
	}
	if !s.queue.enter(r.Context(), c.Priority) {
		s.count(-1, 0)
		return
	}
	s.count(-1, 1)
	defer func() {
		s.count(0, -1)
		s.queue.leave()
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	s.generate(w, r.WithContext(ctx), &c)
	if ctx.Err() != nil {
		s.mu.Lock()
		s.stats.Truncated++
		s.mu.Unlock()
	}
	if life.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) count(waiting, running int) {
	s.mu.Lock()
	s.waiting += waiting
	s.running += running
	s.mu.Unlock()
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *CompletionRequest) {
	prompt := c.prompt()
	if c.MaxTokens <= 0 {
		c.MaxTokens = 16
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if !sleep(r, s.opts.PrefillTime*time.Duration(s.uncached(c.Model, prompt))/1000) {
		return
	}
	q := s.misdirect(question{r.Header.Get("X-Request-Id"), prompt})
	prompt = q.prompt
	id := "chatcmpl-" + q.id
	if !c.Stream {
		var text strings.Builder
		for n := 1; n <= c.MaxTokens; n++ {
			if !sleep(r, s.tokenTime()) {
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
	w.Header().Set("X-Request-Id", q.id)
	w.WriteHeader(http.StatusOK)
	f := w.(http.Flusher)
	for n := from + 1; n <= c.MaxTokens; n++ {
		if limit := s.currentFaults().FailAfterTokens; limit > 0 && n > from+limit {
			panic(http.ErrAbortHandler)
		}
		if !sleep(r, s.tokenTime()) {
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
