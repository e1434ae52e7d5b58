package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

const base = `ranks: [{name: urgent, order: 0}, {name: batch, order: 1}]
callers: [{name: shop, ranks: [urgent]}]
models: [{name: m1, memory: 4GiB}]
endpoints: [{name: e1, host: h1, zone: z1, address: "127.0.0.1:1", memory: 8GiB, adapterMemory: 1GiB, slots: 4}]
`

func files(contents ...string) []wire.File {
	var out []wire.File
	for i, c := range contents {
		out = append(out, wire.File{Name: fmt.Sprintf("%d.yaml", i), Digest: Digest([]byte(c)), Content: []byte(c)})
	}
	return out
}

// TestFindings guards against a rule that is lost or that points at the wrong place. Each case is a second file that
// follows base; want holds "line:column severity field: part of the message" for every finding.
func TestFindings(t *testing.T) {
	hash := Digest([]byte("k"))
	for _, tc := range []struct {
		name, file string
		want       []string
	}{
		{"fine", "", nil},
		{"comment only", "# nothing\n", nil},
		{"unknown fields and types together", "modles: []\nmodels:\n  - name: m2\n    memory: lots\n    minReplicas: x\n    size: 3\n", []string{
			"1:1 error modles: unknown field", "4:13 error models[m2].memory: amount of memory",
			"5:18 error models[m2].minReplicas: whole number", "6:5 error models[m2].size: unknown field"}},
		{"no name", "models:\n  - memory: 1GiB\n", []string{"2:5 error models[0].name: no name"}},
		{"number as name", "models:\n  - name: 7\n", []string{"2:5 error models[0].name: no name", "2:11 error models[0].name: quotes"}},
		{"duplicate", "models:\n  - {name: m2, memory: 1GiB}\n  - {name: m2, memory: 1GiB}\n", []string{"3:12 error models[m2]: first in line 2"}},
		{"field twice", "models:\n  - {name: m2, memory: 1GiB, memory: 2GiB}\n", []string{"2:30 error models[m2].memory: twice"}},
		{"references", "callers: [{name: c, ranks: [slow]}]\nmodels: [{name: m2, memory: 1GiB, callers: [nobody]}]\nadapters: [{name: a, model: m9, memory: 1MiB}]\nmaintenance: [{name: w, hosts: [h9], start: 2026-01-01T00:00:00Z, end: 2026-01-01T01:00:00Z}]\n", []string{
			`1:21 error callers[c].ranks: "slow" is not`, `2:35 error models[m2].callers: "nobody" is not`, `3:22 error adapters[a].model: "m9" is not`, `4:25 error maintenance[w].hosts: "h9" is not`}},
		{"sizes", "endpoints: [{name: e1, slots: 0, memory: -3}]\n", []string{"1:24 error endpoints[e1].slots: greater", "1:42 error endpoints[e1].memory: amount"}},
		{"floors", "ranks: [{name: urgent, floor: 0.7}, {name: batch, floor: 0.7, headroom: 1}]\n", []string{"1:51 error ranks[batch].floor: 1.4", "1:63 error ranks[batch].headroom: below 1", "1:63 error ranks[batch].headroom: add up"}},
		{"order", "ranks: [{name: batch, order: 0}]\n", []string{`1:23 error ranks[batch].order: "urgent"`}},
		{"model too large", "models: [{name: m2, memory: 9GiB}]\n", []string{"1:21 error models[m2].memory: fit no endpoint"}},
		{"not all resident", "models: [{name: m2, memory: 5GiB}]\n", []string{"1:21 error models[m2].memory: all models need"}},
		{"too many copies", "models: [{name: m1, minReplicas: 2}]\n", []string{"1:21 error models[m1].minReplicas: fits only 1"}},
		{"adapters", "adapters:\n  - {name: a, memory: 1MiB}\n  - {name: b, model: m1, memory: 2GiB}\n", []string{
			"2:6 error adapters[a].model: no base", "3:26 error adapters[b].memory: largest adapter slab", "3:26 error adapters[b].memory: all adapters need"}},
		{"addresses", "endpoints:\n  - {name: e1, address: \"gpu.example:80\"}\n  - {name: e2, host: h, zone: z, address: \"127.0.0.1:0\", memory: 1GiB, slots: 1}\n", []string{"2:16 error endpoints[e1].address: ip:port", "3:34 error endpoints[e2].address: ip:port"}},
		{"same address", "endpoints:\n  - {name: e2, host: h, zone: z, address: \"127.0.0.1:1\", memory: 1GiB, slots: 1}\n", []string{"2:34 error endpoints[e2].address: endpoints[e1]"}},
		{"keys", "callers:\n  - {name: a, ranks: [urgent], keyHashes: [" + hash + "]}\n  - {name: b, ranks: [urgent], keyHashes: [" + hash + ", plain]}\n", []string{
			"3:32 error callers[b].keyHashes: callers[a]", "3:32 error callers[b].keyHashes: hash-key"}},
		{"window backwards", "maintenance: [{name: w, hosts: [h1], start: 2026-01-02T00:00:00Z, end: 2026-01-01T00:00:00Z}]\n", []string{"1:67 error maintenance[w].end: not after"}},
		{"last zone", "endpoints: [{name: e2, host: h2, zone: z2, address: \"127.0.0.1:2\", memory: 8GiB, slots: 1}]\nmaintenance:\n  - {name: w1, hosts: [h1], start: 2026-01-01T00:00:00Z, end: 2026-01-01T02:00:00Z}\n  - {name: w2, hosts: [h2], start: 2026-01-01T01:00:00Z, end: 2026-01-01T03:00:00Z}\n", []string{"4:16 error maintenance[w2].hosts: during w1, w2"}},
		{"service call", "services: [{name: s, calls: [{method: post, path: \"[\"}]}]\n", []string{"1:13 warning services[s].endpoints: no endpoint", "1:22 error services[s].calls: path pattern", "1:22 error services[s].calls: HTTP method"}},
		{"remove nothing", "models: [{name: m9, remove: true}]\n", []string{"1:11 warning models[m9]: no earlier"}},
		{"syntax", "models: [\n", []string{"1:9 error (file): YAML syntax"}},
		{"not a mapping", "- a\n", []string{"1:1 error (file): must be a mapping"}},
		{"alias", "a: &x 1\nb: *x\n", []string{"1:4 error (file): anchors"}},
		{"deep", "a: " + strings.Repeat("[", 100_000), []string{"1:34 error (file): nesting"}},
		{"deep block", strings.Repeat("- ", 1000), []string{"1:65 error (file): nesting"}},
		{"large", strings.Repeat("#", MaxFileBytes+1), []string{"1:1 error (file): limit"}},
		{"control character", "a:\n b\x00", []string{"2:3 error (file): control"}},
		{"carriage return", "a: \r b", []string{"1:4 error (file): control"}},
		{"lines of another system", "models:\r\n- {name: m2, memory: 1GiB}\r\n", nil},
		{"invalid token", "a: @b\n", []string{"1:4 error (file): YAML syntax"}},
		{"text block", "# a > b\nmodels: # x | y\n  - name: >-\n      x\n", []string{"3:1 error (file): text blocks"}},
		{"many fields", strings.Repeat("a: b\n", 1000), []string{"101:2 error (file): more than 100 fields"}},
		{"many flow fields", "a: {" + strings.Repeat("b: c, ", 1000) + "}", []string{"1:606 error (file): more than 100 fields"}},
		{"many marks", strings.Repeat("[],", 100_000), []string{"1:1 error (file): structural"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, got := Check(files(base, tc.file))
			for i, f := range got {
				line := fmt.Sprintf("%d:%d %s %s: ", f.Line, f.Column, f.Severity, f.Field)
				if i < len(tc.want) {
					loc, msg, _ := strings.Cut(tc.want[i], ": ")
					if f.File == "1.yaml" && line == loc+": " && strings.Contains(f.Message, msg) {
						continue
					}
				}
				t.Errorf("finding %d in %s: %s%s", i, f.File, line, f.Message)
			}
			if len(got) != len(tc.want) {
				t.Errorf("%d findings, want %q", len(got), tc.want)
			}
		})
	}
}

