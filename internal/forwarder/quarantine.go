package forwarder

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"geraniumladder/internal/isolator"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/quarantiner"
)

const (
	// proofTime is how long an endpoint must go on after the first event of an answer before the request counts as
	// answered.
	proofTime = 100 * time.Millisecond
	// maxEvidence limits the suspects and the acquittals in one message.
	maxEvidence = 64
)

// quarantine is this entry's evidence on parts of prompts that end endpoints. It is safe for concurrent use.
type quarantine struct {
	clock
	log zerolog.Logger

	mu    sync.Mutex
	state quarantiner.Quarantiner[string]
	// logged holds the blocks that were logged last, by their parts.
	logged map[string]bool
}

func newQuarantine(c clock, log zerolog.Logger) *quarantine {
	return &quarantine{clock: c, log: log, state: quarantiner.New[string](quarantiner.Config{}), logged: map[string]bool{}}
}

// admit decides whether a request with the parts may be sent. If not, it returns the time after which it may be.
func (q *quarantine) admit(parts []string, stagger time.Duration) (ok, isProbe bool, after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.state.IsBlocked(parts) {
		return true, false, 0
	}
	q.state, ok, after = q.state.Admit(parts, q.elapsed(), stagger)
	return ok, ok, after
}

func (q *quarantine) isBlocked(parts []string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.IsBlocked(parts)
}

// acquit records that a request with the parts was answered.
func (q *quarantine) acquit(parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.elapsed()
	for _, part := range parts {
		q.state = q.state.WithAcquittal(part, now)
	}
	q.logBlocks()
}

// addCrashes adds crashes that this entry has observed and reports whether there are new blocks.
func (q *quarantine) addCrashes(crashes []endpointCrash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		q.state = q.state.WithCrash(quarantiner.Crash[string]{Endpoint: c.incarnation.String(), At: c.at.Sub(q.start), Suspects: c.suspects})
		q.log.Warn().Str("Endpoint", c.incarnation.id).Dur("Ago", q.now().Sub(c.at)).Int("Suspects", len(c.suspects)).Strs("Requests", c.requests).
			Msg("forwarder: endpoint ended with requests that it had not answered")
	}
	return q.logBlocks()
}

// merge adds what another entry knows and reports whether there are new blocks.
func (q *quarantine) merge(crashes []wire.EndpointCrash, acquittals []wire.PartAcquittal) bool {
	if len(crashes) == 0 && len(acquittals) == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	knownCrashes := make([]quarantiner.Crash[string], len(crashes))
	for i, c := range crashes {
		knownCrashes[i] = quarantiner.Crash[string]{Endpoint: c.Incarnation, At: q.timeOfAge(c.AgeMilliseconds)}
		for _, s := range c.Suspects {
			knownCrashes[i].Suspects = append(knownCrashes[i].Suspects, quarantiner.Suspect[string]{Parts: s.Parts, HasBegun: s.HasBegun})
		}
	}
	knownAcquittals := make([]quarantiner.Acquittal[string], len(acquittals))
	for i, a := range acquittals {
		knownAcquittals[i] = quarantiner.Acquittal[string]{Part: a.Part, At: q.timeOfAge(a.AgeMilliseconds)}
	}
	q.state = q.state.WithEvidence(knownCrashes, knownAcquittals)
	return q.logBlocks()
}

// prune removes the evidence that no longer counts.
func (q *quarantine) prune() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state = q.state.WithoutExpired(q.elapsed())
	q.logBlocks()
}

// logBlocks logs the blocks that have begun or ended and reports whether one has begun.
func (q *quarantine) logBlocks() bool {
	isNew := false
	blocks := q.state.Blocks()
	current := make(map[string]bool, len(blocks))
	for _, b := range blocks {
		key := strings.Join(b.Parts, ",")
		current[key] = true
		if !q.logged[key] {
			isNew = true
			q.log.Warn().Strs("Parts", b.Parts).Int("Crashes", b.Crashes).Dur("For", b.Until-q.elapsed()).Msg("forwarder: parts of prompts blocked")
		}
	}
	for key := range q.logged {
		if !current[key] {
			q.log.Info().Str("Parts", key).Msg("forwarder: parts of prompts no longer blocked")
		}
	}
	q.logged = current
	return isNew
}

// evidence returns what the other entries need to know.
func (q *quarantine) evidence() ([]wire.EndpointCrash, []wire.PartAcquittal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, acquitted := q.state.Evidence(maxEvidence)
	crashes := make([]wire.EndpointCrash, len(known))
	for i, c := range known {
		crashes[i] = wire.EndpointCrash{Incarnation: c.Endpoint, AgeMilliseconds: q.ageMilliseconds(c.At), Suspects: []wire.CrashSuspect{}}
		for _, s := range c.Suspects {
			crashes[i].Suspects = append(crashes[i].Suspects, wire.CrashSuspect{Parts: s.Parts, HasBegun: s.HasBegun})
		}
	}
	acquittals := make([]wire.PartAcquittal, len(acquitted))
	for i, a := range acquitted {
		acquittals[i] = wire.PartAcquittal{Part: a.Part, AgeMilliseconds: q.ageMilliseconds(a.At)}
	}
	return crashes, acquittals
}

