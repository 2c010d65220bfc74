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

// Commands returns the command report.
func Commands() []*cli.Command {
	return []*cli.Command{{
		Name: "report", Usage: "report on service levels",
		Commands: []*cli.Command{{
			Name: "burn", Usage: "show how fast each organisation's error budgets burn, and the alarms",
			UsageText: "geraniumladder --platform http://10.0.0.2:8000 report burn --html burn.html",
			Flags:     []cli.Flag{&cli.StringFlag{Name: "html", Usage: "also write a page with plots to `FILE`"}},
			Action:    burnAction,
		}},
	}}
}

func burnAction(ctx context.Context, c *cli.Command) error {
	if c.String("platform") == "" {
		return errors.New("the platform is not known; give --platform URL or set GERANIUMLADDER_PLATFORM")
	}
	client := storer.NewClient(storer.ClientConfig{URL: c.String("platform")})
	defer client.Close()
	report, err := Read(ctx, client, time.Now())
	if err != nil {
		return err
	}
	if file := c.String("html"); file != "" {
		page, err := report.HTML()
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, page, 0o600); err != nil {
			return errors.Wrap(err, "write the page; name another file with --html")
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

// Store is what Read needs of the platform.
type Store interface {
	storer.Table
	storer.Objects
}

// Read reads the objectives and the rows of the last 3 days, and measures them.
func Read(ctx context.Context, store Store, now time.Time) (Report, error) {
	_, files, err := applier.Pull(ctx, applier.Config{Table: store, Objects: store})
	if err != nil {
		return Report{}, errors.Wrap(err, "read the objectives")
	}
	items, faults := merger.Parse(files)
	if len(faults) > 0 {
		return Report{}, errors.Newf("the configuration in force cannot be read by this version of the program; "+
			"use the version of the entries: %s", faults[0])
	}
	objectives := make([]merger.Objective, 0, len(items.Objectives))
	for _, o := range items.Objectives {
		objectives = append(objectives, o)
	}
	rows, err := readRows(ctx, store, now.Add(-Retention-BucketTime))
	if err != nil {
		return Report{}, err
	}
	return NewReport(objectives, Collect(rows), now), nil
}

func readRows(ctx context.Context, table storer.Table, since time.Time) ([]Row, error) {
	var all []Row
	for from := SortKey(since, "", ""); ; {
		page, err := table.Query(ctx, burnPk, from, queryPage)
		if err != nil {
			return nil, errors.Wrap(err, "read the burn rows")
		}
		for _, stored := range page {
			var row Row
			if err := json.Unmarshal(stored.Data, &row); err != nil {
				return nil, errors.Wrapf(err, "decode burn/%s; delete the row", stored.Sk)
			}
			all = append(all, row)
		}
		if len(page) < queryPage {
			return all, nil
		}
		from = page[len(page)-1].Sk + "\x00"
	}
}

// Text is the burn rate, with the part of the window that has data when it is not the whole.
func (w WindowBurn) Text() string {
	switch {
	case w.Total == 0:
		return "no events"
	case w.Covered < w.Window:
		return fmt.Sprintf("%.2f (%s only)", w.Burn, w.Covered.Round(time.Minute))
	}
	return fmt.Sprintf("%.2f", w.Burn)
}

// Goal is the objective in words, with the bound that is counted in place of a threshold between two bounds.
func (l Line) Goal() string {
	goal := fmt.Sprintf("%g%%", l.Objective.Target*100)
	if l.Objective.Threshold > 0 {
		goal += " within " + l.Objective.Threshold.String()
	}
	if l.Bound > 0 && l.Bound != l.Objective.Threshold {
		goal += ", counted at " + l.Bound.String()
	}
	return goal
}

// BudgetText is the budget left in percent.
func (l Line) BudgetText() string { return fmt.Sprintf("%.1f%%", 100*l.Budget) }

var columns = []any{"Organisation", "Objective", "Goal", "Alarm", "Budget left", "Burn 5m", "Burn 1h", "Burn 6h", "Burn 3d", "Bad", "Events"}

// Write writes the report as a table.
func (r Report) Write(out io.Writer) error {
	if len(r.Lines) == 0 {
		_, err := fmt.Fprintln(out, "There are no events of the last 3 days, or no objectives; entries write once a minute.")
		return err
	}
	table := tablewriter.NewTable(out)
	table.Header(columns...)
	for _, l := range r.Lines {
		cells := []any{l.Organisation, l.Objective.Name, l.Goal(), string(l.State), l.BudgetText()}
		for _, w := range l.Windows {
			cells = append(cells, w.Text())
		}
		whole := l.Windows[window3d]
		if err := table.Append(append(cells, whole.Total-whole.Good, whole.Total)...); err != nil {
			return err
		}
	}
	return table.Render()
}
