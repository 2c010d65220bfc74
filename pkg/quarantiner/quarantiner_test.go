package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/quarantiner"
)

type (
	evidence = quarantiner.Quarantiner[string]
	crash    = quarantiner.Crash[string]
	suspect  = quarantiner.Suspect[string]
)

func newEvidence() evidence { return quarantiner.New[string](quarantiner.Config{}) }

func crashAt(second float64, suspects ...suspect) crash {
	at := time.Duration(second * float64(time.Second))
	return crash{Endpoint: fmt.Sprintf("e@%v", at), At: at, Suspects: suspects}
}

func begun(parts ...string) suspect  { return suspect{Parts: parts, HasBegun: true} }
func queued(parts ...string) suspect { return suspect{Parts: parts} }

// TestThirdCrashBlocks guards against a part that is blocked too early or too late, and against blocking requests that
// have only other parts in common with the crashes.
func TestThirdCrashBlocks(t *testing.T) {
	q := newEvidence()
	for i := range 3 {
		assert.Assert(t, !q.IsBlocked([]string{"shared", "subject", "deadly"}), "after %d crashes", i)
		q = q.WithCrash(crashAt(float64(i+1), begun("shared", "subject", "deadly"), queued("shared", "waiting")))
	}
	assert.Assert(t, q.IsBlocked([]string{"deadly", "shared", "subject"}))
	assert.Assert(t, !q.IsBlocked([]string{"shared", "subject", "other"}))
	assert.Assert(t, !q.IsBlocked([]string{"shared", "waiting"}))
	q = q.WithAcquittal("shared", 4*time.Second).WithAcquittal("subject", 4*time.Second)
	assert.DeepEqual(t, q.Blocks()[0].Parts, []string{"deadly"})
	assert.Assert(t, q.IsBlocked([]string{"deadly"}))
}

// TestQueuedRequestsWeighLess guards against blocking requests that only waited when endpoints ended.
func TestQueuedRequestsWeighLess(t *testing.T) {
	q := newEvidence()
	for i := range 5 {
		q = q.WithCrash(crashAt(float64(i), queued("waiting")))
	}
	assert.Equal(t, len(q.Blocks()), 0)
	q = q.WithCrash(crashAt(5, queued("waiting")))
	assert.Equal(t, len(q.Blocks()), 1)
}

// TestSimultaneousCrashesAreOneEpisode guards against blocking what a failure domain was answering when it failed.
func TestSimultaneousCrashesAreOneEpisode(t *testing.T) {
	q := newEvidence()
	for i := range 12 {
		q = q.WithCrash(crashAt(1+float64(i)*0.008, begun("shared", fmt.Sprintf("subject-%d", i%2))))
	}
	assert.Equal(t, len(q.Blocks()), 0)
}

// TestAnsweredPartIsAcquitted guards against a part that stays suspected although endpoints answer it.
func TestAnsweredPartIsAcquitted(t *testing.T) {
	q := newEvidence()
	for i := range 9 {
		q = q.WithCrash(crashAt(float64(i), begun("busy")))
		q = q.WithAcquittal("busy", time.Duration(i)*time.Second+time.Second/2)
	}
	assert.Equal(t, len(q.Blocks()), 0)
}

// TestBystandersAreNotCounted guards against blocking a part of requests that were hit by the crashes of another part.
func TestBystandersAreNotCounted(t *testing.T) {
	q := newEvidence()
	for i := range 8 {
		c := crashAt(float64(i), queued("deadly"))
		if i > 0 {
			c.Suspects = append(c.Suspects, queued("rare"))
		}
		q = q.WithCrash(c)
	}
	assert.Equal(t, len(q.Blocks()), 1)
	assert.DeepEqual(t, q.Blocks()[0].Parts, []string{"deadly"})
}

