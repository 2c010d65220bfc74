// Package pacer paces the requests to an endpoint that has started or recovered.
//
// The load that it answers: an engine that has just started is slow for some seconds, and fails if it gets more requests
// than it can take then. Many entries see the empty engine at the same time and choose it at once; entries that avoid it
// leave it idle long after it is ready. Shares for each entry fit neither, because a few requests a second are fewer than
// the entries.
//
// The sidecar of the engine therefore grants single requests to named entries. A Pacer is its part: it counts every grant
// as a request until it learns that the grant was not used. A Holder is the part of an entry. Two bounds hold: the
// configured rate of a cold endpoint in each sliding second, and the requests in progress, which a Limiter finds from the
// responses. If an entry doesn't hear from the sidecar, it may use a small part of the configured rate that the grants
// leave free (FallbackRate).
//
// The package has no clock, no goroutines and uses no store. Times are on the owner's monotonic clock.
package pacer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Validity is how long a grant may be used after the entry has begun the round.
	Validity = time.Second
	// RoundInterval is the time after which an entry begins a new round and so returns unused grants.
	RoundInterval = 300 * time.Millisecond
	// Transit is the longest time that a request is taken to need from the use of the grant to the engine.
	Transit = 100 * time.Millisecond
	// window is the time over which the requests to a cold endpoint are bounded.
	window = time.Second
	// RestartTime is the time after the start of a sidecar in which it gives no grants: those of its predecessor may
	// still be used.
	RestartTime = Validity + window + Transit
	// leastUse is the time that must be left of a round for a grant to be of use.
	leastUse = 200 * time.Millisecond
	// burst is the number of requests that a cold endpoint gets at once at its rate.
	burst = 2.0
	// maxWants bounds the requests that one entry asks for, as an entry may report anything.
	maxWants = 1000
	// maxWeight bounds by how much entries with many requests are preferred, so that the others get grants too.
	maxWeight = 16
)

// Bound and fallback of a cold endpoint.
const (
	// Overage bounds, with Slack, the requests in each sliding second by perSecond*Overage + Slack.
	Overage = 1.5
	// Slack is described at Overage.
	Slack = 5.0
	// FallbackUsers is the number of entries that share FallbackRate of an endpoint.
	FallbackUsers = 2
	// fallbackPart is the part of the rate that is left to entries that don't hear from the sidecar.
	fallbackPart = 1.0 / 3
)

// FallbackRate returns the requests a second that the users of an endpoint share without grants. hasSidecar means that
// grants may be in use at the same time.
func FallbackRate(perSecond float64, hasSidecar bool) float64 {
	if hasSidecar {
		return perSecond * fallbackPart
	}
	return perSecond
}

// maxPotential returns the number of requests that grants may bring within a window.
func maxPotential(perSecond float64) int {
	return max(1, int(perSecond*Overage+Slack-FallbackUsers-FallbackRate(perSecond, true)))
}

// Config holds the parameters of a Pacer.
type Config struct {
	// PerSecond is the rate of a cold endpoint; 0 sets no bound.
	PerSecond float64
	// Capacity is the normal number of requests in progress.
	Capacity int
	// NewLimiter returns the limiter of an endpoint that starts or recovers now; the default is an Adaptive.
	NewLimiter func(capacity, inProgress int, now time.Duration) Limiter
}

// Demand is what an entry says of its requests for the endpoint.
type Demand struct {
	// Entry is the name of the entry, and Boot names one run of its process.
	Entry, Boot string
	Round       int64
	// Wants is the number of requests for the endpoint's service within the last second. Waiting is the number of those
	// that wait for a grant, and Open that of the requests in progress at the endpoint.
	Wants, Waiting, Open int
	// Taken is the number of grants used, and Responses are those received. They never decrease within one run.
	Taken     int
	Responses Responses
}

// Grant allows an entry to send requests.
type Grant struct {
	Entry string
	// Count is the number of requests allowed in the round in all.
	Count int
	Round int64
}

// entry is the state of one entry.
type entry struct {
	Demand
	// roundAt is when the round was first heard of, and heardAt when the last demand was received.
	roundAt, heardAt time.Duration
	// issued is the number of grants given in the round, and pending the number of those not known to be used.
	issued, pending int
	// expired is the number of grants that expired before it was known whether they were used.
	expired int
	// turn orders the entries: it grows with each grant, the slower the more the entry wants.
	turn float64
}

// pendingGrant is a grant that may still be used.
type pendingGrant struct {
	entry string
	at    time.Duration
}

