package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/scheduler"
)

const maxTokens = 400

func drawRequest(t *rapid.T, id int, organisation string, weight float64) scheduler.Request {
	return scheduler.Request{ID: fmt.Sprint(id), Organisation: organisation, Weight: weight,
		Adapter:      rapid.SampledFrom([]string{"", "hot", "cold"}).Draw(t, "adapter"),
		PromptTokens: rapid.IntRange(1, maxTokens).Draw(t, "prompt"),
		AnswerTokens: rapid.IntRange(0, maxTokens).Draw(t, "answer")}
}

func isResident(adapter string) bool { return adapter != "cold" }

// TestBackloggedOrganisationsShareByWeight guards against a backlogged organisation that gets less than its weighted
// share. Two organisations stay backlogged while request sizes, weights, residency and corrections vary; the difference
// of their services must stay bounded.
func TestBackloggedOrganisationsShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groupingTokens := rapid.SampledFrom([]float64{0, 500, 5000}).Draw(t, "grouping")
		batch := rapid.IntRange(1, 6).Draw(t, "batch")
		weights := map[string]float64{"a": rapid.Float64Range(0.5, 4).Draw(t, "weight a"), "b": 1}
		separateAdapters := rapid.Bool().Draw(t, "a has only absent adapters, b none")
		reserved := rapid.IntRange(0, batch-1).Draw(t, "reserved")
		const reservedTokens = 700
		q := scheduler.New(scheduler.Config{GroupingTokens: groupingTokens, MaxRunning: batch, ReservedSlots: reserved,
			ReservedTokens: reservedTokens})
		id := 0
		add := func(organisation string) {
			id++
			r := drawRequest(t, id, organisation, weights[organisation])
			if separateAdapters {
				r.Adapter = map[string]string{"a": "cold", "b": "hot"}[organisation]
			}
			q = q.WithRequest(r, 0)
		}
		for range 5 {
			add("a")
			add("b")
		}
		used := map[string]float64{}
		var running []scheduler.Request
		requestCost := scheduler.Cost(maxTokens, maxTokens)
		bound := 2*max(requestCost, float64(batch)*requestCost)/min(weights["a"], 1) +
			max(groupingTokens, reservedTokens)/min(weights["a"], 1)
		runningBy := map[string]int{}
		// The reserved slots are only withheld while another organisation is active. A third one sends a request and
		// withdraws it, so that it counts as active.
		touchThird := func() {
			id++
			q = q.WithRequest(scheduler.Request{ID: fmt.Sprint(id), Organisation: "c", PromptTokens: 1}, time.Hour)
			q = q.Without(fmt.Sprint(id))
		}
		for range rapid.IntRange(1, 200).Draw(t, "picks") {
			var r scheduler.Request
			var ok bool
			touchThird()
			q, r, ok = q.Next(scheduler.State{Running: len(running), Resident: isResident,
				RunningBy: func(organisation string) int { return runningBy[organisation] }}, time.Hour)
			assert.Assert(t, ok || len(running) > 0)
			if ok {
				add(r.Organisation)
				running = append(running, r)
				runningBy[r.Organisation]++
			}
			if len(running) == batch || !ok {
				r := running[0]
				running = running[1:]
				runningBy[r.Organisation]--
				// The actual response is at most as long as expected.
				answer := rapid.IntRange(0, r.AnswerTokens).Draw(t, "used")
				q = q.WithCompletion(r, r.PromptTokens, answer)
				used[r.Organisation] += scheduler.Cost(r.PromptTokens, answer)
			}
			gap := math.Abs(used["a"]/weights["a"] - used["b"]/weights["b"])
			assert.Assert(t, gap <= bound, "services differ by %v, bound %v", gap, bound)
		}
	})
}

// TestGroupingCannotStarve guards against starvation of a request whose adapter is absent by others whose adapter is
// resident.
func TestGroupingCannotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const groupingTokens = 1000
		q := scheduler.New(scheduler.Config{GroupingTokens: groupingTokens})
		q = q.WithRequest(scheduler.Request{ID: "cold", Organisation: "a", Adapter: "cold", PromptTokens: 10}, 0)
		bypassed := 0.0
		for i := 0; ; i++ {
			for _, organisation := range []string{"a", "b"} {
				r := drawRequest(t, i, organisation, 1)
				r.ID, r.Adapter = organisation+r.ID, "hot"
				q = q.WithRequest(r, 0)
			}
			var r scheduler.Request
			q, r, _ = q.Next(scheduler.State{Resident: isResident}, 0)
			if r.ID == "cold" {
				return
			}
			if r.Organisation == "a" {
				bypassed += r.Cost()
			}
			assert.Assert(t, bypassed <= groupingTokens, "bypassed by %v tokens", bypassed)
		}
	})
}

