package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumladder/pkg/pacer"
)

// Model of an engine that starts. A request within the batch has its first event after pacingFirstEvent and ends after
// pacingService, both longer while the engine is slow; others wait. Entries see the empty engine and offer it
// pacingRushFactor times its rate for pacingRush, then pacingUse times its rate. What the engine doesn't get goes to other engines.
const (
	pacingBatch      = 48
	pacingFirstEvent = 200 * time.Millisecond
	pacingService    = time.Second
	pacingObjective  = time.Second
	pacingEntries    = 31
	pacingRush       = 3 * time.Second
	pacingRushFactor = 3
	pacingUse        = 0.95
	pacingSlowTime   = 8 * time.Second
	pacingColdRate   = 6.5
	pacingDownTime   = 4 * time.Second
	pacingDuration   = 40 * time.Second
	pacingStep       = 10 * time.Millisecond
	// pacingRampTime is that of the fixed ramp.
	pacingRampTime = 10 * time.Second
	// PacingTarget is the time in which a healthy engine must reach nine tenths of its rate.
	PacingTarget = 8 * time.Second
)

// pacingScenario is the behaviour of the engine after its start.
type pacingScenario struct {
	name string
	// slowTime is how long each event takes slowFactor times as long, and speed the part of the usual speed at which
	// the engine works after that.
	slowTime   time.Duration
	slowFactor time.Duration
	speed      float64
	// coldRate is 0 or the rate above which the engine crashes during slowTime.
	coldRate float64
}

var pacingScenarios = []pacingScenario{
	{"healthy", 0, 1, 1, 0}, {"slow for 8 s", pacingSlowTime, 6, 1, 0}, {"cold for 8 s, 6.5 a second", pacingSlowTime, 2, 1, pacingColdRate},
	{"at 0.55 of the speed", 0, 1, 0.55, 0},
}

// pacingPolicy is a way to pace. Without newLimiter every request is sent.
type pacingPolicy struct {
	name       string
	usesRate   bool
	newLimiter func(capacity, inProgress int, now time.Duration) pacer.Limiter
}

var pacingPolicies = []pacingPolicy{
	{"grants", true, func(capacity, inProgress int, now time.Duration) pacer.Limiter {
		return pacer.NewAdaptive(pacer.AdaptiveConfig{}, capacity, inProgress, now)
	}},
	{"fixed ramp", false, func(capacity, _ int, now time.Duration) pacer.Limiter {
		return pacer.FixedRamp{Initial: pacer.DefaultInitial, Capacity: capacity, Duration: pacingRampTime, StartedAt: now}
	}},
	{"none", false, nil},
}

// PacingRow is the result of one policy in one scenario.
type PacingRow struct {
	Scenario, Policy                       string
	Timely, Late, Lost, Elsewhere, Crashes int
	// NineTenths is the time until the responses of one second reached nine tenths of the engine's rate; 0 if never.
	NineTenths time.Duration
}

// pacingRequest is a request at the engine.
type pacingRequest struct {
	entry             *pacingEntry
	sentAt            time.Duration
	firstLeft, left   time.Duration
	hasFirst, isEnded bool
}

type pacingEntry struct {
	name      string
	holder    pacer.Holder
	wants     []time.Duration
	open      int
	responses pacer.Responses
}

// pacingRun is one play in virtual time.
type pacingRun struct {
	scenario pacingScenario
	policy   pacingPolicy
	rng      *rand.Rand
	row      PacingRow
	now      time.Duration
	bornAt   time.Duration
	pacer    pacer.Pacer
	entries  []*pacingEntry
	requests []*pacingRequest
	arrivals []time.Duration
	ends     []time.Duration
}

// Pacing plays all scenarios with all policies.
func Pacing(seed uint64) []PacingRow {
	var rows []PacingRow
	for _, s := range pacingScenarios {
		for _, p := range pacingPolicies {
			r := &pacingRun{scenario: s, policy: p, rng: rand.New(rand.NewPCG(seed, 0)), row: PacingRow{Scenario: s.name, Policy: p.name}}
			rows = append(rows, r.play())
		}
	}
	return rows
}

