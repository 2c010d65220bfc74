package experimenter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumladder/pkg/limiter"
)

// LimitsResult has one row for each policy under each scenario.
type LimitsResult struct {
	Size string
	Seed int64
	Rows []LimitsRow
}

// LimitsRow is the result of one policy under one scenario.
type LimitsRow struct {
	Scenario, Policy string
	// Requests counts requests that arrive in the scenario's measured window.
	Requests, Admitted int
	// Excess is the largest number of tokens by which an organisation exceeds burst + rate·t in any window of length t,
	// where t is lengthened by the maximum clock drift. It is 0 if the limit holds.
	Excess float64
	// Wrongful counts refusals of requests that a single global bucket admits, given the same requests and no message
	// loss.
	Wrongful int
	// Stranded counts refusals although tokens existed: they were not found, or were lost. The reference is a single
	// global bucket that is charged with the policy's admissions and nothing else. A refusal is stranded if this bucket
	// has enough tokens both at the request's arrival and at its refusal.
	// Unlike Wrongful, it does not depend on which of the requests above the rate each side admitted.
	Stranded int
	// Waited counts requests that were admitted after a wait. MeanWait and MaxWait are over those requests.
	Waited            int
	MeanWait, MaxWait time.Duration
	// Messages counts loan requests, reports and replies, or messages to and from the owner.
	Messages int
}

// WrongfulPerThousand returns the wrongful refusals per 1,000 requests.
func (r LimitsRow) WrongfulPerThousand() float64 {
	return 1000 * float64(r.Wrongful) / float64(max(1, r.Requests))
}

// StrandedPerThousand returns the stranded refusals per 1,000 requests.
func (r LimitsRow) StrandedPerThousand() float64 {
	return 1000 * float64(r.Stranded) / float64(max(1, r.Requests))
}

// Table formats the rows as a table.
func (r LimitsResult) Table() Table {
	t := Table{Header: []string{"Scenario", "Policy", "Requests", "Admitted", "Excess tokens", "Wrongful per 1,000", "Stranded per 1,000",
		"Waited per 1,000", "Mean wait", "Longest wait", "Messages per request"}}
	for _, row := range r.Rows {
		per := 1 / float64(max(1, row.Requests))
		t.Rows = append(t.Rows, []string{row.Scenario, row.Policy, fmt.Sprint(row.Requests), fmt.Sprint(row.Admitted), fmt.Sprintf("%.0f", row.Excess),
			fmt.Sprintf("%.2f", row.WrongfulPerThousand()), fmt.Sprintf("%.2f", row.StrandedPerThousand()), fmt.Sprintf("%.1f", 1000*per*float64(row.Waited)),
			fmt.Sprintf("%.1f ms", row.MeanWait.Seconds()*1000), fmt.Sprintf("%.0f ms", row.MaxWait.Seconds()*1000), fmt.Sprintf("%.2f", per*float64(row.Messages))})
	}
	return t
}

const (
	limitsEntryCount = 3
	// admissionWait is how long a request may wait for admission before it is refused.
	admissionWait = 200 * time.Millisecond
	// borrowInterval, grantCheckInterval and exchangeInterval have the values of borrowInterval, grantCheckInterval and
	// DefaultExchangeInterval in internal/lender.
	borrowInterval     = 10 * time.Millisecond
	grantCheckInterval = 50 * time.Millisecond
	exchangeInterval   = time.Second
	// ownerLeaseTTL is the lease time of the baseline in which each organisation has a single owner.
	ownerLeaseTTL = 6 * time.Second
	// limitsWarmUp lets the buckets, which start empty, fill before the measurement starts.
	limitsWarmUp = 30 * time.Second
	// epochDelay is the time until an entry's loss is established, as the epoch without it requires. This takes two lists
	// of VMs without the entry, which are read every three seconds and lag by a few seconds.
	epochDelay = 10 * time.Second
	lossTime   = limitsWarmUp + 60*time.Second
)

// limitsSize describes the deployment of one user.
type limitsSize struct {
	latency time.Duration
	limits  []limiter.Config
	// promptTokens is the mean prompt length; responseTokens is the maximum response length that requests ask for.
	promptTokens, responseTokens float64
	// tokenTime is the time to generate one token. A reservation is settled when the last one has been generated.
	tokenTime time.Duration
}

