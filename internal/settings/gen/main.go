// Command gen writes the settings code and page from the schema.
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

type schema struct {
	Programs []program `yaml:"programs"`
}

type program struct {
	Name     string    `yaml:"name"`
	Help     string    `yaml:"help"`
	Settings []setting `yaml:"settings"`
	Commands []command `yaml:"commands"`
}

type command struct {
	Name     string    `yaml:"name"`
	Help     string    `yaml:"help"`
	Settings []setting `yaml:"settings"`
}

type setting struct {
	Name     string   `yaml:"name"`
	Env      string   `yaml:"env"`
	Type     string   `yaml:"type"`
	Unit     string   `yaml:"unit"`
	Default  string   `yaml:"default"`
	Min      string   `yaml:"min"`
	Max      string   `yaml:"max"`
	Values   []string `yaml:"values"`
	Required bool     `yaml:"required"`
	Help     string   `yaml:"help"`
	Field    string   `yaml:"-"`
}

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
	in := flag.String("schema", "", "schema file")
	code := flag.String("code", "", "Go file to write")
	docs := flag.String("docs", "", "Markdown file to write")
	flag.Parse()
	if err := run(*in, *code, *docs); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run(in, code, docs string) error {
	b, err := os.ReadFile(in)
	if err != nil {
		return errors.Trace(err)
	}
	var s schema
	if err := yaml.UnmarshalWithOptions(b, &s, yaml.Strict()); err != nil {
		return errors.Annotate(err, in)
	}
	if err := s.complete(); err != nil {
		return errors.Annotate(err, in)
	}
	src, err := render(codeTemplate, s)
	if err != nil {
		return err
	}
	if src, err = format.Source(src); err != nil {
		return errors.Trace(err)
	}
	page, err := render(docsTemplate, s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(code, src, 0o644); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(docs, page, 0o644))
}

// complete derives field names and environment variables and checks the types.
func (s *schema) complete() error {
	for i := range s.Programs {
		p := &s.Programs[i]
		if err := completeAll(p.Settings, p.Name, ""); err != nil {
			return err
		}
		for _, c := range p.Commands {
			if err := completeAll(c.Settings, p.Name, c.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

func completeAll(list []setting, program, command string) error {
	for i := range list {
		s := &list[i]
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
		s.Field = strings.Join(each(parts[1:], camel), "")
	}
	return nil
}

func each(list []string, f func(string) string) []string {
	var out []string
	for _, s := range list {
		out = append(out, f(s))
	}
	return out
}

// initialisms are words that Go names write in upper case.
var initialisms = map[string]bool{"tls": true, "ca": true}

func camel(s string) string {
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

func bounds(s setting) string {
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

func comment(s setting) string {
	if s.Unit != "" {
		return s.Help + " In " + s.Unit + "."
	}
	if s.Type == "bytes" {
		return s.Help + " In bytes."
	}
	return s.Help
}

func render(text string, s schema) ([]byte, error) {
	t, err := template.New("").Funcs(template.FuncMap{
		"camel": camel, "bounds": bounds, "comment": comment, "goType": func(s setting) string { return goTypes[s.Type] },
	}).Parse(text)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var b bytes.Buffer
	err = t.Execute(&b, s)
	return b.Bytes(), errors.Trace(err)
}
