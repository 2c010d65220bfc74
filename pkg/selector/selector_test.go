package selector_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/selector"
)

var config = selector.Config{}.WithDefaults()

func choose(t *testing.T, r selector.Request, candidates ...selector.Candidate) string {
	t.Helper()
	choice, ok := selector.Choose(config, r, candidates, rand.New(rand.NewPCG(1, 2)))
	assert.Assert(t, ok)
	return candidates[choice.Index].ID
}

func engine(id string) selector.Candidate {
	return selector.Candidate{ID: id, Batch: 64, FreeTokens: 1e6, Residency: selector.Resident, HasFreeSlot: true}
}

var prompt = selector.Request{PromptTokens: 9000, RequiredTokens: 9100}

// TestPrefersResidentAdapter guards against loading an adapter that an idle engine already holds.
func TestPrefersResidentAdapter(t *testing.T) {
	absent := engine("absent")
	absent.Residency = selector.Absent
	assert.Equal(t, choose(t, prompt, absent, engine("resident")), "resident")
}

// TestPrefersWarmEngine guards against fetching an adapter from the weight store again although an engine that held it
// recently can load it fast.
func TestPrefersWarmEngine(t *testing.T) {
	cold, warm := engine("cold"), engine("warm")
	cold.Residency, warm.Residency = selector.Absent, selector.Absent
	warm.IsWarm, warm.HomeRank = true, 5
	assert.Equal(t, choose(t, prompt, cold, warm), "warm")
}

// TestBacklogSpreadsHotAdapter guards against a hot adapter that overloads one engine while others are idle.
func TestBacklogSpreadsHotAdapter(t *testing.T) {
	full, idle := engine("full"), engine("idle")
	full.UnreadTokens = 40000
	idle.Residency = selector.Absent
	assert.Equal(t, choose(t, prompt, full, idle), "idle")
}

// TestSuspectEndpointIsLastChoice guards against sending requests to an engine that does not respond, and against having
// no choice if all endpoints are suspect.
func TestSuspectEndpointIsLastChoice(t *testing.T) {
	suspect, busy := engine("suspect"), engine("busy")
	suspect.IsSuspect = true
	busy.UnreadTokens = 30000
	assert.Equal(t, choose(t, prompt, suspect, busy), "busy")
	assert.Equal(t, choose(t, prompt, suspect), "suspect")
}

// TestPrefersCachedPrefixAndFreeMemory guards against a choice that ignores an engine's prefix cache or its free KV cache
// capacity.
func TestPrefersCachedPrefixAndFreeMemory(t *testing.T) {
	keeps, full := engine("keeps"), engine("full")
	keeps.CachedPrefixTokens = 6000
	assert.Equal(t, choose(t, prompt, engine("other"), keeps), "keeps")
	full.FreeTokens = 0
	assert.Equal(t, choose(t, prompt, full, engine("free")), "free")
}

// TestAvoidsEngineWithoutBaseModel guards against requests that wait for a base model load although another engine holds
// the model.
func TestAvoidsEngineWithoutBaseModel(t *testing.T) {
	empty, busy := engine("empty"), engine("busy")
	empty.LacksModel, empty.Residency = true, selector.Absent
	busy.UnreadTokens = 20000
	assert.Equal(t, choose(t, prompt, empty, busy), "busy")
}

// TestCostIsMonotonic guards against a cost that falls as load or failures rise, as free memory shrinks, or when an
// endpoint becomes suspect.
func TestCostIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := selector.Candidate{
			Batch: rapid.IntRange(1, 64).Draw(t, "batch"), Busy: rapid.IntRange(0, 200).Draw(t, "busy"),
			UnreadTokens: rapid.Float64Range(0, 1e5).Draw(t, "unread"), CachedPrefixTokens: rapid.Float64Range(0, 1e4).Draw(t, "kept"),
			FreeTokens: rapid.Float64Range(0, 1e6).Draw(t, "free"), HasFreeSlot: rapid.Bool().Draw(t, "room"),
			Residency:   selector.Residency(rapid.IntRange(0, 2).Draw(t, "residency")),
			FailureRate: rapid.Float64Range(0, 1).Draw(t, "failures"),
		}
		_, before := selector.Cost(&config, &prompt, &c)
		worse := c
		switch rapid.IntRange(0, 4).Draw(t, "worse") {
		case 0:
			worse.Busy++
		case 1:
			worse.UnreadTokens += 1000
		case 2:
			worse.FailureRate = 1
		case 3:
			worse.FreeTokens /= 2
		case 4:
			worse.IsSuspect = true
		}
		if _, after := selector.Cost(&config, &prompt, &worse); after < before {
			t.Fatalf("%v is cheaper than %v: %+v", after, before, worse)
		}
	})
}

