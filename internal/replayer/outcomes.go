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

// Measured holds the measurements of a replay. A value that the trace gave no opportunity to measure is NaN.
type Measured struct {
	Summary driver.Summary
	// WrongfulSteady and WrongfulAroundLoss are wrongful refusals per 1,000 requests, outside and within
	// engineLossWindow after an engine restart. A refusal is wrongful if the organisation's exact bucket, charged with
	// the requests admitted so far, held enough tokens.
	WrongfulSteady, WrongfulAroundLoss float64
	WorstRatio                         float64
	// WorstOrganisation describes the organisation that WorstRatio belongs to.
	WorstOrganisation string
	// Stalls and StallsLeastLoaded are stalls per 1,000 completions in the replay and in the simulated baseline.
	Stalls, StallsLeastLoaded      float64
	SecondsWithdrawn, SecondsForce float64
	// ClaimsRefused counts bookings refused because the store could not record the claim; these are not wrongful.
	ClaimsRefused int
	UnloadedInUse int
	// Loads counts the loads that the weight store started, LoadsRefused those it refused by its rate limit.
	Loads, LoadsRefused int
	// WrongfulCodes counts wrongful refusals by status and code.
	WrongfulCodes map[string]int
}

// metric is a measurement for which a file of outcomes may set an upper bound.
type metric struct {
	name  string
	value func(Measured) float64
}

// metrics lists all metrics under the names used in a file of outcomes.
var metrics = []metric{
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

// Outcomes maps names of metrics to their upper bounds.
type Outcomes map[string]float64

// ReadOutcomes reads a YAML file of outcomes.
func ReadOutcomes(file string) (Outcomes, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the outcomes; set the path of a YAML file with --expect")
	}
	var outcomes Outcomes
	if err := yaml.NewDecoder(bytes.NewReader(text)).Decode(&outcomes); err != nil {
		return nil, errors.Wrapf(err, "%s: expected a YAML mapping of outcome names to numbers", file)
	}
	return outcomes, outcomes.check()
}

func (o Outcomes) check() error {
	for _, name := range slices.Sorted(maps.Keys(o)) {
		if !slices.ContainsFunc(metrics, func(m metric) bool { return m.name == name }) {
			return errors.Newf("unknown outcome %q; see docs/traces.md", name)
		}
	}
	return nil
}

// Verdict is the comparison of one metric with its bound.
type Verdict struct {
	Name     string
	Expected string
	Measured string
	// Met is false if the value exceeds its bound, or if it has a bound and was not measured.
	Met bool
}

// Verdicts compares all metrics with their bounds, in the order of docs/traces.md. Metrics without a bound are included
// and always met.
func (o Outcomes) Verdicts(m Measured) []Verdict {
	var verdicts []Verdict
	for _, metric := range metrics {
		bound, hasBound := o[metric.name]
		v := Verdict{Name: metric.name, Expected: "-", Measured: formatNumber(metric.value(m)), Met: true}
		if hasBound {
			v.Expected = "≤ " + formatNumber(bound)
			v.Met = metric.value(m) <= bound
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}

func formatNumber(f float64) string {
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
	// Slowest describes the requests with the longest total time.
	Slowest []string
}

// Failure returns an error that lists the unmet outcomes, or nil.
func (r Report) Failure() error {
	var unmet []string
	for _, v := range r.Verdicts {
		if !v.Met {
			unmet = append(unmet, v.Name)
		}
	}
	if len(unmet) == 0 {
		return nil
	}
	return errors.Newf("%d outcomes fell short: %s", len(unmet), strings.Join(unmet, ", "))
}

// WriteText writes the driver's summary and the table of outcomes.
func (r Report) WriteText(out io.Writer) error {
	if err := r.Summary.WriteText(out); err != nil {
		return err
	}
	m := r.Measured
	if _, err := fmt.Fprintf(out, "Bookings refused while the store was away: %d. Wrongful refusals by code: %v. Worst organisation: %s. "+
		"Stalls per 1,000 under least loaded, simulated: %s. Weight store: %d loads, %d refused over its rate.\nSlowest:\n  %s\n",
		m.ClaimsRefused, m.WrongfulCodes, m.WorstOrganisation, formatNumber(m.StallsLeastLoaded), m.Loads, m.LoadsRefused, strings.Join(r.Slowest, "\n  ")); err != nil {
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
