// Package claimer decides that a call which may not be repeated runs at most once. It owns the run guard of a sidecar
// (runs by request ID, in the sidecar's memory, written by that sidecar only) and the rules for claim rows in the
// table service (written by entries, conditionally). When the table service is unavailable calls with an idempotency
// key are refused as not run, because their claim cannot be made; the guard needs no store and continues.
package claimer

import "time"

// DefaultMaxLife bounds the time from the arrival of a request at an entry to its end.
const DefaultMaxLife = 10 * time.Minute

// rememberLives is how many lifetimes a guard remembers an ID after its end: one for the message that is still under
// way when the ID is voided, and one for the entry that asks about the ID at the end of its own lifetime.
const rememberLives = 2

// DefaultRemember is how long a guard with DefaultMaxLife remembers an ID after its end.
const DefaultRemember = rememberLives * DefaultMaxLife

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Incarnation names this run of the sidecar's process; no two runs share it.
	Incarnation string
	// Remember is how long an ID is kept after it ended or was voided; at least 2·MaxLife, which replaces a smaller value.
	Remember time.Duration
	// MaxLife is the longest remaining time that a request may bring; DefaultMaxLife when 0.
	MaxLife time.Duration
}

// Run is what a run message says about its request.
type Run struct {
	RequestID string
	// Incarnation is the sidecar incarnation that the sender expects. It may be empty only for a repeatable request.
	Incarnation string
	// Remaining is the time left to the caller's deadline when the message was sent.
	Remaining time.Duration
	// Age is the time that the message spent under way, by the time in its signature; 0 when it is not known.
	Age time.Duration
	// Attempt is 1 for the first dispatch of the request.
	Attempt int
	// Repeatable requests may run again under a higher attempt.
	Repeatable bool
}

// Verdict says what a sidecar does with a run message.
type Verdict int

// The verdicts. Voided, Late and WrongIncarnation are answered with the outcome not-run.
const (
	// RunIt means that the request is new: queue it, and call Start just before the engine is called.
	RunIt Verdict = iota
	// Join means that the request waits or runs: answer with the response of that run.
	Join
	// Replay means that the request has ended: answer with the stored response.
	Replay
	// Voided means that the sidecar has promised not to run it.
	Voided
	// Late means that the caller's deadline has passed.
	Late
	// WrongIncarnation means that the message was meant for another run of the process.
	WrongIncarnation
)

// String names the verdict as in the codes of wire.RunError.
func (v Verdict) String() string {
	return [...]string{"run", "join", "replay", "voided", "late", "wrong-incarnation"}[v]
}

// VoidState is the answer to a void message.
type VoidState int

// The states of a request at the time of a void message.
const (
	// NotStarted is also a promise that the request never starts under this incarnation.
	NotStarted VoidState = iota
	// Running means that the call to the engine was, or is about to be, made.
	Running
	// Done means that the run has ended.
	Done
)

// String names the state as in wire.VoidReply.
func (s VoidState) String() string { return [...]string{"not-started", "running", "done"}[s] }

type phase int

const (
	queued phase = iota
	started
	ended
	voided
)

// entry is the memory of one ID.
type entry struct {
	phase   phase
	attempt int
	// until is when the entry may be forgotten; forever while started.
	until time.Duration
}

const forever = time.Duration(1<<63 - 1)

// Guard remembers the requests of one sidecar incarnation. A method returns the guard to use from then on. The guard
// owns its map and changes it in place, because copying tens of thousands of IDs with each request would cost more than
// the request: the value that a method was called on must not be used again, and one owner at a time may call methods.
//
// The promise of Void lasts for GuardConfig.Remember, so it holds if no run message arrives later than that after it
// was sent. The check of a message's signature ensures this: it refuses messages older than the allowed clock skew.
type Guard struct {
	config GuardConfig
	memory *memory
}

type memory struct {
	// entries by request ID. An ID is in the map from its first run or void message until its until has passed.
	entries map[string]*entry
	// ends holds an item for each value that an entry's until was given, in rising order from index first on.
	ends  []end
	first int
}

type end struct {
	id string
	at time.Duration
}

// NewGuard returns the guard of a sidecar that has just started.
func NewGuard(c GuardConfig) Guard {
	if c.MaxLife <= 0 {
		c.MaxLife = DefaultMaxLife
	}
	c.Remember = max(c.Remember, rememberLives*c.MaxLife)
	return Guard{config: c, memory: &memory{entries: map[string]*entry{}}}
}

