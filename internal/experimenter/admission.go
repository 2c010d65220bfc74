package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"geraniumladder/pkg/arbiter"
)

// The engines and callers of the replay.
const (
	admissionEntries       = 28
	admissionEngines       = 8
	admissionOrganisations = 6
	admissionPrompt        = 3000.0
	admissionReadPerMs     = 32.0
	admissionStep          = 5 * time.Millisecond
	admissionWarmUp        = 5 * time.Second
	admissionDuration      = 40 * time.Second
	admissionObjective     = time.Second
	admissionTimeout       = 5 * time.Second
	// admissionError is the standard deviation of the logarithm of the estimate's error: p10 of actual to expected is 0.46,
	// p90 2.2.
	admissionError = 0.6
	// admissionTries and admissionImpatientTries bound the attempts of a caller and of one that ignores Retry-After.
	admissionTries          = 3
	admissionImpatientTries = 20
	admissionImpatientAfter = 50 * time.Millisecond
	// lateValue is the value of a late response; that of a timely one is 1.
	lateValue = 1.0 / 3
)

// AdmissionLoad is the load of six organisations. 14 requests/s of each use the engines' whole capacity.
type AdmissionLoad struct {
	Name string
	// Rate is the number of requests/s of each organisation. From the tenth second on, Surging organisations send Surge times
	// that for the time SurgeFor. The callers of the first organisation retry at once.
	Rate, Surge float64
	Surging     int
	SurgeFor    time.Duration
	// Holders is the number of engines that may serve a request.
	Holders int
}

const admissionSurgeFrom = 10 * time.Second

// AdmissionLoads returns the loads. The first one is that of docs/hard-load.md, deployment V; in the others an early
// rejection has less to gain.
func AdmissionLoads() []AdmissionLoad {
	return []AdmissionLoad{
		{"one organisation at 7.5 times its rate for 10 s", 12, 7.5, 1, 10 * time.Second, admissionEngines},
		{"one organisation at 7.5 times its rate for 3 s", 12, 7.5, 1, 3 * time.Second, admissionEngines},
		{"all organisations at 1.2 times the capacity for 10 s", 12, 1.4, admissionOrganisations, 10 * time.Second, admissionEngines},
		{"0.95 of the capacity, each request at one random engine", 13.5, 1, 0, 0, 1},
		{"nine tenths of the capacity", 12.8, 1, 0, 0, admissionEngines},
	}
}

// AdmissionPolicy is a way to decide on requests.
type AdmissionPolicy struct {
	Name   string
	Policy arbiter.Policy
}

// AdmissionPolicies returns the baseline and, last, the product's policy.
func AdmissionPolicies() []AdmissionPolicy {
	return []AdmissionPolicy{{"admit all", arbiter.AdmitAll{}}, {"limited", arbiter.Limited{}}, {"fair", arbiter.Fair{}}}
}

// AdmissionRow is the result of one policy. The fractions are of the callers whose first attempt was made after the warm-up.
type AdmissionRow struct {
	Policy string
	// OthersTimely and FirstTimely are the fractions with a timely response of the first organisation and of the others.
	OthersTimely, FirstTimely float64
	// Late, Rejected and Lost are the fractions of all callers whose last attempt ended so. Lost ones left unanswered.
	Late, Rejected, Lost float64
	// Value is the value of all responses per caller.
	Value float64
	// FalseRejections is the number of attempts rejected for lack of time although the queue at the time was short enough, per
	// 1,000 callers.
	FalseRejections float64
}

// admissionRequest is one attempt of a caller.
type admissionRequest struct {
	organisation int
	firstAt, at  time.Duration
	tries, entry int
	work, left   float64
	// ratio is that of expected to actual time, the same for all attempts.
	ratio    float64
	expected time.Duration
}

// admissionReplay is a fleet of engines that read one prompt after another, in virtual time.
type admissionReplay struct {
	rng    *rand.Rand
	policy arbiter.Policy
	load   AdmissionLoad
	// states are those of the entries.
	states  [admissionEntries]arbiter.State
	queues  [admissionEngines][]*admissionRequest
	waiting []*admissionRequest
	// callers, timely and the others are counts by organisation.
	callers, timely      [admissionOrganisations]float64
	late, rejected, lost float64
	falseRejections      float64
}

// Admission replays a load with each policy.
func Admission(seed uint64, load AdmissionLoad) []AdmissionRow {
	policies := AdmissionPolicies()
	rows := make([]AdmissionRow, 0, len(policies))
	for _, p := range policies {
		s := admissionReplay{rng: rand.New(rand.NewPCG(seed, 1)), policy: p.Policy, load: load}
		for now := time.Duration(0); now < admissionDuration; now += admissionStep {
			s.step(now)
		}
		rows = append(rows, s.row(p.Name))
	}
	return rows
}

func (s *admissionReplay) step(now time.Duration) {
	due := s.waiting
	s.waiting = nil
	for _, q := range due {
		if q.at <= now {
			s.submit(now, q)
		} else {
			s.waiting = append(s.waiting, q)
		}
	}
	for organisation := range admissionOrganisations {
		rate := s.load.Rate
		if organisation < s.load.Surging && now >= admissionSurgeFrom && now < admissionSurgeFrom+s.load.SurgeFor {
			rate *= s.load.Surge
		}
		for n := s.rng.ExpFloat64(); n < rate*admissionStep.Seconds(); n += s.rng.ExpFloat64() {
			work := admissionPrompt * (0.2 + 1.6*s.rng.Float64()) / admissionReadPerMs
			if s.isMeasured(now) {
				s.callers[organisation]++
			}
			s.submit(now, &admissionRequest{organisation: organisation, firstAt: now, at: now, work: work, left: work, ratio: math.Exp(admissionError * s.rng.NormFloat64())})
		}
	}
	for i := range s.queues {
		s.read(now, i)
	}
}

