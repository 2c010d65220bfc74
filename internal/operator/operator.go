// Package operator implements the operators' commands for the configuration and for callers' API keys.
// It owns no state. When the platform's store is unavailable, the commands that need it exit with ExitUnavailable
// and report whether a change may have been committed; check works without the store.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
)

// Exit codes of the commands, also listed in docs/configuration.md.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitNotInForce  = 6
)

// DefaultWait is how long a command waits for its revision to be in force on all VMs. It is the time documented for
// operators.
const DefaultWait = 4 * time.Second

// inForcePoll is the interval at which the VMs are queried.
const inForcePoll = 100 * time.Millisecond

// EnvPlatform is the environment variable that is used when --platform is not given.
const EnvPlatform = "GERANIUMLADDER_PLATFORM"

// Platform is the part of the platform's API that the commands use.
type Platform interface {
	storer.Table
	storer.Objects
	storer.VMs
}

// InForce finds the live VMs that do not have a revision in force yet.
type InForce interface {
	// InForce returns the names of the live VMs that report a lower revision or do not respond.
	InForce(ctx context.Context, revision int64) (missing []string, err error)
}

// Config configures the commands.
type Config struct {
	// Open connects to the platform; it defaults to storer.NewClient.
	Open func(url string) Platform
	// InForce returns the InForce that queries the VMs. If nil, the commands do not wait and report the revision as not
	// confirmed.
	InForce func(url string) InForce
	// Wait defaults to DefaultWait.
	Wait time.Duration
	// Backoff defaults to applier.DefaultBackoff.
	Backoff time.Duration
}

// ExitError is a command's error together with its exit code.
type ExitError struct {
	Code  int
	Cause error
}

// Error implements error.
func (f *ExitError) Error() string { return f.Cause.Error() }

// Unwrap returns Cause.
func (f *ExitError) Unwrap() error { return f.Cause }

// ExitCode implements cli.ExitCoder, so that the program exits with Code.
func (f *ExitError) ExitCode() int { return f.Code }

// NotInForceError reports that a revision was committed but is not yet in force on some live VMs.
type NotInForceError struct {
	Revision int64
	Missing  []string
	Cause    error
}

// Error implements error. The message tells the operator not to apply again.
func (e *NotInForceError) Error() string {
	text := fmt.Sprintf("revision %d is accepted but not yet in force everywhere", e.Revision)
	if len(e.Missing) > 0 {
		text += ": " + strings.Join(e.Missing, ", ") + " do not have it"
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text + "; do not apply it again, each VM fetches it as soon as it reaches the platform"
}

// Flags returns the flags of the root command, which all commands share.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "`URL` of the platform", Sources: cli.EnvVars(EnvPlatform)},
		&cli.StringFlag{Name: "output", Usage: "`FORMAT` of the result, text or json", Value: "text"},
	}
}

// Commands returns the commands with their default configuration.
func Commands() []*cli.Command { return Config{}.Commands() }

