package config

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"

	"sycamoredeal/internal/wire"
)

const (
	// MaxFileBytes bounds one declaration file: with base64 it still fits a platform value of 1 MB.
	MaxFileBytes = 700 << 10
	// MaxFiles bounds the number of files of one revision.
	MaxFiles = 2000
	// maxTotalBytes bounds all files of one revision together.
	maxTotalBytes = 16 << 20
	// maxDepth bounds nesting, because the YAML parser recurses. Declarations need 6 levels.
	maxDepth = 32
	// maxMarks bounds the structural characters of a file, because each becomes a token of some 200 bytes.
	maxMarks = 250_000
)

// parseFile returns the top-level mapping of a file, nil for an empty file, or the finding that prevents it.
func parseFile(f wire.File) (*ast.MappingNode, *Finding) {
	fail := func(line, column int, format string, args ...any) (*ast.MappingNode, *Finding) {
		return nil, &Finding{File: f.Name, Line: line, Column: column, Field: "(file)", Severity: SeverityError, Message: fmt.Sprintf(format, args...)}
	}
	if len(f.Content) > MaxFileBytes {
		return fail(1, 1, "the file has %d bytes, the limit is %d", len(f.Content), MaxFileBytes)
	}
	if n := countMarks(f.Content); n > maxMarks {
		return fail(1, 1, "the file has %d structural characters, the limit is %d; split it", n, maxMarks)
	}
	tokens := lexer.Tokenize(string(f.Content))
	if tk, msg := checkTokens(tokens); tk != nil {
		return fail(tk.Position.Line, tk.Position.Column, "%s", msg)
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		line, column, msg := 1, 1, err.Error()
		var ye yaml.Error
		if errors.As(err, &ye) {
			msg = ye.GetMessage()
			if tk := ye.GetToken(); tk != nil && tk.Position != nil {
				line, column = tk.Position.Line, tk.Position.Column
			}
		}
		return fail(line, column, "YAML syntax: %s", msg)
	}
	return topLevel(file, fail)
}

func topLevel(file *ast.File, fail func(int, int, string, ...any) (*ast.MappingNode, *Finding)) (*ast.MappingNode, *Finding) {
	var body ast.Node
	for _, d := range file.Docs {
		if d.Body == nil || d.Body.Type() == ast.NullType || d.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			tk := d.Body.GetToken()
			return fail(tk.Position.Line, tk.Position.Column, "a file may hold only one YAML document")
		}
		body = d.Body
	}
	if body == nil {
		return nil, nil
	}
	m := asMapping(body)
	if m == nil {
		tk := body.GetToken()
		return fail(tk.Position.Line, tk.Position.Column, "the file must be a mapping with lists such as models and endpoints")
	}
	return m, nil
}

func asMapping(n ast.Node) *ast.MappingNode {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n
	case *ast.MappingValueNode:
		return &ast.MappingNode{Start: n.Start, Values: []*ast.MappingValueNode{n}}
	}
	return nil
}

func countMarks(b []byte) int {
	n := 0
	for _, c := range b {
		switch c {
		case '[', ']', '{', '}', ',', ':', '-', '?', '\n', '&', '*', '!', '#', '|', '>':
			n++
		}
	}
	return n
}

// checkTokens refuses what could make the parser recurse deeply or expand: deep nesting, anchors, aliases, tags and
// complex keys.
func checkTokens(tokens token.Tokens) (*token.Token, string) {
	flow := 0
	var columns []int // columns of the open block collections and of the tokens before this one in its line
	for _, tk := range tokens {
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return tk, "anchors, aliases and merge keys are not supported; write the value out"
		case token.TagType, token.DirectiveType, token.MappingKeyType:
			return tk, "tags, directives and complex keys are not supported"
		case token.MappingStartType, token.SequenceStartType:
			flow++
		case token.MappingEndType, token.SequenceEndType:
			flow--
		case token.CommentType:
			continue
		}
		if flow == 0 {
			for len(columns) > 0 && columns[len(columns)-1] >= tk.Position.Column {
				columns = columns[:len(columns)-1]
			}
			columns = append(columns, tk.Position.Column)
		}
		if flow+len(columns) > maxDepth {
			return tk, fmt.Sprintf("nesting is deeper than %d levels", maxDepth)
		}
	}
	return nil, ""
}
