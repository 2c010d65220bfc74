package forwarder

import (
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/pkg/estimator"
	"geraniumladder/pkg/selector"
)

const (
	// observedEvents is the number of events whose pauses are observed together, so that the number of tokens in single
	// events matters less.
	observedEvents = 4
	// minWaitedShare is the part of a pause that must have been spent in waiting for the endpoint. Otherwise the caller or
	// this process held up the stream.
	minWaitedShare = 0.8
	// maxDelayShare is the part of an observed time that this process may be behind.
	maxDelayShare = 0.1
	// predictedCacheCertainty is the weight of the tokens to read if a part of the prompt is assumed to be in the engine's
	// cache.
	predictedCacheCertainty = 0.5
	// maxChoiceTolerance bounds the tolerance in the choice of an endpoint, and choiceToleranceShare is its share of the
	// objective: 60 ms for an objective of a second.
	maxChoiceTolerance   = 60 * time.Millisecond
	choiceToleranceShare = 0.06
)

// choiceTolerance returns the tolerance in the choice of an engine. Streams from engines have one, because the time to
// their first event depends on the prompts that other entries have sent.
func (x *exchange) choiceTolerance() time.Duration {
	if x.route.Kind != registrar.Stream || x.call.Model.Model == "" {
		return 0
	}
	return min(maxChoiceTolerance, time.Duration(choiceToleranceShare*float64(x.route.Objective)))
}

// estimate returns what has been learned of a service.
func (f *fleet) estimate(service string) *estimator.Service {
	s := f.estimates[service]
	if s == nil {
		created := estimator.NewService(f.defaults)
		s = &created
		f.estimates[service] = s
	}
	return s
}

// observe learns from the time that an engine took.
func (f *fleet) observe(e *endpoint, now time.Time, o estimator.Observation) {
	s := f.estimate(e.Service)
	*s = s.WithObservation(now, o)
	e.speed = e.speed.WithObservation(now, s, o)
	f.updateRate(e, now)
}

// setSharedSpeed applies the speed of a sidecar's report, which has just been stored in the endpoint.
func (f *fleet) setSharedSpeed(e *endpoint, speed float64) {
	e.speed = e.speed.WithShared(e.stateAt, speed)
	f.updateRate(e, e.stateAt)
	e.updateBacklog(e.stateAt)
}

func (f *fleet) updateRate(e *endpoint, now time.Time) {
	e.backlog = e.backlog.WithRate(now, f.estimate(e.Service).Config().PrefillTokensPerMs*e.speed.Speed(now))
}

// updateBacklog must be called when pendingPrefill or othersPendingPrefill has changed.
func (e *endpoint) updateBacklog(now time.Time) {
	e.backlog = e.backlog.WithTotal(now, e.pendingPrefill+e.othersPendingPrefill)
}

// unreadTokens returns the prompt tokens that the engine has yet to read. A prompt counts in full until its first event: how
// far an engine has got is unknown, and engines with long queues looked shorter than they were when it was estimated.
// Without a recent report, the tokens are those that this entry has sent.
func (e *endpoint) unreadTokens(now time.Time) float64 {
	if now.Sub(e.stateAt) >= stateTTL {
		return e.pendingPrefill
	}
	return e.pendingPrefill + e.othersPendingPrefill
}

// running returns the number of requests in the engine's batch.
func (e *endpoint) running(now time.Time) int {
	if now.Sub(e.stateAt) < stateTTL {
		return max(e.open, e.state.Running+e.sentSinceReport)
	}
	return e.open
}

// sentState is the state of an endpoint when a request was sent to it.
type sentState struct {
	// at is the time of the send, zero before it.
	at time.Time
	// isObservable is false if the time to the first event depends on more than the engine's speed: its queue, its free
	// memory, or that it has just started.
	isObservable bool
	batch        int
	// readTokens and certainTokens are those of estimator.Observation.
	readTokens, certainTokens float64
}

// sentState returns the state for a request that has just been counted, with the tokens of its prompt to be read.
func (e *endpoint) sentState(call *Call, ownTokens float64, now time.Time) sentState {
	if e.engine == nil || call.LastEvent != "" || !call.HasTokens {
		return sentState{}
	}
	isFresh := now.Sub(e.stateAt) < stateTTL
	s := sentState{
		isObservable: isFresh && !now.Before(e.pace.coldUntil) && e.state.Waiting == 0 && e.running(now) <= e.engine.Batch &&
			float64(e.state.TotalTokens-e.state.UsedTokens) >= call.PromptTokens+call.AnswerTokens,
		batch: e.running(now), readTokens: e.unreadTokens(now), certainTokens: ownTokens,
	}
	if ownTokens < call.PromptTokens {
		s.certainTokens *= predictedCacheCertainty
	}
	return s
}

// pauseTimer collects the pauses between some events of a stream.
type pauseTimer struct {
	// start is the time of the event before the first pause; zero before the first event.
	start time.Time
	// waited is the time spent in waiting for the endpoint since start.
	waited time.Duration
	events int
	// read is the number of prompt tokens that the engine had read at start.
	read float64
}

// observe learns from the arrival of events.
func (r *relayer) observe(events int) {
	if r.x.chosen.engine == nil {
		return
	}
	now := r.x.f.config.Now()
	p := &r.pauses
	if p.start.IsZero() {
		if r.x.sent.isObservable && r.x.lastEvent == "" && events == 1 {
			r.record(now, estimator.Observation{
				IsFirst: true, Events: 1, Batch: r.x.sent.batch, ReadTokens: r.x.sent.readTokens, CertainTokens: r.x.sent.certainTokens,
				Actual: now.Sub(r.x.sent.at),
			})
		}
		r.restartPauses(now)
		return
	}
	p.events += events
	if p.events < observedEvents {
		return
	}
	if took := now.Sub(p.start); float64(p.waited) >= minWaitedShare*float64(took) {
		r.record(now, estimator.Observation{Events: p.events, Actual: took})
	}
	r.restartPauses(now)
}

// restartPauses begins a new collection of pauses.
func (r *relayer) restartPauses(now time.Time) {
	f := r.x.f.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	r.pauses = pauseTimer{start: now, read: r.e.backlog.Read(now)}
}

// record passes an observation on unless this process itself was behind. It fills in what depends on the endpoint's state
// if the observation is one of pauses.
func (r *relayer) record(now time.Time, o estimator.Observation) {
	if float64(r.x.f.delayWithin(o.Actual)) > maxDelayShare*float64(o.Actual) {
		return
	}
	f := r.x.f.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !o.IsFirst {
		o.Batch, o.ReadTokens = r.e.running(now), r.e.backlog.Read(now)-r.pauses.read
	}
	f.observe(r.e, now, o)
}

// cause names what the request had to wait for, by what was known when the endpoint was selected.
func (p *placement) cause() string {
	if p.residency == selector.Absent && p.isWarm {
		return "warm"
	}
	return p.residency.String()
}

// recordEstimate records how exact the expected time to the first event was.
func (x *exchange) recordEstimate() {
	if x.chosen.engine == nil || x.chosen.expected <= 0 {
		return
	}
	x.estimateRatio = float64(x.f.config.Now().Sub(x.chosen.at)) / float64(x.chosen.expected)
	x.f.config.Observer.Estimate(x.chosen.cause(), x.estimateRatio)
}