// Commands returns the operators' commands.
func (c Config) Commands() []*cli.Command {
	if c.Open == nil {
		c.Open = func(url string) Platform { return storer.NewClient(storer.ClientConfig{URL: url}) }
	}
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	return []*cli.Command{
		command("check", "check the files of a folder, without the platform unless --diff is given", "DIR",
			"geraniumladder check --strict configuration", c.check,
			&cli.BoolFlag{Name: "strict", Usage: "exit with 3 if there are warnings"},
			&cli.BoolFlag{Name: "diff", Usage: "also show the differences from the newest revision on the platform"}),
		command("diff", "show what apply would change", "DIR",
			"geraniumladder --platform http://10.0.0.2:8000 diff configuration", c.diff),
		command("apply", "commit the edits of a folder and wait until they are in force everywhere", "DIR",
			"geraniumladder --platform http://10.0.0.2:8000 apply configuration", c.apply),
		command("watch", "apply a folder at each save until interrupted", "DIR",
			"GERANIUMLADDER_PLATFORM=http://10.0.0.2:8000 geraniumladder watch configuration", c.watch),
		command("pull", "bring the newest files into a folder and keep the edits made there", "DIR",
			"geraniumladder --platform http://10.0.0.2:8000 pull configuration", c.pull),
		command("evacuate", "send no more requests to the endpoints of a failure domain", "DOMAIN",
			"geraniumladder --platform http://10.0.0.2:8000 evacuate domain-b", c.evacuate,
			&cli.BoolFlag{Name: "undo", Usage: "end the evacuation"}),
		{
			Name:   "key",
			Usage:  "issue and withdraw callers' keys",
			Action: RequireSubcommand,
			Commands: []*cli.Command{
				command("issue", "make a key, print its secret once and keep its digest", "",
					"geraniumladder key issue --organisation st-mary --id st-mary-2", c.keyIssue,
					&cli.StringFlag{Name: "organisation", Usage: "`NAME` of the organisation the key belongs to"},
					&cli.StringFlag{Name: "id", Usage: "`ID` of the key; NAME and a random suffix when not given"},
					&cli.StringFlag{Name: "folder", Usage: "write the key's digest into the folder `DIR` and do not apply it"}),
				command("withdraw", "withdraw a key; it stops working within 4 seconds", "",
					"geraniumladder key withdraw --id st-mary-1", c.keyWithdraw,
					&cli.StringFlag{Name: "id", Usage: "`ID` of the key"}),
			},
		},
	}
}

// RequireSubcommand is the action of a command that has only subcommands, such as the root. Without it the cli package
// exits with code 3 on an unknown command, which here means an invalid configuration.
func RequireSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() > 0 {
		return usageError("there is no command %q; see \"%s --help\"", cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// command returns a command that prints its result, and in JSON also its error, in the chosen output format.
func command(name, usage, args, example string, run func(context.Context, *cli.Command) (result, error), flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Flags: flags,
		Description: "Example:\n   " + example,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &ExitError{Code: ExitUsage, Cause: err}
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			format := cmd.String("output")
			if format != "" && format != "text" && format != "json" {
				return &ExitError{Code: ExitUsage, Cause: errors.Newf("--output %s: use text or json", format)}
			}
			r, err := run(ctx, cmd)
			if printErr := printResult(cmd.Root().Writer, format == "json", r, err); printErr != nil && err == nil {
				err = errors.Wrap(printErr, "print the result")
			}
			if err == nil {
				return nil
			}
			return &ExitError{Code: exitCode(err), Cause: err}
		},
	}
}

// result is the output of a command. The struct itself is encoded for JSON output.
type result interface {
	text() string
}

// errorDocument is the JSON output of a failed command.
type errorDocument struct {
	Error  string
	Code   int
	Faults []merger.Fault `json:",omitempty"`
	Files  []string       `json:",omitempty"`
	Result any            `json:",omitempty"`
}

// printResult prints the result. It prints errors only in JSON; the caller prints them as text.
func printResult(w io.Writer, asJSON bool, r result, err error) error {
	if !asJSON {
		if r == nil {
			return nil
		}
		_, printErr := io.WriteString(w, r.text())
		return printErr
	}
	if r == nil && err == nil {
		return nil
	}
	var document any = r
	if err != nil {
		f := errorDocument{Error: err.Error(), Code: exitCode(err), Result: r}
		var invalid *applier.Invalid
		if errors.As(err, &invalid) {
			f.Faults = invalid.Faults
		}
		var conflict *applier.Conflict
		if errors.As(err, &conflict) {
			f.Files = conflict.Files
		}
		document = f
	}
	return json.NewEncoder(w).Encode(document)
}

func exitCode(err error) int {
	var failure *ExitError
	var invalid *applier.Invalid
	var conflict *applier.Conflict
	var unavailable *applier.Unavailable
	var notInForce *NotInForceError
	switch {
	case errors.As(err, &failure):
		return failure.Code
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &notInForce):
		return ExitNotInForce
	}
	return ExitInternal
}

