package revision

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

func revisionFiles(r uint64) (wire.Head, []wire.File) {
	h := wire.Head{Revision: r}
	var files []wire.File
	for i := range 3 {
		b := []byte(fmt.Sprint("file ", i, " of ", r/uint64(i+1)))
		f := wire.File{Name: fmt.Sprint(i), Digest: config.Digest(b), Content: b}
		files = append(files, f)
		h.Files = append(h.Files, wire.HeadFile{Name: f.Name, Digest: f.Digest})
	}
	return h, files
}

// TestNeverReverts guards against a revision that decreases or comes into force without its files, for any order of
// heads, failures, lost answers and sources that are behind; and against a process that stays behind when sources work.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		has := map[string]uint64{Platform: 1, "h1": 0, "h2": 0}
		now, last, newest := time.Duration(0), uint64(0), uint64(1)
		round := func(fail bool) {
			f, ok := s.Next(now)
			if !ok {
				return
			}
			h, files := revisionFiles(has[f.Source])
			if !fail && f.Head {
				s.OnHead(f.Source, h)
			} else if !fail {
				for _, file := range files {
					s.OnFile(file)
				}
			}
			s.Settle(now, f.Source, !fail)
		}
		install := func() {
			if h, files, ok := s.Candidate(); ok {
				want, _ := revisionFiles(h.Revision)
				for i, f := range files {
					if config.Digest(f.Content) != want.Files[i].Digest {
						t.Fatalf("file %d of revision %d has other content", i, h.Revision)
					}
				}
				s.Install(h, files)
			}
			if s.Revision() < last {
				t.Fatalf("revision %d after %d", s.Revision(), last)
			}
			last = s.Revision()
		}
		for range 60 {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom([]string{Platform, "h1", "h2"}).Draw(t, "source")
			if rapid.IntRange(0, 3).Draw(t, "edit") == 0 {
				has[Platform]++
			}
			if name != Platform {
				has[name] = uint64(rapid.IntRange(0, int(has[Platform])).Draw(t, "revision"))
			}
			newest = has[Platform]
			s.Seen(name, has[name])
			round(rapid.Bool().Draw(t, "fail"))
			install()
		}
		s.Forget("h1")
		s.Forget("h2")
		s.Seen(Platform, newest)
		for range 8 {
			now += 3 * time.Second
			round(false)
			install()
		}
		if s.Revision() != newest {
			t.Fatalf("revision %d in force, want %d", s.Revision(), newest)
		}
	})
}

// TestRefused guards against a refused revision that is retried, and against wrong content.
func TestRefused(t *testing.T) {
	s := New()
	h, files := revisionFiles(4)
	s.OnHead(Platform, h)
	if bad := files[0]; s.OnFile(wire.File{Name: bad.Name, Digest: bad.Digest, Content: []byte("other")}) {
		t.Error("a file with another content was accepted")
	}
	for _, f := range files {
		s.OnFile(f)
	}
	if _, _, ok := s.Candidate(); !ok {
		t.Fatal("no candidate although all files are present")
	}
	s.Refuse(4)
	s.OnHead(Platform, h)
	if _, _, ok := s.Candidate(); ok {
		t.Error("a refused revision is a candidate")
	}
}
