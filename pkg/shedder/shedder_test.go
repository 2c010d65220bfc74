package shedder_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/shedder"
)

// job is a request or a probe in the queue of the process.
type job struct {
	due     time.Duration
	isProbe bool
}

// load is a process that handles one job after another in virtual time, while requests arrive at a constant rate. Its
// processor is slower by the factor slowdown from slowFrom to slowUntil.
type load struct {
	policy                        shedder.Policy
	serviceTime, refusalTime, gap time.Duration
	slowdown                      int
	slowFrom, slowUntil, length   time.Duration
}

// outcome counts what became of the requests. late requests were forwarded after more than timeout, and wrong refusals
// fell into a time without a backlog.
type outcome struct {
	forwarded, refused, late, wronglyRefused int
	// clearedAfter is the time from slowUntil until a request was again forwarded within the target.
	clearedAfter time.Duration
}

const (
	probeInterval = 20 * time.Millisecond
	probeTime     = 10 * time.Microsecond
	// timeout is how long callers wait for their request to be forwarded.
	timeout = time.Second
)

func (l load) play() outcome {
	state := shedder.New(shedder.Config{})
	var o outcome
	var now time.Duration
	nextRequest, nextProbe := time.Duration(0), time.Duration(0)
	cost := func(d time.Duration) time.Duration {
		if now >= l.slowFrom && now < l.slowUntil {
			return d * time.Duration(l.slowdown)
		}
		return d
	}
	o.clearedAfter = -1
	for now < l.length {
		// Jobs are handled in the order in which they were due.
		j := job{due: nextRequest}
		if nextProbe <= nextRequest {
			j = job{due: nextProbe, isProbe: true}
		}
		now = max(now, j.due)
		delay := now - j.due
		if j.isProbe {
			now += cost(probeTime)
			state = state.WithDelay(now, delay)
			// A ticker skips the ticks that were missed.
			nextProbe = max(nextProbe+probeInterval, now)
			continue
		}
		nextRequest += l.gap
		if ok, _ := l.policy.Admit(state, now, timeout-delay); !ok {
			now += cost(l.refusalTime)
			o.refused++
			if delay < shedder.DefaultTarget/10 && now < l.slowFrom {
				o.wronglyRefused++
			}
			continue
		}
		now += cost(l.serviceTime)
		o.forwarded++
		if now-j.due > timeout {
			o.late++
		}
		if o.clearedAfter < 0 && j.due > l.slowUntil && now-j.due < shedder.DefaultTarget {
			o.clearedAfter = j.due - l.slowUntil
		}
	}
	return o
}

func slowProcess(policy shedder.Policy, slowdown int) load {
	return load{
		policy: policy, serviceTime: 3 * time.Millisecond, refusalTime: 300 * time.Microsecond, gap: 5 * time.Millisecond,
		slowdown: slowdown, slowFrom: 2 * time.Second, slowUntil: 8 * time.Second, length: 30 * time.Second,
	}
}

// TestSlowProcessShedsItsBacklog guards against a process that falls seconds behind while its processor is slow, and
// forwards requests that no one waits for.
func TestSlowProcessShedsItsBacklog(t *testing.T) {
	for _, slowdown := range []int{3, 10} {
		before, after := slowProcess(shedder.Always{}, slowdown).play(), slowProcess(shedder.Standing{}, slowdown).play()
		t.Logf("slower by %d: takes everything %+v, sheds %+v", slowdown, before, after)
		assert.Assert(t, before.late > before.forwarded/10)
		assert.Equal(t, after.late, 0)
		assert.Equal(t, after.wronglyRefused, 0)
		assert.Assert(t, after.clearedAfter >= 0 && after.clearedAfter < time.Second, after.clearedAfter)
	}
}

// TestShortPauseRefusesNothing guards against refusals after one pause that the process makes up for by itself.
func TestShortPauseRefusesNothing(t *testing.T) {
	l := slowProcess(shedder.Standing{}, 30)
	l.slowUntil = l.slowFrom + 90*time.Millisecond
	assert.Equal(t, l.play().refused, 0)
}

// TestNothingIsRefusedWithoutBacklog guards against refusals by a process that keeps up, whatever single delays it sees.
func TestNothingIsRefusedWithoutBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := shedder.New(shedder.Config{}), time.Duration(0)
		for range 100 {
			now += probeInterval
			delay := time.Duration(rapid.IntRange(0, int(90*time.Millisecond)).Draw(t, "delay"))
			s = s.WithDelay(now, delay)
			ok, _ := shedder.Standing{}.Admit(s, now, timeout)
			assert.Assert(t, ok)
		}
	})
}

// TestOldSamplesDoNotCount guards against refusals that rest on a delay measured long ago.
func TestOldSamplesDoNotCount(t *testing.T) {
	s, now := shedder.New(shedder.Config{}), time.Duration(0)
	for range 50 {
		now += probeInterval
		s = s.WithDelay(now, time.Second)
	}
	ok, after := shedder.Standing{}.Admit(s, now, timeout)
	assert.Assert(t, !ok && after == time.Second)
	ok, _ = shedder.Standing{}.Admit(s, now+time.Minute, timeout)
	assert.Assert(t, ok)
}
