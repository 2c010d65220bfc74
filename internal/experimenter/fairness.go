// Package experimenter compares policies side by side in virtual time and writes the tables. It owns no state: each
// experiment runs on values of the decision packages and on a model of the engines, without I/O, and does not depend on
// the platform's store.
package experimenter

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"

	"geraniumladder/pkg/scheduler"
)

// The engine of the model makes one step for all of its batch: each running request whose prompt has been processed
// gets a token, and up to fairnessPrefill prompt tokens are processed, in the order in which requests were given to it.
const (
	fairnessStep    = 20 * time.Millisecond
	fairnessPrefill = 1024
	fairnessBatch   = 16
	// fairnessAnswerLimit is the limit that callers set; most responses are much shorter.
	fairnessAnswerLimit = 400
	fairnessDuration    = 30 * time.Minute
	// fairnessReport is the age up to which an entry's view of an endpoint's queue is out of date.
	fairnessReport = 200 * time.Millisecond
	fairnessExcess = 5
	// FairnessTarget is the largest allowed ratio of an organisation's figure to its figure alone.
	FairnessTarget = 1.25
)

// fairnessOrganisations are two large and three small organisations; the first one sends several times its rate.
// Shares sum to 1. At their rates they use fairnessUse of the endpoints.
var fairnessOrganisations = []struct {
	name   string
	weight float64
}{{"neighbour", 3}, {"large", 3}, {"small-1", 1}, {"small-2", 1}, {"small-3", 1}}

// fairnessUse is the part of the endpoints' capacity that all organisations use together at their rates.
const fairnessUse = 0.7

// FairnessVariant is one way to order the queue.
type FairnessVariant struct {
	Name   string
	Policy scheduler.Policy
	// Reserved is the part of the batch kept for organisations below their share.
	Reserved int
}

// FairnessVariants are the product's order and the baselines.
func FairnessVariants() []FairnessVariant {
	return []FairnessVariant{
		{"first in first out", scheduler.FirstInFirstOut{}, 0},
		{"round robin", scheduler.RoundRobin{}, 0},
		{"token counter", scheduler.TokenCounter{}, 0},
		{"token counter, 4 reserved", scheduler.TokenCounter{}, 4},
		{"token counter, 6 reserved", scheduler.TokenCounter{}, 6},
		{"token counter, 8 reserved", scheduler.TokenCounter{}, 8},
	}
}

// FairnessRow is the result of one variant.
type FairnessRow struct {
	Endpoints int
	Variant   string
	// Organisation is the worst-served one beside the neighbour, by p99.
	Organisation string
	// Alone, AtRate and Excess are its p99 to the first token: without the others, while the neighbour sends its
	// rate, and while it sends fairnessExcess times its rate.
	Alone, AtRate, Excess time.Duration
	// Share and ShareAlone are the parts of the tokens it was entitled to that it received by the end of the trace,
	// the worst over the organisations.
	Share, ShareAlone float64
	// Batch is the mean part of the batch that was used during the excess.
	Batch float64
}

// Ratio returns the p99 during the excess over the p99 alone.
func (r FairnessRow) Ratio() float64 { return float64(r.Excess) / float64(r.Alone) }

// ShareRatio returns the share alone over the share during the excess.
func (r FairnessRow) ShareRatio() float64 { return r.ShareAlone / r.Share }

// Met says whether the variant is within FairnessTarget.
func (r FairnessRow) Met() bool {
	return r.Ratio() <= FairnessTarget && r.ShareRatio() <= FairnessTarget
}

// Fairness measures, in virtual time and on the same trace, how much each organisation notices of a neighbour that
// sends several times its rate: at one endpoint, and at several over which entries spread the requests.
func Fairness(seed uint64) []FairnessRow {
	var rows []FairnessRow
	for _, endpoints := range []int{1, 4} {
		trace := fairnessTrace(seed, endpoints)
		for _, v := range FairnessVariants() {
			rows = append(rows, fairnessRow(v, endpoints, trace, seed))
		}
	}
	return rows
}

