package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/budgeter"
)

// replay plays loads through entries with a store that carries storeSize transfers at full speed.
type replay struct {
	policy             budgeter.Policy
	entries, storeSize int
	perSecond          float64
	seed               uint64
}

type outcome struct {
	value              float64
	requests, maxStart int
	// mean and most are of the transfers in flight after the first ten seconds, and limit is the first entry's.
	mean  float64
	most  int
	limit float64
}

type transfer struct {
	budgeter.Load[int]
	entry           int
	left            float64
	begin, deadline time.Duration
	objective       time.Duration
	visibleAt       time.Duration
}

// run returns the outcome of 20 s. Each request is for an adapter of its own; objectives are 1 s and deadlines 5 s. Entries
// see starts and ends 30 ms late. Time passes in steps of 5 ms.
func (p replay) run() outcome {
	const step, base, delay = 5 * time.Millisecond, 250 * time.Millisecond, 30 * time.Millisecond
	rng := rand.New(rand.NewPCG(p.seed, 1))
	entries := make([]budgeter.Budgeter[int], p.entries)
	for i := range entries {
		entries[i] = budgeter.New[int](budgeter.Config{Policy: p.policy}).WithProcesses(p.entries, false)
	}
	type request struct {
		adapter, entry int
		since          time.Duration
	}
	waiting, running, ended := map[int]request{}, []*transfer{}, []*transfer{}
	var out outcome
	sum, steps, adapter := 0.0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for mean := p.perSecond * step.Seconds(); rng.Float64() < mean/(1+mean); {
			adapter++
			e := rng.IntN(p.entries)
			waiting[adapter] = request{adapter: adapter, entry: e, since: now}
			entries[e] = entries[e].WithRequest(adapter, budgeter.Request{ID: uint64(adapter), Since: now, Objective: now + time.Second, Deadline: now + 5*time.Second}, now)
			out.requests++
		}
		speed := min(1, float64(p.storeSize)/float64(max(1, len(running))))
		left := running[:0]
		for _, x := range running {
			x.left -= speed * step.Seconds() / base.Seconds()
			if x.left > 0 {
				left = append(left, x)
				continue
			}
			if now <= x.objective {
				out.value++
			} else if now <= x.deadline {
				out.value += budgeter.DefaultLateValue
			}
			entries[x.entry] = entries[x.entry].WithoutStart(x.Load)
			x.visibleAt = now + delay
			ended = append(ended, x)
		}
		running = left
		for i := range entries {
			for _, x := range ended {
				if x.visibleAt == now {
					entries[i] = entries[i].WithFinished(x.Load, now-delay-x.begin, now).WithLoading(x.Engine, nil, now)
				}
			}
			for _, x := range running {
				if x.visibleAt == now {
					entries[i] = entries[i].WithLoading(x.Engine, []int{x.Adapter}, now)
				}
			}
			var granted []int
			entries[i], granted = entries[i].WithGrants(now, rng)
			out.maxStart = max(out.maxStart, len(granted))
			for _, a := range granted {
				l := budgeter.Load[int]{Adapter: a, Engine: string(rune(a))}
				entries[i], _ = entries[i].WithStart(l)
				r := waiting[a]
				delete(waiting, a)
				running = append(running, &transfer{
					Load: l, entry: i, left: 1, begin: now, objective: r.since + time.Second, deadline: r.since + 5*time.Second, visibleAt: now + delay,
				})
			}
		}
		for a, r := range waiting {
			if now > r.since+5*time.Second {
				entries[r.entry] = entries[r.entry].WithoutRequest(a, uint64(a))
				delete(waiting, a)
			}
		}
		if now > 10*time.Second {
			sum, steps = sum+float64(len(running)), steps+1
			out.most = max(out.most, len(running))
		}
	}
	out.mean, out.limit = sum/float64(steps), entries[0].Limit()
	return out
}

