package forwarder

import "time"

// clock is the monotonic clock of the values that hold what endpoints have reported. Between entries, times travel as ages.
type clock struct {
	now func() time.Time
	// start is the origin of the elapsed time.
	start time.Time
}

func (c clock) elapsed() time.Duration { return c.now().Sub(c.start) }

// ageMilliseconds returns the age of what happened at the elapsed time.
func (c clock) ageMilliseconds(at time.Duration) int64 { return (c.elapsed() - at).Milliseconds() }

// timeOfAge returns the elapsed time at which something of the age happened.
func (c clock) timeOfAge(milliseconds int64) time.Duration {
	return c.elapsed() - time.Duration(milliseconds)*time.Millisecond
}
