package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// Faults are the switches of the stand-in. PUT /_faults replaces all of them; GET /_faults returns them.
type Faults struct {
	Outage                bool    `json:"outage"`          // every call is answered with 503, watches end
	DelayMs               int     `json:"delayMs"`         // added to every call
	LostAnswerProbability float64 `json:"loseAnswer"`      // probability that a write's answer is lost after it took effect
	ReadsPerSecond        int     `json:"readsPerSecond"`  // 429 beyond; 0 for no limit; a watch counts as one read
	WritesPerSecond       int     `json:"writesPerSecond"` // 429 beyond; 0 for no limit
	ListLagMs             int     `json:"listLagMs"`       // lists show the state of that long ago
}

// Stats counts the calls since the start, at GET /_stats.
type Stats struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Watches     uint64 `json:"watches"`
	Throttled   uint64 `json:"throttled"`
	LostAnswers uint64 `json:"lostAnswers"`
}

type change struct {
	at time.Time
	event
}

func (s *Server) admin(w http.ResponseWriter, r *http.Request) {
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
		s.advance(time.Now())
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

// inject applies the switches to a call. It returns false if the call is answered.
func (s *Server) inject(w http.ResponseWriter, r *http.Request) (http.ResponseWriter, bool) {
	s.mu.Lock()
	f := s.faults
	write := r.Method != http.MethodGet
	allowed := s.count(r, write, f)
	lose := write && f.LostAnswerProbability > 0 && s.rng.Float64() < f.LostAnswerProbability
	if lose && allowed && !f.Outage {
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
	case lose:
		return lostAnswer{w}, true
	}
	return w, true
}

// count counts a call and tells whether the rate limits allow it. The caller holds the lock.
func (s *Server) count(r *http.Request, write bool, f Faults) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	n, limit := &s.reads, f.ReadsPerSecond
	switch {
	case write:
		n, limit = &s.writes, f.WritesPerSecond
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

// advance lets lists show the changes that are older than the lag. The caller holds the lock.
func (s *Server) advance(now time.Time) {
	limit := now.Add(-time.Duration(s.faults.ListLagMs) * time.Millisecond)
	n := 0
	for ; n < len(s.pending) && !s.pending[n].at.After(limit); n++ {
		o := s.pending[n].Object
		if key := o.Kind + "/" + o.Metadata.Name; s.pending[n].Type == "DELETED" {
			delete(s.lagged, key)
		} else {
			s.lagged[key] = o
		}
	}
	s.pending = append(s.pending[:0], s.pending[n:]...)
}

// lostAnswer breaks the connection instead of answering.
type lostAnswer struct{ http.ResponseWriter }

func (lostAnswer) WriteHeader(int) { panic(http.ErrAbortHandler) }
