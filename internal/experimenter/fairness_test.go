package experimenter_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// measureFull measures a variant for the time of the published table. In a much shorter one the start of the excess is
// more than one request in a hundred; tests that pass are somewhat shorter, and those that miss the target have all of it.
func measureFull(seed uint64, endpoints int, use float64, variant experimenter.FairnessVariant) experimenter.FairnessRow {
	return measure(experimenter.FairnessDuration, seed, endpoints, use, variant)
}

func measure(d time.Duration, seed uint64, endpoints int, use float64, variant experimenter.FairnessVariant) experimenter.FairnessRow {
	return experimenter.MeasureFairness(experimenter.FairnessConfig{Seed: seed, Endpoints: endpoints, Use: use,
		Duration: d, Variants: []experimenter.FairnessVariant{variant}})[0]
}

// variantWithoutLimits is the product's order and placement, to which rate limits give no help.
func variantWithoutLimits() experimenter.FairnessVariant {
	all := experimenter.FairnessVariants()
	return all[len(all)-2]
}

func variantWithLimits() experimenter.FairnessVariant {
	all := experimenter.FairnessVariants()
	return all[len(all)-1]
}

func assertFair(t *testing.T, row experimenter.FairnessRow) {
	t.Helper()
	assert.Assert(t, row.Ratio() <= 1.25 && row.ShareRatio() <= 1.25, "p99 %.2f, share %.2f: %+v", row.Ratio(), row.ShareRatio(), row)
}

// Guards against a neighbour that sends five times its rate making other organisations wait, at the size of today's
// fleet at Vunidawa, and against a measurement that would not notice it.
func TestFairness(t *testing.T) {
	t.Parallel()
	counter := measure(2*time.Minute, 1, 12, 0.5, experimenter.FairnessVariants()[2])
	assert.Assert(t, !counter.Met(), "%+v", counter)
	assertFair(t, measure(10*time.Minute, 1, 12, 0.5, variantWithoutLimits()))
}

// Guards against the same behind the rate limits that the product has, at a small fleet and at both users' fleets.
func TestTargetFairnessLimited(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{4, 12, 18} {
		t.Run(fmt.Sprint(endpoints), func(t *testing.T) {
			t.Parallel()
			assertFair(t, measure(5*time.Minute, 1, endpoints, 0.5, variantWithLimits()))
		})
	}
}

// The same as TestFairness at the size of today's fleet at Accra.
func TestTargetFairnessAccra(t *testing.T) {
	t.Parallel()
	assertFair(t, measure(10*time.Minute, 1, 18, 0.5, variantWithoutLimits()))
}

// The same as TestFairness with the seed that has the worst figure of those measured.
func TestTargetFairnessSeed6(t *testing.T) {
	t.Parallel()
	assertFair(t, measureFull(6, 12, 0.5, variantWithoutLimits()))
}

// The same as TestFairness at fewer endpoints.
func TestTargetFairnessFewEndpoints(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{1, 4} {
		assertFair(t, measureFull(1, endpoints, 0.5, variantWithoutLimits()))
	}
}

// The same behind the rate limits with one endpoint and seed 5, the worst of those measured.
func TestTargetFairnessLimitedOneEndpoint(t *testing.T) {
	t.Parallel()
	assertFair(t, measureFull(5, 1, 0.5, variantWithLimits()))
}

// The same behind the rate limits with endpoints that are seven tenths used at everybody's rates.
func TestTargetFairnessBusy(t *testing.T) {
	t.Parallel()
	assertFair(t, measureFull(1, 12, 0.7, variantWithLimits()))
}
