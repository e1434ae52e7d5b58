package config

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// docsType returns the type name that docs/declarations.md uses.
func docsType(t reflect.Type) string {
	switch {
	case t == timeType:
		return "time"
	case t == durationType:
		return "duration"
	case t == bytesType:
		return "amount"
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return "list of entries"
	case t.Kind() == reflect.Slice:
		return "list of text"
	}
	return map[reflect.Kind]string{reflect.String: "text", reflect.Bool: "true or false", reflect.Int: "whole number", reflect.Float64: "number"}[t.Kind()]
}

func documentTypes(t reflect.Type, path string, out map[string]map[string]string) {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t == timeType {
		return
	}
	if path != "" {
		out[path] = map[string]string{}
	}
	for name, i := range fieldsOf(t) {
		f := t.Field(i).Type
		if path != "" {
			out[path][name] = docsType(f)
		}
		documentTypes(f, strings.TrimPrefix(path+"."+name, "."), out)
	}
}

// TestDocs guards against a page that misses a field, keeps one that no longer exists or gives a wrong type.
func TestDocs(t *testing.T) {
	b, err := os.ReadFile("../../docs/declarations.md")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]map[string]string{}
	documentTypes(reflect.TypeFor[Declarations](), "", want)
	got := map[string]map[string]string{}
	section := ""
	for _, line := range strings.Split(string(b), "\n") {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = title
		}
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "| `") && len(cells) == 7 {
			if got[section] == nil {
				got[section] = map[string]string{}
			}
			got[section][strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2])
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("documented %v\ntypes %v", got, want)
	}
}
