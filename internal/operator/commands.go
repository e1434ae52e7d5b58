package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/logread"
)

const (
	timeLayout  = "2006-01-02 15:04:05Z07:00"
	maxKeyBytes = 4096
	// decisionLayout shows decisions of different hosts in a comparable form.
	decisionLayout = "2006-01-02T15:04:05.000Z"
)

func (c *CLI) table(header string, rows func(add func(cells ...any))) {
	w := tabwriter.NewWriter(c.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(func(cells ...any) {
		text := make([]string, len(cells))
		for i, cell := range cells {
			text[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(text, "\t"))
	})
	w.Flush()
}

func (c *CLI) check(context.Context) error {
	files, err := ReadFolder(c.dir)
	if err != nil {
		return err
	}
	_, fs := config.Check(files)
	c.printFindings(fs)
	if len(fs) > 0 {
		return errFindings
	}
	return nil
}

func (c *CLI) diff(ctx context.Context) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	states, stored, err := Diff(ctx, store, c.dir)
	if err != nil {
		return err
	}
	local := map[string]string{}
	if files, err := ReadFolder(c.dir); err == nil {
		for _, f := range files {
			local[f.Name] = string(f.Content)
		}
	}
	err = c.show(states, func() {
		for _, f := range states {
			if f.State == StateSame {
				continue
			}
			fmt.Fprintf(c.Out, "%s: %s%s\n", f.Name, f.State, by(f))
			for _, line := range lineDiff(string(stored[f.Name].Content), local[f.Name]) {
				fmt.Fprintln(c.Out, "  "+line)
			}
		}
	})
	if err == nil {
		err = conflicts(states)
	}
	return err
}

func by(f FileState) string {
	if f.Revision == 0 {
		return ""
	}
	return fmt.Sprintf(" (%s, revision %d)", f.Author, f.Revision)
}

func (c *CLI) apply(ctx context.Context) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	res, err := Apply(ctx, store, ApplyRequest{Dir: c.dir, Author: c.Author, Only: c.only})
	if err != nil {
		return err
	}
	return c.show(res, func() {
		for _, f := range res.Warnings {
			fmt.Fprintln(c.Err, f)
		}
		if len(res.Changed) == 0 {
			fmt.Fprintf(c.Out, "nothing to change, revision %d is stored\n", res.Revision)
			return
		}
		for _, f := range res.Changed {
			fmt.Fprintf(c.Out, "%s %s\n", verb(f), f.Name)
		}
		fmt.Fprintf(c.Out, "revision %d stored\n", res.Revision)
	})
}

func verb(f FileChange) string {
	switch {
	case f.Before == "":
		return "added"
	case f.After == "":
		return "removed"
	}
	return "changed"
}

func (c *CLI) pull(ctx context.Context) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	res, err := Pull(ctx, store, c.dir, c.resolved)
	var conflict *ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return err
	}
	if serr := c.show(res, func() {
		for _, f := range res.Files {
			fmt.Fprintf(c.Out, "%s: %s%s\n", f.Name, f.State, by(f))
		}
		fmt.Fprintf(c.Out, "in step with revision %d except for local edits\n", res.Revision)
	}); serr != nil {
		return serr
	}
	return err
}

func (c *CLI) history(ctx context.Context) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	head, err := LoadHead(ctx, store)
	if err != nil {
		return err
	}
	return c.show(head.History, func() {
		c.table("REVISION\tTIME\tAUTHOR\tFILES", func(add func(...any)) {
			for i := len(head.History) - 1; i >= 0; i-- {
				h := head.History[i]
				var files []string
				for _, f := range h.Files {
					files = append(files, verb(f)+" "+f.Name)
				}
				add(h.Revision, time.Unix(h.UnixTime, 0).UTC().Format(timeLayout), h.Author, strings.Join(files, ", "))
			}
		})
	})
}

func (c *CLI) status(ctx context.Context) error {
	admin, err := c.admin()
	if err != nil {
		return err
	}
	s, raw, err := admin.Status(ctx)
	if err != nil {
		return err
	}
	return c.show(raw, func() {
		fmt.Fprintf(c.Out, "host %s, availability zone %s, revision %d, placement version %d, lease holder %s, epoch %d\n\n",
			s.Host, s.Zone, s.Revision, s.PlacementVersion, s.Lease.Holder, s.Lease.Epoch)
		c.table("HOST\tZONE\tSTATE\tREVISION\tLOAD\tROLES", func(add func(...any)) {
			for _, m := range s.Members {
				state := m.State
				if m.Leaving {
					state += " (leaving)"
				}
				add(m.Host, m.Zone, state, m.Revision, fmt.Sprintf("%.1f%%", float64(m.Load)/10), s.roles(m.Host))
			}
		})
		fmt.Fprintln(c.Out)
		c.endpointTable(s.Endpoints)
	})
}

