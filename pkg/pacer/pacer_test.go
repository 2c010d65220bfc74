package pacer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/pacer"
	"geraniumladder/pkg/throttler"
)

const (
	step         = 10 * time.Millisecond
	silenceLimit = 2500 * time.Millisecond
	endpointName = "engine"
)

// message is a datagram on its way.
type message struct {
	at time.Duration
	// from is the run of the sender; filters drop what is older than the last message of the run.
	from     string
	sequence int
	demand   pacer.Demand
	isPaced  bool
	grants   []pacer.Grant
}

// simulatedEntry is an entry process as the forwarder runs it.
type simulatedEntry struct {
	name, boot, lastFrom           string
	holder                         pacer.Holder
	shares                         throttler.Throttler[string]
	heardAt, pausedUntil, cutUntil time.Duration
	inbox                          []message
	last, open, wants              int
	responses                      pacer.Responses
}

// simulation is a sidecar, its entries and the messages between them.
type simulation struct {
	rng               *rand.Rand
	pacer             pacer.Pacer
	config            pacer.Config
	sidecar, sequence int
	entries           []*simulatedEntry
	toSidecar         []message
	seen              map[string]int
	arrivals          []time.Duration
	running           []running
	loss              float64
	// hold makes the entries use grants only in the first 50 ms of each such period; 0 lets them use grants at any time.
	now, maxDelay, service, demandInterval, hold time.Duration
}

type running struct {
	entry *simulatedEntry
	endAt time.Duration
}

func newSimulation(seed uint64, entries int, c pacer.Config) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), config: c, seen: map[string]int{}, service: time.Second, now: time.Minute, demandInterval: 6 * step}
	for i := range entries {
		s.entries = append(s.entries, &simulatedEntry{name: fmt.Sprint("entry", i), wants: 5})
	}
	for _, e := range s.entries {
		s.restartEntry(e)
	}
	s.restartSidecar()
	return s
}

func (s *simulation) restartSidecar() {
	s.sidecar, s.sequence, s.seen = s.sidecar+1, 0, map[string]int{}
	s.pacer = pacer.New(s.now).WithConfig(s.config)
}

func (s *simulation) restartEntry(e *simulatedEntry) {
	var members []string
	for _, other := range s.entries {
		members = append(members, other.name)
	}
	e.boot, e.heardAt = strconv.Itoa(s.rng.Int()), s.now
	e.holder = pacer.NewHolder(s.rng.Int64N(1 << 40))
	e.shares = throttler.New[string](throttler.Config{MaxUsers: pacer.FallbackUsers}, e.name, s.now).WithMembers(members, s.now)
	e.inbox, e.open, e.responses = nil, 0, pacer.Responses{}
}

// deliver returns the arrival time of a message, or false if it is lost.
func (s *simulation) deliver(e *simulatedEntry) (time.Duration, bool) {
	if s.now < e.cutUntil || s.rng.Float64() < s.loss {
		return 0, false
	}
	return s.now + time.Duration(s.rng.Int64N(int64(s.maxDelay)+1)), true
}

// stepSidecar handles the demands, and issues and sends grants.
func (s *simulation) stepSidecar() {
	var due []message
	due, s.toSidecar = split(s.toSidecar, s.now)
	for _, m := range due {
		if last, ok := s.seen[m.from]; ok && last >= m.sequence {
			continue
		}
		s.seen[m.from] = m.sequence
		s.pacer = s.pacer.WithCold(2*time.Second, s.now)
		s.pacer = s.pacer.WithDemand(m.demand, s.now)
	}
	s.pacer = s.pacer.WithReport(len(s.running), 0, s.now)
	if s.now%(5*step) != 0 {
		return
	}
	s.sequence++
	for _, e := range s.entries {
		if at, ok := s.deliver(e); ok {
			e.inbox = append(e.inbox, message{
				at: at, from: strconv.Itoa(s.sidecar), sequence: s.sequence, isPaced: s.pacer.IsPaced(s.now), grants: s.pacer.Grants(s.now),
			})
		}
	}
}

func split(list []message, now time.Duration) (due, rest []message) {
	for _, m := range list {
		if m.at <= now {
			due = append(due, m)
		} else {
			rest = append(rest, m)
		}
	}
	slices.SortStableFunc(due, func(a, b message) int { return int(a.at - b.at) })
	return due, rest
}

