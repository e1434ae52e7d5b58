package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sycamoredeal/internal/testbed"
	"sycamoredeal/platform/platformtest"
)

// hostProgram is the program of the deploy file's role, below the repository root.
const hostProgram = "target/sycamore-host"

// record writes what was sent, answered and run to a file, one line each.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// printf writes a line with the time since the start in seconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// storePath is the path of one host to the store. It can turn the host away while others are served.
type storePath struct {
	http    *http.Server
	address string
	refused atomic.Bool  // calls are answered with status 503
	watches atomic.Int64 // calls for changes of the servers
}

// newStorePath starts a reverse proxy to the store. It removes the header that states the store's era, which the pages in
// force don't know.
func newStorePath(store string) (*storePath, error) {
	p := &storePath{address: testbed.FreeAddr()}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.ModifyResponse = func(r *http.Response) error {
		r.Header.Del(`Store-Era`)
		return nil
	}
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	p.http = &http.Server{Addr: p.address, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.refused.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Has("watch") && strings.HasSuffix(r.URL.Path, "/servers") {
			p.watches.Add(1)
		}
		proxy.ServeHTTP(w, r)
	})}
	go p.http.ListenAndServe()
	return p, nil
}

// host is a process of the system's program with its addresses.
type host struct {
	name, front, ready, control string
	settings                    string
	path                        *storePath
	cmd                         *exec.Cmd
	output                      bytes.Buffer
	done                        chan struct{}
}

// lab is a small deployment on loopback addresses.
type lab struct {
	dir    string
	record *record
	store  *platformtest.Store
	hosts  []*host
}

func newLab(recordPath string, hosts int) (*lab, error) {
	if _, err := os.Stat(hostProgram); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, record: rec, store: platformtest.NewStore()}
	for i := range hosts {
		h := &host{name: fmt.Sprintf("front-%d", i+1), front: testbed.FreeAddr(), ready: testbed.FreeAddr(), control: testbed.FreeAddr()}
		if h.path, err = newStorePath(l.store.Address()); err != nil {
			return nil, err
		}
		h.settings = filepath.Join(dir, h.name+".toml")
		l.hosts = append(l.hosts, h)
	}
	return l, nil
}

// settingsFormat is the example of the settings file on the users' pages, for the deployment with 13 machines.
const settingsFormat = `node_name = %q
role = "host"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "z"
region = "r"
seeds = [%s]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[zones]
z = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.272
cores = 1
memory_mb = 206
max_fds = 2870
link_mbps = 700.0
[bounds]
stable_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
apply_ms = 2000
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 113
recover_s = 12
enforce_fencing = true
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_over = 1.1
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
`

// start starts the hosts and waits until all are ready.
func (l *lab) start() error {
	for _, h := range l.hosts {
		var seeds []string
		for _, o := range l.hosts {
			seeds = append(seeds, fmt.Sprintf("%q", o.control))
		}
		text := fmt.Sprintf(settingsFormat, h.name, strings.Join(seeds, ","), h.front, h.ready, h.control, h.path.address)
		if err := os.WriteFile(h.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range l.hosts {
		for end := time.Now().Add(15 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", h.name)
			}
		}
	}
	return nil
}

func (h *host) start() error {
	h.cmd = exec.Command("./" + hostProgram)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREDEAL_SETTINGS=" + h.settings, "SYCAMORE_HOST_ADMIN_PORT=0"}
	h.cmd.Stdout, h.cmd.Stderr = &h.output, &h.output
	if err := h.cmd.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	started = append(started, h.cmd)
	startedMu.Unlock()
	h.done = make(chan struct{})
	go func() {
		h.cmd.Wait()
		close(h.done)
	}()
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) isReady() bool {
	resp, err := readyClient.Get("http://" + h.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder. If REVIEW_LOGS names a folder, the output of the hosts is
// kept there.
func (l *lab) close() {
	for _, h := range l.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			h.cmd.Process.Signal(syscall.SIGCONT)
			h.cmd.Process.Kill()
			<-h.done
			if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
				os.WriteFile(filepath.Join(dir, h.name+".log"), h.output.Bytes(), 0o644)
			}
		}
		h.path.http.Close()
	}
	l.store.Close()
	l.record.file.Close()
	os.RemoveAll(l.dir)
}
