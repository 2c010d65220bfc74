// Package budgeter decides which of a process's waiting adapter loads may start now, so that the weight store is not
// asked for more transfers at a time than it carries at full speed.
//
// The load pattern: many processes request loads of rarely used adapters, in sum about as many as the store carries.
// Beyond a number of transfers in flight, which is in no configuration, each takes proportionally longer. Without a
// budget all waiting loads run at once, so each is slow, those of requests that are late anyway included.
//
// Each process counts the transfers in flight over all engines from the engines' reports, together with the loads that
// it has requested and not yet seen. It learns the number that the store carries from the durations of finished
// transfers; until congestion has been measured there is no limit. Loads beyond the limit wait, and start in the order of
// the value of the responses that they allow.
//
// Several processes see the same free place at the same time. A waiting process therefore starts loads as a Poisson
// process whose rate, summed over all processes, is one start for each free place within the time in which a start
// becomes visible to the others. The expected excess over the limit is at most the number of free places, and its mean
// is below one when the store is busy. A load that has just been requested starts at once if more places are free than
// the other processes are likely to take at that moment.
//
// The package has no clock, no goroutines and uses no store. Times are on the owner's monotonic clock.
package budgeter

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Policy decides how many loads may be in flight.
type Policy int

const (
	// Learned keeps to the learned number.
	Learned Policy = iota
	// Unlimited starts every load at once. It is the baseline without a budget.
	Unlimited
	// EqualShare gives each process an equal part of the learned number for its own loads, at least one. It needs no view
	// of the others' loads and is the baseline without one.
	EqualShare
)

// Config holds the parameters of a Budgeter. Zero fields take their defaults in New.
type Config struct {
	Policy Policy
	// MinLimit is the least number of transfers that the limit allows.
	MinLimit float64
	// VisibleTime is the time in which the processes together fill the free places. It is several times the time from a
	// start to the moment at which the others see it, which includes the message to the engine's sidecar, the order and
	// the sidecar's report. Half of it let the replayed store have up to 40% more transfers in flight than it carries.
	VisibleTime time.Duration
	// LateValue is the value of a late response relative to that of a timely one.
	LateValue float64
}

// Defaults of Config.
const (
	DefaultMinLimit    = 4
	DefaultVisibleTime = 80 * time.Millisecond
	DefaultLateValue   = 0.4
)

// transitFraction is the part of the limit by which the loads in flight may exceed it, because ended loads are still seen
// for about an eighth of their duration. Without it the replayed store was idle for a tenth of the time.
const transitFraction = 0.125

// reserveFraction is the part of the limit that must be free for a new load to start at once.
const reserveFraction = 0.25

// lateTurns is the number of turns that a start takes which makes no request timely.
const lateTurns = 4

// turnGain is the weight of the newest interval in the mean interval between this process's starts.
const turnGain = 0.125

// Load is the load of an adapter at an engine.
type Load[A comparable] struct {
	Adapter A
	Engine  string
}

// Request is a request that waits for an adapter load.
type Request struct {
	// ID identifies the request within the process.
	ID uint64
	// Since is when it began to wait. A response after Objective is late, and one after Deadline worth nothing.
	Since, Objective, Deadline time.Duration
}

// seenLoad is a load in the report of an engine.
type seenLoad[A comparable] struct {
	Load[A]
	since time.Duration
	// work is the value of Budgeter.work when the load was first seen.
	work float64
}

// Budgeter is one process's view of the transfers in flight and its queue of loads. It is an immutable value.
type Budgeter[A comparable] struct {
	config   Config
	capacity capacity
	// processes is the number of processes that start loads, at least 1.
	processes int
	// isBlind means that fewer than half of the engines report, so the loads of other processes are unknown.
	isBlind bool
	// seen holds the transfers in the engines' reports. It is a slice, because a report with a change copies it.
	seen []seenLoad[A]
	// work is the integral of the transfers in flight over time, in seconds, up to the time at.
	work float64
	at   time.Duration
	// started holds this process's loads whose requests still wait for them.
	started map[Load[A]]bool
	// granted holds the adapters that may be loaded now, at an engine that the request has yet to choose.
	granted map[A]bool
	// waiting holds the queued requests by adapter; no list is empty.
	waiting map[A][]Request
	// progress grows to threshold, which is exponentially distributed with mean 1, until the next start. It was up to date
	// at progressAt, from when on it grows with free places.
	progress, threshold float64
	progressAt          time.Duration
	free                int
	// turn is the mean interval between this process's starts while loads wait; 0 before the first. lastStart is the last
	// start or, if later, the time at which the queue ceased to be empty.
	turn, lastStart time.Duration
}

