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

// PlacementSize describes a user's deployment, its engines and its traffic.
type PlacementSize struct {
	Name      string
	Engines   int
	Domains   int
	Entries   int
	Slots     int
	Adapters  int
	LoadsRate float64 // Adapter loads per second over the fleet.
	// ZipfExponent is the exponent of the Zipf distribution of adapter popularity.
	ZipfExponent float64
	// SessionRequests is the mean number of consecutive requests for one adapter, with a mean interval of SessionGap;
	// 1 means no sessions.
	SessionRequests float64
	SessionGap      time.Duration
	// Busy is the utilisation of the engines.
	Busy float64
	// Prompt is the number of tokens of a prompt; PrefixTokens is that of the prefix shared by all requests of an
	// adapter.
	Prompt, PrefixTokens int
	// ShortResponse and LongResponse are mean response lengths in tokens; LongShare is the fraction of long responses.
	ShortResponse, LongResponse int
	LongShare                   float64
	HopLatency                  time.Duration
	Duration                    time.Duration
}

// Vunidawa returns the current size of the user Vunidawa.
func Vunidawa() PlacementSize {
	return PlacementSize{Name: "Vunidawa", Engines: 12, Domains: 3, Entries: 3, Slots: 8, Adapters: 3000, LoadsRate: 3, ZipfExponent: 1.1,
		SessionRequests: 6, SessionGap: 4 * time.Second, Busy: 0.7, Prompt: 600, ShortResponse: 80, LongResponse: 300, LongShare: 0.3,
		HopLatency: 1500 * time.Microsecond, Duration: 10 * time.Minute}
}

// Accra returns the current size of the user Accra.
func Accra() PlacementSize {
	return PlacementSize{Name: "Accra", Engines: 18, Domains: 3, Entries: 3, Slots: 8, Adapters: 3000, LoadsRate: 4, ZipfExponent: 1.1,
		SessionRequests: 6, SessionGap: 4 * time.Second, Busy: 0.7, Prompt: 1500, PrefixTokens: 1200, ShortResponse: 60, LongResponse: 250, LongShare: 0.4,
		HopLatency: time.Millisecond, Duration: 10 * time.Minute}
}

// rate returns the number of requests per second at which the engines' utilisation is Busy.
func (s PlacementSize) rate() float64 {
	steps := float64(s.ShortResponse)*(1-s.LongShare) + float64(s.LongResponse)*s.LongShare + math.Ceil(float64(s.Prompt-s.PrefixTokens)/prefillChunkTokens)
	return s.Busy * float64(s.Engines) * engineBatchSize / (steps * stepTime(engineBatchSize).Seconds())
}

// newPlacementTrace generates the requests in order of arrival.
func newPlacementTrace(seed uint64, size PlacementSize, scenario PlacementScenario) []call {
	rng := rand.New(rand.NewPCG(seed, 1))
	cumulative := make([]float64, size.Adapters)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -size.ZipfExponent)
		cumulative[i] = sum
	}
	names := rng.Perm(size.Adapters)
	shifted := rng.Perm(size.Adapters)
	var trace []call
	for at := time.Duration(0); at < size.Duration; at += time.Duration(rng.ExpFloat64() * size.SessionRequests / size.rate() * float64(time.Second)) {
		rank, _ := slices.BinarySearch(cumulative, rng.Float64()*sum)
		name := names[rank]
		if scenario == Shift && at >= size.event() {
			name = shifted[rank]
		}
		adapter := fmt.Sprintf("adapter-%d@1", name)
		for when := at; when < size.Duration; when += time.Duration(rng.ExpFloat64() * float64(size.SessionGap)) {
			mean := size.ShortResponse
			if rng.Float64() < size.LongShare {
				mean = size.LongResponse
			}
			r := placer.Request{Adapter: adapter, BaseModel: "base", PromptTokens: size.Prompt, AnswerTokens: 1 + int(rng.ExpFloat64()*float64(mean))}
			if size.PrefixTokens > 0 {
				r.PrefixHash, r.PrefixTokens = "catalogue", size.PrefixTokens
			}
			entry := rng.IntN(size.Entries)
			r.FailureDomain = "domain-" + strconv.Itoa(entry%size.Domains)
			trace = append(trace, call{arrival: when, entry: entry, request: r, stallStart: -1})
			if rng.Float64() >= 1-1/size.SessionRequests {
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

// offlineBound returns the minimum number of loads for the trace (Belady's algorithm): all slots form one pool, and
// future requests are known.
func offlineBound(size PlacementSize, scenario PlacementScenario, trace []call) PlacementResult {
	from, to := size.measuredWindow(scenario)
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
			victim, furthest := "", -1
			for name, n := range resident {
				if n > furthest {
					victim, furthest = name, n
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
