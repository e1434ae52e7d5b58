package config

import (
	"fmt"
	"sort"
	"strings"
)

// Severity tells whether a finding prevents a configuration from taking effect.
type Severity string

// Severities of findings. Errors refuse a configuration, warnings do not.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is one problem of a declaration with its location.
type Finding struct {
	File     string   `json:"file"`
	Line     int      `json:"line"`   // from 1; 0 if the finding concerns no single line
	Column   int      `json:"column"` // from 1
	Field    string   `json:"field"`  // for example models[prices].memory
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s: %s", f.File, f.Line, f.Column, f.Severity, f.Field, f.Message)
}

// Findings are all problems of a set of files, ordered by file, line, column, field and message.
type Findings []Finding

// Error implements error with one line per finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the findings of severity error.
func (fs Findings) Errors() Findings { return fs.only(SeverityError) }

// Warnings returns the findings of severity warning.
func (fs Findings) Warnings() Findings { return fs.only(SeverityWarning) }

func (fs Findings) only(s Severity) Findings {
	var out Findings
	for _, f := range fs {
		if f.Severity == s {
			out = append(out, f)
		}
	}
	return out
}

// Err returns the errors among the findings, or nil if there are none.
func (fs Findings) Err() error {
	if e := fs.Errors(); len(e) > 0 {
		return e
	}
	return nil
}

func (fs Findings) sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		a, b := fs[i], fs[j]
		switch {
		case a.File != b.File:
			return a.File < b.File
		case a.Line != b.Line:
			return a.Line < b.Line
		case a.Column != b.Column:
			return a.Column < b.Column
		case a.Field != b.Field:
			return a.Field < b.Field
		}
		return a.Message < b.Message
	})
}
