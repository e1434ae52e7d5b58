package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/engine"
)

// maxSnapshots is the number of past states kept for Faults.ReportLag.
const maxSnapshots = 512

// Duration is a time.Duration that is a string such as "250ms" in JSON.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.D().String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return errors.Trace(err)
}

// Faults holds the injected faults. PUT /_faults replaces all of them.
type Faults struct {
	DropOrders        int      `json:"dropOrders"`        // number of next orders that are discarded with their connections
	DelayOrders       int      `json:"delayOrders"`       // number of next orders that are accepted at once but executed after OrderDelay; -1 for all
	OrderDelay        Duration `json:"orderDelay"`        // delay of the orders counted by DelayOrders
	DuplicateOrders   int      `json:"duplicateOrders"`   // number of next orders that arrive again after DuplicateAfter; -1 for all
	DuplicateAfter    Duration `json:"duplicateAfter"`    // delay of the repetition of the orders counted by DuplicateOrders
	ReportLag         Duration `json:"reportLag"`         // age of the state that reports show
	Drain             bool     `json:"drain"`             // reports say that the engine drains
	FailAfterTokens   int      `json:"failAfterTokens"`   // number of tokens after which streams break, 0 for none
	MisdirectEvery    int      `json:"misdirectEvery"`    // every n-th completion request gets the answer to the request before it; 0 for none
	RefuseConnections bool     `json:"refuseConnections"` // requests are not answered and their connections are closed
}

// requestIdentity holds what determines the answer to a completion request, besides the model.
type requestIdentity struct{ id, prompt string }

// snapshot is the state at a time in the past.
type snapshot struct {
	at     time.Time
	report engine.Report
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
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

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.draining = f, f.Drain
	s.recordChange()
}

// handleRestart starts a new incarnation. Delayed and duplicated orders of the previous one are executed in it.
func (s *Server) handleRestart(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.startIncarnation()
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// chooseAnswered returns the request whose answer is sent to request: itself, or the previous one if Faults.MisdirectEvery
// hits it.
func (s *Server) chooseAnswered(request requestIdentity) requestIdentity {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completions++
	previous := s.previousRequest
	s.previousRequest = request
	if n := s.faults.MisdirectEvery; n > 0 && s.completions%n == 0 && previous.id != "" {
		return previous
	}
	return request
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeOrderFaults returns the faults that apply to the next order and decrements their counters. In the result, a delay that
// doesn't apply is 0.
func (s *Server) takeOrderFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if s.faults.DropOrders > 0 {
		s.faults.DropOrders--
		return faults
	}
	if s.faults.DelayOrders == 0 {
		faults.OrderDelay = 0
	} else if s.faults.DelayOrders > 0 {
		s.faults.DelayOrders--
	}
	if s.faults.DuplicateOrders == 0 {
		faults.DuplicateAfter = 0
	} else if s.faults.DuplicateOrders > 0 {
		s.faults.DuplicateOrders--
	}
	return faults
}

// recordChange increments the sequence number after a change of memory or orders, and keeps a snapshot for delayed reports.
// The caller holds s.mu.
func (s *Server) recordChange() {
	s.sequence++
	s.snapshots = append(s.snapshots, snapshot{time.Now(), s.currentReport()})
	if len(s.snapshots) > maxSnapshots {
		s.snapshots = s.snapshots[1:]
	}
}

// laggedReport returns the state as of Faults.ReportLag before now, or the oldest one kept. The caller holds s.mu.
func (s *Server) laggedReport(now time.Time) engine.Report {
	if s.faults.ReportLag <= 0 {
		return s.currentReport()
	}
	i := len(s.snapshots) - 1
	for i > 0 && now.Sub(s.snapshots[i].at) < s.faults.ReportLag.D() {
		i--
	}
	return s.snapshots[i].report
}
