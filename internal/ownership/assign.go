package ownership

import (
	"sort"

	"sycamoredeal/internal/rendezvous"
)

// Assign returns the cell of each endpoint: the first in the order of rendezvous weights among the cells of its region
// that has fewer than an equal share, rounded up. Endpoints of a region without cells are left out.
func Assign(endpoints, cells map[string]string) map[string]string {
	byRegion := make(map[string][]string)
	for c, region := range cells {
		byRegion[region] = append(byRegion[region], c)
	}
	names := make([]string, 0, len(endpoints))
	size := make(map[string]int)
	for name, region := range endpoints {
		names = append(names, name)
		size[region]++
	}
	sort.Strings(names)
	load := make(map[string]int)
	out := make(map[string]string, len(names))
	for _, name := range names {
		region := endpoints[name]
		n := len(byRegion[region])
		if n == 0 {
			continue
		}
		share := (size[region] + n - 1) / n
		for _, c := range rendezvous.Order(name, byRegion[region]) {
			if load[c] < share {
				out[name] = c
				load[c]++
				break
			}
		}
	}
	return out
}
