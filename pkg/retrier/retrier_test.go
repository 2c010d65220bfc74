package retrier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/retrier"
)

// Guards against a retry storm: the retries in any window stay within the budget, whatever the pattern of failures.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := retrier.Config{Ratio: rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
			Constant: rapid.Float64Range(0.5, 10).Draw(t, "constant"), Window: time.Second}
		r := retrier.New(c)
		var now time.Duration
		var requests, retries []time.Duration
		within := func(times []time.Duration) float64 {
			n := 0.0
			for _, at := range times {
				if at > now-c.Window {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 1, 30, 99, 1000, 5000}).Draw(t, "ms")) * time.Millisecond
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				r = r.WithRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "failures") {
				var ok bool
				if r, ok = r.Allow(now); ok {
					retries = append(retries, now)
					bound := c.Ratio*within(requests) + c.Constant
					assert.Assert(t, within(retries) <= bound+1e-9, "%v retries, bound %v", within(retries), bound)
				}
			}
		}
	})
}

// Guards against a budget that does not recover after it is exhausted, and against one that does not grow with
// requests.
func TestBudgetIsUsable(t *testing.T) {
	r := retrier.New(retrier.Config{})
	spend := func(now time.Duration) (n int) {
		for ok := true; ok; {
			if r, ok = r.Allow(now); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, spend(0), 5)
	for range 100 {
		r = r.WithRequest(time.Second)
	}
	assert.Equal(t, spend(time.Second), 10)
	assert.Equal(t, spend(time.Minute), 5)
}

// Guards against backoff delays that exceed the bound or are allowed past the request deadline.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := retrier.New(retrier.Config{})
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		retry := rapid.IntRange(1, 100).Draw(t, "retry")
		remaining := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "remaining"))
		delay, ok := r.Backoff(retry, rng, remaining)
		assert.Assert(t, delay >= 0 && delay <= min(25*time.Millisecond<<min(retry-1, 10), time.Second))
		assert.Equal(t, ok, delay < remaining)
	})
}

// TestBudgetHoldsWhileTheWindowChanges guards against retries that are counted for too long, or not at all, after the window
// of the budget has changed.
func TestBudgetHoldsWhileTheWindowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawWindow := func() time.Duration {
			return rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 1500 * time.Millisecond, 10 * time.Second}).Draw(t, "window")
		}
		c := retrier.Config{Ratio: 0.5, Constant: 3, Window: drawWindow()}
		r := retrier.New(c)
		now, knownFrom := 50*time.Second, time.Duration(0)
		var requests, retries []time.Duration
		after := func(times []time.Duration, from time.Duration) (n float64) {
			for _, at := range times {
				if at > from {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 30, 99, 1000, 5000}).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 4).Draw(t, "changes") == 0 {
				knownFrom = max(knownFrom, now-c.Window)
				c.Window = drawWindow()
				r = r.WithConfig(c, now)
			}
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				r = r.WithRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "failures") {
				var ok bool
				if r, ok = r.Allow(now); ok {
					retries = append(retries, now)
					used, bound := after(retries, max(knownFrom, now-c.Window)), c.Ratio*after(requests, now-c.Window)+c.Constant
					assert.Assert(t, used <= bound+1e-9, "%v retries, bound %v", used, bound)
				}
			}
		}
		// Whatever came before, an idle window later the constant is there in full.
		now += c.Window + c.Window/5
		for range 3 {
			var ok bool
			r, ok = r.Allow(now)
			assert.Assert(t, ok)
		}
	})
}
