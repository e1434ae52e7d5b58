// Command gen generates the Go code and the documentation page of the settings from schema/settings.yaml.
package main

import (
	"bytes"
	_ "embed"
	"flag"
	"fmt"
	"go/format"
	"os"
	"strings"
	"text/template"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// schema is the content of the schema file.
type schema struct {
	Programs []program `yaml:"programs"`
}

// program is a program with its settings and commands.
type program struct {
	Name     string    `yaml:"name"`
	Help     string    `yaml:"help"`
	Settings []setting `yaml:"settings"`
	Commands []command `yaml:"commands"`
}

// command is a command of a program with settings of its own.
type command struct {
	Name     string    `yaml:"name"`
	Help     string    `yaml:"help"`
	Settings []setting `yaml:"settings"`
}

// setting is one setting of a program or command.
type setting struct {
	Name     string   `yaml:"name"`
	Env      string   `yaml:"env"` // derived from the names if empty
	Type     string   `yaml:"type"`
	Unit     string   `yaml:"unit"` // for the documentation and the comments of the generated code
	Default  string   `yaml:"default"`
	Min      string   `yaml:"min"`
	Max      string   `yaml:"max"`
	Values   []string `yaml:"values"`
	Required bool     `yaml:"required"`
	Help     string   `yaml:"help"`
	Field    string   `yaml:"-"` // name of the field in the generated struct
}

// goTypes maps the types of the schema to Go types.
var goTypes = map[string]string{
	"string": "string", "int": "int", "float": "float64", "bool": "bool", "duration": "time.Duration", "bytes": "int64",
	"address": "string", "url": "string", "enum": "string", "secret": "string",
}

var (
	//go:embed code.tmpl
	codeTemplate string
	//go:embed docs.tmpl
	docsTemplate string
)

func main() {
	schemaPath := flag.String("schema", "", "schema file")
	codePath := flag.String("code", "", "Go file to write")
	docsPath := flag.String("docs", "", "Markdown file to write")
	flag.Parse()
	if err := run(*schemaPath, *codePath, *docsPath); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// run reads the schema and writes the code and the documentation.
func run(schemaPath, codePath, docsPath string) error {
	b, err := os.ReadFile(schemaPath)
	if err != nil {
		return errors.Trace(err)
	}
	var s schema
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return errors.Annotate(err, schemaPath)
	}
	if err := s.complete(); err != nil {
		return errors.Annotate(err, schemaPath)
	}
	code, err := render(codeTemplate, s)
	if err != nil {
		return err
	}
	if code, err = format.Source(code); err != nil {
		return errors.Trace(err)
	}
	docs, err := render(docsTemplate, s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(codePath, code, 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(docsPath, docs, 0o644))
}

// complete checks all settings and derives their field names and environment variables.
func (s *schema) complete() error {
	for i := range s.Programs {
		p := &s.Programs[i]
		if err := completeSettings(p.Settings, p.Name, ""); err != nil {
			return err
		}
		for _, c := range p.Commands {
			if err := completeSettings(c.Settings, p.Name, c.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// completeSettings checks and completes the settings of a program, or of one of its commands if command is not empty.
func completeSettings(settings []setting, program, command string) error {
	for i := range settings {
		s := &settings[i]
		if goTypes[s.Type] == "" || s.Name == "" || s.Help == "" {
			return errors.Errorf("setting %q of %s needs a name, a help text and a known type", s.Name, program)
		}
		if s.Required && command != "" {
			return errors.Errorf("setting %q of %s %s cannot be required: it would be missed when another command runs", s.Name, program, command)
		}
		parts := []string{program, s.Name}
		if command != "" {
			parts = []string{program, command, s.Name}
		}
		if s.Env == "" {
			s.Env = strings.ToUpper(strings.ReplaceAll(strings.Join(parts, "_"), "-", "_"))
		}
		s.Field = strings.Join(mapStrings(parts[1:], camelCase), "")
	}
	return nil
}

// mapStrings returns the results of f for each item.
func mapStrings(items []string, f func(string) string) []string {
	var out []string
	for _, s := range items {
		out = append(out, f(s))
	}
	return out
}

// initialisms are the words that are written in upper case in Go names.
var initialisms = map[string]bool{"tls": true, "ca": true}

// camelCase converts a name with dashes to an exported Go name.
func camelCase(s string) string {
	var b strings.Builder
	for _, part := range strings.Split(s, "-") {
		if initialisms[part] {
			b.WriteString(strings.ToUpper(part))
			continue
		}
		b.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return b.String()
}

// formatBounds describes the allowed values of a setting for the documentation.
func formatBounds(s setting) string {
	switch {
	case len(s.Values) > 0:
		return strings.Join(s.Values, ", ")
	case s.Min != "" && s.Max != "":
		return s.Min + " to " + s.Max
	case s.Min != "":
		return "at least " + s.Min
	case s.Max != "":
		return "at most " + s.Max
	}
	return ""
}

// fieldComment returns the comment of the field in the generated struct: the help text and the unit.
func fieldComment(s setting) string {
	if s.Unit != "" {
		return s.Help + " In " + s.Unit + "."
	}
	if s.Type == "bytes" {
		return s.Help + " In bytes."
	}
	return s.Help
}

// render executes a template on the schema.
func render(text string, s schema) ([]byte, error) {
	tmpl, err := template.New("").Funcs(template.FuncMap{
		"camel": camelCase, "bounds": formatBounds, "comment": fieldComment, "goType": func(s setting) string { return goTypes[s.Type] },
	}).Parse(text)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var b bytes.Buffer
	err = tmpl.Execute(&b, s)
	return b.Bytes(), errors.Trace(err)
}
