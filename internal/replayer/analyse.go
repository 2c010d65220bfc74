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

// aroundLoss is how long after a loss the looser bound on wrongful refusals holds.
const aroundLoss = 10 * time.Second

// bucket is an organisation's exact fleet-wide bucket, against which refusals are judged.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) advance(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*max(0, now-b.at).Seconds())
	b.at = max(b.at, now)
}

// cost is what an entry reserves: one token for each four bytes begun and one more, and the largest answer.
func cost(r driver.Request) float64 {
	size := len(r.Body)
	if r.Kind == driver.Completion {
		size = len(r.Prompt)
	}
	return float64((size+3)/4 + 1 + r.MaxTokens)
}

// refusals judges the refusals of a replay. One is wrongful when the organisation's exact bucket, filled with what was
// admitted so far, held the tokens. Bookings refused because the store could not take a claim are as promised.
func (m *Measured) refusals(t Trace, speed float64, results []driver.Result) {
	buckets := map[string]*bucket{}
	for _, o := range t.Fleet.Organisations {
		buckets[o.Name] = &bucket{rate: o.Rate * speed, burst: o.Burst, level: o.Burst}
	}
	var losses []time.Duration
	for _, l := range t.Lines {
		if l.Kind == KindEngineRestarts {
			losses = append(losses, scaled(l, speed))
		}
	}
	slices.SortFunc(results, func(a, b driver.Result) int { return int(a.Sent - b.Sent) })
	m.WrongfulCodes = map[string]int{}
	var wrongful, requests [2]int
	for _, r := range results {
		period := 0
		if slices.ContainsFunc(losses, func(loss time.Duration) bool {
			return r.Sent >= loss && r.Sent < loss+time.Duration(float64(aroundLoss)/speed)
		}) {
			period = 1
		}
		requests[period]++
		b := buckets[r.Organisation]
		b.advance(r.Sent)
		switch {
		case !r.Refused() && r.Status != 0:
			b.level = max(0, b.level-cost(r.Request))
		case r.Code == "claim_unavailable":
			m.ClaimsRefused++
		case r.Status == http.StatusUnauthorized:
		case r.Status == 0 || b.level >= cost(r.Request):
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

// fairness finds the organisation whose p99 to the first token grew most beside the neighbour.
func (m *Measured) fairness(t Trace, speed float64, results []driver.Result) {
	var quiet, loud, end time.Duration
	neighbour := ""
	for _, l := range t.Lines {
		switch l.Kind {
		case KindQuietStarts:
			quiet = scaled(l, speed)
		case KindNeighbourStarts:
			loud, neighbour = scaled(l, speed), l.Organisation
		case KindNeighbourEnds:
			end = scaled(l, speed)
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
		alone, streams := firstTokenP99(results, o.Name, quiet, loud)
		beside, _ := firstTokenP99(results, o.Name, loud, end)
		if ratio := beside / alone; !math.IsNaN(ratio) && (math.IsNaN(m.WorstRatio) || ratio > m.WorstRatio) {
			m.WorstRatio = ratio
			m.WorstOrganisation = fmt.Sprintf("%s, p99 %.0f ms in quiet and %.0f ms beside %s, of %d streams", o.Name, alone*1000, beside*1000, neighbour, streams)
		}
	}
}

func firstTokenP99(results []driver.Result, organisation string, from, to time.Duration) (p99 float64, streams int) {
	var all []time.Duration
	for _, r := range results {
		if r.Organisation == organisation && r.OK && r.Stream && r.Offset >= from && r.Offset < to {
			all = append(all, r.FirstToken)
		}
	}
	if len(all) == 0 {
		return math.NaN(), 0
	}
	slices.Sort(all)
	return all[int(math.Ceil(0.99*float64(len(all))))-1].Seconds(), len(all)
}

// leastLoadedStalls simulates the same completions under the least-loaded baseline, with slots evicted in order of last
// use, and returns its loads per 1,000. Waiters that join a load are not counted, which favours the baseline.
func leastLoadedStalls(t Trace) float64 {
	f := t.Fleet
	speed := float64(f.Batch) * 1000 / max(f.StepMs, 0.001)
	slots, queued := make([]*simplelru.LRU[string, bool], f.Models), make([]float64, f.Models)
	for i := range slots {
		// Only a size below 1 is an error.
		slots[i], _ = simplelru.NewLRU[string, bool](max(1, f.Slots), nil)
	}
	stalls, completions, last, next := 0, 0, time.Duration(0), 0
	for _, l := range t.Lines {
		if l.Kind == KindVMArrives {
			fresh, _ := simplelru.NewLRU[string, bool](max(1, f.Slots), nil)
			slots, queued = append(slots, fresh), append(queued, 0)
		}
		if l.Kind != KindCompletion {
			continue
		}
		drained := (l.Offset() - last).Seconds() * speed
		last = l.Offset()
		best := next % len(queued)
		for i := range queued {
			queued[i] = max(0, queued[i]-drained)
		}
		for i := range queued {
			// The start of the search moves on, so that ties spread over all endpoints.
			if candidate := (next + i) % len(queued); queued[candidate] < queued[best] {
				best = candidate
			}
		}
		next++
		queued[best] += float64(l.AnswerTokens)
		completions++
		if _, resident := slots[best].Get(l.Route); !resident {
			slots[best].Add(l.Route, true)
			stalls++
		}
	}
	return perThousand(stalls, completions)
}

// shownSlowest is how many of the slowest requests a report names.
const shownSlowest = 5

// slowest describes the slowest whole answers, by which a fault in the fleet is found in its log.
func slowest(results []driver.Result) []string {
	sorted := slices.Clone(results)
	slices.SortFunc(sorted, func(a, b driver.Result) int { return int(b.Total - a.Total) })
	var all []string
	for _, r := range sorted[:min(len(sorted), shownSlowest)] {
		all = append(all, fmt.Sprintf("%s on %s sent after %s took %s", r.Kind, r.Route,
			r.Sent.Round(time.Millisecond), r.Total.Round(time.Millisecond)))
	}
	return all
}
