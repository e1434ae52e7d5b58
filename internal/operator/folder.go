// Package operator holds what operators do to the declarations: check, diff, apply, pull and history, and what they ask
// of control processes: status, explain and maintenance.
package operator

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/wire"
)

// BaseFile records in a folder the revision and the digests that the folder was last in step with.
const BaseFile = ".sycamoredeal-base.json"

// Base is the content of BaseFile.
type Base struct {
	Revision uint64            `json:"revision"`
	Files    map[string]string `json:"files"` // name -> digest
}

// ReadFolder returns the YAML files of a folder in the order of their names.
func ReadFolder(dir string) ([]wire.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var files []wire.File
	for _, e := range entries {
		if e.IsDir() || !validName(e.Name()) {
			continue
		}
		f, err := readFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	if len(files) == 0 {
		return nil, errors.Errorf("folder %s has no .yaml files", dir)
	}
	return files, nil
}

func readFile(path string) (wire.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return wire.File{}, errors.Trace(err)
	}
	if info.Size() > config.MaxFileBytes {
		return wire.File{}, errors.Errorf("file %s has %d bytes, the limit is %d", path, info.Size(), config.MaxFileBytes)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return wire.File{}, errors.Trace(err)
	}
	return wire.File{Name: filepath.Base(path), Digest: config.Digest(b), Content: b}, nil
}

// validName tells whether a name from a folder or the platform is a declaration file in the folder itself.
func validName(name string) bool {
	return strings.HasSuffix(name, ".yaml") && !strings.HasPrefix(name, ".") && !strings.ContainsAny(name, "/\\\x00")
}

// ReadBase returns the base of a folder, empty if it has none.
func ReadBase(dir string) (Base, error) {
	b := Base{Files: map[string]string{}}
	data, err := os.ReadFile(filepath.Join(dir, BaseFile))
	if errors.Is(err, os.ErrNotExist) {
		return b, nil
	}
	if err != nil {
		return b, errors.Trace(err)
	}
	if err := json.Unmarshal(data, &b); err != nil {
		return b, errors.Annotatef(err, "%s is damaged; move it away and run pull", filepath.Join(dir, BaseFile))
	}
	if b.Files == nil {
		b.Files = map[string]string{}
	}
	return b, nil
}

func writeBase(dir string, b Base) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return writeAtomic(filepath.Join(dir, BaseFile), append(data, '\n'))
}

// writeAtomic replaces a file in one step, so that an interrupted write leaves the old content.
func writeAtomic(path string, data []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".sycamoredeal-*.tmp")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(data)
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Chmod(tmp.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	return errors.Trace(err)
}

func digests(files []wire.File) map[string]string {
	m := make(map[string]string, len(files))
	for _, f := range files {
		m[f.Name] = f.Digest
	}
	return m
}

func sortedNames(maps ...map[string]string) []string {
	seen := make(map[string]bool)
	var names []string
	for _, m := range maps {
		for n := range m {
			if !seen[n] {
				seen[n] = true
				names = append(names, n)
			}
		}
	}
	sort.Strings(names)
	return names
}