// Pacer paces one endpoint. It is an immutable value.
type Pacer struct {
	config    Config
	startedAt time.Duration
	entries   map[string]entry
	// pending is sorted by time.
	pending []pendingGrant
	// sent holds the latest times at which requests can have reached the endpoint, as far as they are within the window.
	sent []time.Duration
	// tokens and tokensAt are the token bucket of the rate.
	tokens   float64
	tokensAt time.Duration
	// coldUntil is 0 if the endpoint was never cold.
	coldUntil time.Duration
	// limiter is nil unless the endpoint has started or recovered.
	limiter Limiter
	// inProgress is the last known number of requests in progress.
	inProgress int
}

// New returns the Pacer of a sidecar that starts now. The endpoint is not paced.
func New(now time.Duration) Pacer {
	return Pacer{startedAt: now, tokensAt: now, entries: map[string]entry{}}
}

// WithConfig changes the parameters.
func (p Pacer) WithConfig(c Config) Pacer {
	if c.NewLimiter == nil {
		c.NewLimiter = func(capacity, inProgress int, now time.Duration) Limiter {
			return NewAdaptive(AdaptiveConfig{}, capacity, inProgress, now)
		}
	}
	p.config = c
	return p
}

// WithStart records that the endpoint has started or recovered. inProgress requests are at it already.
func (p Pacer) WithStart(inProgress int, now time.Duration) Pacer {
	p.inProgress = inProgress
	p.limiter = p.config.NewLimiter(p.config.Capacity, inProgress, now)
	return p
}

// WithCold records that the endpoint is cold for the given time.
func (p Pacer) WithCold(remaining, now time.Duration) Pacer {
	if p.config.PerSecond <= 0 || remaining <= 0 {
		return p
	}
	if !p.isCold(now) && p.limiter == nil {
		// The requests in progress stay, and the number grows from there once the endpoint is warm.
		p.limiter = p.config.NewLimiter(p.config.Capacity, p.inProgress, now)
	}
	p.coldUntil = max(p.coldUntil, now+remaining)
	return p
}

func (p Pacer) isCold(now time.Duration) bool { return now < p.coldUntil && p.config.PerSecond > 0 }

// IsPaced reports whether the endpoint takes requests with grants only.
func (p Pacer) IsPaced(now time.Duration) bool { return p.limiter != nil || p.isCold(now) }

// Limit returns the number of requests that may be in progress, and 0 without such a limit.
func (p Pacer) Limit(now time.Duration) float64 {
	if p.limiter == nil {
		return 0
	}
	return p.limiter.Limit(now)
}

// WithDemand records the demand of an entry. Older demands than the last one must not be passed.
func (p Pacer) WithDemand(d Demand, now time.Duration) Pacer {
	p = p.withoutExpired(now)
	d.Wants, d.Waiting = min(max(0, d.Wants), maxWants), min(max(0, d.Waiting), maxWants)
	e, isKnown := p.entries[d.Entry]
	p.entries = maps.Clone(p.entries)
	switch {
	case !isKnown:
		e = entry{roundAt: now, turn: p.leastTurn()}
	case e.Boot != d.Boot:
		// Whether the earlier process has used its grants is unknown.
		p = p.withResolved(d.Entry, e.pending, true, now)
		e = entry{roundAt: now, turn: e.turn}
	default:
		used := max(0, d.Taken-e.Taken)
		known := min(used, e.expired)
		e.expired -= known
		used = min(used-known, e.pending)
		p = p.withResolved(d.Entry, used, true, now)
		e.pending -= used
		if d.Round != e.Round {
			p = p.withResolved(d.Entry, e.pending, false, now)
			e.pending, e.issued, e.expired, e.roundAt = 0, 0, 0, now
		}
		if p.limiter != nil {
			p.limiter = p.limiter.WithResponses(d.Responses.Minus(e.Responses), p.inProgress+len(p.pending), now)
		}
	}
	e.Demand, e.heardAt = d, now
	p.entries[d.Entry] = e
	return p
}

// withResolved removes the oldest pending grants of an entry. Those that were used, or may have been, count as requests.
func (p Pacer) withResolved(name string, count int, isUsed bool, now time.Duration) Pacer {
	if count == 0 {
		return p
	}
	kept := make([]pendingGrant, 0, len(p.pending))
	p.sent = slices.Clone(p.sent)
	for _, g := range p.pending {
		if g.entry != name || count == 0 {
			kept = append(kept, g)
			continue
		}
		count--
		if isUsed {
			p.sent = append(p.sent, now+Transit)
		} else {
			p.tokens = min(burst, p.tokens+1)
		}
	}
	p.pending = kept
	return p
}

