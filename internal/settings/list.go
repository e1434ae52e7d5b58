package settings

import "strings"

// List splits a comma-separated setting; an empty one gives no items.
func List(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
