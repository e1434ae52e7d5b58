// Package directory describes the directory object: which cells serve a model and which hosts a cell consists of.
package directory

import (
	"slices"
	"sort"

	"sycamoredeal/internal/wire"
)

// Name is the name of the one directory object.
const Name = "directory"

// Directory is the content of the object. The holder of each cell's lease writes its own cell's part.
type Directory struct {
	Models map[string][]string      `json:"models"` // model or adapter -> cells in the order of their names
	Cells  map[string][]wire.Member `json:"cells"`  // cell -> members in the order of their names
}

// Merge returns d with one cell's part replaced, and whether that changes anything. It does not modify d.
func Merge(d Directory, cell string, models []string, members []wire.Member) (Directory, bool) {
	out := Directory{Models: make(map[string][]string), Cells: make(map[string][]wire.Member)}
	serves := make(map[string]bool)
	for _, m := range models {
		serves[m] = true
	}
	changed := !slices.Equal(d.Cells[cell], members)
	for m, cells := range d.Models {
		if slices.Contains(cells, cell) && !serves[m] {
			changed = true
		}
		kept := slices.DeleteFunc(slices.Clone(cells), func(c string) bool { return c == cell })
		if len(kept) > 0 {
			out.Models[m] = kept
		}
	}
	for m := range serves {
		changed = changed || !slices.Contains(d.Models[m], cell)
		out.Models[m] = append(out.Models[m], cell)
		sort.Strings(out.Models[m])
	}
	for c, ms := range d.Cells {
		out.Cells[c] = ms
	}
	out.Cells[cell] = members
	return out, changed
}

// Remove returns d without the parts of cells, and whether that changes anything. It does not modify d.
func Remove(d Directory, cells map[string]bool) (Directory, bool) {
	changed := false
	for c := range cells {
		if _, ok := d.Cells[c]; ok {
			d, _ = Merge(d, c, nil, nil)
			delete(d.Cells, c)
			changed = true
		}
	}
	return d, changed
}

// Others returns the part of d that an entry of a cell needs to forward requests, in the order of names.
func Others(d Directory, cell string) *wire.DirectoryUpdate {
	u := &wire.DirectoryUpdate{}
	for m, cells := range d.Models {
		others := slices.DeleteFunc(slices.Clone(cells), func(c string) bool { return c == cell })
		if len(others) > 0 {
			u.Models = append(u.Models, wire.ModelCells{Model: m, Cells: others})
		}
	}
	for c, members := range d.Cells {
		if c != cell {
			u.Cells = append(u.Cells, wire.CellMembers{Cell: c, Members: members})
		}
	}
	sort.Slice(u.Models, func(i, j int) bool { return u.Models[i].Model < u.Models[j].Model })
	sort.Slice(u.Cells, func(i, j int) bool { return u.Cells[i].Cell < u.Cells[j].Cell })
	return u
}
