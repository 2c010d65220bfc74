package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/claimer"
)

// maxMessageAge is the age from which signature verification rejects a message.
const maxMessageAge = 30 * time.Second

// process is one incarnation of a sidecar.
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

type storedClaim struct {
	claim   claimer.Claim
	version int64
}

// request is one caller's request at one entry, with the state that the entry keeps for it.
type request struct {
	id, key             string
	attempt             int
	deadline            time.Duration
	sentAt              time.Duration
	endpoint            int
	expectedIncarnation string
	dispatchedAttempt   int // last attempt dispatched; 0 before the first
	phase               string
	known               claimer.DeliveryState
	outcome             claimer.Outcome
}

type simulation struct {
	now           time.Duration
	storeUp       bool
	rows          map[string]storedClaim
	delayedWrites []func()
	processes     []*process
	starts        int
	sentMessages  []message
	requests      []*request
	// runsByID and runsByKey count engine calls by request ID and by idempotency key.
	runsByID, runsByKey map[string]int
}

func (sim *simulation) startProcess(endpoint int) {
	sim.starts++
	inc := fmt.Sprintf("inc%d", sim.starts)
	sim.processes[endpoint] = &process{incarnation: inc, guard: claimer.NewGuard(claimer.GuardConfig{Incarnation: inc})}
}

func (sim *simulation) deliver(m message) claimer.Verdict {
	p := sim.processes[m.endpoint]
	var v claimer.Verdict
	p.guard, v = p.guard.Begin(m.run, sim.now)
	if v == claimer.Accepted {
		p.queue = append(p.queue, m.run.RequestID)
	}
	return v
}

// putClaim is a conditional write whose response may be lost, or whose effect may be lost or delayed.
func (sim *simulation) putClaim(t *rapid.T, key string, c claimer.Claim, expect int64) string {
	apply := func() bool {
		if sim.rows[key].version != expect {
			return false
		}
		sim.rows[key] = storedClaim{c, expect + 1}
		return true
	}
	if !sim.storeUp {
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
		sim.delayedWrites = append(sim.delayedWrites, func() { apply() })
	}
	return "lost"
}

func wallTime(now time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(now) }

func (sim *simulation) assign(t *rapid.T, r *request, attempt int) claimer.Claim {
	r.attempt = attempt
	r.endpoint = rapid.IntRange(0, len(sim.processes)-1).Draw(t, "endpoint")
	r.expectedIncarnation = sim.processes[r.endpoint].incarnation
	return claimer.Claim{RequestID: r.id, Attempt: attempt, State: claimer.StateClaimed, Created: wallTime(sim.now),
		Sidecar: claimer.Sidecar{Endpoint: fmt.Sprint(r.endpoint), Incarnation: r.expectedIncarnation}}
}

// claim is the step of an entry that has not dispatched the current attempt, or has proof that it did not run.
func (sim *simulation) claim(t *rapid.T, r *request) {
	if !sim.storeUp || rapid.IntRange(0, 9).Draw(t, "give up") == 0 {
		r.outcome = claimer.NotRun
		return
	}
	row := sim.rows[r.key]
	var existing *claimer.Claim
	if row.version > 0 {
		existing = &row.claim
	}
	mine := claimer.Claim{RequestID: r.id, Attempt: r.attempt}
	d := claimer.Decide(existing, mine, wallTime(sim.now))
	if d.Kind == claimer.OwnWrite && r.dispatchedAttempt == r.attempt {
		// The entry's own attempt provably did not run.
		d = claimer.Decision{Kind: claimer.Takeover, Attempt: r.attempt + 1}
	}
	if d.Kind == claimer.JoinAt {
		d = sim.join(t, r, row.claim, d)
	}
	switch d.Kind {
	case claimer.OwnWrite:
		r.phase = "dispatch"
	case claimer.Insert, claimer.Takeover:
		if sim.putClaim(t, r.key, sim.assign(t, r, d.Attempt), row.version) == "ok" {
			r.phase = "dispatch"
		}
	case claimer.Undecidable:
		if d.Record {
			row.claim.State = claimer.StateUnknown
			sim.putClaim(t, r.key, row.claim, row.version)
		}
		r.outcome = claimer.Unknown
	default:
		r.outcome = claimer.Ran
	}
}