// New returns a Budgeter that has seen no transfer and therefore allows all.
func New[A comparable](c Config) Budgeter[A] {
	c.MinLimit = cmp.Or(c.MinLimit, DefaultMinLimit)
	c.VisibleTime = cmp.Or(c.VisibleTime, DefaultVisibleTime)
	c.LateValue = cmp.Or(c.LateValue, DefaultLateValue)
	return Budgeter[A]{config: c, capacity: capacity{minLimit: c.MinLimit}, processes: 1, threshold: 1}
}

// Limit returns the learned number of transfers, and 0 while there is no limit.
func (b Budgeter[A]) Limit() float64 { return b.capacity.limit }

// BaseTime returns the duration of a transfer at full speed, and 0 while it is unknown.
func (b Budgeter[A]) BaseTime() time.Duration { return b.capacity.base }

// InFlight returns the number of transfers in flight, including loads that this process has requested and not yet seen.
func (b Budgeter[A]) InFlight() int {
	n := len(b.seen) + len(b.granted)
	for l := range b.started {
		if b.find(l) < 0 {
			n++
		}
	}
	return n
}

// find returns the index of the load in seen, or -1.
func (b Budgeter[A]) find(l Load[A]) int {
	return slices.IndexFunc(b.seen, func(s seenLoad[A]) bool { return s.Load == l })
}

// Waiting returns the number of adapters whose loads wait.
func (b Budgeter[A]) Waiting() int { return len(b.waiting) }

// IsStarted reports whether this process has requested the load, so that another request joins it.
func (b Budgeter[A]) IsStarted(l Load[A]) bool { return b.started[l] }

// WithProcesses sets the number of processes that start loads, and whether fewer than half of the engines report.
func (b Budgeter[A]) WithProcesses(n int, isBlind bool) Budgeter[A] {
	b.processes, b.isBlind = max(1, n), isBlind
	return b
}

// WithLoading replaces the transfers in the report of one engine. Loads from the engine's own memory or disk are no
// transfers.
func (b Budgeter[A]) WithLoading(engine string, adapters []A, now time.Duration) Budgeter[A] {
	kept := 0
	isSame := true
	for _, l := range b.seen {
		if l.Engine == engine {
			kept++
			isSame = isSame && slices.Contains(adapters, l.Adapter)
		}
	}
	if isSame && kept == len(adapters) {
		return b
	}
	b = b.advanced(now)
	next := make([]seenLoad[A], 0, len(b.seen)+len(adapters))
	for _, l := range b.seen {
		if l.Engine != engine || slices.Contains(adapters, l.Adapter) {
			next = append(next, l)
		}
	}
	for _, adapter := range adapters {
		if l := (Load[A]{Adapter: adapter, Engine: engine}); b.find(l) < 0 {
			next = append(next, seenLoad[A]{Load: l, since: now, work: b.work})
		}
	}
	b.seen = next
	return b
}

// WithEngines removes the transfers of all engines but those for which isKnown returns true.
func (b Budgeter[A]) WithEngines(isKnown func(engine string) bool, now time.Duration) Budgeter[A] {
	for _, l := range b.seen {
		if !isKnown(l.Engine) {
			b = b.WithLoading(l.Engine, nil, now)
		}
	}
	return b
}

// advanced brings work up to date.
func (b Budgeter[A]) advanced(now time.Duration) Budgeter[A] {
	if now > b.at {
		b.work += float64(len(b.seen)) * (now - b.at).Seconds()
		b.at = now
	}
	return b
}

// WithFinished records the duration of a transfer. It must be called before WithLoading with the report in which the
// transfer is no longer in flight. The transfer is ignored if its start has not been seen.
func (b Budgeter[A]) WithFinished(l Load[A], took, now time.Duration) Budgeter[A] {
	i := b.find(l)
	if i < 0 || took <= 0 {
		return b
	}
	start := b.seen[i]
	b = b.advanced(now)
	inFlight := float64(len(b.seen))
	if now > start.since {
		inFlight = (b.work - start.work) / (now - start.since).Seconds()
	}
	b.capacity = b.capacity.withSample(sample{took: took, inFlight: inFlight}, now)
	return b
}

