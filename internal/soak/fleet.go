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
	"syscall"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/testbed"
	"sycamoredeal/platform/platformtest"
)

const (
	models       = 4
	adapters     = 5
	engines      = 3
	plainServers = 3
	resident     = 2 // models that an engine holds
	adapterSlots = 3
	loadTime     = 150 * time.Millisecond
	orderTime    = 5 * time.Millisecond
	startPause   = 300 * time.Millisecond // before the platform starts a process again
	readyEvery   = 200 * time.Millisecond // between looks at whether hosts are ready
	readyMisses  = 2
	goneAfter    = time.Second // the platform drops the entry of a crashed server
	drainTime    = 3 * time.Second
	hostsKind    = "sycamore-hosts"
	serversKind  = "servers"
)

// fleet is the host processes of one run, with the stand-ins and proxies around them.
type fleet struct {
	ctx   context.Context
	bed   *testbed.Testbed
	dir   string
	audit *Audit
	store *platformtest.Store
	hosts []*hostProcess

	mu      sync.Mutex
	servers []*server
	next    int // number of the next server
	version int // of the configuration
	ending  bool
}

// hostProcess is one host with its proxies. Its process is started again whenever it ends.
type hostProcess struct {
	f                     *fleet
	name                  string
	front, ready, control string
	storeProxy, peerProxy *Proxy
	settings              string     // path of the file
	settingsMu            sync.Mutex // held while the file can't be read

	mu       sync.Mutex
	proc     *testbed.Process
	starts   int
	expected bool          // the process has been told to end
	pause    time.Duration // until it starts again
	misses   int
	output   []string // of ended processes
}

// server is a stand-in server behind its proxy.
type server struct {
	*platformtest.Server
	proxy *Proxy
	opts  platformtest.ServerOptions
	gone  bool
}

func startFleet(ctx context.Context, bed *testbed.Testbed, dir string, hosts int, audit *Audit) (*fleet, error) {
	f := &fleet{ctx: ctx, bed: bed, dir: dir, audit: audit, store: platformtest.NewStore()}
	f.store.RewriteWith(f.throughProxy)
	f.configure()
	for i := range engines {
		var held []string
		for m := range resident {
			held = append(held, fmt.Sprint("m", (i*resident+m)%models))
		}
		if _, err := f.addServer(platformtest.EngineService, held, nil); err != nil {
			return nil, err
		}
	}
	for range plainServers {
		if _, err := f.addServer(platformtest.PlainService, nil, nil); err != nil {
			return nil, err
		}
	}
	for i := range hosts {
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
	go f.watchReady()
	return f, nil
}

// throughProxy replaces the address that a host registers by that of its proxy.
func (f *fleet) throughProxy(kind, name string, spec json.RawMessage) json.RawMessage {
	if kind != hostsKind {
		return spec
	}
	for _, h := range f.hosts {
		if h.name == name {
			return json.RawMessage(strings.Replace(string(spec), strconv.Quote(h.control), strconv.Quote(h.peerProxy.Address()), 1))
		}
	}
	return spec
}

func (f *fleet) newHost(name string) (*hostProcess, error) {
	h := &hostProcess{
		f: f, name: name, front: testbed.FreeAddr(), ready: testbed.FreeAddr(), control: testbed.FreeAddr(),
		settings: filepath.Join(f.dir, name+".toml"),
	}
	var err error
	if h.storeProxy, err = NewProxy(f.store.Address()); err != nil {
		return nil, err
	}
	h.peerProxy, err = NewProxy(h.control)
	return h, err
}

func (f *fleet) writeSettings(h *hostProcess) error {
	var seeds []string
	for _, o := range f.hosts {
		if o != h {
			seeds = append(seeds, o.peerProxy.Address())
		}
	}
	s := platformtest.Settings(h.name, h.front, h.ready, h.control, h.storeProxy.Address(), seeds...)
	return errors.Trace(os.WriteFile(h.settings, []byte(s), 0o644))
}

// start starts the host's process and watches it.
func (h *hostProcess) start() error {
	h.settingsMu.Lock()
	defer h.settingsMu.Unlock()
	p, err := h.f.bed.Start(h.name, "sycamore-host", "--settings-file", h.settings, "--admin-port", "0")
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.proc, h.expected, h.pause = p, false, startPause
	h.starts++
	h.mu.Unlock()
	go h.watch(p)
	return nil
}

// watch starts the process again after its end.
func (h *hostProcess) watch(p *testbed.Process) {
	<-p.Done()
	h.mu.Lock()
	expected, pause := h.expected, h.pause
	h.output = append(h.output, p.Output())
	h.mu.Unlock()
	if !expected {
		h.f.audit.Violate("END", "the process of %s ended by itself", h.name)
	}
	time.Sleep(pause)
	h.f.mu.Lock()
	ending := h.f.ending
	h.f.mu.Unlock()
	if ending || h.f.ctx.Err() != nil {
		return
	}
	if err := h.start(); err != nil {
		h.f.audit.Violate("SOAK", "%s does not start: %v", h.name, err)
	}
}

// process returns the current process, and a name for it that no other process has.
func (h *hostProcess) process() (*testbed.Process, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc, fmt.Sprintf("%s, process %d", h.name, h.starts)
}

// expectEnd tells the watcher that the process is about to end and when it has to start again.
func (h *hostProcess) expectEnd(pause time.Duration) *testbed.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected, h.pause = true, max(pause, startPause)
	return h.proc
}

