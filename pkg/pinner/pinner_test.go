package pinner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/pinner"
)

// TestTakeOutcomes guards against a wrong outcome of Acquire in each state that a slot can be in.
func TestTakeOutcomes(t *testing.T) {
	s := pinner.New(pinner.Config{Slots: 2, MaxLoading: 1})
	s, a := s.Acquire("a@1", "r1", false, 0)
	assert.Equal(t, a.Kind, pinner.NeedsPermit)
	s, a = s.Acquire("a@1", "r1", true, 0)
	assert.Equal(t, a, pinner.Action{Kind: pinner.Load})
	s, a = s.Acquire("a@1", "r2", false, 0)
	assert.Equal(t, a.Kind, pinner.Wait)
	s, a = s.Acquire("b@1", "r2", true, 0)
	assert.Equal(t, a.Kind, pinner.Conflict)
	s, a = s.Acquire("b@1", "r3", true, 0)
	assert.Equal(t, a.Kind, pinner.NoRoom, "a second load in flight must be refused")
	s, waiters := s.Loaded("a@1")
	assert.DeepEqual(t, waiters, []string{"r1", "r2"})
	s, a = s.Acquire("a@1", "r4", false, time.Second)
	assert.Equal(t, a.Kind, pinner.Run)
	s, _ = s.Acquire("b@1", "r3", true, time.Second)
	s, waiters = s.LoadFailed("b@1")
	assert.DeepEqual(t, waiters, []string{"r3"})
	s, _ = s.Acquire("b@1", "r3", true, time.Second)
	s, _ = s.Loaded("b@1")
	_, a = s.Acquire("c@1", "r5", true, time.Second)
	assert.Equal(t, a.Kind, pinner.NoRoom, "all slots are pinned")
	s = s.MarkSuspect("r3").Release("r3")
	_, a = s.Acquire("c@1", "r5", true, time.Second)
	assert.Equal(t, a.Kind, pinner.NoRoom, "a suspect pin must survive Release")
	s, a = s.ConfirmEnded("r3").Acquire("c@1", "r5", true, 2*time.Second)
	assert.Equal(t, a, pinner.Action{Kind: pinner.Load, Evict: "b@1"})
	s, lost, surplus := s.Reset([]string{"x@1", "y@1", "z@1"})
	assert.DeepEqual(t, lost, []string{"r1", "r2", "r4", "r5"})
	assert.DeepEqual(t, surplus, []string{"z@1"})
	assert.DeepEqual(t, s.Resident(), []string{"x@1", "y@1"})
}

// TestEvictionPolicies guards against AgedFrequency evicting a popular adapter after one burst of requests for others,
// and against it keeping an adapter whose popularity is long past.
func TestEvictionPolicies(t *testing.T) {
	victim := func(e pinner.EvictionPolicy, idle time.Duration) string {
		s := pinner.New(pinner.Config{Slots: 2, EvictionPolicy: e, HalfLife: time.Minute})
		use := func(name string, now time.Duration) {
			s, _ = s.Acquire(name, "r", true, now)
			s, _ = s.Loaded(name)
			s = s.Release("r")
		}
		for range 10 {
			use("often", 0)
		}
		use("once", idle)
		use("once", idle)
		_, a := s.Acquire("new", "r", true, idle+time.Second)
		return a.Evict
	}
	assert.Equal(t, victim(pinner.LRU{}, time.Second), "often")
	assert.Equal(t, victim(pinner.AgedFrequency{}, time.Second), "once")
	assert.Equal(t, victim(pinner.AgedFrequency{}, 10*time.Minute), "often")
}

// TestAdaptiveEviction guards against Adaptive using the worse of its two policies: LRU if requests arrive in random
// order, AgedFrequency if they arrive in sessions.
func TestAdaptiveEviction(t *testing.T) {
	policies := []pinner.EvictionPolicy{pinner.LRU{}, pinner.AgedFrequency{}, pinner.Adaptive{First: pinner.LRU{}, Second: pinner.AgedFrequency{}}}
	for _, session := range []int{1, 10} {
		var loads [3]int
		for i, e := range policies {
			rng := rand.New(rand.NewPCG(1, 2))
			popularity := rand.NewZipf(rng, 1.3, 1, 200)
			s := pinner.New(pinner.Config{Slots: 8, EvictionPolicy: e})
			open := make([]uint64, 5) // adapters of the open sessions
			for step := range 5000 {
				at := rng.IntN(len(open))
				if rng.IntN(session) == 0 {
					open[at] = popularity.Uint64()
				}
				name := fmt.Sprint(open[at])
				var a pinner.Action
				if s, a = s.Acquire(name, "r", true, time.Duration(step)*time.Second); a.Kind == pinner.Load {
					loads[i]++
				}
				s, _ = s.Loaded(name)
				s = s.Release("r")
			}
		}
		assert.Assert(t, (loads[0] < loads[1]) == (session > 1), "%v", loads)
		assert.Assert(t, float64(loads[2]) < 1.05*float64(min(loads[0], loads[1])), "%v", loads)
	}
}

