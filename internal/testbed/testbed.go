// Package testbed starts the project's programs as real processes for integration tests and the demo.
package testbed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Process is a program that was started, and its output.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	output  *syncBuffer
	done    chan struct{} // closed when the program has ended
	exitErr error         // result of Wait, valid when done is closed
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Testbed starts programs of the project and owns their processes.
type Testbed struct {
	programDir string // folder of the built programs
	mu         sync.Mutex
	processes  []*Process
}

// New builds the project's programs into dir and returns a Testbed that starts them from there.
func New(ctx context.Context, dir string) (*Testbed, error) {
	root, err := moduleRoot()
	if err != nil {
		return nil, err
	}
	if err := statSources(root); err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, errors.Annotatef(err, "build: %s", out)
	}
	return &Testbed{programDir: dir}, nil
}

// WithSamePrograms returns a Testbed with the same programs and no processes. Its Close doesn't affect the processes of b.
func (b *Testbed) WithSamePrograms() *Testbed { return &Testbed{programDir: b.programDir} }

// statSources calls os.Stat on every file in the source folders of the programs. The go command records the files that a
// test looks at and runs the test again when one of them has changed. Otherwise it would use the cached result of a test
// with older programs.
func statSources(root string) error {
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ os.DirEntry, err error) error {
			if err == nil {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Root returns the root folder of the module, or "" if there is none above the working directory.
func Root() string {
	root, _ := moduleRoot()
	return root
}

// moduleRoot returns the nearest folder with a go.mod file, from the working directory upwards.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, statErr := os.Stat(filepath.Join(dir, "go.mod")); statErr == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("go.mod not found above the working directory")
		}
		dir = parent
	}
	return "", errors.Trace(err)
}

// Range of the ports that FreeAddr returns. It lies below the ephemeral ports of Linux. An ephemeral port could be taken by
// an outgoing connection before the process that is to listen on it has started.
const (
	firstPort  = 10000
	lastPort   = 32000
	blockPorts = 100 // of which one process takes all
)

var (
	portsMu   sync.Mutex
	freePorts []int          // of the blocks that this process holds
	blocks    []net.Listener // on the first port of each of them
)

// FreeAddr returns an unused TCP address on the loopback interface, a different one at each call, also of other processes that run
// at the same time.
func FreeAddr() string {
	portsMu.Lock()
	defer portsMu.Unlock()
	for {
		if len(freePorts) == 0 {
			holdBlock()
		}
		port := freePorts[0]
		freePorts = freePorts[1:]
		if ln := listenOn(port); ln != nil {
			ln.Close()
			return ln.Addr().String()
		}
	}
}

// holdBlock takes a block of ports for this process: no other one can listen on its first port until this process ends. The caller
// holds the lock.
func holdBlock() {
	for _, i := range rand.Perm((lastPort - firstPort) / blockPorts) {
		first := firstPort + i*blockPorts
		if ln := listenOn(first); ln != nil {
			blocks = append(blocks, ln)
			for port := first + 1; port < first+blockPorts; port++ {
				freePorts = append(freePorts, port)
			}
			return
		}
	}
	panic("testbed: no port is free")
}

// listenOn returns a listener on a port of the loopback interface, or nil if the port is in use.
func listenOn(port int) net.Listener {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
		panic(err)
	}
	return ln
}

// Start starts a program of the project. The name of the process appears in errors.
func (b *Testbed) Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(filepath.Join(b.programDir, program), args...), output: &syncBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p, nil
}

// Run runs a program of the project until it exits, and returns its output.
func (b *Testbed) Run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(b.programDir, program), args...).CombinedOutput()
	return string(out), errors.Annotatef(err, "%s: %s", program, out)
}

// Close kills all processes that are still running.
func (b *Testbed) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.processes {
		p.Kill()
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Suspend stops the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM to the process and waits until it has ended, for at most timeout.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotate(err, p.Name)
	}
	select {
	case <-p.done:
		return errors.Annotate(p.exitErr, p.Name)
	case <-time.After(timeout):
		return errors.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process has written to standard output and standard error so far.
func (p *Process) Output() string { return p.output.String() }

// WaitHTTP sends GET requests to url until one is answered with 200, or until ctx is done.
func WaitHTTP(ctx context.Context, url string) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Trace(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		select {
		case <-ctx.Done():
			return errors.Annotatef(err, "waiting for %s", url)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
