package experimenter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

const (
	loans = "shares and loans"
	fixed = "fixed equal shares"
	loss  = "entry lost: first 10 s"
)

func limitsRow(user, scenario, policy string, part float64) experimenter.LimitsRow {
	return experimenter.LimitsPart(1, user, part, func(s, p string) bool { return s == scenario && p == policy }).Rows[0]
}

// Guards against a policy, the baselines included, that admits more than burst + rate·t in any scenario.
func TestLimits(t *testing.T) {
	t.Parallel()
	for _, user := range experimenter.LimitsSizes() {
		for _, policy := range []string{loans, "shares and loans, only what is missing", fixed, "one owner, leases of 6 s"} {
			t.Run(user+"/"+policy, func(t *testing.T) {
				t.Parallel()
				rows := experimenter.LimitsPart(1, user, 0.05, func(_, p string) bool { return p == policy }).Rows
				assert.Equal(t, len(rows), 9)
				for _, row := range rows {
					assert.Assert(t, row.Requests > 0 && row.Excess == 0, "%+v", row)
				}
			})
		}
	}
}

// Guards against shares and loans that refuse more than a tenth of what fixed shares wrongly refuse when demand moves.
func TestLimitsMovesFixed(t *testing.T) {
	t.Parallel()
	ours, theirs := limitsRow("vunidawa", "demand moves", loans, 0.05), limitsRow("vunidawa", "demand moves", fixed, 0.05)
	assert.Assert(t, theirs.Wrongful > 0 && ours.Wrongful*10 <= theirs.Wrongful, "%+v %+v", ours, theirs)
}

func wrongfulWithin(t *testing.T, user, scenario string, bound, part float64) {
	t.Helper()
	row := limitsRow(user, scenario, loans, part)
	assert.Assert(t, row.WrongfulPerThousand() <= bound, "%s: %.2f in 1,000, target %.0f: %+v", user, row.WrongfulPerThousand(), bound, row)
}

// Guards against more than one wrongful refusal in 1,000 in steady traffic.
func TestTargetLimitsSteady(t *testing.T) {
	t.Parallel()
	for _, user := range experimenter.LimitsSizes() {
		t.Run(user, func(t *testing.T) {
			t.Parallel()
			wrongfulWithin(t, user, "steady", 1, 1)
		})
	}
}

// Guards against more than one wrongful refusal in 1,000 when an organisation's demand moves from entry to entry.
func TestTargetLimitsMovesAccra(t *testing.T) {
	t.Parallel()
	wrongfulWithin(t, "accra", "demand moves", 1, 1)
}

// The same as TestTargetLimitsMovesAccra at the other user's size.
func TestTargetLimitsMovesVunidawa(t *testing.T) {
	t.Parallel()
	wrongfulWithin(t, "vunidawa", "demand moves", 1, 1)
}

// Guards against more than one wrongful refusal in 100 in the ten seconds after the loss of an entry.
func TestTargetLimitsLossAccra(t *testing.T) {
	t.Parallel()
	wrongfulWithin(t, "accra", loss, 10, 1)
}

// The same as TestTargetLimitsLossAccra at the other user's size.
func TestTargetLimitsLossVunidawa(t *testing.T) {
	t.Parallel()
	wrongfulWithin(t, "vunidawa", loss, 10, 0.5)
}

// Guards against sums over seeds that lose a figure or average a bound.
func TestLimitsRowPlus(t *testing.T) {
	a := experimenter.LimitsRow{Requests: 4, Admitted: 3, Excess: 2, Wrongful: 1, Stranded: 1, Waited: 1, MeanWait: 4 * time.Millisecond, MaxWait: 4, Messages: 5}
	b := experimenter.LimitsRow{Requests: 6, Admitted: 6, Excess: 1, Waited: 3, MeanWait: 8 * time.Millisecond, MaxWait: 9, Messages: 1}
	assert.DeepEqual(t, a.Plus(b), experimenter.LimitsRow{Requests: 10, Admitted: 9, Excess: 2, Wrongful: 1, Stranded: 1, Waited: 4, MeanWait: 7 * time.Millisecond, MaxWait: 9, Messages: 6})
}
