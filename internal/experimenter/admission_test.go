package experimenter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// TestEarlyRejectionsHelpCallers guards against early rejections that cost callers more than they save, in particular in
// short overloads and without one, and against a surge of one organisation that makes the others' requests late.
func TestEarlyRejectionsHelpCallers(t *testing.T) {
	for i, load := range experimenter.AdmissionLoads() {
		for seed := uint64(1); seed <= 3; seed++ {
			rows := experimenter.Admission(seed, load)
			all, limited, product := rows[0], rows[1], rows[len(rows)-1]
			t.Logf("%s, seed %d: %+v", load.Name, seed, rows)
			assert.Assert(t, product.Value >= all.Value)
			assert.Assert(t, product.Lost <= all.Lost)
			assert.Assert(t, limited.FalseRejections < 10 && product.FalseRejections < 10)
			assert.Assert(t, product.OthersTimely >= all.OthersTimely)
			if i == 0 {
				assert.Assert(t, product.OthersTimely > 0.8)
				assert.Assert(t, product.Value > 1.5*all.Value)
			}
		}
	}
}
