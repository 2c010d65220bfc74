// Package arbiter decides whether a request to a model engine is admitted or rejected at once.
//
// The load that it answers: more requests arrive than the engines can serve, so that the queues grow until requests end
// unanswered at their deadlines, or after their callers have left. A request that ends so has taken its place in the queue
// from others, and its caller has learned only at the deadline that it could have tried elsewhere or later.
//
// While capacity is short, a request that will be late also makes others late that would be timely. It is then rejected
// with the time after which it can be served. The requests of organisations beyond their share are rejected before those
// of others become late.
//
// Decisions rest on the expected time to the first event, which is often wrong. An Accuracy therefore measures the error
// of that estimate, and a request is rejected for lack of time only if that holds even if the estimate is far too high.
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
	// overShareLimit is the part of the time until a request is late that an organisation beyond its share may use while
	// capacity is short. The rest is left to the others.
	overShareLimit = 0.35
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
	// Timely is the time from now until the first event is late.
	Timely time.Duration
	// Idle is the expected time to the first event if no other request used the endpoint, and Queued the part of the
	// expected time that is due to others there.
	Idle, Queued time.Duration
	// IsNew is false if the request has waited since an earlier decision.
	IsNew bool
	// Organisation sent the request; Weight is the weight of its share; 0 if unknown.
	Organisation string
	Weight       float64
	// Tokens is the use of the engine's time by the request.
	Tokens float64
}

// isLate reports whether the request will be late because of others.
func (r *Request) isLate() bool {
	return r.Objective > 0 && r.Expected > r.Timely && r.Idle <= r.Timely
}

// State is what one process knows of the requests to one service. It is an immutable value.
type State struct {
	Accuracy Accuracy
	Load     Load
	Usage    Usage
}

// WithDecision returns the State after a decision on a request.
func (s State) WithDecision(now time.Duration, r Request, d Decision) State {
	if r.IsNew {
		s.Load = s.Load.WithRequest(now, r.isLate())
		s.Usage = s.Usage.WithRequest(now, r.Organisation, r.Weight, r.Tokens, !d.IsRejected())
	}
	return s
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
	// Late requests are rejected because they will be late and would make others late.
	Late Kind = "capacity-short"
	// OverShare requests are rejected because capacity is short and their organisation is beyond its share.
	OverShare Kind = "share-exceeded"
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
	Decide(now time.Duration, r Request, s *State, rng *rand.Rand) Decision
}

// AdmitAll is the baseline: it admits every request.
type AdmitAll struct{}

// Decide implements Policy.
func (AdmitAll) Decide(time.Duration, Request, *State, *rand.Rand) Decision {
	return Decision{Kind: Admitted}
}

// Limited is the default. It rejects the requests whose first event would come too late to be of use, by a clear excess.
type Limited struct{}

// Decide implements Policy.
func (Limited) Decide(now time.Duration, r Request, s *State, rng *rand.Rand) Decision {
	if r.Expected <= r.Remaining || s.Accuracy.Lowest(now, r.Expected) <= r.Remaining {
		return Decision{Kind: Admitted}
	}
	return reject(Unreachable, r, rng)
}

// Fair is for a fleet in which the queues of all engines alone make requests late. Beside what Limited rejects, it rejects
// new requests that will be late while capacity is short. An organisation beyond its share is rejected from a lower expected
// time on.
type Fair struct{}

// Decide implements Policy.
func (Fair) Decide(now time.Duration, r Request, s *State, rng *rand.Rand) Decision {
	d := Limited{}.Decide(now, r, s, rng)
	if d.Kind != Admitted || !r.IsNew || r.Objective <= 0 || r.Queued <= 0 || !s.Load.IsShort() {
		return d
	}
	switch expected := s.Accuracy.Typical(now, r.Expected); {
	case float64(expected-r.Idle) > overShareLimit*float64(r.Timely-r.Idle) && s.Usage.IsOverShare(now, r.Organisation):
		return Decision{Kind: OverShare, RetryAfter: retryAfter(r, rng)}
	case expected > r.Timely:
		return reject(Late, r, rng)
	}
	return d
}

// reject returns the decision on a request to be rejected.
func reject(kind Kind, r Request, rng *rand.Rand) Decision {
	if rng.Float64() < trialShare {
		return Decision{Kind: Trial}
	}
	return Decision{Kind: kind, RetryAfter: retryAfter(r, rng)}
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