// TestAcquittedSuspectLeavesTheOthers guards against a crash without suspects, when one whose answer had begun was acquitted
// before others are told, or the crash turns out to be older than an acquittal.
func TestAcquittedSuspectLeavesTheOthers(t *testing.T) {
	q := newEvidence().WithCrash(crashAt(1, begun("a"))).WithAcquittal("a", 6*time.Second)
	q = q.WithCrash(crashAt(5, queued("waiting")))
	q = q.WithEvidence([]crash{crashAt(5, begun("a"))}, nil)
	assert.Assert(t, q.IsSuspected("waiting") && !q.IsSuspected("a"))

	late := crashAt(7, begun("a"))
	q = q.WithCrash(late)
	assert.Assert(t, q.IsSuspected("a"))
	late.At = 5 * time.Second
	q = q.WithEvidence([]crash{late}, nil)
	assert.Assert(t, !q.IsSuspected("a"))
	crashes, _ := q.Evidence(100)
	assert.Equal(t, len(crashes), 1)
	q.WithEvidence([]crash{late, crashAt(5, queued("waiting"))}, nil)
}

// TestRivalsWaitForMoreEvidence guards against blocking the wrong one of two parts that the crashes can't tell apart.
func TestRivalsWaitForMoreEvidence(t *testing.T) {
	q := newEvidence()
	for i := range 4 {
		q = q.WithCrash(crashAt(float64(i), begun("a"), begun("deadly")))
		assert.Equal(t, len(q.Blocks()), 0)
	}
	q = q.WithAcquittal("a", 4*time.Second)
	assert.Assert(t, q.IsBlocked([]string{"deadly"}))
	assert.Assert(t, !q.IsBlocked([]string{"a"}))
}

// TestBlockEnds guards against a block that outlasts its cause, and against probes that follow each other or are sent by
// all processes at once.
func TestBlockEnds(t *testing.T) {
	q := newEvidence()
	for i := range 3 {
		q = q.WithCrash(crashAt(float64(i), begun("deadly")))
	}
	parts := []string{"deadly"}
	end := 2*time.Second + quarantiner.DefaultBlockTime
	q, ok, after := q.Admit(parts, 10*time.Second, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, after, end-10*time.Second)
	_, ok, _ = q.Admit(parts, end, time.Second)
	assert.Assert(t, !ok)
	q, ok, _ = q.Admit(parts, end, 0)
	assert.Assert(t, ok)
	q, ok, after = q.Admit(parts, end+time.Second, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, after, quarantiner.DefaultProbeTime-time.Second)

	again := q.WithCrash(crash{Endpoint: "probed", At: end + time.Second, Suspects: []suspect{begun("deadly")}})
	_, ok, after = again.Admit(parts, end+2*time.Second, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, after, quarantiner.DefaultBlockTime-time.Second)

	assert.Assert(t, !q.WithAcquittal("deadly", end+time.Second).IsBlocked(parts))
	assert.Equal(t, len(q.WithoutExpired(end+quarantiner.DefaultRetention).Blocks()), 0)
}

// exchange sends what one entry knows to another one, whose clock is ahead by the difference of their offsets.
func exchange(from, to evidence, fromOffset, toOffset time.Duration) evidence {
	crashes, acquittals := from.Evidence(1000)
	for i := range crashes {
		crashes[i].At += toOffset - fromOffset
	}
	for i := range acquittals {
		acquittals[i].At += toOffset - fromOffset
	}
	return to.WithEvidence(crashes, acquittals)
}

// TestEntriesAgree guards against entries that come to other verdicts from the same events, whichever of them has seen
// which and in whatever order messages arrive, and against a restarted entry that doesn't learn the verdicts.
func TestEntriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "entries")
		entries, offsets := make([]evidence, size), make([]time.Duration, size)
		for i := range entries {
			entries[i] = newEvidence()
			offsets[i] = time.Duration(rapid.IntRange(0, 3600).Draw(t, "offset")) * time.Second
		}
		part := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		entry := rapid.IntRange(0, size-1)
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			at := time.Duration(i) * time.Second / 3
			n := entry.Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				s := suspect{Parts: rapid.SliceOfNDistinct(part, 1, 3, rapid.ID).Draw(t, "parts"), HasBegun: rapid.Bool().Draw(t, "begun")}
				entries[n] = entries[n].WithCrash(crash{Endpoint: fmt.Sprint(rapid.IntRange(0, i).Draw(t, "endpoint")), At: at + offsets[n], Suspects: []suspect{s}})
			case 2:
				entries[n] = entries[n].WithAcquittal(part.Draw(t, "part"), at+offsets[n])
			default:
				m := entry.Draw(t, "to")
				entries[m] = exchange(entries[n], entries[m], offsets[n], offsets[m])
			}
		}
		entries = append(entries, newEvidence())
		offsets = append(offsets, 0)
		for range 3 {
			for n := range entries {
				for m := range entries {
					entries[m] = exchange(entries[n], entries[m], offsets[n], offsets[m])
				}
			}
		}
		want := blockedParts(entries[0])
		for n, q := range entries {
			assert.DeepEqual(t, blockedParts(q), want)
			crashes, _ := q.Evidence(1000)
			again := exchange(entries[0], q, offsets[0], offsets[n])
			crashesAgain, _ := again.Evidence(1000)
			assert.Equal(t, len(crashes), len(crashesAgain))
		}
	})
}

