package host

import "sycamoredeal/internal/wire"

const (
	// editBlock is the length of the unchanged parts that are found between two edits. Shorter ones are sent again.
	editBlock = 16
	// minEditedMiddle is the length from which a changed part is searched for unchanged parts.
	minEditedMiddle = 256
	editOverhead    = 12 // bytes of an edit's numbers in a message
)

// makePatch returns the difference between two contents of an object. An operator's change often touches two places far apart:
// the version at the start and a field at the end.
func makePatch(before, after []byte) wire.ObjectPatch {
	shorter := min(len(before), len(after))
	prefix := 0
	for prefix < shorter && before[prefix] == after[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && before[len(before)-1-suffix] == after[len(after)-1-suffix] {
		suffix++
	}
	p := wire.ObjectPatch{Prefix: uint32(prefix), Suffix: uint32(suffix), Middle: after[prefix : len(after)-suffix]}
	if len(p.Middle) >= minEditedMiddle {
		edited := p
		edited.Middle, edited.Edits = nil, findEdits(before[prefix:len(before)-suffix], p.Middle)
		if patchSize(&edited) < patchSize(&p) {
			return edited
		}
	}
	return p
}

// findEdits returns the edits that turn one text into another. Where they differ, the texts are aligned again at the next block of
// the old one that occurs in the new one.
func findEdits(before, after []byte) []wire.PatchEdit {
	blocks := make(map[[editBlock]byte]int, len(before)/editBlock) // first position of each block
	for i := 0; i+editBlock <= len(before); i += editBlock {
		b := [editBlock]byte(before[i:])
		if _, known := blocks[b]; !known {
			blocks[b] = i
		}
	}
	var out []wire.PatchEdit
	i, j := 0, 0
	for {
		keep := 0
		for i+keep < len(before) && j+keep < len(after) && before[i+keep] == after[j+keep] {
			keep++
		}
		i, j = i+keep, j+keep
		if i == len(before) && j == len(after) {
			return out
		}
		next, end := len(before), len(after)
		for k := j; k+editBlock <= len(after); k++ {
			if at, ok := blocks[[editBlock]byte(after[k:])]; ok && at >= i {
				next, end = at, k
				break
			}
		}
		for next > i && end > j && before[next-1] == after[end-1] {
			next, end = next-1, end-1
		}
		out = append(out, wire.PatchEdit{Keep: uint32(keep), Skip: uint32(next - i), Insert: after[j:end]})
		i, j = next, end
	}
}

// patchSize returns the length of a patch's content in a message, in bytes.
func patchSize(p *wire.ObjectPatch) int {
	n := len(p.Middle)
	for i := range p.Edits {
		n += len(p.Edits[i].Insert) + editOverhead
	}
	return n
}

// applyPatch applies a patch from makePatch. ok is false if the patch does not fit the data.
func applyPatch(before []byte, p *wire.ObjectPatch) (after []byte, ok bool) {
	if uint64(p.Prefix)+uint64(p.Suffix) > uint64(len(before)) {
		return nil, false
	}
	start, end := int(p.Prefix), len(before)-int(p.Suffix)
	after = append(make([]byte, 0, len(before)+patchSize(p)), before[:start]...)
	if len(p.Edits) == 0 {
		after = append(after, p.Middle...)
		return append(after, before[end:]...), true
	}
	for _, e := range p.Edits {
		if uint64(e.Keep)+uint64(e.Skip) > uint64(end-start) {
			return nil, false
		}
		after = append(append(after, before[start:start+int(e.Keep)]...), e.Insert...)
		start += int(e.Keep) + int(e.Skip)
	}
	return append(after, before[start:]...), true
}
