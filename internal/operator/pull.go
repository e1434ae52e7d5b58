package operator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// Diff compares a folder with the stored head. Files of others are those that the folder did not touch.
func Diff(ctx context.Context, store objects.Store, dir string) ([]FileState, map[string]wire.File, error) {
	states, _, _, err := compareFolder(ctx, store, dir)
	if err != nil {
		return nil, nil, err
	}
	want := make(map[string]string)
	for _, f := range states {
		if f.State != StateSame && f.Stored != "" {
			want[f.Name] = f.Stored
		}
	}
	stored, err := fetch(ctx, store, want)
	return states, stored, err
}

func compareFolder(ctx context.Context, store objects.Store, dir string) ([]FileState, Base, Stored, error) {
	files, err := ReadFolder(dir)
	if err != nil {
		if entries, rerr := os.ReadDir(dir); rerr != nil || hasYAML(entries) {
			return nil, Base{}, Stored{}, err
		}
	}
	base, err := ReadBase(dir)
	if err != nil {
		return nil, Base{}, Stored{}, err
	}
	head, err := LoadHead(ctx, store)
	if err != nil {
		return nil, Base{}, Stored{}, err
	}
	all := func(string) bool { return true }
	return compare(base.Files, digests(files), head, all), base, head, nil
}

func hasYAML(entries []os.DirEntry) bool {
	return slices.ContainsFunc(entries, func(e os.DirEntry) bool { return validName(e.Name()) })
}

// PullResult tells what a pull did to the files of a folder.
type PullResult struct {
	Revision uint64      `json:"revision"`
	Files    []FileState `json:"files"` // files that were written, removed or are in conflict
}

// Pull brings the files that the folder did not change in step with the stored head. Local edits stay. For a conflict
// the stored content is written beside the file as NAME.r<revision> and *ConflictError is returned; resolved names files
// whose conflict the operator has merged by hand, so that the next apply stores them over the head.
func Pull(ctx context.Context, store objects.Store, dir string, resolved []string) (PullResult, error) {
	states, base, head, err := compareFolder(ctx, store, dir)
	if err != nil {
		return PullResult{}, err
	}
	want := make(map[string]string)
	for _, f := range states {
		if f.Stored != "" && (f.State == StateTheirs || f.State == StateConflict) {
			want[f.Name] = f.Stored
		}
	}
	content, err := fetch(ctx, store, want)
	if err != nil {
		return PullResult{}, err
	}
	res := PullResult{Revision: head.Revision}
	base.Revision = head.Revision
	for _, f := range states {
		if f.State == StateConflict && slices.Contains(resolved, f.Name) {
			setBase(base, f)
			continue
		}
		if f.State == StateTheirs || f.State == StateConflict {
			if err := pullFile(dir, f, content[f.Name], head.Revision); err != nil {
				return res, err
			}
			res.Files = append(res.Files, f)
		}
		if f.State == StateTheirs || f.Local == f.Stored {
			setBase(base, f)
		}
	}
	if err := writeBase(dir, base); err != nil {
		return res, err
	}
	return res, conflicts(res.Files)
}

func setBase(b Base, f FileState) {
	if f.Stored == "" {
		delete(b.Files, f.Name)
		return
	}
	b.Files[f.Name] = f.Stored
}

func pullFile(dir string, f FileState, stored wire.File, revision uint64) error {
	if !validName(f.Name) {
		return errors.Errorf("the stored head names a file %q, which is not a plain .yaml file name", f.Name)
	}
	path := filepath.Join(dir, f.Name)
	switch {
	case f.State == StateConflict && f.Stored != "":
		return writeAtomic(fmt.Sprintf("%s.r%d", path, revision), stored.Content)
	case f.State == StateConflict:
		return nil
	case f.Stored == "":
		return errors.Trace(os.Remove(path))
	}
	return writeAtomic(path, stored.Content)
}
