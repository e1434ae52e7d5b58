package host

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// mirror holds the objects of the store that make up the view, by kind and name, and computes which of them other hosts
// lack. It is not safe for concurrent use.
//
// Hosts compare a digest of each kind with the dispatcher's. Equal digests mean equal objects, so a host that turns to
// another dispatcher gets only the objects that it lacks: the full view for each of a hundred hosts would fill the
// dispatcher's link for seconds.
//
// Objects and removals come from this host's own calls and from other hosts, in any order and more than once. Each has a
// position in the store's order of changes, and one that is older than what is known has no effect.
type mirror map[string]*mirroredKind

// mirroredKind holds the objects of one kind.
type mirroredKind struct {
	objects    map[string]mirroredObject
	tombstones tombstones
	// position is the highest position up to which all changes are known, 0 if there is none.
	position uint64
}

// mirroredObject is an object with the values that summaries are computed from.
type mirroredObject struct {
	objects.Object
	revision uint64 // of the version
	hash     uint64 // of name and version
}

// maxPatchShare is the share of an object's size below which a change is sent as a patch.
const maxPatchShare = 0.5

// add adds a kind without objects, so that it has a summary. Other hosts can't tell otherwise that there are none. It returns
// the kind.
func (m mirror) add(kind string) *mirroredKind {
	if m[kind] == nil {
		m[kind] = &mirroredKind{objects: make(map[string]mirroredObject), tombstones: newTombstones()}
	}
	return m[kind]
}

// object returns an object, if the mirror has it.
func (m mirror) object(kind, name string) (mirroredObject, bool) {
	if k := m[kind]; k != nil {
		o, ok := k.objects[name]
		return o, ok
	}
	return mirroredObject{}, false
}

// count returns the number of objects of a kind.
func (m mirror) count(kind string) int {
	if k := m[kind]; k != nil {
		return len(k.objects)
	}
	return 0
}

// isOutdated reports whether an object that the store showed at a position is older than what is known of it: a newer
// version, or that it was gone later. shownAt is 0 if only the object's version is known. A version without an order is not
// outdated.
func (m mirror) isOutdated(kind, name, version string, shownAt uint64) bool {
	k, revision := m[kind], parseRevision(version)
	if k == nil || revision == 0 {
		return false
	}
	known, exists := k.objects[name]
	if exists && revision < known.revision {
		return true
	}
	deletedAt := k.tombstones.byName[name].position
	if !exists {
		deletedAt = max(deletedAt, k.tombstones.forgotten, k.position)
	}
	return max(revision, shownAt) <= deletedAt
}

// put stores an object that the store showed at a position, and returns the update for other hosts, or nil if the mirror has
// this version already.
func (m mirror) put(o objects.Object, shownAt uint64) *wire.ViewUpdate {
	k := m.add(o.Kind)
	delete(k.tombstones.byName, o.Name)
	old, known := k.objects[o.Name]
	if known && old.Version == o.Version {
		return nil
	}
	k.objects[o.Name] = mirroredObject{o, parseRevision(o.Version), xxhash.Sum64String(o.Name + " " + o.Version)}
	if known {
		if p := makePatch(old.Data, o.Data); float64(patchSize(&p)) < maxPatchShare*float64(len(o.Data)) {
			p.Name, p.From, p.Version = o.Name, old.Version, o.Version
			return &wire.ViewUpdate{ObjectKind: o.Kind, Patches: []wire.ObjectPatch{p}}
		}
	}
	return &wire.ViewUpdate{ObjectKind: o.Kind, Objects: []wire.StoredObject{toStoredObject(o)}}
}

// markDeleted records that the store lacked an object at a position; 0 stands for that of the known version. It returns false
// if what is known of the object is newer. The object stays until remove is called.
func (m mirror) markDeleted(kind, name string, position uint64, now time.Time) bool {
	k := m.add(kind)
	known, exists := k.objects[name]
	if exists && position > 0 && known.revision > position {
		return false
	}
	k.tombstones.record(name, max(position, known.revision), now)
	return true
}

