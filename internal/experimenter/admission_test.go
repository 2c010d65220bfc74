package experimenter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// TestEarlyRejectionsHelpCallers guards against early rejections that cost callers more than they save, and against callers
// that are left unanswered in an overload.
func TestEarlyRejectionsHelpCallers(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		rows := experimenter.Admission(seed, experimenter.AdmissionPolicies())
		all, product := rows[0], rows[len(rows)-1]
		t.Logf("seed %d: %+v", seed, rows)
		assert.Assert(t, product.Value > all.Value)
		assert.Assert(t, product.Lost < all.Lost)
		assert.Assert(t, product.OthersTimely >= all.OthersTimely)
		assert.Assert(t, product.FalseRejections < 10)
	}
}
