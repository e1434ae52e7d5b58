// Package platform is a stand-in for the platform's object API: an in-memory store with resource versions, conditional
// updates and watches.
package platform

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	apiPrefix         = "/apis/sycamoredeal/v1/"
	maxEvents         = 4096
	maxObjectBytes    = 1 << 20
	watchBufferEvents = 256
)

type metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type object struct {
	Kind     string          `json:"kind"`
	Metadata metadata        `json:"metadata"`
	Data     json.RawMessage `json:"data,omitempty"`
}

type event struct {
	Type    string `json:"type"`
	Object  object `json:"object"`
	version uint64
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu               sync.Mutex
	version          uint64 // resource version of the latest write
	objects          map[string]object
	events           []event                         // latest events, at most maxEvents
	watchers         map[chan event]func(event) bool // filter of each watch
	listed           map[string]object               // objects as lists show them, by kind/name
	unlisted         []pendingChange                 // changes that lists don't show yet, oldest first
	faults           Faults
	stats            Stats
	rng              *rand.Rand
	limitSecond      int64 // Unix time of the second that the next two fields count
	readsThisSecond  int
	writesThisSecond int
}

// New returns an empty store.
func New() *Server {
	return &Server{
		objects: make(map[string]object), watchers: make(map[chan event]func(event) bool),
		listed: make(map[string]object), rng: rand.New(rand.NewPCG(1, 1)),
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/_") {
		s.handleAdmin(w, r)
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, apiPrefix)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	w, ok = s.injectFaults(w, r)
	if !ok {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") == "true":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost && name == "":
		s.store(w, r, kind, "", true)
	case r.Method == http.MethodPut && name != "":
		s.store(w, r, kind, name, false)
	case r.Method == http.MethodDelete && name != "":
		s.remove(w, r, kind, name)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Server) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	s.advanceLists(time.Now())
	for _, o := range s.listed {
		if o.Kind == kind {
			items = append(items, o)
		}
	}
	version := s.version
	if len(s.unlisted) > 0 {
		version = s.unlisted[0].version - 1 // a watch from this version returns the changes that the list lacks
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{
		"metadata": metadata{ResourceVersion: strconv.FormatUint(version, 10)}, "items": items,
	})
}

// store creates an object, or updates it if its resource version is current.
func (s *Server) store(w http.ResponseWriter, r *http.Request, kind, name string, create bool) {
	var o object
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&o); err != nil {
		http.Error(w, "malformed object: "+err.Error(), http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	if name == "" || o.Metadata.Name != name {
		http.Error(w, "metadata.name does not match the path", http.StatusBadRequest)
		return
	}
	o.Kind = kind
	s.mu.Lock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case create && exists:
		s.mu.Unlock()
		http.Error(w, "object exists", http.StatusConflict)
		return
	case !create && !exists:
		s.mu.Unlock()
		http.Error(w, "not found", http.StatusNotFound)
		return
	case !create && old.Metadata.ResourceVersion != o.Metadata.ResourceVersion:
		s.mu.Unlock()
		http.Error(w, "stale resource version", http.StatusConflict)
		return
	}
	typ, status := "MODIFIED", http.StatusOK
	if create {
		typ, status = "ADDED", http.StatusCreated
	}
	o = s.commit(typ, o)
	s.objects[kind+"/"+name] = o
	s.mu.Unlock()
	writeJSON(w, status, o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	if v := r.URL.Query().Get("resourceVersion"); v != "" && v != o.Metadata.ResourceVersion {
		http.Error(w, "stale resource version", http.StatusConflict)
		return
	}
	delete(s.objects, kind+"/"+name)
	s.commit("DELETED", o)
	writeJSON(w, http.StatusOK, map[string]string{"status": "Success"})
}

// commit assigns the next version to o and sends the event to the watchers. The caller holds s.mu.
func (s *Server) commit(typ string, o object) object {
	s.version++
	o.Metadata.ResourceVersion = strconv.FormatUint(s.version, 10)
	e := event{Type: typ, Object: o, version: s.version}
	s.events = append(s.events, e)
	s.unlisted = append(s.unlisted, pendingChange{time.Now(), e})
	if len(s.events) > maxEvents {
		s.events = append([]event(nil), s.events[len(s.events)-maxEvents/2:]...)
	}
	for ch, match := range s.watchers {
		if !match(e) {
			continue
		}
		select {
		case ch <- e:
		default: // the watch of a slow client ends; the client has to list again
			delete(s.watchers, ch)
			close(ch)
		}
	}
	return o
}

// watch sends the events of a kind after a resource version, until its time limit. If events after that version were
// dropped, it answers with 410.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, "resourceVersion: "+err.Error(), http.StatusBadRequest)
		return
	}
	seconds, err := strconv.Atoi(q.Get("timeoutSeconds"))
	if err != nil || seconds <= 0 {
		seconds = 60
	}
	name := strings.TrimPrefix(q.Get("fieldSelector"), "metadata.name=")
	match := func(e event) bool { return e.Object.Kind == kind && (name == "" || e.Object.Metadata.Name == name) }
	ch := make(chan event, watchBufferEvents)
	s.mu.Lock()
	if len(s.events) > 0 && s.events[0].version > from+1 {
		s.mu.Unlock()
		http.Error(w, "resource version too old", http.StatusGone)
		return
	}
	var missed []event
	for _, e := range s.events {
		if e.version > from && match(e) {
			missed = append(missed, e)
		}
	}
	s.watchers[ch] = match
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watchers, ch)
		s.mu.Unlock()
	}()
	s.streamEvents(w, r, missed, ch, time.Duration(seconds)*time.Second)
}

// streamEvents sends the missed events, followed by those from ch until it is closed, the limit has passed or the client is
// gone.
func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, missed []event, ch chan event, limit time.Duration) {
	flusher := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	enc := json.NewEncoder(w)
	for _, e := range missed {
		if enc.Encode(e) != nil {
			return
		}
	}
	flusher.Flush()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case e, ok := <-ch:
			if !ok || enc.Encode(e) != nil {
				return
			}
			flusher.Flush()
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	json.NewEncoder(&b).Encode(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b.Bytes())
}
