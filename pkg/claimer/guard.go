// Package claimer ensures at-most-once execution of calls that are not repeatable. It implements the run guard of a
// sidecar (runs by request ID, kept in memory and written by that sidecar only) and the rules for claim rows in the
// table service, which entries write conditionally. While the table service is unavailable, calls with an idempotency
// key are refused as not run, because they cannot be claimed; the guard needs no store and keeps working.
package claimer

import "time"

// DefaultMaxLifetime is the maximum lifetime of a request, from its arrival at an entry to its end.
const DefaultMaxLifetime = 10 * time.Minute

// retentionLifetimes is the retention period of request IDs, as a multiple of the maximum request lifetime. When an ID is
// voided, its run message may still be in flight for one lifetime. After that, an entry may query the ID until the end of
// its own request, for another lifetime.
const retentionLifetimes = 2

// DefaultRetention is the retention period of a guard with DefaultMaxLifetime.
const DefaultRetention = retentionLifetimes * DefaultMaxLifetime

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Incarnation identifies this run of the sidecar process. It is unique across restarts.
	Incarnation string
	// Remember is the retention period of an ID after its run ended or was voided. Values below 2·MaxLifetime are
	// raised to 2·MaxLifetime.
	Remember time.Duration
	// MaxLifetime is the maximum remaining time of an incoming request; DefaultMaxLifetime if 0.
	MaxLifetime time.Duration
}

// Run holds the fields of a run message that the guard evaluates.
type Run struct {
	RequestID string
	// Incarnation is the sidecar incarnation that the sender expects. It may be empty only for a repeatable request.
	Incarnation string
	// Remaining is the time from the sending of the message to the caller's deadline.
	Remaining time.Duration
	// Age is the transit time of the message according to its signature's timestamp; 0 if unknown.
	Age time.Duration
	// Attempt is 1 for the first dispatch of the request.
	Attempt int
	// Repeatable requests may run again with a higher attempt number.
	Repeatable bool
}

// Verdict is the guard's decision about a run message.
type Verdict int

// The verdicts. Voided, Late and WrongIncarnation are answered with the outcome not-run.
const (
	// Accepted means that the request is new: queue it, and call Start immediately before calling the engine.
	Accepted Verdict = iota
	// Join means that the request is queued or running: reply with the response of that run.
	Join
	// Replay means that the run has ended: reply with the stored response.
	Replay
	// Voided means that the sidecar has guaranteed not to run the request.
	Voided
	// Late means that the caller's deadline has passed.
	Late
	// WrongIncarnation means that the message was addressed to another incarnation of the sidecar.
	WrongIncarnation
)

// String returns the verdict's code in wire.RunError.
func (v Verdict) String() string {
	return [...]string{"run", "join", "replay", "voided", "late", "wrong-incarnation"}[v]
}

// VoidState is the state of a request as reported in the reply to a void message.
type VoidState int

// The states of a request.
const (
	// NotStarted also guarantees that the request will never start in this incarnation.
	NotStarted VoidState = iota
	// Running means that the engine has been called or is about to be called.
	Running
	// Done means that the run has ended.
	Done
)

// String returns the state's name in wire.VoidReply.
func (s VoidState) String() string { return [...]string{"not-started", "running", "done"}[s] }

type phase int

const (
	queued phase = iota
	started
	ended
	voided
)

// record is the guard's state for one request ID.
type record struct {
	phase   phase
	attempt int
	// expiresAt is when the record may be removed; noExpiry while started.
	expiresAt time.Duration
}

const noExpiry = time.Duration(1<<63 - 1)

// Guard records the requests of one sidecar incarnation. Its methods update the records in place, because copying tens of
// thousands of IDs for each request would cost more than the request itself. Each method returns the guard to use from
// then on: the receiver must not be used again, and calls must not be concurrent.
//
// The guarantee given by Void expires after GuardConfig.Remember. A run message that arrived after that time would run
// the request. Signature verification prevents this: it rejects messages older than the allowed clock skew.
type Guard struct {
	config  GuardConfig
	records *records
}

type records struct {
	// byID maps request IDs to records. An ID is present from its first run or void message until its record expires.
	byID map[string]*record
	// expirations holds one item for each finite value that a record's expiresAt was set to. The items from index head
	// on are in ascending order; those before it have been processed.
	expirations []expiration
	head        int
}

type expiration struct {
	id string
	at time.Duration
}

// NewGuard returns the guard of a newly started sidecar, without records.
func NewGuard(c GuardConfig) Guard {
	if c.MaxLifetime <= 0 {
		c.MaxLifetime = DefaultMaxLifetime
	}
	c.Remember = max(c.Remember, retentionLifetimes*c.MaxLifetime)
	return Guard{config: c, records: &records{byID: map[string]*record{}}}
}

