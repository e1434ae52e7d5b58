package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/testbed"
	"sycamoredeal/platform/platformtest"
)

const (
	models                = 4
	adaptersPerModel      = 5
	engines               = 3
	plainServers          = 3
	modelsPerEngine       = 2 // models that fit in the memory of an engine
	adapterSlots          = 3
	modelLoadTime         = 150 * time.Millisecond
	orderTime             = 5 * time.Millisecond
	minRestartDelay       = 300 * time.Millisecond // until the platform restarts a process
	readyPollInterval     = 200 * time.Millisecond // between two polls of the hosts' readiness
	readyFailureThreshold = 2                      // failed polls until a host is out of rotation
	entryRemovalDelay     = time.Second            // until the platform drops the entry of a crashed server
	drainTime             = 3 * time.Second        // from listing a server as draining until its entry is dropped
	hostsKind             = "sycamore-hosts"
	serversKind           = "servers"
)

// fleet holds the host processes of one run, and the stand-ins and proxies around them.
type fleet struct {
	ctx    context.Context
	bed    *testbed.Testbed
	dir    string
	audit  *Audit
	store  *platformtest.Store
	hosts  []*hostProcess
	deadly atomic.Bool // callers send some requests with a part that crashes engines

	accounts bool // the configurations have client accounts

	mu            sync.Mutex
	servers       []*server
	lastServer    int  // number of the server that was added last
	configVersion int  // version of the stored configuration
	closing       bool // processes are no longer restarted
}

// hostProcess is one host with its proxies. Its process is restarted whenever it ends.
type hostProcess struct {
	fleet                             *fleet
	name                              string
	frontAddr, readyAddr, controlAddr string
	storeProxy, peerProxy             *Proxy
	settingsPath                      string
	settingsMu                        sync.Mutex // held while the file is invalid, and during a start

	mu            sync.Mutex
	proc          *testbed.Process
	starts        int
	endExpected   bool          // the process has been stopped or killed by the run
	restartDelay  time.Duration // from the end of the process until its restart
	readyFailures int           // consecutive failed polls of the readiness
	endedOutput   []string      // output of processes that have ended
}

// server is a stand-in server behind its proxy.
type server struct {
	*platformtest.Server
	proxy   *Proxy
	opts    platformtest.ServerOptions
	removed bool
	state   string // of its entry
}

// States of a server's entry.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "" // it has no entry
)

// register changes the state of a server's entry.
func (f *fleet) register(s *server, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.state = state
	f.writeEntry(s)
}

// writeEntry writes or removes a server's entry by its state. The caller holds the lock.
func (f *fleet) writeEntry(s *server) {
	if s.state == gone {
		f.store.Delete(serversKind, s.ID())
	} else {
		s.Register(f.store, s.state)
	}
}

