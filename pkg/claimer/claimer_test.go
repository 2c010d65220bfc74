package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/claimer"
)

// signatureAge is how old a message may be before the check of its signature refuses it.
const signatureAge = 30 * time.Second

// process is one run of a sidecar.
type process struct {
	guard          claimer.Guard
	incarnation    string
	queue, running []string
}

type message struct {
	endpoint int
	run      claimer.Run
	sent     time.Duration
}

type stored struct {
	claim   claimer.Claim
	version int64
}

// request is one request of a caller at one entry, and the entry's state about it.
type request struct {
	id, key    string
	attempt    int
	deadline   time.Duration
	sentAt     time.Duration
	endpoint   int
	believed   string
	dispatched int // attempt last dispatched
	phase      string
	known      claimer.Known
	outcome    claimer.Outcome
}

type world struct {
	now       time.Duration
	storeUp   bool
	rows      map[string]stored
	delayed   []func()
	processes []*process
	births    int
	copies    []message
	requests  []*request
	// runs counts calls of the engine by request ID, and keyRuns by idempotency key.
	runs, keyRuns map[string]int
}

func (w *world) start(endpoint int) {
	w.births++
	inc := fmt.Sprintf("inc%d", w.births)
	w.processes[endpoint] = &process{incarnation: inc, guard: claimer.NewGuard(claimer.GuardConfig{Incarnation: inc})}
}

func (w *world) deliver(m message) claimer.Verdict {
	p := w.processes[m.endpoint]
	var v claimer.Verdict
	p.guard, v = p.guard.Begin(m.run, w.now)
	if v == claimer.RunIt {
		p.queue = append(p.queue, m.run.RequestID)
	}
	return v
}

// put is a conditional write whose answer, or effect, can be lost or late.
func (w *world) put(t *rapid.T, key string, c claimer.Claim, expect int64) string {
	apply := func() bool {
		if w.rows[key].version != expect {
			return false
		}
		w.rows[key] = stored{c, expect + 1}
		return true
	}
	if !w.storeUp {
		return "lost"
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "answer lost", "lost", "late"}).Draw(t, "put") {
	case "ok":
		if apply() {
			return "ok"
		}
		return "conflict"
	case "answer lost":
		apply()
	case "late":
		w.delayed = append(w.delayed, func() { apply() })
	}
	return "lost"
}

func at(now time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(now) }

func (w *world) assign(t *rapid.T, r *request, attempt int) claimer.Claim {
	r.attempt = attempt
	r.endpoint = rapid.IntRange(0, len(w.processes)-1).Draw(t, "endpoint")
	r.believed = w.processes[r.endpoint].incarnation
	return claimer.Claim{RequestID: r.id, Attempt: attempt, State: claimer.StateClaimed, Created: at(w.now),
		Sidecar: claimer.Sidecar{Endpoint: fmt.Sprint(r.endpoint), Incarnation: r.believed}}
}

// claim is the step of an entry that has not dispatched the present attempt, or has proof that it did not run.
func (w *world) claim(t *rapid.T, r *request) {
	if !w.storeUp || rapid.IntRange(0, 9).Draw(t, "give up") == 0 {
		r.outcome = claimer.NotRun
		return
	}
	row := w.rows[r.key]
	var existing *claimer.Claim
	if row.version > 0 {
		existing = &row.claim
	}
	mine := claimer.Claim{RequestID: r.id, Attempt: r.attempt}
	d := claimer.Decide(existing, mine, at(w.now))
	if d.Kind == claimer.Own && r.dispatched == r.attempt {
		// Its own attempt is proven not to have run.
		d = claimer.Decision{Kind: claimer.Takeover, Attempt: r.attempt + 1}
	}
	if d.Kind == claimer.JoinAt {
		d = w.join(t, r, row.claim, d)
	}
	switch d.Kind {
	case claimer.Own:
		r.phase = "dispatch"
	case claimer.Insert, claimer.Takeover:
		if w.put(t, r.key, w.assign(t, r, d.Attempt), row.version) == "ok" {
			r.phase = "dispatch"
		}
	case claimer.Undecidable:
		if d.Record {
			row.claim.State = claimer.StateUnknown
			w.put(t, r.key, row.claim, row.version)
		}
		r.outcome = claimer.Unknown
	default:
		r.outcome = claimer.Ran
	}
}

