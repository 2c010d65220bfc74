package selector_test

import (
	"math/rand/v2"
	"testing"

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
	return selector.Candidate{ID: id, Batch: 64, FreeTokens: 1e6, Residency: selector.Resident, HasRoom: true}
}

var prompt = selector.Request{PromptTokens: 9000, NeedsTokens: 9100}

// TestResidentGoesBeforeLoad guards against loads of an adapter that an idle engine holds.
func TestResidentGoesBeforeLoad(t *testing.T) {
	absent := engine("absent")
	absent.Residency = selector.Absent
	assert.Equal(t, choose(t, prompt, absent, engine("resident")), "resident")
}

// TestWarmGoesBeforeStore guards against an adapter that is fetched again from the weight store although an engine
// still has it at hand.
func TestWarmGoesBeforeStore(t *testing.T) {
	cold, warm := engine("cold"), engine("warm")
	cold.Residency, warm.Residency = selector.Absent, selector.Absent
	warm.IsWarm, warm.HomeRank = true, 5
	assert.Equal(t, choose(t, prompt, cold, warm), "warm")
}

// TestBacklogSpreadsAHotAdapter guards against a hot adapter that fills one engine while others are idle.
func TestBacklogSpreadsAHotAdapter(t *testing.T) {
	full, idle := engine("full"), engine("idle")
	full.UnreadTokens = 40000
	idle.Residency = selector.Absent
	assert.Equal(t, choose(t, prompt, full, idle), "idle")
}

// TestSuspectsAreTheLastChoice guards against requests for an engine that doesn't answer, and against none being left
// when all are suspect.
func TestSuspectsAreTheLastChoice(t *testing.T) {
	suspect, busy := engine("suspect"), engine("busy")
	suspect.IsSuspect = true
	busy.UnreadTokens = 30000
	assert.Equal(t, choose(t, prompt, suspect, busy), "busy")
	assert.Equal(t, choose(t, prompt, suspect), "suspect")
}

// TestKeptPromptAndFreeMemoryCount guards against engines chosen without regard to what they keep and have room for.
func TestKeptPromptAndFreeMemoryCount(t *testing.T) {
	keeps, full := engine("keeps"), engine("full")
	keeps.KeptTokens = 6000
	assert.Equal(t, choose(t, prompt, engine("other"), keeps), "keeps")
	full.FreeTokens = 0
	assert.Equal(t, choose(t, prompt, full, engine("free")), "free")
}

// TestEngineWithoutModelIsAvoided guards against requests that wait for the load of a base model elsewhere held.
func TestEngineWithoutModelIsAvoided(t *testing.T) {
	empty, busy := engine("empty"), engine("busy")
	empty.LacksModel, empty.Residency = true, selector.Absent
	busy.UnreadTokens = 20000
	assert.Equal(t, choose(t, prompt, empty, busy), "busy")
}

// TestCostRises guards against a policy by which more work, failures or distance make an endpoint more attractive.
func TestCostRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := selector.Candidate{
			Batch: rapid.IntRange(1, 64).Draw(t, "batch"), Busy: rapid.IntRange(0, 200).Draw(t, "busy"),
			UnreadTokens: rapid.Float64Range(0, 1e5).Draw(t, "unread"), KeptTokens: rapid.Float64Range(0, 1e4).Draw(t, "kept"),
			FreeTokens: rapid.Float64Range(0, 1e6).Draw(t, "free"), HasRoom: rapid.Bool().Draw(t, "room"),
			Residency:    selector.Residency(rapid.IntRange(0, 2).Draw(t, "residency")),
			FailureShare: rapid.Float64Range(0, 1).Draw(t, "failures"),
		}
		_, before := selector.Cost(config, prompt, &c)
		worse := c
		switch rapid.IntRange(0, 4).Draw(t, "worse") {
		case 0:
			worse.Busy++
		case 1:
			worse.UnreadTokens += 1000
		case 2:
			worse.FailureShare = 1
		case 3:
			worse.FreeTokens /= 2
		case 4:
			worse.IsSuspect = true
		}
		if _, after := selector.Cost(config, prompt, &worse); after < before {
			t.Fatalf("%v is cheaper than %v: %+v", after, before, worse)
		}
	})
}

// TestEqualEndpointsShareTheLoad guards against entries that all send to the first of equal endpoints.
func TestEqualEndpointsShareTheLoad(t *testing.T) {
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
