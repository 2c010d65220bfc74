package reporter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/urfave/cli/v3"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
)

// Commands returns the command report with its subcommands.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name: "report", Usage: "report on service levels",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "show how fast each organisation's error budgets burn, and the alarms",
			UsageText: "geraniumladder --platform http://10.0.0.2:8000 report burn --html burn.html",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"}},
			Action:    runBurnReport,
		}},
	}}
}

func runBurnReport(ctx context.Context, c *cli.Command) error {
	if c.String("platform") == "" {
		return errors.New("no platform URL; give --platform URL or set GERANIUMLADDER_PLATFORM")
	}
	client := storer.NewClient(storer.ClientConfig{URL: c.String("platform")})
	defer client.Close()
	report, err := ReadReport(ctx, client, time.Now())
	if err != nil {
		return err
	}
	if file := c.String("html"); file != "" {
		page, err := report.HTML()
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, page, 0o600); err != nil {
			return errors.Wrap(err, "write the HTML report; choose another file with --html")
		}
	}
	out := c.Root().Writer
	if c.String("output") == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.Write(out)
}

// Store is the part of the platform that ReadReport uses.
type Store interface {
	storer.Table
	storer.Objects
}

// ReadReport reads the objectives and the rows of the last 3 days and computes the report.
func ReadReport(ctx context.Context, store Store, now time.Time) (Report, error) {
	_, files, err := applier.Pull(ctx, applier.Config{Table: store, Objects: store})
	if err != nil {
		return Report{}, errors.Wrap(err, "read the objectives")
	}
	items, faults := merger.Parse(files)
	if len(faults) > 0 {
		return Report{}, errors.Newf("this version of the program cannot parse the configuration in force; "+
			"use the version that the entries run: %s", faults[0])
	}
	objectives := make([]merger.Objective, 0, len(items.Objectives))
	for _, o := range items.Objectives {
		objectives = append(objectives, o)
	}
	rows, err := readRows(ctx, store, now.Add(-Retention-BucketDuration))
	if err != nil {
		return Report{}, err
	}
	return NewReport(objectives, Aggregate(rows), now), nil
}

func readRows(ctx context.Context, table storer.Table, since time.Time) ([]Row, error) {
	var rows []Row
	for from := SortKey(since, "", ""); ; {
		storedRows, err := table.Query(ctx, burnPartitionKey, from, queryPageSize)
		if err != nil {
			return nil, errors.Wrap(err, "read the burn rows")
		}
		for _, stored := range storedRows {
			var row Row
			if err := json.Unmarshal(stored.Data, &row); err != nil {
				return nil, errors.Wrapf(err, "decode row burn/%s; delete the row if it is corrupt", stored.Sk)
			}
			rows = append(rows, row)
		}
		if len(storedRows) < queryPageSize {
			return rows, nil
		}
		from = storedRows[len(storedRows)-1].Sk + "\x00"
	}
}

// Text returns the burn rate. If only part of the window has data, the length of that part is appended.
func (w WindowBurn) Text() string {
	switch {
	case w.Total == 0:
		return "no events"
	case w.Covered < w.Window:
		return fmt.Sprintf("%.2f (%s only)", w.Burn, w.Covered.Round(time.Minute))
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

// Goal describes the objective. If its threshold lies between two bucket bounds, the bound at which events are counted
// is appended.
func (s ObjectiveStatus) Goal() string {
	goal := fmt.Sprintf("%g%%", s.Objective.Target*100)
	if s.Objective.Threshold > 0 {
		goal += " within " + s.Objective.Threshold.String()
	}
	if s.Bound > 0 && s.Bound != s.Objective.Threshold {
		goal += ", counted at " + s.Bound.String()
	}
	return goal
}

// BudgetText returns the remaining budget in percent.
func (s ObjectiveStatus) BudgetText() string { return fmt.Sprintf("%.1f%%", 100*s.Budget) }

var tableColumns = []any{"Organisation", "Objective", "Goal", "Alarm", "Budget left", "Burn 5m", "Burn 1h", "Burn 6h", "Burn 3d", "Bad", "Events"}

// Write writes the report to out as a text table.
func (r Report) Write(out io.Writer) error {
	if len(r.Lines) == 0 {
		_, err := fmt.Fprintln(out, "There are no events of the last 3 days, or no objectives; entries write once a minute.")
		return err
	}
	table := tablewriter.NewTable(out)
	table.Header(tableColumns...)
	for _, l := range r.Lines {
		cells := []any{l.Organisation, l.Objective.Name, l.Goal(), string(l.State), l.BudgetText()}
		for _, w := range l.Windows {
			cells = append(cells, w.Text())
		}
		budgetWindow := l.Windows[window3d]
		if err := table.Append(append(cells, budgetWindow.Total-budgetWindow.Good, budgetWindow.Total)...); err != nil {
			return err
		}
	}
	return table.Render()
}
