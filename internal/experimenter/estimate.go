package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumladder/pkg/estimator"
	"geraniumladder/pkg/selector"
)

// The load and the engines of the replay: a quarter of the engines runs at less than half the speed of the others. Half of
// the requests have long prompts, which share a prefix with others. See docs/hard-load.md, deployment B.
const (
	estimateEntries, estimateEngines  = 28, 51
	estimateRate, estimateLongRate    = 172, 81
	estimateSlow, estimateFast        = 0.55, 1.2
	longPrompt, shortPrompt           = 9190.0, 826.0
	sharedPrefix                      = 6300.0
	longEvents, shortEvents           = 9, 49
	estimateReadTokensPerMs           = 38
	estimateReadTokensPerStep         = 1024
	estimateHolders                   = 8
	estimateDelayed, estimateMismatch = 0.003, 0.1
	estimateMaxPause                  = 300 * time.Millisecond
	estimateObjective                 = time.Second
	estimateTolerance                 = 60 * time.Millisecond
	estimateEventDelay                = 200 * time.Millisecond
	estimateReportInterval            = 300 * time.Millisecond
	estimateSpeedInterval             = 600 * time.Millisecond
	estimateWarmUp, estimateDuration  = 8 * time.Second, 30 * time.Second
	observedPauses                    = 4
)

// EstimatePolicy is a way to estimate the time to the first event.
type EstimatePolicy struct {
	Name string
	// IsLearned selects learned speeds; the baseline has one fixed speed.
	IsLearned bool
	// Tolerance is that of selector.Request.
	Tolerance time.Duration
}

// EstimatePolicies returns the baselines and, last, the product's policy.
func EstimatePolicies() []EstimatePolicy {
	return []EstimatePolicy{{"fixed", false, 0}, {"fixed, with tolerance", false, estimateTolerance}, {"learned, with tolerance", true, estimateTolerance}}
}

// EstimateRow is the result of one policy.
type EstimateRow struct {
	Policy string
	// Late is the fraction of requests whose first event or one of whose pauses exceeds its objective.
	Late float64
	// P10, P50 and P90 are quantiles of actual to expected time to the first event.
	P10, P50, P90 float64
}

// estimateRequest is a request with the state that its entry keeps for it.
type estimateRequest struct {
	entry int
	// own is the number of tokens that the entry expects the engine to read, and left what it has yet to read.
	own, left            float64
	answer, event, count int
	sentAt, last         time.Time
	expected             time.Duration
	isLate               bool
	first, pauses        estimator.Observation
	pausesFrom           time.Time
	readBefore           float64
}

// estimateEngine is an engine that runs steps: each yields one token for each running request and reads a bounded number
// of prompt tokens.
type estimateEngine struct {
	speed, stepMs, perRequestMs float64
	prompts, running            []*estimateRequest
	stepEnd                     time.Time
	// reported and reportedBusy are what the sidecar has told all entries; pending and reportedOwn are what each entry has
	// sent, and its part of reported.
	reported             float64
	reportedBusy         int
	pending, reportedOwn [estimateEntries]float64
	sentSince            [estimateEntries]int
	speeds               [estimateEntries]estimator.Engine
	backlogs             [estimateEntries]estimator.Backlog
}

// step begins the next step.
func (g *estimateEngine) step(now time.Time) {
	read := 0.0
	for i := 0; i < len(g.prompts) && read < estimateReadTokensPerStep; i++ {
		n := min(g.prompts[i].left, estimateReadTokensPerStep-read)
		g.prompts[i].left -= n
		read += n
	}
	ms := (g.stepMs + g.perRequestMs*float64(len(g.running)) + read/estimateReadTokensPerMs) / g.speed
	g.stepEnd = now.Add(time.Duration(ms * float64(time.Millisecond)))
}

// unread returns the tokens of all prompts that, as an entry knows, have had no first event.
func (g *estimateEngine) unread(entry int) float64 {
	return g.pending[entry] + max(0, g.reported-g.reportedOwn[entry])
}

func (g *estimateEngine) setTotal(now time.Time, entry int) {
	g.backlogs[entry] = g.backlogs[entry].WithTotal(now, g.unread(entry))
}

// report tells all entries the state of the engine, and at longer intervals the median of the speeds that they have
// observed.
func (g *estimateEngine) report(now time.Time, withSpeed bool) {
	g.reported, g.reportedOwn, g.sentSince, g.reportedBusy = 0, g.pending, [estimateEntries]int{}, len(g.prompts)+len(g.running)
	var speeds []float64
	for i := range estimateEntries {
		g.reported += g.pending[i]
		if s := g.speeds[i].OwnSpeed(now); s > 0 {
			speeds = append(speeds, s)
		}
	}
	slices.Sort(speeds)
	for i := range estimateEntries {
		if withSpeed && len(speeds) > 0 {
			g.speeds[i] = g.speeds[i].WithShared(now, speeds[len(speeds)/2])
		}
		g.setTotal(now, i)
	}
}