// TestMerge guards against a later file that loses fields of an earlier one or that cannot withdraw an entry.
func TestMerge(t *testing.T) {
	d, fs := Check(files(base,
		"services: [{name: s, timeout: 2s, endpoints: [{name: a, host: h, zone: z, address: \"127.0.0.1:5\"}, {name: b, host: h, zone: z, address: \"127.0.0.1:6\"}]}]\nmodels: [{name: m2, memory: 1GiB}]\nweightStore: {loadsPerSecond: 2, concurrentLoads: 6}\n",
		"models: [{name: m1, minReplicas: 1}, {name: m2, remove: true}]\nservices: [{name: s, endpoints: [{name: a, remove: true}, {name: b, leaving: true}]}]\nweightStore: {concurrentLoads: 5}\n",
		"models: [{name: m2, memory: 2GiB}]\n"))
	if len(fs) > 0 {
		t.Fatal(fs)
	}
	if len(d.Models) != 2 || d.Models[0].Memory != 4<<30 || d.Models[0].MinReplicas != 1 || d.Models[1].Memory != 2<<30 {
		t.Errorf("models %+v", d.Models)
	}
	s := d.Services[0]
	if s.Timeout != 2*time.Second || len(s.Endpoints) != 1 || s.Endpoints[0].Name != "b" || !s.Endpoints[0].Leaving || s.Endpoints[0].Host != "h" {
		t.Errorf("service %+v", s)
	}
	if d.WeightStore != (WeightStore{LoadsPerSecond: 2, ConcurrentLoads: 5}) {
		t.Errorf("weight store %+v", d.WeightStore)
	}
}

