package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/throttler"
)

type (
	throttle  = throttler.Throttler[string]
	statement = throttler.Statement[string]
)

func newThrottle(self string, now time.Duration) throttle {
	return throttler.New[string](throttler.Config{}, self, now)
}

const minute = time.Minute

// TestLimitIsInForceUntilAnotherStatement guards against a limit that outlasts its name, and against an older statement
// that replaces a newer one.
func TestLimitIsInForceUntilAnotherStatement(t *testing.T) {
	q := newThrottle("a", 0)
	q = q.WithStatement(statement{Endpoint: "e", PerSecond: throttler.None, At: minute})
	assert.Assert(t, !q.HasLimits())
	q = q.WithStatement(statement{Endpoint: "e", PerSecond: 2, At: minute})
	ok, after := q.Allows("e", minute)
	assert.Assert(t, !ok && after > 0)
	assert.Assert(t, q.WithStatements([]statement{{Endpoint: "e", PerSecond: throttler.None, At: minute - 1}}, minute).IsLimited("e"))
	assert.Assert(t, !q.WithStatements([]statement{{Endpoint: "e", PerSecond: throttler.None, At: minute + 1}}, minute+1).IsLimited("e"))
	assert.Assert(t, !q.WithoutExpired(minute+throttler.DefaultRetention+1).IsLimited("e"))
	ok, _ = q.Allows("other", minute)
	assert.Assert(t, ok)
}

// TestStatementsOfOthersAreNotPassedOn guards against a statement that grows younger as it goes round.
func TestStatementsOfOthersAreNotPassedOn(t *testing.T) {
	q := newThrottle("a", 0).WithStatements([]statement{{Endpoint: "e", PerSecond: 2, At: minute}}, minute)
	assert.Equal(t, len(q.Statements()), 0)
	assert.Equal(t, len(q.WithStatement(statement{Endpoint: "e", PerSecond: 2, At: minute + 1}).Statements()), 1)
}

// TestNewProcessUsesNoLimit guards against a process that takes the whole limit before it knows the other members.
func TestNewProcessUsesNoLimit(t *testing.T) {
	q := newThrottle("a", minute).WithStatement(statement{Endpoint: "e", PerSecond: 100, At: minute})
	ok, after := q.Allows("e", minute+time.Second)
	assert.Assert(t, !ok)
	assert.Equal(t, after, throttler.DefaultJoinTime-time.Second)
	ok, _ = q.Allows("e", minute+throttler.DefaultJoinTime)
	assert.Assert(t, ok)
}

// TestStatementIsRenewed guards against a limit that nobody learns the end of, because no request goes to the endpoint.
func TestStatementIsRenewed(t *testing.T) {
	q := newThrottle("a", 0).WithStatement(statement{Endpoint: "e", PerSecond: 0, At: minute})
	assert.Assert(t, !q.IsDue("e", minute+time.Second))
	now := minute + 10*time.Second
	assert.Assert(t, q.IsDue("e", now))
	assert.Assert(t, !q.WithSend("e", now).IsDue("e", now))
}

// TestUsersShareTheLimit guards against users that together exceed the limit, or together use little of it.
func TestUsersShareTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.3, 50).Draw(t, "limit")
		members := make([]string, rapid.IntRange(1, 70).Draw(t, "members"))
		for i := range members {
			members[i] = fmt.Sprintf("entry-%d", i)
		}
		total, users := 0.0, 0
		for _, m := range members {
			q := newThrottle(m, 0).WithMembers(members, 0).WithStatement(statement{Endpoint: "e", PerSecond: limit, At: minute})
			_, share := q.Limit("e")
			total += share
			if share > 0 {
				users++
			}
		}
		assert.Assert(t, users > 0 && float64(users) <= 2*limit+2)
		assert.Assert(t, total <= limit+0.1, "shares of %d users are %v of %v", users, total, limit)
		assert.Assert(t, total >= 0.85*limit, "shares of %d users are %v of %v", users, total, limit)
	})
}

// entry is an entry of the simulated fleet.
type entry struct {
	name  string
	state throttle
	// isCut means that no messages reach the entry or leave it.
	isCut bool
	// heard holds the times of the last messages from the other entries.
	heard     map[string]time.Duration
	toldAt    time.Duration
	startedAt time.Duration
}

// members returns the entries that have sent a message lately.
func (e *entry) members(now time.Duration) []string {
	list := []string{}
	for name, at := range e.heard {
		if now-at < memberTime {
			list = append(list, name)
		}
	}
	return list
}

