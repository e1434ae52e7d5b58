// Package service is a stand-in for a plain service: it counts how often each request was executed.
package service

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// ExecutionsPath is the path that returns the number of executions by request id.
const ExecutionsPath = "/_executions"

// Options configures delays and failures that apply to every request.
type Options struct {
	Delay                time.Duration // before execution
	AnswerDelay          time.Duration // between execution and answer
	CloseBeforeExecution bool          // close the connection without executing the request
	CloseAfterExecution  bool          // execute the request, then close the connection without an answer
}

// Faults holds the injected faults, which apply in addition to Options. PUT /_faults replaces all of them.
type Faults struct {
	CloseBeforeProbability float64 `json:"closeBefore"` // probability of Options.CloseBeforeExecution
	CloseAfterProbability  float64 `json:"closeAfter"`  // probability of Options.CloseAfterExecution
	DelayMs                int     `json:"delayMs"`     // before execution
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu         sync.Mutex
	opts       Options
	faults     Faults
	rng        *rand.Rand
	executions map[string]int // number of executions by request id
}

// New returns a service that has executed no request.
func New(opts Options) *Server {
	return &Server{opts: opts, executions: make(map[string]int), rng: rand.New(rand.NewPCG(1, 1))}
}

// SetOptions replaces the options.
func (s *Server) SetOptions(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	w.WriteHeader(http.StatusNoContent)
}

// drawFailure returns the options for one request: those of the service combined with randomly drawn faults.
func (s *Server) drawFailure() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.opts
	o.Delay += time.Duration(s.faults.DelayMs) * time.Millisecond
	o.CloseBeforeExecution = o.CloseBeforeExecution || s.rng.Float64() < s.faults.CloseBeforeProbability
	o.CloseAfterExecution = o.CloseAfterExecution || s.rng.Float64() < s.faults.CloseAfterProbability
	return o
}

// Executions returns how often the request with an id was executed.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ExecutionsPath {
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(s.executions)
		return
	}
	if r.URL.Path == "/_faults" {
		s.handleFaults(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	opts := s.drawFailure()
	time.Sleep(opts.Delay)
	if opts.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.executions[id]++
	s.mu.Unlock()
	time.Sleep(opts.AnswerDelay)
	if opts.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	json.NewEncoder(w).Encode(map[string]any{"request": id, "method": r.Method, "path": r.URL.Path, "bytes": len(body)})
}
