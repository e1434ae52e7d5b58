// Package service is a stand-in for a plain service: it records how often each request was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const recordPath = "/_executions"

// Server is the stand-in. It is an http.Handler.
type Server struct {
	delay time.Duration
	mu    sync.Mutex
	count map[string]int // request id -> executions
}

// New returns a service that takes delay for each request.
func New(delay time.Duration) *Server {
	return &Server{delay: delay, count: make(map[string]int)}
}

// Executions returns how often the request with that id was executed.
func (s *Server) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[id]
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == recordPath {
		s.mu.Lock()
		defer s.mu.Unlock()
		json.NewEncoder(w).Encode(s.count)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	s.count[id]++
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"request": id, "method": r.Method, "path": r.URL.Path, "bytes": len(body)})
}