// limitsSizes holds the sizes by user. Two organisations are large; the small ones send about one request per second.
var limitsSizes = map[string]limitsSize{
	// Long drafts from letters and photos.
	vunidawa: {latency: 1500 * time.Microsecond, promptTokens: 700, responseTokens: 800, tokenTime: 20 * time.Millisecond, limits: []limiter.Config{
		{Rate: 6000, Burst: 36000}, {Rate: 4000, Burst: 24000}, {Rate: 1500, Burst: 12000}, {Rate: 800, Burst: 9000}, {Rate: 800, Burst: 9000}}},
	// A long shared prompt prefix and short responses.
	accra: {latency: time.Millisecond, promptTokens: 1500, responseTokens: 400, tokenTime: 15 * time.Millisecond, limits: []limiter.Config{
		{Rate: 12000, Burst: 60000}, {Rate: 9000, Burst: 45000}, {Rate: 3000, Burst: 18000}, {Rate: 1500, Burst: 12000}, {Rate: 1500, Burst: 12000}}},
}

// LimitsSizes returns the names of the sizes that Limits accepts.
func LimitsSizes() []string { return []string{accra, vunidawa} }

// scenario is a traffic pattern, optionally with faults.
type scenario struct {
	name     string
	duration time.Duration
	// from and to bound the measured window. If to is zero, everything after limitsWarmUp is measured.
	from, to time.Duration
	// included selects the measured organisations; nil selects all.
	included func(organisation int) bool
	// load returns an organisation's offered load, net of refunds, as a fraction of its rate.
	load func(organisation int) float64
	// entry returns the entry at which a request arrives.
	entry func(r *rand.Rand, organisation int, at time.Duration) int
	// lostEntry is the entry that fails at lossTime, or -1. The epoch without it starts when epochDelay and then
	// the lifetime of grants have passed since the loss, unless the store is unavailable.
	lostEntry   int
	storeOutage time.Duration // Length of the store outage that starts at lossTime; 0 for none.
	replaced    bool          // A new entry without a share replaces the lost one after a minute.
}

func randomEntry(r *rand.Rand, _ int, _ time.Duration) int { return r.IntN(limitsEntryCount) }

// steadyLoad returns the offered load of every organisation. At 0.7 of the rate, a bucket that holds six seconds of the
// rate refuses almost nothing, so refusals are due to the policies.
func steadyLoad(int) float64 { return 0.7 }

// noisyOrganisation is the organisation that sends five times its rate under noisyLoad.
const noisyOrganisation = 0

func noisyLoad(organisation int) float64 {
	if organisation == noisyOrganisation {
		return 5
	}
	return steadyLoad(organisation)
}

func limitsScenarios() []scenario {
	return []scenario{
		{name: "steady", duration: 20 * time.Minute, load: steadyLoad, entry: randomEntry, lostEntry: -1},
		{name: "one at 5 times its rate: the others", duration: 10 * time.Minute, entry: randomEntry, lostEntry: -1, load: noisyLoad,
			included: func(organisation int) bool { return organisation != noisyOrganisation }},
		{name: "one at 5 times its rate: that one", duration: 10 * time.Minute, entry: randomEntry, lostEntry: -1, load: noisyLoad,
			included: func(organisation int) bool { return organisation == noisyOrganisation }},
		{name: "demand moves", duration: 20 * time.Minute, load: steadyLoad, lostEntry: -1, entry: func(r *rand.Rand, organisation int, at time.Duration) int {
			// All of an organisation's requests arrive at one entry for 20 s and then move to the next within a second.
			const stay = 20 * time.Second
			turn := int(at/stay) + organisation
			if shifting := at % stay; shifting < time.Second && r.Float64() > shifting.Seconds() {
				turn--
			}
			return (turn%limitsEntryCount + limitsEntryCount) % limitsEntryCount
		}},
		{name: "entry lost: first 10 s", duration: 2 * time.Minute, from: lossTime, to: lossTime + 10*time.Second, load: steadyLoad, entry: randomEntry, lostEntry: 2},
		{name: "entry lost at half of the rate: first 10 s", duration: 2 * time.Minute, from: lossTime, to: lossTime + 10*time.Second,
			load: func(int) float64 { return 0.5 }, entry: randomEntry, lostEntry: 2},
		{name: "entry lost: 60 s", duration: 3 * time.Minute, from: lossTime, to: lossTime + time.Minute, load: steadyLoad, entry: randomEntry, lostEntry: 2},
		{name: "store away for 1 h", duration: 65 * time.Minute, load: steadyLoad, entry: randomEntry, lostEntry: -1, storeOutage: time.Hour},
		{name: "store away, entry lost and replaced", duration: 65 * time.Minute, load: steadyLoad, entry: randomEntry, lostEntry: 2, storeOutage: time.Hour, replaced: true},
	}
}

