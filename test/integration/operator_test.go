package integration

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/testbed"
)

// ctl runs sycamorectl and returns its exit code with standard output and standard error.
func ctl(ctx context.Context, stdin string, args ...string) (int, string, string) {
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "sycamorectl"), args...)
	var out, errs bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errs
	cmd.Run()
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// TestOperatorCommands guards against wrong exit codes and missing output of the real sycamorectl.
func TestOperatorCommands(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	bed, err := testbed.New(ctx, bin)
	if err != nil {
		t.Fatal(err)
	}
	defer bed.Close()
	plat := testbed.FreeAddr()
	if _, err := bed.Start("platform", "sycamore-standin", "--listen", plat, "platform"); err != nil {
		t.Fatal(err)
	}
	if err := testbed.WaitHTTP(ctx, "http://"+plat+"/apis/sycamoredeal/v1/leases"); err != nil {
		t.Fatal(err)
	}
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/explain" {
			w.Write([]byte(`{"entries":[{"time":"2027-01-01T00:00:00Z","part":"dispatch","subject":"` + r.URL.Query().Get("subject") + `"}]}`))
			return
		}
		w.Write([]byte(`{"host":"h1","revision":1,"lease":{"holder":"h1","epoch":3},"endpoints":[{"endpoint":"servidor-ia-1","residents":[{"name":"pedidos-chat"}],"running":3}]}`))
	}))
	defer admin.Close()
	dir, other, bad := t.TempDir(), t.TempDir(), t.TempDir()
	for _, d := range []string{dir, other} {
		if err := os.CopyFS(d, os.DirFS(filepath.Join(testbed.Root(), "examples", "consorcio"))); err != nil {
			t.Fatal(err)
		}
	}
	write := func(dir, name, content string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(bad, "1.yaml", "modles: []\n")
	p, a := []string{"--platform", "http://" + plat}, []string{"--author", "ana"}
	c := []string{"--control", strings.TrimPrefix(admin.URL, "http://")}
	step := func(name string, code int, want string, args ...[]string) {
		t.Helper()
		var all []string
		for _, list := range args {
			all = append(all, list...)
		}
		got, out, errs := ctl(ctx, "demo-quesos-la-cabrera\n", all...)
		if got != code || !strings.Contains(out+errs, want) {
			t.Errorf("%s: exit code %d, want %d; output %q %q, want %q", name, got, code, out, errs, want)
		}
	}
	cmd := func(s ...string) []string { return s }
	step("check", 0, "", cmd("check", dir))
	step("check bad", 1, "1.yaml:1:1: error: modles: unknown field", cmd("check", bad))
	step("check bad json", 1, `"line": 1`, cmd("--output", "json", "check", bad))
	step("usage", 2, "unknown", cmd("check", dir, "--nonsense"))
	step("no platform", 2, "SYCAMORECTL_PLATFORM", cmd("history"))
	step("no author", 2, "author", p, cmd("apply", dir))
	step("platform away", 3, "unavailable", cmd("--platform", "http://"+testbed.FreeAddr(), "history"))
	step("diff", 0, "10-ranks.yaml: added", p, cmd("diff", dir))
	step("apply", 0, "revision 1 stored", p, a, cmd("apply", dir))
	step("apply again", 0, "nothing to change", p, a, cmd("apply", dir))
	step("apply from an equal folder", 0, "nothing to change", p, a, cmd("apply", other))
	write(dir, "90-ana.yaml", "models: [{name: pedidos-chat, minReplicas: 3}]\n")
	write(other, "90-ana.yaml", "models: [{name: pedidos-chat, minReplicas: 1}]\n")
	step("apply change", 0, "revision 2 stored", p, a, cmd("apply", dir))
	step("diff conflict", 1, "90-ana.yaml: conflict (ana, revision 2)", p, cmd("diff", other))
	step("conflict", 1, "90-ana.yaml: also changed by ana in revision 2", p, cmd("--author", "luis", "apply", other))
	step("pull conflict", 1, "conflict", p, cmd("pull", other))
	step("history", 0, "added 90-ana.yaml", p, cmd("history"))
	step("status", 0, "pedidos-chat", c, cmd("status"))
	step("status away", 3, "unavailable", cmd("--control", testbed.FreeAddr(), "status"))
	step("explain", 0, "dispatch  m1", c, cmd("explain", "m1"))
	step("maintenance", 0, "tunja-power-2027-01", p, c, cmd("maintenance"))
	step("hash-key", 0, config.Digest([]byte("demo-quesos-la-cabrera")), cmd("hash-key"))
}
