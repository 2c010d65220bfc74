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

// SecretFlag gives the processes' shared secret to operators' commands that speak to processes.
func SecretFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "secret", Usage: "shared `SECRET` of the processes", Sources: cli.EnvVars("GERANIUMLADDER_SECRET"), Required: true,
	}
}

// FromCommand returns the inspector that a command's flags describe.
func FromCommand(c *cli.Command) (*Inspector, error) {
	if c.String("platform") == "" {
		return nil, errors.New("the platform is not known; give --platform URL or set GERANIUMLADDER_PLATFORM")
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

// Commands returns the commands that read the fleet.
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
	key := []cli.Flag{
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
						return errors.Newf("there is no state %q; see --help", state)
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
				Flags:     append([]cli.Flag{SecretFlag()}, key...),
				Action: func(ctx context.Context, c *cli.Command) error {
					i, err := FromCommand(c)
					if err != nil {
						return err
					}
					outcome := c.String("as")
					if outcome != "ran" && outcome != "not-run" {
						return errors.Newf("there is no outcome %q; give ran or not-run", outcome)
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
	entries.Header("VM", "Domain", "State", "Revision", "Proof age", "Open", "Epoch", "Endpoints live")
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
			err = entries.Append(p.VM, p.FailureDomain, "no answer", "", "", "", "", "")
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
	live := 0
	for _, e := range p.Entry.Endpoints {
		if e.State == "live" {
			live++
		}
	}
	age := "none"
	if p.Entry.ProofAgeMs >= 0 {
		age = (time.Duration(p.Entry.ProofAgeMs) * time.Millisecond).String()
	}
	for _, l := range p.Entry.Limits {
		if err := limits.Append(l.Organisation, p.VM, fmt.Sprintf("%.1f", l.Rate), fmt.Sprintf("%.0f", l.Burst), fmt.Sprintf("%.0f", l.Level)); err != nil {
			return err
		}
	}
	return entries.Append(p.VM, p.FailureDomain, p.Entry.State, p.Entry.Revision, age, p.Entry.Open, p.Entry.Epoch, live)
}

func revisionText(revision int64) string {
	if revision < 0 {
		return "not known, the table service does not answer"
	}
	return strconv.FormatInt(revision, 10)
}

func writeCalls(out io.Writer, calls []Call) error {
	table := tablewriter.NewTable(out)
	table.Header("Organisation", "Idempotency-Key", "State", "Since", "Endpoint", "Attempt", "Request ID")
	for _, c := range calls {
		since := time.UnixMilli(c.Claim.CreatedMs).UTC().Format(time.RFC3339)
		if err := table.Append(c.Organisation, c.Key, string(c.Claim.State), since, c.Claim.Endpoint, c.Claim.Attempt, c.Claim.RequestID); err != nil {
			return err
		}
	}
	return table.Render()
}

// ForOperators returns what tells the operators' commands on which entries a revision is in force. The processes'
// secret comes from the environment; without it, each question fails and says so.
func ForOperators(platform string) operator.InForce {
	signer, err := authenticator.New(authenticator.Config{Secret: os.Getenv("GERANIUMLADDER_SECRET")})
	if err != nil {
		return noSecret{errors.Wrap(err, "GERANIUMLADDER_SECRET, by which the entries are asked for their revision, is not usable; set it")}
	}
	return New(Config{
		Platform:  storer.NewClient(storer.ClientConfig{URL: platform}),
		Messenger: messenger.New(messenger.Config{Signer: signer}),
	})
}

type noSecret struct{ err error }

// InForce implements operator.InForce.
func (n noSecret) InForce(context.Context, int64) ([]string, error) { return nil, n.err }