func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Cause: errors.Newf(format, args...)}
}

func folderArg(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError("%s takes one folder, as in \"geraniumladder %s configuration\"", cmd.Name, cmd.Name)
	}
	return cmd.Args().First(), nil
}

func (c Config) platform(cmd *cli.Command) (applier.Config, error) {
	url := cmd.String("platform")
	if url == "" {
		return applier.Config{}, usageError("set the platform with --platform URL or %s", EnvPlatform)
	}
	p := c.Open(url)
	return applier.Config{Table: p, Objects: p, Parser: new(merger.Parser), Backoff: c.Backoff}, nil
}

// folderAndPlatform returns the folder argument and the applier configuration that most commands need.
func (c Config) folderAndPlatform(cmd *cli.Command) (string, applier.Config, error) {
	dir, err := folderArg(cmd)
	if err != nil {
		return "", applier.Config{}, err
	}
	p, err := c.platform(cmd)
	return dir, p, err
}

// WaitInForce waits until every live VM has the revision in force. It returns *NotInForceError if that takes longer
// than wait.
func WaitInForce(ctx context.Context, vms InForce, revision int64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	last := &NotInForceError{Revision: revision}
	for {
		missing, err := vms.InForce(ctx, revision)
		if err == nil && len(missing) == 0 {
			return nil
		}
		if ctx.Err() == nil || err == nil {
			// Otherwise the query was aborted by the deadline, and its error says nothing about the VMs.
			last.Missing, last.Cause = missing, err
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}

func (c Config) waitInForce(ctx context.Context, cmd *cli.Command, revision int64) error {
	if c.InForce == nil {
		return nil
	}
	return WaitInForce(ctx, c.InForce(cmd.String("platform")), revision, c.Wait)
}

type checkResult struct {
	Files         int
	Organisations int
	Keys          int
	Adapters      int
	Routes        int
	Objectives    int
	// Warnings are items that have no effect and limits that contradict each other.
	Warnings []merger.Fault `json:",omitempty"`
	// Difference is what apply would change; nil if it was not asked for.
	Difference *diffResult `json:",omitempty"`
}

func (r checkResult) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "valid: %d files with %d organisations, %d keys, %d adapters, %d routes, %d objectives\n",
		r.Files, r.Organisations, r.Keys, r.Adapters, r.Routes, r.Objectives)
	for _, w := range r.Warnings {
		fmt.Fprintf(&text, "warning: %s\n", w)
	}
	if r.Difference != nil {
		text.WriteString(r.Difference.text())
	}
	return text.String()
}

func (c Config) check(ctx context.Context, cmd *cli.Command) (result, error) {
	dir, err := folderArg(cmd)
	if err != nil {
		return nil, err
	}
	folder, err := applier.LoadFolder(dir)
	if err != nil {
		return nil, usageError("%s", err)
	}
	items, faults, warnings := merger.Check(folder.Files)
	if len(faults) > 0 {
		return nil, &applier.Invalid{Faults: faults}
	}
	r := checkResult{Files: len(folder.Files), Organisations: len(items.Organisations), Keys: len(items.Keys),
		Adapters: len(items.Adapters), Routes: len(items.Routes), Objectives: len(items.Objectives), Warnings: warnings}
	if cmd.Bool("diff") {
		p, err := c.platform(cmd)
		if err != nil {
			return r, err
		}
		d, err := applier.DiffFolder(ctx, p, dir)
		if err != nil {
			return r, err
		}
		r.Difference = &diffResult{d}
	}
	if cmd.Bool("strict") && len(warnings) > 0 {
		return r, &applier.Invalid{Faults: warnings}
	}
	return r, nil
}

type diffResult struct {
	applier.Difference
}

