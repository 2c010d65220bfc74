package arbiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/pkg/arbiter"
)

// rejections returns how many of 100 requests are rejected that are expected to take the multiple of their remaining second.
func rejections(a arbiter.Accuracy, multiple float64) int {
	rng, n := rand.New(rand.NewPCG(1, 1)), 0
	for range 100 {
		r := arbiter.Request{Expected: time.Duration(multiple * float64(time.Second)), Remaining: time.Second}
		if (arbiter.Limited{}).Decide(time.Minute, r, &a, rng).IsRejected() {
			n++
		}
	}
	return n
}

// TestRejectionNeedsAKnownError guards against rejections that rest on an estimate whose error is unknown, large, outdated
// or measured on much shorter waits, and against a known error that is not used.
func TestRejectionNeedsAKnownError(t *testing.T) {
	measured := func(at, expected time.Duration, ratio float64) (a arbiter.Accuracy) {
		for range 30 {
			a = a.WithFirstEvent(at, expected, time.Duration(ratio*float64(expected)))
		}
		return a
	}
	exact := measured(time.Minute, 1500*time.Millisecond, 1)
	for _, c := range []struct {
		name       string
		accuracy   arbiter.Accuracy
		multiple   float64
		isRejected bool
	}{
		{"unknown, within four times", arbiter.Accuracy{}, 3.9, false},
		{"unknown, beyond four times", arbiter.Accuracy{}, 4.1, true},
		{"exact, small excess", exact, 1.2, false},
		{"exact, clear excess", exact, 1.3, true},
		{"far too high", measured(time.Minute, 1500*time.Millisecond, 0.2), 2.9, false},
		{"outdated", measured(0, 1500*time.Millisecond, 1), 1.3, false},
		{"measured on short waits", measured(time.Minute, 300*time.Millisecond, 1), 1.3, false},
	} {
		n := rejections(c.accuracy, c.multiple)
		assert.Equal(t, n > 0, c.isRejected, c.name)
		assert.Assert(t, n < 100, "%s: no trials, so that a wrong estimate is never found out", c.name)
	}
}

// TestUnansweredRequestsAreMeasured guards against an error measured only on the requests that were served.
func TestUnansweredRequestsAreMeasured(t *testing.T) {
	var a arbiter.Accuracy
	for range 30 {
		a = a.WithoutFirstEvent(time.Minute, time.Second, 100*time.Millisecond)
	}
	assert.Equal(t, rejections(a, 1.3), 0, "requests whose callers left early")
	for range 30 {
		a = a.WithoutFirstEvent(time.Minute, time.Second, 2*time.Second)
	}
	assert.Assert(t, rejections(a, 1.3) > 0)
}