// TestDemandBeyondTheStore replays 75 loads a second with a store that carries 64: guards against a budget under which
// fewer requests are timely than without one or with equal shares, and against a limit that is learned wrongly.
func TestDemandBeyondTheStore(t *testing.T) {
	const seeds = 2
	value := map[budgeter.Policy]float64{}
	for _, policy := range []budgeter.Policy{budgeter.Learned, budgeter.Unlimited, budgeter.EqualShare} {
		for seed := range uint64(seeds) {
			out := replay{policy: policy, entries: 28, storeSize: 16, perSecond: 75, seed: seed}.run()
			t.Logf("policy %d seed %d: value %.0f of %d, in flight mean %.1f most %d, limit %.1f", policy, seed, out.value, out.requests, out.mean, out.most, out.limit)
			value[policy] += out.value / float64(out.requests) / seeds
			if policy == budgeter.Learned {
				assert.Assert(t, out.limit > 14 && out.limit < 20, "limit %.1f", out.limit)
				assert.Assert(t, out.most <= 30, "%d in flight", out.most)
			}
		}
	}
	t.Logf("share of the value: %v", value)
	assert.Assert(t, value[budgeter.Learned] > 1.7*value[budgeter.Unlimited])
	assert.Assert(t, value[budgeter.Learned] > value[budgeter.EqualShare])
}

// TestNoLimitWithoutCongestion guards against waits at a store that carries the demand.
func TestNoLimitWithoutCongestion(t *testing.T) {
	for _, entries := range []int{1, 28} {
		out := replay{policy: budgeter.Learned, entries: entries, storeSize: 80, perSecond: 75, seed: 4}.run()
		assert.Equal(t, out.limit, 0.0)
		// Loads that begin in the last 250 ms don't end.
		assert.Assert(t, out.value >= float64(out.requests)-40, "%.0f of %d timely", out.value, out.requests)
	}
}

// TestMisclassifiedCopiesSetNoLimit guards against loads from engines' own copies that are reported as transfers, as by
// sidecars that have just started. They made all transfers look slowed, and the limit fell to its least value.
func TestMisclassifiedCopiesSetNoLimit(t *testing.T) {
	for _, copiesInTen := range []int{1, 3, 5, 7} {
		b := budgeter.New[string](budgeter.Config{})
		now := time.Second
		for i := range 400 {
			took := time.Duration(250+i%20) * time.Millisecond
			if i%10 < copiesInTen {
				took = 40 * time.Millisecond
			}
			adapters := []string{"a", "b", "c", "d", "e", "f"}
			b = b.WithLoading("engine", adapters, now)
			now += took
			b = b.WithFinished(budgeter.Load[string]{Adapter: "a", Engine: "engine"}, took, now)
			b = b.WithLoading("engine", nil, now)
		}
		assert.Equal(t, b.Limit(), 0.0, "%d copies in ten loads", copiesInTen)
		assert.Assert(t, b.BaseTime() >= 240*time.Millisecond, "base %v with %d copies in ten loads", b.BaseTime(), copiesInTen)
	}
}

// TestLimitIsLearnedDuringCongestion replays twice what the store carries from the first second on: guards against a base
// duration that is measured during congestion, so that slowed transfers pass for unslowed ones.
func TestLimitIsLearnedDuringCongestion(t *testing.T) {
	for seed := range uint64(3) {
		out := replay{policy: budgeter.Learned, entries: 28, storeSize: 8, perSecond: 75, seed: seed}.run()
		t.Logf("in flight mean %.1f, limit %.1f, value %.0f of %d", out.mean, out.limit, out.value, out.requests)
		assert.Assert(t, out.limit < 12, "limit %.1f", out.limit)
	}
}

