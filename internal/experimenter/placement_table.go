package experimenter

import (
	"fmt"
	"slices"
	"time"
)

// PlacementResult is the result of one policy in one scenario.
type PlacementResult struct {
	Size     string
	Scenario PlacementScenario
	Policy   string
	Requests int
	// Stalls, StallTime, Loads and Refused are per 1,000 requests that arrived in the measured window. A stalled
	// request waited for an adapter load; a refused one got no first token within requestTimeout.
	Stalls, Loads, Refused float64
	// Duplicates counts the loads, per 1,000 requests, of adapters that were resident or loading at another endpoint.
	Duplicates float64
	StallTime  time.Duration
	// TokensPerStep is the mean batch size over the steps of busy engines. SameAdapter is the mean number of running
	// requests with the same adapter when a request starts, including itself.
	TokensPerStep, SameAdapter float64
	P50, P99                   time.Duration
}

// MeanPlacement returns the mean of each row over runs that have the same rows and different seeds.
func MeanPlacement(runs ...[]PlacementResult) []PlacementResult {
	mean := slices.Clone(runs[0])
	n := len(runs)
	for i := range mean {
		m := &mean[i]
		for _, run := range runs[1:] {
			r := run[i]
			m.Requests += r.Requests
			m.Stalls += r.Stalls
			m.Loads += r.Loads
			m.Duplicates += r.Duplicates
			m.Refused += r.Refused
			m.TokensPerStep += r.TokensPerStep
			m.SameAdapter += r.SameAdapter
			m.StallTime += r.StallTime
			m.P50 += r.P50
			m.P99 += r.P99
		}
		m.Requests /= n
		m.StallTime, m.P50, m.P99 = m.StallTime/time.Duration(n), m.P50/time.Duration(n), m.P99/time.Duration(n)
		for _, f := range []*float64{&m.Stalls, &m.Loads, &m.Duplicates, &m.Refused, &m.TokensPerStep, &m.SameAdapter} {
			*f /= float64(n)
		}
	}
	return mean
}

// PlacementTable formats the rows as a table.
func PlacementTable(rows []PlacementResult) Table {
	t := Table{Header: []string{"Size", "Scenario", "Policy", "Requests", "Stalled /1,000", "Stall time /1,000 (s)", "Loads /1,000",
		"Of these resident elsewhere", "Refused /1,000", "Tokens a step", "Same adapter", "p50 (ms)", "p99 (ms)"}}
	for _, r := range rows {
		whole, tenth := func(f float64) string { return fmt.Sprintf("%.0f", f) }, func(f float64) string { return fmt.Sprintf("%.1f", f) }
		row := []string{r.Size, string(r.Scenario), r.Policy, fmt.Sprint(r.Requests), whole(r.Stalls), "", whole(r.Loads), "", "", "", "", "", ""}
		if r.TokensPerStep > 0 { // The offline bound has no latencies.
			row = append(row[:5], tenth(r.StallTime.Seconds()), whole(r.Loads), whole(r.Duplicates), whole(r.Refused), tenth(r.TokensPerStep),
				tenth(r.SameAdapter), fmt.Sprint(r.P50.Milliseconds()), fmt.Sprint(r.P99.Milliseconds()))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}