// places returns the number of loads that may be started now.
func (b Budgeter[A]) places() int {
	switch {
	case b.capacity.limit == 0 || b.config.Policy == Unlimited:
		return math.MaxInt
	case b.isBlind || b.config.Policy == EqualShare:
		return max(1, int(b.capacity.limit)/b.processes) - len(b.started) - len(b.granted)
	}
	return int((1+transitFraction)*b.capacity.limit) - b.InFlight()
}

// isShared reports whether other processes may take the free places.
func (b Budgeter[A]) isShared() bool {
	return b.processes > 1 && !b.isBlind && b.config.Policy == Learned && b.capacity.limit > 0
}

// reserve returns the number of free places above which a new load starts at once.
func (b Budgeter[A]) reserve() int {
	if !b.isShared() {
		return 0
	}
	return min(b.processes-1, int(reserveFraction*b.capacity.limit))
}

// WithRequest adds a request to the queue, or replaces it.
func (b Budgeter[A]) WithRequest(adapter A, r Request, now time.Duration) Budgeter[A] {
	if len(b.waiting) == 0 {
		b.lastStart = now
	}
	b.waiting = maps.Clone(b.waiting)
	if b.waiting == nil {
		b.waiting = map[A][]Request{}
	}
	b.waiting[adapter] = append(without(b.waiting[adapter], r.ID), r)
	return b
}

func without(list []Request, id uint64) []Request {
	return slices.DeleteFunc(slices.Clone(list), func(r Request) bool { return r.ID == id })
}

// WithoutRequest removes a request from the queue. A start that was granted to its adapter is given back with the last
// request.
func (b Budgeter[A]) WithoutRequest(adapter A, id uint64) Budgeter[A] {
	rest := without(b.waiting[adapter], id)
	b.waiting = maps.Clone(b.waiting)
	if len(rest) > 0 {
		b.waiting[adapter] = rest
		return b
	}
	delete(b.waiting, adapter)
	b.granted = maps.Clone(b.granted)
	delete(b.granted, adapter)
	return b
}

// WithStart uses the start that was granted to the adapter for a load at the engine, and removes the adapter's requests
// from the queue. It returns false if there is none.
func (b Budgeter[A]) WithStart(l Load[A]) (Budgeter[A], bool) {
	if !b.granted[l.Adapter] {
		return b, false
	}
	b.granted, b.waiting, b.started = maps.Clone(b.granted), maps.Clone(b.waiting), maps.Clone(b.started)
	delete(b.granted, l.Adapter)
	delete(b.waiting, l.Adapter)
	if b.started == nil {
		b.started = map[Load[A]]bool{}
	}
	b.started[l] = true
	return b, true
}

// WithoutStart records that no request of this process waits for the load any more.
func (b Budgeter[A]) WithoutStart(l Load[A]) Budgeter[A] {
	b.started = maps.Clone(b.started)
	delete(b.started, l)
	return b
}

// WithGrants returns the adapters that may be loaded now, those whose requests lose the most time first. It must be
// called after each change and at the time that NextTurn returns.
func (b Budgeter[A]) WithGrants(now time.Duration, rng *rand.Rand) (Budgeter[A], []A) {
	if b.free > 0 && b.isShared() && now > b.progressAt {
		b.progress += (now - b.progressAt).Seconds() * b.turnsPerSecond()
	}
	b.progressAt = now
	var list []A
	free := b.places()
	for _, r := range b.order(now) {
		adapter := r.adapter
		// A load that has just been requested starts at once if enough places are free. Loads that have waited compete
		// with those of other processes.
		isNew := now-b.oldest(adapter) < b.config.VisibleTime
		hasTurn := !b.isShared() || b.progress >= b.threshold
		if b.isShared() && !r.isTimely {
			// Other processes may have loads that make requests timely.
			isNew, hasTurn = false, b.progress >= lateTurns*b.threshold
		}
		if free <= 0 || !hasTurn && (!isNew || free <= b.reserve()) {
			continue
		}
		if hasTurn && b.isShared() {
			b.progress, b.threshold = 0, rng.ExpFloat64()
		}
		if len(list) == 0 {
			b.granted = maps.Clone(b.granted)
			if b.granted == nil {
				b.granted = map[A]bool{}
			}
		}
		list = append(list, adapter)
		b.granted[adapter] = true
		free--
		b = b.withTurn(now)
	}
	b.free = max(0, free)
	return b, list
}

