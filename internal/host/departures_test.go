package host

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/fleet"
	"sycamoredeal/internal/objects"
	"sycamoredeal/internal/telemetry"
	"sycamoredeal/internal/wire"
)

// writesCodec decodes entries of the form BORN/WRITES/STATE.
type writesCodec struct{ entryCodec }

func (writesCodec) Endpoint(o objects.Object) (fleet.Endpoint, error) {
	e := fleet.Endpoint{ID: o.Name}
	state := ""
	_, err := fmt.Sscanf(strings.ReplaceAll(string(o.Data), "/", " "), "%d %d %s", &e.StartUnixMs, &e.Writes, &state)
	e.Draining = state == "draining"
	return e, err
}

// TestOlderEntriesAfterRestore guards against going back to what a store that has returned from an older copy says of endpoints:
// one that leaves is used again, as is one that has gone, and one that has joined is dropped although its entry is about to
// return (DRAIN, LOST).
func TestOlderEntriesAfterRestore(t *testing.T) {
	newDirectory := func() *directory {
		return New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: writesCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")}).directory
	}
	put := func(d *directory, generation, revision uint64, data string) {
		d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Objects: []wire.StoredObject{
			{Kind: "servers", Name: "e0", Version: objects.MakeVersion(generation, revision), Data: []byte(data)}}})
	}
	remove := func(d *directory) { d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Removed: []string{"e0"}}) }
	const ready, draining, gone = "ready", "draining", "gone"
	state := func(d *directory) string {
		switch e := d.view().Endpoint("e0"); {
		case e == nil:
			return gone
		case e.Draining:
			return draining
		}
		return ready
	}
	for _, c := range []struct {
		name string
		play func(d *directory)
		want string
	}{
		{"leaves, older entry", func(d *directory) { put(d, 1, 50, "7/5/draining"); put(d, 2, 20, "7/3/ready") }, draining},
		{"leaves, older entry, then a newer one", func(d *directory) {
			put(d, 1, 50, "7/5/draining")
			put(d, 2, 20, "7/3/ready")
			put(d, 2, 21, "7/6/ready")
		}, ready},
		{"leaves, entry of another process", func(d *directory) { put(d, 1, 50, "7/5/draining"); put(d, 2, 20, "8/1/ready") }, ready},
		{"gone, older entry", func(d *directory) { put(d, 1, 50, "7/5/ready"); remove(d); put(d, 2, 20, "7/5/ready") }, gone},
		{"gone, older entry, still listed later", func(d *directory) {
			put(d, 1, 50, "7/5/ready")
			remove(d)
			put(d, 2, 20, "7/5/ready")
			d.deleteAfterGrace(time.Now().Add(departureHold + time.Second))
		}, ready},
		{"gone, older entry, then a newer one", func(d *directory) {
			put(d, 1, 50, "7/5/ready")
			remove(d)
			put(d, 2, 20, "7/5/ready")
			put(d, 2, 21, "7/6/ready")
		}, ready},
		{"gone and back without a restore", func(d *directory) { put(d, 1, 50, "7/5/ready"); remove(d); put(d, 1, 51, "7/5/ready") }, ready},
		{"joined, then not listed", func(d *directory) {
			put(d, 1, 50, "7/1/ready")
			d.mu.Lock()
			defer d.mu.Unlock()
			d.noteGeneration(objects.MakeVersion(2, 20))
			d.retainEndpoints(map[string]bool{}, 0)
			d.publishView()
		}, ready},
		{"joined, not listed for longer", func(d *directory) {
			put(d, 1, 50, "7/1/ready")
			d.mu.Lock()
			d.noteGeneration(objects.MakeVersion(2, 20))
			d.retainEndpoints(map[string]bool{}, 0)
			d.mu.Unlock()
			d.deleteAfterGrace(time.Now().Add(entryGrace + time.Second))
		}, gone},
	} {
		d := newDirectory()
		if c.play(d); state(d) != c.want {
			t.Errorf("%s: %s, want %s", c.name, state(d), c.want)
		}
	}
}