// leastTurn returns the turn of an entry that joins.
func (p Pacer) leastTurn() float64 {
	least := -1.0
	for _, e := range p.entries {
		if least < 0 || e.turn < least {
			least = e.turn
		}
	}
	return max(0, least)
}

// withoutExpired counts the grants as requests that have expired without word of their use, and forgets the requests
// that are older than the window and the entries that are silent.
func (p Pacer) withoutExpired(now time.Duration) Pacer {
	isExpired := func(g pendingGrant) bool { return now-g.at >= Validity }
	if slices.ContainsFunc(p.pending, isExpired) {
		p.sent, p.entries = slices.Clone(p.sent), maps.Clone(p.entries)
		for _, g := range p.pending {
			if !isExpired(g) {
				continue
			}
			p.sent = append(p.sent, g.at+Validity+Transit)
			e := p.entries[g.entry]
			e.pending--
			e.expired++
			p.entries[g.entry] = e
		}
		p.pending = slices.DeleteFunc(slices.Clone(p.pending), isExpired)
	}
	isOld := func(at time.Duration) bool { return now-at > window }
	if slices.ContainsFunc(p.sent, isOld) {
		p.sent = slices.DeleteFunc(slices.Clone(p.sent), isOld)
	}
	isSilent := func(_ string, e entry) bool { return e.pending == 0 && now-e.heardAt > RestartTime }
	for name, e := range p.entries {
		if isSilent(name, e) {
			p.entries = maps.Clone(p.entries)
			maps.DeleteFunc(p.entries, isSilent)
			break
		}
	}
	return p
}

// WithReport records the requests that the engine reports and issues the grants that the bounds allow.
func (p Pacer) WithReport(running, waiting int, now time.Duration) Pacer {
	p = p.withoutExpired(now)
	open := 0
	for _, e := range p.entries {
		open += e.Open
	}
	p.inProgress = max(open, running+waiting)
	if p.limiter != nil && !p.isCold(now) && p.limiter.IsDone(now) {
		p.limiter = nil
	}
	rate := p.config.PerSecond
	p.tokens = min(burst, p.tokens+rate*(now-p.tokensAt).Seconds())
	p.tokensAt = now
	if !p.IsPaced(now) || now-p.startedAt < RestartTime {
		return p
	}
	p.entries = maps.Clone(p.entries)
	p.pending = slices.Clone(p.pending)
	for {
		if p.limiter != nil && float64(p.inProgress+len(p.pending)+1) > p.limiter.Limit(now) {
			return p
		}
		if p.isCold(now) && (len(p.pending)+len(p.sent) >= maxPotential(rate) || p.tokens < 1) {
			return p
		}
		name, ok := p.next(now)
		if !ok {
			return p
		}
		e := p.entries[name]
		e.issued++
		e.pending++
		e.turn += 1 / float64(min(maxWeight, max(1, e.Wants, e.Waiting)))
		p.entries[name] = e
		p.pending = append(p.pending, pendingGrant{entry: name, at: now})
		if p.isCold(now) {
			p.tokens--
		}
	}
}

// next returns the entry that gets the next grant: one with waiting requests if there is any, and among those the one
// that has got the least for what it wants.
func (p Pacer) next(now time.Duration) (name string, ok bool) {
	isWaiting := false
	var best entry
	for candidate, e := range p.entries {
		waits := e.Waiting > e.pending
		if now-e.roundAt > Validity-leastUse || !waits && e.Wants <= e.pending || ok && isWaiting && !waits {
			continue
		}
		if !ok || waits && !isWaiting || cmp.Or(cmp.Compare(e.turn, best.turn), cmp.Compare(candidate, name)) < 0 {
			name, best, isWaiting, ok = candidate, e, waits, true
		}
	}
	return name, ok
}

// Grants returns the grants that may still be used, sorted by entry. Each message repeats them, because one may be lost.
func (p Pacer) Grants(now time.Duration) []Grant {
	var list []Grant
	if !p.IsPaced(now) {
		return nil
	}
	for name, e := range p.entries {
		if e.pending > 0 && now-e.roundAt < Validity {
			list = append(list, Grant{Entry: name, Count: e.issued, Round: e.Round})
		}
	}
	slices.SortFunc(list, func(a, b Grant) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}