// remove removes an object, and returns the update for other hosts, or nil if the mirror does not
// have the object. A relay and its dispatcher forward updates to each other, so a removal that is already known must not make
// another one.
func (m mirror) remove(kind, name string, now time.Time) *wire.ViewUpdate {
	known, exists := m.object(kind, name)
	if !exists {
		return nil
	}
	k := m[kind]
	delete(k.objects, name)
	k.tombstones.record(name, known.revision, now)
	u := &wire.ViewUpdate{ObjectKind: kind, Removed: []string{name}, RemovedAt: []uint64{k.tombstones.byName[name].position}}
	m.advance(kind, 0)
	return u
}

// advance records that all changes of a kind up to a position are known: whatever the mirror lacks was absent then.
func (m mirror) advance(kind string, position uint64) {
	k := m.add(kind)
	k.position = max(k.position, position)
	for name, a := range k.tombstones.byName {
		if _, kept := k.objects[name]; !kept && a.position <= k.position {
			delete(k.tombstones.byName, name)
		}
	}
}

// missing returns the sorted names of a kind's objects that are not in listed and not newer than position, the store's when it
// made the list; 0 stands for no limit.
func (m mirror) missing(kind string, listed map[string]bool, position uint64) []string {
	var out []string
	if k := m[kind]; k != nil {
		for name, o := range k.objects {
			if !listed[name] && (position == 0 || o.revision <= position) {
				out = append(out, name)
			}
		}
	}
	sort.Strings(out)
	return out
}

