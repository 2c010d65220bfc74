package forwarder

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/throttler"
)

// throttle is this entry's share of the limits that endpoints name in their answers. It is safe for concurrent use.
type throttle struct {
	now func() time.Time
	log zerolog.Logger
	// start is the origin of the times in state.
	start time.Time

	mu    sync.Mutex
	state throttler.Throttler[string]
}

func newThrottle(vm string, start time.Time, now func() time.Time, log zerolog.Logger) *throttle {
	return &throttle{now: now, log: log, start: start, state: throttler.New[string](throttler.Config{}, vm, 0)}
}

func (t *throttle) elapsed() time.Duration { return t.now().Sub(t.start) }

// record records what an answer of the endpoint says and reports whether that is new.
func (t *throttle) record(e *endpoint, info ResponseInfo) bool {
	if !info.HasLimit && info.IsNotRun {
		// Only an answer of the engine shows that there is no limit.
		return false
	}
	limit := float64(throttler.None)
	if info.HasLimit {
		limit = info.RequestLimit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, _ := t.state.Limit(e.key)
	t.state = t.state.WithStatement(throttler.Statement[string]{Endpoint: e.key, PerSecond: limit, At: t.elapsed()})
	current, share := t.state.Limit(e.key)
	if current == previous {
		return false
	}
	t.log.Info().Str("Endpoint", e.ID).Float64("PerSecond", current).Float64("Was", previous).Float64("Share", share).
		Msg("forwarder: endpoint's named limit changed")
	return true
}

// merge records what answers to another entry say.
func (t *throttle) merge(limits []wire.EndpointLimit) {
	if len(limits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	for _, l := range limits {
		previous, _ := t.state.Limit(l.Incarnation)
		t.state = t.state.WithStatements([]throttler.Statement[string]{{
			Endpoint: l.Incarnation, PerSecond: l.PerSecond, At: now - time.Duration(l.AgeMilliseconds)*time.Millisecond,
		}}, now)
		if current, share := t.state.Limit(l.Incarnation); current != previous {
			t.log.Info().Str("Endpoint", l.Incarnation).Float64("PerSecond", current).Float64("Was", previous).Float64("Share", share).
				Msg("forwarder: endpoint's named limit changed, as another entry says")
		}
	}
}

// limits returns what the other entries need to know.
func (t *throttle) limits() []wire.EndpointLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	statements := t.state.Statements()
	list := make([]wire.EndpointLimit, len(statements))
	for i, s := range statements {
		list[i] = wire.EndpointLimit{Incarnation: s.Endpoint, PerSecond: s.PerSecond, AgeMilliseconds: (now - s.At).Milliseconds()}
	}
	return list
}

// allows reports whether a request may be sent to the endpoint now, and whether one should be.
func (t *throttle) allows(e *endpoint) (ok, isDue bool, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.state.HasLimits() {
		return true, false, 0
	}
	now := t.elapsed()
	ok, after = t.state.Allows(e.key, now)
	return ok, ok && t.state.IsDue(e.key, now), after
}

// take counts a request that is about to be sent to the endpoint, unless its limit doesn't allow that.
func (t *throttle) take(e *endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	ok, _ := t.state.Allows(e.key, now)
	if ok {
		t.state = t.state.WithSend(e.key, now)
	}
	return ok
}

// update applies the current members and removes what no longer counts.
func (t *throttle) update(members []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	t.state = t.state.WithMembers(members, now).WithoutExpired(now)
}

// recordLimit records what an answer says of the endpoint's limit, and tells the other entries soon if that is new.
func (f *Forwarder) recordLimit(e *endpoint, info ResponseInfo) {
	if f.throttle.record(e, info) && f.config.OnEvidence != nil {
		f.config.OnEvidence()
	}
}

// Limits returns what endpoints have said of their limits in answers to this entry, for the other entries.
func (f *Forwarder) Limits() []wire.EndpointLimit { return f.throttle.limits() }

// AddLimits adds what endpoints have said in answers to another entry.
func (f *Forwarder) AddLimits(limits []wire.EndpointLimit) { f.throttle.merge(limits) }