func blockedParts(q evidence) []string {
	list := []string{}
	for _, b := range q.Blocks() {
		list = append(list, fmt.Sprint(b.Parts))
	}
	slices.Sort(list)
	return list
}

// request is a request in the simulated fleet.
type request struct {
	entry    int
	parts    []string
	isDeadly bool
	answerAt time.Duration
}

// simulated is a fleet in virtual time, whose entries exchange evidence now and then.
type simulated struct {
	rng     *rand.Rand
	entries []evidence
	// startedAt holds the starts of the entries, and backAt the times until which endpoints are down.
	startedAt   []time.Duration
	backAt      []time.Duration
	incarnation []int
	open        [][]request
	crashes     int
	fifthAt     time.Duration
	// lateSends counts deadly requests sent 3 s after the fifth crash by entries that run for 3 s, and refused the sound
	// requests that were refused.
	lateSends, sound, refused int
}

const (
	simulatedStep = 10 * time.Millisecond
	contactTime   = 3 * time.Second
)

// crash ends an endpoint. Each entry sees only its own requests there.
func (s *simulated) crash(e int, now time.Duration) {
	s.incarnation[e]++
	for n := range s.entries {
		c := crash{Endpoint: fmt.Sprintf("%d@%d", e, s.incarnation[e]), At: now}
		for _, r := range s.open[e] {
			if r.entry == n && r.answerAt >= now {
				c.Suspects = append(c.Suspects, suspect{Parts: r.parts, HasBegun: r.isDeadly && r.answerAt == now})
			}
		}
		if len(c.Suspects) > 0 {
			s.entries[n] = s.entries[n].WithCrash(c)
		}
	}
	s.open[e] = nil
	s.backAt[e] = now + 3*time.Second
}

func (s *simulated) send(isDeadly bool, now time.Duration) {
	r := request{
		entry: s.rng.IntN(len(s.entries)), isDeadly: isDeadly, answerAt: (now + time.Duration(20+s.rng.IntN(700))*time.Millisecond).Truncate(simulatedStep),
		parts: []string{fmt.Sprintf("shared-%d", s.rng.IntN(3)), fmt.Sprintf("subject-%d", int(60*s.rng.Float64()*s.rng.Float64()))},
	}
	if isDeadly {
		r.parts = []string{"shared-1", "subject-41", "deadly"}
	}
	next, ok, _ := s.entries[r.entry].Admit(r.parts, now, 0)
	s.entries[r.entry] = next
	if !isDeadly {
		s.sound++
	}
	if !ok {
		if !isDeadly {
			s.refused++
		}
		return
	}
	if isDeadly && s.fifthAt > 0 && now > s.fifthAt+contactTime && now > s.startedAt[r.entry]+contactTime {
		s.lateSends++
	}
	e := s.rng.IntN(len(s.open))
	if s.backAt[e] <= now {
		s.open[e] = append(s.open[e], r)
	}
}

// answer answers what is due at the endpoint and reports whether that ends it.
func (s *simulated) answer(e int, now time.Duration) bool {
	for _, r := range s.open[e] {
		if r.answerAt != now {
			continue
		}
		if r.isDeadly {
			return true
		}
		for _, p := range r.parts {
			s.entries[r.entry] = s.entries[r.entry].WithAcquittal(p, now)
		}
	}
	s.open[e] = slices.DeleteFunc(s.open[e], func(r request) bool { return r.answerAt <= now })
	return false
}

