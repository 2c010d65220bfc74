package experimenter

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// PlacementResult is one row of the table.
type PlacementResult struct {
	Size     string
	Scenario PlacementScenario
	Policy   string
	Requests int
	// Stalls, StallTime, Loads and Refused are per 1,000 requests that arrived in the measured time. A stalled request
	// had to wait for a load; a refused one had no first token within giveUp.
	Stalls, Loads, Refused float64
	// Duplicates are those of the loads whose adapter was resident or loading at another endpoint.
	Duplicates float64
	StallTime  time.Duration
	// TokensPerStep is the mean batch over the steps of busy engines, and SameAdapter the mean number of running
	// requests with the same adapter at the start of a request, itself included.
	TokensPerStep, SameAdapter float64
	P50, P99                   time.Duration
}

// MeanPlacement returns the means over runs with the same rows and different seeds.
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

// PlacementTable returns the rows as a Markdown table.
func PlacementTable(rows []PlacementResult) string {
	var b strings.Builder
	b.WriteString("| Size | Scenario | Policy | Requests | Stalled /1,000 | Stall time /1,000 (s) | Loads /1,000 | Of these resident elsewhere | Refused /1,000 | Tokens a step | Same adapter | p50 (ms) | p99 (ms) |\n")
	b.WriteString("|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, r := range rows {
		if r.TokensPerStep == 0 { // The offline bound has no times.
			fmt.Fprintf(&b, "| %s | %s | %s | %d | %.0f | | %.0f | | | | | | |\n", r.Size, r.Scenario, r.Policy, r.Requests, r.Stalls, r.Loads)
			continue
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %d | %.0f | %.1f | %.0f | %.0f | %.0f | %.1f | %.1f | %d | %d |\n", r.Size, r.Scenario, r.Policy, r.Requests, r.Stalls,
			r.StallTime.Seconds(), r.Loads, r.Duplicates, r.Refused, r.TokensPerStep, r.SameAdapter, r.P50.Milliseconds(), r.P99.Milliseconds())
	}
	return b.String()
}