func (w *world) join(t *rapid.T, _ *request, c claimer.Claim, d claimer.Decision) claimer.Decision {
	var endpoint int
	_, err := fmt.Sscan(d.Sidecar.Endpoint, &endpoint)
	assert.NilError(t, err)
	p, asked := w.processes[endpoint], at(w.now)
	if p.incarnation != d.Sidecar.Incarnation {
		return claimer.AfterVoid(c, claimer.VoidWrongIncarnation, asked)
	}
	var answer claimer.VoidAnswer
	if rapid.Bool().Draw(t, "void") {
		answer = w.void(p, d.RequestID)
	} else {
		var v claimer.Verdict
		p.guard, v = p.guard.Join(d.RequestID, w.now)
		answer = claimer.AnswerOfJoin(v)
	}
	if rapid.IntRange(0, 4).Draw(t, "answer") == 0 {
		answer = claimer.VoidNoAnswer
	}
	return claimer.AfterVoid(c, answer, asked)
}

func (w *world) void(p *process, id string) claimer.VoidAnswer {
	var s claimer.VoidState
	p.guard, s = p.guard.Void(id, w.now)
	return claimer.AnswerOf(s)
}

func (w *world) step(t *rapid.T, r *request) {
	switch r.phase {
	case "claim":
		w.claim(t, r)
	case "dispatch":
		r.dispatched, r.sentAt, r.known = r.attempt, w.now, claimer.Known{}
		fault := rapid.SampledFrom([]string{"", "", "never opened", "lost", "answer lost"}).Draw(t, "dispatch")
		if fault == "never opened" {
			r.known.Sent, r.phase = claimer.NeverOpened, "decide"
			return
		}
		m := message{r.endpoint, claimer.Run{RequestID: r.id, Incarnation: r.believed, Remaining: r.deadline - w.now,
			Attempt: r.attempt}, w.now}
		w.copies = append(w.copies, m)
		r.phase = "wait"
		if fault == "lost" {
			return
		}
		v := w.deliver(m)
		if fault == "" && (v == claimer.Voided || v == claimer.Late || v == claimer.WrongIncarnation) {
			r.known.Sent, r.phase = claimer.Refused, "decide"
		}
	case "wait":
		// The connection breaks; the entry asks on another one.
		p := w.processes[r.endpoint]
		switch {
		case rapid.IntRange(0, 3).Draw(t, "void") == 0:
			r.known.Void = claimer.VoidNoAnswer
		case p.incarnation != r.believed:
			r.known.Void = claimer.VoidWrongIncarnation
		default:
			r.known.Elapsed = w.now - r.sentAt
			r.known.Void = w.void(p, r.id)
		}
		r.phase = "decide"
	case "decide":
		o := claimer.AfterError(r.known)
		switch {
		case o != claimer.NotRun || rapid.IntRange(0, 3).Draw(t, "final") == 0:
			r.outcome = o
		case r.key == "":
			w.assign(t, r, r.attempt+1)
			r.phase = "dispatch"
		default:
			r.phase = "claim"
		}
	}
}

func (w *world) check(t *rapid.T) {
	for id, n := range w.runs {
		assert.Assert(t, n <= 1, "request %s ran %d times", id, n)
	}
	for key, n := range w.keyRuns {
		assert.Assert(t, n <= 1, "call %s ran %d times", key, n)
	}
	for _, r := range w.requests {
		assert.Assert(t, r.outcome != claimer.NotRun || w.runs[r.id] == 0, "%s was reported as not run and ran", r.id)
	}
}

func (w *world) startQueued(p *process, i int) {
	id := p.queue[i]
	p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
	var ok bool
	p.guard, ok = p.guard.Start(id, w.now)
	if !ok {
		return
	}
	w.runs[id]++
	p.running = append(p.running, id)
	for _, r := range w.requests {
		if r.id == id && r.key != "" {
			w.keyRuns[r.key]++
		}
	}
}