// stepEntry handles the sidecar's messages, sends what is allowed and says what is wanted. sendsFirst makes it use what it
// held before it reads the messages, as a process may that was paused.
func (s *simulation) stepEntry(e *simulatedEntry, sequence int, sendsFirst bool) {
	if s.now < e.pausedUntil {
		return
	}
	if sendsFirst {
		s.sendAllowed(e)
	}
	var due []message
	due, e.inbox = split(e.inbox, s.now)
	for _, m := range due {
		if m.from == e.lastFrom && m.sequence <= e.last {
			continue
		}
		e.lastFrom, e.last = m.from, m.sequence
		if m.isPaced {
			e.heardAt = s.now
		}
		for _, g := range m.grants {
			if g.Entry == e.name {
				e.holder = e.holder.WithGrants(g.Round, g.Count)
			}
		}
	}
	s.sendAllowed(e)
	if s.now%s.demandInterval != 0 {
		return
	}
	e.holder = e.holder.WithRound(s.now)
	if at, ok := s.deliver(e); ok {
		s.toSidecar = append(s.toSidecar, message{at: at, from: e.boot, sequence: sequence, demand: pacer.Demand{
			Entry: e.name, Boot: e.boot, Round: e.holder.Round(), Wants: e.wants, Open: e.open, Taken: e.holder.Taken(), Responses: e.responses,
		}})
	}
}

func (s *simulation) sendAllowed(e *simulatedEntry) {
	isHeld := s.hold > 0 && s.now%s.hold > 50*time.Millisecond
	for e.wants > 0 && !isHeld && e.holder.Available(s.now) > 0 && s.rng.IntN(3) > 0 {
		e.holder = e.holder.WithTaken()
		s.arrive(e)
	}
	if s.config.PerSecond == 0 || s.now-e.heardAt < silenceLimit {
		return
	}
	e.shares = e.shares.WithStatements([]throttler.Statement[string]{
		{Endpoint: endpointName, PerSecond: pacer.FallbackRate(s.config.PerSecond, true), At: s.now},
	}, s.now)
	if ok, _ := e.shares.Allows(endpointName, s.now); ok {
		e.shares = e.shares.WithSend(endpointName, s.now)
		s.arrive(e)
	}
}

func (s *simulation) arrive(e *simulatedEntry) {
	s.arrivals = append(s.arrivals, s.now+time.Duration(s.rng.Int64N(int64(pacer.Transit))))
	e.open++
	s.running = append(s.running, running{e, s.now + s.service})
}

// run plays until a time and returns the number of responses.
func (s *simulation) run(until time.Duration, disturb func()) int {
	ended := 0
	for sequence := int(s.now / step); s.now < until; s.now += step {
		sequence++
		s.running = slices.DeleteFunc(s.running, func(r running) bool {
			if r.endAt > s.now {
				return false
			}
			ended++
			r.entry.open = max(0, r.entry.open-1)
			r.entry.responses.Timely++
			return true
		})
		if disturb != nil {
			disturb()
		}
		s.stepSidecar()
		for _, e := range s.entries {
			s.stepEntry(e, sequence, s.rng.IntN(2) == 0)
		}
	}
	return ended
}

