package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"sycamoredeal/internal/wire"
)

// Snapshot is one configuration revision, indexed for reading. It is immutable.
type Snapshot struct {
	Revision uint64
	Declarations
	Warnings  Findings
	ranks     map[string]*Rank
	callers   map[string]*Caller
	byKey     map[string]*Caller
	models    map[string]*Model
	adapters  map[string]*Adapter
	endpoints map[string]*Endpoint
	services  map[string]*Service
}

// Digest returns the hex SHA-256 of a file's content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Build merges files in the order of their names into a snapshot. The error of a refused configuration is Findings with
// all errors; warnings are kept in the snapshot.
func Build(revision uint64, files []wire.File) (*Snapshot, error) {
	all, findings := Check(files)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	s := NewSnapshot(revision, all)
	s.Warnings = findings
	return s, nil
}

// NewSnapshot indexes declarations.
func NewSnapshot(revision uint64, d Declarations) *Snapshot {
	sort.SliceStable(d.Ranks, func(i, j int) bool { return d.Ranks[i].Order < d.Ranks[j].Order })
	s := &Snapshot{Revision: revision, Declarations: d, byKey: make(map[string]*Caller)}
	s.ranks = index(s.Ranks, func(v *Rank) string { return v.Name })
	s.callers = index(s.Callers, func(v *Caller) string { return v.Name })
	s.models = index(s.Models, func(v *Model) string { return v.Name })
	s.adapters = index(s.Adapters, func(v *Adapter) string { return v.Name })
	s.endpoints = index(s.Endpoints, func(v *Endpoint) string { return v.Name })
	s.services = index(s.Services, func(v *Service) string { return v.Name })
	for i := range s.Callers {
		for _, h := range s.Callers[i].KeyHashes {
			s.byKey[h] = &s.Callers[i]
		}
	}
	return s
}

func index[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

// Rank returns the rank of that name, or nil.
func (s *Snapshot) Rank(name string) *Rank { return s.ranks[name] }

// Caller returns the caller of that name, or nil.
func (s *Snapshot) Caller(name string) *Caller { return s.callers[name] }

// CallerByKey returns the caller that an API key belongs to, or nil.
func (s *Snapshot) CallerByKey(key string) *Caller { return s.byKey[Digest([]byte(key))] }

// Model returns the model of that name, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Adapter returns the adapter of that name, or nil.
func (s *Snapshot) Adapter(name string) *Adapter { return s.adapters[name] }

// Endpoint returns the endpoint of that name, or nil.
func (s *Snapshot) Endpoint(name string) *Endpoint { return s.endpoints[name] }

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Serves tells whether a name is a declared model or adapter.
func (s *Snapshot) Serves(name string) bool { return s.models[name] != nil || s.adapters[name] != nil }

// WithEndpoints returns a snapshot with only those endpoints for which keep is true. It is for the planner of a cell.
func (s *Snapshot) WithEndpoints(keep func(*Endpoint) bool) *Snapshot {
	out := *s
	out.Endpoints = nil
	for i := range s.Endpoints {
		if keep(&s.Endpoints[i]) {
			out.Endpoints = append(out.Endpoints, s.Endpoints[i])
		}
	}
	out.endpoints = index(out.Endpoints, func(v *Endpoint) string { return v.Name })
	return &out
}
