// Package arbiter decides whether a request to a model engine is admitted or rejected at once.
//
// The load that it answers: more requests arrive than the engines can serve, so that the queues grow until requests end
// unanswered at their deadlines, or after their callers have left. A request that ends so has taken its place in the queue
// from others, and its caller has learned only at the deadline that it could have tried elsewhere or later.
//
// Decisions rest on the expected time to the first event, which is often wrong. An Accuracy therefore measures the error
// of that estimate, and only a request that would miss its limit even if the estimate were far too high is rejected.
//
// All types are immutable values without a clock or goroutines; times are on the owner's monotonic clock.
package arbiter

import (
	"math/rand/v2"
	"time"
)

const (
	// minPatience, objectivePatience and pausePatience define how long a caller waits for the first event of a stream: the
	// longest of 2 s, 4 times the objective and 8 times the allowed pause.
	minPatience       = 2 * time.Second
	objectivePatience = 4
	pausePatience     = 8
	// trialShare is the share of the requests to be rejected that are admitted, because the error of the estimate would not
	// be measured any more if all of them were rejected.
	trialShare = 1.0 / 16
	// minRetryAfter and maxRetryAfter bound the Retry-After value. The load some seconds ahead is unknown.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryAfterSpread is the part of the Retry-After value by which it varies either way, so that requests rejected
	// together don't return together.
	retryAfterSpread = 0.5
)

// Patience returns how long a caller waits for the first event of a stream; 0 if it is unknown, which is the case without
// both objectives.
func Patience(objective, maxPause time.Duration) time.Duration {
	if objective <= 0 && maxPause <= 0 {
		return 0
	}
	return max(minPatience, objectivePatience*objective, pausePatience*maxPause)
}

// Request is what the decision on a request depends on.
type Request struct {
	// Expected is the expected time from now to the first event at the best endpoint.
	Expected time.Duration
	// Remaining is the time from now until the first event is of no use any more.
	Remaining time.Duration
	// Objective is the objective for the time to the first event of a new request; 0 without one.
	Objective time.Duration
}

// Kind is the kind of a decision.
type Kind string

// The kinds of decisions.
const (
	// Admitted requests are sent.
	Admitted Kind = "admitted"
	// Trial requests are sent although they would be rejected, in order to measure the error of the estimate.
	Trial Kind = "trial"
	// Unreachable requests are rejected, because their first event is expected after the time that remains.
	Unreachable Kind = "deadline-unreachable"
)

// Decision is the result for one request.
type Decision struct {
	Kind Kind
	// RetryAfter is the time after which the request is likely to be served; 0 unless it is rejected.
	RetryAfter time.Duration
}

// IsRejected reports whether the request must not be sent.
func (d Decision) IsRejected() bool { return d.Kind != Admitted && d.Kind != Trial }

// Policy decides on requests.
type Policy interface {
	Decide(now time.Duration, r Request, a *Accuracy, rng *rand.Rand) Decision
}

// AdmitAll is the baseline: it admits every request.
type AdmitAll struct{}

// Decide implements Policy.
func (AdmitAll) Decide(time.Duration, Request, *Accuracy, *rand.Rand) Decision {
	return Decision{Kind: Admitted}
}

// Limited is the policy in force: it rejects the requests whose first event would come too late to be of use, by a clear
// excess.
type Limited struct{}

// Decide implements Policy.
func (Limited) Decide(now time.Duration, r Request, a *Accuracy, rng *rand.Rand) Decision {
	if r.Expected <= r.Remaining || a.Lowest(now, r.Expected) <= r.Remaining {
		return Decision{Kind: Admitted}
	}
	if rng.Float64() < trialShare {
		return Decision{Kind: Trial}
	}
	return Decision{Kind: Unreachable, RetryAfter: retryAfter(r, rng)}
}

// retryAfter returns the time after which the queues have become as short as a new request needs, if they only drain.
func retryAfter(r Request, rng *rand.Rand) time.Duration {
	aim := r.Objective
	if aim <= 0 {
		aim = r.Remaining
	}
	after := float64(r.Expected-aim) * (1 + retryAfterSpread*(2*rng.Float64()-1))
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(after)))
}
