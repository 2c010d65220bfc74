package forwarder

import (
	"sync/atomic"
	"time"

	"geraniumladder/internal/connector"
	"geraniumladder/pkg/detector"
)

// WatchEvery is the time between two calls of Watch; short against the silence that it looks for.
const WatchEvery = 50 * time.Millisecond

// silentIdle is how long no byte must have arrived for an attempt that is given up at a silent endpoint. Where only the
// sidecar has stopped, the engine's bytes keep the attempt; twice the pause between events that the users call late.
const silentIdle = 600 * time.Millisecond

// attempt is one open request at an endpoint.
type attempt struct {
	requestID, service string
	conn               *connector.Conn
	// mayMove says that another endpoint may take the request over.
	mayMove bool
	// until is when the caller no longer waits.
	until time.Time
	// progress is when bytes last arrived, in Unix nanoseconds; at first when the request was sent.
	progress atomic.Int64
	// isGivenUp is set, before the connection is closed, when the service's budget has already paid for a repeat.
	isGivenUp atomic.Bool
}

// attempt returns the attempt that is about to be made at the endpoint.
func (x *exchange) attempt(key run, conn *connector.Conn) *attempt {
	sent := len(x.sent)
	if !x.sent[key] {
		sent++
	}
	a := &attempt{
		requestID: x.call.ID, service: x.service, conn: conn, mayMove: x.route.IsIdempotent() && sent < x.route.Attempts, until: x.deadline,
	}
	a.progressed(x.f.config.Now())
	return a
}

func (a *attempt) progressed(now time.Time) { a.progress.Store(now.UnixNano()) }

func (f *fleet) opened(e *endpoint, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.attempts[a] = struct{}{}
}

func (f *fleet) closed(e *endpoint, a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(e.attempts, a)
}

// changedStanding is a change of belief about an endpoint.
type changedStanding struct {
	endpoint string
	was, is  detector.Standing
	silence  time.Duration
}

// withdrawal is an attempt that should be given up, with the time since bytes arrived.
type withdrawal struct {
	attempt  *attempt
	endpoint string
	idle     time.Duration
}

// Watch looks for endpoints whose sidecars have gone silent, as those of a stopped or cut-off VM, and gives up attempts
// there that another endpoint may take over. It is called each WatchEvery.
func (f *Forwarder) Watch() {
	changes, withdrawals := f.fleet.watch(f.config.Now())
	for _, c := range changes {
		f.config.Log.Info().Str("Endpoint", c.endpoint).Stringer("Was", c.was).Stringer("Is", c.is).Dur("Silence", c.silence).
			Msg("forwarder: endpoint's standing changed")
	}
	for _, w := range withdrawals {
		if !f.mayRepeat(w.attempt.service) {
			continue
		}
		w.attempt.isGivenUp.Store(true)
		f.config.Log.Info().Str("Request", w.attempt.requestID).Str("Endpoint", w.endpoint).Dur("Idle", w.idle).
			Msg("forwarder: attempt at a silent endpoint given up")
		w.attempt.conn.Close()
	}
}

// watch judges all endpoints and returns the attempts to give up.
func (f *fleet) watch(now time.Time) ([]changedStanding, []withdrawal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// A watch that comes late means that this process did not run, and did not take beats in either.
	if pause := now.Sub(f.watchedAt) - WatchEvery; !f.watchedAt.IsZero() && pause > WatchEvery {
		for _, e := range f.byRun {
			e.beats = e.beats.WithPause(pause)
		}
	}
	f.watchedAt = now
	changes, known, silent := f.judge(now)
	if silent == 0 || 2*silent > known {
		// When most are silent, the fault is more likely near this entry than at each of them.
		return changes, nil
	}
	var withdrawals []withdrawal
	for _, e := range f.byRun {
		if e.standing == detector.Silent && f.hasOther(e) {
			withdrawals = append(withdrawals, e.stuck(now)...)
		}
	}
	return changes, withdrawals
}

// judge updates the standings and counts the endpoints that are heard of at all, and those that are silent.
func (f *fleet) judge(now time.Time) (changes []changedStanding, known, silent int) {
	for _, e := range f.byRun {
		was := e.standing
		e.standing = f.detector.Standing(e.beats, now)
		if was != e.standing {
			changes = append(changes, changedStanding{endpoint: e.ID, was: was, is: e.standing, silence: now.Sub(e.beats.Last())})
			e.announce()
		}
		if e.standing != detector.Unknown {
			known++
		}
		if e.standing == detector.Silent {
			silent++
		}
	}
	return changes, known, silent
}

// stuck lists the attempts that get no answer and that another endpoint may take over.
func (e *endpoint) stuck(now time.Time) []withdrawal {
	var list []withdrawal
	for a := range e.attempts {
		progress := time.Unix(0, a.progress.Load())
		if !a.mayMove || a.isGivenUp.Load() || now.Sub(progress) < silentIdle || a.until.Sub(now) < leastRemaining {
			continue
		}
		list = append(list, withdrawal{attempt: a, endpoint: e.ID, idle: now.Sub(progress)})
	}
	return list
}

// hasOther says whether another endpoint of the service may take work.
func (f *fleet) hasOther(e *endpoint) bool {
	for _, other := range f.byService[e.Service] {
		if other != e && !other.IsLeaving && !other.isSuperseded && other.standing == detector.Heard && !other.state.IsDown {
			return true
		}
	}
	return false
}
