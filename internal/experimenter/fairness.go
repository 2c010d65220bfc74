package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumladder/pkg/scheduler"
)

// Model of an engine. One step advances the whole batch: each running request whose prompt has been processed gets one
// token, and up to fairnessPrefillTokens prompt tokens are processed in the order in which requests joined the batch.
const (
	fairnessStepTime      = 20 * time.Millisecond
	fairnessPrefillTokens = 1024
	fairnessBatchSize     = 16
	// fairnessMaxResponseTokens is the maximum response length that callers request; most responses are much shorter.
	fairnessMaxResponseTokens = 400
	// fairnessReportInterval is the interval between load reports, and so the maximum age of an entry's view of an
	// endpoint's queue.
	fairnessReportInterval = 200 * time.Millisecond
	fairnessExcessFactor   = 5
	// fairnessLimitRatio is the ratio of an organisation's rate limit to its usual rate.
	fairnessLimitRatio    = 1.25
	fairnessBurstDuration = 10 * time.Second
	// FairnessDuration is the length of a measurement in virtual time.
	FairnessDuration = 15 * time.Minute
	// FairnessTarget is the maximum of FairnessRow.Ratio and FairnessRow.ShareRatio, which compare an organisation alone
	// with the same organisation while the neighbour exceeds its rate.
	FairnessTarget = 1.25
)

// fairnessOrganisations lists two large and three small organisations. The first one, the neighbour, sends
// fairnessExcessFactor times its rate.
var fairnessOrganisations = []struct {
	name   string
	weight float64
}{{"neighbour", 3}, {"large", 3}, {"small-1", 1}, {"small-2", 1}, {"small-3", 1}}

// FairnessConfig configures a measurement.
type FairnessConfig struct {
	Seed      uint64
	Endpoints int
	// Use is the utilisation of the endpoints when every organisation sends at its rate.
	Use      float64
	Duration time.Duration
	Variants []FairnessVariant
}

// fairnessEntryCount is the number of entries. An entry has exact counts only of the requests that it sent itself.
const fairnessEntryCount = 3

// FairnessVariant is a combination of queueing policy, placement and rate limits.
type FairnessVariant struct {
	Name   string
	Policy scheduler.Policy
	// Credit and ReservedSlots are set as CreditTokens and ReservedSlots of scheduler.Config.
	Credit        float64
	ReservedSlots int
	// FairPlacement makes entries compare endpoints by a sum: the endpoint's fairTokens, and the tokens that the entry
	// has outstanding there for the request's organisation. Otherwise they compare totalTokens.
	FairPlacement bool
	// Limited makes entries refuse the neighbour's requests above its rate limit, as the product does. The limit is
	// 1.25 times its usual rate, with a burst of ten seconds at that limit.
	Limited bool
}

// FairnessVariants returns the baselines, the intermediate steps to the product's queueing and placement, and last the
// product with its rate limits.
func FairnessVariants() []FairnessVariant {
	// The credit is in tokens; reserved is a number of batch slots.
	const credit, reserved = 40_000, 6
	return []FairnessVariant{
		{"first in first out", scheduler.FirstInFirstOut{}, 0, 0, false, false},
		{"round robin", scheduler.RoundRobin{}, 0, 0, false, false},
		{"token counter", scheduler.VirtualTokenCounter{}, 0, 0, false, false},
		{"with credit", scheduler.VirtualTokenCounter{}, credit, 0, false, false},
		{"with credit and reserve", scheduler.VirtualTokenCounter{}, credit, reserved, false, false},
		{"with credit, reserve and fair placement", scheduler.VirtualTokenCounter{}, credit, reserved, true, false},
		{"the same behind rate limits", scheduler.VirtualTokenCounter{}, credit, reserved, true, true},
	}
}

// FairnessRow is the result of one variant.
type FairnessRow struct {
	Use       float64
	Endpoints int
	Variant   string
	// Organisation is the one, other than the neighbour, with the highest ratio of p99 during the excess to p99 alone.
	Organisation string
	// Alone, AtRate and Excess are the p99 time to first token of Organisation: without other organisations, while the
	// neighbour sends at its rate, and while the neighbour sends at fairnessExcessFactor times its rate.
	Alone, AtRate, Excess time.Duration
	// Share is the fraction of requested tokens that were served by the end of the trace, for the organisation for
	// which it is lowest; ShareAlone is that organisation's fraction without the others.
	Share, ShareAlone float64
	// Batch is the mean batch utilisation during the excess.
	Batch float64
}

