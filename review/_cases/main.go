// Command review plays the cases of the review: it starts the system's program as separate processes on loopback addresses,
// beside stand-ins of the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// started holds the processes that were started, so that none outlives this one.
var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// endOnSignal ends all started processes and this one at the time limit, or when it is interrupted.
func endOnSignal() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(timeLimit):
	}
	startedMu.Lock()
	for _, c := range started {
		c.Process.Kill() // fails if the process has ended
	}
	fmt.Fprintln(os.Stderr, "the case was interrupted, or took too long")
	os.Exit(noResult)
}

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	noResult = 2
)

// cases holds the cases by name. Each reports whether its rule held, in the folder of the case.
var cases = make(map[string]func(record string, trouble bool) (int, error))

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD, in the repository root")
		os.Exit(noResult)
	}
	go endOnSignal()
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(noResult)
	}
	os.Exit(code)
}
