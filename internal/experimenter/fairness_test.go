package experimenter_test

import (
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

var (
	fairnessSeed  = flag.Uint64("fairness.seed", 1, "seed of the trace of the fairness tests")
	fairnessTable = flag.Bool("fairness.table", false, "print the whole table of fairness measurements")
)

// Guards against a neighbour that sends five times its rate making other organisations wait, at the size of today's
// fleet, and against a measurement that would not notice it. The time is that of the published table: in a shorter one
// the second in which the excess begins is more than one request in a hundred.
func TestFairness(t *testing.T) {
	all := experimenter.FairnessVariants()
	variants := []experimenter.FairnessVariant{all[2], all[len(all)-2]}
	rows := experimenter.MeasureFairness(experimenter.FairnessConfig{Seed: *fairnessSeed, Endpoints: 12, Use: 0.5,
		Duration: experimenter.FairnessDuration, Variants: variants})
	assert.Assert(t, !rows[0].Met(), "%+v", rows[0])
	assert.Assert(t, rows[1].Met(), "%+v", rows[1])
}

// Prints the table of docs/measurements-fairness.md.
func TestFairnessTable(t *testing.T) {
	if !*fairnessTable {
		t.Skip("run with -fairness.table")
	}
	var b strings.Builder
	assert.NilError(t, experimenter.WriteFairness(&b, experimenter.Fairness(*fairnessSeed)))
	t.Logf("seed %d\n%s", *fairnessSeed, b.String())
}
