package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// TestMixedVersions guards against processes of two versions that reject each other's messages during an upgrade, because
// a message has a field that the receiver does not know or lacks one that it knows.
func TestMixedVersions(t *testing.T) {
	newer := msgp.AppendMapHeader(nil, 3)
	newer = msgp.AppendUint64(msgp.AppendString(newer, "a"), 7)
	newer = msgp.AppendString(msgp.AppendString(newer, "b"), "e1")
	newer = msgp.AppendArrayHeader(msgp.AppendString(newer, "z"), 1) // a field of a later version
	newer = msgp.AppendString(newer, "later")
	var g Grant
	if _, err := g.UnmarshalMsg(newer); err != nil || !reflect.DeepEqual(g, Grant{ID: 7, Endpoint: "e1"}) {
		t.Errorf("message of a later version: %+v, %v", g, err)
	}
	older := msgp.AppendUint64(msgp.AppendString(msgp.AppendMapHeader(nil, 1), "a"), 7)
	g = Grant{}
	if _, err := g.UnmarshalMsg(older); err != nil || !reflect.DeepEqual(g, Grant{ID: 7}) {
		t.Errorf("message of an earlier version: %+v, %v", g, err)
	}
}

// TestKinds guards against a kind without a constructor, whose messages every receiver drops as unknown, and against one
// whose constructor returns a message of another kind.
func TestKinds(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "wire.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := Kind(0)
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, "Kind") {
			if declared++; New(declared) == nil { // kinds count up from 1 in the order of their declaration
				t.Errorf("%s has no constructor", spec.Names[0].Name)
			}
		}
		return true
	})
	if int(declared) != len(constructors) {
		t.Errorf("%d kinds and %d constructors", declared, len(constructors))
	}
	for k, f := range constructors {
		if got := f().Kind(); got != k {
			t.Errorf("constructor of kind %d returns a message of kind %d", k, got)
		}
	}
}
