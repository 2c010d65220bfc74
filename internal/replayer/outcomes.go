package replayer

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"

	"geraniumladder/internal/driver"
)

// Measured is what a replay came to. A figure that the trace gave no occasion to measure is NaN.
type Measured struct {
	Summary driver.Summary
	// WrongfulSteady and WrongfulAroundLoss are wrongful refusals per 1,000 requests.
	WrongfulSteady, WrongfulAroundLoss float64
	WorstRatio                         float64
	// WorstOrganisation says what WorstRatio is of.
	WorstOrganisation string
	// Stalls are per 1,000 completions, here and in the simulated baseline.
	Stalls, StallsLeastLoaded      float64
	SecondsWithdrawn, SecondsForce float64
	// ClaimsRefused counts bookings refused because the store could not take a claim, which are not wrongful.
	ClaimsRefused int
	UnloadedInUse int
	// Loads counts the loads that the weight store started and LoadsRefused those over its rate.
	Loads, LoadsRefused int
	// WrongfulCodes counts wrongful refusals by status and code.
	WrongfulCodes map[string]int
}

// measure is a quantity that outcomes may bound from above.
type measure struct {
	name string
	of   func(Measured) float64
}

// measures are all such quantities, by the names that a file of outcomes uses.
var measures = []measure{
	{"WrongAnswers", func(m Measured) float64 { return float64(m.Summary.Wrong) }},
	{"CutStreams", func(m Measured) float64 { return float64(m.Summary.Broken) }},
	{"DoubledRuns", func(m Measured) float64 { return float64(m.Summary.Bookings.Doubled) }},
	{"FalseNotRun", func(m Measured) float64 { return float64(m.Summary.Bookings.FalseNotRun) }},
	{"MissingBookings", func(m Measured) float64 { return float64(m.Summary.Bookings.Missing) }},
	{"UnloadedInUse", func(m Measured) float64 { return float64(m.UnloadedInUse) }},
	{"WrongfulRefusalsPerThousand", func(m Measured) float64 { return m.WrongfulSteady }},
	{"WrongfulRefusalsPerThousandAroundLoss", func(m Measured) float64 { return m.WrongfulAroundLoss }},
	{"WorstOrganisationRatio", func(m Measured) float64 { return m.WorstRatio }},
	{"StallsPerThousand", func(m Measured) float64 { return m.Stalls }},
	{"StallsShareOfLeastLoaded", func(m Measured) float64 { return m.Stalls / m.StallsLeastLoaded }},
	{"SecondsUntilWithdrawnKeyRefused", func(m Measured) float64 { return m.SecondsWithdrawn }},
	{"SecondsUntilInForce", func(m Measured) float64 { return m.SecondsForce }},
}

// Outcomes are the largest permitted values of the measures by their names.
type Outcomes map[string]float64

// ReadOutcomes reads a YAML file of outcomes.
func ReadOutcomes(file string) (Outcomes, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the outcomes; give a YAML file with --expect")
	}
	var all Outcomes
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&all); err != nil {
		return nil, errors.Wrapf(err, "%s is not a list of outcomes NAME: NUMBER", file)
	}
	return all, all.check()
}

func (o Outcomes) check() error {
	for _, name := range slices.Sorted(maps.Keys(o)) {
		if !slices.ContainsFunc(measures, func(m measure) bool { return m.name == name }) {
			return errors.Newf("there is no outcome %q; see docs/traces.md", name)
		}
	}
	return nil
}

// Verdict compares one stated outcome with what was measured.
type Verdict struct {
	Name     string
	Expected string
	Measured string
	// Met is false when the figure is above its bound or was not measured.
	Met bool
}

// Verdicts compares the stated outcomes, in the order of docs/traces.md, and lists the others without a bound.
func (o Outcomes) Verdicts(m Measured) []Verdict {
	var all []Verdict
	for _, each := range measures {
		bound, stated := o[each.name]
		v := Verdict{Name: each.name, Expected: "-", Measured: number(each.of(m)), Met: true}
		if stated {
			v.Expected = "≤ " + number(bound)
			v.Met = each.of(m) <= bound
		}
		all = append(all, v)
	}
	return all
}

func number(f float64) string {
	if math.IsNaN(f) {
		return "not measured"
	}
	return strconv.FormatFloat(math.Round(f*1000)/1000, 'g', -1, 64)
}

// Report is the result of a replay.
type Report struct {
	Verdicts []Verdict
	Measured Measured `json:"-"`
	Summary  driver.Summary
	// Slowest describes the slowest answers.
	Slowest []string
}

// Failure names the outcomes that fell short.
func (r Report) Failure() error {
	var short []string
	for _, v := range r.Verdicts {
		if !v.Met {
			short = append(short, v.Name)
		}
	}
	if len(short) == 0 {
		return nil
	}
	return errors.Newf("%d outcomes fell short: %s", len(short), strings.Join(short, ", "))
}

// WriteText writes the summary of the callers and the table of outcomes.
func (r Report) WriteText(out io.Writer) error {
	if err := r.Summary.WriteText(out); err != nil {
		return err
	}
	m := r.Measured
	if _, err := fmt.Fprintf(out, "Bookings refused while the store was away: %d. Wrongful refusals by code: %v. Worst organisation: %s. "+
		"Stalls per 1,000 under least loaded, simulated: %s. Weight store: %d loads, %d refused over its rate.\nSlowest:\n  %s\n",
		m.ClaimsRefused, m.WrongfulCodes, m.WorstOrganisation, number(m.StallsLeastLoaded), m.Loads, m.LoadsRefused, strings.Join(r.Slowest, "\n  ")); err != nil {
		return errors.Wrap(err, "write the report")
	}
	table := tablewriter.NewTable(out, tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("Outcome", "Expected", "Measured", "Verdict")
	for _, v := range r.Verdicts {
		verdict := "met"
		switch {
		case !v.Met:
			verdict = "FELL SHORT"
		case v.Expected == "-":
			verdict = ""
		}
		if err := table.Append(v.Name, v.Expected, v.Measured, verdict); err != nil {
			return errors.Wrap(err, "add a row to the table")
		}
	}
	return errors.Wrap(table.Render(), "write the table")
}
