// Package retainer decides how long an entry of a registry stays in use after it has disappeared from the registry. Entries
// are leases: their owners renew them, and one that is not renewed lapses. While the registry is unavailable no owner can
// renew, so that the entries of sound owners lapse too and come back after the outage. An entry that disappears at any
// other time is gone.
//
// The load that it answers: an outage after which each reader would otherwise know no entry, or go on using entries whose
// owners have left.
//
// The package owns what one reader knows of the registry's availability, which is which of its reads were answered. It has
// no clock and uses no store.
package retainer

import "time"

// Config configures a Retainer.
type Config struct {
	// RenewInterval is the interval at which owners renew their entries. With 0, no entry is ever retained.
	RenewInterval time.Duration
	// LapseIntervals is the number of intervals without a renewal after which an entry lapses; at least 1.
	LapseIntervals int
	// ReturnTime is how long after the registry's return lapsed entries may take to come back. With 0, no entry is ever
	// retained.
	ReturnTime time.Duration
}

// Retainer is what one reader knows. It is an immutable value. Times are on the owner's monotonic clock.
type Retainer struct {
	config Config
	// answeredAt is the time at which the last answered read was sent.
	answeredAt time.Duration
	// inOutage is set from the first unanswered read until the registry has been back for RenewInterval, within which the
	// owners renew their entries.
	inOutage bool
	// The registry went away after since, and was away at awayAt, when the last unanswered read was sent. backAt is the
	// time of the first answer after that, and isBack is set from then on. They are valid while inOutage is set.
	since, awayAt, backAt time.Duration
	isBack                bool
}

// New returns the Retainer of a reader that starts at now.
func New(c Config, now time.Duration) Retainer { return Retainer{config: c, answeredAt: now} }

// Config returns the configuration.
func (r Retainer) Config() Config { return r.config }

// WithConfig changes the configuration.
func (r Retainer) WithConfig(c Config) Retainer {
	r.config = c
	return r
}

// WithFailure records that the read sent at sentAt was refused or is not answered.
func (r Retainer) WithFailure(sentAt time.Duration) Retainer {
	if !r.inOutage {
		r.inOutage, r.since, r.awayAt = true, r.answeredAt, sentAt
	}
	r.awayAt, r.isBack = max(r.awayAt, sentAt), false
	return r
}

// WithAnswer records that the read sent at sentAt was answered by now.
func (r Retainer) WithAnswer(sentAt, now time.Duration) Retainer {
	if r.inOutage && r.isBack && r.answeredAt-r.backAt >= r.config.RenewInterval {
		r.inOutage = false
	}
	if !r.inOutage && now-r.answeredAt >= r.earliestLapse() {
		// The process did not read for so long that it can't know whether the registry was available.
		r.inOutage, r.since, r.awayAt, r.isBack = true, r.answeredAt, sentAt, false
	}
	if r.inOutage && !r.isBack {
		r.isBack, r.backAt = true, now
	}
	r.answeredAt = max(r.answeredAt, sentAt)
	return r
}

// LastBefore returns the time of the last read before the present state of the registry could be seen: of the last one that
// was not answered or, if the registry has been back since, that was answered.
func (r Retainer) LastBefore() time.Duration {
	if r.inOutage && !r.isBack {
		return r.awayAt
	}
	return r.answeredAt
}

// IsOutage reports whether the registry is away, or has not been back for long enough for the owners to have renewed their
// entries.
func (r Retainer) IsOutage() bool {
	isRenewing := r.config.RenewInterval > 0 && r.answeredAt-r.backAt < r.config.RenewInterval
	return r.inOutage && (!r.isBack || isRenewing)
}

// RetainUntil returns until when an entry stays in use that the last answer lacks and the answer before it had. It returns
// false if the entry is gone. The registry was still away at the time from which the end is counted, so that the end is
// never later than ReturnTime after its return.
func (r Retainer) RetainUntil() (time.Duration, bool) {
	isConfigured := r.config.RenewInterval > 0 && r.config.ReturnTime > 0
	if !isConfigured || !r.inOutage || r.backAt-r.since < r.earliestLapse() {
		return 0, false
	}
	return r.awayAt + r.config.ReturnTime, true
}

// earliestLapse returns the time from the beginning of an outage to the first lapse that it causes. An owner's last
// renewal may be one interval older.
func (r Retainer) earliestLapse() time.Duration {
	return time.Duration(max(1, r.config.LapseIntervals-1)) * r.config.RenewInterval
}