// kill ends the process at once. pause is the time until it starts again.
func (h *hostProcess) kill(pause time.Duration) { h.expectEnd(pause).Kill() }

// stop ends the process with a signal, and checks that it ends in time.
func (h *hostProcess) stop(pause time.Duration) {
	began := time.Now()
	p := h.expectEnd(pause)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return // it has ended meanwhile
	}
	select {
	case <-p.Done():
	case <-time.After(stopWithin):
		if h.f.audit.Calm(began, time.Now()) {
			h.f.audit.Violate("STOP", "%s is still there %v after SIGTERM", h.name, stopWithin)
		}
		p.Kill()
	}
}

// logs returns the output of all processes of the host, oldest first.
func (h *hostProcess) logs() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := strings.Join(h.output, "")
	select {
	case <-h.proc.Done():
		return out
	default:
		return out + h.proc.Output()
	}
}

// peakMB returns the largest memory that the current process has had, in MB.
func (h *hostProcess) peakMB() int {
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

// watchReady asks hosts whether they take callers, as the platform does.
func (f *fleet) watchReady() {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for f.ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() {
				resp, err := client.Get("http://" + h.ready + "/ready")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					resp.Body.Close()
				}
				h.mu.Lock()
				defer h.mu.Unlock()
				if h.misses++; ok {
					h.misses = 0
				}
			})
		}
		wg.Wait()
		time.Sleep(readyEvery)
	}
}

func (h *hostProcess) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.misses < readyMisses
}

// addServer starts a server with an entry in the store. It uses a given proxy, or one of its own.
func (f *fleet) addServer(service string, held []string, p *Proxy) (*server, error) {
	f.mu.Lock()
	f.next++
	id := fmt.Sprintf("s%03d", f.next)
	f.mu.Unlock()
	if p == nil {
		var err error
		if p, err = NewProxy(""); err != nil {
			return nil, err
		}
	}
	o := platformtest.ServerOptions{
		ID: id, Service: service, Slots: 16, Work: 8 * time.Millisecond, Events: streamEvents, Pause: 15 * time.Millisecond, Models: held,
		Resident: resident, AdapterSlots: adapterSlots, LoadTime: loadTime, OrderTime: orderTime, Advertise: p.Address(), Observer: f.audit,
	}
	s := &server{Server: platformtest.NewServer(o), proxy: p, opts: o}
	p.SetTarget(s.Address())
	p.Set(Pass, 0)
	s.Register(f.store, "ready")
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// pick returns a server that is there, or nil.
func (f *fleet) pick(target int, service string) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var there []*server
	for _, s := range f.servers {
		if !s.gone && (service == "" || s.opts.Service == service) {
			there = append(there, s)
		}
	}
	if len(there) == 0 {
		return nil
	}
	return there[target%len(there)]
}

// take is pick for a server that is about to go. The last one of a service stays.
func (f *fleet) take(target int) *server {
	s := f.pick(target, "")
	if s == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	left := 0
	for _, o := range f.servers {
		if !o.gone && o.opts.Service == s.opts.Service {
			left++
		}
	}
	if left < 2 || s.gone {
		return nil
	}
	s.gone = true
	return s
}

// configure stores the next version of the configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.store.Put("config", "main", configuration(f.version))
	f.audit.Configured(f.version)
}

// recovered returns what keeps the fleet from serving everything, empty if nothing does.
func (f *fleet) recovered() string {
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
	missing := ""
	var wg sync.WaitGroup
	for i, c := range f.everything() {
		wg.Go(func() {
			h := f.hosts[i%len(f.hosts)]
			if o := f.call(ctx, platformtest.NewClient(h.front), c); o.Status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				missing = fmt.Sprintf("%s %s at %s: status %d %.60s", c.call.Path, c.call.Model, h.name, o.Status, o.Body)
			}
		})
	}
	wg.Wait()
	return missing
}

// close ends all processes and stand-ins. It checks that processes end as they should.
func (f *fleet) close(graceful bool) {
	f.mu.Lock()
	f.ending = true
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
