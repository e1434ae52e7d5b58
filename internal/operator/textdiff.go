package operator

import "strings"

// maxDiffLines bounds the quadratic comparison of two files.
const maxDiffLines = 2000

// lineDiff returns the removed and added lines that turn a into b, each with its prefix "-" or "+".
func lineDiff(a, b string) []string {
	x, y := splitLines(a), splitLines(b)
	for len(x) > 0 && len(y) > 0 && x[0] == y[0] {
		x, y = x[1:], y[1:]
	}
	for len(x) > 0 && len(y) > 0 && x[len(x)-1] == y[len(y)-1] {
		x, y = x[:len(x)-1], y[:len(y)-1]
	}
	if len(x) > maxDiffLines || len(y) > maxDiffLines {
		return []string{"(too many changed lines to show)"}
	}
	return walk(x, y, commonLengths(x, y))
}

// commonLengths returns the length of the longest common subsequence of x[i:] and y[j:].
func commonLengths(x, y []string) [][]int32 {
	l := make([][]int32, len(x)+1)
	for i := range l {
		l[i] = make([]int32, len(y)+1)
	}
	for i := len(x) - 1; i >= 0; i-- {
		for j := len(y) - 1; j >= 0; j-- {
			if x[i] == y[j] {
				l[i][j] = l[i+1][j+1] + 1
			} else {
				l[i][j] = max(l[i+1][j], l[i][j+1])
			}
		}
	}
	return l
}

func walk(x, y []string, l [][]int32) []string {
	var out []string
	i, j := 0, 0
	for i < len(x) || j < len(y) {
		switch {
		case i < len(x) && j < len(y) && x[i] == y[j]:
			i, j = i+1, j+1
		case j == len(y) || i < len(x) && l[i+1][j] >= l[i][j+1]:
			out = append(out, "-"+x[i])
			i++
		default:
			out = append(out, "+"+y[j])
			j++
		}
	}
	return out
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}
