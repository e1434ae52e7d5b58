// Package integration tests the system with real processes.
package integration

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/testbed"
)

var bin string

const buildLimit = 3 * time.Minute // of the programs, beside other builds

// TestMain builds the programs before the tests, whose limits are for the programs' work: the build alone may take longer.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sycamore-bin")
	if err != nil {
		panic(err)
	}
	bin = dir
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	bed, err := testbed.New(ctx, bin)
	cancel()
	if err != nil {
		os.RemoveAll(dir)
		panic(err)
	}
	bed.Close()
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// TestWholePath guards against a break anywhere between a caller and an endpoint.
func TestWholePath(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	start := func(name, program string, args ...string) {
		t.Helper()
		p, err := bed.Start(name, program, args...)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("%s: %s", name, p.Output())
			}
		})
	}
	plat, eng, ctl, ent, peer := testbed.FreeAddr(), testbed.FreeAddr(), testbed.FreeAddr(), testbed.FreeAddr(), testbed.FreeAddr()
	start("platform", "sycamore-standin", "--listen", plat, "platform")
	start("engine", "sycamore-standin", "--listen", eng, "engine")
	start("control", "sycamore-control", "--host", "h1", "--zone", "z1", "--listen", ctl, "--entry-address", peer, "--platform", "http://"+plat)
	start("entry", "sycamore-entry", "--host", "h1", "--zone", "z1", "--listen", ent, "--peer-listen", peer, "--control", ctl)
	dir := t.TempDir()
	decl := fmt.Sprintf(`
ranks: [{name: urgent, order: 0, firstToken: 200ms, betweenToken: 60ms, deadline: 2s}]
callers: [{name: app, keyHashes: [%s], ranks: [urgent], weight: 1}]
models: [{name: m1, memory: 4GiB, minReplicas: 1}]
endpoints: [{name: e1, host: g1, zone: z1, address: "%s", memory: 24GiB, slots: 8}]
`, config.Digest([]byte("secret")), eng)
	if err := os.WriteFile(filepath.Join(dir, "10-all.yaml"), []byte(decl), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := testbed.WaitHTTP(ctx, "http://"+plat+"/apis/sycamoredeal/v1/leases"); err != nil {
		t.Fatal(err)
	}
	if out, err := bed.Run(ctx, "sycamorectl", "--platform", "http://"+plat, "--author", "test", "apply", dir); err != nil {
		t.Fatal(out, err)
	}
	if err := testbed.WaitHTTP(ctx, "http://"+ent+"/readyz"); err != nil {
		t.Fatal(err)
	}
	for {
		tokens, whole, err := stream(ctx, ent)
		if err == nil {
			if tokens != 5 || !whole {
				t.Fatalf("got %d tokens, whole %v; want 5, true", tokens, whole)
			}
			return
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func stream(ctx context.Context, addr string) (tokens int, whole bool, err error) {
	body := `{"model":"m1","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, false, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, false, fmt.Errorf("status %d", resp.StatusCode)
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.Contains(sc.Text(), `"content"`) {
			tokens++
		}
		whole = whole || sc.Text() == "data: [DONE]"
	}
	return tokens, whole, sc.Err()
}