func (r *pacingRun) play() PacingRow {
	for i := range pacingEntries {
		r.entries = append(r.entries, &pacingEntry{name: fmt.Sprint(i), holder: pacer.NewHolder(r.rng.Int64N(1000))})
	}
	c := pacer.Config{Capacity: pacingBatch, NewLimiter: r.policy.newLimiter}
	if r.policy.usesRate {
		c.PerSecond = r.scenario.coldRate
	}
	r.pacer = pacer.New(0).WithConfig(c)
	// The sidecar runs when the engine starts.
	r.now = pacer.RestartTime
	r.start()
	for begin := r.now; r.now < begin+pacingDuration; r.now += pacingStep {
		if r.now >= r.bornAt {
			r.stepEngine()
			r.stepSidecar()
		}
		r.offer()
	}
	return r.row
}

func (r *pacingRun) start() {
	r.bornAt = r.now
	r.pacer = r.pacer.WithCold(r.scenario.slowTime, r.now)
	if r.policy.newLimiter != nil {
		r.pacer = r.pacer.WithStart(0, r.now)
	}
}

func (r *pacingRun) stepEngine() {
	step := time.Duration(float64(pacingStep) * r.scenario.speed)
	if r.now-r.bornAt < r.scenario.slowTime {
		step /= r.scenario.slowFactor
	}
	for _, q := range r.requests[:min(pacingBatch, len(r.requests))] {
		q.firstLeft, q.left = q.firstLeft-step, q.left-step
		if q.firstLeft <= 0 && !q.hasFirst {
			q.hasFirst = true
			if r.now-q.sentAt <= pacingObjective {
				q.entry.responses.Timely++
				r.row.Timely++
			} else {
				q.entry.responses.Late++
				r.row.Late++
			}
		}
		if q.left <= 0 {
			q.isEnded = true
			q.entry.open--
			r.ends = append(r.ends, r.now)
		}
	}
	r.requests = slices.DeleteFunc(r.requests, func(q *pacingRequest) bool { return q.isEnded })
	r.ends = slices.DeleteFunc(r.ends, func(at time.Duration) bool { return r.now-at >= time.Second })
	if r.row.NineTenths == 0 && float64(len(r.ends)) >= 0.9*pacingBatch*r.scenario.speed*time.Second.Seconds()/pacingService.Seconds() {
		r.row.NineTenths = r.now - pacer.RestartTime
	}
}

// stepSidecar passes the entries' demands and the grants, without loss.
func (r *pacingRun) stepSidecar() {
	const interval = 4 * pacingStep
	if r.policy.newLimiter == nil || r.now%interval != 0 {
		return
	}
	for _, e := range r.entries {
		e.wants = slices.DeleteFunc(e.wants, func(at time.Duration) bool { return r.now-at > time.Second })
		e.holder = e.holder.WithRound(r.now)
		r.pacer = r.pacer.WithDemand(pacer.Demand{
			Entry: e.name, Boot: "b", Round: e.holder.Round(), Wants: len(e.wants), Open: e.open, Taken: e.holder.Taken(), Responses: e.responses,
		}, r.now)
	}
	r.pacer = r.pacer.WithReport(min(pacingBatch, len(r.requests)), max(0, len(r.requests)-pacingBatch), r.now)
	for _, g := range r.pacer.Grants(r.now) {
		for _, e := range r.entries {
			if e.name == g.Entry {
				e.holder = e.holder.WithGrants(g.Round, g.Count)
			}
		}
	}
}

