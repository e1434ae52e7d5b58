// Package engine is a stand-in for a model engine: it holds models in bounded memory, executes orders, and streams
// deterministic tokens, so that a test can check whether an answer is complete and belongs to its request.
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
	maxReportedOrders = 64   // ended orders that a report lists
	maxSeenOrders     = 1024 // order ids kept to detect repeated orders; an order whose id was dropped is executed again
)

// Options configures the size and speed of an engine.
type Options struct {
	MemoryBytes   int64
	Slots         int
	ChecksFencing bool          // reject orders with a stale fencing token
	LoadTime      time.Duration // time to load a model
	AdapterTime   time.Duration // time to load an adapter
	PrefillTime   time.Duration // time per 1000 prompt tokens that are not cached
	TokenTime     time.Duration // time per token of a request that runs alone
	BatchSlowdown float64       // relative growth of TokenTime from an empty to a full batch
	CacheTokens   int           // size of the prefix cache in prompt tokens, 0 for no cache
	Log           func(format string, args ...any)
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	opts  Options
	mux   *http.ServeMux
	queue *queue

	mu              sync.Mutex
	faults          Faults
	incarnationCtx  context.Context // cancelled when the incarnation ends
	endIncarnation  context.CancelFunc
	snapshots       []snapshot      // past states, oldest first
	seenOrders      map[uint64]bool // ids of orders of this incarnation, at most maxSeenOrders
	seenOrderIDs    []uint64        // keys of seenOrders, oldest first
	cache           prefixCache
	incarnation     string
	sequence        uint64 // number of changes in this incarnation
	residents       map[string]*engine.Resident
	orders          []engine.OrderResult
	maxFence        uint64 // highest fencing token in this incarnation
	running         int    // requests that have a slot
	waiting         int    // requests that wait for a slot
	violations      int    // number of loads beyond MemoryBytes
	draining        bool
	stats           Stats
	completions     int // number of requests in chooseAnswered
	previousRequest requestIdentity
}

// Stats counts completion requests. GET /_stats returns it.
type Stats struct {
	Started   int       `json:"started"`   // requests whose model was loaded, since the process started
	LastStart time.Time `json:"lastStart"` // time of the latest request counted in Started
	Running   int       `json:"running"`   // requests in progress, including those that wait for a slot
	Truncated int       `json:"cut"`       // requests that were cancelled before their last token
}

// New returns an engine with empty memory.
func New(opts Options) *Server {
	s := &Server{opts: opts, mux: http.NewServeMux(), queue: newQueue(opts.Slots)}
	s.startIncarnation()
	if s.opts.Log == nil {
		s.opts.Log = func(string, ...any) {}
	}
	s.mux.HandleFunc("GET /v1/report", s.handleReport)
	s.mux.HandleFunc("POST /v1/orders", s.handleOrder)
	s.mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	s.mux.HandleFunc("PUT /_faults", s.handleFaults)
	s.mux.HandleFunc("GET /_stats", s.handleStats)
	s.mux.HandleFunc("POST /_restart", s.handleRestart)
	return s
}

