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
		if (arbiter.Limited{}).Decide(time.Minute, r, &arbiter.State{Accuracy: a}, rng).IsRejected() {
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

// shortage returns a Load at the end of 10 s with the parts of late requests, 6 of them a second.
func shortage(parts ...float64) (l arbiter.Load, now time.Duration) {
	for _, part := range parts {
		for i := range 60 {
			now += time.Second / 6
			l = l.WithRequest(now, int(float64(i+1)*part) > int(float64(i)*part))
		}
	}
	return l, now
}

// TestShortageHasHysteresis guards against rejections because of a few late requests, and against decisions that change
// with each request.
func TestShortageHasHysteresis(t *testing.T) {
	for _, c := range []struct {
		parts   []float64
		isShort bool
	}{{[]float64{0.2}, false}, {[]float64{0.5}, true}, {[]float64{0.5, 0.2}, true}, {[]float64{0.5, 0.2, 0}, false}} {
		l, _ := shortage(c.parts...)
		assert.Equal(t, l.IsShort(), c.isShort, "%v", c.parts)
	}
	var few arbiter.Load
	for range 4 {
		few = few.WithRequest(0, true)
	}
	assert.Assert(t, !few.IsShort())
}

// TestFairShares guards against a wrong distribution of capacity: what organisations leave of their shares belongs to the
// others, shares are in proportion to the weights, and nobody is over its share while everything is admitted.
func TestFairShares(t *testing.T) {
	for _, c := range []struct {
		weights, offered, admitted [3]float64
		isOver                     [3]bool
	}{
		{[3]float64{1, 1, 1}, [3]float64{10, 10, 70}, [3]float64{10, 10, 40}, [3]bool{false, false, true}},
		{[3]float64{1, 1, 1}, [3]float64{10, 10, 100}, [3]float64{10, 10, 100}, [3]bool{}},
		{[3]float64{1, 1, 1}, [3]float64{10, 10, 100}, [3]float64{10, 10, 75}, [3]bool{}},
		{[3]float64{1, 4, 0}, [3]float64{100, 100, 100}, [3]float64{0, 40, 90}, [3]bool{true, false, true}},
	} {
		var u arbiter.Usage
		for i, name := range []string{"a", "b", "c"} {
			u = u.WithRequest(0, name, c.weights[i], c.admitted[i], true)
			u = u.WithRequest(0, name, c.weights[i], c.offered[i]-c.admitted[i], false)
		}
		for i, name := range []string{"a", "b", "c"} {
			assert.Equal(t, u.IsOverShare(time.Second, name), c.isOver[i], "%s of %+v", name, c)
		}
	}
}

// TestLateRequests guards against rejections of late requests that displace nobody or have waited already, and against
// organisations within their share that are rejected as early as the one beyond it.
func TestLateRequests(t *testing.T) {
	short, now := shortage(0.5)
	var usage arbiter.Usage
	for name, tokens := range map[string]float64{"small": 10, "large": 100} {
		usage = usage.WithRequest(now, name, 0, tokens/2, true).WithRequest(now, name, 0, tokens/2, false)
	}
	exact := arbiter.Accuracy{}
	for range 30 {
		exact = exact.WithFirstEvent(now, 2*time.Second, 2*time.Second)
	}
	request := func(expected time.Duration, organisation string) arbiter.Request {
		return arbiter.Request{
			Expected: expected, Remaining: 4 * time.Second, Objective: time.Second, Timely: time.Second, Idle: 200 * time.Millisecond,
			Queued: expected - 200*time.Millisecond, IsNew: true, Organisation: organisation,
		}
	}
	tooHigh := arbiter.Accuracy{}
	for range 30 {
		tooHigh = tooHigh.WithFirstEvent(now, 2*time.Second, time.Second)
	}
	late, waited, alone := request(1500*time.Millisecond, "small"), request(1500*time.Millisecond, "small"), request(1500*time.Millisecond, "small")
	waited.IsNew, alone.Queued = false, 0
	for _, c := range []struct {
		name     string
		accuracy arbiter.Accuracy
		load     arbiter.Load
		request  arbiter.Request
		kind     arbiter.Kind
	}{
		{"late", exact, short, late, arbiter.Late},
		{"late by an estimate that is too high", tooHigh, short, late, arbiter.Admitted},
		{"late without shortage", exact, arbiter.Load{}, late, arbiter.Admitted},
		{"late, has waited", exact, short, waited, arbiter.Admitted},
		{"late at an idle engine", exact, short, alone, arbiter.Admitted},
		{"timely", exact, short, request(900*time.Millisecond, "small"), arbiter.Admitted},
		{"timely, beyond its share", exact, short, request(900*time.Millisecond, "large"), arbiter.OverShare},
		{"early, beyond its share", exact, short, request(400*time.Millisecond, "large"), arbiter.Admitted},
	} {
		// The first random number of this seed doesn't lead to a trial.
		d := arbiter.Fair{}.Decide(now, c.request, &arbiter.State{Accuracy: c.accuracy, Load: c.load, Usage: usage}, rand.New(rand.NewPCG(1, 1)))
		assert.Equal(t, d.Kind, c.kind, c.name)
		assert.Equal(t, d.RetryAfter > 0, d.IsRejected(), c.name)
	}
}

// TestLoadsAreNoShortage guards against rejections because requests are late for another reason than others' prompts.
func TestLoadsAreNoShortage(t *testing.T) {
	for _, idle := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond} {
		var s arbiter.State
		for range 20 {
			r := arbiter.Request{Expected: 1500 * time.Millisecond, Objective: time.Second, Timely: time.Second, Idle: idle, IsNew: true}
			s = s.WithDecision(0, r, arbiter.Decision{Kind: arbiter.Admitted})
		}
		assert.Equal(t, s.Load.IsShort(), idle < time.Second)
	}
}

// BenchmarkDecision is one decision with its record while capacity is short, among 100 organisations.
func BenchmarkDecision(b *testing.B) {
	load, now := shortage(0.5)
	s := arbiter.State{Load: load}
	for i := range 100 {
		s.Usage = s.Usage.WithRequest(now, string(rune('a'+i)), 0, 1000, i%2 == 0)
	}
	for range 64 {
		s.Accuracy = s.Accuracy.WithFirstEvent(now, time.Second, time.Second)
	}
	r := arbiter.Request{
		Expected: 900 * time.Millisecond, Remaining: 4 * time.Second, Objective: time.Second, Timely: time.Second, Queued: 900 * time.Millisecond,
		IsNew: true, Organisation: "a", Tokens: 1000,
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		s.WithDecision(now, r, arbiter.Fair{}.Decide(now, r, &s, rng))
	}
}