// offer lets the entries send what callers ask for.
func (r *pacingRun) offer() {
	perSecond := pacingBatch * r.scenario.speed * time.Second.Seconds() / pacingService.Seconds()
	if r.now-r.bornAt < pacingRush {
		perSecond *= pacingRushFactor
	} else {
		perSecond *= pacingUse
	}
	for _, e := range r.entries {
		if r.rng.Float64() >= perSecond*pacingStep.Seconds()/pacingEntries {
			continue
		}
		e.wants = append(e.wants, r.now)
		isPaced := r.policy.newLimiter != nil && r.pacer.IsPaced(r.now)
		if r.now < r.bornAt || isPaced && e.holder.Available(r.now) == 0 {
			r.row.Elsewhere++
			continue
		}
		if isPaced {
			e.holder = e.holder.WithTaken()
		}
		e.open++
		r.requests = append(r.requests, &pacingRequest{entry: e, sentAt: r.now, firstLeft: pacingFirstEvent, left: pacingService})
		r.crashIfOverloaded()
	}
}

// crashIfOverloaded ends all requests if a cold engine gets more than its bound. The engine starts again after a while.
func (r *pacingRun) crashIfOverloaded() {
	if r.scenario.coldRate == 0 || r.now-r.bornAt >= r.scenario.slowTime {
		return
	}
	r.arrivals = append(slices.DeleteFunc(r.arrivals, func(at time.Duration) bool { return r.now-at > time.Second }), r.now)
	if float64(len(r.arrivals)) <= r.scenario.coldRate*pacer.Overage+pacer.Slack {
		return
	}
	r.row.Crashes++
	for _, q := range r.requests {
		q.entry.open--
		if !q.hasFirst {
			r.row.Lost++
		}
	}
	r.requests, r.arrivals = nil, nil
	now := r.now
	r.now += pacingDownTime
	r.start()
	r.now = now
}

// PacingTable returns the rows as a table.
func PacingTable(rows []PacingRow) Table {
	t := Table{Header: []string{"Scenario", "Policy", "Timely", "Late", "Lost", "Elsewhere", "Crashes", "Nine tenths after"}}
	for _, r := range rows {
		after := "never"
		if r.NineTenths > 0 {
			after = fmt.Sprintf("%.1f s", r.NineTenths.Seconds())
		}
		t.Rows = append(t.Rows, []string{
			r.Scenario, r.Policy, fmt.Sprint(r.Timely), fmt.Sprint(r.Late), fmt.Sprint(r.Lost), fmt.Sprint(r.Elsewhere), fmt.Sprint(r.Crashes), after,
		})
	}
	return t
}

// PacingReport compares the policies that pace a starting engine. Counts are summed over the seeds, and the longest time
// is kept. The engine is the same for all users.
func PacingReport(o Options) Report {
	var rows []PacingRow
	for i := range o.Seeds {
		for j, r := range Pacing(o.Seed + uint64(i)) {
			if i == 0 {
				rows = append(rows, r)
				continue
			}
			s := &rows[j]
			s.Timely, s.Late, s.Lost, s.Elsewhere, s.Crashes = s.Timely+r.Timely, s.Late+r.Late, s.Lost+r.Lost, s.Elsewhere+r.Elsewhere, s.Crashes+r.Crashes
			if s.NineTenths > 0 {
				s.NineTenths = max(s.NineTenths, r.NineTenths)
			}
			if r.NineTenths == 0 {
				s.NineTenths = 0
			}
		}
	}
	report := Report{Sections: []Section{{"one engine that starts", PacingTable(rows)}}}
	report.Charts = append(report.Charts, newChart(Chart{Name: "late", Title: "Late and lost requests", Unit: "requests"}, rows,
		func(r PacingRow) (string, string, float64) { return r.Scenario, r.Policy, float64(r.Late + r.Lost) }))
	for _, r := range rows {
		if r.Policy != pacingPolicies[0].name {
			continue
		}
		report.Targets = append(report.Targets, Target{r.Scenario + ": no crash", fmt.Sprint(r.Crashes), r.Crashes == 0})
		if r.Scenario == pacingScenarios[0].name {
			report.Targets = append(report.Targets, Target{
				fmt.Sprintf("%s: nine tenths of the rate within %v", r.Scenario, PacingTarget), fmt.Sprintf("%.1f s", r.NineTenths.Seconds()),
				r.NineTenths > 0 && r.NineTenths <= PacingTarget,
			})
		}
	}
	return report
}
