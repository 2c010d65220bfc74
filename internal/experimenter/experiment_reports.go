package experimenter

import (
	"fmt"
	"slices"
	"time"
)

// Targets from docs/design.md, sections 8, 10 and 11. The fairness target is FairnessTarget.
const (
	// WrongfulTarget and WrongfulLossTarget are the maximum numbers of wrongful refusals per 1,000 requests: the first
	// in steady traffic and when demand moves, the second in the ten seconds after the loss of an entry.
	WrongfulTarget     = 1.0
	WrongfulLossTarget = 10.0
	// LeastLoadedTarget and HashTarget are the maximum ratios of the product's stalls to those of the baseline.
	LeastLoadedTarget = 1.0 / 3
	HashTarget        = 1.0 / 2
)

// LimitsReport compares the policies that enforce a fleet-wide limit. Counts are summed over the seeds.
func LimitsReport(o Options) Report {
	var report Report
	for _, user := range o.Users {
		var sum LimitsResult
		for i := range o.Seeds {
			// The repeats of a loss use the lossRepeats-1 seeds after the first, so the next run starts after those.
			r := Limits(int64(o.Seed)+int64(i*lossRepeats), user)
			if i == 0 {
				sum = r
				continue
			}
			for j := range sum.Rows {
				sum.Rows[j] = sum.Rows[j].Plus(r.Rows[j])
			}
		}
		report.Sections = append(report.Sections, Section{user, sum.Table()})
		report.Charts = append(report.Charts, newChart(Chart{Name: "wrongful-" + user, Title: "Wrongful refusals, " + user,
			Unit: "wrongful refusals in 1,000 requests (0.05 stands for less)", Log: true, Floor: 0.05}, sum.Rows,
			func(r LimitsRow) (string, string, float64) { return r.Scenario, r.Policy, r.WrongfulPerThousand() }))
		worst := 0.0
		for _, r := range sum.Rows {
			worst = max(worst, r.Excess)
		}
		report.Targets = append(report.Targets, Target{user + ": zero excess in every scenario and policy", fmt.Sprintf("%.0f tokens", worst), worst == 0})
		for _, r := range sum.Rows {
			bound := map[string]float64{"steady": WrongfulTarget, "demand moves": WrongfulTarget, "entry lost: first 10 s": WrongfulLossTarget}[r.Scenario]
			if r.Policy == limitPolicies[0].name && bound > 0 {
				report.Targets = append(report.Targets, Target{fmt.Sprintf("%s: wrongful refusals ≤ %.0f in 1,000, %s", user, bound, r.Scenario),
					fmt.Sprintf("%.2f", r.WrongfulPerThousand()), r.WrongfulPerThousand() <= bound})
			}
		}
	}
	return report
}

// Plus adds the counts of two rows and keeps the larger Excess and MaxWait. MeanWait is weighted by Waited.
func (r LimitsRow) Plus(other LimitsRow) LimitsRow {
	if waited := r.Waited + other.Waited; waited > 0 {
		r.MeanWait = (r.MeanWait*time.Duration(r.Waited) + other.MeanWait*time.Duration(other.Waited)) / time.Duration(waited)
	}
	r.Requests, r.Admitted, r.Waited = r.Requests+other.Requests, r.Admitted+other.Admitted, r.Waited+other.Waited
	r.Wrongful, r.Stranded, r.Messages = r.Wrongful+other.Wrongful, r.Stranded+other.Stranded, r.Messages+other.Messages
	r.Excess, r.MaxWait = max(r.Excess, other.Excess), max(r.MaxWait, other.MaxWait)
	return r
}

