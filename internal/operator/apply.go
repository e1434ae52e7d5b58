// Package operator holds what operators do to the declarations: check, diff, apply and history.
package operator

import (
	"context"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/platform"
	"sycamoredeal/internal/wire"
)

// ReadFolder returns the YAML files of a folder in the order of their names.
func ReadFolder(dir string) ([]wire.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	sort.Strings(names)
	var files []wire.File
	for _, n := range names {
		b, err := os.ReadFile(n)
		if err != nil {
			return nil, errors.Trace(err)
		}
		files = append(files, wire.File{Name: filepath.Base(n), Digest: config.Digest(b), Content: b})
	}
	if len(files) == 0 {
		return nil, errors.Errorf("folder %s has no .yaml files", dir)
	}
	return files, nil
}

// Apply stores files as the next configuration revision and returns it.
func Apply(ctx context.Context, store platform.Store, author string, files []wire.File) (uint64, error) {
	if _, err := config.Build(1, files); err != nil {
		return 0, err
	}
	for _, f := range files {
		o, err := platform.Encode(platform.KindFile, f.Digest, "", f)
		if err != nil {
			return 0, err
		}
		if _, err := store.Create(ctx, o); err != nil && !errors.Is(err, platform.ErrConflict) {
			return 0, errors.Annotate(err, f.Name)
		}
	}
	var head wire.Head
	old, err := store.Get(ctx, platform.KindHead, "head")
	exists := err == nil
	if exists {
		if head, err = platform.Decode[wire.Head](old); err != nil {
			return 0, err
		}
	} else if !errors.Is(err, platform.ErrNotFound) {
		return 0, errors.Trace(err)
	}
	head.Revision++
	head.Author, head.UnixTime, head.Files = author, time.Now().Unix(), nil
	for _, f := range files {
		head.Files = append(head.Files, wire.HeadFile{Name: f.Name, Digest: f.Digest})
	}
	o, err := platform.Encode(platform.KindHead, "head", old.Version, head)
	if err != nil {
		return 0, err
	}
	if exists {
		_, err = store.Update(ctx, o)
	} else {
		_, err = store.Create(ctx, o)
	}
	return head.Revision, errors.Trace(err)
}
