package inspector

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/operator"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
)

// SecretFlag returns the flag for the shared secret of the processes, which operators' commands need to sign requests
// to them.
func SecretFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "secret", Usage: "shared `SECRET` of the processes", Sources: cli.EnvVars("GERANIUMLADDER_SECRET"), Required: true,
	}
}

// FromCommand returns an Inspector configured by the flags of a command.
func FromCommand(c *cli.Command) (*Inspector, error) {
	if c.String("platform") == "" {
		return nil, errors.New("no platform URL; give --platform URL or set GERANIUMLADDER_PLATFORM")
	}
	signer, err := authenticator.New(authenticator.Config{Secret: c.String("secret")})
	if err != nil {
		return nil, errors.Wrap(err, "--secret")
	}
	return New(Config{
		Platform:  storer.NewClient(storer.ClientConfig{URL: c.String("platform")}),
		Messenger: messenger.New(messenger.Config{Signer: signer}),
	}), nil
}

// Commands returns the commands status and calls.
func Commands() []*cli.Command {
	return []*cli.Command{statusCommand(), callsCommand()}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show VMs, endpoints, resident adapters, queues, limits and the revision in force on each VM",
		UsageText: "geraniumladder status --platform http://10.0.0.2:8000",
		Flags:     []cli.Flag{SecretFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			i, err := FromCommand(c)
			if err != nil {
				return err
			}
			fleet, err := i.Fleet(ctx)
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return writeJSON(fleet)
			}
			return writeFleet(c.Root().Writer, fleet)
		},
	}
}

func callsCommand() *cli.Command {
	settleFlags := []cli.Flag{
		&cli.StringFlag{Name: "organisation", Usage: "`NAME` of the organisation", Required: true},
		&cli.StringFlag{Name: "key", Usage: "the call's Idempotency-`KEY`", Required: true},
		&cli.StringFlag{Name: "as", Usage: "`OUTCOME` found: ran or not-run", Required: true},
		&cli.StringFlag{Name: "note", Usage: "who found out, and how", Required: true},
	}
	return &cli.Command{
		Name: "calls", Usage: "list and settle calls whose outcome is not known",
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list calls", UsageText: "geraniumladder calls list --state unknown",
				Flags: []cli.Flag{SecretFlag(), &cli.StringFlag{Name: "state", Usage: "claimed, done, unknown, not-run, settled-ran or settled-not-run", Value: "unknown"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					i, err := FromCommand(c)
					if err != nil {
						return err
					}
					state := wire.ClaimRowState(c.String("state"))
					if !state.Valid() {
						return errors.Newf("unknown state %q; see --help", state)
					}
					calls, err := i.Calls(ctx, state)
					if err != nil {
						return err
					}
					if c.String("output") == "json" {
						return writeJSON(calls)
					}
					return writeCalls(c.Root().Writer, calls)
				},
			},
			{
				Name: "settle", Usage: "record whether a call ran",
				UsageText: "geraniumladder calls settle --organisation accra --key order-17 --as not-run --note 'ledger read by A. Mensah'",
				Flags:     append([]cli.Flag{SecretFlag()}, settleFlags...),
				Action: func(ctx context.Context, c *cli.Command) error {
					i, err := FromCommand(c)
					if err != nil {
						return err
					}
					outcome := c.String("as")
					if outcome != "ran" && outcome != "not-run" {
						return errors.Newf("unknown outcome %q; give ran or not-run", outcome)
					}
					return i.Settle(ctx, c.String("organisation"), c.String("key"), outcome == "ran", c.String("note"))
				},
			},
		},
	}
}

func writeJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func writeFleet(out io.Writer, fleet Fleet) error {
	if _, err := fmt.Fprintf(out, "Revision committed: %s\n\nEntries\n", revisionText(fleet.Revision)); err != nil {
		return err
	}
	entries := tablewriter.NewTable(out)
	entries.Header("VM", "Domain", "State", "Revision", "Proof age", "Open", "Epoch", "Endpoints live", "Evacuated domains")
	sidecars := tablewriter.NewTable(out)
	sidecars.Header("VM", "Domain", "State", "Running", "Queued", "Pinned", "Fence", "Revision", "Resident")
	limits := tablewriter.NewTable(out)
	limits.Header("Organisation", "Entry", "Rate, tokens/s", "Burst, tokens", "Level, tokens")
	for _, p := range fleet.Processes {
		var err error
		switch {
		case p.Entry != nil:
			err = appendEntry(entries, limits, p)
		case p.Sidecar != nil:
			s := p.Sidecar
			err = sidecars.Append(p.VM, p.FailureDomain, s.State, s.Load.Running, s.Load.QueuedRequests, s.Pinned, s.Fence, s.Revision, strings.Join(s.Resident, " "))
		case p.Role == string(wire.DescriptorRoleEntry):
			err = entries.Append(p.VM, p.FailureDomain, "no answer", "", "", "", "", "", "")
		default:
			err = sidecars.Append(p.VM, p.FailureDomain, "no answer", "", "", "", "", "", "")
		}
		if err != nil {
			return err
		}
	}
	if err := entries.Render(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, "\nEndpoints"); err != nil {
		return err
	}
	if err := sidecars.Render(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, "\nLimits: each entry's share"); err != nil {
		return err
	}
	return limits.Render()
}

func appendEntry(entries, limits *tablewriter.Table, p Process) error {
	liveEndpoints := 0
	for _, e := range p.Entry.Endpoints {
		if e.State == "live" {
			liveEndpoints++
		}
	}
	proofAge := "none"
	if p.Entry.ProofAgeMs >= 0 {
		proofAge = (time.Duration(p.Entry.ProofAgeMs) * time.Millisecond).String()
	}
	for _, l := range p.Entry.Limits {
		if err := limits.Append(l.Organisation, p.VM, fmt.Sprintf("%.1f", l.Rate), fmt.Sprintf("%.0f", l.Burst), fmt.Sprintf("%.0f", l.Level)); err != nil {
			return err
		}
	}
	return entries.Append(p.VM, p.FailureDomain, p.Entry.State, p.Entry.Revision, proofAge, p.Entry.Open, p.Entry.Epoch, liveEndpoints, strings.Join(p.Entry.Evacuated, " "))
}

func revisionText(revision int64) string {
	if revision < 0 {
		return "unknown, the table service does not respond"
	}
	return strconv.FormatInt(revision, 10)
}

func writeCalls(out io.Writer, calls []Call) error {
	table := tablewriter.NewTable(out)
	table.Header("Organisation", "Idempotency-Key", "State", "Since", "Endpoint", "Attempt", "Request ID")
	for _, c := range calls {
		since := time.UnixMilli(c.Claim.CreatedMs).UTC().Format(time.RFC3339) //nolint:forbidigo // Shown to operators only.
		if err := table.Append(c.Organisation, c.Key, string(c.Claim.State), since, c.Claim.Endpoint, c.Claim.Attempt, c.Claim.RequestID); err != nil {
			return err
		}
	}
	return table.Render()
}

// NewInForceChecker returns the check that operators' commands use to find the entries in which a revision is not yet
// in force. The shared secret of the processes is read from GERANIUMLADDER_SECRET; if it is missing or invalid, every
// call of the check returns an error that says so.
func NewInForceChecker(platform string) operator.InForce {
	signer, err := authenticator.New(authenticator.Config{Secret: os.Getenv("GERANIUMLADDER_SECRET")})
	if err != nil {
		return invalidSecret{errors.Wrap(err, "cannot query the entries for their revision: GERANIUMLADDER_SECRET is missing or invalid; set it")}
	}
	return New(Config{
		Platform:  storer.NewClient(storer.ClientConfig{URL: platform}),
		Messenger: messenger.New(messenger.Config{Signer: signer}),
	})
}

type invalidSecret struct{ err error }

// InForce implements operator.InForce.
func (s invalidSecret) InForce(context.Context, int64) ([]string, error) { return nil, s.err }
