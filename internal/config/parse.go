package config

import (
	"bytes"
	"fmt"
	"regexp"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
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
	// maxKeys bounds the fields of one mapping: the parser takes quadratic time for them, 4 s for 40,000. Declarations
	// need 10.
	maxKeys = 100
)

// blockScalar matches the start of a literal or folded text, for which the lexer takes quadratic time.
var blockScalar = regexp.MustCompile(`(?m)^(?:[^#\n]|[^\s#]#)*?(?:^|[ \t])[|>][-+0-9]*(?:[ \t#\r]|$)`)

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
	if line, column := badCharacter(f.Content); line > 0 {
		return fail(line, column, "a control character or a character that is not UTF-8")
	}
	if at := blockScalar.FindIndex(f.Content); at != nil {
		return fail(1+bytes.Count(f.Content[:at[0]], []byte("\n")), 1, "text blocks with | or > are not supported; write the text in quotes")
	}
	tokens := lexer.Tokenize(string(f.Content))
	if tk, msg := checkTokens(tokens); tk != nil {
		return fail(tk.Position.Line, tk.Position.Column, "%s", msg)
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		// The error's own text quotes the source, which takes quadratic time for a long line.
		line, column, msg := 1, 1, "the file cannot be parsed"
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

// badCharacter returns the line and column of the first character that a declaration may not hold, or 0. The lexer takes
// quadratic time for carriage returns that end no line.
func badCharacter(b []byte) (line, column int) {
	line, start := 1, 0
	for i := 0; i < len(b); {
		r, size := utf8.DecodeRune(b[i:])
		switch {
		case r == '\n':
			line, start = line+1, i+1
		case r == '\t' || r == '\r' && i+1 < len(b) && b[i+1] == '\n':
		case r < ' ' || r == 0x7f || r == utf8.RuneError && size == 1:
			return line, i - start + 1
		}
		i += size
	}
	return 0, 0
}

func countMarks(b []byte) int {
	n := 0
	for _, c := range b {
		switch c {
		case '[', ']', '{', '}', ',', ':', '-', '?', '\n', '&', '*', '!', '#', '|', '>', '"', '\'', '%', '@', '`':
			n++
		}
	}
	return n
}