// TestIdleCreditIsBounded guards against an organisation that accumulates credit while it is idle and then monopolises
// the endpoint, either because its service counter stays behind or because of a correction for a request from before it
// was idle.
func TestIdleCreditIsBounded(t *testing.T) {
	for _, credit := range []int{0, 10} {
		t.Run(fmt.Sprint(credit, " requests"), func(t *testing.T) { checkCredit(t, credit) })
	}
}

func checkCredit(t *testing.T, credit int) {
	q := scheduler.New(scheduler.Config{CreditTokens: float64(credit) * 100})
	next := func() (r scheduler.Request) {
		q, r, _ = q.Next(scheduler.State{}, 0)
		return r
	}
	add := func(id int, organisation string, answer int) {
		q = q.WithRequest(scheduler.Request{ID: fmt.Sprint(organisation, id), Organisation: organisation,
			PromptTokens: 100, AnswerTokens: answer}, 0)
	}
	add(0, "b", 5000)
	early := next()
	for i := range 200 {
		add(i, "a", 0)
	}
	for range 50 {
		assert.Equal(t, next().Organisation, "a")
	}
	for i := 1; i <= 50; i++ {
		add(i, "b", 0)
	}
	q = q.WithCompletion(early, 100, 0)
	served := map[string]int{}
	for range 40 {
		served[next().Organisation]++
	}
	assert.Assert(t, served["b"] <= 21+credit/2, "%v", served)
	for i := range 50 {
		add(i, "new", 0)
	}
	clear(served)
	for range 30 {
		served[next().Organisation]++
	}
	assert.Assert(t, served["new"] <= 11+credit, "%v", served)
}

// TestReservedSlots guards against an organisation with a long backlog that holds the whole batch, so that requests of
// others wait for one of its requests to end, and against slots that stay empty although no other organisation is
// active.
func TestReservedSlots(t *testing.T) {
	q := scheduler.New(scheduler.Config{MaxRunning: 8, ReservedSlots: 3, ReservedTokens: 100})
	running := map[string]int{}
	fill := func(now time.Duration) (total int) {
		for ok := true; ok; {
			total = running["large"] + running["small"]
			s := scheduler.State{Running: total, RunningBy: func(o string) int { return running[o] }}
			var r scheduler.Request
			if q, r, ok = q.Next(s, now); ok {
				running[r.Organisation]++
			}
		}
		return total
	}
	add := func(organisation string, n, tokens int, now time.Duration) {
		for i := range n {
			id := fmt.Sprintf("%s-%s-%d", organisation, now, i)
			q = q.WithRequest(scheduler.Request{ID: id, Organisation: organisation, PromptTokens: tokens}, now)
		}
	}
	const later = 2 * time.Second
	add("large", 20, 10, 0)
	assert.Equal(t, fill(later), 8, "no other organisation is active")
	running["large"] = 0
	add("small", 1, 10, later)
	assert.Equal(t, fill(later), 5)
	assert.Equal(t, q.Load(), scheduler.Load{Requests: 8, Tokens: 80, Organisations: 1})
	assert.Equal(t, q.ShortBacklogTokens(later), 0.0)
	add("small", 2, 10, later+1)
	assert.Equal(t, q.ShortBacklogTokens(later), 20.0)
	assert.Equal(t, fill(later), 7)
	add("small", 1, 1000, later+2)
	assert.Equal(t, fill(later), 7, "ReservedTokens must bound the lead gained through the reserved slots")
	// Withdraw the request added last; add formats its time as the middle part of the ID.
	q = q.Without("small-2.000000002s-0")
	running["small"] = 0
	assert.Equal(t, fill(later), 5)
	assert.Equal(t, fill(2*time.Minute), 8, "the other organisation is no longer active")
	running["large"] = 7
	add("small", 1, 1000, 2*time.Minute)
	assert.Equal(t, fill(2*time.Minute), 7)
	assert.Equal(t, fill(2*time.Minute+later), 8, "both organisations have long backlogs")
}

