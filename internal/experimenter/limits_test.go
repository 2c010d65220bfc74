package experimenter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

const (
	lendingPolicy = "shares and loans"
	fixedPolicy   = "fixed equal shares"
	lossScenario  = "entry lost: first 10 s"
)

func limitsRow(user, scenario, policy string, scale float64) experimenter.LimitsRow {
	return experimenter.LimitsScaled(1, user, scale, func(s, p string) bool { return s == scenario && p == policy }).Rows[0]
}

// Guards against a policy or baseline that admits more than burst + rate·t in any scenario.
func TestLimits(t *testing.T) {
	t.Parallel()
	for _, user := range experimenter.LimitsSizes() {
		for _, policy := range []string{lendingPolicy, "shares and loans, only what is missing", fixedPolicy, "one owner, leases of 6 s"} {
			t.Run(user+"/"+policy, func(t *testing.T) {
				t.Parallel()
				rows := experimenter.LimitsScaled(1, user, 0.05, func(_, p string) bool { return p == policy }).Rows
				assert.Equal(t, len(rows), 9)
				for _, row := range rows {
					assert.Assert(t, row.Requests > 0 && row.Excess == 0, "%+v", row)
				}
			})
		}
	}
}

// Guards against lending that wrongfully refuses more than a tenth as many requests as fixed shares do when an
// organisation's demand moves between entries.
func TestLendingRefusesLessThanFixedShares(t *testing.T) {
	t.Parallel()
	lending, fixed := limitsRow("vunidawa", "demand moves", lendingPolicy, 0.05), limitsRow("vunidawa", "demand moves", fixedPolicy, 0.05)
	assert.Assert(t, fixed.Wrongful > 0 && lending.Wrongful*10 <= fixed.Wrongful, "%+v %+v", lending, fixed)
}

func assertWrongful(t *testing.T, user, scenario string, bound, scale float64) {
	t.Helper()
	row := limitsRow(user, scenario, lendingPolicy, scale)
	assert.Assert(t, row.WrongfulPerThousand() <= bound, "%s: %.2f in 1,000, target %.0f: %+v", user, row.WrongfulPerThousand(), bound, row)
}

// Guards against more than one wrongful refusal per 1,000 requests in steady traffic.
func TestTargetLimitsSteady(t *testing.T) {
	t.Parallel()
	for _, user := range experimenter.LimitsSizes() {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			assertWrongful(t, user, "steady", 1, 1)
		})
	}
}

// Guards against more than one wrongful refusal per 1,000 requests when an organisation's demand moves between entries.
func TestTargetLimitsMovesAccra(t *testing.T) {
	t.Parallel()
	assertWrongful(t, "accra", "demand moves", 1, 1)
}

// Same as TestTargetLimitsMovesAccra at Vunidawa's size.
func TestTargetLimitsMovesVunidawa(t *testing.T) {
	t.Parallel()
	assertWrongful(t, "vunidawa", "demand moves", 1, 1)
}

// Guards against more than ten wrongful refusals per 1,000 requests in the ten seconds after the loss of an entry.
func TestTargetLimitsLossAccra(t *testing.T) {
	t.Parallel()
	assertWrongful(t, "accra", lossScenario, 10, 1)
}

// Same as TestTargetLimitsLossAccra at Vunidawa's size, with half of the repeats.
func TestTargetLimitsLossVunidawa(t *testing.T) {
	t.Parallel()
	assertWrongful(t, "vunidawa", lossScenario, 10, 0.5)
}

// Guards against sums over seeds that omit a field or average a maximum.
func TestLimitsRowPlus(t *testing.T) {
	a := experimenter.LimitsRow{Requests: 4, Admitted: 3, Excess: 2, Wrongful: 1, Stranded: 1, Waited: 1, MeanWait: 4 * time.Millisecond, MaxWait: 4, Messages: 5}
	b := experimenter.LimitsRow{Requests: 6, Admitted: 6, Excess: 1, Waited: 3, MeanWait: 8 * time.Millisecond, MaxWait: 9, Messages: 1}
	assert.DeepEqual(t, a.Plus(b), experimenter.LimitsRow{Requests: 10, Admitted: 9, Excess: 2, Wrongful: 1, Stranded: 1, Waited: 4, MeanWait: 7 * time.Millisecond, MaxWait: 9, Messages: 6})
}
