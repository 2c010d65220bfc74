package budgeter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
