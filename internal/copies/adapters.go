package copies

import "time"

// Adapter is an adapter of a model.
type Adapter struct{ Model, Name string }

// AdapterToEvict returns the adapter to unload at an endpoint whose places are full: the one that was used longest ago among
// those that no request uses. ok is false if all are in use.
func AdapterToEvict(used map[Adapter]time.Duration, busy map[Adapter]bool) (victim Adapter, ok bool) {
	for a, at := range used {
		if busy[a] {
			continue
		}
		if !ok || at < used[victim] || at == used[victim] && (a.Model+"/"+a.Name) < (victim.Model+"/"+victim.Name) {
			victim, ok = a, true
		}
	}
	return victim, ok
}