func (c *CLI) endpointTable(list []EndpointStatus) {
	c.table("ENDPOINT\tRUNNING\tWAITING\tLEAVING\tRESIDENTS\tINTENTS", func(add func(...any)) {
		for _, e := range list {
			running, waiting := "?", "?"
			if e.Reported {
				running, waiting = fmt.Sprint(e.Running), fmt.Sprint(e.Waiting)
			}
			leaving := e.Reason
			if leaving == "" {
				leaving = "-"
				if e.Leaving {
					leaving = "yes"
				}
			}
			add(e.Name, running, waiting, leaving, strings.Join(e.Residents, " "), strings.Join(e.Intents, " "))
		}
	})
}

// roles names the roles of a host in its cell.
func (s *Status) roles(host string) string {
	var out []string
	if host == s.Lease.Holder {
		out = append(out, "lease")
	}
	if host == s.Dispatcher {
		out = append(out, "dispatcher")
	}
	return strings.Join(out, " ")
}

// explainLogs tells what collected logs say of a request.
func (c *CLI) explainLogs() error {
	files, err := logread.Files(c.logs)
	if err != nil {
		return errors.Annotate(err, "--logs")
	}
	s, err := logread.Read(files, c.subject)
	if err != nil {
		return err
	}
	return c.show(s, func() {
		fmt.Fprintf(c.Out, "request %s: %s\n\n", s.Request, s.Cause())
		rows := func(lines []logread.Line) {
			c.table("TIME\tHOST\tPART\tMESSAGE\tFIELDS", func(add func(...any)) {
				for _, l := range lines {
					add(l.Time.UTC().Format(decisionLayout), l.Source, l.Part, l.Message, fields(l.Fields))
				}
			})
		}
		rows(s.Own)
		fmt.Fprintf(c.Out, "\nits endpoints, its model and the duties, in the %v before:\n\n", logread.ContextWindow)
		rows(s.Around)
	})
}

func (c *CLI) explain(ctx context.Context) error {
	if len(c.logs) > 0 {
		return c.explainLogs()
	}
	admin, err := c.admin()
	if err != nil {
		return err
	}
	got, err := admin.Explain(ctx, c.subject)
	if err != nil {
		return err
	}
	return c.show(got, func() {
		if len(got.Entries) == 0 {
			fmt.Fprintf(c.Out, "no decisions about %s are recorded\n", c.subject)
		} else {
			c.table("TIME\tPROCESS\tPART\tSUBJECT\tDECISION\tREASON\tFIELDS", func(add func(...any)) {
				for _, e := range got.Entries {
					add(e.Time.UTC().Format(decisionLayout), e.Fields["process"], e.Part, e.Subject, e.Decision, e.Reason, fields(e.Fields))
				}
			})
		}
		for _, m := range got.Missing {
			fmt.Fprintf(c.Out, "no answer from %s\n", m)
		}
	})
}

// fields prints the fields of a decision in the order of their names.
func fields(f map[string]string) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(f)) {
		if k != "process" {
			out = append(out, k+"="+f[k])
		}
	}
	return strings.Join(out, " ")
}

func (c *CLI) maintenance(ctx context.Context) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	d, err := StoredDeclarations(ctx, store)
	if err != nil {
		return err
	}
	var status *Status
	var unreachable error
	if admin, err := c.admin(); err == nil {
		if s, _, err := admin.Status(ctx); err == nil {
			status = &s
		} else {
			unreachable = err
		}
	}
	windows := Windows(d, status, time.Now())
	if err := c.show(windows, func() {
		for _, w := range windows {
			fmt.Fprintf(c.Out, "%s: %s, %s to %s, drain %s, hosts %s\n", w.Name, w.State,
				w.Start.Format(timeLayout), w.End.Format(timeLayout), w.Drain, strings.Join(w.Hosts, " "))
			if status != nil {
				c.endpointTable(w.Endpoints)
				fmt.Fprintf(c.Out, "in progress: %d requests; without another copy: %s\n", w.InProgress, cmp.Or(strings.Join(w.OnlyCopies, " "), "none"))
			}
		}
	}); err != nil {
		return err
	}
	return unreachable
}

func (c *CLI) hashKey(context.Context) error {
	b, err := io.ReadAll(io.LimitReader(c.In, maxKeyBytes+1))
	if err != nil {
		return errors.Trace(err)
	}
	key := strings.TrimRight(string(b), "\r\n")
	if key == "" || len(key) > maxKeyBytes || strings.ContainsAny(key, " \t\r\n") {
		return usageError{fmt.Sprintf("standard input must hold one key of at most %d bytes without spaces", maxKeyBytes)}
	}
	_, err = fmt.Fprintln(c.Out, config.Digest([]byte(key)))
	return errors.Trace(err)
}