// simulate plays 40 s of a fleet with deadly requests and crashes of another cause, each with its rate a second.
func simulate(seed uint64, deadlyRate, otherCrashRate float64) *simulated {
	const endpoints, requestRate = 18, 40
	rng := rand.New(rand.NewPCG(seed, 1))
	size := 3 + rng.IntN(8)
	s := &simulated{
		rng: rng, entries: make([]evidence, size), startedAt: make([]time.Duration, size),
		backAt: make([]time.Duration, endpoints), incarnation: make([]int, endpoints), open: make([][]request, endpoints),
	}
	for n := range s.entries {
		s.entries[n], s.startedAt[n] = newEvidence(), -contactTime
	}
	chance := func(rate float64) bool { return rng.Float64() < rate*simulatedStep.Seconds() }
	for now := time.Second; now < 40*time.Second; now += simulatedStep {
		if chance(requestRate) {
			s.send(false, now)
		}
		if now > 4*time.Second && chance(deadlyRate) {
			s.send(true, now)
		}
		for e := range s.open {
			if s.answer(e, now) {
				s.crash(e, now)
				if s.crashes++; s.crashes == 5 {
					s.fifthAt = now
				}
			}
		}
		if chance(otherCrashRate) {
			s.crash(rng.IntN(endpoints), now)
		}
		if chance(0.05) {
			n := rng.IntN(size)
			s.entries[n], s.startedAt[n] = newEvidence(), now
		}
		for n := range s.entries {
			for m := range s.entries {
				// A message every 0.4 s, of which a fifth are lost.
				if n != m && chance(0.8/0.4) {
					s.entries[m] = exchange(s.entries[n], s.entries[m], 0, 0)
				}
			}
		}
	}
	return s
}

// TestDeadlyPartInAFleet guards against deadly requests that go on reaching endpoints after the fifth crash, at few and
// at many a second, while entries restart, messages are lost and endpoints end for other reasons too.
func TestDeadlyPartInAFleet(t *testing.T) {
	for seed := range uint64(8) {
		for _, rate := range []float64{0.3, 1, 6} {
			s := simulate(seed, rate, 0.3)
			assert.Assert(t, s.lateSends <= 3, "seed %d, rate %v: %d late sends", seed, rate, s.lateSends)
			assert.Equal(t, s.refused, 0, "seed %d, rate %v: of %d sound requests", seed, rate, s.sound)
		}
	}
}

// TestOtherCrashesInAFleet guards against sound requests that are refused because endpoints end for other reasons, one
// after the other.
func TestOtherCrashesInAFleet(t *testing.T) {
	for seed := range uint64(8) {
		for _, rate := range []float64{0.5, 2} {
			s := simulate(seed, 0, rate)
			assert.Equal(t, s.refused, 0, "seed %d, rate %v: of %d sound requests", seed, rate, s.sound)
		}
	}
}

// overloaded returns the evidence of 16 crashes of engines with long queues.
func overloaded() evidence {
	q := newEvidence()
	for i := range 16 {
		c := crashAt(float64(i)/4, begun("shared", fmt.Sprintf("subject-%d", i)))
		for n := range 60 {
			c.Suspects = append(c.Suspects, queued(fmt.Sprintf("shared-%d", n%3), fmt.Sprintf("subject-%d", 100+(i*7+n)%80)))
		}
		q = q.WithCrash(c)
	}
	return q
}

// BenchmarkKnownEvidence measures a message of another entry that brings nothing new, while engines with long queues end.
func BenchmarkKnownEvidence(b *testing.B) {
	q := overloaded()
	crashes, acquittals := q.Evidence(128)
	for b.Loop() {
		q = q.WithEvidence(crashes, acquittals)
	}
}

// BenchmarkAcquittal measures an answered request whose parts are not suspected, while engines with long queues end.
func BenchmarkAcquittal(b *testing.B) {
	q := overloaded()
	at := 10 * time.Second
	for b.Loop() {
		at += time.Millisecond
		q = q.WithAcquittal("shared-1", at)
	}
}

// BenchmarkLostAttempt measures one more request that was lost at an engine which has ended.
func BenchmarkLostAttempt(b *testing.B) {
	q := overloaded()
	for b.Loop() {
		_ = q.WithCrash(crashAt(2, queued("shared-1", "new")))
	}
}