func (sim *simulation) join(t *rapid.T, _ *request, c claimer.Claim, d claimer.Decision) claimer.Decision {
	var endpoint int
	_, err := fmt.Sscan(d.Sidecar.Endpoint, &endpoint)
	assert.NilError(t, err)
	p, asked := sim.processes[endpoint], wallTime(sim.now)
	if p.incarnation != d.Sidecar.Incarnation {
		return claimer.AfterVoid(c, claimer.VoidWrongIncarnation, asked)
	}
	var answer claimer.VoidAnswer
	if rapid.Bool().Draw(t, "void") {
		answer = sim.void(p, d.RequestID)
	} else {
		var v claimer.Verdict
		p.guard, v = p.guard.Join(d.RequestID, sim.now)
		answer = claimer.VoidAnswerFromVerdict(v)
	}
	if rapid.IntRange(0, 4).Draw(t, "answer") == 0 {
		answer = claimer.VoidNoResponse
	}
	return claimer.AfterVoid(c, answer, asked)
}

func (sim *simulation) void(p *process, id string) claimer.VoidAnswer {
	var s claimer.VoidState
	p.guard, s = p.guard.Void(id, sim.now)
	return claimer.VoidAnswerFromState(s)
}

func (sim *simulation) step(t *rapid.T, r *request) {
	switch r.phase {
	case "claim":
		sim.claim(t, r)
	case "dispatch":
		r.dispatchedAttempt, r.sentAt, r.known = r.attempt, sim.now, claimer.DeliveryState{}
		fault := rapid.SampledFrom([]string{"", "", "never opened", "lost", "answer lost"}).Draw(t, "dispatch")
		if fault == "never opened" {
			r.known.SendResult, r.phase = claimer.NotConnected, "decide"
			return
		}
		m := message{r.endpoint, claimer.Run{RequestID: r.id, Incarnation: r.expectedIncarnation, Remaining: r.deadline - sim.now,
			Attempt: r.attempt}, sim.now}
		sim.sentMessages = append(sim.sentMessages, m)
		r.phase = "wait"
		if fault == "lost" {
			return
		}
		v := sim.deliver(m)
		if fault == "" && (v == claimer.Voided || v == claimer.Late || v == claimer.WrongIncarnation) {
			r.known.SendResult, r.phase = claimer.Refused, "decide"
		}
	case "wait":
		// The connection breaks; the entry sends the void message on another one.
		p := sim.processes[r.endpoint]
		switch {
		case rapid.IntRange(0, 3).Draw(t, "void") == 0:
			r.known.Void = claimer.VoidNoResponse
		case p.incarnation != r.expectedIncarnation:
			r.known.Void = claimer.VoidWrongIncarnation
		default:
			r.known.Elapsed = sim.now - r.sentAt
			r.known.Void = sim.void(p, r.id)
		}
		r.phase = "decide"
	case "decide":
		o := claimer.AfterError(r.known)
		switch {
		case o != claimer.NotRun || rapid.IntRange(0, 3).Draw(t, "final") == 0:
			r.outcome = o
		case r.key == "":
			sim.assign(t, r, r.attempt+1)
			r.phase = "dispatch"
		default:
			r.phase = "claim"
		}
	}
}

func (sim *simulation) checkInvariants(t *rapid.T) {
	for id, n := range sim.runsByID {
		assert.Assert(t, n <= 1, "request %s ran %d times", id, n)
	}
	for key, n := range sim.runsByKey {
		assert.Assert(t, n <= 1, "call %s ran %d times", key, n)
	}
	for _, r := range sim.requests {
		assert.Assert(t, r.outcome != claimer.NotRun || sim.runsByID[r.id] == 0, "%s was reported as not run but ran", r.id)
	}
}

func (sim *simulation) startQueued(p *process, i int) {
	id := p.queue[i]
	p.queue = append(p.queue[:i:i], p.queue[i+1:]...)
	var ok bool
	p.guard, ok = p.guard.Start(id, sim.now)
	if !ok {
		return
	}
	sim.runsByID[id]++
	p.running = append(p.running, id)
	for _, r := range sim.requests {
		if r.id == id && r.key != "" {
			sim.runsByKey[r.key]++
		}
	}
}