// withTurn records a start in the mean interval between starts.
func (b Budgeter[A]) withTurn(now time.Duration) Budgeter[A] {
	interval := now - b.lastStart
	if b.turn == 0 {
		b.turn = interval
	}
	b.turn += time.Duration(turnGain * float64(interval-b.turn))
	b.lastStart = now
	return b
}

// turnsPerSecond returns the rate of starts while the free places stay the same.
func (b Budgeter[A]) turnsPerSecond() float64 {
	return float64(b.free) / (float64(b.processes) * b.config.VisibleTime.Seconds())
}

// NextTurn returns the time at which WithGrants has to be called again, and false if only a change can lead to a start.
func (b Budgeter[A]) NextTurn() (time.Duration, bool) {
	if len(b.waiting) <= len(b.granted) || b.free == 0 || !b.isShared() {
		return 0, false
	}
	threshold := b.threshold
	if b.progress >= threshold {
		threshold *= lateTurns
	}
	left := max(0, threshold-b.progress) / b.turnsPerSecond()
	return b.progressAt + time.Duration(left*float64(time.Second)) + time.Millisecond, true
}

func (b Budgeter[A]) oldest(adapter A) time.Duration {
	return slices.MinFunc(b.waiting[adapter], func(x, y Request) int { return cmp.Compare(x.Since, y.Since) }).Since
}

// rank is the place of a waiting adapter in the order of starts.
type rank[A comparable] struct {
	adapter A
	// value is what the responses are worth that a load started now allows, and objective the earliest objective among
	// the requests that it makes timely.
	value     float64
	isTimely  bool
	objective time.Duration
	// id is the lowest ID of the requests.
	id uint64
}

// order returns the waiting adapters in the order in which they may be started: those for which a load started now makes
// a request timely before others, then those whose responses are worth most, then those that would be late first.
// Adapters whose requests would all end after their deadlines are included only if there are no others.
func (b Budgeter[A]) order(now time.Duration) []rank[A] {
	list := make([]rank[A], 0, len(b.waiting))
	hasValue := false
	for adapter := range b.waiting {
		if !b.granted[adapter] {
			r := b.rank(adapter, now)
			hasValue = hasValue || r.value > 0
			list = append(list, r)
		}
	}
	if hasValue {
		list = slices.DeleteFunc(list, func(r rank[A]) bool { return r.value == 0 })
	}
	slices.SortFunc(list, func(x, y rank[A]) int {
		if x.isTimely != y.isTimely {
			if x.isTimely {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(x.value, y.value), cmp.Compare(x.objective, y.objective), cmp.Compare(x.id, y.id))
	})
	return list
}

// rank values the start of a load now. The load is assumed to take congestionRatio times the base duration.
func (b Budgeter[A]) rank(adapter A, now time.Duration) rank[A] {
	ready := now + time.Duration(congestionRatio*float64(b.capacity.base))
	out := rank[A]{adapter: adapter, objective: math.MaxInt64, id: math.MaxUint64}
	for _, r := range b.waiting[adapter] {
		out.id = min(out.id, r.ID)
		switch {
		case ready > r.Deadline:
		case ready > r.Objective:
			out.value += b.config.LateValue
		default:
			out.value++
			out.isTimely = true
			out.objective = min(out.objective, r.Objective)
		}
	}
	return out
}

// Wait returns the expected wait for the start of a load of the adapter at the engine; 0 if it is in progress.
func (b Budgeter[A]) Wait(l Load[A]) time.Duration {
	if b.granted[l.Adapter] || b.started[l] {
		return 0
	}
	ahead := len(b.waiting) - len(b.granted)
	if _, ok := b.waiting[l.Adapter]; ok {
		ahead--
	}
	if b.find(l) >= 0 || ahead <= 0 && b.places() > b.reserve() {
		return 0
	}
	turn := b.turn
	if base := b.capacity.base; turn == 0 {
		turn = base
	}
	return time.Duration(max(0, ahead)+1) * turn
}
