// Package detector implements a failure detector that classifies a peer by the times of its heartbeats. Each heartbeat
// announces the maximum interval to the next one, so that an idle peer may send them less often. The package has no clock
// and uses no store: the caller passes in all times.
package detector

import "time"

// Liveness is the failure detector's classification of a peer.
type Liveness int

const (
	// Unknown peers have sent no heartbeat, or none for longer than Config.ForgetAfter; they may have stopped.
	Unknown Liveness = iota
	// Heard peers have sent their heartbeats in time.
	Heard
	// Suspect peers are overdue; new work should be assigned to others.
	Suspect
	// Silent peers are so long overdue that work waiting for them should be moved to others.
	Silent
)

// String returns the name of the liveness for logs.
func (s Liveness) String() string {
	switch s {
	case Unknown:
		return "unknown"
	case Heard:
		return "heard"
	case Suspect:
		return "suspect"
	case Silent:
		return "silent"
	}
	return "invalid"
}

// Config holds the thresholds of the failure detector. Zero fields take their defaults in WithDefaults.
type Config struct {
	// SuspectIntervals and SilentIntervals are the numbers of announced intervals without a heartbeat after which a peer
	// is suspect and silent. SilentIntervals must be the larger one.
	SuspectIntervals, SilentIntervals float64
	// Margin is added to both thresholds to allow for the transit time of a heartbeat.
	Margin time.Duration
	// ForgetAfter is the time without a heartbeat after which a peer is unknown again.
	ForgetAfter time.Duration
}

// Defaults of Config.
const (
	// DefaultSuspectIntervals tolerates the loss of one heartbeat.
	DefaultSuspectIntervals = 2
	// DefaultSilentIntervals tolerates the loss of three consecutive heartbeats.
	DefaultSilentIntervals = 4
	// DefaultMargin allows for a slow link and a busy process.
	DefaultMargin = 100 * time.Millisecond
	// DefaultForgetAfter exceeds the time for which a stopped VM remains listed.
	DefaultForgetAfter = 15 * time.Second
)

// WithDefaults returns the configuration with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	if c.SuspectIntervals == 0 {
		c.SuspectIntervals = DefaultSuspectIntervals
	}
	if c.SilentIntervals == 0 {
		c.SilentIntervals = DefaultSilentIntervals
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	return c
}

// Heartbeats is the heartbeat state of one peer. The zero value represents a peer without heartbeats.
type Heartbeats struct {
	// lastHeartbeat is zero before the first heartbeat.
	lastHeartbeat time.Time
	// interval is the announced maximum time to the next heartbeat, positive after the first one.
	interval time.Duration
}

// WithHeartbeat records a heartbeat that announces the next one within interval. If interval is not positive, the peer
// counts as one without heartbeats.
func (b Heartbeats) WithHeartbeat(at time.Time, interval time.Duration) Heartbeats {
	if interval <= 0 {
		return Heartbeats{}
	}
	return Heartbeats{lastHeartbeat: at, interval: interval}
}

// WithPause excludes a period in which the observer itself was not running from the time since the last heartbeat.
func (b Heartbeats) WithPause(pause time.Duration) Heartbeats {
	if !b.lastHeartbeat.IsZero() {
		b.lastHeartbeat = b.lastHeartbeat.Add(pause)
	}
	return b
}

// LastHeartbeat returns the time of the last heartbeat, shifted by the observer's own pauses; zero before the first
// one.
func (b Heartbeats) LastHeartbeat() time.Time { return b.lastHeartbeat }

// Liveness classifies a peer. The configuration must be complete, as returned by WithDefaults.
func (c Config) Liveness(b Heartbeats, now time.Time) Liveness {
	silence := now.Sub(b.lastHeartbeat)
	switch {
	case b.lastHeartbeat.IsZero() || silence > c.ForgetAfter:
		return Unknown
	case silence > time.Duration(c.SilentIntervals*float64(b.interval))+c.Margin:
		return Silent
	case silence > time.Duration(c.SuspectIntervals*float64(b.interval))+c.Margin:
		return Suspect
	}
	return Heard
}