// Ratio returns the p99 during the excess divided by the p99 alone.
func (r FairnessRow) Ratio() float64 { return float64(r.Excess) / float64(r.Alone) }

// ShareRatio returns the share alone divided by the share during the excess.
func (r FairnessRow) ShareRatio() float64 { return r.ShareAlone / r.Share }

// Met reports whether both ratios are within FairnessTarget.
func (r FairnessRow) Met() bool {
	return r.Ratio() <= FairnessTarget && r.ShareRatio() <= FairnessTarget
}

// ExcessRatio returns the p99 during the excess divided by the p99 of the same trace without the excess requests.
func (r FairnessRow) ExcessRatio() float64 { return float64(r.Excess) / float64(r.AtRate) }

// Fairness measures, in virtual time, how a neighbour that sends several times its rate affects the other
// organisations. Entries spread requests over the endpoints of each fleet size. Each fleet is measured with two
// loads: when every organisation sends at its rate, the endpoints are utilised to 50% or 70%.
func Fairness(seed uint64, fleets []int) []FairnessRow {
	var rows []FairnessRow
	for _, use := range []float64{0.5, 0.7} {
		for _, endpoints := range fleets {
			rows = append(rows, MeasureFairness(FairnessConfig{Seed: seed, Endpoints: endpoints, Use: use,
				Duration: FairnessDuration, Variants: FairnessVariants()})...)
		}
	}
	return rows
}