// Guards against a payment or stock release that runs twice, or runs although its caller was told that it did not:
// callers retry at other entries, messages arrive late and repeatedly, sidecars die and start again, void messages
// overtake run messages, the store's answers are lost and its writes late, and processes pause for longer than anything
// is remembered.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{storeUp: true, rows: map[string]stored{}, processes: make([]*process, 2),
			runs: map[string]int{}, keyRuns: map[string]int{}}
		w.start(0)
		w.start(1)
		// A request takes several steps in a row, so that few actions lead to a second claim after a run and a death.
		step := func(t *rapid.T) {
			var open []*request
			for _, r := range w.requests {
				if r.outcome == "" {
					open = append(open, r)
				}
			}
			if len(open) == 0 {
				return
			}
			r := rapid.SampledFrom(open).Draw(t, "request")
			for n := rapid.IntRange(1, 3).Draw(t, "steps"); n > 0 && r.outcome == ""; n-- {
				w.step(t, r)
			}
		}
		run := func(t *rapid.T) {
			p := rapid.SampledFrom(w.processes).Draw(t, "process")
			for n := len(p.queue); n > 0; n = len(p.queue) {
				w.startQueued(p, rapid.IntRange(0, n-1).Draw(t, "queued"))
				if rapid.Bool().Draw(t, "leave the rest") {
					break
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				r := &request{id: fmt.Sprintf("r%d", len(w.requests)), phase: "claim",
					key:      rapid.SampledFrom([]string{"", "k1", "k1", "k2"}).Draw(t, "key"),
					deadline: w.now + claimer.DefaultMaxLife}
				if r.key == "" {
					w.assign(t, r, 1)
					r.phase = "dispatch"
				}
				w.requests = append(w.requests, r)
			},
			"step": step, "step again": step, "step more": step, "run": run, "run more": run,
			"copy": func(t *rapid.T) {
				if n := len(w.copies); n > 0 {
					m := w.copies[rapid.IntRange(0, n-1).Draw(t, "copy")]
					if w.now-m.sent < signatureAge {
						w.deliver(m)
					}
				}
			},
			"finish": func(t *rapid.T) {
				p := rapid.SampledFrom(w.processes).Draw(t, "process")
				for _, id := range p.running {
					p.guard = p.guard.Finish(id, w.now)
				}
				p.running = nil
			},
			"die":   func(t *rapid.T) { w.start(rapid.IntRange(0, 1).Draw(t, "endpoint")) },
			"store": func(*rapid.T) { w.storeUp = !w.storeUp },
			"late write": func(*rapid.T) {
				if len(w.delayed) > 0 {
					w.delayed[0]()
					w.delayed = w.delayed[1:]
				}
			},
			"time": func(t *rapid.T) {
				w.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 10 * time.Minute}).Draw(t, "by")
				for _, p := range w.processes {
					p.guard = p.guard.Expire(w.now)
				}
			},
			"": w.check,
		})
		for _, m := range w.copies {
			if w.now-m.sent < signatureAge {
				w.deliver(m)
			}
		}
		for _, p := range w.processes {
			for len(p.queue) > 0 {
				w.startQueued(p, 0)
			}
		}
		w.check(t)
	})
}

// Guards against a guard that forgets a promise early, or never forgets and fills the sidecar's memory.
func TestGuardRemembersForAsLongAsConfigured(t *testing.T) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a", MaxLife: time.Minute})
	run := func(id string, remaining time.Duration) claimer.Run {
		return claimer.Run{RequestID: id, Incarnation: "a", Remaining: remaining, Attempt: 1}
	}
	g, state := g.Void("v", 0)
	assert.Equal(t, state, claimer.NotStarted)
	g, v := g.Begin(run("late", 0), 0)
	assert.Equal(t, v, claimer.Late)
	g, _ = g.Begin(run("r", time.Minute), 0)
	g, ok := g.Start("r", 0)
	assert.Assert(t, ok)
	g, ok = g.Start("r", 0)
	assert.Assert(t, !ok)
	g = g.Expire(2*time.Minute - 1)
	assert.Equal(t, g.Len(), 3)
	g, v = g.Begin(run("v", time.Minute), 2*time.Minute-1)
	assert.Equal(t, v, claimer.Voided)
	g, v = g.Begin(run("late", time.Minute), 2*time.Minute-1)
	assert.Equal(t, v, claimer.Voided)
	g = g.Expire(time.Hour)
	assert.Equal(t, g.Len(), 1, "the running request stays")
	g = g.Finish("r", time.Hour)
	g, v = g.Begin(run("r", time.Minute), time.Hour+time.Minute)
	assert.Equal(t, v, claimer.Replay)
	g = g.Expire(time.Hour + 2*time.Minute)
	assert.Equal(t, g.Len(), 0)
}

