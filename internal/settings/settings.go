// Package settings holds the flags and environment variables of every program. The structs and their registration are
// generated from schema/settings.yaml.
package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

//go:generate go run ./gen -schema ../../schema/settings.yaml -code settings_gen.go -docs ../../docs/settings.md

// exitUsage is the exit code for wrong settings.
const exitUsage = 2

// Spec describes one setting.
type Spec struct {
	Flag     string
	Env      string
	Kind     string // a type of schema/settings.yaml
	Default  string
	Min, Max string // empty for no bound
	Values   []string
	Required bool
	Help     string
}

// Finding is a wrong setting.
type Finding struct{ Flag, Env, Message string }

// Findings are all wrong settings of a program in the order of the schema.
type Findings []Finding

// Error implements error with one line per finding.
func (fs Findings) Error() string {
	var lines []string
	for _, f := range fs {
		lines = append(lines, fmt.Sprintf("--%s (%s): %s", f.Flag, f.Env, f.Message))
	}
	return strings.Join(lines, "\n")
}

// Program is the generated settings of one program.
type Program interface {
	// Application returns a kingpin application with all flags registered.
	Application() *kingpin.Application
	// Validate sets the struct's fields from flags and environment; the error is Findings.
	Validate() error
}

// MustParse parses the command line into a program's settings and returns the selected command. It ends the process
// with exit code 2 after printing all findings. Register adds commands or flags that are not in the schema; may be nil.
func MustParse(p Program, register func(*kingpin.Application)) string {
	app := p.Application()
	if register != nil {
		register(app)
	}
	command, err := app.Parse(os.Args[1:])
	if err == nil {
		err = p.Validate()
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: wrong settings:\n%v\ntry --help\n", app.Name, err)
		os.Exit(exitUsage)
	}
	return command
}

type flagger interface {
	Flag(name, help string) *kingpin.FlagClause
}

// set is the settings of a program with the text that kingpin read for each.
type set []*value

type value struct {
	Spec
	text   string
	seen   bool // kingpin set the text; it does not set defaults of commands that were not selected
	target any
}

// register adds a setting. Kingpin only reads text, so that Validate can report all findings and not just the first.
func (s *set) register(f flagger, spec Spec, target any) {
	v := &value{Spec: spec, target: target}
	*s = append(*s, v)
	flag, env := spec.Flag, spec.Env
	if spec.Kind == "secret" {
		flag, env = flag+"-file", env+"_FILE"
	}
	clause := f.Flag(flag, spec.help()).Envar(env)
	if spec.Default != "" {
		clause = clause.Default(spec.Default)
	}
	clause.SetValue(text{v})
}

func (s Spec) help() string {
	switch {
	case s.Kind == "secret":
		return "File with: " + s.Help + " Or set $" + s.Env + "."
	case len(s.Values) > 0:
		return s.Help + " One of " + strings.Join(s.Values, ", ") + "."
	case s.Required:
		return s.Help + " Required."
	}
	return s.Help
}

// text is a kingpin value that only records what was given.
type text struct{ v *value }

func (t text) Set(s string) error { t.v.text, t.v.seen = s, true; return nil }
func (t text) String() string     { return t.v.text }
func (t text) IsBoolFlag() bool   { return t.v.Kind == "bool" }

func (s set) validate() error {
	var out Findings
	for _, v := range s {
		if msg := v.apply(); msg != "" {
			flag, env := v.Flag, v.Env
			if v.Kind == "secret" {
				flag += "-file"
			}
			out = append(out, Finding{Flag: flag, Env: env, Message: msg})
		}
	}
	if len(out) > 0 {
		return out
	}
	return nil
}