// MeasureFairness measures all variants on the same trace.
func MeasureFairness(c FairnessConfig) []FairnessRow {
	trace := newFairnessTrace(c)
	runWhere := func(v FairnessVariant, keep func(fairnessCall) bool) fairnessResult {
		var calls []fairnessCall
		for _, call := range trace {
			if keep(call) {
				calls = append(calls, call)
			}
		}
		return runFairness(c, v, calls)
	}
	var rows []FairnessRow
	for _, v := range c.Variants {
		atRate := runWhere(v, func(call fairnessCall) bool { return !call.excess })
		excess := runWhere(v, func(fairnessCall) bool { return true })
		row := FairnessRow{Use: c.Use, Endpoints: c.Endpoints, Variant: v.Name, Share: math.Inf(1), Batch: excess.batch}
		for _, o := range fairnessOrganisations[1:] {
			alone := runWhere(v, func(call fairnessCall) bool { return call.Organisation == o.name })
			p99, p99Alone := excess.p99(o.name), alone.p99(o.name)
			if row.Organisation == "" || float64(p99)/float64(p99Alone) > row.Ratio() {
				row.Organisation, row.Alone, row.AtRate, row.Excess = o.name, p99Alone, atRate.p99(o.name), p99
			}
			if share := excess.share(o.name); share < row.Share {
				row.Share, row.ShareAlone = share, alone.share(o.name)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// fairnessCall is a request of the trace together with its response length, which only the engine knows.
type fairnessCall struct {
	scheduler.Request
	responseTokens int
	// entry is the index of the entry that received the request.
	entry int
	// excess is set for requests above the organisation's rate.
	excess bool
}

// newFairnessTrace generates Poisson arrivals. Prompts and responses have log-normal lengths, as in chat and drafting.
func newFairnessTrace(c FairnessConfig) []fairnessCall {
	var calls []fairnessCall
	for i, o := range fairnessOrganisations {
		rng := rand.New(rand.NewPCG(c.Seed, uint64(i)))
		rate := c.rate(o.weight)
		multiple := 1
		if i == 0 {
			multiple = fairnessExcessFactor
		}
		for part := range multiple {
			for at := time.Duration(0); ; {
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				if at > c.Duration {
					break
				}
				responseTokens := min(int(logNormal(rng, 100, 0.6)), fairnessMaxResponseTokens)
				calls = append(calls, fairnessCall{excess: part > 0, responseTokens: max(responseTokens, 1), Request: scheduler.Request{
					Organisation: o.name, Weight: o.weight, Arrived: at, AnswerTokens: fairnessMaxResponseTokens,
					PromptTokens: 1 + min(int(logNormal(rng, 600, 0.8)), 8000),
				}})
			}
		}
	}
	slices.SortStableFunc(calls, func(a, b fairnessCall) int { return int(a.Arrived - b.Arrived) })
	for i := range calls {
		calls[i].ID = fmt.Sprint(i)
	}
	return calls
}

// rate returns the requests per second of an organisation with the given weight.
func (c FairnessConfig) rate(weight float64) float64 {
	total := 0.0
	for _, o := range fairnessOrganisations {
		total += o.weight
	}
	// A request occupies a batch slot for about 100 decode steps and one prefill step.
	capacity := float64(c.Endpoints*fairnessBatchSize) / (101 * fairnessStepTime.Seconds())
	return c.Use * capacity * weight / total
}

// fairnessTokenBucket limits the neighbour's rate. One token stands for one request of mean size.
type fairnessTokenBucket struct {
	rate, tokens float64
	updatedAt    time.Duration
}

func (l *fairnessTokenBucket) allow(now time.Duration) bool {
	l.tokens = min(l.tokens+l.rate*(now-l.updatedAt).Seconds(), l.rate*fairnessBurstDuration.Seconds())
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// logNormal returns a sample of the log-normal distribution with the given mean.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma + math.Log(mean) - sigma*sigma/2)
}

// fairnessResult holds the results of one run, by organisation.
type fairnessResult struct {
	firstTokens  map[string][]time.Duration
	sent, served map[string]float64
	batch        float64
}

func (r fairnessResult) share(organisation string) float64 {
	return r.served[organisation] / r.sent[organisation]
}

func (r fairnessResult) p99(organisation string) time.Duration {
	times := slices.Sorted(slices.Values(r.firstTokens[organisation]))
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)*99/100, len(times)-1)]
}

// fairnessEndpoint models a sidecar's queue and its engine.
type fairnessEndpoint struct {
	queue     scheduler.Queue
	running   []*fairnessRunning
	runningBy map[string]int
	// totalTokens and fairTokens are the load as entries see it, set by reportLoad. Both include the running requests.
	// totalTokens adds all waiting requests and those sent since the last report; fairTokens adds
	// scheduler.Queue.ShortBacklogTokens as of the last report.
	totalTokens, fairTokens float64
	// outstanding is the cost of requests that were sent and have not completed, by entry and organisation.
	outstanding [fairnessEntryCount]map[string]float64
}

type fairnessRunning struct {
	fairnessCall
	prefilledTokens, responseTokens int
}

func runFairness(c FairnessConfig, v FairnessVariant, calls []fairnessCall) fairnessResult {
	result := fairnessResult{firstTokens: map[string][]time.Duration{}, sent: map[string]float64{}, served: map[string]float64{}}
	byID := make(map[string]fairnessCall, len(calls))
	endpoints := make([]*fairnessEndpoint, c.Endpoints)
	for i := range endpoints {
		e := &fairnessEndpoint{runningBy: map[string]int{}, queue: scheduler.New(scheduler.Config{Policy: v.Policy,
			MaxRunning: fairnessBatchSize, ReservedSlots: v.ReservedSlots, CreditTokens: v.Credit,
			ReservedTokens: fairnessBatchSize * scheduler.Cost(600, fairnessMaxResponseTokens),
		})}
		for entry := range e.outstanding {
			e.outstanding[entry] = map[string]float64{}
		}
		endpoints[i] = e
	}
	rng := rand.New(rand.NewPCG(c.Seed, math.MaxUint64))
	neighbour := fairnessOrganisations[0]
	limit := &fairnessTokenBucket{rate: fairnessLimitRatio * c.rate(neighbour.weight)}
	limit.tokens = limit.rate * fairnessBurstDuration.Seconds()
	steps, busy := 0, 0
	for now := time.Duration(0); now < c.Duration; now += fairnessStepTime {
		if now%fairnessReportInterval == 0 {
			for _, e := range endpoints {
				e.reportLoad(now)
			}
		}
		for len(calls) > 0 && calls[0].Arrived <= now {
			call := calls[0]
			calls = calls[1:]
			if v.Limited && call.Organisation == neighbour.name && !limit.allow(now) {
				continue
			}
			call.entry = rng.IntN(fairnessEntryCount)
			byID[call.ID] = call
			result.sent[call.Organisation] += scheduler.Cost(call.PromptTokens, call.responseTokens)
			// The entry picks the better of two random endpoints.
			e, other := endpoints[rng.IntN(c.Endpoints)], endpoints[rng.IntN(c.Endpoints)]
			if other.score(call, v) < e.score(call, v) {
				e = other
			}
			e.send(call, now)
		}
		for _, e := range endpoints {
			e.startRequests(byID, now)
			steps++
			busy += len(e.running)
			e.step(now+fairnessStepTime, result)
		}
	}
	result.batch = float64(busy) / float64(steps*fairnessBatchSize)
	return result
}

// reportLoad updates the load that entries see.
func (e *fairnessEndpoint) reportLoad(now time.Duration) {
	running := 0.0
	for _, r := range e.running {
		running += r.Cost()
	}
	e.totalTokens, e.fairTokens = e.queue.Load().Tokens+running, e.queue.ShortBacklogTokens(now)+running
}

func (e *fairnessEndpoint) score(call fairnessCall, v FairnessVariant) float64 {
	if v.FairPlacement {
		return e.fairTokens + e.outstanding[call.entry][call.Organisation]
	}
	return e.totalTokens
}

func (e *fairnessEndpoint) send(call fairnessCall, now time.Duration) {
	e.totalTokens += call.Cost()
	e.outstanding[call.entry][call.Organisation] += call.Cost()
	e.queue = e.queue.WithRequest(call.Request, now)
}

// startRequests moves requests from the queue to the engine while the scheduler allows it.
func (e *fairnessEndpoint) startRequests(byID map[string]fairnessCall, now time.Duration) {
	for {
		var r scheduler.Request
		var ok bool
		e.queue, r, ok = e.queue.Next(scheduler.State{Running: len(e.running),
			RunningBy: func(organisation string) int { return e.runningBy[organisation] }}, now)
		if !ok {
			return
		}
		e.runningBy[r.Organisation]++
		e.running = append(e.running, &fairnessRunning{fairnessCall: byID[r.ID]})
	}
}

// step runs one engine step that ends at now.
func (e *fairnessEndpoint) step(now time.Duration, result fairnessResult) {
	budget := fairnessPrefillTokens
	remaining := e.running[:0]
	for _, r := range e.running {
		if r.prefilledTokens < r.PromptTokens {
			part := min(budget, r.PromptTokens-r.prefilledTokens)
			r.prefilledTokens += part
			budget -= part
			result.served[r.Organisation] += float64(part)
			if r.prefilledTokens < r.PromptTokens {
				remaining = append(remaining, r)
				continue
			}
			result.firstTokens[r.Organisation] = append(result.firstTokens[r.Organisation], now-r.Arrived)
		}
		r.responseTokens++
		result.served[r.Organisation] += scheduler.Cost(0, 1)
		if r.responseTokens < r.fairnessCall.responseTokens {
			remaining = append(remaining, r)
			continue
		}
		e.runningBy[r.Organisation]--
		e.outstanding[r.entry][r.Organisation] -= r.Cost()
		e.queue = e.queue.WithCompletion(r.Request, r.PromptTokens, r.responseTokens)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// FairnessTable formats the rows as a table.
func FairnessTable(rows []FairnessRow) Table {
	t := Table{Header: []string{"Use", "Endpoints", "Order", "Worst served", "p99 alone", "p99 at 1x", "p99 at 5x",
		"To alone", "To 1x", "Share", "Share alone", "Batch used", "Within 1.25"}}
	for _, r := range rows {
		met := "no"
		if r.Met() {
			met = "yes"
		}
		t.Rows = append(t.Rows, []string{fmt.Sprint(r.Use), fmt.Sprint(r.Endpoints), r.Variant, r.Organisation, milliseconds(r.Alone),
			milliseconds(r.AtRate), milliseconds(r.Excess), fmt.Sprintf("%.2f", r.Ratio()),
			fmt.Sprintf("%.2f", r.ExcessRatio()), fmt.Sprintf("%.3f", r.Share), fmt.Sprintf("%.3f", r.ShareAlone), fmt.Sprintf("%.2f", r.Batch), met})
	}
	return t
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
