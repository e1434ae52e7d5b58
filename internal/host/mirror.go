package host

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/wire"
)

// mirror holds the objects of the store that make up the view, by kind and name, and computes what other hosts lack of
// them. It is not safe for concurrent use.
//
// Hosts compare a digest of each kind with the dispatcher's. Equal digests mean equal objects, so a host that turns to
// another dispatcher gets only what it lacks: the whole view for each of a hundred hosts would fill the dispatcher's link
// for seconds.
type mirror map[string]map[string]mirroredObject

// mirroredObject is an object with what summaries need of it.
type mirroredObject struct {
	objects.Object
	revision uint64
	hash     uint64 // of name and version
}

// maxPatchShare is the share of an object's size up to which a change travels as a patch.
const maxPatchShare = 0.5

// put stores an object and returns the update that tells other hosts of it, or nil if its version is the known one.
func (m mirror) put(o objects.Object) *wire.ViewUpdate {
	if m[o.Kind] == nil {
		m[o.Kind] = make(map[string]mirroredObject)
	}
	old, known := m[o.Kind][o.Name]
	if known && old.Version == o.Version {
		return nil
	}
	m[o.Kind][o.Name] = mirroredObject{o, parseRevision(o.Version), xxhash.Sum64String(o.Name + " " + o.Version)}
	if known {
		if p := makePatch(old.Data, o.Data); float64(len(p.Middle)) < maxPatchShare*float64(len(o.Data)) {
			p.Name, p.From, p.Version = o.Name, old.Version, o.Version
			return &wire.ViewUpdate{Of: o.Kind, Patches: []wire.ObjectPatch{p}}
		}
	}
	return &wire.ViewUpdate{Of: o.Kind, Objects: []wire.StoredObject{toStoredObject(o)}}
}

// remove forgets an object and returns the update that tells other hosts of it.
func (m mirror) remove(kind, name string) *wire.ViewUpdate {
	delete(m[kind], name)
	return &wire.ViewUpdate{Of: kind, Removed: []string{name}}
}

// missing returns the names of a kind's objects that a list does not show.
func (m mirror) missing(kind string, listed map[string]bool) []string {
	var out []string
	for name := range m[kind] {
		if !listed[name] {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// makePatch returns the bytes between the common ends of two versions of an object's data.
func makePatch(before, after []byte) wire.ObjectPatch {
	least := min(len(before), len(after))
	prefix := 0
	for prefix < least && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < least-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	return wire.ObjectPatch{Prefix: uint32(prefix), Suffix: uint32(suffix), Middle: after[prefix : len(after)-suffix]}
}

// applyPatch undoes diff. ok is false for a patch that does not fit the data.
func applyPatch(before []byte, p *wire.ObjectPatch) (after []byte, ok bool) {
	if uint64(p.Prefix)+uint64(p.Suffix) > uint64(len(before)) {
		return nil, false
	}
	after = make([]byte, 0, int(p.Prefix)+len(p.Middle)+int(p.Suffix))
	after = append(after, before[:p.Prefix]...)
	after = append(after, p.Middle...)
	return append(after, before[len(before)-int(p.Suffix):]...), true
}

// summary returns the digest of a kind, and its newest version.
func (m mirror) summary(kind string) wire.ViewSummary {
	s := wire.ViewSummary{Of: kind}
	for _, o := range m[kind] {
		s.Digest += o.hash // the sum does not depend on the order of the map
		s.Newest = max(s.Newest, o.revision)
	}
	return s
}

// summaries returns the summaries of all kinds.
func (m mirror) summaries() []wire.ViewSummary {
	var out []wire.ViewSummary
	for kind := range m {
		out = append(out, m.summary(kind))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Of < out[j].Of })
	return out
}

// updateSince returns what a host lacks whose newest version of a kind is given: newer objects, and the names of all.
func (m mirror) updateSince(kind string, newest uint64) *wire.ViewUpdate {
	u := &wire.ViewUpdate{Of: kind, Whole: true}
	for name, o := range m[kind] {
		u.Names = append(u.Names, name)
		if o.revision > newest {
			u.Objects = append(u.Objects, toStoredObject(o.Object))
		}
	}
	sort.Strings(u.Names)
	return u
}

// resolve returns the objects of an update that are newer than the known ones, and the names of those that are gone. ok
// is false if a patch does not fit: the kind has to be read.
func (m mirror) resolve(u *wire.ViewUpdate) (news []objects.Object, gone []string, ok bool) {
	ok = true
	for _, s := range u.Objects {
		if known, there := m[u.Of][s.Name]; !there || isNewer(s.Version, known.Version) {
			news = append(news, objects.Object{Kind: s.Kind, Name: s.Name, Version: s.Version, Data: s.Data})
		}
	}
	for i := range u.Patches {
		p := &u.Patches[i]
		known, there := m[u.Of][p.Name]
		if there && !isNewer(p.Version, known.Version) {
			continue
		}
		data, fits := applyPatch(known.Data, p)
		if !there || known.Version != p.From || !fits {
			ok = false
			continue
		}
		news = append(news, objects.Object{Kind: u.Of, Name: p.Name, Version: p.Version, Data: data})
	}
	gone = u.Removed
	if u.Whole {
		names := make(map[string]bool, len(u.Names))
		for _, name := range u.Names {
			names[name] = true
		}
		gone = append(gone, m.missing(u.Of, names)...)
	}
	return news, gone, ok
}

// mergeUpdates joins updates of the same kind, in their order, as long as no object is in one of them twice and it has no more
// than a number of bytes. Whole lists stay by themselves.
func mergeUpdates(updates []*wire.ViewUpdate, most float64) []*wire.ViewUpdate {
	var out []*wire.ViewUpdate
	open := make(map[string]*wire.ViewUpdate) // by kind
	names := make(map[string]map[string]bool)
	for _, u := range updates {
		into, own := open[u.Of], objectNames(u)
		if into == nil || float64(updateSize(into)+updateSize(u)) > most || u.Whole || u.Fetch || into.Whole || into.Fetch || containsAny(names[u.Of], own) {
			c := *u
			out = append(out, &c)
			open[u.Of], names[u.Of] = &c, make(map[string]bool)
		} else {
			into.Objects = append(slices.Clip(into.Objects), u.Objects...)
			into.Patches = append(slices.Clip(into.Patches), u.Patches...)
			into.Removed = append(slices.Clip(into.Removed), u.Removed...)
		}
		for _, n := range own {
			names[u.Of][n] = true
		}
	}
	return out
}

// objectNames returns the names of the objects that an update tells of.
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

func containsAny(names map[string]bool, of []string) bool {
	return slices.ContainsFunc(of, func(n string) bool { return names[n] })
}

// updateSize estimates the bytes of an update.
func updateSize(u *wire.ViewUpdate) int {
	n := 0
	for i := range u.Objects {
		n += len(u.Objects[i].Data) + len(u.Objects[i].Name)
	}
	for i := range u.Patches {
		n += len(u.Patches[i].Middle) + len(u.Patches[i].Name)
	}
	for _, name := range u.Names {
		n += len(name)
	}
	return n
}

func toStoredObject(o objects.Object) wire.StoredObject {
	return wire.StoredObject{Kind: o.Kind, Name: o.Name, Version: o.Version, Data: o.Data}
}

// parseRevision reads a version, which is a revision of the store; 0 if it is none.
func parseRevision(version string) uint64 {
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// isNewer compares versions of objects.
func isNewer(a, b string) bool {
	x, y := parseRevision(a), parseRevision(b)
	return x == 0 || y == 0 || x > y
}
