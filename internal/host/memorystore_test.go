package host

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sycamoredeal/internal/objects"
)

// memoryStore keeps objects in memory, and counts the calls of all hosts.
type memoryStore struct {
	Store
	mu       sync.Mutex
	objects  map[string]objects.Object // by kind and name
	events   []objects.Event           // event i has version i+1
	modified chan struct{}             // closed at the next change
	lists    map[string]int            // by kind
	calls    atomic.Int64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]objects.Object), modified: make(chan struct{}), lists: make(map[string]int)}
}

func (s *memoryStore) put(o objects.Object) objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Version = fmt.Sprint(len(s.events) + 1)
	s.objects[o.Kind+"/"+o.Name] = o
	s.events = append(s.events, objects.Event{Type: objects.EventModified, Object: o})
	close(s.modified)
	s.modified = make(chan struct{})
	return o
}

func (s *memoryStore) Create(_ context.Context, o objects.Object) (objects.Object, error) {
	s.calls.Add(1)
	return s.put(o), nil
}

func (s *memoryStore) Update(_ context.Context, o objects.Object) (objects.Object, error) {
	s.calls.Add(1)
	return s.put(o), nil
}

func (s *memoryStore) List(_ context.Context, kind string) (list []objects.Object, version string, err error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists[kind]++
	for _, o := range s.objects {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	return list, fmt.Sprint(len(s.events)), nil
}

func (s *memoryStore) Changes(ctx context.Context, kind, from string, wait time.Duration) ([]objects.Event, string, error) {
	s.calls.Add(1)
	for limit := time.After(wait); ; {
		s.mu.Lock()
		var out []objects.Event
		for _, e := range s.events[parseRevision(from):] {
			if e.Object.Kind == kind {
				out = append(out, e)
			}
		}
		next, modified := fmt.Sprint(len(s.events)), s.modified
		s.mu.Unlock()
		if len(out) > 0 {
			return out, next, nil
		}
		select {
		case <-modified:
		case <-limit:
			return nil, next, nil
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

func (s *memoryStore) Generation() uint64 { return 0 }

func (s *memoryStore) Calls() uint64 { return uint64(s.calls.Load()) }

func (s *memoryStore) Probe(context.Context, string, string) error {
	s.calls.Add(1)
	return nil
}

func (s *memoryStore) CallCounts() map[objects.CallClass]uint64 { return nil }
