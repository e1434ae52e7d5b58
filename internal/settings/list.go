package settings

import "strings"

// List splits a comma-separated setting into its items. An empty setting has none.
func List(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