// startFleet starts the store, the servers and the host processes of a run.
func startFleet(ctx context.Context, bed *testbed.Testbed, dir string, p *Plan, audit *Audit) (*fleet, error) {
	f := &fleet{ctx: ctx, bed: bed, dir: dir, audit: audit, store: platformtest.NewStore(), accounts: p.Accounts}
	f.store.SetRewrite(f.advertiseProxy)
	f.storeNextConfig()
	for i := range engines {
		var loaded []string
		for m := range modelsPerEngine {
			loaded = append(loaded, fmt.Sprint("m", (i*modelsPerEngine+m)%models))
		}
		if _, err := f.addServer(platformtest.EngineService, loaded, nil); err != nil {
			return nil, err
		}
	}
	for range plainServers {
		if _, err := f.addServer(platformtest.PlainService, nil, nil); err != nil {
			return nil, err
		}
	}
	for i := range p.Hosts {
		h, err := f.newHost(fmt.Sprintf("h%02d", i))
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		if err := f.writeSettings(h); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	go f.pollReadiness()
	return f, nil
}

// advertiseProxy replaces the address that a host registers in the store by that of its proxy.
func (f *fleet) advertiseProxy(kind, name string, spec json.RawMessage) json.RawMessage {
	if kind != hostsKind {
		return spec
	}
	for _, h := range f.hosts {
		if h.name == name {
			return json.RawMessage(strings.Replace(string(spec), strconv.Quote(h.controlAddr), strconv.Quote(h.peerProxy.Address()), 1))
		}
	}
	return spec
}

// newHost creates a host with its proxies and without a process.
func (f *fleet) newHost(name string) (*hostProcess, error) {
	h := &hostProcess{
		fleet: f, name: name, frontAddr: testbed.FreeAddr(), readyAddr: testbed.FreeAddr(), controlAddr: testbed.FreeAddr(),
		settingsPath: filepath.Join(f.dir, name+".toml"),
	}
	var err error
	if h.storeProxy, err = NewProxy(f.store.Address()); err != nil {
		return nil, err
	}
	h.peerProxy, err = NewProxy(h.controlAddr)
	return h, err
}

// writeSettings writes the settings file of a host.
func (f *fleet) writeSettings(h *hostProcess) error {
	var seeds []string
	for _, o := range f.hosts {
		if o != h {
			seeds = append(seeds, o.peerProxy.Address())
		}
	}
	s := platformtest.Settings(h.name, h.frontAddr, h.readyAddr, h.controlAddr, h.storeProxy.Address(), seeds...)
	return errors.Trace(os.WriteFile(h.settingsPath, []byte(s), 0o644))
}

// start starts the host's process, which is restarted whenever it ends.
func (h *hostProcess) start() error {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	p, err := h.fleet.bed.Start(h.name, "sycamore-host", "--settings-file", h.settingsPath, "--admin-port", "0")
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.proc, h.endExpected, h.restartDelay = p, false, minRestartDelay
	h.starts++
	h.mu.Unlock()
	go h.restartAfterEnd(p)
	return nil
}

// restartAfterEnd waits until a process ends and starts the next one.
func (h *hostProcess) restartAfterEnd(p *testbed.Process) {
	<-p.Done()
	h.mu.Lock()
	endExpected, restartDelay := h.endExpected, h.restartDelay
	h.endedOutput = append(h.endedOutput, p.Output())
	h.mu.Unlock()
	if !endExpected {
		lines := strings.Split(strings.TrimSpace(p.Output()), "\n")
		h.fleet.audit.Report("END", "the process of %s ended unexpectedly, its last line is %.300q", h.name, lines[len(lines)-1])
	}
	time.Sleep(restartDelay)
	h.fleet.mu.Lock()
	closing := h.fleet.closing
	h.fleet.mu.Unlock()
	if closing || h.fleet.ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		h.fleet.audit.Report("SOAK", "the process of %s does not start: %v", h.name, err)
	}
}

// process returns the current process, and a name that identifies it among all processes of the run.
func (h *hostProcess) process() (*testbed.Process, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc, fmt.Sprintf("%s, process %d", h.name, h.starts)
}

// expectEnd records that the process is about to end, and for how long to delay its restart. It returns the process.
func (h *hostProcess) expectEnd(restartDelay time.Duration) *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endExpected, h.restartDelay = true, max(restartDelay, minRestartDelay)
	return h.proc
}

// kill kills the process, which restarts after restartDelay.
func (h *hostProcess) kill(restartDelay time.Duration) { h.expectEnd(restartDelay).Kill() }

// stop ends the process by SIGTERM and checks that it ends in time. The process restarts after restartDelay.
func (h *hostProcess) stop(restartDelay time.Duration) {
	began := time.Now()
	p := h.expectEnd(restartDelay)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return // the process has ended in the meantime
	}
	select {
	case <-p.Done():
	case <-time.After(stopLimit):
		if h.fleet.audit.FaultFree(began, time.Now()) {
			h.fleet.audit.Report("STOP", "%s is still there %v after SIGTERM", h.name, stopLimit)
		}
		p.Kill()
	}
}

// logs returns the output of all processes of the host, oldest first.
func (h *hostProcess) logs() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := strings.Join(h.endedOutput, "")
	select {
	case <-h.proc.Done():
		return out
	default:
		return out + h.proc.Output()
	}
}

// peakMemoryMB returns the peak memory of the current process in MB, or 0 if it has ended.
func (h *hostProcess) peakMemoryMB() int {
	p, _ := h.process()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0 // the process has ended
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(v)[0])
			return kb >> 10
		}
	}
	return 0
}

