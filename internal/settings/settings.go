// Package settings defines the flags and environment variables of every program. The structs and the code that
// registers their flags are generated from schema/settings.yaml.
package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

//go:generate go run ./gen -schema ../../schema/settings.yaml -code settings_gen.go -docs ../../docs/settings.md

// exitUsage is the exit code of a program that is started with invalid settings.
const exitUsage = 2

// Spec describes one setting as defined in schema/settings.yaml.
type Spec struct {
	Flag     string   // name of the flag without the leading dashes
	Env      string   // name of the environment variable
	Kind     string   // type of the setting in the schema, such as duration
	Default  string   // empty for no default
	Min, Max string   // empty for no bound
	Values   []string // allowed values of an enum
	Required bool
	Help     string
}

// Finding describes one invalid setting.
type Finding struct{ Flag, Env, Message string }

// Findings lists all invalid settings of a program in the order of the schema.
type Findings []Finding

// Error implements error. The text has one line per finding.
func (fs Findings) Error() string {
	var lines []string
	for _, f := range fs {
		lines = append(lines, fmt.Sprintf("--%s (%s): %s", f.Flag, f.Env, f.Message))
	}
	return strings.Join(lines, "\n")
}

// Program is implemented by the generated settings of each program.
type Program interface {
	// Application returns a kingpin application with all flags registered.
	Application() *kingpin.Application
	// Validate sets the fields of the struct from the parsed flags and environment variables. An error is of type
	// Findings.
	Validate() error
}

// MustParse parses the command line and the environment into the settings of a program and returns the selected
// command. If any setting is invalid, it prints all findings and ends the process with exit code 2. The function
// register adds commands or flags that are not in the schema; it may be nil.
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

// flagAdder is a kingpin application or one of its commands.
type flagAdder interface {
	Flag(name, help string) *kingpin.FlagClause
}

// settingList holds the registered settings of a program in the order of the schema.
type settingList []*setting

// setting is a registered setting with the text that kingpin read for it.
type setting struct {
	Spec
	raw    string // text from the flag, the environment or the default; not yet parsed
	isSet  bool   // whether kingpin set raw; it skips the defaults of commands that were not selected
	target any    // pointer to the field that receives the parsed value
}

// register adds a setting and its flag. Kingpin only records the text: it would stop at the first value that it cannot
// parse, while Validate reports all findings.
func (l *settingList) register(f flagAdder, spec Spec, target any) {
	s := &setting{Spec: spec, target: target}
	*l = append(*l, s)
	flag, env := spec.Flag, spec.Env
	if spec.Kind == "secret" {
		flag, env = flag+"-file", env+"_FILE"
	}
	clause := f.Flag(flag, spec.flagHelp()).Envar(env)
	if spec.Default != "" {
		clause = clause.Default(spec.Default)
	}
	clause.SetValue(flagValue{s})
}

// flagHelp returns the help text of the flag.
func (s Spec) flagHelp() string {
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

// flagValue implements kingpin.Value. It records the text without parsing it.
type flagValue struct{ setting *setting }

func (f flagValue) Set(raw string) error { f.setting.raw, f.setting.isSet = raw, true; return nil }
func (f flagValue) String() string       { return f.setting.raw }
func (f flagValue) IsBoolFlag() bool     { return f.setting.Kind == "bool" }

// validate parses all settings into their targets and returns the invalid ones as Findings.
func (l settingList) validate() error {
	var findings Findings
	for _, s := range l {
		if msg := s.parse(); msg != "" {
			flag, env := s.Flag, s.Env
			if s.Kind == "secret" {
				flag += "-file"
			}
			findings = append(findings, Finding{Flag: flag, Env: env, Message: msg})
		}
	}
	if len(findings) > 0 {
		return findings
	}
	return nil
}