// TestRateOfColdEndpointIsBounded guards against more requests to a cold endpoint than the bound in any sliding second,
// with lost, late and reordered messages, restarts of the sidecar and of entries, pauses and partitions.
func TestRateOfColdEndpointIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{2, 6.5, 40, 100}).Draw(t, "per second")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 20).Draw(t, "entries"), pacer.Config{
			PerSecond: perSecond, NewLimiter: func(int, int, time.Duration) pacer.Limiter { return pacer.Unlimited{} },
		})
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
		s.maxDelay = time.Duration(rapid.SampledFrom([]int{1, 100, 1500}).Draw(t, "delay")) * time.Millisecond
		s.service = 50 * time.Millisecond
		s.hold = time.Duration(rapid.SampledFrom([]int{0, 300, 700, 950}).Draw(t, "hold")) * time.Millisecond
		s.demandInterval = time.Duration(rapid.SampledFrom([]int{60, 300, 900}).Draw(t, "demand")) * time.Millisecond
		for _, e := range s.entries {
			e.wants = 50
		}
		rarity := rapid.SampledFrom([]int{100, 500, 100000}).Draw(t, "rarity")
		s.run(time.Minute+12*time.Second, func() {
			e, span := s.entries[s.rng.IntN(len(s.entries))], time.Duration(s.rng.Int64N(int64(4*time.Second)))
			switch s.rng.IntN(rarity) {
			case 0:
				e.pausedUntil = s.now + span
			case 1:
				s.restartEntry(e)
			case 2:
				e.cutUntil = s.now + span
			case 3:
				if s.rng.IntN(4) == 0 {
					s.restartSidecar()
				}
			}
		})
		slices.Sort(s.arrivals)
		bound := int(perSecond*pacer.Overage + pacer.Slack)
		for i := range s.arrivals {
			if j := i + bound; j < len(s.arrivals) && s.arrivals[j]-s.arrivals[i] <= time.Second {
				t.Fatalf("%d requests within a second from %v, at most %d allowed", bound+1, s.arrivals[i], bound)
			}
		}
	})
}

// TestGrantsCountUntilKnownUnused guards against grants that are given again although they may still be used: by entries
// that are cut off or have restarted, and by those who got them from an earlier sidecar.
func TestGrantsCountUntilKnownUnused(t *testing.T) {
	const perSecond = 100.0
	bound, reserved := perSecond*pacer.Overage+pacer.Slack, pacer.FallbackUsers+pacer.FallbackRate(perSecond, true)
	begin := pacer.RestartTime
	demand := func(p pacer.Pacer, name string, round int64, taken int, boot string, now time.Duration) pacer.Pacer {
		return p.WithDemand(pacer.Demand{Entry: name, Boot: boot, Round: round, Wants: 500, Taken: taken}, now)
	}
	for name, learn := range map[string]func(p pacer.Pacer, held int, now time.Duration) pacer.Pacer{
		"nothing": func(p pacer.Pacer, _ int, _ time.Duration) pacer.Pacer { return p },
		"used":    func(p pacer.Pacer, held int, now time.Duration) pacer.Pacer { return demand(p, "a", 2, held, "x", now) },
		"restart": func(p pacer.Pacer, _ int, now time.Duration) pacer.Pacer { return demand(p, "a", 1, 0, "y", now) },
		"sidecar": func(_ pacer.Pacer, _ int, now time.Duration) pacer.Pacer {
			return pacer.New(now).WithConfig(pacer.Config{PerSecond: perSecond}).WithCold(time.Hour, now)
		},
		"unused": func(p pacer.Pacer, _ int, now time.Duration) pacer.Pacer {
			return p.WithDemand(pacer.Demand{Entry: "a", Boot: "x", Round: 2}, now)
		},
	} {
		p := pacer.New(0).WithConfig(pacer.Config{
			PerSecond: perSecond, NewLimiter: func(int, int, time.Duration) pacer.Limiter { return pacer.Unlimited{} },
		}).WithCold(time.Hour, 0)
		now := begin
		for p = demand(p, "a", 1, 0, "x", now); now < begin+980*time.Millisecond; now += step {
			p = p.WithReport(0, 0, now)
		}
		held := p.Grants(begin)[0].Count
		assert.Assert(t, held > 70, "%s: %d", name, held)
		p = learn(p, held, now)
		taken := 0
		for round := int64(1); now < begin+1970*time.Millisecond; now += step {
			// Another entry uses all that it gets at once.
			p = demand(p, "b", round, taken, "x", now).WithReport(0, 0, now)
			for _, g := range p.Grants(now) {
				if g.Entry == "b" {
					taken += g.Count
					round++
				}
			}
		}
		if name == "unused" {
			assert.Assert(t, taken > 90, "%d grants in a second", taken)
			continue
		}
		assert.Assert(t, float64(held+taken)+reserved <= bound, "%s: %d, then %d grants, %v reserved", name, held, taken, reserved)
	}
}