// limitPolicies are the policies that Limits compares.
var limitPolicies = []struct {
	name string
	make func(*limitsRun) limitPolicy
}{
	{"shares and loans", func(r *limitsRun) limitPolicy { return newLendingPolicy(r, limiter.DefaultPolicy()) }},
	{"shares and loans, only what is missing", func(r *limitsRun) limitPolicy {
		p := limiter.DefaultPolicy()
		p.NoDeposits, p.RebalanceThreshold = true, math.Inf(1)
		return newLendingPolicy(r, p)
	}},
	{"fixed equal shares", func(r *limitsRun) limitPolicy { return newFixedShares(r) }},
	{"one owner, leases of 6 s", func(r *limitsRun) limitPolicy { return newSingleOwner(r) }},
}

// Limits measures the policies at one of LimitsSizes. Results are deterministic for a given seed.
func Limits(seed int64, size string) LimitsResult {
	return LimitsScaled(seed, size, 1, func(string, string) bool { return true })
}

// lossRepeats is the number of runs of a loss scenario, each with different traffic. The measured window of such a
// scenario is seconds long, and the repeats give results over some thousand requests.
const lossRepeats = 20

// LimitsScaled is like Limits, with durations and repeats multiplied by scale, and only for the scenarios and policies
// that keep selects.
func LimitsScaled(seed int64, size string, scale float64, keep func(scenario, policy string) bool) LimitsResult {
	result := LimitsResult{Size: size, Seed: seed}
	for _, s := range limitsScenarios() {
		s.duration = max(lossTime+time.Minute, time.Duration(scale*float64(s.duration)))
		s.storeOutage = time.Duration(scale * float64(s.storeOutage))
		repeats := 1
		if s.to > 0 {
			repeats = int(math.Ceil(lossRepeats * scale))
		}
		for _, p := range limitPolicies {
			if !keep(s.name, p.name) {
				continue
			}
			row := LimitsRow{Scenario: s.name, Policy: p.name}
			var waits time.Duration
			for i := range repeats {
				run := newLimitsRun(uint64(seed)+uint64(i), limitsSizes[size], s)
				run.policy = p.make(run)
				run.simulate()
				waits += run.addTo(&row)
			}
			if row.Waited > 0 {
				row.MeanWait = waits / time.Duration(row.Waited)
			}
			result.Rows = append(result.Rows, row)
		}
	}
	return result
}

// limitRequest is one request of the simulated traffic.
type limitRequest struct {
	id           string
	at           time.Duration
	entry        int
	organisation int
	reserved     float64
	used         float64
	serviceTime  time.Duration
	// admittedAt is -1 until the policy admits the request.
	admittedAt time.Duration
	decided    bool
	// ideal is set if the global bucket admits the request. hasTokens is set if the bucket charged with the policy's
	// admissions has enough tokens for it at its arrival and, if it is refused, also at its refusal.
	ideal, hasTokens bool
}

// limitPolicy decides on requests. It reports each decision, immediately or later, by calling recordAdmitted or
// recordRefused of the run.
type limitPolicy interface {
	arrive(*limitRequest)
	settle(*limitRequest)
	// expire is called when a request has waited for admissionWait without a decision.
	expire(*limitRequest)
	entryLost(entry int)
	storeRecovered()
}

// limitsEvent is a scheduled event. Events at equal times run in order of sequence.
type limitsEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type limitsEventQueue []limitsEvent

