package pacer

import (
	"cmp"
	"math"
	"time"
)

// Responses counts the responses of an endpoint.
type Responses struct {
	// Timely responses began within their objective, late ones after it. Rejected requests were rejected or lost.
	Timely, Late, Rejected int
}

// Minus returns the responses since an earlier count. Counts that have fallen are those of another process and give 0.
func (r Responses) Minus(earlier Responses) Responses {
	return Responses{
		Timely: max(0, r.Timely-earlier.Timely), Late: max(0, r.Late-earlier.Late), Rejected: max(0, r.Rejected-earlier.Rejected),
	}
}

// Limiter decides how many requests may be in progress at an endpoint that has started or recovered. Implementations are
// immutable values.
type Limiter interface {
	// Limit returns the number of requests.
	Limit(now time.Duration) float64
	// WithResponses records responses that arrived while a number of requests was in progress.
	WithResponses(r Responses, inProgress int, now time.Duration) Limiter
	// IsDone reports whether the endpoint no longer needs a limit.
	IsDone(now time.Duration) bool
}

// AdaptiveConfig configures an Adaptive. Zero fields take their defaults.
type AdaptiveConfig struct {
	// Initial is the limit before the first responses, and Min the lowest limit.
	Initial, Min float64
	// LateCost is by how much one late or rejected response lowers the limit. A timely one raises it by 1, so that the
	// limit rises while fewer than 1/(1+LateCost) of the responses are late.
	LateCost float64
	// MaxTime bounds the time of the limit, so that an endpoint without requests, or a fleet in which every response is
	// late, is not limited for ever.
	MaxTime time.Duration
	// SlackTime is how long less than half of the limit must be in use, with timely responses only, until the limit is no
	// longer needed: the endpoint then gets all that its demand asks for.
	SlackTime time.Duration
	// SettleTime is how long the limit must stay at the capacity. Entries go on preferring an endpoint that was empty until
	// they have seen its load.
	SettleTime time.Duration
}

// Defaults of AdaptiveConfig.
const (
	DefaultInitial  = 8
	DefaultMin      = 2
	DefaultLateCost = 1
	// DefaultMaxTime outlasts the slow first seconds of an engine. In an overloaded fleet responses are late everywhere, and
	// an endpoint that is held back for longer costs more than it gains.
	DefaultMaxTime   = 12 * time.Second
	DefaultSlackTime = 3 * time.Second
	// DefaultSettleTime is above the longest interval of a sidecar's messages.
	DefaultSettleTime = time.Second
)

// Adaptive finds the limit from the responses. While requests are there it doubles with each round of timely responses,
// so that a healthy endpoint gets from Initial to a capacity C within log2(C/Initial) response times.
type Adaptive struct {
	config          AdaptiveConfig
	limit, capacity float64
	startedAt       time.Duration
	// isFull means that the limit has been at the capacity since fullAt.
	isFull bool
	fullAt time.Duration
	// hasSlack means that less than half of the limit has been in use, with timely responses only, since slackAt.
	hasSlack bool
	slackAt  time.Duration
}

// NewAdaptive returns the limiter of an endpoint that started at a time. inProgress requests are at it already.
func NewAdaptive(c AdaptiveConfig, capacity, inProgress int, now time.Duration) Adaptive {
	c.Initial = cmp.Or(c.Initial, DefaultInitial)
	c.Min = cmp.Or(c.Min, DefaultMin)
	c.LateCost = cmp.Or(c.LateCost, DefaultLateCost)
	c.MaxTime = cmp.Or(c.MaxTime, DefaultMaxTime)
	c.SettleTime = cmp.Or(c.SettleTime, DefaultSettleTime)
	c.SlackTime = cmp.Or(c.SlackTime, DefaultSlackTime)
	a := Adaptive{config: c, capacity: max(c.Min, float64(capacity)), startedAt: now}
	return a.withLimit(max(c.Initial, float64(inProgress)), now)
}

func (a Adaptive) withLimit(limit float64, now time.Duration) Adaptive {
	a.limit = max(a.config.Min, min(a.capacity, limit))
	if isFull := a.limit >= a.capacity; isFull != a.isFull {
		a.isFull, a.fullAt = isFull, now
	}
	return a
}

// Limit implements Limiter.
func (a Adaptive) Limit(time.Duration) float64 { return a.limit }

// WithResponses implements Limiter. The limit rises only while at least half of it is in use: responses to a few
// requests don't show that the endpoint can take many.
func (a Adaptive) WithResponses(r Responses, inProgress int, now time.Duration) Limiter {
	limit := a.limit
	// The requests that have just been answered were in progress too.
	isUsed := 2*float64(inProgress+r.Timely) >= a.limit
	if isUsed {
		limit += float64(r.Timely)
	}
	switch hasFailed := r.Late+r.Rejected > 0; {
	case isUsed && r.Timely > 0 || hasFailed:
		a.hasSlack = false
	case r.Timely > 0 && !a.hasSlack:
		a.hasSlack, a.slackAt = true, now
	}
	return a.withLimit(limit-a.config.LateCost*float64(r.Late+r.Rejected), now)
}

// IsDone implements Limiter.
func (a Adaptive) IsDone(now time.Duration) bool {
	return a.isFull && now-a.fullAt >= a.config.SettleTime || a.hasSlack && now-a.slackAt >= a.config.SlackTime || now-a.startedAt >= a.config.MaxTime
}

// FixedRamp raises the limit linearly to the capacity, whatever the responses say. It is the baseline of Adaptive.
type FixedRamp struct {
	Initial, Capacity int
	Duration          time.Duration
	StartedAt         time.Duration
}

// Limit implements Limiter.
func (f FixedRamp) Limit(now time.Duration) float64 {
	done := min(1, (now-f.StartedAt).Seconds()/f.Duration.Seconds())
	return float64(f.Initial) + done*float64(f.Capacity-f.Initial)
}

// WithResponses implements Limiter.
func (f FixedRamp) WithResponses(Responses, int, time.Duration) Limiter { return f }

// IsDone implements Limiter.
func (f FixedRamp) IsDone(now time.Duration) bool { return now-f.StartedAt >= f.Duration }

// Unlimited sets no limit. It is the baseline without pacing.
type Unlimited struct{}

// Limit implements Limiter.
func (Unlimited) Limit(time.Duration) float64 { return math.MaxInt32 }

// WithResponses implements Limiter.
func (u Unlimited) WithResponses(Responses, int, time.Duration) Limiter { return u }

// IsDone implements Limiter.
func (Unlimited) IsDone(time.Duration) bool { return true }
