package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Arrival is a request that a server began to run.
type Arrival struct {
	Server, ID string
	At         time.Time
}

// PlainServer is a server of a service without models. It behaves as the pages say: it echoes the id, refuses requests for
// another instance with 421, and seals what it ran.
type PlainServer struct {
	ID, Address string
	Work        time.Duration
	OnRun       func(Arrival)
	born        int64
	http        *http.Server
}

// NewPlainServer starts a server on a free port.
func (l *Lab) NewPlainServer(id string, work time.Duration, onRun func(Arrival)) *PlainServer {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	l.Check(err, "server "+id)
	s := &PlainServer{ID: id, Address: ln.Addr().String(), Work: work, OnRun: onRun, born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return s
}

// Close ends the server: its address refuses connections, and its runs are lost.
func (s *PlainServer) Close() { s.http.Close() }

// Entry returns the server's entry in the platform's store.
func (s *PlainServer) Entry(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": s.Address, "zone": "z", "version": "v1", "slots": 64, "state": state, "cold_left_ms": 0,
		"sequence": 1, "born": s.born,
	}
}

// ServeHTTP implements http.Handler.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderRequestID)
	w.Header().Set(HeaderRequestID, id)
	if want := r.Header.Get(HeaderExpectInstance); want != "" && want != s.ID {
		w.Header().Set(HeaderInstanceID, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.OnRun(Arrival{s.ID, id, time.Now()})
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(HeaderSeal, s.ID+"."+id)
	fmt.Fprintf(w, "answer of %s to %s", s.ID, id)
}
