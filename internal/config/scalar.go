package config

import (
	"math"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// scalar decodes a single value; a value of the wrong type is reported and leaves v unchanged.
func (d *decoder) scalar(n ast.Node, v reflect.Value, field string) {
	if !setScalar(n, v) {
		d.badTypes[field] = true
		d.err(n, field, "must be %s", typeName(v.Type()))
	}
}

func setScalar(n ast.Node, v reflect.Value) bool {
	switch v.Type() {
	case timeType:
		return setParsed(n, v, func(s string) (time.Time, error) { return time.Parse(time.RFC3339, s) })
	case durationType:
		return setParsed(n, v, time.ParseDuration)
	case bytesType:
		return setParsed(n, v, ParseBytes)
	}
	switch v.Kind() {
	case reflect.String:
		s, ok := text(n)
		if ok {
			v.SetString(s)
		}
		return ok
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if ok {
			v.SetBool(b.Value)
		}
		return ok
	case reflect.Int:
		i, ok := integer(n)
		if ok {
			v.SetInt(i)
		}
		return ok
	case reflect.Float64:
		f, ok := number(n)
		if ok {
			v.SetFloat(f)
		}
		return ok
	}
	return false
}

func setParsed[T any](n ast.Node, v reflect.Value, parse func(string) (T, error)) bool {
	if _, ok := n.(ast.ScalarNode); !ok {
		return false
	}
	t, err := parse(n.GetToken().Value)
	if err == nil {
		v.Set(reflect.ValueOf(t))
	}
	return err == nil
}

func text(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func integer(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch x := i.Value.(type) {
	case int64:
		return x, true
	case uint64:
		return int64(x), x <= math.MaxInt64
	}
	return 0, false
}

func number(n ast.Node) (float64, bool) {
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, !math.IsNaN(f.Value) && !math.IsInf(f.Value, 0)
	}
	i, ok := integer(n)
	return float64(i), ok
}

func typeName(t reflect.Type) string {
	switch t {
	case timeType:
		return "a time such as 2026-03-01T22:00:00-05:00"
	case durationType:
		return "a duration with a unit such as 200ms"
	case bytesType:
		return "an amount of memory such as 24GiB"
	}
	switch t.Kind() {
	case reflect.String:
		return "text; put quotes around a number"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	}
	return "a number"
}
