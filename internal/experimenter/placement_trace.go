package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"geraniumladder/pkg/placer"
)

// PlacementSize is a user's size, with the model of its engines and of its requests.
type PlacementSize struct {
	Name      string
	Engines   int
	Domains   int
	Entries   int
	Slots     int
	Adapters  int
	LoadsRate float64 // Loads a second over the fleet.
	// Exponent is that of the Zipf law by which adapters are chosen.
	Exponent float64
	// Session is the mean number of requests in a row for one adapter, SessionGap apart in the mean; 1 for none.
	Session    float64
	SessionGap time.Duration
	// Busy is the share of the engines' capacity that the requests use.
	Busy float64
	// Prompt and PrefixTokens are the tokens of a prompt and of the part of it that all requests of an adapter share.
	Prompt, PrefixTokens int
	// ShortAnswer and LongAnswer are mean tokens of answers; LongShare of the requests have long ones.
	ShortAnswer, LongAnswer int
	LongShare               float64
	Hop                     time.Duration
	Duration                time.Duration
}

// Vunidawa and Accra are the two users' sizes of today.
func Vunidawa() PlacementSize {
	return PlacementSize{Name: "Vunidawa", Engines: 12, Domains: 3, Entries: 3, Slots: 8, Adapters: 3000, LoadsRate: 3, Exponent: 1.1,
		Session: 6, SessionGap: 4 * time.Second, Busy: 0.7, Prompt: 600, ShortAnswer: 80, LongAnswer: 300, LongShare: 0.3,
		Hop: 1500 * time.Microsecond, Duration: 10 * time.Minute}
}

// Accra is the second user's size.
func Accra() PlacementSize {
	return PlacementSize{Name: "Accra", Engines: 18, Domains: 3, Entries: 3, Slots: 8, Adapters: 3000, LoadsRate: 4, Exponent: 1.1,
		Session: 6, SessionGap: 4 * time.Second, Busy: 0.7, Prompt: 1500, PrefixTokens: 1200, ShortAnswer: 60, LongAnswer: 250, LongShare: 0.4,
		Hop: time.Millisecond, Duration: 10 * time.Minute}
}

// rate is the number of requests a second that use the share Busy of the engines.
func (s PlacementSize) rate() float64 {
	steps := float64(s.ShortAnswer)*(1-s.LongShare) + float64(s.LongAnswer)*s.LongShare + math.Ceil(float64(s.Prompt-s.PrefixTokens)/prefillChunk)
	return s.Busy * float64(s.Engines) * engineBatch / (steps * step(engineBatch).Seconds())
}

// newTrace makes the requests, in the order of their arrival.
func newTrace(seed uint64, size PlacementSize, scenario PlacementScenario) []call {
	rng := rand.New(rand.NewPCG(seed, 1))
	cumulative := make([]float64, size.Adapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -size.Exponent)
		cumulative[i] = sum
	}
	names := rng.Perm(size.Adapters)
	shifted := rng.Perm(size.Adapters)
	var trace []call
	for at := time.Duration(0); at < size.Duration; at += time.Duration(rng.ExpFloat64() * size.Session / size.rate() * float64(time.Second)) {
		rank, _ := slices.BinarySearch(cumulative, rng.Float64()*sum)
		name := names[rank]
		if scenario == Shift && at >= size.event() {
			name = shifted[rank]
		}
		adapter := fmt.Sprintf("adapter-%d@1", name)
		for when := at; when < size.Duration; when += time.Duration(rng.ExpFloat64() * float64(size.SessionGap)) {
			mean := size.ShortAnswer
			if rng.Float64() < size.LongShare {
				mean = size.LongAnswer
			}
			r := placer.Request{Adapter: adapter, BaseModel: "base", PromptTokens: size.Prompt, AnswerTokens: 1 + int(rng.ExpFloat64()*float64(mean))}
			if size.PrefixTokens > 0 {
				r.PrefixHash, r.PrefixTokens = "catalogue", size.PrefixTokens
			}
			entry := rng.IntN(size.Entries)
			r.FailureDomain = "domain-" + strconv.Itoa(entry%size.Domains)
			trace = append(trace, call{arrival: when, entry: entry, request: r, since: -1})
			if rng.Float64() >= 1-1/size.Session {
				break
			}
		}
	}
	slices.SortStableFunc(trace, func(a, b call) int { return int(a.arrival - b.arrival) })
	for i := range trace {
		trace[i].id = "request-" + strconv.Itoa(i)
	}
	return trace
}

// belady is the offline bound: the least loads with the same total of slots in one pool, knowing the future.
func belady(size PlacementSize, scenario PlacementScenario, trace []call) PlacementResult {
	from, to := size.measured(scenario)
	next := make([]int, len(trace))
	last := map[string]int{}
	for i := len(trace) - 1; i >= 0; i-- {
		next[i] = len(trace)
		if n, ok := last[trace[i].request.Adapter]; ok {
			next[i] = n
		}
		last[trace[i].request.Adapter] = i
	}
	resident := map[string]int{} // Next use by adapter.
	result := PlacementResult{Size: size.Name, Scenario: scenario, Policy: "offline bound (Belady)"}
	misses := 0
	for i, c := range trace {
		_, hit := resident[c.request.Adapter]
		if counted := c.arrival >= from && c.arrival < to; counted {
			result.Requests++
			if !hit {
				misses++
			}
		}
		if !hit && len(resident) == size.Engines*size.Slots {
			victim, at := "", -1
			for name, n := range resident {
				if n > at {
					victim, at = name, n
				}
			}
			delete(resident, victim)
		}
		resident[c.request.Adapter] = next[i]
	}
	result.Stalls = 1000 * float64(misses) / float64(result.Requests)
	result.Loads = result.Stalls
	return result
}