// startIncarnation ends the current incarnation, which breaks its streams, and starts one with empty memory. Except in New,
// the caller holds s.mu.
func (s *Server) startIncarnation() {
	if s.endIncarnation != nil {
		s.endIncarnation()
	}
	s.incarnationCtx, s.endIncarnation = context.WithCancel(context.Background())
	s.incarnation, s.sequence, s.maxFence = uuid.NewString(), 0, 0
	s.residents, s.seenOrders = make(map[string]*engine.Resident), make(map[uint64]bool)
	s.orders, s.seenOrderIDs, s.snapshots = nil, nil, nil
	s.cache = newPrefixCache(s.opts.CacheTokens)
	s.recordChange()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().RefuseConnections && !strings.HasPrefix(r.URL.Path, "/_") {
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// Report returns the current state, regardless of Faults.ReportLag.
func (s *Server) Report() engine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentReport()
}

// currentReport returns the current state. The caller holds s.mu.
func (s *Server) currentReport() engine.Report {
	rep := engine.Report{
		Incarnation: s.incarnation, Sequence: s.sequence, MemoryBytes: s.opts.MemoryBytes, Running: s.running,
		Waiting: s.waiting, Draining: s.draining, Orders: append([]engine.OrderResult(nil), s.orders...),
		MaxFence: s.maxFence, Violations: s.violations, Residents: []engine.Resident{},
	}
	for _, m := range s.residents {
		rep.Residents = append(rep.Residents, *m)
		rep.UsedBytes += m.Bytes
	}
	return rep
}

// handleReport serves the report, or 304 if the client has it. The weak entity tag identifies the state of memory and orders
// but not the numbers of requests, which are in headers.
func (s *Server) handleReport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	rep := s.laggedReport(time.Now())
	s.mu.Unlock()
	tag := fmt.Sprintf(`W/"%s-%d"`, rep.Incarnation, rep.Sequence)
	w.Header().Set("ETag", tag)
	w.Header().Set(engine.HeaderRunning, strconv.Itoa(rep.Running))
	w.Header().Set(engine.HeaderWaiting, strconv.Itoa(rep.Waiting))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, rep)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	stats.Running = s.running + s.waiting
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, stats)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&o); err != nil {
		http.Error(w, "malformed order: "+err.Error(), http.StatusBadRequest)
		return
	}
	if o.Action != engine.ActionLoad && o.Action != engine.ActionUnload {
		http.Error(w, fmt.Sprintf("unknown action %q", o.Action), http.StatusBadRequest)
		return
	}
	faults := s.takeOrderFaults()
	if faults.DropOrders > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.DuplicateAfter > 0 {
		time.AfterFunc(faults.DuplicateAfter.D(), func() { s.executeOrder(o) })
	}
	if faults.OrderDelay > 0 {
		time.AfterFunc(faults.OrderDelay.D(), func() { s.executeOrder(o) })
	} else if !s.executeOrder(o) {
		http.Error(w, "stale fencing token", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// executeOrder executes an order unless it has seen its id. It returns false if the fencing token is stale.
func (s *Server) executeOrder(o engine.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFencing && o.Fence < s.maxFence {
		return false
	}
	s.maxFence = max(s.maxFence, o.Fence)
	if s.seenOrders[o.ID] {
		return true
	}
	s.seenOrders[o.ID] = true
	if s.seenOrderIDs = append(s.seenOrderIDs, o.ID); len(s.seenOrderIDs) > maxSeenOrders {
		delete(s.seenOrders, s.seenOrderIDs[0])
		s.seenOrderIDs = s.seenOrderIDs[1:]
	}
	if o.Action == engine.ActionLoad {
		s.startLoad(o)
	} else {
		delete(s.residents, o.Name)
		s.recordResult(o.ID, "done", "")
	}
	s.recordChange()
	return true
}

// startLoad starts loading a model or adapter. It occupies its memory at once. The caller holds s.mu.
func (s *Server) startLoad(o engine.Order) {
	if s.residents[o.Name] != nil {
		s.recordResult(o.ID, "done", "")
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
	loadTime := s.opts.LoadTime
	if o.Adapter {
		loadTime = s.opts.AdapterTime
	}
	incarnationCtx := s.incarnationCtx
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if incarnationCtx.Err() != nil {
			return
		}
		defer s.recordChange()
		if s.residents[o.Name] == res {
			res.State = "ready"
			s.recordResult(o.ID, "done", "")
			return
		}
		s.recordResult(o.ID, "failed", "unloaded while loading")
	})
}

// recordResult adds the result of an order to the reports. The caller holds s.mu.
func (s *Server) recordResult(id uint64, state, msg string) {
	s.orders = append(s.orders, engine.OrderResult{ID: id, State: state, Error: msg})
	if len(s.orders) > maxReportedOrders {
		s.orders = s.orders[len(s.orders)-maxReportedOrders:]
	}
}

// CompletionRequest holds the members of a chat completion request that the stand-in reads.
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

// prompt returns the JSON of the content of each message, each followed by a newline.
func (c *CompletionRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token returns token n of the answer of a model to a prompt. The first token is 1.
func Token(model, prompt string, n int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), n)
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
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
	incarnationCtx := s.incarnationCtx
	s.mu.Unlock()
	if !ready {
		http.Error(w, fmt.Sprintf("model %q is not loaded", c.Model), http.StatusNotFound)
		return
	}
	if !s.queue.acquire(r.Context(), c.Priority) {
		s.addRequests(-1, 0)
		return
	}
	s.addRequests(-1, 1)
	defer func() {
		s.addRequests(0, -1)
		s.queue.release()
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(incarnationCtx, cancel)()
	s.generate(w, r.WithContext(ctx), &c)
	if ctx.Err() != nil {
		s.mu.Lock()
		s.stats.Truncated++
		s.mu.Unlock()
	}
	if incarnationCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// addRequests changes the numbers of waiting and running requests.
func (s *Server) addRequests(waiting, running int) {
	s.mu.Lock()
	s.waiting += waiting
	s.running += running
	s.mu.Unlock()
}

// generate writes the answer to a completion request. A stream with the header Last-Event-ID resumes after that token.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, c *CompletionRequest) {
	prompt := c.prompt()
	if c.MaxTokens <= 0 {
		c.MaxTokens = 16
	}
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if !sleepUnlessDone(r, s.opts.PrefillTime*time.Duration(s.cachePrompt(c.Model, prompt))/1000) {
		return
	}
	answered := s.chooseAnswered(requestIdentity{r.Header.Get("X-Request-Id"), prompt})
	prompt = answered.prompt
	id := "chatcmpl-" + answered.id
	if !c.Stream {
		var text strings.Builder
		for n := 1; n <= c.MaxTokens; n++ {
			if !sleepUnlessDone(r, s.tokenTime()) {
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
	w.Header().Set("X-Request-Id", answered.id)
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	for n := resumeAfter + 1; n <= c.MaxTokens; n++ {
		if limit := s.currentFaults().FailAfterTokens; limit > 0 && n > resumeAfter+limit {
			panic(http.ErrAbortHandler)
		}
		if !sleepUnlessDone(r, s.tokenTime()) {
			return
		}
		writeEvent(w, n, id, c.Model, map[string]string{"content": Token(c.Model, prompt, n)}, nil)
		flusher.Flush()
	}
	writeEvent(w, c.MaxTokens+1, id, c.Model, map[string]string{}, "stop")
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeEvent writes a chat completion chunk as the server-sent event with id n.
func writeEvent(w http.ResponseWriter, n int, id, model string, delta map[string]string, finish any) {
	b, _ := json.Marshal(map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": delta, "finish_reason": finish}},
	})
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, b)
}

// sleepUnlessDone waits for d. It returns false if the request is cancelled first.
func sleepUnlessDone(r *http.Request, d time.Duration) bool {
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
