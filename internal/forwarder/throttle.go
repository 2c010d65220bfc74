package forwarder

import (
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/wire"
	"geraniumladder/pkg/throttler"
)

// throttle is this entry's share of the limits that endpoints name in their answers. It is safe for concurrent use.
type throttle struct {
	clock
	log zerolog.Logger

	mu    sync.Mutex
	state throttler.Throttler[string]
	// announced holds the limits that were last logged and told the other entries at once. Smaller changes are told with
	// the next message.
	announced map[string]float64
}

// significantChange is the part of a limit by which it must change to be announced.
const significantChange = 0.1

// announce reports whether the limit of the endpoint has changed much since it was last announced, and logs it if so.
func (t *throttle) announce(endpoint string, isOwn bool) bool {
	current, share := t.state.Limit(endpoint)
	previous, isKnown := t.announced[endpoint]
	if !isKnown {
		previous = throttler.None
	}
	isSmall := current >= 0 && previous >= 0 && math.Abs(current-previous) <= significantChange*previous
	if isSmall || current == previous {
		return false
	}
	if current == throttler.None {
		delete(t.announced, endpoint)
	} else {
		t.announced[endpoint] = current
	}
	t.log.Info().Str("Endpoint", endpoint).Float64("PerSecond", current).Float64("Was", previous).Float64("Share", share).Bool("IsOwn", isOwn).
		Msg("forwarder: endpoint's named limit changed")
	return true
}

func newThrottle(vm string, c clock, log zerolog.Logger) *throttle {
	return &throttle{clock: c, log: log, state: throttler.New[string](throttler.Config{}, vm, 0), announced: map[string]float64{}}
}

// record records what an answer of the endpoint says and reports whether the other entries should be told at once.
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
	t.state = t.state.WithStatement(throttler.Statement[string]{Endpoint: e.key, PerSecond: limit, At: t.elapsed()})
	return t.announce(e.key, true)
}

// merge records what answers to another entry say.
func (t *throttle) merge(limits []wire.EndpointLimit) {
	if len(limits) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.elapsed()
	statements := make([]throttler.Statement[string], len(limits))
	for i, l := range limits {
		statements[i] = throttler.Statement[string]{
			Endpoint: l.Incarnation, PerSecond: l.PerSecond, At: t.timeOfAge(l.AgeMilliseconds),
		}
	}
	t.state = t.state.WithStatements(statements, now)
	for _, s := range statements {
		t.announce(s.Endpoint, false)
	}
}

// limits returns what the other entries need to know.
func (t *throttle) limits() []wire.EndpointLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	statements := t.state.Statements()
	list := make([]wire.EndpointLimit, len(statements))
	for i, s := range statements {
		list[i] = wire.EndpointLimit{Incarnation: s.Endpoint, PerSecond: s.PerSecond, AgeMilliseconds: t.ageMilliseconds(s.At)}
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
	for endpoint := range t.announced {
		t.announce(endpoint, false)
	}
}

// recordLimit records what an answer says of the endpoint's limit, and tells the other entries at once if that is new.
func (f *Forwarder) recordLimit(e *endpoint, info ResponseInfo) {
	if f.throttle.record(e, info) && f.config.OnEvidence != nil {
		f.config.OnEvidence()
	}
}

// Limits returns what endpoints have said of their limits in answers to this entry, for the other entries.
func (f *Forwarder) Limits() []wire.EndpointLimit { return f.throttle.limits() }

// AddLimits adds what endpoints have said in answers to another entry.
func (f *Forwarder) AddLimits(limits []wire.EndpointLimit) { f.throttle.merge(limits) }
