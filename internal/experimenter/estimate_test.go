package experimenter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// TestLearnedSpeedsPreventLateRequests guards against estimates that ignore that a quarter of the engines is slow, with
// cache hits that are mispredicted and events that are delayed on their way; and against entries that don't tell each
// other what they have observed, or that all choose the same engine between two reports.
func TestLearnedSpeedsPreventLateRequests(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		rows := experimenter.Estimate(seed)
		fixed, spread, learned := rows[0], rows[1], rows[2]
		t.Logf("seed %d: %+v", seed, rows)
		assert.Assert(t, learned.Late < 0.2*min(fixed.Late, spread.Late))
		assert.Assert(t, learned.P10 > experimenter.EstimateP10Target && learned.P90 < 0.5*fixed.P90)
	}
}
