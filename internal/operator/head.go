package operator

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

const (
	headName = "head"
	// maxHistory bounds the revisions that the head remembers.
	maxHistory = 100
	// maxHistoryBytes bounds the history in the head object, which has a limit of 1 MB and also holds the file list.
	maxHistoryBytes = 256 << 10
	// fetchParallel bounds simultaneous reads of file objects; the platform allows about 2,000 reads/s for all.
	fetchParallel = 8
)

// FileChange is one file that a revision changed. An empty digest means that the file did not exist.
type FileChange struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"` // digest
	After  string `json:"after,omitempty"`  // digest
}

// Change is one revision in the history.
type Change struct {
	Revision uint64       `json:"revision"`
	ID       string       `json:"id"` // random, the same for all attempts of one apply
	Author   string       `json:"author"`
	UnixTime int64        `json:"unixTime"` // seconds, for display only
	Files    []FileChange `json:"files"`
}

// Head is the stored head object: what processes read, and the history for operators.
type Head struct {
	wire.Head
	History []Change `json:"history,omitempty"` // oldest first
}

// Stored is the head with the version for its conditional update.
type Stored struct {
	Head
	version string
	exists  bool
}

// LoadHead returns the stored head; a platform without one has revision 0.
func LoadHead(ctx context.Context, store objects.Store) (Stored, error) {
	o, err := store.Get(ctx, objects.KindHead, headName)
	if errors.Is(err, objects.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, errors.Annotate(err, "read the stored head")
	}
	h, err := objects.Decode[Head](o)
	return Stored{Head: h, version: o.Version, exists: true}, err
}

func (s Stored) digests() map[string]string {
	m := make(map[string]string, len(s.Files))
	for _, f := range s.Files {
		m[f.Name] = f.Digest
	}
	return m
}

// lastChange returns the latest revision in the history that changed a file.
func (s Stored) lastChange(name string) (Change, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		for _, f := range s.History[i].Files {
			if f.Name == name {
				return s.History[i], true
			}
		}
	}
	return Change{}, false
}

func (s Stored) byID(id string) (Change, bool) {
	for _, c := range s.History {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

func (s Stored) write(ctx context.Context, store objects.Store, next Head) error {
	o, err := objects.Encode(objects.KindHead, headName, s.version, next)
	if err != nil {
		return err
	}
	if s.exists {
		_, err = store.Update(ctx, o)
	} else {
		_, err = store.Create(ctx, o)
	}
	return err
}

// next returns the head of the next revision with the given files.
func (s Stored) next(files map[string]string, c Change) Head {
	c.Revision = s.Revision + 1
	h := Head{Head: wire.Head{Revision: c.Revision, Author: c.Author, UnixTime: c.UnixTime}}
	old := s.digests()
	for _, name := range sortedNames(files, old) {
		if files[name] != "" {
			h.Files = append(h.Files, wire.HeadFile{Name: name, Digest: files[name]})
		}
		if files[name] != old[name] {
			c.Files = append(c.Files, FileChange{Name: name, Before: old[name], After: files[name]})
		}
	}
	h.History = trimHistory(append(append([]Change(nil), s.History...), c))
	return h
}

// trimHistory drops the oldest revisions beyond the bounds, never the newest.
func trimHistory(h []Change) []Change {
	h = h[max(0, len(h)-maxHistory):]
	size := 0
	for i := len(h) - 1; i >= 0; i-- {
		b, _ := json.Marshal(h[i])
		if size += len(b); size > maxHistoryBytes && i < len(h)-1 {
			return h[i+1:]
		}
	}
	return h
}

// fetch returns the files with the given digests from the platform, checked against their digests.
func fetch(ctx context.Context, store objects.Store, want map[string]string) (map[string]wire.File, error) {
	var mu sync.Mutex
	got := make(map[string]wire.File, len(want))
	var failed error
	var wg sync.WaitGroup
	slots := make(chan struct{}, fetchParallel)
	for name, digest := range want {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f, err := fetchOne(ctx, store, name, digest)
			mu.Lock()
			defer mu.Unlock()
			got[name] = f
			if err != nil && failed == nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return got, failed
}

func fetchOne(ctx context.Context, store objects.Store, name, digest string) (wire.File, error) {
	if !validName(name) {
		return wire.File{}, errors.Errorf("the stored head names a file %q, which is not a plain .yaml file name", name)
	}
	o, err := store.Get(ctx, objects.KindFile, digest)
	if err != nil {
		return wire.File{}, errors.Annotatef(err, "read stored file %s", name)
	}
	f, err := objects.Decode[wire.File](o)
	if err == nil && config.Digest(f.Content) != digest {
		err = errors.Errorf("stored file %s does not match its digest %s", name, digest)
	}
	f.Name, f.Digest = name, digest
	return f, err
}
