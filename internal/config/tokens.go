package config

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// tokenChecker refuses what could make the parser recurse deeply, expand or take quadratic time.
type tokenChecker struct {
	flow     int               // depth of open [ and {
	columns  []int             // columns of the open block collections and of the tokens before this one in its line
	keys     map[int]int       // column of a block mapping -> its fields so far
	flowKeys [maxDepth + 1]int // depth of a flow collection -> its fields so far
}

// checkTokens returns the first token that is refused and the reason, or nil.
func checkTokens(tokens token.Tokens) (*token.Token, string) {
	c := tokenChecker{keys: make(map[int]int)}
	for i, tk := range tokens {
		if tk.Type == token.CommentType {
			continue
		}
		if msg := c.refused(tk); msg != "" {
			return tk, msg
		}
		if c.nest(tk) > maxDepth {
			return tk, fmt.Sprintf("nesting is deeper than %d levels", maxDepth)
		}
		if tk.Type == token.MappingValueType && i > 0 && c.countKey(tokens[i-1].Position.Column) > maxKeys {
			return tk, fmt.Sprintf("a mapping has more than %d fields", maxKeys)
		}
	}
	return nil, ""
}

func (c *tokenChecker) refused(tk *token.Token) string {
	switch tk.Type {
	case token.InvalidType:
		return "YAML syntax: " + tk.Error
	case token.AnchorType, token.AliasType, token.MergeKeyType:
		return "anchors, aliases and merge keys are not supported; write the value out"
	case token.TagType, token.DirectiveType, token.MappingKeyType:
		return "tags, directives and complex keys are not supported"
	case token.SequenceEntryType:
		if c.flow > 0 {
			return "a list inside [ ] or { } takes no dash"
		}
	}
	return ""
}

// nest follows the nesting and returns its depth. Each block level has a larger column than the one around it.
func (c *tokenChecker) nest(tk *token.Token) int {
	switch tk.Type {
	case token.MappingStartType, token.SequenceStartType:
		c.flow++
		if c.flow > 0 && c.flow <= maxDepth {
			c.flowKeys[c.flow] = 0
		}
	case token.MappingEndType, token.SequenceEndType:
		c.flow = max(0, c.flow-1)
	}
	if c.flow <= 0 {
		column := tk.Position.Column
		for n := len(c.columns); n > 0 && c.columns[n-1] >= column; n = len(c.columns) {
			if c.columns[n-1] > column {
				delete(c.keys, c.columns[n-1])
			}
			c.columns = c.columns[:n-1]
		}
		c.columns = append(c.columns, column)
	}
	return c.flow + len(c.columns)
}

// countKey returns the number of fields of the current mapping with the one whose key has the given column.
func (c *tokenChecker) countKey(column int) int {
	if c.flow <= 0 {
		c.keys[column]++
		return c.keys[column]
	}
	c.flowKeys[c.flow]++
	return c.flowKeys[c.flow]
}
