package estimator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/estimator"
	"geraniumladder/pkg/selector"
)

var start = time.Unix(0, 0)

// events returns the observation of four events that took a multiple of the default time.
func events(slowness float64) estimator.Observation {
	return estimator.Observation{Events: 4, Actual: time.Duration(slowness * 4 * float64(selector.DefaultEventTime))}
}

// TestSingleOutlierIsIgnored guards against a speed that one delayed response changes, before and after others were
// observed, and against one that doesn't follow an engine that has changed.
func TestSingleOutlierIsIgnored(t *testing.T) {
	service := estimator.NewService(selector.Config{}.WithDefaults())
	var e estimator.Engine
	now := start
	observe := func(slowness float64) float64 {
		now = now.Add(300 * time.Millisecond)
		e = e.WithObservation(now, &service, events(slowness))
		return e.Speed(now)
	}
	assert.Equal(t, observe(20), 1.0)
	assert.Assert(t, observe(1) > 0.9)
	for range 10 {
		observe(1)
	}
	assert.Assert(t, observe(20) > 0.9)
	now = now.Add(6 * time.Second)
	for range 8 {
		observe(2)
	}
	assert.Assert(t, e.Speed(now) < 0.55)
	assert.Equal(t, e.Speed(now.Add(time.Minute)), 1.0)
	assert.Equal(t, e.OwnSpeed(now.Add(time.Minute)), 0.0)
}

// TestEstimatesAreBounded guards against estimates that exclude an engine, whatever is observed or told by others, and
// against a backlog that is negative or larger than what was sent.
func TestEstimatesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defaults := selector.Config{}.WithDefaults()
		service := estimator.NewService(defaults)
		var e estimator.Engine
		var b estimator.Backlog
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			tokens := rapid.Float64Range(0, 1e5).Draw(t, "tokens")
			o := estimator.Observation{
				IsFirst: rapid.Bool().Draw(t, "first"), Events: rapid.IntRange(0, 9).Draw(t, "events"), ReadTokens: tokens,
				CertainTokens: tokens * rapid.Float64Range(0, 1).Draw(t, "certain"), Actual: time.Duration(rapid.Int64Range(-1, 1e12).Draw(t, "actual")),
			}
			service = service.WithObservation(now, o)
			e = e.WithObservation(now, &service, o)
			if rapid.Bool().Draw(t, "shares") {
				e = e.WithShared(now, rapid.Float64().Draw(t, "shared"))
			}
			speed, learned := e.Speed(now), service.Config()
			assert.Assert(t, speed >= 1.0/8 && speed <= 8, "%v", speed)
			assert.Assert(t, learned.PrefillTokensPerMs >= defaults.PrefillTokensPerMs/8.01 && learned.EventTime <= 8*defaults.EventTime, "%+v", learned)
			read := b.Read(now)
			b = b.WithRate(now, learned.PrefillTokensPerMs*speed).WithTotal(now, tokens)
			assert.Assert(t, b.Unread(now) >= 0 && b.Unread(now) <= tokens && b.Read(now) >= read)
		}
	})
}