// PlacementReport compares the policies that choose an endpoint. Figures are means over the seeds.
func PlacementReport(o Options) Report {
	var report Report
	for _, user := range o.Users {
		size := map[string]PlacementSize{vunidawa: Vunidawa(), accra: Accra()}[user]
		var runs [][]PlacementResult
		for i := range o.Seeds {
			runs = append(runs, Placement(o.Seed+uint64(i), size))
		}
		rows := MeanPlacement(runs...)
		report.Sections = append(report.Sections, Section{user, PlacementTable(rows)})
		// The offline bound has neither latencies nor batch sizes.
		timed := slices.DeleteFunc(slices.Clone(rows), func(r PlacementResult) bool { return r.TokensPerStep == 0 })
		chart := func(name, title, unit string, log bool, rows []PlacementResult, of func(PlacementResult) float64) {
			c := Chart{Name: name + "-" + user, Title: title + ", " + user, Unit: unit, Log: log}
			if log {
				c.Floor = 100
			}
			report.Charts = append(report.Charts, newChart(c, rows, func(r PlacementResult) (string, string, float64) {
				return string(r.Scenario), r.Policy, of(r)
			}))
		}
		chart("stalls", "Load stalls", "stalled requests in 1,000", false, rows, func(r PlacementResult) float64 { return r.Stalls })
		chart("p99", "p99 to the first token", "ms", true, timed, func(r PlacementResult) float64 { return float64(r.P99.Milliseconds()) })
		chart("loads", "Adapter loads", "loads in 1,000 requests", false, rows, func(r PlacementResult) float64 { return r.Loads })
		chart("batch", "Batch efficiency", "tokens a step of a busy engine", false, timed, func(r PlacementResult) float64 { return r.TokensPerStep })
		for _, scenario := range PlacementScenarios() {
			of := func(policy string) PlacementResult {
				return rows[slices.IndexFunc(rows, func(r PlacementResult) bool { return r.Scenario == scenario && r.Policy == policy })]
			}
			product := of("expected time")
			for _, b := range []struct {
				policy string
				part   float64
				words  string
			}{{"least loaded", LeastLoadedTarget, "a third"}, {"hash", HashTarget, "a half"}} {
				base := of(b.policy)
				report.Targets = append(report.Targets, Target{
					fmt.Sprintf("%s, %s: stalls ≤ %s of those of %s, p99 no worse", user, scenario, b.words, b.policy),
					fmt.Sprintf("%.0f to %.0f (%.2f), p99 %d to %d ms", product.Stalls, base.Stalls, product.Stalls/base.Stalls, product.P99.Milliseconds(), base.P99.Milliseconds()),
					product.Stalls <= b.part*base.Stalls && product.P99 <= base.P99})
			}
		}
	}
	return report
}

// FairnessReport compares the queueing policies. Each row is taken from the seed with the worst ratio.
func FairnessReport(o Options) Report {
	var report Report
	for _, user := range o.Users {
		// One and four endpoints show how the result depends on fleet size; the last value is the user's current fleet.
		fleets := map[string][]int{vunidawa: {1, 4, 12}, accra: {1, 4, 18}}[user]
		var rows []FairnessRow
		for i := range o.Seeds {
			run := Fairness(o.Seed+uint64(i), fleets)
			if i == 0 {
				rows = run
			}
			for j := range run {
				if run[j].Ratio() > rows[j].Ratio() {
					rows[j] = run[j]
				}
			}
		}
		report.Sections = append(report.Sections, Section{user, FairnessTable(rows)})
		chart := func(name, title, unit string, log bool, floor, target float64, of func(FairnessRow) float64) {
			report.Charts = append(report.Charts, newChart(Chart{Name: name + "-" + user, Title: title + ", " + user, Unit: unit, Log: log, Floor: floor, Target: target},
				rows, func(r FairnessRow) (string, string, float64) {
					return fmt.Sprintf("use %g, endpoints: %d", r.Use, r.Endpoints), r.Variant, of(r)
				}))
		}
		chart("ratio", "Worst-served organisation", "p99 to the first token beside the neighbour, over the p99 alone", true, 0.9, FairnessTarget, FairnessRow.Ratio)
		chart("p99", "p99 to the first token of the worst-served organisation", "ms", true, 50, 0, func(r FairnessRow) float64 { return float64(r.Excess.Milliseconds()) })
		chart("batch", "Batch efficiency during the excess", "used part of the batch", false, 0, 0, func(r FairnessRow) float64 { return r.Batch })
		variants := FairnessVariants()
		for _, r := range rows {
			if r.Variant == variants[len(variants)-1].Name || r.Variant == variants[len(variants)-2].Name {
				report.Targets = append(report.Targets, Target{fmt.Sprintf("%s, use %g, endpoints: %d, %s: p99 and share within %.2f", user, r.Use, r.Endpoints, r.Variant, FairnessTarget),
					fmt.Sprintf("p99 %.2f, share %.2f", r.Ratio(), r.ShareRatio()), r.Met()})
			}
		}
	}
	return report
}
