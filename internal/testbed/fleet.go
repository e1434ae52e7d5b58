package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/operator"
)

// loopbackAddress matches the addresses in example declarations.
var loopbackAddress = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// FleetOptions describes a fleet on this machine.
type FleetOptions struct {
	Declarations string   // folder of the declarations to copy
	Dir          string   // folder for the copy, in which loopback addresses are replaced by free ones
	Hosts        int      // number of entry hosts, spread over the availability zones of the endpoints
	EngineArgs   []string // additional arguments of each engine stand-in
	ServiceArgs  []string // additional arguments of each service stand-in
	ControlArgs  []string // additional arguments of each control process
	EntryArgs    []string // additional arguments of each entry process
	// SkipEndpoint reports whether a declared endpoint gets no stand-in. If nil, every endpoint gets one.
	SkipEndpoint func(*config.Endpoint) bool
	// OnStandinsStarted is called after the stand-ins have started and before any process of the system; it may be nil.
	OnStandinsStarted func(context.Context, *Fleet) error
}

// Host is an entry host with its entry and control process.
type Host struct {
	Name    string
	Zone    string
	Entry   *Process
	Control *Process

	EntryAddr, PeerAddr, ControlAddr string // listen addresses for callers, for other entry processes, and of the control process
	AdminAddr, EntryAdminAddr        string // of the control process and of the entry process
}

// Fleet is a running system with stand-ins around it.
type Fleet struct {
	*Testbed
	Options     FleetOptions
	Snapshot    *config.Snapshot
	Platform    *Process
	PlatformURL string // base URL of the platform stand-in's object API
	Hosts       []*Host
	Engines     map[string]*Process // by endpoint name
	Services    map[string]*Process // by service endpoint name
}

// StartFleet starts the stand-ins, applies the declarations, starts the hosts and waits until every entry is ready.
func StartFleet(ctx context.Context, b *Testbed, o FleetOptions) (*Fleet, error) {
	f := &Fleet{Testbed: b, Options: o, Engines: make(map[string]*Process), Services: make(map[string]*Process)}
	if err := f.copyDeclarations(); err != nil {
		return nil, err
	}
	if err := f.startStandins(ctx); err != nil {
		return nil, err
	}
	if o.OnStandinsStarted != nil {
		if err := o.OnStandinsStarted(ctx, f); err != nil {
			return nil, err
		}
	}
	if err := f.Apply(ctx); err != nil {
		return nil, err
	}
	zones := f.zones()
	for i := range o.Hosts {
		f.Hosts = append(f.Hosts, &Host{
			Name: fmt.Sprintf("entry-%02d", i+1), Zone: zones[i%len(zones)],
			EntryAddr: FreeAddr(), PeerAddr: FreeAddr(), ControlAddr: FreeAddr(), AdminAddr: FreeAddr(), EntryAdminAddr: FreeAddr(),
		})
	}
	for _, h := range f.Hosts {
		if err := f.StartControl(h); err != nil {
			return nil, err
		}
		if err := f.StartEntry(h); err != nil {
			return nil, err
		}
	}
	for _, h := range f.Hosts {
		if err := WaitHTTP(ctx, "http://"+h.EntryAddr+"/readyz"); err != nil {
			return nil, errors.Annotatef(err, "%s: %s%s", h.Name, h.Control.Output(), h.Entry.Output())
		}
	}
	return f, nil
}

