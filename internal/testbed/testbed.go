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

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	out  *buffer
	done chan struct{}
	err  error
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Testbed owns the processes that a test started.
type Testbed struct {
	bin string
	mu  sync.Mutex
	ps  []*Process
}

// New builds the project's programs into dir and returns a bed that starts them from there.
func New(ctx context.Context, dir string) (*Testbed, error) {
	root, err := moduleRoot()
	if err != nil {
		return nil, err
	}
	if err := recordSources(root); err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(os.PathSeparator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, errors.Annotatef(err, "build: %s", out)
	}
	return &Testbed{bin: dir}, nil
}

// WithSamePrograms returns a bed with the same programs and no processes, so that its processes can be ended apart.
func (b *Testbed) WithSamePrograms() *Testbed { return &Testbed{bin: b.bin} }

// recordSources opens the folders of the programs' source and looks at each file. The go command records that and runs a
// test again after a change; without it, it would take the cached result of a test of old programs.
func recordSources(root string) error {
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

// Root returns the root folder of the module.
func Root() string {
	root, _ := moduleRoot()
	return root
}

func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil {
		if _, serr := os.Stat(filepath.Join(dir, "go.mod")); serr == nil {
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

// Ports of FreeAddr. They lie below the range that Linux gives to outgoing connections, which would otherwise take an
// address between its choice and the start of its process.
const (
	firstPort = 10000
	lastPort  = 32000
)

var (
	chosenMu sync.Mutex
	chosen   = make(map[int]bool)
)

// FreeAddr returns an unused TCP address on the loopback interface, a different one with each call.
func FreeAddr() string {
	chosenMu.Lock()
	defer chosenMu.Unlock()
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if chosen[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		} else if err != nil {
			panic(err)
		}
		l.Close()
		chosen[port] = true
		return addr
	}
}

// Start runs a program of the project.
func (b *Testbed) Start(name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(filepath.Join(b.bin, program), args...), out: &buffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	b.ps = append(b.ps, p)
	b.mu.Unlock()
	return p, nil
}

// Run executes a program of the project to its end and returns its output.
func (b *Testbed) Run(ctx context.Context, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(b.bin, program), args...).CombinedOutput()
	return string(out), errors.Annotatef(err, "%s: %s", program, out)
}

// Close kills all processes that still run.
func (b *Testbed) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.ps {
		p.Kill()
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Suspend stops the process without ending it.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Stop asks the process to end and waits for at most limit.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return errors.Annotate(err, p.Name)
	}
	select {
	case <-p.done:
		return errors.Annotate(p.err, p.Name)
	case <-time.After(limit):
		return errors.Errorf("%s did not stop within %s", p.Name, limit)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns what the process has written so far.
func (p *Process) Output() string { return p.out.String() }

// WaitHTTP waits until a GET of url answers 200.
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
