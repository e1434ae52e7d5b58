package host

import (
	"fmt"
	"os"
	"reflect"
	"sort"
	"strconv"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
)

// entryCodec reads the start time of an endpoint's process from its entry. Endpoints whose start time is a multiple of
// three are draining.
type entryCodec struct{ testCodec }

func (entryCodec) Kinds() (config, endpoints string) { return "config", "servers" }

func (entryCodec) Endpoint(o objects.Object) (fleet.Endpoint, error) {
	born, err := strconv.Atoi(string(o.Data))
	if err != nil {
		return fleet.Endpoint{}, errors.Annotate(err, "entry")
	}
	return fleet.Endpoint{ID: o.Name, StartUnixMs: int64(born), Draining: born%3 == 0}, nil
}

// TestViewFollowsEntries plays random entries, removals of entries, and announcements of endpoints that they leave. It
// guards against a view that differs from what the directory knows, since publishing a view applies only the changed
// entries.
func TestViewFollowsEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
		d := h.directory
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d.deleteEndpoint(name, "test")
			case 1:
				d.markLeaving(name, int64(rapid.IntRange(1, 4).Draw(t, "born")), "test")
			case 2:
				d.putEndpoint(objects.Object{Kind: "servers", Name: name, Version: fmt.Sprint(i), Data: []byte("bytes that can't be read")})
			default:
				d.putEndpoint(objects.Object{Kind: "servers", Name: name, Version: fmt.Sprint(i), Data: []byte(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "start")))})
			}
			if rapid.Bool().Draw(t, "publish") {
				d.publishView()
			}
		}
		d.publishView()
		var want []fleet.Endpoint
		for id, e := range d.endpoints {
			if born, leaving := d.leavingBorn[id]; leaving && born == e.StartUnixMs {
				e.Draining = true
			}
			want = append(want, e)
		}
		sort.Slice(want, func(i, j int) bool { return want[i].ID < want[j].ID })
		if got := d.view().Endpoints; len(got)+len(want) > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("view\n%v\nknown\n%v", got, want)
		}
	})
}
