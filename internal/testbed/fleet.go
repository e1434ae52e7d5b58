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

var addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// FleetOptions describe a fleet on this machine.
type FleetOptions struct {
	Declarations string   // folder; its loopback addresses are replaced by free ones
	Dir          string   // working folder for the copy of the declarations
	Hosts        int      // entry hosts, spread over the availability zones of the endpoints
	EngineArgs   []string // further arguments of each engine stand-in
	ServiceArgs  []string // further arguments of each service stand-in
	ControlArgs  []string // further arguments of each control process
	EntryArgs    []string // further arguments of each entry process
	// SkipEndpoint tells which declared endpoints get no stand-in; nil for none.
	SkipEndpoint func(*config.Endpoint) bool
	// OnStandinsStarted is called when the stand-ins run and nothing else does; may be nil.
	OnStandinsStarted func(context.Context, *Fleet) error
}

// Host is one entry host with its two processes.
type Host struct {
	Name    string
	Zone    string
	Entry   *Process
	Control *Process

	EntryAddr, PeerAddr, ControlAddr string
	AdminAddr, EntryAdminAddr        string // of the control and the entry process
}

// Fleet is a running system with stand-ins around it.
type Fleet struct {
	*Testbed
	Options     FleetOptions
	Snapshot    *config.Snapshot
	Platform    *Process
	PlatformURL string // of the platform's object API
	Hosts       []*Host
	Engines     map[string]*Process // by endpoint name
	Services    map[string]*Process // by service endpoint name
}

// StartFleet starts a fleet and applies its declarations.
func StartFleet(ctx context.Context, b *Testbed, o FleetOptions) (*Fleet, error) {
	f := &Fleet{Testbed: b, Options: o, Engines: make(map[string]*Process), Services: make(map[string]*Process)}
	if err := f.relocate(); err != nil {
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

// relocate copies the declarations with free addresses in place of those of the folder.
func (f *Fleet) relocate() error {
	files, err := operator.ReadFolder(f.Options.Declarations)
	if err != nil {
		return err
	}
	moved := make(map[string]string)
	for _, file := range files {
		content := addressPattern.ReplaceAllFunc(file.Content, func(old []byte) []byte {
			if moved[string(old)] == "" {
				moved[string(old)] = FreeAddr()
			}
			return []byte(moved[string(old)])
		})
		if err := os.WriteFile(filepath.Join(f.Options.Dir, file.Name), content, 0o644); err != nil {
			return errors.Trace(err)
		}
	}
	return f.reload()
}

func (f *Fleet) reload() error {
	files, err := operator.ReadFolder(f.Options.Dir)
	if err != nil {
		return err
	}
	f.Snapshot, err = config.Build(1, files)
	return err
}

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

// StartEngine starts the stand-in of a declared endpoint, for example after it was killed.
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
	for _, o := range f.Hosts {
		if o != h {
			seeds += "," + o.ControlAddr
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

// Apply stores the fleet's folder of declarations as the next revision.
func (f *Fleet) Apply(ctx context.Context) error {
	if err := f.reload(); err != nil {
		return err
	}
	_, err := f.Run(ctx, "sycamorectl", "--platform", f.PlatformURL, "--author", "testbed", "apply", f.Options.Dir)
	return err
}

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