func (e limitsEventQueue) Len() int { return len(e) }
func (e limitsEventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e limitsEventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *limitsEventQueue) Push(x any) { *e = append(*e, x.(limitsEvent)) }

// Pop implements heap.Interface.
func (e *limitsEventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// limitsRun is the simulation of one policy under one scenario.
type limitsRun struct {
	size     limitsSize
	scenario scenario
	random   *rand.Rand
	policy   limitPolicy
	queue    limitsEventQueue
	sequence int
	now      time.Duration
	requests []*limitRequest
	// ideal and charged are the global buckets behind limitRequest.ideal and limitRequest.hasTokens, by organisation.
	ideal, charged []limiter.Bucket
	down           [limitsEntryCount]bool
	messages       int
}

func newLimitsRun(seed uint64, size limitsSize, s scenario) *limitsRun {
	r := &limitsRun{size: size, scenario: s, random: rand.New(rand.NewPCG(seed, 1))}
	for organisation, c := range size.limits {
		r.ideal = append(r.ideal, limiter.New(c).WithShare(1, 1, 0))
		r.charged = append(r.charged, limiter.New(c).WithShare(1, 1, 0))
		r.addArrivals(organisation, c)
	}
	slices.SortStableFunc(r.requests, func(a, b *limitRequest) int { return cmp.Compare(a.at, b.at) })
	return r
}

// addArrivals adds the Poisson traffic of one organisation.
func (r *limitsRun) addArrivals(organisation int, c limiter.Config) {
	mean := r.size.promptTokens + r.size.responseTokens*0.5
	interval := mean / (c.Rate * r.scenario.load(organisation))
	for at := 0.0; ; {
		at += r.random.ExpFloat64() * interval
		if at >= r.scenario.duration.Seconds() {
			return
		}
		// Prompt lengths are uniform from 0.25 to 1.75 of the mean, response lengths from zero to the maximum.
		promptTokens := math.Round(r.size.promptTokens * (0.25 + 1.5*r.random.Float64()))
		responseTokens := math.Round(r.size.responseTokens * r.random.Float64())
		q := &limitRequest{
			id: fmt.Sprintf("%d-%d", organisation, len(r.requests)), at: time.Duration(at * float64(time.Second)), organisation: organisation,
			reserved: promptTokens + r.size.responseTokens, used: promptTokens + responseTokens, serviceTime: time.Duration(responseTokens) * r.size.tokenTime, admittedAt: -1,
		}
		q.entry = r.scenario.entry(r.random, organisation, q.at)
		r.requests = append(r.requests, q)
	}
}

// after schedules do to run once d has passed.
func (r *limitsRun) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.queue, limitsEvent{r.now + d, r.sequence, do})
}

// message runs do at the receiving entry after the network latency, unless that entry is down by then.
func (r *limitsRun) message(to int, do func()) {
	r.messages++
	r.after(r.size.latency, func() {
		if !r.down[to] {
			do()
		}
	})
}

// clock returns the time on an entry's clock. The clocks drift by -ClockDrift, 0 and +ClockDrift.
func (r *limitsRun) clock(entry int) time.Duration {
	return time.Duration(float64(r.now) * (1 + limiter.ClockDrift*float64(entry-1)))
}

func (r *limitsRun) simulate() {
	for _, q := range r.requests {
		r.sequence++
		heap.Push(&r.queue, limitsEvent{q.at, r.sequence, func() { r.arrive(q) }})
	}
	if r.scenario.lostEntry >= 0 {
		heap.Push(&r.queue, limitsEvent{lossTime, 0, func() {
			r.down[r.scenario.lostEntry] = true
			r.policy.entryLost(r.scenario.lostEntry)
			if r.scenario.replaced {
				r.after(time.Minute, func() { r.down[r.scenario.lostEntry] = false })
			}
		}})
	}
	if r.scenario.storeOutage > 0 {
		heap.Push(&r.queue, limitsEvent{lossTime + r.scenario.storeOutage, 0, func() { r.policy.storeRecovered() }})
	}
	for len(r.queue) > 0 && r.queue[0].at <= r.scenario.duration+time.Minute {
		e := heap.Pop(&r.queue).(limitsEvent)
		r.now = e.at
		e.do()
	}
}