// Begin handles a run message. After Accepted the request counts as queued until Start, Finish or Void.
func (g Guard) Begin(r Run, now time.Duration) (Guard, Verdict) {
	// Without an expected incarnation, a copy of the message might have run in the previous incarnation.
	if r.Incarnation != g.config.Incarnation && (r.Incarnation != "" || !r.Repeatable) {
		return g, WrongIncarnation
	}
	if rec, known := g.records.byID[r.RequestID]; known {
		isRetry := r.Repeatable && rec.phase == ended && r.Attempt > rec.attempt
		if !isRetry {
			return g, [...]Verdict{queued: Join, started: Join, ended: Replay, voided: Voided}[rec.phase]
		}
	}
	if r.Remaining <= r.Age {
		// The rejection reports not-run, so no copy of the message may run either.
		g.records.put(r.RequestID, record{phase: voided, attempt: r.Attempt, expiresAt: now + g.config.Remember})
		return g, Late
	}
	g.records.put(r.RequestID, record{phase: queued, attempt: r.Attempt, expiresAt: now + g.config.Remember})
	return g, Accepted
}

// Start marks a queued request as started. If it returns false, the engine must not be called: the request was voided
// while it was queued, has already started, or is unknown.
func (g Guard) Start(id string, _ time.Duration) (Guard, bool) {
	rec, known := g.records.byID[id]
	if !known || rec.phase != queued {
		return g, false
	}
	rec.phase, rec.expiresAt = started, noExpiry
	return g, true
}

// Finish marks a run as ended. A request that has not started is voided.
func (g Guard) Finish(id string, now time.Duration) Guard {
	switch rec, known := g.records.byID[id]; {
	case known && rec.phase == started:
		g.records.put(id, record{phase: ended, attempt: rec.attempt, expiresAt: now + g.config.Remember})
	case known && rec.phase == queued:
		g.records.put(id, record{phase: voided, attempt: rec.attempt, expiresAt: now + g.config.Remember})
	}
	return g
}

// Retract voids a started request whose call did not reach the engine because no connection could be opened.
func (g Guard) Retract(id string, now time.Duration) Guard {
	if rec, known := g.records.byID[id]; known && rec.phase == started {
		g.records.put(id, record{phase: voided, attempt: rec.attempt, expiresAt: now + g.config.Remember})
	}
	return g
}

// Void cancels a request that has not started and guarantees that it never will. An unknown ID is recorded as voided
// too, because its run message may still be in flight. After NotStarted the caller removes the request from its queue.
func (g Guard) Void(id string, now time.Duration) (Guard, VoidState) {
	rec, known := g.records.byID[id]
	if known && rec.phase == started {
		return g, Running
	}
	if known && rec.phase == ended {
		return g, Done
	}
	attempt := 0
	if known {
		attempt = rec.attempt
	}
	g.records.put(id, record{phase: voided, attempt: attempt, expiresAt: now + g.config.Remember})
	return g, NotStarted
}

// Join handles an entry's request for the response of a run, identified by the ID in a claim row. It returns Join,
// Replay or, with the guarantee of Void, Voided. Unlike Void it leaves a queued request in the queue, because the
// original caller may still be waiting for it.
func (g Guard) Join(id string, now time.Duration) (Guard, Verdict) {
	if rec, known := g.records.byID[id]; known && rec.phase != voided {
		return g, [...]Verdict{queued: Join, started: Join, ended: Replay}[rec.phase]
	}
	g, _ = g.Void(id, now)
	return g, Voided
}

// Expire removes expired records; started requests never expire. The cost is amortised O(1) for each expired item.
func (g Guard) Expire(now time.Duration) Guard {
	recs := g.records
	for recs.head < len(recs.expirations) && recs.expirations[recs.head].at <= now {
		item := recs.expirations[recs.head]
		recs.expirations[recs.head] = expiration{}
		recs.head++
		// If the record's expiry has been extended since, a later item covers it.
		if rec, known := recs.byID[item.id]; known && rec.expiresAt == item.at {
			delete(recs.byID, item.id)
		}
	}
	// Compact once more than half of the slice is unused; the copy is amortised over the processed items.
	if recs.head > len(recs.expirations)/2 {
		recs.expirations = append(recs.expirations[:0:0], recs.expirations[recs.head:]...)
		recs.head = 0
	}
	return g
}

// Len returns the number of records.
func (g Guard) Len() int { return len(g.records.byID) }

// Incarnation returns the sidecar incarnation of the guard.
func (g Guard) Incarnation() string { return g.config.Incarnation }

func (m *records) put(id string, rec record) {
	// Keep expirations sorted even if the clock stands still or a goroutine passes a time that it read earlier.
	if n := len(m.expirations); n > m.head {
		rec.expiresAt = max(rec.expiresAt, m.expirations[n-1].at)
	}
	m.byID[id] = &rec
	m.expirations = append(m.expirations, expiration{id: id, at: rec.expiresAt})
}
