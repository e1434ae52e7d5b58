package ownership

import (
	"slices"
	"sort"
	"time"

	"sycamoredeal/internal/rendezvous"
)

// HomeCells is the number of cells that plan each model, if there are as many.
const HomeCells = 2

// Models decides which models a cell plans. A model is planned by its home cells, by a cell with much demand for it, and
// if no cell serves it by the other cells one after the other, until one has room.
type Models struct {
	Cell string
	// Wait is the time that one cell gets to load a model that no cell serves before the next one tries. It is above the
	// time in which a new copy appears in the directory that the others read.
	Wait time.Duration

	cells   []string
	homes   map[string][]string
	serving map[string][]string // other cells by model
	orphan  map[string]time.Time
	rank    map[string]int
}

// Update takes in the live cells, the own one included, and which cells serve a model according to the directory.
func (m *Models) Update(now time.Time, names, cells []string, directory map[string][]string) {
	cells = slices.Clone(cells)
	sort.Strings(cells)
	if !slices.Equal(cells, m.cells) || len(names) != len(m.homes) {
		m.cells, m.homes, m.rank = cells, make(map[string][]string, len(names)), make(map[string]int, len(names))
		for _, name := range names {
			order := rendezvous.Order(name, cells)
			m.rank[name] = slices.Index(order, m.Cell)
			m.homes[name] = order[:min(HomeCells, len(order))]
		}
	}
	m.serving = make(map[string][]string, len(directory))
	orphan := make(map[string]time.Time)
	for _, name := range names {
		m.serving[name] = slices.DeleteFunc(slices.Clone(directory[name]), func(c string) bool { return c == m.Cell || !slices.Contains(cells, c) })
		if len(m.serving[name]) > 0 {
			continue
		}
		if orphan[name] = now; !m.orphan[name].IsZero() {
			orphan[name] = m.orphan[name]
		}
	}
	m.orphan = orphan
}

// Planned tells whether the cell loads copies of a model.
func (m *Models) Planned(now time.Time, model string, hot bool) bool {
	homes, ok := m.homes[model]
	if !ok || hot || slices.Contains(homes, m.Cell) {
		return true
	}
	since, ok := m.orphan[model]
	return ok && now.Sub(since) >= time.Duration(m.rank[model]-len(homes)+1)*m.Wait
}

// Retired tells whether the cell unloads a model that it does not plan: all home cells serve it. Copies of other cells
// don't count, because those may be unloaded for the same reason.
func (m *Models) Retired(now time.Time, model string, hot bool) bool {
	if m.Planned(now, model, hot) {
		return false
	}
	for _, c := range m.homes[model] {
		if !slices.Contains(m.serving[model], c) {
			return false
		}
	}
	return true
}

// Elsewhere tells whether another live cell serves a name.
func (m *Models) Elsewhere(name string) bool { return len(m.serving[name]) > 0 }

// Expendable tells whether this cell may unload its last copy of a model that other cells serve too. Of the cells that
// serve it, the first in the order of rendezvous weights keeps it, so that two cells never unload the last copies.
func (m *Models) Expendable(model string) bool {
	all := append(slices.Clone(m.serving[model]), m.Cell)
	return len(all) > 1 && rendezvous.Pick(model, all) != m.Cell
}