// fairnessCall is a request of the trace with the response length that only the engine knows.
type fairnessCall struct {
	scheduler.Request
	answer int
	// excess marks the requests beyond the organisation's rate.
	excess bool
}

// fairnessTrace draws Poisson arrivals; prompts and responses have log-normal lengths, as in chat and drafting.
func fairnessTrace(seed uint64, endpoints int) []fairnessCall {
	var calls []fairnessCall
	total := 0.0
	for _, o := range fairnessOrganisations {
		total += o.weight
	}
	for i, o := range fairnessOrganisations {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		// A request holds a place of the batch for about 100 steps of decoding and one of prefill.
		capacity := float64(endpoints*fairnessBatch) / (101 * fairnessStep.Seconds())
		rate := fairnessUse * capacity * o.weight / total
		multiple := 1
		if i == 0 {
			multiple = fairnessExcess
		}
		for part := range multiple {
			for at := time.Duration(0); ; {
				at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
				if at > fairnessDuration {
					break
				}
				answer := min(int(logNormal(rng, 100, 0.6)), fairnessAnswerLimit)
				calls = append(calls, fairnessCall{excess: part > 0, answer: max(answer, 1), Request: scheduler.Request{
					Organisation: o.name, Weight: o.weight, Arrived: at, AnswerTokens: fairnessAnswerLimit,
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

// logNormal draws from a log-normal distribution with the given mean.
func logNormal(rng *rand.Rand, mean, sigma float64) float64 {
	return math.Exp(rng.NormFloat64()*sigma + math.Log(mean) - sigma*sigma/2)
}

func fairnessRow(v FairnessVariant, endpoints int, trace []fairnessCall, seed uint64) FairnessRow {
	only := func(keep func(fairnessCall) bool) fairnessResult {
		var calls []fairnessCall
		for _, c := range trace {
			if keep(c) {
				calls = append(calls, c)
			}
		}
		return fairnessRun(v, endpoints, calls, seed)
	}
	atRate := only(func(c fairnessCall) bool { return !c.excess })
	excess := only(func(fairnessCall) bool { return true })
	row := FairnessRow{Endpoints: endpoints, Variant: v.Name, Share: math.Inf(1), Batch: excess.batch}
	for _, o := range fairnessOrganisations[1:] {
		alone := only(func(c fairnessCall) bool { return c.Organisation == o.name })
		p99, p99Alone := excess.p99(o.name), alone.p99(o.name)
		if row.Organisation == "" || float64(p99)/float64(p99Alone) > row.Ratio() {
			row.Organisation, row.Alone, row.AtRate, row.Excess = o.name, p99Alone, atRate.p99(o.name), p99
		}
		if share := excess.share(o.name); share < row.Share {
			row.Share, row.ShareAlone = share, alone.share(o.name)
		}
	}
	return row
}

// fairnessResult holds what organisations got in one run.
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

// fairnessEndpoint is one sidecar's queue and its engine.
type fairnessEndpoint struct {
	queue   scheduler.Queue
	running []*fairnessRunning
	by      map[string]int
	// reported is the cost of what waits as entries know it: the last report plus what was sent since.
	reported float64
}

type fairnessRunning struct {
	fairnessCall
	prompt, answer int
}

func fairnessRun(v FairnessVariant, n int, calls []fairnessCall, seed uint64) fairnessResult {
	result := fairnessResult{firstTokens: map[string][]time.Duration{}, sent: map[string]float64{}, served: map[string]float64{}}
	byID := make(map[string]fairnessCall, len(calls))
	endpoints := make([]*fairnessEndpoint, n)
	for i := range endpoints {
		endpoints[i] = &fairnessEndpoint{by: map[string]int{}, queue: scheduler.New(scheduler.Config{Policy: v.Policy,
			MaxRunning: fairnessBatch, Reserved: v.Reserved,
			ReservedTokens: fairnessBatch * scheduler.Cost(600, fairnessAnswerLimit),
		})}
	}
	rng := rand.New(rand.NewPCG(seed, math.MaxUint64))
	steps, busy := 0, 0
	for now := time.Duration(0); now < fairnessDuration; now += fairnessStep {
		for _, e := range endpoints {
			if now%fairnessReport == 0 {
				e.reported = e.queue.Load().Tokens
				for _, r := range e.running {
					e.reported += r.Cost()
				}
			}
		}
		for len(calls) > 0 && calls[0].Arrived <= now {
			c := calls[0]
			calls = calls[1:]
			byID[c.ID] = c
			result.sent[c.Organisation] += scheduler.Cost(c.PromptTokens, c.answer)
			// An entry takes the less loaded of two endpoints.
			e, other := endpoints[rng.IntN(n)], endpoints[rng.IntN(n)]
			if other.reported < e.reported {
				e = other
			}
			e.reported += c.Cost()
			e.queue = e.queue.WithRequest(c.Request, now)
		}
		for _, e := range endpoints {
			e.fill(byID, now)
			steps++
			busy += len(e.running)
			e.step(now+fairnessStep, result)
		}
	}
	result.batch = float64(busy) / float64(steps*fairnessBatch)
	return result
}

// fill gives the engine what the queue picks.
func (e *fairnessEndpoint) fill(byID map[string]fairnessCall, now time.Duration) {
	for {
		var r scheduler.Request
		var ok bool
		e.queue, r, ok = e.queue.Next(scheduler.State{Running: len(e.running),
			RunningBy: func(organisation string) int { return e.by[organisation] }}, now)
		if !ok {
			return
		}
		e.by[r.Organisation]++
		e.running = append(e.running, &fairnessRunning{fairnessCall: byID[r.ID]})
	}
}

// step makes one step of the engine, which ends at now.
func (e *fairnessEndpoint) step(now time.Duration, result fairnessResult) {
	budget := fairnessPrefill
	kept := e.running[:0]
	for _, r := range e.running {
		if r.prompt < r.PromptTokens {
			part := min(budget, r.PromptTokens-r.prompt)
			r.prompt += part
			budget -= part
			result.served[r.Organisation] += float64(part)
			if r.prompt < r.PromptTokens {
				kept = append(kept, r)
				continue
			}
			result.firstTokens[r.Organisation] = append(result.firstTokens[r.Organisation], now-r.Arrived)
		}
		r.answer++
		result.served[r.Organisation] += scheduler.Cost(0, 1)
		if r.answer < r.fairnessCall.answer {
			kept = append(kept, r)
			continue
		}
		e.by[r.Organisation]--
		e.queue = e.queue.WithCompletion(r.Request, r.PromptTokens, r.answer)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// WriteFairness writes rows as a table in Markdown.
func WriteFairness(w io.Writer, rows []FairnessRow) error {
	table := tablewriter.NewTable(w, tablewriter.WithRenderer(renderer.NewMarkdown()),
		tablewriter.WithHeaderAutoFormat(tw.Off))
	table.Header("Endpoints", "Order", "Worst served", "p99 alone", "p99, neighbour at its rate", "p99, neighbour at 5 times",
		"Ratio to alone", "Share of tokens", "Share alone", "Batch used", "Within 1.25")
	for _, r := range rows {
		met := "no"
		if r.Met() {
			met = "yes"
		}
		err := table.Append(fmt.Sprint(r.Endpoints), r.Variant, r.Organisation, milliseconds(r.Alone),
			milliseconds(r.AtRate), milliseconds(r.Excess), fmt.Sprintf("%.2f", r.Ratio()), fmt.Sprintf("%.3f", r.Share),
			fmt.Sprintf("%.3f", r.ShareAlone), fmt.Sprintf("%.2f", r.Batch), met)
		if err != nil {
			return errors.Wrap(err, "add a row to the table")
		}
	}
	return errors.Wrap(table.Render(), "write the table")
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