// reportCrashes adds the crashes that the fleet has found to the evidence, and tells the other entries soon. The attempts
// at an endpoint that ends are lost one after the other, so it is called at an interval rather than for each.
func (f *Forwarder) reportCrashes() {
	crashes := f.fleet.takeCrashes()
	if len(crashes) == 0 {
		return
	}
	ends := make([]isolator.End, len(crashes))
	for i, c := range crashes {
		ends[i] = isolator.End{Endpoint: c.incarnation.String(), At: c.at, Requests: c.requests}
	}
	hasBlockedParts, hasBlockedRequests := f.quarantine.addCrashes(crashes), f.isolator.RecordEnds(ends)
	if hasBlockedParts || hasBlockedRequests {
		f.abandonBlocked()
	}
	if f.config.OnEvidence != nil {
		f.config.OnEvidence()
	}
}

// CrashEvidence is what entries tell one another of requests and parts of prompts that end endpoints.
type CrashEvidence struct {
	Crashes    []wire.EndpointCrash
	Acquittals []wire.PartAcquittal
	Answers    []wire.RequestAnswer
}

// CrashEvidence returns what this entry knows, for the other entries.
func (f *Forwarder) CrashEvidence() CrashEvidence {
	crashes, acquittals := f.quarantine.evidence()
	ends, answers := f.isolator.Evidence()
	return CrashEvidence{Crashes: append(crashes, ends...), Acquittals: acquittals, Answers: answers}
}

// AddCrashEvidence adds what another entry knows.
func (f *Forwarder) AddCrashEvidence(e CrashEvidence) {
	hasBlockedParts, hasBlockedRequests := f.quarantine.merge(e.Crashes, e.Acquittals), f.isolator.Merge(e.Crashes, e.Answers)
	if hasBlockedParts || hasBlockedRequests {
		f.abandonBlocked()
	}
}

// abandonBlocked ends the attempts whose requests have been blocked since they were sent, before the endpoints begin to
// answer them.
func (f *Forwarder) abandonBlocked() {
	for _, a := range f.fleet.unansweredAttempts() {
		if len(a.parts) > 0 && f.quarantine.isBlocked(a.parts) || f.isolator.IsBlocked(a.digest) {
			a.isBlocked.Store(true)
			a.conn.Close()
		}
	}
}

func (f *fleet) unansweredAttempts() []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*attempt
	for _, e := range f.byIncarnation {
		for a := range e.attempts {
			if !a.hasEvents.Load() {
				list = append(list, a)
			}
		}
	}
	return list
}

// refuseBlocked returns a refusal if the request or a part of its prompt is blocked.
func (x *exchange) refuseBlocked() *Refusal {
	if x.isProbe {
		return nil
	}
	stagger := func() time.Duration { return isolator.Stagger(x.f.config.VM, x.f.config.EntryCount()) }
	isAdmitted, isRequestProbe, blockedFor := x.f.isolator.Admit(x.digest, stagger)
	if x.isProbe = isRequestProbe; !isAdmitted {
		return refuseRequest(blockedFor)
	}
	if x.isProbe || len(x.call.sharedParts) == 0 {
		return nil
	}
	ok, isProbe, after := x.f.quarantine.admit(x.call.sharedParts, stagger())
	x.isProbe = isProbe
	if ok {
		return nil
	}
	return refusePart(after)
}

// recordAnswered acquits the request and the parts of its prompt once the endpoint has gone on for proofTime after the first
// event, or the answer is complete.
func (x *exchange) recordAnswered(isComplete bool) {
	if x.isProven {
		return
	}
	if isComplete || x.f.config.Now().Sub(x.attemptFirstEventAt) >= proofTime {
		x.isProven = true
		x.f.isolator.RecordAnswer(x.digest)
		if len(x.call.sharedParts) > 0 {
			x.f.quarantine.acquit(x.call.sharedParts)
		}
	}
}

// recordUnanswered makes the request a suspect if its endpoint should turn out to have ended.
func (x *exchange) recordUnanswered(e *endpoint, err error) {
	if x.isProven || !isConnectionEnd(err) {
		return
	}
	l := lostAttempt{at: x.f.config.Now(), suspect: quarantiner.Suspect[string]{Parts: x.call.sharedParts, HasBegun: x.hasBegun}}
	if x.chosen.engine == nil || x.hasBegun {
		l.digest = x.digest()
	}
	if l.digest != "" || len(l.suspect.Parts) > 0 {
		x.f.fleet.recordLost(e, l)
	}
}
