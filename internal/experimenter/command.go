// Package experimenter compares policies on the same traces in virtual time and writes the results as tables and
// charts. It holds no state beyond one run: each experiment uses values of the decision packages and a model of the
// engines, without I/O and without the platform's store.
package experimenter

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Names of the users whose deployments are modelled.
const (
	vunidawa = "vunidawa"
	accra    = "accra"
)

// Options selects what an experiment runs.
type Options struct {
	// Users lists the deployment sizes to measure, each vunidawa or accra.
	Users []string
	// Seed is the first seed; Seeds is the number of runs, each with its own seed.
	Seed  uint64
	Seeds int
}

// Experiment compares policies on the same traces.
type Experiment struct {
	Name, Usage string
	// Run measures all policies and returns the report.
	Run func(Options) Report
}

// Experiments returns all experiments.
func Experiments() []Experiment {
	return []Experiment{
		{"limits", "excess and wrongful refusals of the ways to hold a fleet-wide limit", LimitsReport},
		{"placement", "load stalls and p99 to the first token of the ways to choose an endpoint", PlacementReport},
		{"estimate", "late requests and the error of the ways to estimate the time to the first event, with slow engines", EstimateReport},
		{"admission", "timely, late and lost requests by admission policy, with an organisation at 7.5 times its rate", AdmissionReport},
		{"fairness", "what organisations notice of a neighbour that sends five times its rate", FairnessReport},
		{"pacing", "late and lost requests of the ways to send requests to an engine that starts", PacingReport},
	}
}

// Commands returns the experiment command, with one subcommand for each experiment and one to list them.
func Commands() []*cli.Command {
	list := &cli.Command{Name: "list", Usage: "list the experiments", Action: func(_ context.Context, c *cli.Command) error {
		for _, e := range Experiments() {
			if _, err := fmt.Fprintf(c.Root().Writer, "%-10s %s\n", e.Name, e.Usage); err != nil {
				return errors.Wrap(err, "list the experiments")
			}
		}
		return nil
	}}
	commands := []*cli.Command{list}
	for _, e := range Experiments() {
		commands = append(commands, &cli.Command{Name: e.Name, Usage: e.Usage, Flags: []cli.Flag{
			&cli.StringFlag{Name: "user", Value: "both", Usage: "size to measure: vunidawa, accra or both"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed of the traces"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of runs, each with another seed"},
			&cli.StringFlag{Name: "out", Value: "measurements", Usage: "directory for the table and the charts"},
		}, Action: func(_ context.Context, c *cli.Command) error {
			return writeExperiment(e, c.Root().Writer, c.String("user"), c.Uint64("seed"), c.Int("seeds"), c.String("out"))
		}})
	}
	return []*cli.Command{{Name: "experiment", Usage: "compare policies on the same traces in virtual time", Commands: commands,
		Action: func(_ context.Context, c *cli.Command) error {
			return errors.Newf("unknown experiment %q; run geraniumladder experiment list to see all", c.Args().First())
		}}}
}

// writeExperiment runs one experiment and writes its table and charts.
func writeExperiment(e Experiment, w io.Writer, user string, seed uint64, seeds int, out string) error {
	o := Options{Users: []string{user}, Seed: seed, Seeds: seeds}
	switch user {
	case "both":
		o.Users = []string{vunidawa, accra}
	case vunidawa, accra:
	default:
		return errors.Newf("unknown user %q; use --user vunidawa, accra or both", user)
	}
	if seeds < 1 {
		return errors.Newf("invalid number of seeds %d; use --seeds with 1 or more", seeds)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return errors.Wrap(err, "create the output directory; choose a writable one with --out")
	}
	report := e.Run(o)
	var b strings.Builder
	title := fmt.Sprintf("geraniumladder experiment %s --user %s --seed %d --seeds %d", e.Name, user, seed, seeds)
	if err := report.WriteMarkdown(&b, title); err != nil {
		return err
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errors.Wrap(err, "print the table")
	}
	if err := os.WriteFile(filepath.Join(out, e.Name+".md"), []byte(b.String()), 0o644); err != nil {
		return errors.Wrap(err, "write the table; choose a writable directory with --out")
	}
	for _, chart := range report.Charts {
		for _, format := range []string{"svg", "png"} {
			if err := chart.Write(filepath.Join(out, fmt.Sprintf("%s-%s.%s", e.Name, chart.Name, format))); err != nil {
				return err
			}
		}
	}
	return nil
}
