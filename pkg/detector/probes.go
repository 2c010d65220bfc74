package detector

import "time"

const (
	// ProbeTimeout bounds one probe.
	ProbeTimeout = 350 * time.Millisecond
	// probeInterval is the shortest time between the starts of two probes.
	probeInterval = 400 * time.Millisecond
	// probeValidity is how long a result counts. It covers the time until the next one.
	probeValidity = 2*probeInterval + ProbeTimeout
)

// Probes is what probes of a peer's own address have shown, for a peer whose heartbeats another process sends on its behalf:
// without them it may still be at work. The zero value stands for no probe. It is an immutable value.
type Probes struct {
	// startedAt is when the last probe was started, and isRunning is set until its result.
	startedAt time.Time
	isRunning bool
	// resultAt is the start of the last probe that has a result; zero before the first.
	resultAt time.Time
	isAlive  bool
}

// IsDue reports whether another probe may be started.
func (p Probes) IsDue(now time.Time) bool {
	return !p.isRunning && now.Sub(p.startedAt) >= probeInterval
}

// WithStart records the start of a probe.
func (p Probes) WithStart(now time.Time) Probes {
	p.startedAt, p.isRunning = now, true
	return p
}

// WithResult records whether the peer has answered the probe that was started last.
func (p Probes) WithResult(isAlive bool) Probes {
	p.resultAt, p.isAlive, p.isRunning = p.startedAt, isAlive, false
	return p
}

// IsUnreachable reports whether the last probe was not answered. Without a recent result nothing is known.
func (p Probes) IsUnreachable(now time.Time) bool {
	return !p.resultAt.IsZero() && !p.isAlive && now.Sub(p.resultAt) <= probeValidity
}