// TestOldGrantsAreNotUsed guards against an entry that uses grants after it was paused, of an earlier round or of an
// earlier process, or one grant twice because the message was repeated.
func TestOldGrantsAreNotUsed(t *testing.T) {
	h := pacer.NewHolder(7).WithRound(time.Second).WithGrants(7, 3).WithGrants(8, 1)
	assert.Equal(t, h.Available(time.Second), 1)
	assert.Equal(t, h.Available(time.Second+pacer.Validity), 0)
	assert.Equal(t, h.WithTaken().WithGrants(8, 1).Available(time.Second), 0)
	assert.Equal(t, h.WithRound(time.Second+pacer.RoundInterval).WithGrants(8, 2).Available(time.Second+pacer.RoundInterval), 0)
}

// TestColdEndpointIsUsed guards against grants that are given to entries which don't need them while the rate stays
// unused.
func TestColdEndpointIsUsed(t *testing.T) {
	s := newSimulation(1, 31, pacer.Config{PerSecond: 6.5, Capacity: 100})
	s.maxDelay, s.service = 5*time.Millisecond, 200*time.Millisecond
	for _, e := range s.entries[4:] {
		e.wants = 0
	}
	s.run(time.Minute+4*time.Second, nil)
	ended := s.run(time.Minute+14*time.Second, nil)
	assert.Assert(t, ended >= 58 && ended <= 70, "%d requests in 10 s", ended)
}

// TestHealthyEndpointReachesItsRate guards against pacing that leaves a healthy endpoint idle, and against too many
// requests before its first responses.
func TestHealthyEndpointReachesItsRate(t *testing.T) {
	for _, capacity := range []int{8, 48, 256} {
		for _, service := range []time.Duration{200 * time.Millisecond, time.Second} {
			s := newSimulation(3, 31, pacer.Config{Capacity: capacity})
			s.maxDelay, s.service = 5*time.Millisecond, service
			for _, e := range s.entries {
				e.wants = capacity/16 + 1
			}
			// The sidecar has run for a while when its engine restarts.
			s.run(time.Minute+3*time.Second, nil)
			s.pacer = s.pacer.WithStart(0, s.now)
			begin := s.now
			s.run(begin+service, nil)
			assert.Assert(t, len(s.running) <= pacer.DefaultInitial, "%d requests before the first responses", len(s.running))
			rounds := math.Log2(0.9*float64(capacity)/pacer.DefaultInitial) + 1
			bound := begin + time.Duration(rounds*float64(service+300*time.Millisecond)) + time.Second
			for s.pacer.IsPaced(s.now) && float64(len(s.running)) < 0.9*float64(capacity) && s.now < bound {
				s.run(s.now+step, nil)
			}
			t.Logf("capacity %d, responses of %v: %v", capacity, service, s.now-begin)
			assert.Assert(t, s.now < bound, "capacity %d: %d requests in progress after %v", capacity, len(s.running), s.now-begin)
		}
	}
}

// TestNobodyStarves guards against an entry that never gets a grant because others want more, and against an endpoint
// whose limit doesn't fall when every response is late, or that is limited for ever then.
func TestNobodyStarves(t *testing.T) {
	// The limit lasts long enough for each entry to have several turns.
	p := pacer.New(0).WithConfig(pacer.Config{Capacity: 50, NewLimiter: func(capacity, inProgress int, now time.Duration) pacer.Limiter {
		return pacer.NewAdaptive(pacer.AdaptiveConfig{MaxTime: 30 * time.Second}, capacity, inProgress, now)
	}}).WithStart(0, 0)
	got, round, now := map[string]int{}, int64(0), pacer.RestartTime
	for ; p.IsPaced(now) && now < time.Hour; now += 100 * time.Millisecond {
		round++
		for i := range 30 {
			name, wants := strconv.Itoa(i), min(10, 1+9*i)
			p = p.WithDemand(pacer.Demand{
				Entry: name, Boot: "b", Round: round, Wants: wants, Taken: got[name], Responses: pacer.Responses{Late: got[name]},
			}, now)
		}
		p = p.WithReport(0, 0, now)
		grants := p.Grants(now)
		if p.IsPaced(now) {
			assert.Assert(t, len(grants) > 0, "no grant at %v", now)
			if now > 10*time.Second {
				assert.Equal(t, p.Limit(now), float64(pacer.DefaultMin))
			}
		}
		for _, g := range grants {
			got[g.Entry] += g.Count
		}
	}
	assert.Assert(t, now <= 31*time.Second, "limited for %v", now)
	assert.Assert(t, got["0"] > 1, "%v", got)
}
