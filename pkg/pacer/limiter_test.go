package pacer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/pkg/pacer"
)

// TestLimitEndsWithoutDemandForMore guards against an endpoint that stays limited because its demand never reaches its
// capacity, and against the end of the limit while requests are late.
func TestLimitEndsWithoutDemandForMore(t *testing.T) {
	play := func(late bool) time.Duration {
		var l pacer.Limiter = pacer.NewAdaptive(pacer.AdaptiveConfig{}, 64, 0, 0)
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			r := pacer.Responses{Timely: 1}
			if late && now%(2*time.Second) == 0 {
				r = pacer.Responses{Late: 1}
			}
			if l = l.WithResponses(r, 2, now); l.IsDone(now) {
				return now
			}
		}
		return 20 * time.Second
	}
	assert.Assert(t, play(false) <= 5*time.Second, "the limit ended after %v", play(false))
	assert.Equal(t, play(true), pacer.DefaultMaxTime)
}
