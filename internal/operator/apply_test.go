package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
	standin "sycamoredeal/internal/standin/platform"
)

func newStore(t *testing.T) objects.Store {
	t.Helper()
	srv := httptest.NewServer(standin.New())
	t.Cleanup(srv.Close)
	return objects.NewClient(srv.URL, "")
}

const endpointFile = "endpoints: [{name: e1, host: h1, zone: z1, address: \"127.0.0.1:1\", memory: 800GiB, slots: 4}]\n"

func model(name string, gib int) string {
	return fmt.Sprintf("models: [{name: %s, memory: %dGiB}]\n", name, gib)
}

func put(t *testing.T, dir, name, content string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

// checkout returns a folder in step with the store, which holds at least an endpoint and models a and b.
func checkout(t *testing.T, store objects.Store) string {
	t.Helper()
	dir := t.TempDir()
	if h, err := LoadHead(t.Context(), store); err == nil && h.Revision == 0 {
		put(t, dir, "0.yaml", endpointFile)
		put(t, dir, "a.yaml", model("a", 1))
		put(t, dir, "b.yaml", model("b", 1))
		mustApply(t, store, dir, "first")
		return dir
	}
	if _, err := Pull(t.Context(), store, dir, nil); err != nil {
		t.Fatal(err)
	}
	return dir
}

func mustApply(t *testing.T, store objects.Store, dir, author string) ApplyResult {
	t.Helper()
	res, err := Apply(t.Context(), store, ApplyRequest{Dir: dir, Author: author})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

func memoryOf(t *testing.T, store objects.Store, name string) config.Bytes {
	t.Helper()
	d, err := StoredDeclarations(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range d.Models {
		if m.Name == name {
			return m.Memory >> 30
		}
	}
	return 0
}

// TestDisjointEditsBothLand guards against an apply that reverts a file which its operator did not touch.
func TestDisjointEditsBothLand(t *testing.T) {
	store := newStore(t)
	one, two := checkout(t, store), checkout(t, store)
	put(t, one, "a.yaml", model("a", 2))
	put(t, two, "b.yaml", model("b", 3))
	mustApply(t, store, one, "ana")
	mustApply(t, store, two, "luis")
	put(t, two, "c.yaml", model("c", 4)) // the folder still holds the old a.yaml
	if res := mustApply(t, store, two, "luis"); res.Revision != 4 || len(res.Changed) != 1 {
		t.Errorf("result %+v", res)
	}
	for name, want := range map[string]config.Bytes{"a": 2, "b": 3, "c": 4} {
		if got := memoryOf(t, store, name); got != want {
			t.Errorf("model %s has %d GiB, want %d", name, got, want)
		}
	}
}

// TestCollision guards against an edit that silently replaces another operator's edit, and checks the way out.
func TestCollision(t *testing.T) {
	store := newStore(t)
	one, two := checkout(t, store), checkout(t, store)
	put(t, one, "a.yaml", model("a", 2))
	put(t, two, "a.yaml", model("a", 3))
	put(t, two, "b.yaml", model("b", 3))
	mustApply(t, store, one, "ana")
	_, err := Apply(t.Context(), store, ApplyRequest{Dir: two, Author: "luis"})
	if err == nil || !strings.Contains(err.Error(), "a.yaml: also changed by ana in revision 2") {
		t.Fatalf("error %v", err)
	}
	if memoryOf(t, store, "a") != 2 || memoryOf(t, store, "b") != 1 {
		t.Error("a refused change took effect")
	}
	if _, err := Apply(t.Context(), store, ApplyRequest{Dir: two, Author: "luis", Only: "b.yaml"}); err != nil {
		t.Fatal(err)
	}
	if _, err := Pull(t.Context(), store, two, nil); err == nil {
		t.Error("pull hid the conflict")
	}
	if b, _ := os.ReadFile(filepath.Join(two, "a.yaml")); string(b) != model("a", 3) {
		t.Errorf("pull changed the local edit: %s", b)
	}
	if b, _ := os.ReadFile(filepath.Join(two, "a.yaml.r3")); string(b) != model("a", 2) {
		t.Errorf("stored content beside the file: %s", b)
	}
	if _, err := Pull(t.Context(), store, two, []string{"a.yaml"}); err != nil {
		t.Fatal(err)
	}
	mustApply(t, store, two, "luis")
	if memoryOf(t, store, "a") != 3 || memoryOf(t, store, "b") != 3 {
		t.Error("the merged edit was not stored")
	}
}

// TestRacingOperators guards against lost updates when many operators apply at once.
func TestRacingOperators(t *testing.T) {
	store := newStore(t)
	const operators = 6
	var dirs []string
	for range operators {
		dirs = append(dirs, checkout(t, store))
	}
	var wg sync.WaitGroup
	for i, dir := range dirs {
		put(t, dir, fmt.Sprintf("m%d.yaml", i), model(fmt.Sprintf("m%d", i), i+1))
		put(t, dir, "same.yaml", model("same", i+1))
		wg.Go(func() {
			if _, err := Apply(t.Context(), store, ApplyRequest{Dir: dir, Author: "op", Only: fmt.Sprintf("m%d.yaml", i)}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for i := range operators {
		if memoryOf(t, store, fmt.Sprintf("m%d", i)) != config.Bytes(i+1) {
			t.Errorf("the edit of operator %d is lost", i)
		}
	}
	won := make([]bool, operators)
	for i, dir := range dirs {
		wg.Go(func() {
			_, err := Apply(t.Context(), store, ApplyRequest{Dir: dir, Author: "op"})
			var conflict *ConflictError
			if won[i] = err == nil; err != nil && !errors.As(err, &conflict) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	wins := 0
	for i, w := range won {
		if w {
			wins++
			if memoryOf(t, store, "same") != config.Bytes(i+1) {
				t.Errorf("operator %d was told that its edit is stored, but it is not", i)
			}
		}
	}
	if wins != 1 {
		t.Errorf("%d operators stored same.yaml, want 1", wins)
	}
}

// lossy loses the answer of head updates: before the update or after it took effect.
type lossy struct {
	objects.Store
	before, after int
	beforeUpdate  func()
}

func (l *lossy) Update(ctx context.Context, o objects.Object) (objects.Object, error) {
	if l.before > 0 {
		l.before--
		return objects.Object{}, objects.ErrUnavailable
	}
	if l.beforeUpdate != nil {
		f := l.beforeUpdate
		l.beforeUpdate = nil
		f()
	}
	got, err := l.Store.Update(ctx, o)
	if err == nil && l.after > 0 {
		l.after--
		return objects.Object{}, objects.ErrUnavailable
	}
	return got, err
}

// TestLostAnswer guards against a change that is stored twice or reported as failed when the answer of the head update
// is lost, and against one that gives up when the request itself is lost or another operator is faster.
func TestLostAnswer(t *testing.T) {
	for name, l := range map[string]*lossy{"after": {after: 1}, "before": {before: 2}} {
		store := newStore(t)
		dir := checkout(t, store)
		put(t, dir, "a.yaml", model("a", 2))
		l.Store = store
		if res := mustApply(t, l, dir, "ana"); res.Revision != 2 || len(res.Changed) != 1 {
			t.Errorf("%s: result %+v", name, res)
		}
		if h, _ := LoadHead(t.Context(), store); h.Revision != 2 || len(h.History) != 2 {
			t.Errorf("%s: head %+v", name, h)
		}
	}
	store := newStore(t)
	dir, other := checkout(t, store), checkout(t, store)
	put(t, dir, "a.yaml", model("a", 2))
	put(t, other, "b.yaml", model("b", 2))
	l := &lossy{Store: store, beforeUpdate: func() { mustApply(t, store, other, "luis") }}
	if res := mustApply(t, l, dir, "ana"); res.Revision != 3 || memoryOf(t, store, "b") != 2 {
		t.Errorf("result %+v", res)
	}
}

// TestRefusals guards against changes without an author or with errors, and against a damaged base that is ignored.
func TestRefusals(t *testing.T) {
	store := newStore(t)
	dir := checkout(t, store)
	if _, err := Apply(t.Context(), store, ApplyRequest{Dir: dir}); !errors.Is(err, ErrAuthor) {
		t.Errorf("no author: %v", err)
	}
	put(t, dir, "a.yaml", "modles: []\n")
	var findings config.Findings
	if _, err := Apply(t.Context(), store, ApplyRequest{Dir: dir, Author: "ana"}); !errors.As(err, &findings) || findings[0].File != "a.yaml" {
		t.Errorf("findings: %v", err)
	}
	put(t, dir, BaseFile, "{")
	if _, err := Apply(t.Context(), store, ApplyRequest{Dir: dir, Author: "ana"}); err == nil {
		t.Error("a damaged base was accepted")
	}
	if h, _ := LoadHead(t.Context(), store); h.Revision != 1 {
		t.Errorf("revision %d after refusals, want 1", h.Revision)
	}
}

// TestRemoveAndHistory guards against removals that do not reach the head or the other folders, and against a history
// without bounds.
func TestRemoveAndHistory(t *testing.T) {
	store := newStore(t)
	dir, other := checkout(t, store), checkout(t, store)
	os.Remove(filepath.Join(dir, "b.yaml"))
	mustApply(t, store, dir, "ana")
	if _, err := Pull(t.Context(), store, other, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(other, "b.yaml")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("removed file after pull: %v", err)
	}
	for i := range maxHistory {
		put(t, dir, "a.yaml", model("a", i+2))
		mustApply(t, store, dir, "ana")
	}
	h, err := LoadHead(t.Context(), store)
	if err != nil || len(h.History) != maxHistory || h.Revision != maxHistory+2 || h.History[maxHistory-1].Revision != h.Revision {
		t.Errorf("history of %d at revision %d: %v", len(h.History), h.Revision, err)
	}
	var long []Change
	for i := range 10 {
		c := Change{Revision: uint64(i)}
		for range 1000 {
			c.Files = append(c.Files, FileChange{Name: "f.yaml", Before: strings.Repeat("0", 64)})
		}
		long = append(long, c)
	}
	if got := trimHistory(long); len(got) >= 10 || got[len(got)-1].Revision != 9 {
		t.Errorf("history of large changes keeps %d revisions", len(got))
	}
}