// Begin decides about a run message. After RunIt the request waits, until Start or Void.
func (g Guard) Begin(r Run, now time.Duration) (Guard, Verdict) {
	// Without an expected incarnation a copy of the message might have run under the one before.
	if r.Incarnation != g.config.Incarnation && (r.Incarnation != "" || !r.Repeatable) {
		return g, WrongIncarnation
	}
	if e, known := g.memory.entries[r.RequestID]; known {
		again := r.Repeatable && e.phase == ended && r.Attempt > e.attempt
		if !again {
			return g, [...]Verdict{queued: Join, started: Join, ended: Replay, voided: Voided}[e.phase]
		}
	}
	if r.Remaining <= r.Age {
		// The refusal says not-run, so a copy of the message must not run either.
		g.memory.put(r.RequestID, entry{phase: voided, attempt: r.Attempt, until: now + g.config.Remember})
		return g, Late
	}
	g.memory.put(r.RequestID, entry{phase: queued, attempt: r.Attempt, until: now + g.config.Remember})
	return g, RunIt
}

// Start marks that the engine is about to be called. When it returns false the engine must not be called:
// the request was voided while it waited, or it has started already.
func (g Guard) Start(id string, _ time.Duration) (Guard, bool) {
	e, known := g.memory.entries[id]
	if !known || e.phase != queued {
		return g, false
	}
	e.phase, e.until = started, forever
	return g, true
}

// Finish marks that the run has ended. A request that has not started is voided by it.
func (g Guard) Finish(id string, now time.Duration) Guard {
	switch e, known := g.memory.entries[id]; {
	case known && e.phase == started:
		g.memory.put(id, entry{phase: ended, attempt: e.attempt, until: now + g.config.Remember})
	case known && e.phase == queued:
		g.memory.put(id, entry{phase: voided, attempt: e.attempt, until: now + g.config.Remember})
	}
	return g
}

// Retract voids a started request whose call never reached the engine, because no connection could be opened.
func (g Guard) Retract(id string, now time.Duration) Guard {
	if e, known := g.memory.entries[id]; known && e.phase == started {
		g.memory.put(id, entry{phase: voided, attempt: e.attempt, until: now + g.config.Remember})
	}
	return g
}

// Void promises that a request which has not started never will. An unknown ID is remembered as void too,
// because its run message may still be under way. After NotStarted a waiting request is taken out of the queue.
func (g Guard) Void(id string, now time.Duration) (Guard, VoidState) {
	e, known := g.memory.entries[id]
	if known && e.phase == started {
		return g, Running
	}
	if known && e.phase == ended {
		return g, Done
	}
	attempt := 0
	if known {
		attempt = e.attempt
	}
	g.memory.put(id, entry{phase: voided, attempt: attempt, until: now + g.config.Remember})
	return g, NotStarted
}

// Join answers an entry that asks, under the ID in a claim row, for the response of a request: Join, Replay or, with the
// promise of Void, Voided. Unlike Void it leaves a waiting request in the queue, because its first caller may wait too.
func (g Guard) Join(id string, now time.Duration) (Guard, Verdict) {
	if e, known := g.memory.entries[id]; known && e.phase != voided {
		return g, [...]Verdict{queued: Join, started: Join, ended: Replay}[e.phase]
	}
	g, _ = g.Void(id, now)
	return g, Voided
}

// Expire forgets the IDs whose time has passed; started ones are never forgotten. It costs one step for each of them.
func (g Guard) Expire(now time.Duration) Guard {
	m := g.memory
	for m.first < len(m.ends) && m.ends[m.first].at <= now {
		item := m.ends[m.first]
		m.ends[m.first] = end{}
		m.first++
		// A later end of the same ID has its own item.
		if e, known := m.entries[item.id]; known && e.until == item.at {
			delete(m.entries, item.id)
		}
	}
	// Half of the slice is unused: move the rest to the front, at a cost that the removed items have paid for.
	if m.first > len(m.ends)/2 {
		m.ends = append(m.ends[:0:0], m.ends[m.first:]...)
		m.first = 0
	}
	return g
}

// Len returns how many IDs are remembered.
func (g Guard) Len() int { return len(g.memory.entries) }

// Incarnation returns the incarnation that the guard belongs to.
func (g Guard) Incarnation() string { return g.config.Incarnation }

func (m *memory) put(id string, e entry) {
	// A clock that stands still or is read late by one goroutine must not break the order of ends.
	if n := len(m.ends); n > m.first {
		e.until = max(e.until, m.ends[n-1].at)
	}
	m.entries[id] = &e
	m.ends = append(m.ends, end{id: id, at: e.until})
}