// estimateReplay is the state of one replay.
type estimateReplay struct {
	policy   EstimatePolicy
	rng      *rand.Rand
	start    time.Time
	engines  []*estimateEngine
	services [estimateEntries]estimator.Service
	// ratios are those of actual to expected time.
	ratios      []float64
	ended, late float64
}

// Estimate replays the load in virtual time with each policy.
func Estimate(seed uint64) []EstimateRow {
	var rows []EstimateRow
	for _, p := range EstimatePolicies() {
		rows = append(rows, newEstimateReplay(p, seed).run())
	}
	return rows
}

func newEstimateReplay(p EstimatePolicy, seed uint64) *estimateReplay {
	s := &estimateReplay{policy: p, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(0, 0)}
	defaults := selector.Config{}.WithDefaults()
	if !p.IsLearned {
		// The estimate before speeds were learned.
		defaults.EventTime, defaults.StepTimePerRequest, defaults.BusyPenalty = 0, 2*time.Millisecond, 0
	}
	for i := range s.services {
		s.services[i] = estimator.NewService(defaults)
	}
	for i := range estimateEngines {
		g := &estimateEngine{speed: estimateFast, stepMs: 4.4 + 1.1*s.rng.Float64(), perRequestMs: 0.012 + 0.008*s.rng.Float64(), stepEnd: s.start}
		if i%4 == 0 {
			g.speed = estimateSlow
		}
		for j := range g.backlogs {
			g.backlogs[j] = g.backlogs[j].WithRate(s.start, defaults.PrefillTokensPerMs)
		}
		s.engines = append(s.engines, g)
	}
	return s
}

func (s *estimateReplay) run() EstimateRow {
	arrival, report, end := s.start, s.start, s.start.Add(estimateDuration)
	for now := s.start; now.Before(end); {
		next := slices.MinFunc(s.engines, func(a, b *estimateEngine) int { return a.stepEnd.Compare(b.stepEnd) })
		switch {
		case !report.After(next.stepEnd) && !report.After(arrival):
			now = report
			for _, g := range s.engines {
				g.report(now, now.Sub(s.start)%estimateSpeedInterval == 0)
			}
			report = now.Add(estimateReportInterval)
		case !arrival.After(next.stepEnd):
			now = arrival
			s.arrive(now)
			arrival = now.Add(time.Duration(s.rng.ExpFloat64() / estimateRate * float64(time.Second)))
		default:
			now = next.stepEnd
			s.endStep(now, next)
		}
	}
	slices.Sort(s.ratios)
	quantile := func(q float64) float64 { return s.ratios[int(q*float64(len(s.ratios)-1))] }
	return EstimateRow{Policy: s.policy.Name, Late: s.late / s.ended, P10: quantile(0.1), P50: quantile(0.5), P90: quantile(0.9)}
}

// isMeasured reports whether the entries have had some seconds to learn.
func (s *estimateReplay) isMeasured(now time.Time) bool { return now.Sub(s.start) > estimateWarmUp }

// newRequest returns a request. Half of the long prompts have their prefix in the engine's cache; some of these
// predictions are wrong. Requests differ in the number of tokens of their events.
func (s *estimateReplay) newRequest(now time.Time) *estimateRequest {
	q := &estimateRequest{entry: s.rng.IntN(estimateEntries), own: shortPrompt, left: shortPrompt, event: 4 + s.rng.IntN(4), sentAt: now}
	q.answer = shortEvents * q.event
	if s.rng.IntN(estimateRate) < estimateLongRate {
		q.answer = longEvents * q.event
		q.own, q.left = longPrompt, longPrompt
		if s.rng.IntN(2) == 0 {
			q.own, q.left = longPrompt-sharedPrefix, longPrompt-sharedPrefix
		}
		if s.rng.Float64() < estimateMismatch {
			q.left = 2*longPrompt - sharedPrefix - q.own
		}
	}
	return q
}