// Guards against a payment or stock release that runs twice, or that runs although its caller was told it did not.
// Callers retry at other entries, messages are delayed and duplicated, sidecars crash and restart, void messages
// overtake run messages, responses of the store are lost and its writes delayed, and processes pause for longer than any
// retention period.
func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{storeUp: true, rows: map[string]storedClaim{}, processes: make([]*process, 2),
			runsByID: map[string]int{}, runsByKey: map[string]int{}}
		sim.startProcess(0)
		sim.startProcess(1)
		// Several steps per action make a second claim after a run and a crash reachable in few actions.
		step := func(t *rapid.T) {
			var unfinished []*request
			for _, r := range sim.requests {
				if r.outcome == "" {
					unfinished = append(unfinished, r)
				}
			}
			if len(unfinished) == 0 {
				return
			}
			r := rapid.SampledFrom(unfinished).Draw(t, "request")
			for n := rapid.IntRange(1, 3).Draw(t, "steps"); n > 0 && r.outcome == ""; n-- {
				sim.step(t, r)
			}
		}
		run := func(t *rapid.T) {
			p := rapid.SampledFrom(sim.processes).Draw(t, "process")
			for n := len(p.queue); n > 0; n = len(p.queue) {
				sim.startQueued(p, rapid.IntRange(0, n-1).Draw(t, "queued"))
				if rapid.Bool().Draw(t, "leave the rest") {
					break
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				r := &request{id: fmt.Sprintf("r%d", len(sim.requests)), phase: "claim",
					key:      rapid.SampledFrom([]string{"", "k1", "k1", "k2"}).Draw(t, "key"),
					deadline: sim.now + claimer.DefaultMaxLifetime}
				if r.key == "" {
					sim.assign(t, r, 1)
					r.phase = "dispatch"
				}
				sim.requests = append(sim.requests, r)
			},
			"step": step, "step again": step, "step more": step, "run": run, "run more": run,
			"copy": func(t *rapid.T) {
				if n := len(sim.sentMessages); n > 0 {
					m := sim.sentMessages[rapid.IntRange(0, n-1).Draw(t, "copy")]
					if sim.now-m.sent < maxMessageAge {
						sim.deliver(m)
					}
				}
			},
			"finish": func(t *rapid.T) {
				p := rapid.SampledFrom(sim.processes).Draw(t, "process")
				for _, id := range p.running {
					p.guard = p.guard.Finish(id, sim.now)
				}
				p.running = nil
			},
			"die":   func(t *rapid.T) { sim.startProcess(rapid.IntRange(0, 1).Draw(t, "endpoint")) },
			"store": func(*rapid.T) { sim.storeUp = !sim.storeUp },
			"late write": func(*rapid.T) {
				if len(sim.delayedWrites) > 0 {
					sim.delayedWrites[0]()
					sim.delayedWrites = sim.delayedWrites[1:]
				}
			},
			"time": func(t *rapid.T) {
				sim.now += rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 10 * time.Minute}).Draw(t, "by")
				for _, p := range sim.processes {
					p.guard = p.guard.Expire(sim.now)
				}
			},
			"": sim.checkInvariants,
		})
		for _, m := range sim.sentMessages {
			if sim.now-m.sent < maxMessageAge {
				sim.deliver(m)
			}
		}
		for _, p := range sim.processes {
			for len(p.queue) > 0 {
				sim.startQueued(p, 0)
			}
		}
		sim.checkInvariants(t)
	})
}

// Guards against records that expire early, which breaks the guarantee of Void, and against records that never expire,
// which exhausts the sidecar's memory.
func TestGuardRetention(t *testing.T) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a", MaxLifetime: time.Minute})
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
	assert.Equal(t, g.Len(), 1, "a running request must not expire")
	g = g.Finish("r", time.Hour)
	g, v = g.Begin(run("r", time.Minute), time.Hour+time.Minute)
	assert.Equal(t, v, claimer.Replay)
	g = g.Expire(time.Hour + 2*time.Minute)
	assert.Equal(t, g.Len(), 0)
}