// pollReadiness polls the readiness of the hosts until the run ends, as the platform does.
func (f *fleet) pollReadiness() {
	client := &http.Client{Timeout: readyPollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for f.ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() {
				resp, err := client.Get("http://" + h.readyAddr + "/ready")
				ready := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.readyFailures++; ready {
					h.readyFailures = 0
				}
			})
		}
		wg.Wait()
		time.Sleep(readyPollInterval)
	}
}

// inRotation reports whether the platform would direct new connections to the host.
func (h *hostProcess) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.readyFailures < readyFailureThreshold
}

// addServer starts a server behind proxy p, or behind a new proxy if p is nil, and puts its entry in the store.
func (f *fleet) addServer(service string, loaded []string, p *Proxy) (*server, error) {
	f.mu.Lock()
	f.lastServer++
	id := fmt.Sprintf("s%03d", f.lastServer)
	f.mu.Unlock()
	if p == nil {
		var err error
		if p, err = NewProxy(""); err != nil {
			return nil, err
		}
	}
	o := platformtest.ServerOptions{
		ID: id, Service: service, Slots: 16, WorkTime: 8 * time.Millisecond, StreamEvents: streamEvents, EventInterval: 15 * time.Millisecond, Models: loaded,
		MaxModels: modelsPerEngine, AdapterSlots: adapterSlots, LoadTime: modelLoadTime, OrderTime: orderTime, AdvertisedAddress: p.Address(), Observer: f.audit,
		CrashPart: deadlyPart,
	}
	s := &server{proxy: p}
	o.OnCrash = func() { go f.replaceCrashed(s) }
	s.Server, s.opts = platformtest.NewServer(o), o
	p.SetTarget(s.Address())
	p.SetMode(Pass, 0)
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.register(s, ready)
	return s, nil
}

// pickServer returns a server of a service, or of any service if service is empty. It returns nil if there is none.
func (f *fleet) pickServer(target int, service string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []*server
	for _, s := range f.servers {
		if !s.removed && (service == "" || s.opts.Service == service) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[target%len(candidates)]
}

// takeForRemoval picks a server and marks it as removed. It returns nil if the server is the last one of its service.
func (f *fleet) takeForRemoval(target int) *server {
	s := f.pickServer(target, "")
	if s == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := 0
	for _, o := range f.servers {
		if !o.removed && o.opts.Service == s.opts.Service {
			remaining++
		}
	}
	if remaining < 2 || s.removed {
		return nil
	}
	s.removed = true
	return s
}

// storeNextConfig stores the next version of the configuration.
func (f *fleet) storeNextConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configVersion++
	f.store.Put("config", "main", f.configuration(f.configVersion))
	f.audit.RecordVersion(f.configVersion)
}

// servingProblem describes what keeps the fleet from serving every call. It is empty if nothing does.
func (f *fleet) servingProblem() string {
	if n := len(f.store.Names(hostsKind)); n != len(f.hosts) {
		return fmt.Sprintf("%d of %d hosts are registered", n, len(f.hosts))
	}
	for _, h := range f.hosts {
		if !h.inRotation() {
			return h.name + " is not ready"
		}
	}
	ctx, cancel := context.WithTimeout(f.ctx, callDeadline)
	defer cancel()
	var mu sync.Mutex
	problem := ""
	var wg sync.WaitGroup
	for i, c := range f.allCalls() {
		c = f.withLastingKey(c)
		wg.Go(func() {
			h := f.hosts[i%len(f.hosts)]
			if o := f.call(ctx, platformtest.NewClient(h.frontAddr), c); o.Status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				problem = fmt.Sprintf("%s %s at %s: status %d %.60s", c.call.Path, c.call.Model, h.name, o.Status, o.Body)
			}
		})
	}
	wg.Wait()
	return problem
}

// close ends all processes and stand-ins. If graceful is set, it stops the processes and checks that they end in time.
func (f *fleet) close(graceful bool) {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		if graceful {
			wg.Go(func() { h.stop(0) })
		} else {
			h.kill(0)
		}
	}
	wg.Wait()
	for _, h := range f.hosts {
		h.storeProxy.Close()
		h.peerProxy.Close()
	}
	for _, s := range f.servers {
		s.Close()
		s.proxy.Close()
	}
	f.store.Close()
}
