package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

func parse(t *testing.T, p Program, args ...string) error {
	t.Helper()
	if _, err := p.Application().Parse(args); err != nil {
		t.Fatal(err)
	}
	return p.Validate()
}

// TestValidateReportsAllFindings guards against reporting only the first invalid setting, or reporting one without its
// flag and environment variable.
func TestValidateReportsAllFindings(t *testing.T) {
	var s SycamoreEntry
	t.Setenv("SYCAMORE_ENTRY_MAX_BODY", "12")
	err := parse(t, &s, "--host", "h", "--listen", "localhost:80", "--drain-timeout", "soon", "--log-level", "loud", "--cell", "")
	var got Findings
	if !errors.As(err, &got) {
		t.Fatalf("error %v", err)
	}
	want := []string{
		"--zone (SYCAMORE_ENTRY_ZONE): is required", "--cell (SYCAMORE_ENTRY_CELL): must not be empty", "--listen (SYCAMORE_ENTRY_LISTEN): \"localhost:80\" is not",
		"--peer-listen (SYCAMORE_ENTRY_PEER_LISTEN): is required", "--control (SYCAMORE_ENTRY_CONTROL): is required",
		"--max-body (SYCAMORE_ENTRY_MAX_BODY): 12 is below the minimum", "--drain-timeout (SYCAMORE_ENTRY_DRAIN_TIMEOUT): \"soon\" is not",
		"--log-level (SYCAMORE_ENTRY_LOG_LEVEL): \"loud\" is not one of",
	}
	lines := strings.Split(err.Error(), "\n")
	for i, line := range lines {
		if i >= len(want) || !strings.HasPrefix(line, want[i]) {
			t.Errorf("finding %d: %s", i, line)
		}
	}
	if len(lines) != len(want) {
		t.Errorf("%d findings, want %d", len(lines), len(want))
	}
}

// TestPrecedenceAndDefaults guards against a wrong precedence of flag, environment and default, and against settings of
// a command that miss their defaults.
func TestPrecedenceAndDefaults(t *testing.T) {
	var s SycamoreStandin
	t.Setenv("SYCAMORE_STANDIN_ENGINE_SLOTS", "3")
	t.Setenv("SYCAMORE_STANDIN_LISTEN", "127.0.0.1:1")
	if err := parse(t, &s, "--listen", "127.0.0.1:2", "engine", "--checks-fencing"); err != nil {
		t.Fatal(err)
	}
	if s.Listen != "127.0.0.1:2" || s.EngineSlots != 3 || !s.EngineChecksFencing || s.EngineMemory != 24<<30 || s.EngineLoadTime != 100*time.Millisecond {
		t.Errorf("settings %+v", s)
	}
}

// TestSecrets guards against a secret that is accepted on the command line, contained in a message or not read from its
// file.
func TestSecrets(t *testing.T) {
	var s Sycamorectl
	app := s.Application()
	app.Command("x", "")
	if _, err := app.Parse([]string{"--platform-token", "abc", "x"}); err == nil {
		t.Error("a secret was accepted as a flag")
	}
	t.Setenv("SYCAMORECTL_PLATFORM_TOKEN", "from-env")
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte("from-file\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ file, want string }{{"", "from-env"}, {path, "from-file"}} {
		var s Sycamorectl
		app := s.Application()
		app.Command("x", "")
		args := []string{"x"}
		if tc.file != "" {
			args = append(args, "--platform-token-file", tc.file)
		}
		if _, err := app.Parse(args); err != nil {
			t.Fatal(err)
		}
		if err := s.Validate(); err != nil || s.PlatformToken != tc.want {
			t.Errorf("token %q, error %v, want %q", s.PlatformToken, err, tc.want)
		}
	}
	// A long secret must not be cut: its first part would be used as if it were the whole.
	if err := os.WriteFile(path, []byte(strings.Repeat("x", maxSecretBytes+1)), 0o600); err != nil {
		t.Fatal(err)
	}
	var long Sycamorectl
	app = long.Application()
	app.Command("x", "")
	if _, err := app.Parse([]string{"--platform-token-file", path, "x"}); err != nil {
		t.Fatal(err)
	}
	if err := long.Validate(); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("a secret of %d bytes: token of %d bytes, error %v", maxSecretBytes+1, len(long.PlatformToken), err)
	}
	t.Setenv("SYCAMORECTL_PLATFORM_TOKEN", "two\nlines")
	if err := s.Validate(); err == nil || strings.Contains(err.Error(), "two") {
		t.Errorf("error %v", err)
	}
}
