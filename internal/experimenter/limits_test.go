package experimenter_test

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// Guards against a policy, the baselines included, that admits more than burst + rate·t in any scenario, and against
// shares and loans that refuse more than a tenth of what fixed shares wrongly refuse when demand moves.
func TestLimits(t *testing.T) {
	wrongful := map[string]int{}
	for _, row := range experimenter.LimitsPart(1, "vunidawa", 0.05).Rows {
		assert.Assert(t, row.Requests > 0 && row.Excess == 0, "%+v", row)
		if row.Scenario == "demand moves" {
			wrongful[row.Policy] = row.Wrongful
		}
	}
	assert.Assert(t, wrongful["fixed equal shares"] > 0, "%v", wrongful)
	assert.Assert(t, wrongful["shares and loans"]*10 <= wrongful["fixed equal shares"], "%v", wrongful)
}

var table = flag.Bool("table", false, "print the table of docs/measurements-limits.md, which takes a minute")

// Prints the table of docs/measurements-limits.md, and guards against excess in the full-length scenarios.
func TestLimitsTable(t *testing.T) {
	if !*table {
		t.Skip("give -args -table")
	}
	for _, size := range experimenter.LimitsSizes() {
		result := experimenter.Limits(1, size)
		t.Logf("%s, seed %d\n%s", result.Size, result.Seed, result)
		for _, row := range result.Rows {
			assert.Assert(t, row.Excess == 0, "%+v", row)
		}
	}
}
