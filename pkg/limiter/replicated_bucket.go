package limiter

import (
	"math"
	"time"
)

// ReplicatedBucketConfig configures a ReplicatedBucket.
type ReplicatedBucketConfig struct {
	// Rate (tokens per second) and Burst (tokens) are the fleet-wide limit.
	Rate, Burst float64
	// Allowance is the number of tokens by which all entries together may exceed the limit before they learn of each
	// other's admissions.
	Allowance float64
}

// ReplicatedBucket is one entry's replica of an organisation's fleet-wide token bucket. Each entry subtracts its own
// admissions at once and those of the other entries when they report them, so admitting a request needs no message.
//
// The tokens admitted in a window of length t exceed rate·t + burst by at most what the entries admit between two
// reports (see withinAllowance); later refill makes up for the excess. Entries that cannot hear each other divide the
// limit by their number. A ReplicatedBucket is an immutable value. Times are on the owner's monotonic clock.
type ReplicatedBucket struct {
	config ReplicatedBucketConfig
	// level is at most Burst·reachable/members. It is negative while the fleet has admitted too much.
	level     float64
	updatedAt time.Duration
	// admitted is the net number of tokens that this entry has admitted since it started, and reported the part of it
	// that has been reported to the other entries.
	admitted, reported float64
	// reachable is the number of entries that can hear each other, including this one; members is the number of all
	// entries.
	reachable, members int
}

// InitialLevelRatio is the fraction of the burst that a new entry starts with, as it does not know what was admitted
// before it started.
const InitialLevelRatio = 0.25

// NewReplicatedBucket returns the replica of an entry that has just started.
func NewReplicatedBucket(c ReplicatedBucketConfig, now time.Duration) ReplicatedBucket {
	return ReplicatedBucket{config: c, level: c.Burst * InitialLevelRatio, updatedAt: now, reachable: 1, members: 1}
}

// WithConfig replaces the limit. Tokens above a reduced burst are discarded.
func (t ReplicatedBucket) WithConfig(c ReplicatedBucketConfig, now time.Duration) ReplicatedBucket {
	t = t.refill(now)
	t.config = c
	t.level = min(t.level, t.cap())
	return t
}

// WithReachable sets how many of the members can reach each other and so share this replica.
func (t ReplicatedBucket) WithReachable(reachable, members int, now time.Duration) ReplicatedBucket {
	t = t.refill(now)
	t.reachable, t.members = max(1, reachable), max(1, reachable, members)
	t.level = min(t.level, t.cap())
	return t
}

func (t ReplicatedBucket) share() float64 { return float64(t.reachable) / float64(t.members) }

func (t ReplicatedBucket) cap() float64 { return t.config.Burst * t.share() }

func (t ReplicatedBucket) refill(now time.Duration) ReplicatedBucket {
	if now > t.updatedAt {
		t.level = min(t.cap(), t.level+t.config.Rate*t.share()*(now-t.updatedAt).Seconds())
		t.updatedAt = now
	}
	return t
}

// Admit takes tokens if they are available. Otherwise it returns an estimate of when to retry.
func (t ReplicatedBucket) Admit(tokens float64, now time.Duration) (ReplicatedBucket, bool, time.Duration) {
	t = t.refill(now)
	if t.level < tokens {
		return t, false, t.refillTime(tokens - t.level)
	}
	if !t.withinAllowance(tokens) {
		return t, false, t.refillTime(tokens)
	}
	t.level -= tokens
	t.admitted += tokens
	return t, true, 0
}

// withinAllowance bounds what one entry admits before it has reported it: its equal share of the allowance plus twice
// its equal share of the level. It always allows one request, because a small organisation spread over many entries
// could otherwise be admitted nothing.
func (t ReplicatedBucket) withinAllowance(tokens float64) bool {
	unreported := t.admitted - t.reported
	return t.reachable == 1 || unreported <= 0 || unreported+tokens <= (t.config.Allowance+2*t.level)/float64(t.reachable)
}

// AwaitsReport reports whether the tokens are available and only this entry's unreported admissions stand in the way, so
// that the request can be admitted once they have been reported.
func (t ReplicatedBucket) AwaitsReport(tokens float64, now time.Duration) bool {
	t = t.refill(now)
	return t.level >= tokens && !t.withinAllowance(tokens)
}

// refillTime returns how long refill takes to provide the missing tokens, or Never if there is no refill.
func (t ReplicatedBucket) refillTime(missing float64) time.Duration {
	rate := t.config.Rate * t.share()
	if rate <= 0 {
		return Never
	}
	return time.Duration(min(math.MaxInt64/2, missing/rate*float64(time.Second)))
}

// Refund returns the tokens of a request that was not executed.
func (t ReplicatedBucket) Refund(tokens float64, now time.Duration) ReplicatedBucket {
	t = t.refill(now)
	t.level = min(t.cap(), t.level+tokens)
	t.admitted -= tokens
	return t
}

// WithPeerAdmitted subtracts tokens that another reachable entry has admitted.
func (t ReplicatedBucket) WithPeerAdmitted(tokens float64, now time.Duration) ReplicatedBucket {
	t = t.refill(now)
	t.level = min(t.cap(), t.level-tokens)
	return t
}

// MarkReported returns the tokens that this entry has admitted since it started and marks them as reported to the other
// entries.
func (t ReplicatedBucket) MarkReported() (ReplicatedBucket, float64) {
	t.reported = t.admitted
	return t, t.admitted
}

// NeedsReport reports whether the other entries should be told of unreported admissions at once, because the level is
// below half of its maximum.
func (t ReplicatedBucket) NeedsReport() bool { return t.admitted != t.reported && t.level < t.cap()/2 }

// Level returns this entry's estimate of the tokens left.
func (t ReplicatedBucket) Level(now time.Duration) float64 { return t.refill(now).level }