// unlisted returns the sorted names of a kind's objects that are missing in a list. Objects of the view that came from a seed
// are not in the mirror.
func unlisted[V any](m mirror, kind string, view map[string]V, listed map[string]bool, position uint64) []string {
	out := m.missing(kind, listed, position)
	for name := range view {
		if _, mirrored := m.object(kind, name); !mirrored && !listed[name] {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// summary returns the digest of a kind and its highest revision.
func (m mirror) summary(kind string) wire.ViewSummary {
	s := wire.ViewSummary{Of: kind}
	k := m[kind]
	if k == nil {
		return s
	}
	s.Position = k.position
	for _, o := range k.objects {
		s.Digest += o.hash // a sum, as it does not depend on the order of the map
		s.Newest = max(s.Newest, o.revision)
	}
	return s
}

// summaries returns the summaries of all kinds, sorted by kind.
func (m mirror) summaries() []wire.ViewSummary {
	var out []wire.ViewSummary
	for kind := range m {
		out = append(out, m.summary(kind))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Of < out[j].Of })
	return out
}

// updateSince returns the update for a host whose highest revision of a kind is newest: the objects with a higher one,
// the names of all objects, by which the host notices those that were removed, and the removals that Position does not cover.
func (m mirror) updateSince(kind string, newest uint64) *wire.ViewUpdate {
	u := &wire.ViewUpdate{ObjectKind: kind, Complete: true}
	k := m[kind]
	if k == nil {
		return u
	}
	u.Position = k.position
	for name, o := range k.objects {
		u.Names = append(u.Names, name)
		if o.revision > newest {
			u.Objects = append(u.Objects, toStoredObject(o.Object))
		}
	}
	for name, a := range k.tombstones.byName {
		if _, kept := k.objects[name]; !kept {
			u.Removed, u.RemovedAt = append(u.Removed, name), append(u.RemovedAt, a.position)
		}
	}
	sort.Strings(u.Names)
	return u
}

// removal is an object that was gone at a position of the store, 0 if it is not known.
type removal struct {
	name     string
	position uint64
}

// removalsIn returns the removals that an update states by themselves.
func removalsIn(u *wire.ViewUpdate) []removal {
	var out []removal
	for i, name := range u.Removed {
		r := removal{name: name}
		if i < len(u.RemovedAt) {
			r.position = u.RemovedAt[i]
		}
		out = append(out, r)
	}
	return out
}

// resolve returns the objects of an update that are newer than what is known, and the removed objects.
// ok is false if a patch does not fit: the kind then has to be read from the store.
func (m mirror) resolve(u *wire.ViewUpdate) (newObjects []objects.Object, removed []removal, ok bool) {
	ok = true
	for _, s := range u.Objects {
		known, exists := m.object(u.ObjectKind, s.Name)
		if exists && !isNewer(s.Version, known.Version) || m.isOutdated(u.ObjectKind, s.Name, s.Version, u.Position) {
			continue
		}
		newObjects = append(newObjects, objects.Object{Kind: s.Kind, Name: s.Name, Version: s.Version, Data: s.Data})
	}
	for i := range u.Patches {
		p := &u.Patches[i]
		known, exists := m.object(u.ObjectKind, p.Name)
		if exists && !isNewer(p.Version, known.Version) || m.isOutdated(u.ObjectKind, p.Name, p.Version, 0) {
			continue
		}
		data, fits := applyPatch(known.Data, p)
		if !exists || known.Version != p.From || !fits {
			ok = false
			continue
		}
		newObjects = append(newObjects, objects.Object{Kind: u.ObjectKind, Name: p.Name, Version: p.Version, Data: data})
	}
	removed = removalsIn(u)
	if u.Complete && u.Position > 0 {
		for _, name := range m.missing(u.ObjectKind, namesIn(u), u.Position) {
			removed = append(removed, removal{name, u.Position})
		}
	}
	return newObjects, removed, ok
}

// namesIn returns the names that a full update lists.
func namesIn(u *wire.ViewUpdate) map[string]bool {
	names := make(map[string]bool, len(u.Names))
	for _, name := range u.Names {
		names[name] = true
	}
	return names
}

// mergeUpdates joins updates of the same kind in their order. A joined update names no object twice and has no more
// than maxBytes bytes. Full lists and announcements of long changes are not joined with others.
func mergeUpdates(updates []*wire.ViewUpdate, maxBytes float64) []*wire.ViewUpdate {
	var out []*wire.ViewUpdate
	last := make(map[string]*wire.ViewUpdate) // the update that others may be joined to, by kind
	names := make(map[string]map[string]bool) // of the objects in it, by kind
	for _, u := range updates {
		into, added := last[u.ObjectKind], objectNames(u)
		if into == nil || float64(updateSize(into)+updateSize(u)) > maxBytes || u.Complete || u.Fetch || into.Complete || into.Fetch || containsAny(names[u.ObjectKind], added) {
			c := *u
			c.RemovedAt = nil // as long as Removed
			for _, r := range removalsIn(u) {
				c.RemovedAt = append(c.RemovedAt, r.position)
			}
			out = append(out, &c)
			last[u.ObjectKind], names[u.ObjectKind] = &c, make(map[string]bool)
		} else {
			into.Objects = append(slices.Clip(into.Objects), u.Objects...)
			into.Patches = append(slices.Clip(into.Patches), u.Patches...)
			for _, r := range removalsIn(u) {
				into.Removed, into.RemovedAt = append(slices.Clip(into.Removed), r.name), append(slices.Clip(into.RemovedAt), r.position)
			}
		}
		for _, n := range added {
			names[u.ObjectKind][n] = true
		}
	}
	return out
}

// objectNames returns the names of the objects that an update changes or removes.
func objectNames(u *wire.ViewUpdate) []string {
	var out []string
	for i := range u.Objects {
		out = append(out, u.Objects[i].Name)
	}
	for i := range u.Patches {
		out = append(out, u.Patches[i].Name)
	}
	return append(out, u.Removed...)
}

// containsAny reports whether a set has any of some names.
func containsAny(set map[string]bool, names []string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return set[n] })
}

// updateSize estimates the size of an update in bytes.
func updateSize(u *wire.ViewUpdate) int {
	n := 0
	for i := range u.Objects {
		n += len(u.Objects[i].Data) + len(u.Objects[i].Name)
	}
	for i := range u.Patches {
		n += patchSize(&u.Patches[i]) + len(u.Patches[i].Name)
	}
	for _, name := range u.Names {
		n += len(name)
	}
	return n
}

func toStoredObject(o objects.Object) wire.StoredObject {
	return wire.StoredObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}

// parseRevision returns the revision of the store that a version stands for, or 0 if it is not a number.
func parseRevision(version string) uint64 {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// isNewer reports whether version a is newer than b. It is true if either is not a revision, as their order is not
// known.
func isNewer(a, b string) bool {
	x, y := parseRevision(a), parseRevision(b)
	return x == 0 || y == 0 || x > y
}
