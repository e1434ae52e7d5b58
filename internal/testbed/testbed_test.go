package testbed

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// drawAddresses makes the test binary print addresses instead of running its tests.
const drawAddresses = "TESTBED_DRAW_ADDRESSES"

const drawn = 1000

func TestMain(m *testing.M) {
	if os.Getenv(drawAddresses) != "" {
		for range drawn {
			os.Stdout.WriteString(FreeAddr() + "\n")
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// TestFreeAddrOfProcesses guards against two test binaries that use one address: a process that is restarted finds it taken by a
// process of another test, and ends.
func TestFreeAddrOfProcesses(t *testing.T) {
	used := make(map[string]bool)
	for range drawn {
		a := FreeAddr()
		if used[a] {
			t.Errorf("%s returned twice", a)
		}
		used[a] = true
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), drawAddresses+"=1")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	taken, others := 0, strings.Fields(string(out))
	for _, a := range others {
		if used[a] {
			taken++
		}
	}
	if taken > 0 || len(others) != drawn {
		t.Errorf("another process got %d of this process's addresses among %d", taken, len(others))
	}
}
