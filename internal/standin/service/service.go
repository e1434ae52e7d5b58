// Package service is a stand-in for a plain service: it records how often each request was executed.
package service

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// ExecutionsPath answers a GET with the number of executions of each request id.
const ExecutionsPath = "/_executions"

// Options set how the service fails.
type Options struct {
	Delay                time.Duration // before execution
	AnswerDelay          time.Duration // between execution and answer
	CloseBeforeExecution bool          // close the connection instead of executing
	CloseAfterExecution  bool          // close the connection instead of answering
}

// Faults are the switches of PUT /_faults. Each request replaces all of them; they add to the options.
type Faults struct {
	CloseBeforeProbability float64 `json:"closeBefore"` // probability that a connection is closed instead of executing
	CloseAfterProbability  float64 `json:"closeAfter"`  // probability that a connection is closed instead of answering
	DelayMs                int     `json:"delayMs"`     // before execution
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu    sync.Mutex
	opts  Options
	f     Faults
	rng   *rand.Rand
	count map[string]int // request id -> executions
}

// New returns a service.
func New(opts Options) *Server {
	return &Server{opts: opts, count: make(map[string]int), rng: rand.New(rand.NewPCG(1, 1))}
}

// SetOptions changes how the service fails.
func (s *Server) SetOptions(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
	w.WriteHeader(http.StatusNoContent)
}

// draw returns how one request fails.
func (s *Server) draw() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.opts
	o.Delay += time.Duration(s.f.DelayMs) * time.Millisecond
	o.CloseBeforeExecution = o.CloseBeforeExecution || s.rng.Float64() < s.f.CloseBeforeProbability
	o.CloseAfterExecution = o.CloseAfterExecution || s.rng.Float64() < s.f.CloseAfterProbability
	return o
}

// Executions returns how often the request with that id was executed.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ExecutionsPath {
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(s.count)
		return
	}
	if r.URL.Path == "/_faults" {
		s.setFaults(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	opts := s.draw()
	time.Sleep(opts.Delay)
	if opts.CloseBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.count[id]++
	s.mu.Unlock()
	time.Sleep(opts.AnswerDelay)
	if opts.CloseAfterExecution {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	json.NewEncoder(w).Encode(map[string]any{"request": id, "method": r.Method, "path": r.URL.Path, "bytes": len(body)})
}