// Guards against a request that another entry's caller relies on being taken out of the queue by a join.
func TestVerdicts(t *testing.T) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a"})
	r := claimer.Run{RequestID: "r", Incarnation: "a", Remaining: time.Second, Attempt: 1, Repeatable: true}
	g, v := g.Begin(claimer.Run{RequestID: "x", Remaining: time.Second}, 0)
	assert.Equal(t, v, claimer.WrongIncarnation, "a call that may not be repeated needs an incarnation")
	g, v = g.Begin(claimer.Run{RequestID: "x", Incarnation: "a", Remaining: time.Second, Age: time.Second}, 0)
	assert.Equal(t, v, claimer.Late)
	g, _ = g.Begin(r, 0)
	g, v = g.Join("r", 0)
	assert.Equal(t, v, claimer.Join)
	g, ok := g.Start("r", 0)
	assert.Assert(t, ok)
	g = g.Finish("r", 0)
	g, v = g.Begin(r, 0)
	assert.Equal(t, v, claimer.Replay)
	r.Attempt = 2
	g, v = g.Begin(r, 0)
	assert.Equal(t, v, claimer.RunIt)
	g, ok = g.Start("r", 0)
	assert.Assert(t, ok)
	g = g.Retract("r", 0)
	_, v = g.Join("r", 0)
	assert.Equal(t, v, claimer.Voided)
}

// Guards against sending a call elsewhere without a proof that it did not run.
func TestOutcomes(t *testing.T) {
	row := claimer.Claim{RequestID: "a", Attempt: 1, State: claimer.StateClaimed, Created: at(0)}
	const late = 19 * time.Minute
	for _, c := range []struct {
		sent    claimer.Sent
		void    claimer.VoidAnswer
		elapsed time.Duration
		outcome claimer.Outcome
		kind    claimer.Kind
	}{
		{claimer.Broken, claimer.VoidNotStarted, 0, claimer.NotRun, claimer.Takeover},
		{claimer.Broken, claimer.VoidNotStarted, late, claimer.Unknown, claimer.Undecidable},
		{claimer.Broken, claimer.VoidRunning, 0, claimer.Unknown, claimer.JoinAt},
		{claimer.Broken, claimer.VoidDone, late, claimer.Ran, claimer.JoinAt},
		{claimer.Broken, claimer.VoidWrongIncarnation, 0, claimer.Unknown, claimer.Undecidable},
		{claimer.Broken, claimer.VoidNoAnswer, 0, claimer.Unknown, claimer.Undecidable},
		{claimer.Broken, claimer.VoidNotAsked, 0, claimer.Unknown, claimer.Undecidable},
		{claimer.NeverOpened, claimer.VoidNotAsked, 0, claimer.NotRun, claimer.Undecidable},
		{claimer.Refused, claimer.VoidNotAsked, 0, claimer.NotRun, claimer.Undecidable},
		{claimer.Failed, claimer.VoidNotAsked, 0, claimer.Ran, claimer.Undecidable},
	} {
		assert.Equal(t, claimer.AfterError(claimer.Known{Sent: c.sent, Void: c.void, Elapsed: c.elapsed}), c.outcome, "%v", c)
		d := claimer.AfterVoid(row, c.void, at(c.elapsed))
		assert.Equal(t, d.Kind, c.kind, "%v", c)
		assert.Equal(t, d.Record, d.Kind == claimer.Undecidable && c.void != claimer.VoidNoAnswer, "%v", c)
	}
	assert.Equal(t, claimer.Decide(&row, claimer.Claim{RequestID: "b"}, at(late)).Kind, claimer.Undecidable)
	assert.Equal(t, claimer.Decide(&row, claimer.Claim{RequestID: "a", Attempt: 1}, at(late)).Kind, claimer.Own)
}

func TestDecideStates(t *testing.T) {
	mine := claimer.Claim{RequestID: "b", Digest: "d"}
	for state, want := range map[claimer.State]claimer.Kind{
		claimer.StateClaimed: claimer.JoinAt, claimer.StateDone: claimer.Return, claimer.StateUnknown: claimer.Undecidable,
		claimer.StateNotRun: claimer.Takeover, claimer.StateSettledNotRun: claimer.Takeover,
		claimer.StateSettledRan: claimer.SettledRan,
	} {
		row := claimer.Claim{RequestID: "a", Digest: "d", Attempt: 1, State: state, Created: at(0)}
		assert.Equal(t, claimer.Decide(&row, mine, at(0)).Kind, want, "%s", state)
		row.Digest = "other"
		assert.Equal(t, claimer.Decide(&row, mine, at(0)).Kind, claimer.DigestMismatch)
	}
}

func BenchmarkGuard50000Remembered(b *testing.B) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a"})
	ids := make([]string, 1<<20)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	b.ReportAllocs()
	// At 24 ms from one request to the next, 20 minutes hold 50,000 IDs.
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * 24 * time.Millisecond
		id := ids[i%len(ids)]
		g, _ = g.Begin(claimer.Run{RequestID: id, Incarnation: "a", Remaining: time.Minute, Attempt: 1}, now)
		g, _ = g.Start(id, now)
		g = g.Finish(id, now).Expire(now)
	}
}
