// Package revision decides which configuration revision is in force and what has to be fetched to reach a newer one.
// It is a deterministic state machine without I/O.
//
// Invariant: the revision in force never decreases, and a revision comes into force only with all of its files, each
// with the content that its digest names.
package revision

import (
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// Platform names the platform as a source. Other sources are the names of hosts.
const Platform = ""

const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Fetch is one thing to get: the head, or files by digest.
type Fetch struct {
	Source  string
	Head    bool
	Digests []string
}

type source struct {
	revision uint64 // that the source has said it has
	retryAt  time.Duration
	backoff  time.Duration
}

// State tracks one process's configuration. It is not safe for concurrent use.
type State struct {
	head    wire.Head // in force
	files   []wire.File
	want    wire.Head            // newest head known, with more than the revision in force
	have    map[string]wire.File // files by digest
	refused uint64               // newest revision that failed validation
	sources map[string]*source
	busy    bool // a fetch is outstanding
}

// New returns a state with nothing in force.
func New() *State {
	return &State{have: make(map[string]wire.File), sources: make(map[string]*source)}
}

// Revision returns the revision in force, 0 for none.
func (s *State) Revision() uint64 { return s.head.Revision }

// Head returns the head in force.
func (s *State) Head() wire.Head { return s.head }

// Files returns the files in force in the order of the head.
func (s *State) Files() []wire.File { return s.files }

// File returns a file by digest.
func (s *State) File(digest string) (wire.File, bool) {
	f, ok := s.have[digest]
	return f, ok
}

func (s *State) source(name string) *source {
	if s.sources[name] == nil {
		s.sources[name] = &source{}
	}
	return s.sources[name]
}

// Seen records which revision a source has. It may be lower than before, for example after a restart; the source is then
// no longer asked for the higher one.
func (s *State) Seen(name string, revision uint64) { s.source(name).revision = revision }

// Forget removes a source.
func (s *State) Forget(name string) { delete(s.sources, name) }

// OnHead records a head that a source has. A head that is not newer than every known one is ignored.
func (s *State) OnHead(name string, h wire.Head) {
	s.Seen(name, h.Revision)
	if h.Revision > max(s.head.Revision, s.want.Revision, s.refused) {
		s.want = h
	}
}

// OnFile records a file. It returns false if the content does not have the digest.
func (s *State) OnFile(f wire.File) bool {
	if config.Digest(f.Content) != f.Digest {
		return false
	}
	s.have[f.Digest] = f
	return true
}

// Settle ends the outstanding fetch. A source that failed is not asked again for a growing time.
func (s *State) Settle(now time.Duration, name string, ok bool) {
	s.busy = false
	src := s.sources[name]
	if src == nil {
		return
	}
	if ok {
		src.backoff = 0
		return
	}
	src.backoff = min(max(2*src.backoff, firstRetry), lastRetry)
	src.retryAt = now + src.backoff
}

// Next returns what to fetch now, if anything. Only one fetch is outstanding at a time. Members are preferred over the
// platform, whose calls are limited; the platform is asked when no usable member has said that it has the revision.
func (s *State) Next(now time.Duration) (Fetch, bool) {
	if s.busy {
		return Fetch{}, false
	}
	newest := uint64(0)
	for _, src := range s.sources {
		newest = max(newest, src.revision)
	}
	if newest > max(s.head.Revision, s.want.Revision, s.refused) {
		if name, ok := s.pick(now, newest); ok {
			s.busy = true
			return Fetch{Source: name, Head: true}, true
		}
	}
	if missing := s.missing(); len(missing) > 0 {
		if name, ok := s.pick(now, s.want.Revision); ok {
			s.busy = true
			return Fetch{Source: name, Digests: missing}, true
		}
	}
	return Fetch{}, false
}

// pick returns the usable source of a revision with the least failures, by name among equals.
func (s *State) pick(now time.Duration, revision uint64) (best string, ok bool) {
	for name, src := range s.sources {
		if src.revision < revision || now < src.retryAt {
			continue
		}
		b := s.sources[best]
		if !ok || src.backoff < b.backoff || src.backoff == b.backoff && (best == Platform || name != Platform && name < best) {
			best, ok = name, true
		}
	}
	return best, ok
}

func (s *State) missing() []string {
	var out []string
	if s.want.Revision <= s.head.Revision {
		return nil
	}
	for _, f := range s.want.Files {
		if _, ok := s.have[f.Digest]; !ok {
			out = append(out, f.Digest)
		}
	}
	return out
}

// Candidate returns the newest head when all its files are present and it is neither in force nor refused.
func (s *State) Candidate() (wire.Head, []wire.File, bool) {
	if s.want.Revision <= s.head.Revision || s.want.Revision <= s.refused || len(s.missing()) > 0 {
		return wire.Head{}, nil, false
	}
	files := make([]wire.File, 0, len(s.want.Files))
	for _, hf := range s.want.Files {
		f := s.have[hf.Digest]
		f.Name = hf.Name // files with the same content share a digest
		files = append(files, f)
	}
	return s.want, files, true
}

// Install puts a candidate in force and drops the files that it does not use. It returns false for a revision that is
// not newer.
func (s *State) Install(h wire.Head, files []wire.File) bool {
	if h.Revision <= s.head.Revision {
		return false
	}
	s.head, s.files = h, files
	keep := make(map[string]wire.File, len(files))
	for _, f := range files {
		keep[f.Digest] = f
	}
	for _, f := range s.want.Files {
		if got, ok := s.have[f.Digest]; ok {
			keep[f.Digest] = got
		}
	}
	s.have = keep
	return true
}

// Refuse records that a revision can't be used. The one in force stays.
func (s *State) Refuse(revision uint64) { s.refused = max(s.refused, revision) }