// Checks the verdicts of Begin and Join. Guards against a join that removes a queued request for which the caller at
// another entry is still waiting.
func TestGuardVerdicts(t *testing.T) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a"})
	r := claimer.Run{RequestID: "r", Incarnation: "a", Remaining: time.Second, Attempt: 1, Repeatable: true}
	g, v := g.Begin(claimer.Run{RequestID: "x", Remaining: time.Second}, 0)
	assert.Equal(t, v, claimer.WrongIncarnation, "a call that is not repeatable requires an incarnation")
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
	assert.Equal(t, v, claimer.Accepted)
	g, ok = g.Start("r", 0)
	assert.Assert(t, ok)
	g = g.Retract("r", 0)
	_, v = g.Join("r", 0)
	assert.Equal(t, v, claimer.Voided)
}

// Guards against sending a call to another endpoint without proof that it did not run.
func TestOutcomes(t *testing.T) {
	row := claimer.Claim{RequestID: "a", Attempt: 1, State: claimer.StateClaimed, Created: wallTime(0)}
	const late = 19 * time.Minute
	for _, c := range []struct {
		sent    claimer.SendResult
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
		{claimer.Broken, claimer.VoidNoResponse, 0, claimer.Unknown, claimer.Undecidable},
		{claimer.Broken, claimer.VoidNotAsked, 0, claimer.Unknown, claimer.Undecidable},
		{claimer.NotConnected, claimer.VoidNotAsked, 0, claimer.NotRun, claimer.Undecidable},
		{claimer.Refused, claimer.VoidNotAsked, 0, claimer.NotRun, claimer.Undecidable},
		{claimer.Failed, claimer.VoidNotAsked, 0, claimer.Ran, claimer.Undecidable},
	} {
		assert.Equal(t, claimer.AfterError(claimer.DeliveryState{SendResult: c.sent, Void: c.void, Elapsed: c.elapsed}), c.outcome, "%v", c)
		d := claimer.AfterVoid(row, c.void, wallTime(c.elapsed))
		assert.Equal(t, d.Kind, c.kind, "%v", c)
		assert.Equal(t, d.Record, d.Kind == claimer.Undecidable && c.void != claimer.VoidNoResponse, "%v", c)
	}
	assert.Equal(t, claimer.Decide(&row, claimer.Claim{RequestID: "b"}, wallTime(late)).Kind, claimer.Undecidable)
	assert.Equal(t, claimer.Decide(&row, claimer.Claim{RequestID: "a", Attempt: 1}, wallTime(late)).Kind, claimer.OwnWrite)
}

func TestDecideStates(t *testing.T) {
	mine := claimer.Claim{RequestID: "b", Digest: "d"}
	for state, want := range map[claimer.State]claimer.Kind{
		claimer.StateClaimed: claimer.JoinAt, claimer.StateDone: claimer.ReturnStored, claimer.StateUnknown: claimer.Undecidable,
		claimer.StateNotRun: claimer.Takeover, claimer.StateSettledNotRun: claimer.Takeover,
		claimer.StateSettledRan: claimer.SettledRan,
	} {
		row := claimer.Claim{RequestID: "a", Digest: "d", Attempt: 1, State: state, Created: wallTime(0)}
		assert.Equal(t, claimer.Decide(&row, mine, wallTime(0)).Kind, want, "%s", state)
		row.Digest = "other"
		assert.Equal(t, claimer.Decide(&row, mine, wallTime(0)).Kind, claimer.DigestMismatch)
	}
}

func BenchmarkGuard50000Remembered(b *testing.B) {
	g := claimer.NewGuard(claimer.GuardConfig{Incarnation: "a"})
	ids := make([]string, 1<<20)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	b.ReportAllocs()
	// With one request every 24 ms, the retention period of 20 minutes covers 50,000 IDs.
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * 24 * time.Millisecond
		id := ids[i%len(ids)]
		g, _ = g.Begin(claimer.Run{RequestID: id, Incarnation: "a", Remaining: time.Minute, Attempt: 1}, now)
		g, _ = g.Start(id, now)
		g = g.Finish(id, now).Expire(now)
	}
}