func (r *limitsRun) arrive(q *limitRequest) {
	for r.down[q.entry] {
		q.entry = (q.entry + 1 + r.random.IntN(limitsEntryCount-1)) % limitsEntryCount
	}
	var d limiter.Decision
	if r.ideal[q.organisation], d = r.ideal[q.organisation].Reserve(q.id, q.reserved, r.now); d.Admitted {
		q.ideal = true
		r.after(q.serviceTime, func() { r.ideal[q.organisation] = r.ideal[q.organisation].Settle(q.id, q.used, r.now) })
	}
	r.charged[q.organisation] = r.charged[q.organisation].Advance(r.now)
	q.hasTokens = r.charged[q.organisation].Level() >= q.reserved
	r.policy.arrive(q)
	if !q.decided {
		r.after(admissionWait, func() {
			if !q.decided {
				r.policy.expire(q)
			}
		})
	}
}

func (r *limitsRun) recordAdmitted(q *limitRequest) {
	q.decided, q.admittedAt = true, r.now
	// An entry's clock may run fast by up to ClockDrift, so the charged bucket may be slightly short of tokens.
	b := r.charged[q.organisation].Advance(r.now)
	r.charged[q.organisation], _ = b.Reserve(q.id, min(q.reserved, b.Level()), r.now)
	r.after(q.serviceTime, func() {
		r.charged[q.organisation] = r.charged[q.organisation].Settle(q.id, q.used, r.now)
		if !r.down[q.entry] {
			r.policy.settle(q)
		}
	})
}

func (r *limitsRun) recordRefused(q *limitRequest) {
	q.decided = true
	r.charged[q.organisation] = r.charged[q.organisation].Advance(r.now)
	q.hasTokens = q.hasTokens && r.charged[q.organisation].Level() >= q.reserved
}

// addTo adds the run's results to row and returns the sum of the waits.
func (r *limitsRun) addTo(row *LimitsRow) (waits time.Duration) {
	from, to := r.scenario.from, r.scenario.to
	if to == 0 {
		from, to = limitsWarmUp, r.scenario.duration
	}
	requestsBefore := row.Requests
	admissions := make([][]admission, len(r.size.limits))
	for _, q := range r.requests {
		measured := q.at >= from && q.at < to && (r.scenario.included == nil || r.scenario.included(q.organisation))
		if measured {
			row.Requests++
		}
		if q.admittedAt < 0 {
			if measured && q.ideal {
				row.Wrongful++
			}
			if measured && q.hasTokens {
				row.Stranded++
			}
			continue
		}
		admissions[q.organisation] = append(admissions[q.organisation], admission{q.admittedAt, q.used})
		if measured {
			row.Admitted++
			if wait := q.admittedAt - q.at; wait > 0 {
				row.Waited++
				waits += wait
				row.MaxWait = max(row.MaxWait, wait)
			}
		}
	}
	// Messages are not counted by time or organisation, so the measured requests get a proportional part.
	row.Messages += r.messages * (row.Requests - requestsBefore) / max(1, len(r.requests))
	for organisation, all := range admissions {
		row.Excess = max(row.Excess, excess(r.size.limits[organisation], all))
	}
	return waits
}

// admission is an admitted request with its tokens, net of refunds, at whichever entry it was admitted.
type admission struct {
	at     time.Duration
	tokens float64
}

// excess returns the largest number of tokens by which the admissions exceed burst + rate·t in any window of length t,
// where t is lengthened by the maximum clock drift.
func excess(c limiter.Config, all []admission) float64 {
	slices.SortStableFunc(all, func(a, b admission) int { return cmp.Compare(a.at, b.at) })
	var worst, level float64
	var last time.Duration
	for _, a := range all {
		level = max(0, level-c.Rate*(1+limiter.ClockDrift)*(a.at-last).Seconds()) + a.tokens
		last = a.at
		// Up to a millionth of a token is rounding error.
		if over := level - c.Burst; over > 1e-6 {
			worst = max(worst, over)
		}
	}
	return worst
}