func (r diffResult) text() string {
	if len(r.Changed)+len(r.Removed) == 0 {
		return fmt.Sprintf("no difference to revision %d\n", r.Revision)
	}
	return fmt.Sprintf("on top of revision %d:\n%s", r.Revision, r.String())
}

func (c Config) diff(ctx context.Context, cmd *cli.Command) (result, error) {
	dir, p, err := c.folderAndPlatform(cmd)
	if err != nil {
		return nil, err
	}
	d, err := applier.DiffFolder(ctx, p, dir)
	if err != nil {
		return nil, err
	}
	return diffResult{d}, nil
}

type applyResult struct {
	Revision  int64
	Committed bool
	Changed   []string `json:",omitempty"`
	Removed   []string `json:",omitempty"`
	// InForce is set if every live VM reported the revision.
	InForce bool
}

func (r applyResult) text() string {
	state := "is in force on every live VM"
	if !r.InForce {
		state = "is accepted; whether it is in force was not confirmed"
	}
	if !r.Committed {
		return fmt.Sprintf("nothing to apply: revision %d %s\n", r.Revision, state)
	}
	var b strings.Builder
	for _, name := range r.Changed {
		fmt.Fprintf(&b, "file %s changed\n", name)
	}
	for _, name := range r.Removed {
		fmt.Fprintf(&b, "file %s removed\n", name)
	}
	fmt.Fprintf(&b, "revision %d %s\n", r.Revision, state)
	return b.String()
}

// confirmInForce waits until the revision is in force and returns the command's result.
func (c Config) confirmInForce(ctx context.Context, cmd *cli.Command, r applier.ApplyResult) (applyResult, error) {
	err := c.waitInForce(ctx, cmd, r.Revision)
	return applyResult{Revision: r.Revision, Committed: r.Committed, Changed: r.Changed, Removed: r.Removed,
		InForce: err == nil && c.InForce != nil}, err
}

func (c Config) apply(ctx context.Context, cmd *cli.Command) (result, error) {
	dir, p, err := c.folderAndPlatform(cmd)
	if err != nil {
		return nil, err
	}
	r, err := applier.ApplyFolder(ctx, p, dir)
	if err != nil && !r.Committed {
		return nil, err
	}
	// The commit remains valid even if the folder's base manifest could not be saved.
	done, waitErr := c.confirmInForce(ctx, cmd, r)
	return done, errors.CombineErrors(err, waitErr)
}

func (c Config) watch(ctx context.Context, cmd *cli.Command) (result, error) {
	dir, p, err := c.folderAndPlatform(cmd)
	if err != nil {
		return nil, err
	}
	asJSON := cmd.String("output") == "json"
	report := func(r applier.ApplyResult, err error) {
		var done result
		if err == nil {
			done, err = c.confirmInForce(ctx, cmd, r)
		}
		_ = printResult(cmd.Root().Writer, asJSON, done, err)
		if err != nil && !asJSON {
			_, _ = fmt.Fprintln(cmd.Root().ErrWriter, err.Error())
		}
	}
	return nil, applier.Watch(ctx, applier.WatchConfig{Config: p, Report: report}, dir)
}

type pullResult struct {
	applier.PullResult
}

func (r pullResult) text() string {
	var b strings.Builder
	for _, name := range r.Updated {
		fmt.Fprintf(&b, "file %s written\n", name)
	}
	for _, name := range r.Removed {
		fmt.Fprintf(&b, "file %s removed\n", name)
	}
	fmt.Fprintf(&b, "folder is at revision %d\n", r.Revision)
	return b.String()
}

func (c Config) pull(ctx context.Context, cmd *cli.Command) (result, error) {
	dir, p, err := c.folderAndPlatform(cmd)
	if err != nil {
		return nil, err
	}
	r, err := applier.PullFolder(ctx, p, dir)
	if err != nil {
		return nil, err
	}
	if len(r.Unmerged) > 0 {
		err = &applier.Conflict{Files: r.RemoteFiles(), Unmerged: true}
	}
	return pullResult{r}, err
}
