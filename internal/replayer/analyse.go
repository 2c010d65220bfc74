package replayer

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"geraniumladder/internal/driver"
)

// engineLossWindow is the time at normal speed after an engine restart in which wrongful refusals are counted in
// WrongfulAroundLoss, which has a looser bound than WrongfulSteady.
const engineLossWindow = 10 * time.Second

// exactBucket is the exact fleet-wide token bucket of an organisation, the reference for wrongful refusals.
type exactBucket struct {
	rate, burst, level float64
	updatedAt          time.Duration
}

func (b *exactBucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*max(0, now-b.updatedAt).Seconds())
	b.updatedAt = max(b.updatedAt, now)
}

// reservedTokens returns the tokens that an entry reserves for a request: one for each started group of four bytes, one
// more, and the maximum answer length.
func reservedTokens(r driver.Request) float64 {
	size := len(r.Body)
	if r.Kind == driver.Completion {
		size = len(r.Prompt)
	}
	return float64((size+3)/4 + 1 + r.MaxTokens)
}

// countWrongfulRefusals counts the wrongful refusals of a replay. A refusal is wrongful if the organisation's exact
// bucket, charged with the requests admitted so far, held enough tokens. Bookings refused because the store could not
// record the claim are expected and counted in ClaimsRefused.
func (m *Measured) countWrongfulRefusals(t Trace, speed float64, results []driver.Result) {
	buckets := map[string]*exactBucket{}
	for _, o := range t.Fleet.Organisations {
		buckets[o.Name] = &exactBucket{rate: o.Rate * speed, burst: o.Burst, level: o.Burst}
	}
	var losses []time.Duration
	for _, l := range t.Lines {
		if l.Kind == KindEngineRestarts {
			losses = append(losses, scaledOffset(l, speed))
		}
	}
	slices.SortFunc(results, func(a, b driver.Result) int { return int(a.Sent - b.Sent) })
	m.WrongfulCodes = map[string]int{}
	var wrongful, requests [2]int
	for _, r := range results {
		period := 0
		if slices.ContainsFunc(losses, func(loss time.Duration) bool {
			return r.Sent >= loss && r.Sent < loss+time.Duration(float64(engineLossWindow)/speed)
		}) {
			period = 1
		}
		requests[period]++
		b := buckets[r.Organisation]
		b.refill(r.Sent)
		switch {
		case !r.Refused() && r.Status != 0:
			b.level = max(0, b.level-reservedTokens(r.Request))
		case r.Code == "claim_unavailable":
			m.ClaimsRefused++
		case r.Status == http.StatusUnauthorized:
		case r.Status == 0 || b.level >= reservedTokens(r.Request):
			wrongful[period]++
			m.WrongfulCodes[fmt.Sprintf("%d %s", r.Status, r.Code)]++
		}
	}
	m.WrongfulSteady, m.WrongfulAroundLoss = perThousand(wrongful[0], requests[0]), perThousand(wrongful[1], requests[1])
}

func perThousand(n, of int) float64 {
	if of == 0 {
		return math.NaN()
	}
	return float64(n) * 1000 / float64(of)
}

// measureFairness finds the organisation whose p99 time to first token increased most, as a ratio, in the noisy
// neighbour phase over the quiet phase.
func (m *Measured) measureFairness(t Trace, speed float64, results []driver.Result) {
	var quietStart, neighbourStart, neighbourEnd time.Duration
	neighbour := ""
	for _, l := range t.Lines {
		switch l.Kind {
		case KindQuietStarts:
			quietStart = scaledOffset(l, speed)
		case KindNeighbourStarts:
			neighbourStart, neighbour = scaledOffset(l, speed), l.Organisation
		case KindNeighbourEnds:
			neighbourEnd = scaledOffset(l, speed)
		default:
		}
	}
	m.WorstRatio = math.NaN()
	if neighbour == "" {
		return
	}
	for _, o := range t.Fleet.Organisations {
		if o.Name == neighbour {
			continue
		}
		quietP99, streams := firstTokenP99(results, o.Name, quietStart, neighbourStart)
		neighbourP99, _ := firstTokenP99(results, o.Name, neighbourStart, neighbourEnd)
		if ratio := neighbourP99 / quietP99; !math.IsNaN(ratio) && (math.IsNaN(m.WorstRatio) || ratio > m.WorstRatio) {
			m.WorstRatio = ratio
			m.WorstOrganisation = fmt.Sprintf("%s, p99 %.0f ms in quiet and %.0f ms beside %s, of %d streams", o.Name, quietP99*1000, neighbourP99*1000, neighbour, streams)
		}
	}
}

func firstTokenP99(results []driver.Result, organisation string, from, to time.Duration) (p99 float64, streams int) {
	var latencies []time.Duration
	for _, r := range results {
		if r.Organisation == organisation && r.OK && r.Stream && r.Offset >= from && r.Offset < to {
			latencies = append(latencies, r.FirstToken)
		}
	}
	if len(latencies) == 0 {
		return math.NaN(), 0
	}
	slices.Sort(latencies)
	return latencies[int(math.Ceil(0.99*float64(len(latencies))))-1].Seconds(), len(latencies)
}

// simulateLeastLoadedStalls replays the completions on a simulated least-loaded router with LRU eviction of adapter
// slots and returns its adapter loads per 1,000 completions. Requests that join a running load are not counted, which
// favours the baseline.
func simulateLeastLoadedStalls(t Trace) float64 {
	f := t.Fleet
	speed := float64(f.Batch) * 1000 / max(f.StepMs, 0.001)
	caches, queued := make([]*simplelru.LRU[string, bool], f.Models), make([]float64, f.Models)
	for i := range caches {
		// NewLRU fails only for sizes below 1.
		caches[i], _ = simplelru.NewLRU[string, bool](max(1, f.Slots), nil)
	}
	stalls, completions, last, searchStart := 0, 0, time.Duration(0), 0
	for _, l := range t.Lines {
		if l.Kind == KindVMArrives {
			cache, _ := simplelru.NewLRU[string, bool](max(1, f.Slots), nil)
			caches, queued = append(caches, cache), append(queued, 0)
		}
		if l.Kind != KindCompletion {
			continue
		}
		drained := (l.Offset() - last).Seconds() * speed
		last = l.Offset()
		best := searchStart % len(queued)
		for i := range queued {
			queued[i] = max(0, queued[i]-drained)
		}
		for i := range queued {
			// The search starts at another endpoint each time to distribute ties over all endpoints.
			if candidate := (searchStart + i) % len(queued); queued[candidate] < queued[best] {
				best = candidate
			}
		}
		searchStart++
		queued[best] += float64(l.AnswerTokens)
		completions++
		if _, resident := caches[best].Get(l.Route); !resident {
			caches[best].Add(l.Route, true)
			stalls++
		}
	}
	return perThousand(stalls, completions)
}

// maxSlowest is the number of slow requests listed in a report.
const maxSlowest = 5

// describeSlowest describes the requests with the longest total time, so that they can be looked up in the fleet's log.
func describeSlowest(results []driver.Result) []string {
	sorted := slices.Clone(results)
	slices.SortFunc(sorted, func(a, b driver.Result) int { return int(b.Total - a.Total) })
	var descriptions []string
	for _, r := range sorted[:min(len(sorted), maxSlowest)] {
		descriptions = append(descriptions, fmt.Sprintf("%s on %s sent after %s took %s", r.Kind, r.Route,
			r.Sent.Round(time.Millisecond), r.Total.Round(time.Millisecond)))
	}
	return descriptions
}
