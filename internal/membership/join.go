package membership

import (
	"fmt"
	"slices"
	"sort"

	"sycamoredeal/internal/wire"
)

// MaxCell is the number of hosts up to which hosts join a cell by themselves. 20 hosts that exchange a heartbeat of 40
// bytes a second cost each 760 B/s of the 2 KB/s that control may use.
const MaxCell = 20

// Roster is the content of a cell's roster object.
type Roster struct {
	Region  string        `json:"region,omitempty"`
	Members []wire.Member `json:"members"`
}

// Join returns the cell that a host should join: the one that has it already, else the first of its region with room.
// That may be a new cell. member tells that the host is in the cell's roster.
func Join(rosters map[string]Roster, host, region string) (cell string, member bool) {
	names := make([]string, 0, len(rosters))
	for name := range rosters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := rosters[name]
		if r.Region != region {
			continue
		}
		if slices.ContainsFunc(r.Members, func(m wire.Member) bool { return m.Host == host }) {
			return name, true
		}
		if cell == "" && len(r.Members) < MaxCell {
			cell = name
		}
	}
	if cell != "" {
		return cell, false
	}
	for n := 1; ; n++ {
		name := fmt.Sprint("cell-", n)
		if region != "" {
			name = fmt.Sprintf("%s-cell-%d", region, n)
		}
		if _, ok := rosters[name]; !ok {
			return name, false
		}
	}
}
