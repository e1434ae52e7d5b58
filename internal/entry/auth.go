package entry

import (
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"sycamoredeal/internal/config"
)

const rankHeader = "X-Rank"

// authenticate returns the caller whose API key the request carries, or nil.
func authenticate(snap *config.Snapshot, c *app.RequestContext) *config.Caller {
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok {
		return nil
	}
	return snap.CallerByKey(key)
}

// chooseRank returns the rank that a request asks for, or the caller's default for an empty name. It returns nil if
// the caller may not use the rank or the rank is not declared.
func chooseRank(snap *config.Snapshot, caller *config.Caller, name string) *config.Rank {
	if len(caller.Ranks) == 0 {
		return nil
	}
	if name == "" {
		name = caller.Ranks[0]
	}
	if !slices.Contains(caller.Ranks, name) {
		return nil
	}
	return snap.Rank(name)
}

// mayUse tells whether a list of permitted callers includes one; an empty list permits all.
func mayUse(permitted []string, caller string) bool {
	return len(permitted) == 0 || slices.Contains(permitted, caller)
}

// mayUseModel tells whether a caller may use a model or adapter. An adapter without a list follows its model.
func mayUseModel(snap *config.Snapshot, name, caller string) bool {
	if m := snap.Model(name); m != nil {
		return mayUse(m.Callers, caller)
	}
	a := snap.Adapter(name)
	if a == nil {
		return false
	}
	if m := snap.Model(a.Model); m != nil && len(a.Callers) == 0 {
		return mayUse(m.Callers, caller)
	}
	return mayUse(a.Callers, caller)
}
