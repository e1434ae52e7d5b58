package config

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

const removeField = "remove"

// source is one mapping of a file that contributed to an entry.
type source struct {
	file string
	node *ast.MappingNode
}

// origin records where an entry of a list of named entries comes from.
type origin struct {
	index   int
	sources []source
	removed bool
}

// decoder merges the mappings of files into Declarations and records the origin of each named entry. Keys of origins
// are paths such as models/prices or services/shop/endpoints/shop-1.
type decoder struct {
	file     string
	origins  map[string]*origin
	badTypes map[string]bool // fields with a value of the wrong type; no rule judges them
	findings Findings
}

func (d *decoder) report(sev Severity, tk *token.Token, field, format string, args ...any) {
	f := Finding{File: d.file, Field: field, Severity: sev, Message: fmt.Sprintf(format, args...)}
	if tk != nil && tk.Position != nil {
		f.Line, f.Column = tk.Position.Line, tk.Position.Column
	}
	d.findings = append(d.findings, f)
}

func (d *decoder) err(n ast.Node, field, format string, args ...any) {
	d.report(SeverityError, n.GetToken(), field, format, args...)
}

var fieldCache sync.Map // reflect.Type -> map[string]int

// fieldsOf returns the YAML names of a struct's fields with their index.
func fieldsOf(t reflect.Type) map[string]int {
	if m, ok := fieldCache.Load(t); ok {
		return m.(map[string]int)
	}
	m := make(map[string]int)
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" {
			m[name] = i
		}
	}
	fieldCache.Store(t, m)
	return m
}

func fieldNames(t reflect.Type) string {
	var names []string
	for n := range fieldsOf(t) {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// structure decodes a mapping into v. Fields that it does not give keep their value.
func (d *decoder) structure(m *ast.MappingNode, v reflect.Value, path, field string) {
	fields := fieldsOf(v.Type())
	_, named := fields["name"]
	seen := make(map[string]bool, len(m.Values))
	for _, kv := range m.Values {
		key := kv.Key.GetToken().Value
		at := join(field, key)
		if seen[key] {
			d.err(kv.Key, at, "the field is given twice")
			continue
		}
		seen[key] = true
		if named && key == removeField {
			continue
		}
		i, ok := fields[key]
		if !ok {
			d.err(kv.Key, at, "unknown field; known fields are %s", fieldNames(v.Type()))
			continue
		}
		d.value(kv, v.Field(i), joinPath(path, key), at)
	}
}

func (d *decoder) value(kv *ast.MappingValueNode, v reflect.Value, path, field string) {
	n := kv.Value
	if n == nil || n.Type() == ast.NullType {
		if v.Kind() != reflect.Slice && v.Kind() != reflect.Struct {
			d.err(kv.Key, field, "the field has no value")
		}
		return
	}
	switch {
	case v.Type() == timeType:
		d.scalar(n, v, field)
	case v.Kind() == reflect.Struct:
		if m := asMapping(n); m != nil {
			d.origins[path] = &origin{sources: append(d.origin(path).sources, source{d.file, m})}
			d.structure(m, v, path, field)
			return
		}
		d.err(n, field, "must be a mapping")
	case v.Kind() == reflect.Slice:
		seq, ok := n.(*ast.SequenceNode)
		if !ok {
			d.err(n, field, "must be a list")
			return
		}
		d.list(seq, v, path, field)
	default:
		d.scalar(n, v, field)
	}
}

func (d *decoder) origin(path string) *origin {
	if o := d.origins[path]; o != nil {
		return o
	}
	return &origin{}
}

func (d *decoder) list(seq *ast.SequenceNode, v reflect.Value, path, field string) {
	elem := v.Type().Elem()
	if elem.Kind() == reflect.Struct {
		if _, named := fieldsOf(elem)["name"]; named {
			for i, n := range seq.Values {
				d.entry(n, v, path, field, i)
			}
			return
		}
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, n := range seq.Values {
		at := fmt.Sprintf("%s[%d]", field, i)
		if elem.Kind() != reflect.Struct {
			d.scalar(n, v.Index(i), at)
		} else if m := asMapping(n); m != nil {
			d.structure(m, v.Index(i), path, at)
		} else {
			d.err(n, at, "must be a mapping")
		}
	}
}

// entry merges one named entry of a list.
func (d *decoder) entry(n ast.Node, list reflect.Value, path, field string, i int) {
	at := fmt.Sprintf("%s[%d]", field, i)
	m := asMapping(n)
	if m == nil {
		d.err(n, at, "must be a mapping with a name")
		return
	}
	name, nameNode := entryName(m)
	if name == "" {
		d.report(SeverityError, startOf(m), join(at, "name"), "the entry has no name")
		d.structure(m, reflect.New(list.Type().Elem()).Elem(), path+"/(unnamed)", at)
		return
	}
	at, key := fmt.Sprintf("%s[%s]", field, name), path+"/"+name
	o := d.origins[key]
	if o != nil && o.sources[len(o.sources)-1].file == d.file {
		d.err(nameNode, at, "%q is declared twice in this file, first in line %d", name, startOf(o.sources[len(o.sources)-1].node).Position.Line)
		return
	}
	if o == nil {
		o = &origin{index: list.Len(), removed: true}
		list.Set(reflect.Append(list, reflect.Zero(list.Type().Elem())))
		d.origins[key] = o
		if d.removes(m, at) {
			d.report(SeverityWarning, startOf(m), at, "there is no earlier declaration to remove")
			o.sources = []source{{d.file, m}}
			return
		}
	}
	d.mergeEntry(o, m, list.Index(o.index), key, at)
}

func (d *decoder) mergeEntry(o *origin, m *ast.MappingNode, v reflect.Value, key, at string) {
	if d.removes(m, at) {
		o.removed, o.sources = true, []source{{d.file, m}}
		return
	}
	if o.removed {
		v.SetZero()
		o.removed, o.sources = false, nil
		if v.Type() == reflect.TypeFor[Service]() {
			for k := range d.origins {
				if strings.HasPrefix(k, key+"/") {
					delete(d.origins, k)
				}
			}
		}
	}
	o.sources = append(o.sources, source{d.file, m})
	d.structure(m, v, key, at)
}

func (d *decoder) removes(m *ast.MappingNode, at string) bool {
	for _, kv := range m.Values {
		if kv.Key.GetToken().Value != removeField {
			continue
		}
		b, ok := kv.Value.(*ast.BoolNode)
		if !ok {
			d.err(kv.Key, join(at, removeField), "must be true or false")
			return false
		}
		return b.Value
	}
	return false
}

// prune drops the removed entries of a list of named entries.
func prune[T any](d *decoder, list []T, path string, name func(*T) string) []T {
	out := list[:0]
	for i := range list {
		if o := d.origins[path+"/"+name(&list[i])]; o != nil && !o.removed {
			out = append(out, list[i])
		}
	}
	return out
}

func entryName(m *ast.MappingNode) (string, ast.Node) {
	for _, kv := range m.Values {
		if kv.Key.GetToken().Value == "name" && kv.Value != nil && kv.Value.Type() == ast.StringType {
			return kv.Value.GetToken().Value, kv.Value
		}
	}
	return "", nil
}

func startOf(m *ast.MappingNode) *token.Token {
	if len(m.Values) > 0 {
		return m.Values[0].Key.GetToken()
	}
	return m.Start
}

func join(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "/" + key
}

var (
	timeType     = reflect.TypeFor[time.Time]()
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)