// TestSlotsProperties guards against eviction of a pinned adapter, more adapters than slots, a waiting request that is
// never returned by Loaded, LoadFailed or Reset, adapters that stay resident after Reset(nil), and modification of an
// earlier Slots value.
func TestSlotsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 4).Draw(t, "slots")
		s := pinner.New(pinner.Config{Slots: capacity, MaxLoading: rapid.IntRange(0, 2).Draw(t, "loading"), History: 3})
		pins, waiting, suspect := map[string]string{}, map[string]bool{}, map[string]bool{}
		notify := func(requests []string, kept bool) {
			for _, r := range requests {
				delete(waiting, r)
				if !kept {
					delete(pins, r)
					delete(suspect, r)
				}
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before, residents, count := s, fmt.Sprint(s.Resident(), s.Loading()), s.Pins()
			name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "adapter")
			request := fmt.Sprint("r", rapid.IntRange(0, 9).Draw(t, "request"))
			switch rapid.SampledFrom([]string{"take", "take", "take", "loaded", "failed", "release", "suspect", "confirm", "reset"}).Draw(t, "op") {
			case "take":
				var a pinner.Action
				s, a = s.Acquire(name, request, rapid.Bool().Draw(t, "permit"), time.Duration(step)*time.Second)
				for r, pinned := range pins {
					assert.Assert(t, a.Evict == "" || a.Evict != pinned, "evicted %s, pinned by %s", a.Evict, r)
				}
				if a.Kind == pinner.Run || a.Kind == pinner.Load || a.Kind == pinner.Wait {
					pins[request] = name
				}
				if a.Kind == pinner.Load || a.Kind == pinner.Wait {
					waiting[request] = true
				}
			case "loaded":
				var done []string
				s, done = s.Loaded(name)
				notify(done, true)
			case "failed":
				var done []string
				s, done = s.LoadFailed(name)
				notify(done, false)
			case "release":
				s = s.Release(request)
				if !suspect[request] {
					delete(pins, request)
					delete(waiting, request)
				}
			case "suspect":
				s = s.MarkSuspect(request)
				suspect[request] = pins[request] != ""
			case "confirm":
				s = s.ConfirmEnded(request)
				if suspect[request] {
					notify([]string{request}, false)
				}
			case "reset":
				var lost []string
				s, lost, _ = s.Reset(nil)
				notify(lost, false)
				assert.Equal(t, len(s.Resident())+len(s.Loading())+s.Pins(), 0)
				_, a := s.Acquire(name, "new", false, 0)
				assert.Equal(t, a.Kind, pinner.NeedsPermit)
			}
			assert.Equal(t, fmt.Sprint(before.Resident(), before.Loading()), residents, "an earlier value changed")
			assert.Equal(t, before.Pins(), count, "an earlier value changed")
			occupied := append(s.Resident(), s.Loading()...)
			assert.Assert(t, len(occupied) <= capacity)
			assert.Equal(t, s.Pins(), len(pins))
			for r, pinned := range pins {
				assert.Assert(t, slices.Contains(occupied, pinned), "%s pins %s, which is not held", r, pinned)
			}
		}
		for _, name := range s.Loading() {
			var done []string
			s, done = s.Loaded(name)
			notify(done, true)
		}
		assert.Equal(t, len(waiting), 0, "requests whose load's outcome was never returned: %v", waiting)
	})
}

// BenchmarkAcquire measures Acquire followed by Release while 64 other requests hold pins.
func BenchmarkAcquire(b *testing.B) {
	s := pinner.New(pinner.Config{Slots: 8})
	for i := range 64 {
		name := fmt.Sprint("a", i%8)
		s, _ = s.Acquire(name, fmt.Sprint("request-", i), true, 0)
		s, _ = s.Loaded(name)
	}
	for b.Loop() {
		next, _ := s.Acquire("a3", "request-x", false, time.Second)
		next.Release("request-x")
	}
}