// copyDeclarations copies the declarations into Options.Dir. It replaces each loopback address by a free one, the same in
// all files.
func (f *Fleet) copyDeclarations() error {
	files, err := operator.ReadFolder(f.Options.Declarations)
	if err != nil {
		return err
	}
	newAddrs := make(map[string]string)
	for _, file := range files {
		content := loopbackAddress.ReplaceAllFunc(file.Content, func(old []byte) []byte {
			if newAddrs[string(old)] == "" {
				newAddrs[string(old)] = FreeAddr()
			}
			return []byte(newAddrs[string(old)])
		})
		if err := os.WriteFile(filepath.Join(f.Options.Dir, file.Name), content, 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return f.reloadSnapshot()
}

// reloadSnapshot builds Snapshot from the declarations in Options.Dir.
func (f *Fleet) reloadSnapshot() error {
	files, err := operator.ReadFolder(f.Options.Dir)
	if err != nil {
		return err
	}
	f.Snapshot, err = config.Build(1, files)
	return err
}

// startStandins starts the stand-ins of the platform, the endpoints and the services, and waits until the platform and the
// engines answer.
func (f *Fleet) startStandins(ctx context.Context) error {
	addr := FreeAddr()
	var err error
	if f.Platform, err = f.Start("platform", "sycamore-standin", "--listen", addr, "platform"); err != nil {
		return err
	}
	f.PlatformURL = "http://" + addr
	for i := range f.Snapshot.Endpoints {
		if f.Options.SkipEndpoint != nil && f.Options.SkipEndpoint(&f.Snapshot.Endpoints[i]) {
			continue
		}
		if err := f.StartEngine(&f.Snapshot.Endpoints[i]); err != nil {
			return err
		}
	}
	for _, s := range f.Snapshot.Services {
		for _, e := range s.Endpoints {
			args := append([]string{"--listen", e.Address, "service"}, f.Options.ServiceArgs...)
			if f.Services[e.Name], err = f.Start(e.Name, "sycamore-standin", args...); err != nil {
				return err
			}
		}
	}
	for name := range f.Engines {
		if err := WaitHTTP(ctx, "http://"+f.Snapshot.Endpoint(name).Address+"/v1/report"); err != nil {
			return err
		}
	}
	return WaitHTTP(ctx, f.PlatformURL+"/apis/sycamoredeal/v1/leases")
}

// StartEngine starts the engine stand-in of a declared endpoint. Tests also use it to start a killed one again.
func (f *Fleet) StartEngine(e *config.Endpoint) error {
	args := []string{"--listen", e.Address, "engine", "--memory", strconv.FormatInt(int64(e.Memory+e.AdapterMemory), 10), "--slots", strconv.Itoa(e.Slots)}
	if e.ChecksFencing {
		args = append(args, "--checks-fencing")
	}
	p, err := f.Start(e.Name, "sycamore-standin", append(args, f.Options.EngineArgs...)...)
	f.Engines[e.Name] = p
	return err
}

// StartControl starts the control process of a host.
func (f *Fleet) StartControl(h *Host) (err error) {
	var seeds string
	for _, other := range f.Hosts {
		if other != h {
			seeds += "," + other.ControlAddr
		}
	}
	args := []string{"--host", h.Name, "--zone", h.Zone, "--listen", h.ControlAddr, "--admin-listen", h.AdminAddr, "--entry-address", h.PeerAddr, "--caller-address", h.EntryAddr, "--platform", f.PlatformURL}
	if seeds != "" {
		args = append(args, "--seeds", seeds[1:])
	}
	h.Control, err = f.Start("control "+h.Name, "sycamore-control", append(args, f.Options.ControlArgs...)...)
	return err
}

// StartEntry starts the entry process of a host.
func (f *Fleet) StartEntry(h *Host) (err error) {
	args := []string{"--host", h.Name, "--zone", h.Zone, "--listen", h.EntryAddr, "--peer-listen", h.PeerAddr, "--control", h.ControlAddr, "--admin-listen", h.EntryAdminAddr}
	h.Entry, err = f.Start("entry "+h.Name, "sycamore-entry", append(args, f.Options.EntryArgs...)...)
	return err
}

// Apply stores the declarations in Options.Dir as the next revision.
func (f *Fleet) Apply(ctx context.Context) error {
	if err := f.reloadSnapshot(); err != nil {
		return err
	}
	_, err := f.Run(ctx, "sycamorectl", "--platform", f.PlatformURL, "--author", "testbed", "apply", f.Options.Dir)
	return err
}

// zones returns the availability zones of the endpoints, in order of first use.
func (f *Fleet) zones() []string {
	var out []string
	seen := make(map[string]bool)
	for _, e := range f.Snapshot.Endpoints {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			out = append(out, e.Zone)
		}
	}
	return out
}
