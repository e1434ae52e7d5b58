package transport

import (
	"bytes"
	"io"
	"runtime"
	"testing"

	"github.com/tinylib/msgp/msgp"

	"sycamoredeal/internal/wire"
)

var sampleMessages = []wire.Message{
	&wire.Hello{Host: "h", Role: wire.RoleEntry, Cell: "c", Zone: "z", Incarnation: 1 << 60},
	&wire.ConfigUpdate{Head: wire.Head{Revision: 3, Files: []wire.HeadFile{{Name: "a", Digest: "d"}}}, Files: []wire.File{{Name: "a", Content: []byte("x")}}},
	&wire.PlacementUpdate{Placement: wire.Placement{Endpoints: []wire.EndpointPlacement{{Residents: []wire.Resident{{Name: "m"}}, Intents: []wire.Intent{{ID: 1}}}}}},
	&wire.MembersUpdate{Members: []wire.Member{{Host: "h"}, {Host: "i", Leaving: true}}},
	&wire.Resync{Waiting: []wire.Ask{{Exclude: []string{"e"}}}, Running: []wire.Running{{Endpoint: "e"}}},
	&wire.EntryStatus{Demand: []wire.ModelDemand{{Name: "m", Tokens: 5}}},
}

// TestCheckBodyAcceptsMessages guards against limits that reject messages of the protocol.
func TestCheckBodyAcceptsMessages(t *testing.T) {
	big := &wire.EndpointsUpdate{}
	for range 10000 {
		big.States = append(big.States, wire.EndpointState{Endpoint: "e"})
	}
	for _, m := range append(sampleMessages, big) {
		b, _ := m.MarshalMsg(nil)
		if err := checkBody(b); err != nil {
			t.Errorf("%T: %v", m, err)
		}
	}
}

// TestCheckBodyRejectsMalformed guards against small frames that make a decoder allocate much memory or recurse deeply, and
// against messages with missing or additional bytes.
func TestCheckBodyRejectsMalformed(t *testing.T) {
	arrayHeader := func(n uint32) []byte { return msgp.AppendArrayHeader(nil, n) }
	for name, b := range map[string][]byte{
		"huge array": append(arrayHeader(1), arrayHeader(1<<30)...),
		"deep":       bytes.Repeat(arrayHeader(1), 4000),
		"map":        msgp.AppendMapHeader(nil, 1<<30),
		"rest":       append(arrayHeader(0), 1, 2, 3),
		"short":      arrayHeader(2),
		"empty":      nil,
	} {
		if err := checkBody(b); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// TestBodyMemory guards against a reader that allocates the length stated in a frame header before the bytes arrive.
func TestBodyMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBody(bytes.NewReader(make([]byte, 10)), MaxFrameBytes)
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; err != io.ErrUnexpectedEOF || got > 4*bodyChunkBytes {
		t.Fatalf("%v after %d bytes were allocated", err, got)
	}
	want := bytes.Repeat([]byte("0123456789"), 30000)
	if got, err := readBody(bytes.NewReader(want), len(want)); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d of %d bytes, %v", len(got), len(want), err)
	}
}

// FuzzDecode guards against decoders that panic or allocate far more memory than the size of the frame.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages {
		b, _ := m.MarshalMsg(nil)
		f.Add(uint8(m.Kind()), b)
	}
	for k := wire.KindHello; wire.New(k) != nil; k++ { // wire.TestKinds checks that every kind has a message
		b, _ := wire.New(k).MarshalMsg(nil)
		f.Add(uint8(k), b)
	}
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		m := wire.New(wire.Kind(kind))
		if m == nil || checkBody(b) != nil {
			return
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := m.UnmarshalMsg(b)
		runtime.ReadMemStats(&after)
		if got := after.TotalAlloc - before.TotalAlloc; got > uint64(256*len(b))+1<<20 {
			t.Fatalf("%d bytes allocated for a body of %d", got, len(b))
		}
		if err == nil {
			if _, err := m.MarshalMsg(nil); err != nil {
				t.Fatal(err)
			}
		}
	})
}
