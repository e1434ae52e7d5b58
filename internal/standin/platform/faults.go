package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults holds the injected faults. PUT /_faults replaces all of them, GET /_faults returns them.
type Faults struct {
	Outage                bool    `json:"outage"`          // all calls are answered with 503 and watches end
	DelayMs               int     `json:"delayMs"`         // delay before each call
	LostAnswerProbability float64 `json:"loseAnswer"`      // probability that a write takes effect but its connection is closed without an answer
	ReadsPerSecond        int     `json:"readsPerSecond"`  // further reads are answered with 429; 0 for no limit; a watch counts as one read
	WritesPerSecond       int     `json:"writesPerSecond"` // further writes are answered with 429; 0 for no limit
	ListLagMs             int     `json:"listLagMs"`       // age of the state that lists show
}

// Stats counts the calls since the start. GET /_stats returns it.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	Throttled   uint64 `json:"throttled"`
	LostAnswers uint64 `json:"lostAnswers"`
}

// pendingChange is a change that lists don't show yet.
type pendingChange struct {
	at time.Time
	event
}

// handleAdmin serves /_stats and /_faults.
func (s *Server) handleAdmin(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/_stats":
		writeJSON(w, http.StatusOK, s.stats)
	case r.URL.Path == "/_faults" && r.Method == http.MethodPut:
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		s.advanceLists(time.Now())
		s.faults = f
		if f.Outage {
			for ch := range s.watchers {
				delete(s.watchers, ch)
				close(ch)
			}
		}
		writeJSON(w, http.StatusOK, f)
	case r.URL.Path == "/_faults":
		writeJSON(w, http.StatusOK, s.faults)
	default:
		http.NotFound(w, r)
	}
}

// injectFaults applies the faults to a call. It returns false if it has answered the call itself, otherwise the
// ResponseWriter for the answer.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, bool) {
	s.mu.Lock()
	f := s.faults
	write := r.Method != http.MethodGet
	allowed := s.countCall(r, write, f)
	loseAnswer := write && f.LostAnswerProbability > 0 && s.rng.Float64() < f.LostAnswerProbability
	if loseAnswer && allowed && !f.Outage {
		s.stats.LostAnswers++
	}
	s.mu.Unlock()
	if f.DelayMs > 0 {
		time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	}
	switch {
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return w, false
	case !allowed:
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return w, false
	case loseAnswer:
		return abortingWriter{w}, true
	}
	return w, true
}

// countCall counts a call and reports whether the rate limits allow it. The caller holds s.mu.
func (s *Server) countCall(r *http.Request, write bool, f Faults) bool {
	if now := time.Now().Unix(); now != s.limitSecond {
		s.limitSecond, s.readsThisSecond, s.writesThisSecond = now, 0, 0
	}
	n, limit := &s.readsThisSecond, f.ReadsPerSecond
	switch {
	case write:
		n, limit = &s.writesThisSecond, f.WritesPerSecond
		s.stats.Writes++
	case r.URL.Query().Get("watch") == "true":
		s.stats.Watches++
	default:
		s.stats.Reads++
	}
	*n++
	if limit > 0 && *n > limit {
		s.stats.Throttled++
		return false
	}
	return true
}

// advanceLists applies the changes that are at least Faults.ListLagMs old to the objects that lists show. The caller holds
// s.mu.
func (s *Server) advanceLists(now time.Time) {
	limit := now.Add(-time.Duration(s.faults.ListLagMs) * time.Millisecond)
	n := 0
	for ; n < len(s.unlisted) && !s.unlisted[n].at.After(limit); n++ {
		o := s.unlisted[n].Object
		if key := o.Kind + "/" + o.Metadata.Name; s.unlisted[n].Type == "DELETED" {
			delete(s.listed, key)
		} else {
			s.listed[key] = o
		}
	}
	s.unlisted = append(s.unlisted[:0], s.unlisted[n:]...)
}

// abortingWriter closes the connection instead of sending the answer.
type abortingWriter struct{ http.ResponseWriter }

func (abortingWriter) WriteHeader(int) { panic(http.ErrAbortHandler) }