// TestLongPromptsDoNotBlockShortOnes guards against short prompts that wait behind long ones, and against long ones
// that are skipped and never served.
func TestLongPromptsDoNotBlockShortOnes(t *testing.T) {
	q := scheduler.New(scheduler.Config{MaxLongPrefills: 1, LongPromptTokens: 1000, MaxRunning: 3})
	for i, tokens := range []int{5000, 5000, 10, 5000, 20} {
		q = q.WithRequest(scheduler.Request{ID: fmt.Sprint(i), Organisation: "a", PromptTokens: tokens}, 0)
	}
	var order []string
	for _, s := range []scheduler.State{{Running: 3}, {}, {LongPrefills: 1}, {LongPrefills: 1}, {LongPrefills: 1}, {}, {}} {
		var r scheduler.Request
		q, r, _ = q.Next(s, 0)
		order = append(order, r.ID)
	}
	assert.DeepEqual(t, order, []string{"", "0", "2", "4", "", "1", "3"})
	assert.Equal(t, q.Load(), scheduler.Load{})
}

// TestUnmeetableDeadlinesAreRefused guards against starting requests that would miss their deadline, and against
// refusing requests that would meet it.
func TestUnmeetableDeadlinesAreRefused(t *testing.T) {
	q := scheduler.New(scheduler.Config{TokensPerSecond: 100, PromptTokensPerSecond: 100})
	request := func(id string, deadline time.Duration) scheduler.Request {
		return scheduler.Request{ID: id, Organisation: "a", PromptTokens: 100, Deadline: deadline}
	}
	q = q.WithRequest(request("soon", 500*time.Millisecond), 0).WithRequest(request("first", 3*time.Second), 0)
	q, refused := q.RemoveUnmeetable(0)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, "soon")
	q = q.WithCompletion(request("earlier", 0), 100, 0)
	q = q.WithRequest(request("second", 1500*time.Millisecond), 0).WithRequest(request("third", 5*time.Second), 0)
	q, refused = q.RemoveUnmeetable(0)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, "second")
	q = q.Without("third").Without("unknown")
	q, refused = q.RemoveUnmeetable(2*time.Second + 1)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, "first")
	assert.Equal(t, q.Load(), scheduler.Load{})
}

// TestPolicyOrder guards against policies that don't serve in the order that their name promises, which would
// invalidate comparisons with the baselines.
func TestPolicyOrder(t *testing.T) {
	for want, policy := range map[string]scheduler.Policy{
		"a1 a2 b3 c4 ": scheduler.FirstInFirstOut{}, "a1 b3 c4 a2 ": scheduler.RoundRobin{},
		"a1 b3 a2 c4 ": scheduler.VirtualTokenCounter{},
	} {
		q := scheduler.New(scheduler.Config{Policy: policy})
		for i, o := range []string{"a", "a", "b", "c"} {
			tokens := 10
			if o == "c" {
				q = q.WithServiceCorrection(o, 100)
			}
			q = q.WithRequest(scheduler.Request{ID: fmt.Sprint(o, i+1), Organisation: o, PromptTokens: tokens}, 0)
		}
		got := ""
		for range 4 {
			var r scheduler.Request
			q, r, _ = q.Next(scheduler.State{}, 0)
			got += r.ID + " "
		}
		assert.Equal(t, got, want, "%T", policy)
	}
}

// BenchmarkPick10000Waiting measures Next, WithCompletion and WithRequest with 10,000 waiting requests.
func BenchmarkPick10000Waiting(b *testing.B) {
	q := scheduler.New(scheduler.Config{GroupingTokens: 10_000, MaxLongPrefills: 1, LongPromptTokens: 4000})
	request := func(i int) scheduler.Request {
		return scheduler.Request{ID: fmt.Sprint(i), Organisation: fmt.Sprint("o", i%50), Adapter: fmt.Sprint("a", i%997),
			PromptTokens: 1 + i*7919%5000, AnswerTokens: 100, Deadline: time.Hour + time.Duration(i)}
	}
	for i := range 10_000 {
		q = q.WithRequest(request(i), 0)
	}
	state := scheduler.State{Resident: func(a string) bool { return len(a) == 2 }}
	b.ReportAllocs()
	for i := 10_000; b.Loop(); i++ {
		var r scheduler.Request
		q, r, _ = q.Next(state, 0)
		q = q.WithCompletion(r, r.PromptTokens, 50).WithRequest(request(i), 0)
	}
}
