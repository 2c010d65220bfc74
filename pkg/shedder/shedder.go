// Package shedder decides whether a process that is short of processor time takes a new request.
//
// The load that it answers: requests arrive faster than the process can handle them, for example because its VM has
// become slow. Without shedding, the backlog grows by the difference each second, and everything that the process
// forwards is late, so that callers have left when their requests reach an endpoint. The controller is that of CoDel
// (Nichols and Jacobson, 2012) applied to the delay of the process itself: it compares the smallest delay of the last
// interval with a target, so that a burst or a single pause rejects nothing, whereas a standing backlog does.
//
// The package has no clock and no goroutines. The caller measures the delay with a probe that waits for its turn like a
// request does.
package shedder

import "time"

// Config holds the parameters of a Shedder. Zero fields take their defaults in New.
type Config struct {
	// Target is the largest standing delay that is tolerated.
	Target time.Duration
	// Interval is the time over which the smallest delay counts.
	Interval time.Duration
	// MaxAge is how long a sample counts. After that the delay is unknown and taken as zero.
	MaxAge time.Duration
}

// Defaults of Config.
const (
	DefaultTarget = 100 * time.Millisecond
	// DefaultInterval spans two periods of a processor quota that is refilled ten times a second.
	DefaultInterval = 200 * time.Millisecond
	DefaultMaxAge   = 2 * time.Second
)

// Policy decides whether a request is taken, given the estimated delay of the process and the time that the request has
// left. Refusals name the time after which the caller should try again.
type Policy interface {
	Admit(s Shedder, now, remaining time.Duration) (ok bool, retryAfter time.Duration)
}

// sample is one measurement of the delay.
type sample struct {
	at, delay time.Duration
}

// Shedder is the state of the controller. It is an immutable value; times are on the owner's monotonic clock.
type Shedder struct {
	config Config
	// window holds the samples of the last Interval, oldest first, and the newest sample before it.
	window []sample
}

// New returns a Shedder without samples.
func New(c Config) Shedder {
	if c.Target == 0 {
		c.Target = DefaultTarget
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.MaxAge == 0 {
		c.MaxAge = DefaultMaxAge
	}
	return Shedder{config: c}
}

// WithDelay records that the probe which was due at the time at had to wait for delay.
func (s Shedder) WithDelay(at, delay time.Duration) Shedder {
	first := 0
	for i := range s.window {
		if at-s.window[i].at > s.config.Interval {
			first = i
		}
	}
	next := make([]sample, 0, len(s.window)-first+1)
	next = append(next, s.window[first:]...)
	return Shedder{config: s.config, window: append(next, sample{at: at, delay: delay})}
}

// Delay returns the newest measurement, or zero if it is too old.
func (s Shedder) Delay(now time.Duration) time.Duration {
	if len(s.window) == 0 {
		return 0
	}
	newest := s.window[len(s.window)-1]
	if now-newest.at > s.config.MaxAge+newest.delay {
		return 0
	}
	return newest.delay
}

// StandingDelay returns the smallest delay of the last interval: the part of the delay that doesn't go away by itself.
// It is zero until an interval has been measured.
func (s Shedder) StandingDelay(now time.Duration) time.Duration {
	if s.Delay(now) == 0 || s.window[len(s.window)-1].at-s.window[0].at < s.config.Interval {
		return 0
	}
	least := s.window[0].delay
	for _, m := range s.window {
		least = min(least, m.delay)
	}
	return least
}

// Standing is the policy in force: it refuses while the standing delay exceeds the target, and what the present delay
// leaves no time for.
type Standing struct{}

// Admit implements Policy.
func (Standing) Admit(s Shedder, now, remaining time.Duration) (bool, time.Duration) {
	standing, delay := s.StandingDelay(now), s.Delay(now)
	if standing <= s.config.Target && (delay <= s.config.Target || delay < remaining) {
		return true, 0
	}
	return false, max(delay, s.config.Interval)
}

// Always is the baseline: it takes every request.
type Always struct{}

// Admit implements Policy.
func (Always) Admit(Shedder, time.Duration, time.Duration) (bool, time.Duration) { return true, 0 }
