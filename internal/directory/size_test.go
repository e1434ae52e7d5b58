package directory

import (
	"encoding/json"
	"fmt"
	"testing"

	"sycamoredeal/internal/wire"
)

// TestObjectSize guards against a directory object near the platform's limit of 1 MB at the target size.
func TestObjectSize(t *testing.T) {
	var d Directory
	for c := range 20 {
		var models []string
		for m := range 2000 {
			if m%20 == c || (m+7)%20 == c || (m+13)%20 == c {
				models = append(models, fmt.Sprintf("a-model-with-a-long-name-%04d", m))
			}
		}
		var members []wire.Member
		for h := range 17 {
			members = append(members, wire.Member{Host: fmt.Sprintf("entry-host-%02d-%02d", c, h), Zone: "nodo-duitama", Incarnation: 1 << 62,
				ControlAddress: "10.100.100.100:17001", EntryAddress: "10.100.100.100:17002", CallerAddress: "10.100.100.100:17003"})
		}
		d, _ = Merge(d, fmt.Sprintf("cell-%02d", c), models, members)
	}
	b, err := json.Marshal(d)
	if err != nil || len(d.Models) != 2000 || len(b) > 400<<10 {
		t.Fatalf("%d models, %d bytes, %v", len(d.Models), len(b), err)
	}
	t.Logf("%d bytes", len(b))
}
