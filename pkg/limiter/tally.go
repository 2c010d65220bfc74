package limiter

import (
	"math"
	"time"
)

// TallyConfig configures a Tally.
type TallyConfig struct {
	// Rate in tokens a second and Burst in tokens are those of the whole fleet.
	Rate, Burst float64
	// Allowance is how far, in tokens, all entries together may exceed the limit before they hear of one another.
	Allowance float64
}

// Tally is one entry's copy of an organisation's fleet-wide bucket. Each entry takes what it admits off its own copy,
// and what the others tell that they admitted when it hears of it. No message is needed before a request.
//
// What the entries admit in a window t exceeds rate·t + burst by at most what they admit between two messages, which
// later refill repays; see mayAdd. Entries that don't hear of one another divide the limit by their number. A Tally is
// an immutable value; times are on the owner's monotonic clock.
type Tally struct {
	config TallyConfig
	// level never exceeds Burst·group/members. It is negative while the fleet has admitted too much.
	level float64
	at    time.Duration
	// spent counts what this entry has admitted since its start; told is the part that it has told the others.
	spent, told float64
	// group is the number of entries that hear of one another, this one included; members that of all entries.
	group, members int
}

// StartShare is the part of the burst that a new entry has, because it doesn't know what was spent before its start.
const StartShare = 0.25

// NewTally returns the tally of an entry that has just started.
func NewTally(c TallyConfig, now time.Duration) Tally {
	return Tally{config: c, level: c.Burst * StartShare, at: now, group: 1, members: 1}
}

// WithConfig changes the limit. Tokens above a lower burst are gone.
func (t Tally) WithConfig(c TallyConfig, now time.Duration) Tally {
	t = t.advanced(now)
	t.config = c
	t.level = min(t.level, t.cap())
	return t
}

// WithGroup changes how many of all entries share this copy.
func (t Tally) WithGroup(group, members int, now time.Duration) Tally {
	t = t.advanced(now)
	t.group, t.members = max(1, group), max(1, group, members)
	t.level = min(t.level, t.cap())
	return t
}

func (t Tally) share() float64 { return float64(t.group) / float64(t.members) }

func (t Tally) cap() float64 { return t.config.Burst * t.share() }

func (t Tally) advanced(now time.Duration) Tally {
	if now > t.at {
		t.level = min(t.cap(), t.level+t.config.Rate*t.share()*(now-t.at).Seconds())
		t.at = now
	}
	return t
}

// Admit takes tokens if they are there. Else it returns when they may be.
func (t Tally) Admit(tokens float64, now time.Duration) (Tally, bool, time.Duration) {
	t = t.advanced(now)
	if t.level < tokens {
		return t, false, t.wait(tokens - t.level)
	}
	if !t.mayAdd(tokens) {
		return t, false, t.wait(tokens)
	}
	t.level -= tokens
	t.spent += tokens
	return t, true, 0
}

// mayAdd bounds what one entry admits before the others know of it: its part of the allowance and twice its equal part
// of the level, but at least one request, without which a small organisation at many entries would get none.
func (t Tally) mayAdd(tokens float64) bool {
	untold := t.spent - t.told
	return t.group == 1 || untold <= 0 || untold+tokens <= (t.config.Allowance+2*t.level)/float64(t.group)
}

// wait is the time for the fleet to refill what is missing; Never when it doesn't.
func (t Tally) wait(missing float64) time.Duration {
	rate := t.config.Rate * t.share()
	if rate <= 0 {
		return Never
	}
	return time.Duration(min(math.MaxInt64/2, missing/rate*float64(time.Second)))
}

// Refund gives back the tokens of a request that has not run.
func (t Tally) Refund(tokens float64, now time.Duration) Tally {
	t = t.advanced(now)
	t.level = min(t.cap(), t.level+tokens)
	t.spent -= tokens
	return t
}

// WithPeerSpent takes tokens off that another entry of the group has admitted.
func (t Tally) WithPeerSpent(tokens float64, now time.Duration) Tally {
	t = t.advanced(now)
	t.level = min(t.cap(), t.level-tokens)
	return t
}

// Told returns what this entry has admitted since its start, and records that the others are told.
func (t Tally) Told() (Tally, float64) {
	t.told = t.spent
	return t, t.spent
}

// IsScarce says whether the others should hear of admissions at once.
func (t Tally) IsScarce() bool { return t.spent != t.told && t.level < t.cap()/2 }

// Level is what this entry believes to be left.
func (t Tally) Level(now time.Duration) float64 { return t.advanced(now).level }
