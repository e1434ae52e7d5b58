// Package service is a stand-in for a plain service: it records how often each request was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// RecordPath answers a GET with the number of executions of each request id.
const RecordPath = "/_executions"

// Options set how the service fails.
type Options struct {
	Delay       time.Duration // before execution
	AnswerDelay time.Duration // between execution and answer
	CloseBefore bool          // close the connection instead of executing
	CloseAfter  bool          // close the connection instead of answering
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu    sync.Mutex
	opts  Options
	count map[string]int // request id -> executions
}

// New returns a service.
func New(opts Options) *Server {
	return &Server{opts: opts, count: make(map[string]int)}
}

// Set changes how the service fails.
func (s *Server) Set(opts Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = opts
}

// Executions returns how often the request with that id was executed.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == RecordPath {
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(s.count)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	opts := s.opts
	s.mu.Unlock()
	time.Sleep(opts.Delay)
	if opts.CloseBefore {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.count[id]++
	s.mu.Unlock()
	time.Sleep(opts.AnswerDelay)
	if opts.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	json.NewEncoder(w).Encode(map[string]any{"request": id, "method": r.Method, "path": r.URL.Path, "bytes": len(body)})
}
