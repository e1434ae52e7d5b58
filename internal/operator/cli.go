package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/objects"
)

// Exit codes of sycamorectl.
const (
	ExitOK          = 0
	ExitFindings    = 1 // findings, a conflict or a refused change
	ExitUsage       = 2
	ExitUnavailable = 3 // the platform or the control process did not answer
)

// Options are the settings that all commands share.
type Options struct {
	Platform      string // URL of the object API
	PlatformToken string
	Author        string
	Control       string // ip:port of a control process's admin port
	OperatorToken string
	Output        string // table or json
}

// CLI runs the commands of sycamorectl.
type CLI struct {
	*Options
	In       io.Reader
	Out, Err io.Writer

	dir, only, subject string
	resolved, logs     []string
	commands           map[string]func(context.Context) error
}

// errFindings ends a command whose findings were already printed.
var errFindings = errors.New("findings")

// usageError is a command line that lacks what the command needs.
type usageError struct{ msg string }

// Error implements error.
func (e usageError) Error() string { return e.msg }

// Register adds the commands to an application.
func (c *CLI) Register(app *kingpin.Application) {
	c.commands = make(map[string]func(context.Context) error)
	add := func(name, help string, run func(context.Context) error) *kingpin.CmdClause {
		c.commands[name] = run
		return app.Command(name, help)
	}
	folder := func(cmd *kingpin.CmdClause) *kingpin.CmdClause {
		cmd.Arg("dir", "Folder of declaration files.").Required().ExistingDirVar(&c.dir)
		return cmd
	}
	folder(add("check", "Report all findings of a folder.", c.check))
	folder(add("diff", "Compare a folder with the stored declarations.", c.diff))
	apply := folder(add("apply", "Store the changes of a folder as the next revision.", c.apply))
	apply.Flag("only", "Store only this file of the folder.").StringVar(&c.only)
	pull := folder(add("pull", "Bring files that the folder did not change in step with the stored declarations.", c.pull))
	pull.Flag("resolved", "File whose conflict was merged by hand; may be repeated.").StringsVar(&c.resolved)
	add("history", "List revisions with their author and files.", c.history)
	add("status", "Show the state of a cell as a control process sees it.", c.status)
	explain := add("explain", "Show the decisions about a request id, model or endpoint.", c.explain)
	explain.Arg("subject", "Request id, model or endpoint; with --logs, a request id.").Required().StringVar(&c.subject)
	explain.Flag("logs", "Collected log of a host, or a folder of them, to search instead of asking a control process; may be repeated.").StringsVar(&c.logs)
	add("maintenance", "List maintenance windows and what is still on their hosts.", c.maintenance)
	add("hash-key", "Print the SHA-256 of an API key read from standard input.", c.hashKey)
}

// Run executes the command that kingpin selected and returns the exit code.
func (c *CLI) Run(ctx context.Context, command string) int {
	err := c.commands[command](ctx)
	if err == nil {
		return ExitOK
	}
	var findings config.Findings
	if errors.As(err, &findings) {
		c.printFindings(findings)
	} else if !errors.Is(err, errFindings) {
		fmt.Fprintf(c.Err, "sycamorectl: %s: %v\n", command, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	switch {
	case errors.As(err, &usage), errors.Is(err, ErrAuthor):
		return ExitUsage
	case errors.Is(err, objects.ErrUnavailable), errors.Is(err, objects.ErrThrottled), errors.Is(err, ErrControl):
		return ExitUnavailable
	}
	return ExitFindings
}

func (c *CLI) store() (objects.Store, error) {
	if c.Platform == "" {
		return nil, usageError{"the URL of the platform is missing: use --platform or SYCAMORECTL_PLATFORM"}
	}
	return objects.NewClient(c.Platform, c.PlatformToken), nil
}

func (c *CLI) admin() (Admin, error) {
	if c.Control == "" {
		return Admin{}, usageError{"the address of a control process is missing: use --control or SYCAMORECTL_CONTROL"}
	}
	return Admin{Address: c.Control, Token: c.OperatorToken}, nil
}

// show prints v as JSON or calls table, as --output says.
func (c *CLI) show(v any, table func()) error {
	if c.Output != "json" {
		table()
		return nil
	}
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(v))
}

func (c *CLI) printFindings(fs config.Findings) {
	if fs == nil {
		fs = config.Findings{}
	}
	c.show(fs, func() {
		for _, f := range fs {
			fmt.Fprintln(c.Out, f)
		}
	})
}
