package copies

import "time"

// Adapter identifies an adapter by its model and its name.
type Adapter struct{ Model, Name string }

// AdapterToEvict returns the adapter to unload at an endpoint whose adapter slots are all taken: the least recently used
// one that no request uses. ok is false if requests use all of them.
func AdapterToEvict(lastUsed map[Adapter]time.Duration, inUse map[Adapter]bool) (victim Adapter, ok bool) {
	for a, at := range lastUsed {
		if inUse[a] {
			continue
		}
		if !ok || at < lastUsed[victim] || at == lastUsed[victim] && (a.Model+"/"+a.Name) < (victim.Model+"/"+victim.Name) {
			victim, ok = a, true
		}
	}
	return victim, ok
}
