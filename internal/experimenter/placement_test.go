package experimenter_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// placementRunKey identifies a run whose results several tests share.
type placementRunKey struct {
	user     string
	scenario experimenter.PlacementScenario
}

var placementRuns sync.Map

var placementSizes = map[string]func() experimenter.PlacementSize{"vunidawa": experimenter.Vunidawa, "accra": experimenter.Accra}

// shortRun returns the rows of the product's policy, the least loaded endpoint, the plain hash and the offline bound,
// for seed 1 and four minutes instead of ten.
func shortRun(user string, scenario experimenter.PlacementScenario) []experimenter.PlacementResult {
	rows, _ := placementRuns.LoadOrStore(placementRunKey{user, scenario}, sync.OnceValue(func() []experimenter.PlacementResult {
		all := experimenter.PlacementPolicies()
		return experimenter.PlacementInScenario(1, shortSize(user), scenario, []experimenter.PlacementPolicy{all[0], all[4], all[5]})
	}))
	return rows.(func() []experimenter.PlacementResult)()
}

func shortSize(user string) experimenter.PlacementSize {
	size := placementSizes[user]()
	size.Duration = 4 * time.Minute
	return size
}

// forEachScenario runs check at both users' sizes in the selected scenarios.
func forEachScenario(t *testing.T, selected func(experimenter.PlacementScenario) bool, check func(t *testing.T, user string, scenario experimenter.PlacementScenario)) {
	t.Parallel()
	for user := range placementSizes {
		for _, scenario := range experimenter.PlacementScenarios() {
			if selected(scenario) {
				t.Run(user+"/"+string(scenario), func(t *testing.T) {
					t.Parallel()
					check(t, user, scenario)
				})
			}
		}
	}
}

func everyScenario(experimenter.PlacementScenario) bool { return true }

func isDomainLost(s experimenter.PlacementScenario) bool { return s == experimenter.DomainLost }

// Guards against a simulation that exceeds the load budget, beats the offline bound, loses requests or differs between
// two runs with one seed; and against a product policy with a higher p99 than a baseline or at least half of the stalls
// of the least loaded endpoint.
func TestPlacement(t *testing.T) {
	forEachScenario(t, everyScenario, func(t *testing.T, user string, scenario experimenter.PlacementScenario) {
		rows := shortRun(user, scenario)
		size, bound := shortSize(user), rows[len(rows)-1]
		for _, r := range rows {
			assert.Equal(t, r.Requests, bound.Requests)
			loads := r.Loads / 1000 * float64(r.Requests)
			assert.Assert(t, loads <= size.LoadsRate*120+9, "%s, %s: %.0f loads in two minutes", scenario, r.Policy, loads)
		}
		product := rows[0]
		assert.Assert(t, product.Stalls >= bound.Stalls, "%s", scenario)
		assert.Assert(t, product.P99 <= rows[1].P99 && product.P99 <= rows[2].P99, "%v", rows)
		// The target is a third. It is missed when a domain is lost; this looser bound detects a further regression.
		assert.Assert(t, product.Stalls*2 < rows[1].Stalls, "%s: %v", scenario, rows)
		if user == "vunidawa" {
			assert.DeepEqual(t, experimenter.PlacementInScenario(1, size, scenario, experimenter.PlacementPolicies()[:1])[0], product)
		}
	})
}

func assertStalls(t *testing.T, rows []experimenter.PlacementResult, baseline int, part float64) {
	t.Helper()
	product, base := rows[0], rows[baseline]
	assert.Assert(t, product.Stalls <= part*base.Stalls, "%.0f stalls in 1,000 to %.0f of %s: %.2f, target %.2f",
		product.Stalls, base.Stalls, base.Policy, product.Stalls/base.Stalls, part)
}

// Guards against more than a third of the stalls of the least loaded endpoint, in scenarios without a domain loss.
func TestTargetPlacementLeastLoaded(t *testing.T) {
	forEachScenario(t, func(s experimenter.PlacementScenario) bool { return !isDomainLost(s) }, func(t *testing.T, user string, scenario experimenter.PlacementScenario) {
		assertStalls(t, shortRun(user, scenario), 1, 1.0/3)
	})
}

// Same as TestTargetPlacementLeastLoaded when a failure domain is lost.
func TestTargetPlacementDomainLost(t *testing.T) {
	forEachScenario(t, isDomainLost, func(t *testing.T, user string, scenario experimenter.PlacementScenario) {
		assertStalls(t, shortRun(user, scenario), 1, 1.0/3)
	})
}

// Guards against more than half of the stalls of the plain hash.
func TestTargetPlacementHash(t *testing.T) {
	forEachScenario(t, everyScenario, func(t *testing.T, user string, scenario experimenter.PlacementScenario) {
		assertStalls(t, shortRun(user, scenario), 2, 1.0/2)
	})
}

// Guards against means that omit some of the runs.
func TestMeanPlacement(t *testing.T) {
	mean := experimenter.MeanPlacement([]experimenter.PlacementResult{{Requests: 2, Stalls: 1, P99: 4}},
		[]experimenter.PlacementResult{{Requests: 4, Stalls: 2, P99: 8}})
	assert.DeepEqual(t, mean, []experimenter.PlacementResult{{Requests: 3, Stalls: 1.5, P99: 6}})
}

const seeds = 4

func mean(size experimenter.PlacementSize, run func(seed uint64, size experimenter.PlacementSize) []experimenter.PlacementResult) []experimenter.PlacementResult {
	runs := make([][]experimenter.PlacementResult, seeds)
	for i := range runs {
		runs[i] = run(uint64(i+1), size)
	}
	return experimenter.MeanPlacement(runs...)
}

// BenchmarkPlacementTraces prints a table of docs/measurements.md: the steady scenario on other traces, as means over
// seeds 1 to 4.
func BenchmarkPlacementTraces(b *testing.B) {
	policies := experimenter.PlacementPolicies()
	for b.Loop() {
		var rows []experimenter.PlacementResult
		for _, trace := range [][3]float64{{1.1, 6, 0.7}, {1.1, 1, 0.7}, {1.3, 1, 0.7}, {1.5, 1, 0.7}, {1.3, 6, 0.7}, {1, 12, 0.7}, {1.1, 6, 0.4}, {1, 12, 0.4}} {
			size := experimenter.Vunidawa()
			size.ZipfExponent, size.SessionRequests, size.Busy = trace[0], trace[1], trace[2]
			size.Name = fmt.Sprintf("Zipf %.1f, sessions of %.0f, %.0f%% busy", trace[0], trace[1], 100*trace[2])
			rows = append(rows, mean(size, func(seed uint64, size experimenter.PlacementSize) []experimenter.PlacementResult {
				return experimenter.PlacementInScenario(seed, size, experimenter.Steady, policies)
			})...)
		}
		fmt.Print("\n", experimenter.PlacementTable(rows))
	}
}