func (s *admissionReplay) isMeasured(at time.Duration) bool {
	return at >= admissionWarmUp && at < admissionDuration-2*admissionTimeout
}

// count adds one to a count if the caller is measured.
func (s *admissionReplay) count(q *admissionRequest, n *float64) {
	if s.isMeasured(q.firstAt) {
		*n++
	}
}

// submit decides on an attempt and queues it at the engine with the least work.
func (s *admissionReplay) submit(now time.Duration, q *admissionRequest) {
	q.at, q.tries, q.entry = now, q.tries+1, s.rng.IntN(admissionEntries)
	best, least, first := 0, math.Inf(1), 0
	if s.load.Holders < admissionEngines {
		first = s.rng.IntN(admissionEngines)
	}
	for offset := range s.load.Holders {
		i := (first + offset) % admissionEngines
		work := 0.0
		for _, w := range s.queues[i] {
			work += w.left
		}
		if work < least {
			best, least = i, work
		}
	}
	actual := time.Duration((least + q.work) * float64(time.Millisecond))
	q.expected = time.Duration(float64(actual) * q.ratio)
	remaining := min(admissionTimeout, arbiter.Patience(admissionObjective, 0))
	state, idle := &s.states[q.entry], time.Duration(q.work*float64(time.Millisecond))
	r := arbiter.Request{
		Expected: q.expected, Remaining: remaining, Objective: admissionObjective, Timely: admissionObjective, Idle: idle,
		Queued: q.expected - idle, IsNew: true, Organisation: fmt.Sprint(q.organisation), Tokens: q.work * admissionReadPerMs,
	}
	d := s.policy.Decide(now, r, state, s.rng)
	*state = state.WithDecision(now, r, d)
	if !d.IsRejected() {
		s.queues[best] = append(s.queues[best], q)
		return
	}
	if d.Kind == arbiter.Unreachable && actual <= remaining {
		s.count(q, &s.falseRejections)
	}
	after, tries := d.RetryAfter, admissionTries
	if q.organisation == 0 {
		after, tries = admissionImpatientAfter, admissionImpatientTries
	}
	if q.tries >= tries {
		s.count(q, &s.rejected)
		return
	}
	q.at = now + after
	s.waiting = append(s.waiting, q)
}

// read lets an engine read prompts for one step. Requests whose callers have left are removed when their turn comes.
func (s *admissionReplay) read(now time.Duration, engine int) {
	budget := float64(admissionStep) / float64(time.Millisecond)
	remaining := min(admissionTimeout, arbiter.Patience(admissionObjective, 0))
	for queue := s.queues[engine]; len(queue) > 0 && budget > 0; queue = s.queues[engine] {
		q := queue[0]
		took := now - q.at
		if took > remaining {
			accuracy := &s.states[q.entry].Accuracy
			*accuracy = accuracy.WithoutFirstEvent(now, q.expected, took)
			s.count(q, &s.lost)
			s.queues[engine] = queue[1:]
			continue
		}
		used := min(budget, q.left)
		q.left -= used
		budget -= used
		if q.left > 0 {
			return
		}
		s.queues[engine] = queue[1:]
		accuracy := &s.states[q.entry].Accuracy
		*accuracy = accuracy.WithFirstEvent(now, q.expected, took)
		if took <= admissionObjective {
			s.count(q, &s.timely[q.organisation])
		} else {
			s.count(q, &s.late)
		}
	}
}

func (s *admissionReplay) row(name string) AdmissionRow {
	callers, timely := 0.0, 0.0
	for i := range s.callers {
		callers += s.callers[i]
		timely += s.timely[i]
	}
	return AdmissionRow{
		Policy: name, OthersTimely: (timely - s.timely[0]) / (callers - s.callers[0]), FirstTimely: s.timely[0] / s.callers[0],
		Late: s.late / callers, Rejected: s.rejected / callers, Lost: s.lost / callers,
		Value: (timely + lateValue*s.late) / callers, FalseRejections: 1000 * s.falseRejections / callers,
	}
}

// AdmissionReport compares the ways to decide on requests. There is one size, whatever the users.
func AdmissionReport(o Options) Report {
	var report Report
	for _, load := range AdmissionLoads() {
		table := Table{Header: []string{"Seed", "Policy", "Timely: others", "first", "Late", "Rejected", "Lost", "Value", "False rejections per 1,000"}}
		for i := range o.Seeds {
			seed := o.Seed + uint64(i)
			for _, r := range Admission(seed, load) {
				row := []string{fmt.Sprint(seed), r.Policy}
				for _, v := range []float64{r.OthersTimely, r.FirstTimely, r.Late, r.Rejected, r.Lost, r.Value, r.FalseRejections} {
					row = append(row, fmt.Sprintf("%.3f", v))
				}
				table.Rows = append(table.Rows, row)
			}
		}
		report.Sections = append(report.Sections, Section{load.Name, table})
	}
	return report
}
