package multicaster

import "time"

const (
	// maxGateGap is the time without a call of WithRun above which a process counts as having been paused.
	maxGateGap = 500 * time.Millisecond
	// resumeTime is the time after a pause in which nothing is forwarded, in which the messages that have waited in the
	// process's socket are read.
	resumeTime = 250 * time.Millisecond
)

// Gate keeps a member that has been paused from forwarding the messages that have waited meanwhile. Other members have
// forwarded later ones, and old ones of an earlier run of their sender would be taken for new. It is an immutable value.
// Times are on the owner's monotonic clock, from its start.
type Gate struct {
	ranAt, closedUntil time.Duration
}

// WithRun records that the process runs. It must be called well within maxGateGap, and before IsOpen. It returns the time
// since the last call if the process has been paused, else 0.
func (g Gate) WithRun(now time.Duration) (Gate, time.Duration) {
	gap := now - g.ranAt
	g.ranAt = now
	if gap <= maxGateGap {
		return g, 0
	}
	g.closedUntil = now + resumeTime
	return g, gap
}

// IsOpen reports whether messages are forwarded.
func (g Gate) IsOpen(now time.Duration) bool { return now >= g.closedUntil }
