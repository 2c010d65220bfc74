package experimenter_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// TestPacingIsWorthIt guards against pacing that crashes a cold engine, that lets callers wait longer than no pacing does,
// or that leaves a healthy engine idle for longer than stated.
func TestPacingIsWorthIt(t *testing.T) {
	none := map[string]experimenter.PacingRow{}
	rows := experimenter.Pacing(7)
	for _, r := range rows {
		if r.Policy == "none" {
			none[r.Scenario] = r
		}
	}
	for _, r := range rows {
		if r.Policy != "grants" {
			continue
		}
		assert.Equal(t, r.Crashes, 0, r.Scenario)
		assert.Assert(t, r.Timely > 5*none[r.Scenario].Timely, r.Scenario)
		assert.Assert(t, 10*(r.Late+r.Lost) < none[r.Scenario].Late+none[r.Scenario].Lost, r.Scenario)
		assert.Assert(t, r.NineTenths > 0, r.Scenario)
		if r.Scenario == "healthy" {
			assert.Assert(t, r.NineTenths <= experimenter.PacingTarget)
		}
	}
	assert.Assert(t, none["cold for 8 s, 6.5 a second"].Crashes > 0, "the load crashes no engine")
}
