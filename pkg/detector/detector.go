// Package detector tells from the times of a peer's heartbeats whether the peer is silent. Each heartbeat says within
// which time the next one follows, so that a peer with little to do may beat slowly. Package detector owns no clock and
// uses no store: times come in, standings go out.
package detector

import "time"

// Standing is what the silence of a peer means.
type Standing int

const (
	// Unknown peers have never been heard, or not for so long that they may no longer beat at all.
	Unknown Standing = iota
	// Heard peers have beaten in time.
	Heard
	// Suspect peers are late; new work should go elsewhere.
	Suspect
	// Silent peers are so late that work which waits for them should go elsewhere.
	Silent
)

// String names the standing for logs.
func (s Standing) String() string {
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

// Config configures the decision. A field that is 0 has its default.
type Config struct {
	// SuspectBeats and SilentBeats are the numbers of promised intervals without a beat after which a peer is suspect
	// and silent. SilentBeats is the larger one.
	SuspectBeats, SilentBeats float64
	// Margin is added to both for the way of a beat.
	Margin time.Duration
	// Life is the silence after which a peer is unknown again.
	Life time.Duration
}

// Defaults of Config.
const (
	// DefaultSuspectBeats lets one beat be lost.
	DefaultSuspectBeats = 2
	// DefaultSilentBeats lets three beats be lost in a row.
	DefaultSilentBeats = 4
	// DefaultMargin covers a slow link and a busy process.
	DefaultMargin = 100 * time.Millisecond
	// DefaultLife is longer than a stopped VM stays listed.
	DefaultLife = 15 * time.Second
)

// WithDefaults returns the configuration with each field that is 0 replaced by its default.
func (c Config) WithDefaults() Config {
	if c.SuspectBeats == 0 {
		c.SuspectBeats = DefaultSuspectBeats
	}
	if c.SilentBeats == 0 {
		c.SilentBeats = DefaultSilentBeats
	}
	if c.Margin == 0 {
		c.Margin = DefaultMargin
	}
	if c.Life == 0 {
		c.Life = DefaultLife
	}
	return c
}

// Beats is what is known of one peer's heartbeats. The zero value is a peer that was never heard.
type Beats struct {
	// last is zero before the first beat.
	last time.Time
	// within is the promised time to the next beat, positive after the first one.
	within time.Duration
}

// WithBeat notes a heartbeat that promises the next one within a time. A promise that isn't positive counts as none.
func (b Beats) WithBeat(at time.Time, within time.Duration) Beats {
	if within <= 0 {
		return Beats{}
	}
	return Beats{last: at, within: within}
}

// WithPause takes a time in which the observer itself did not run off the silence.
func (b Beats) WithPause(pause time.Duration) Beats {
	if !b.last.IsZero() {
		b.last = b.last.Add(pause)
	}
	return b
}

// Last is the time of the last beat, moved by the observer's own pauses; zero before the first one.
func (b Beats) Last() time.Time { return b.last }

// Standing judges the peer. The configuration's defaults must be filled in.
func (c Config) Standing(b Beats, now time.Time) Standing {
	silence := now.Sub(b.last)
	switch {
	case b.last.IsZero() || silence > c.Life:
		return Unknown
	case silence > time.Duration(c.SilentBeats*float64(b.within))+c.Margin:
		return Silent
	case silence > time.Duration(c.SuspectBeats*float64(b.within))+c.Margin:
		return Suspect
	}
	return Heard
}