// TestBaseOfAFaultIsForgotten plays a store that is twelve times slower than usual while the first transfers are measured:
// guards against a base duration under which the usual ones pass for loads from copies for ever, so that requests are
// refused that a load serves in time.
func TestBaseOfAFaultIsForgotten(t *testing.T) {
	b, now := budgeter.New[int](budgeter.Config{}), time.Duration(0)
	play := func(took time.Duration, n int) {
		for range n {
			b = b.WithLoading("e", []int{1, 2, 3, 4, 5, 6, 7, 8}, now)
			now += took
			b = b.WithFinished(budgeter.Load[int]{Adapter: 1, Engine: "e"}, took, now)
			b = b.WithLoading("e", nil, now)
		}
	}
	play(3*time.Second, 64)
	assert.Equal(t, b.BaseTime(), 3*time.Second)
	play(250*time.Millisecond, 300)
	assert.Equal(t, b.BaseTime(), 250*time.Millisecond)
}

// busy returns the budget of one of n processes that has learned a limit of about four.
func busy(n int) (b budgeter.Budgeter[int], now time.Duration) {
	b = budgeter.New[int](budgeter.Config{}).WithProcesses(n, false)
	for i := range 48 {
		loading, took := []int{i}, 100*time.Millisecond
		for j := 1; i >= 32 && j < 16; j++ {
			loading, took = append(loading, i+100*j), 400*time.Millisecond
		}
		b = b.WithLoading("e", loading, now)
		now += took
		b = b.WithFinished(budgeter.Load[int]{Adapter: i, Engine: "e"}, took, now)
	}
	return b.WithLoading("e", nil, now), now
}

// TestPlacesAreNeitherExceededNorLost plays random requests, reports, losses of engines and pauses: guards against starts
// beyond the limit, and against places or requests that are forgotten when requests leave in any state.
func TestPlacesAreNeitherExceededNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := busy(rapid.IntRange(1, 30).Draw(t, "processes"))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		limit, id := int(b.Limit()*1.125), uint64(0)
		own := map[budgeter.Load[int]]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rng.IntN(30)) * time.Millisecond
			a, e := rng.IntN(12), string(rune('a'+rng.IntN(6)))
			switch rng.IntN(8) {
			case 0, 1, 2:
				id++
				b = b.WithRequest(a, budgeter.Request{ID: id, Since: now, Objective: now + time.Second, Deadline: now + 5*time.Second}, now)
			case 3:
				b = b.WithoutRequest(a, uint64(rng.IntN(int(id)+1)))
			case 4:
				b = b.WithLoading(e, rng.Perm(12)[:rng.IntN(3)], now)
			case 5:
				b = b.WithEngines(func(engine string) bool { return engine != e }, now)
			case 6:
				b = b.WithoutStart(budgeter.Load[int]{Adapter: a, Engine: e})
				delete(own, budgeter.Load[int]{Adapter: a, Engine: e})
			case 7:
				now += time.Duration(rng.IntN(3000)) * time.Millisecond
			}
			before := b.InFlight()
			var granted []int
			b, granted = b.WithGrants(now, rng)
			assert.Assert(t, len(granted) == 0 || b.InFlight() <= limit && b.InFlight() == before+len(granted))
			for _, adapter := range granted {
				if l := (budgeter.Load[int]{Adapter: adapter, Engine: e}); rng.IntN(4) > 0 {
					b, own[l] = b.WithStart(l)
				}
			}
		}
		for l := range own {
			b = b.WithoutStart(l)
		}
		b = b.WithEngines(func(string) bool { return false }, now)
		left := b
		for a := range 12 {
			for i := range id + 1 {
				left = left.WithoutRequest(a, i)
			}
		}
		assert.Equal(t, left.Waiting()+left.InFlight(), 0)
		// Without other loads, each waiting load gets its turn, or its requests leave.
		for i := 0; b.Waiting() > 0; i++ {
			assert.Assert(t, i < 20000, "%d adapters still wait", b.Waiting())
			now += 20 * time.Millisecond
			b, _ = b.WithGrants(now, rng)
			for a := range 12 {
				l := budgeter.Load[int]{Adapter: a, Engine: "a"}
				b, _ = b.WithStart(l)
				b = b.WithoutStart(l)
			}
		}
		assert.Equal(t, b.InFlight(), 0)
	})
}
