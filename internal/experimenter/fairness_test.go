package experimenter_test

import (
	"flag"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

var fairnessSeed = flag.Uint64("fairness.seed", 1, "seed of the trace of TestFairness")

// Guards against a neighbour that sends five times its rate making other organisations wait.
func TestFairness(t *testing.T) {
	rows := experimenter.Fairness(*fairnessSeed)
	var b strings.Builder
	assert.NilError(t, experimenter.WriteFairness(&b, rows))
	t.Logf("seed %d\n%s", *fairnessSeed, b.String())
}