// TestBuildSeverity guards against a snapshot with errors that takes effect and against warnings that prevent one.
func TestBuildSeverity(t *testing.T) {
	if _, err := Build(2, files(base, "modles: []\n")); err == nil {
		t.Error("a snapshot with errors was built")
	}
	s, err := Build(2, files(base, "callers: [{name: idle}]\n"))
	if err != nil || len(s.Warnings) != 1 || s.Caller("idle") == nil {
		t.Errorf("snapshot with a warning: %v %v", s, err)
	}
}

// TestHostileInput guards against parsing time that grows with the square of the size: before they were
// refused, these inputs took from 1 s to more than 15 s.
func TestHostileInput(t *testing.T) {
	for _, unit := range []string{"\"", "'a' ", "@", "`", "\r", "'a'bbbbbb "} {
		for _, prefix := range []string{"a: [", "a: |\n "} {
			start := time.Now()
			Check(files(prefix + strings.Repeat(unit, (MaxFileBytes-8)/len(unit))))
			Check(files(prefix + strings.Repeat(unit, 100_000/len(unit))))
			if d := time.Since(start); d > 4*time.Second {
				t.Errorf("%q repeated after %q took %s", unit, prefix, d)
			}
		}
	}
}

// FuzzCheck guards against panics and unbounded recursion on any input.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{base, "models: [{name: m1, remove: true}]", "a: &x [*x]", "? [a]: b", "- - - a", "models: [[]]", "services: [{name: s, endpoints: [{name: e}, 3]}]", "weightStore: 3", "a: |\n  x\n b", "{"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if len(s) < 4096 {
			Check(files(base, s))
		}
	})
}

func targetSize() []wire.File {
	var m, e, a strings.Builder
	m.WriteString("models:\n")
	for i := range 2000 {
		fmt.Fprintf(&m, "  - {name: model-%d, memory: 12GiB, minReplicas: 2}\n", i)
	}
	a.WriteString("adapters:\n")
	for i := range 6000 {
		fmt.Fprintf(&a, "  - {name: adapter-%d, model: model-%d, memory: 64MiB}\n", i, i%2000)
	}
	e.WriteString("endpoints:\n")
	for i := range 730 {
		fmt.Fprintf(&e, "  - {name: e-%d, host: h-%d, zone: z-%d, address: \"10.0.%d.%d:80\", memory: 640GiB, adapterMemory: 16GiB, slots: 64}\n", i, i, i%6, i/250, i%250)
	}
	return files("ranks: [{name: urgent, order: 0}]\ncallers: [{name: shop, ranks: [urgent]}]\n", m.String(), a.String(), e.String())
}

func BenchmarkBuildTargetSize(b *testing.B) {
	fs := targetSize()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Build(1, fs); err != nil {
			b.Fatal(err)
		}
	}
}