// TestSlowEnginesAreSpared guards against long prompts on a slow engine whose streams they would delay beyond the objective,
// although it is a little cheaper otherwise, and against short prompts behind a slow engine's pending prefill; and against
// an engine that its speed alone makes worse than a suspect one.
func TestSlowEnginesAreSpared(t *testing.T) {
	long := selector.Request{PromptTokens: 9190, MaxPause: 300 * time.Millisecond}
	slow, fast := engine("slow"), engine("fast")
	slow.Speed, fast.Speed, slow.Busy, fast.Busy, fast.UnreadTokens = 0.55, 1.2, 10, 10, 20000
	assert.Equal(t, choose(t, selector.Request{PromptTokens: 9190}, slow, fast), "slow")
	assert.Equal(t, choose(t, long, slow, fast), "fast")
	slow.UnreadTokens, fast.UnreadTokens, slow.Busy = 9000, 15000, 0
	assert.Equal(t, choose(t, selector.Request{PromptTokens: 826}, slow, fast), "fast")
	idle, suspect := engine("idle"), engine("suspect")
	idle.Speed, idle.Busy, suspect.IsSuspect, suspect.Busy = 1.0/8, 10, true, 10
	assert.Equal(t, choose(t, selector.Request{PromptTokens: 5000, MaxPause: time.Millisecond}, idle, suspect), "idle")
}

// BenchmarkChoose measures the cost of one choice.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{51, 400, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			candidates := make([]selector.Candidate, n)
			for i := range candidates {
				candidates[i] = engine(strconv.Itoa(i))
				candidates[i].UnreadTokens, candidates[i].Busy = 10000*rng.Float64(), rng.IntN(20)
			}
			r := prompt
			b.ReportAllocs()
			for b.Loop() {
				selector.Choose(config, r, candidates, rng)
			}
		})
	}
}

// TestEqualCostsAreBrokenRandomly guards against entries that all choose the first of several endpoints with equal cost.
func TestEqualCostsAreBrokenRandomly(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	counts := map[int]int{}
	for range 300 {
		choice, _ := selector.Choose(config, prompt, []selector.Candidate{engine("a"), engine("b"), engine("c")}, rng)
		counts[choice.Index]++
	}
	for i := range 3 {
		assert.Assert(t, counts[i] > 60, "%v", counts)
	}
}

// TestBusyStoreFavoursCopies guards against loads from a busy weight store that take longer than the queue of an engine
// with the adapter, or than a load from an engine's own memory.
func TestBusyStoreFavoursCopies(t *testing.T) {
	absent := selector.Candidate{Batch: 4, IsSameDomain: true, HasFreeSlot: true, FreeTokens: 1e9}
	queued, warm := absent, absent
	queued.Residency, queued.UnreadTokens = selector.Resident, 40000
	warm.IsWarm, warm.UnreadTokens, warm.TransferWait = true, 40000, time.Minute
	for _, wait := range []time.Duration{0, time.Second} {
		absent.TransferWait = wait
		for _, other := range []selector.Candidate{queued, warm} {
			choice, ok := selector.Choose(config, selector.Request{}, []selector.Candidate{absent, other}, rand.New(rand.NewPCG(1, 2)))
			assert.Assert(t, ok)
			assert.Equal(t, choice.Index == 1, wait > 0)
		}
	}
}

// TestEqualCandidatesInTheOwnDomainGoFirst guards against requests that cross a failure-domain border without a gain, and
// against a nearby endpoint that is chosen although it costs clearly more.
func TestEqualCandidatesInTheOwnDomainGoFirst(t *testing.T) {
	c := selector.Config{}.WithDefaults()
	r := selector.Request{PromptTokens: 1000, Tolerance: 60 * time.Millisecond}
	list := []selector.Candidate{
		{ID: "far", Batch: 8, FreeTokens: 1e6, Residency: selector.Resident},
		{ID: "near", Batch: 8, FreeTokens: 1e6, Residency: selector.Resident, IsSameDomain: true, UnreadTokens: 1000},
	}
	choose := func() (ids []string) {
		for seed := range uint64(8) {
			choice, ok := selector.Choose(c, r, list, rand.New(rand.NewPCG(seed, 2)))
			assert.Assert(t, ok)
			ids = append(ids, list[choice.Index].ID)
			slices.Reverse(list)
		}
		slices.Sort(ids)
		return slices.Compact(ids)
	}
	assert.DeepEqual(t, choose(), []string{"near"})
	list[slices.IndexFunc(list, func(e selector.Candidate) bool { return e.ID == "near" })].UnreadTokens = 10000
	assert.DeepEqual(t, choose(), []string{"far"})
}
