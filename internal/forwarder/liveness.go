package forwarder

import (
	"sync/atomic"
	"time"

	"geraniumladder/internal/connector"
	"geraniumladder/pkg/detector"
)

// LivenessInterval is the interval at which CheckLiveness must be called. It is short compared with the silence that
// CheckLiveness detects.
const LivenessInterval = 50 * time.Millisecond

// abandonAfterIdle is the time without received bytes after which an attempt at a silent endpoint is abandoned. The value is
// twice the gap between events that users consider late.
const abandonAfterIdle = 600 * time.Millisecond

// attempt is one request in progress at an endpoint.
type attempt struct {
	requestID, service string
	conn               *connector.Conn
	// isRetryable means that the request may be retried at another endpoint.
	isRetryable bool
	// callerDeadline is the deadline of the caller's request.
	callerDeadline time.Time
	// begunAt is the time when the attempt was made.
	begunAt time.Time
	// lastProgress is the time from begunAt to the last complete event, a time.Duration. It is monotonic, because a Unix
	// time would end attempts when the wall clock is set forward.
	lastProgress atomic.Int64
	// parts are the shared parts of the request's prompt, and digest is that of the exchange.
	parts  []string
	digest func() string
	// homes restricts the endpoints at which the request may be retried.
	homes homes
	// hasEvents is set once an event has arrived.
	hasEvents atomic.Bool
	// isBlocked is set, before the connection is closed, when the request or a part of the prompt has been blocked.
	isBlocked atomic.Bool
	// isAbandoned is set, before the connection is closed, when a retry has already been taken from the service's budget.
	isAbandoned atomic.Bool
}

// attempt returns a record of the attempt that is about to be made.
func (x *exchange) attempt(key incarnation, conn *connector.Conn) *attempt {
	sentTo := len(x.sentTo)
	if !x.sentTo[key] {
		sentTo++
	}
	return &attempt{
		requestID: x.call.ID, service: x.service, conn: conn, isRetryable: x.route.IsIdempotent() && sentTo < x.route.Attempts, callerDeadline: x.deadline,
		parts: x.call.sharedParts, digest: x.digest, homes: x.homes, begunAt: x.f.config.Now(),
	}
}

func (a *attempt) recordProgress(now time.Time) { a.lastProgress.Store(int64(now.Sub(a.begunAt))) }

// idle returns the time since the last progress.
func (a *attempt) idle(now time.Time) time.Duration {
	return now.Sub(a.begunAt) - time.Duration(a.lastProgress.Load())
}

// addAttempt records an attempt that is about to be sent. It returns false if the endpoint must not get it any more.
func (f *fleet) addAttempt(e *endpoint, a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isGone(e) {
		return false
	}
	e.attempts[a] = struct{}{}
	return true
}

func (f *fleet) removeAttempt(e *endpoint, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(e.attempts, a)
}

// livenessChange is a change of an endpoint's liveness.
type livenessChange struct {
	endpoint          string
	previous, current detector.Liveness
	silence           time.Duration
}

// stalledAttempt is an attempt that should be abandoned, with the time since bytes last arrived.
type stalledAttempt struct {
	attempt  *attempt
	endpoint string
	idle     time.Duration
}

// CheckLiveness detects endpoints whose sidecars have become silent. If such an endpoint doesn't answer a probe either, as
// on a stopped or partitioned VM, it abandons the attempts there that can be retried at another endpoint. It also reports
// the endpoints that have ended. It must be called at LivenessInterval.
func (f *Forwarder) CheckLiveness() {
	f.collectEndChecks()
	f.reportCrashes()
	f.startEndChecks(f.fleet.dueEndChecks(f.config.Now()))
	f.collectProbes()
	changes, stalled, probes := f.fleet.checkLiveness(f.config.Now())
	f.startProbes(probes)
	for _, c := range changes {
		f.config.Log.Info().Str("Endpoint", c.endpoint).Stringer("Was", c.previous).Stringer("Is", c.current).Dur("Silence", c.silence).
			Msg("forwarder: endpoint's standing changed")
	}
	for _, w := range stalled {
		if !f.takeRetry(w.attempt.service) {
			continue
		}
		w.attempt.isAbandoned.Store(true)
		f.config.Log.Info().Str("Request", w.attempt.requestID).Str("Endpoint", w.endpoint).Dur("Idle", w.idle).
			Msg("forwarder: attempt at silent endpoint abandoned")
		w.attempt.conn.Close()
	}
}

// checkLiveness updates the liveness of all endpoints and returns the changes, the attempts to abandon and the endpoints to
// probe.
func (f *fleet) checkLiveness(now time.Time) ([]livenessChange, []stalledAttempt, []endpointProbe) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A late check means that this process was suspended and could not receive heartbeats either.
	if pause := now.Sub(f.checkedAt) - LivenessInterval; !f.checkedAt.IsZero() && pause > LivenessInterval {
		for _, e := range f.byIncarnation {
			e.heartbeats = e.heartbeats.WithPause(pause)
		}
	}
	f.checkedAt = now
	f.updateMostlyPaced(now)
	changes, known, silent := f.updateLiveness(now)
	if 2*silent > known {
		// If most endpoints are silent, the fault is more likely near this entry than at each endpoint.
		return changes, nil, nil
	}
	var probes []endpointProbe
	if f.isProbed {
		probes = f.dueProbes(now)
	}
	var stalled []stalledAttempt
	for _, e := range f.byIncarnation {
		if e.liveness == detector.Silent && (!f.isProbed || e.probes.IsUnreachable(now)) {
			stalled = append(stalled, f.stalledAttempts(e, now, abandonAfterIdle)...)
		}
	}
	return changes, stalled, probes
}

// updateLiveness updates the liveness of all endpoints. It counts those from which heartbeats have been received
// recently enough to judge them, and those that are silent.
func (f *fleet) updateLiveness(now time.Time) (changes []livenessChange, known, silent int) {
	for _, e := range f.byIncarnation {
		previous := e.liveness
		e.liveness = f.detector.Liveness(e.heartbeats, now)
		if previous != e.liveness {
			changes = append(changes, livenessChange{endpoint: e.ID, previous: previous, current: e.liveness, silence: now.Sub(e.heartbeats.LastHeartbeat())})
			e.notifyChanged()
		}
		if e.liveness != detector.Unknown {
			known++
		}
		if e.liveness == detector.Silent {
			silent++
		}
	}
	return changes, known, silent
}

// stalledAttempts returns the attempts that have received no bytes for the time and can be retried at another endpoint.
func (f *fleet) stalledAttempts(e *endpoint, now time.Time, idleFor time.Duration) []stalledAttempt {
	var list []stalledAttempt
	for a := range e.attempts {
		idle := a.idle(now)
		if !a.isRetryable || a.isAbandoned.Load() || idle < idleFor || a.callerDeadline.Sub(now) < minRemaining || !f.hasAlternative(e, a.homes) {
			continue
		}
		list = append(list, stalledAttempt{attempt: a, endpoint: e.ID, idle: idle})
	}
	return list
}

// hasAlternative reports whether another endpoint of the service can take requests with these home regions.
func (f *fleet) hasAlternative(e *endpoint, h homes) bool {
	for _, other := range f.byService[e.Service] {
		if other != e && f.takesRequests(other) && h.allow(other.Domain) && other.liveness == detector.Heard && !other.state.IsDown {
			return true
		}
	}
	return false
}
