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
	"sycamoredeal/internal/wire"
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

// TestRemovalIsForwardedOnce plays a dispatcher that gets the same removal of an endpoint from three relays, and once more
// from a relay to which it forwarded the removal. It guards against removals that dispatcher and relays send each other
// without end: within two seconds, 780,000 messages filled the link of a dispatcher that had lost the store.
func TestRemovalIsForwardedOnce(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d := h.directory
	_, endpoints := entryCodec{}.Kinds()
	entry := wire.StoredObject{Kind: endpoints, Name: "e1", Version: "5", Data: []byte("1")}
	forwarded := func(u *wire.ViewUpdate) int {
		before := h.dispatcher.pendingUpdates.Len()
		d.applyUpdate(u)
		return h.dispatcher.pendingUpdates.Len() - before
	}
	if n := forwarded(&wire.ViewUpdate{ObjectKind: endpoints, Objects: []wire.StoredObject{entry}}); n != 1 {
		t.Fatalf("a new entry was forwarded in %d updates", n)
	}
	removal := &wire.ViewUpdate{ObjectKind: endpoints, Removed: []string{"e1"}}
	if n := forwarded(removal); n != 1 {
		t.Errorf("the removal of a listed endpoint was forwarded in %d updates", n)
	}
	for range 3 {
		if n := forwarded(removal); n != 0 {
			t.Errorf("the removal of an endpoint that is gone was forwarded in %d updates", n)
		}
	}
	if n := forwarded(&wire.ViewUpdate{ObjectKind: kindHosts, Removed: []string{"h9"}}); n != 0 {
		t.Errorf("the removal of an unknown host was forwarded in %d updates", n)
	}
}

// TestSeedObjectsThatAreGone guards against an endpoint that another host showed at the start and that the store's first
// list lacks: it would stay in the view for good.
func TestSeedObjectsThatAreGone(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d := h.directory
	d.applyReply(&wire.ViewReply{Objects: []wire.StoredObject{
		{Kind: "servers", Name: "gone", Version: "3", Data: []byte("1")}, {Kind: "servers", Name: "kept", Version: "4", Data: []byte("1")},
		{Kind: kindHosts, Name: "h1", Version: "5", Data: []byte("{}")},
	}})
	if v := d.view(); v.Endpoint("gone") == nil || v.Endpoint("kept") == nil || len(v.Hosts) != 1 {
		t.Fatalf("view after the reply: %+v", v)
	}
	d.mu.Lock()
	d.retainEndpoints(map[string]bool{"kept": true}, 0)
	d.retainHosts(map[string]bool{}, 0)
	d.publishView()
	d.mu.Unlock()
	if v := d.view(); v.Endpoint("gone") != nil || v.Endpoint("kept") == nil || len(v.Hosts) != 0 {
		t.Errorf("view after a list without some of them: %+v", v)
	}
}

// TestLeavingEndsWithEntry guards against an announcement that is passed on for good, because the entry of its endpoint could
// not be decoded before it was removed.
func TestLeavingEndsWithEntry(t *testing.T) {
	h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
	d := h.directory
	put := func(data string) {
		d.putEndpoint(objects.Object{Kind: "servers", Name: "e0", Version: "1", Data: []byte(data)})
	}
	put("1")
	d.markLeaving("e0", 1, "test")
	put("bytes that can't be read")
	d.deleteEndpoint("e0", "test")
	if l := d.leavingEndpoints(); len(l) != 0 {
		t.Errorf("leaving endpoints without an entry: %v", l)
	}
}

// TestLeavingOutlivesEntry guards against an endpoint that has announced that it leaves and is used again because its entry was
// removed and came back (DRAIN), and against another process under its ID that inherits the announcement.
func TestLeavingOutlivesEntry(t *testing.T) {
	for _, c := range []struct {
		born    string // of the entry that comes back
		leaving bool
	}{{"1", true}, {"2", false}} {
		h := New(Options{Deployment: fleet.Deployment{Host: "h0"}, Codec: entryCodec{}, Log: telemetry.NewLogger(os.Stderr, "fatal", "test")})
		d := h.directory
		d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Objects: []wire.StoredObject{{Kind: "servers", Name: "e0", Version: "1", Data: []byte("1")}}})
		d.markLeaving("e0", 1, "test")
		d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Removed: []string{"e0"}})
		d.applyUpdate(&wire.ViewUpdate{ObjectKind: "servers", Objects: []wire.StoredObject{{Kind: "servers", Name: "e0", Version: "9", Data: []byte(c.born)}}})
		if e := d.view().Endpoint("e0"); e == nil || e.Draining != c.leaving {
			t.Errorf("entry of process %s: %+v, want draining %v", c.born, e, c.leaving)
		}
	}
}