// arrive chooses an engine among those that hold the adapter of a new request.
func (s *estimateReplay) arrive(now time.Time) {
	q := s.newRequest(now)
	r := selector.Request{PromptTokens: q.own, Tolerance: s.policy.Tolerance}
	if s.policy.IsLearned {
		r.MaxPause = estimateMaxPause
	}
	holders := s.rng.Perm(estimateEngines)[:estimateHolders]
	candidates := make([]selector.Candidate, 0, len(holders))
	for _, i := range holders {
		g := s.engines[i]
		c := selector.Candidate{
			Batch: 64, Busy: g.reportedBusy + g.sentSince[q.entry], FreeTokens: 1e9, Residency: selector.Resident, HasFreeSlot: true, UnreadTokens: g.unread(q.entry),
		}
		if s.policy.IsLearned {
			c.Speed, c.UnreadTokens = g.speeds[q.entry].Speed(now), g.backlogs[q.entry].Unread(now)
		}
		candidates = append(candidates, c)
	}
	choice, _ := selector.Choose(s.services[q.entry].Config(), r, candidates, s.rng)
	c, g := candidates[choice.Index], s.engines[holders[choice.Index]]
	q.expected = choice.Expected
	q.first = estimator.Observation{IsFirst: true, Events: 1, Batch: c.Busy + 1, ReadTokens: c.UnreadTokens + q.own, CertainTokens: q.own}
	if q.own == longPrompt-sharedPrefix {
		q.first.CertainTokens /= 2
	}
	g.prompts, g.pending[q.entry] = append(g.prompts, q), g.pending[q.entry]+q.own
	g.sentSince[q.entry]++
	g.setTotal(now, q.entry)
}

func (s *estimateReplay) endStep(now time.Time, g *estimateEngine) {
	for len(g.prompts) > 0 && g.prompts[0].left <= 0 {
		g.running, g.prompts = append(g.running, g.prompts[0]), g.prompts[1:]
	}
	g.running = slices.DeleteFunc(g.running, func(q *estimateRequest) bool {
		q.count++
		if q.count%q.event == 0 {
			s.receive(now, g, q)
		}
		hasEnded := q.count == q.answer
		if hasEnded && s.isMeasured(now) {
			s.ended++
			if q.isLate {
				s.late++
			}
		}
		return hasEnded
	})
	g.step(now)
}

// receive is the arrival of an event at the entry. Some events are delayed on their way.
func (s *estimateReplay) receive(now time.Time, g *estimateEngine, q *estimateRequest) {
	if s.rng.Float64() < estimateDelayed {
		now = now.Add(estimateEventDelay)
	}
	isFirst := q.last.IsZero()
	if isFirst {
		took := now.Sub(q.sentAt)
		q.isLate = took > estimateObjective
		if s.isMeasured(now) {
			s.ratios = append(s.ratios, float64(took)/float64(q.expected))
		}
		g.pending[q.entry] = max(0, g.pending[q.entry]-q.own)
		g.setTotal(now, q.entry)
		q.first.Actual = took
		s.observe(now, g, q.entry, q.first)
	} else {
		q.isLate = q.isLate || now.Sub(q.last) > estimateMaxPause
		q.pauses.Events++
	}
	if q.pauses.Events == observedPauses {
		q.pauses.Actual, q.pauses.Batch = now.Sub(q.pausesFrom), g.reportedBusy
		q.pauses.ReadTokens = g.backlogs[q.entry].Read(now) - q.readBefore
		s.observe(now, g, q.entry, q.pauses)
	}
	if isFirst || q.pauses.Events == observedPauses {
		q.pauses, q.pausesFrom, q.readBefore = estimator.Observation{}, now, g.backlogs[q.entry].Read(now)
	}
	q.last = now
}

// observe learns as an entry does.
func (s *estimateReplay) observe(now time.Time, g *estimateEngine, entry int, o estimator.Observation) {
	service := &s.services[entry]
	*service = service.WithObservation(now, o)
	g.speeds[entry] = g.speeds[entry].WithObservation(now, service, o)
	c := service.Config()
	g.backlogs[entry] = g.backlogs[entry].WithRate(now, c.PrefillTokensPerMs*g.speeds[entry].Speed(now))
}

// Targets of docs/hard-load.md, part 4, for the quantiles of actual to expected time.
const (
	EstimateP10Target = 0.6
	EstimateP90Target = 1.5
)

// EstimateReport compares the ways to estimate the time to the first event. There is one size, whatever the users.
func EstimateReport(o Options) Report {
	var report Report
	table := Table{Header: []string{"Seed", "Policy", "Late", "Actual to expected: p10", "p50", "p90"}}
	for i := range o.Seeds {
		seed := o.Seed + uint64(i)
		rows := Estimate(seed)
		for _, r := range rows {
			table.Rows = append(table.Rows, []string{
				fmt.Sprint(seed), r.Policy, fmt.Sprintf("%.3f", r.Late), fmt.Sprintf("%.2f", r.P10), fmt.Sprintf("%.2f", r.P50), fmt.Sprintf("%.2f", r.P90),
			})
		}
		learned := rows[len(rows)-1]
		report.Targets = append(report.Targets,
			Target{fmt.Sprintf("seed %d: p10 of actual to expected over %.1f", seed, EstimateP10Target), fmt.Sprintf("%.2f", learned.P10), learned.P10 > EstimateP10Target},
			Target{fmt.Sprintf("seed %d: p90 of actual to expected under %.1f", seed, EstimateP90Target), fmt.Sprintf("%.2f", learned.P90), learned.P90 < EstimateP90Target})
	}
	report.Sections = []Section{{"slow engines", table}}
	return report
}
