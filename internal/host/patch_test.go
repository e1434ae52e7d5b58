package host

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"sycamoredeal/internal/wire"
)

// configText returns the text of a configuration of about 30 kB, whose version stands at the start and whose keys at the end.
func configText(version int, keys ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"models":[`, version)
	for i := range 400 {
		fmt.Fprintf(&b, `{"name":"model-%d","mb":%d,"load_s":2.0,"adapters":%d,"warm_s":0.39},`, i*7919%1000, i*31, i%80)
	}
	fmt.Fprintf(&b, `],"keys":%q}`, keys)
	return b.Bytes()
}

// TestPatchOfDistantChanges guards against a patch that carries everything between two small changes: it is too long for a
// host's link, so that every host reads the configuration from the store when a key is removed.
func TestPatchOfDistantChanges(t *testing.T) {
	before, after := configText(99, "k1", "k2", "k3"), configText(104, "k1", "k3")
	p := makePatch(before, after)
	if n := patchSize(&p); n > 200 {
		t.Errorf("the patch has %d bytes of %d", n, len(after))
	}
	if got, ok := applyPatch(before, &p); !ok || !bytes.Equal(got, after) {
		t.Error("the patch does not give the new text")
	}
}

// TestPatchesFit guards against patches that give another text than the new one, over random changes.
func TestPatchesFit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 2000 {
		before := bytes.Repeat([]byte("abcdefgh"), rng.IntN(3))
		for range rng.IntN(1500) {
			before = append(before, byte('a'+rng.IntN(1+round%20)))
		}
		after := bytes.Clone(before)
		for range rng.IntN(5) {
			from := rng.IntN(len(after) + 1)
			to := min(from+rng.IntN(60), len(after))
			insert := bytes.Repeat([]byte{byte('a' + rng.IntN(26))}, rng.IntN(40))
			after = append(append(bytes.Clone(after[:from]), insert...), after[to:]...)
		}
		p := makePatch(before, after)
		if got, ok := applyPatch(before, &p); !ok || !bytes.Equal(got, after) {
			t.Fatalf("round %d: the patch of %d edits does not give the new text", round, len(p.Edits))
		}
	}
}

// TestPatchesThatDoNotFit guards against a panic on a patch for another text.
func TestPatchesThatDoNotFit(t *testing.T) {
	for _, p := range []wire.ObjectPatch{
		{Prefix: 3, Suffix: 2},
		{Prefix: 1, Edits: []wire.PatchEdit{{Keep: 3, Skip: 1}}},
		{Edits: []wire.PatchEdit{{Keep: 2}, {Keep: 1, Skip: 1 << 31}}},
	} {
		if _, ok := applyPatch([]byte("abcd"), &p); ok {
			t.Errorf("%+v is applied", p)
		}
	}
}
