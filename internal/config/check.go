package config

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"sycamoredeal/internal/wire"
)

// Check merges files in the order of their names and returns the declarations with all findings. Rules that compare
// entries are skipped while a file cannot be parsed, because they would only report what that file declares.
func Check(files []wire.File) (Declarations, Findings) {
	sorted := append([]wire.File(nil), files...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	var all Declarations
	if f := checkSize(sorted); f != nil {
		return all, Findings{*f}
	}
	d := &decoder{origins: make(map[string]*origin), badTypes: make(map[string]bool)}
	unreadable := false
	for i, f := range sorted {
		d.file = f.Name
		if i > 0 && sorted[i-1].Name == f.Name {
			d.report(SeverityError, nil, "(file)", "two files have this name")
			continue
		}
		m, finding := parseFile(f)
		if finding != nil {
			d.findings = append(d.findings, *finding)
			unreadable = true
		} else if m != nil {
			d.structure(m, reflect.ValueOf(&all).Elem(), "", "")
		}
	}
	pruneAll(d, &all)
	if !unreadable {
		c := newChecker(d, &all)
		c.run()
	}
	d.findings.sort()
	return all, d.findings
}

func checkSize(files []wire.File) *Finding {
	total := 0
	for _, f := range files {
		total += len(f.Content)
	}
	if len(files) <= MaxFiles && total <= maxTotalBytes {
		return nil
	}
	return &Finding{
		File: "(folder)", Field: "(folder)", Severity: SeverityError,
		Message: fmt.Sprintf("%d files with %d bytes; the limits are %d files and %d bytes", len(files), total, MaxFiles, maxTotalBytes),
	}
}

func pruneAll(d *decoder, all *Declarations) {
	all.Ranks = prune(d, all.Ranks, "ranks", func(v *Rank) string { return v.Name })
	all.Callers = prune(d, all.Callers, "callers", func(v *Caller) string { return v.Name })
	all.Models = prune(d, all.Models, "models", func(v *Model) string { return v.Name })
	all.Adapters = prune(d, all.Adapters, "adapters", func(v *Adapter) string { return v.Name })
	all.Endpoints = prune(d, all.Endpoints, "endpoints", func(v *Endpoint) string { return v.Name })
	all.Services = prune(d, all.Services, "services", func(v *Service) string { return v.Name })
	all.Maintenance = prune(d, all.Maintenance, "maintenance", func(v *Maintenance) string { return v.Name })
	for i := range all.Services {
		s := &all.Services[i]
		s.Endpoints = prune(d, s.Endpoints, "services/"+s.Name+"/endpoints", func(v *ServiceEndpoint) string { return v.Name })
	}
}

// checker applies the rules that compare values and entries.
type checker struct {
	*decoder
	*Declarations
	ranks, callers, models map[string]bool
	hosts                  map[string]bool
	addresses              map[string]string // address -> field that uses it
}

func newChecker(d *decoder, all *Declarations) *checker {
	c := &checker{
		decoder: d, Declarations: all, ranks: map[string]bool{}, callers: map[string]bool{}, models: map[string]bool{},
		hosts: map[string]bool{}, addresses: map[string]string{},
	}
	for i := range all.Ranks {
		c.ranks[all.Ranks[i].Name] = true
	}
	for i := range all.Callers {
		c.callers[all.Callers[i].Name] = true
	}
	for i := range all.Models {
		c.models[all.Models[i].Name] = true
	}
	for i := range all.Endpoints {
		c.hosts[all.Endpoints[i].Host] = true
	}
	for i := range all.Services {
		for j := range all.Services[i].Endpoints {
			c.hosts[all.Services[i].Endpoints[j].Host] = true
		}
	}
	return c
}

func (c *checker) run() {
	c.checkRanks()
	c.checkCallers()
	c.checkModels()
	c.checkAdapters()
	c.checkEndpoints()
	c.checkServices()
	c.checkWeightStore()
	c.checkCapacity()
	c.checkMaintenance()
}

// fail reports an error at a field of the entry with the given path; the last file that gives the field is named.
func (c *checker) fail(path, key, format string, args ...any) {
	c.at(SeverityError, path, key, format, args...)
}

func (c *checker) warn(path, key, format string, args ...any) {
	c.at(SeverityWarning, path, key, format, args...)
}

func (c *checker) at(sev Severity, path, key, format string, args ...any) {
	f := Finding{Field: join(displayPath(path), key), Severity: sev, Message: fmt.Sprintf(format, args...)}
	if c.badTypes[f.Field] {
		return
	}
	sources := c.origin(path).sources
	for i := len(sources) - 1; i >= 0; i-- {
		s := sources[i]
		for _, kv := range s.node.Values {
			if kv.Key.GetToken().Value == key {
				p := kv.Key.GetToken().Position
				f.File, f.Line, f.Column = s.file, p.Line, p.Column
				c.findings = append(c.findings, f)
				return
			}
		}
	}
	if len(sources) > 0 {
		s := sources[0]
		f.File = s.file
		if tk := startOf(s.node); tk != nil {
			f.Line, f.Column = tk.Position.Line, tk.Position.Column
		}
	}
	c.findings = append(c.findings, f)
}

// displayPath turns services/shop/endpoints/shop-1 into services[shop].endpoints[shop-1]. Names may contain slashes, so
// only the two lists of services are split further.
func displayPath(path string) string {
	list, name, ok := strings.Cut(path, "/")
	if !ok {
		return path
	}
	if list == "services" {
		if svc, ep, nested := strings.Cut(name, "/endpoints/"); nested {
			return fmt.Sprintf("services[%s].endpoints[%s]", svc, ep)
		}
	}
	return fmt.Sprintf("%s[%s]", list, name)
}
