package operator

import (
	"fmt"
	"strings"

	"sycamoredeal/internal/wire"
)

// State tells how a file of the folder relates to the stored head.
type State string

// States of files. "Ours" are changes of the folder since its base, "theirs" are changes of the head since then.
const (
	StateSame     State = "same"
	StateAdded    State = "added"
	StateChanged  State = "changed"
	StateRemoved  State = "removed"
	StateTheirs   State = "changed by others"
	StateConflict State = "conflict"
)

// FileState is one file of a comparison.
type FileState struct {
	Name   string `json:"name"`
	State  State  `json:"state"`
	Local  string `json:"local,omitempty"`  // digest in the folder
	Stored string `json:"stored,omitempty"` // digest in the head
	Author string `json:"author,omitempty"` // of the latest change in the head, for theirs and conflicts
	// Revision of that change; 0 if it is older than the history.
	Revision uint64 `json:"revision,omitempty"`
}

// ConflictError names the files that the folder and another operator both changed.
type ConflictError struct{ Files []FileState }

// Error implements error.
func (e *ConflictError) Error() string {
	var lines []string
	for _, f := range e.Files {
		author, rev := f.Author, fmt.Sprint(f.Revision)
		if f.Revision == 0 {
			author, rev = "another operator", "older than the history"
		}
		lines = append(lines, fmt.Sprintf("%s: also changed by %s in revision %s; nothing was stored. Run pull, merge the file, then pull --resolved %s", f.Name, author, rev, f.Name))
	}
	return strings.Join(lines, "\n")
}

// compare does a three-way comparison per file. Only files that include accepts count as changed in the folder.
func compare(base, local map[string]string, head Stored, include func(string) bool) []FileState {
	stored := head.digests()
	var out []FileState
	for _, name := range sortedNames(base, local, stored) {
		f := FileState{Name: name, Local: local[name], Stored: stored[name]}
		ours := include(name) && local[name] != base[name]
		theirs := stored[name] != base[name]
		switch {
		case f.Local == f.Stored:
			f.State = StateSame
		case ours && theirs:
			f.State = StateConflict
		case ours && f.Stored == "":
			f.State = StateAdded
		case ours && f.Local == "":
			f.State = StateRemoved
		case ours:
			f.State = StateChanged
		case theirs:
			f.State = StateTheirs
		default:
			f.State = StateSame // an edit of the folder that include leaves out
		}
		if f.State == StateConflict || f.State == StateTheirs {
			if c, ok := head.lastChange(name); ok {
				f.Author, f.Revision = c.Author, c.Revision
			}
		}
		out = append(out, f)
	}
	return out
}

func conflicts(states []FileState) error {
	var out []FileState
	for _, f := range states {
		if f.State == StateConflict {
			out = append(out, f)
		}
	}
	if len(out) > 0 {
		return &ConflictError{Files: out}
	}
	return nil
}

// merged returns the digests of the next revision.
func merged(states []FileState) map[string]string {
	out := make(map[string]string)
	for _, f := range states {
		digest := f.Stored
		if f.State == StateAdded || f.State == StateChanged || f.State == StateRemoved {
			digest = f.Local
		}
		if digest != "" {
			out[f.Name] = digest
		}
	}
	return out
}

// rebase returns the base after next was stored: files that are in step get their digest, others keep their base.
func rebase(base Base, local, next map[string]string, revision uint64) Base {
	out := Base{Revision: revision, Files: map[string]string{}}
	for _, name := range sortedNames(base.Files, local, next) {
		digest := base.Files[name]
		if local[name] == next[name] {
			digest = next[name]
		}
		if digest != "" {
			out.Files[name] = digest
		}
	}
	return out
}

func byName(files []wire.File) map[string]wire.File {
	m := make(map[string]wire.File, len(files))
	for _, f := range files {
		m[f.Name] = f
	}
	return m
}
