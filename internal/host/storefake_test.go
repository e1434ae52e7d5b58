package host

import (
	"context"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"sycamoredeal/internal/clock"
	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// fakeStore is a store in memory whose calls take no time. It can be used in a synctest bubble.
type fakeStore struct {
	Store
	calls objects.CallCounter

	mu         sync.Mutex
	generation uint64
	revision   uint64
	current    map[string]map[string]objects.Object // by kind and name
	history    []objects.Event
	changed    chan struct{} // closed and replaced at each change
	silent     bool          // no call gets an answer
	failing    error         // of all calls, if not nil
	latency    time.Duration // of all answers
	// loseNextChange makes the answer with the next change of this kind get lost, and the call hang.
	loseNextChange string
}

func newFakeStore() *fakeStore {
	return &fakeStore{generation: 1, revision: 1, current: make(map[string]map[string]objects.Object), changed: make(chan struct{})}
}

func (s *fakeStore) Generation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// restore makes the store go on without the objects of a kind, as if they had been lost, with a revision of before.
func (s *fakeStore) restore(lost string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++
	s.revision, s.history = 1, nil
	for kind, byName := range s.current {
		for name, o := range byName {
			s.revision++
			o.Version = objects.MakeVersion(s.generation, s.revision)
			byName[name] = o
		}
		if kind == lost {
			delete(s.current, kind)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores an object as the platform does.
func (s *fakeStore) put(kind, name, data string) objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := objects.Object{Kind: kind, Name: name, Version: objects.MakeVersion(s.generation, s.revision), Data: []byte(data)}
	if s.current[kind] == nil {
		s.current[kind] = make(map[string]objects.Object)
	}
	s.current[kind][name] = o
	s.history = append(s.history, objects.Event{Type: objects.EventModified, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// delete removes an object as the platform does.
func (s *fakeStore) delete(kind, name string) objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := objects.Object{Kind: kind, Name: name, Version: objects.MakeVersion(s.generation, s.revision)}
	delete(s.current[kind], name)
	s.history = append(s.history, objects.Event{Type: objects.EventDeleted, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// setFailing makes all calls fail with err from now on, or succeed again if it is nil.
func (s *fakeStore) setFailing(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent starts or ends a time without answers, in which waiting calls lose their answers too.
func (s *fakeStore) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call. It returns an error once ctx ends if the call gets no answer.
func (s *fakeStore) begin(ctx context.Context, kind, operation string) error {
	s.calls.Add(ctx, kind, operation)
	s.mu.Lock()
	silent, failing, latency := s.silent, s.failing, s.latency
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if clock.Sleep(ctx, latency); ctx.Err() != nil {
		return objects.ErrUnavailable
	}
	return failing
}

func (s *fakeStore) List(ctx context.Context, kind string) ([]objects.Object, string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.begin(ctx, kind, objects.OpList); err != nil {
		return nil, "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objects.Object
	for _, o := range s.current[kind] {
		out = append(out, o)
	}
	return out, objects.MakeVersion(s.generation, s.revision), nil
}

func (s *fakeStore) Changes(ctx context.Context, kind, version string, wait time.Duration) ([]objects.Event, string, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	if err := s.begin(ctx, kind, objects.OpWatch); err != nil {
		return nil, "", err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		var out []objects.Event
		for _, e := range s.history {
			if e.Object.Kind == kind && isNewer(e.Object.Version, version) {
				out = append(out, e)
			}
		}
		next, changed, lost := objects.MakeVersion(s.generation, s.revision), s.changed, s.silent
		if objects.GenerationOf(version) != s.generation {
			s.mu.Unlock()
			return nil, "", objects.ErrExpired
		}
		if len(out) > 0 && s.loseNextChange == kind {
			s.loseNextChange, lost = "", true
		}
		s.mu.Unlock()
		if lost {
			<-ctx.Done()
			return nil, "", objects.ErrUnavailable
		}
		if len(out) > 0 {
			return out, next, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, "", objects.ErrUnavailable
		}
	}
}

func (s *fakeStore) Probe(ctx context.Context, kind, _ string) error {
	return s.begin(ctx, kind, "probe")
}

func (s *fakeStore) Create(ctx context.Context, o objects.Object) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.begin(ctx, o.Kind, objects.OpCreate); err != nil {
		return objects.Object{}, err
	}
	return s.put(o.Kind, o.Name, string(o.Data)), nil
}

func (s *fakeStore) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.begin(ctx, o.Kind, objects.OpUpdate); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	current, ok := s.current[o.Kind][o.Name]
	s.mu.Unlock()
	switch {
	case !ok:
		return objects.Object{}, objects.ErrNotFound
	case current.Version != o.Version:
		return objects.Object{}, objects.ErrConflict
	}
	return s.put(o.Kind, o.Name, string(o.Data)), nil
}

func (s *fakeStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := s.begin(ctx, kind, objects.OpGet); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.current[kind][name]
	if !ok {
		return o, objects.ErrNotFound
	}
	return o, nil
}

// count returns the number of calls for a kind, or for all kinds if it is empty.
func (s *fakeStore) count(kind string) int {
	n := 0
	for class, c := range s.calls.Counts() {
		if kind == "" || class.Kind == kind {
			n += int(c)
		}
	}
	return n
}

// nullPeer drops all messages.
type nullPeer struct{}

func (nullPeer) Send(wire.Message) error { return nil }
func (nullPeer) Close()                  {}

// configCodec decodes configurations whose data is their version.
type configCodec struct{ entryCodec }

func (configCodec) Config(o objects.Object) (*fleet.Config, bool, error) {
	version, err := strconv.ParseUint(string(o.Data), 10, 64)
	return &fleet.Config{Version: version}, err == nil, err
}

// newFollower returns a host that follows a store, without connections to other hosts. It is its own dispatcher if
// dispatcher is its name.
func newFollower(name, dispatcher string, store Store) *Host {
	h := New(Options{Deployment: fleet.Deployment{Host: name, StopTimeout: time.Second}, Codec: configCodec{}, Store: store,
		Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	h.binder.link = &link{host: fleet.Host{Name: dispatcher}, conn: nullPeer{}}
	h.binder.started = true
	return h
}

// receiveState gives a host the state that its dispatcher broadcasts.
func receiveState(h *Host, state wire.FleetState) {
	h.binder.onMessage(h.binder.link, &state)
}

// awaitConfig waits until a configuration version is in force at a host, and returns the time that it took.
func awaitConfig(t *testing.T, h *Host, version uint64, longest time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		if c := h.directory.view().Config; c != nil && c.Version == version {
			return time.Since(start)
		}
		if time.Since(start) > longest {
			t.Fatalf("configuration %d is not in force after %v", version, longest)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
