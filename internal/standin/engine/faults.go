package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/engine"
)

// keptSnapshots bounds the past states from which lagging reports are answered.
const keptSnapshots = 512

// Duration is a time.Duration that is written as in "250ms" in JSON.
type Duration time.Duration

// D returns the time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return errors.Trace(err)
}

// Faults are the switches of PUT /_faults. Each request replaces all of them.
type Faults struct {
	DropOrders        int      `json:"dropOrders"`        // the next orders are lost with their connections
	DelayOrders       int      `json:"delayOrders"`       // the next orders are accepted at once and executed after OrderDelay; -1 for all
	OrderDelay        Duration `json:"orderDelay"`        // see DelayOrders
	DuplicateOrders   int      `json:"duplicateOrders"`   // the next orders are executed once more after DuplicateAfter; -1 for all
	DuplicateAfter    Duration `json:"duplicateAfter"`    // see DuplicateOrders
	ReportLag         Duration `json:"reportLag"`         // reports show the state of that long ago
	Drain             bool     `json:"drain"`             // the engine reports that it drains
	FailAfterTokens   int      `json:"failAfterTokens"`   // streams break after that many tokens
	MisdirectEvery    int      `json:"misdirectEvery"`    // of this many requests, one gets the answer to the one before it
	RefuseConnections bool     `json:"refuseConnections"` // connections are closed without an answer
}

// question identifies a request.
type question struct{ id, prompt string }

type snapshot struct {
	at     time.Time
	report engine.Report
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.draining = f, f.Drain
	s.changed()
}

// restart starts a new incarnation. Orders that are delayed or duplicated still arrive there.
func (s *Server) restart(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.begin()
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// misdirect returns the request that a request is answered as: itself, or the one before it.
func (s *Server) misdirect(q question) question {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	before := s.before
	s.before = q
	if n := s.faults.MisdirectEvery; n > 0 && s.asked%n == 0 && before.id != "" {
		return before
	}
	return q
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeOrderFaults returns the faults that hit one order and counts them down. Delays that don't hit it are 0.
func (s *Server) takeOrderFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.faults
	if s.faults.DropOrders > 0 {
		s.faults.DropOrders--
		return out
	}
	if s.faults.DelayOrders == 0 {
		out.OrderDelay = 0
	} else if s.faults.DelayOrders > 0 {
		s.faults.DelayOrders--
	}
	if s.faults.DuplicateOrders == 0 {
		out.DuplicateAfter = 0
	} else if s.faults.DuplicateOrders > 0 {
		s.faults.DuplicateOrders--
	}
	return out
}

// changed counts a change of memory or orders and keeps the state for lagging reports. The caller holds the lock.
func (s *Server) changed() {
	s.sequence++
	s.history = append(s.history, snapshot{time.Now(), s.account()})
	if len(s.history) > keptSnapshots {
		s.history = s.history[1:]
	}
}

// lagging returns the state at ReportLag before now, or the oldest one kept. The caller holds the lock.
func (s *Server) lagging(now time.Time) engine.Report {
	if s.faults.ReportLag <= 0 {
		return s.account()
	}
	i := len(s.history) - 1
	for i > 0 && now.Sub(s.history[i].at) < s.faults.ReportLag.D() {
		i--
	}
	return s.history[i].report
}