// fleet is a simulated fleet whose entries send requests to one limited endpoint as often as they may.
type fleet struct {
	rng     *rand.Rand
	entries []*entry
	started int
	// sends are the times of the requests that the endpoint gets from entries which it has told.
	sends []time.Duration
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(size)))}
	for i := range size {
		f.entries = append(f.entries, f.start(fmt.Sprintf("entry-%d", i), -minute))
	}
	return f
}

// mostWithin returns the largest number of sends from begin on in any window of the given length.
func (f *fleet) mostWithin(begin, window time.Duration) int {
	most := 0
	for i, first := range f.sends {
		n := 0
		for _, at := range f.sends[i:] {
			if first >= begin && at-first < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (f *fleet) start(name string, now time.Duration) *entry {
	return &entry{name: name, state: newThrottle(name, now), heard: map[string]time.Duration{}, toldAt: -1, startedAt: now}
}

const (
	step         = 40 * time.Millisecond
	memberTime   = 20 * time.Second
	messageEvery = 0.8
)

func (f *fleet) chance(perSecond float64) bool { return f.rng.Float64() < perSecond*step.Seconds() }

// message delivers one entry's statements to another one.
func (f *fleet) message(from, to *entry, now time.Duration) {
	if from.isCut || to.isCut || f.rng.Float64() < 0.1 {
		return
	}
	to.heard[from.name] = now
	to.state = to.state.WithStatements(from.state.Statements(), now)
}

// change lets an entry come, restart, lose touch or regain it.
func (f *fleet) change(now time.Duration) {
	n := f.rng.IntN(len(f.entries))
	switch f.rng.IntN(4) {
	case 0:
		f.started++
		f.entries = append(f.entries, f.start(fmt.Sprintf("late-%d", f.started), now))
	case 1:
		f.entries[n] = f.start(f.entries[n].name, now)
	case 2:
		if len(f.entries) > 1 {
			f.entries = append(f.entries[:n], f.entries[n+1:]...)
		}
	default:
		f.entries[n].isCut = !f.entries[n].isCut
	}
}

// play sends requests for 60 s. The endpoint names the limit from the tenth second on.
func (f *fleet) play(limit, demand, changes float64) {
	for now := time.Duration(0); now < minute; now += step {
		for _, e := range f.entries {
			for _, other := range f.entries {
				if other != e && f.chance(1/messageEvery) {
					f.message(e, other, now)
				}
			}
			if f.chance(2) {
				e.state = e.state.WithMembers(e.members(now), now)
			}
			if !f.chance(demand / float64(len(f.entries))) {
				continue
			}
			if ok, _ := e.state.Allows("e", now); !ok {
				continue
			}
			e.state = e.state.WithSend("e", now)
			// The rule excuses an entry that has restarted or is cut off.
			if e.toldAt >= 0 && now-e.toldAt > 500*time.Millisecond && !e.isCut {
				f.sends = append(f.sends, now)
			}
			if now >= 10*time.Second {
				e.state = e.state.WithStatement(statement{Endpoint: "e", PerSecond: limit, At: now})
				if e.toldAt < 0 {
					e.toldAt = now
				}
			}
		}
		if f.chance(changes) {
			f.change(now)
		}
	}
}

// TestLimitHoldsOverTheFleet guards against a fleet that exceeds a limit by more than half and five requests in 4 s, while
// its entries come, go, restart and lose touch.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	for _, size := range []int{1, 5, 21, 60} {
		for _, limit := range []float64{0.25, 1, 4, 20} {
			for seed := range uint64(2) {
				f := newFleet(seed, size)
				f.play(limit, 100, 0.3)
				most := f.mostWithin(13*time.Second, 4*time.Second)
				assert.Assert(t, float64(most) <= 1.5*4*limit+5, "%d entries, limit %v, seed %d: %d in 4 s", size, limit, seed, most)
			}
		}
	}
}

// TestLimitIsUsed guards against a fleet that gives an endpoint much less than the limit which it has named.
func TestLimitIsUsed(t *testing.T) {
	for _, size := range []int{1, 5, 21, 60} {
		for _, limit := range []float64{0.25, 1, 4, 20} {
			f := newFleet(1, size)
			f.play(limit, 100, 0)
			const seconds = 45
			assert.Assert(t, float64(len(f.sends)) > 0.6*limit*seconds, "%d entries, limit %v: %d in %d s", size, limit, len(f.sends), seconds)
		}
	}
}
