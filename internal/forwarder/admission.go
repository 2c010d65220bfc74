package forwarder

import (
	"sync"
	"time"

	"geraniumladder/internal/registrar"
	"geraniumladder/pkg/arbiter"
)

// admission is what this entry knows for decisions on early rejections. It is safe for concurrent use.
type admission struct {
	mu sync.Mutex
	// states holds what is known of the requests by service.
	states map[string]arbiter.State
}

// forecast is the expected time to the first event when an endpoint was first selected for a request.
type forecast struct {
	// at is zero before the selection.
	at       time.Time
	expected time.Duration
	// isTrial means that the request was admitted in order to measure the error of the expected time.
	isTrial bool
}

// usefulUntil returns the time after which the first event is of no use: the deadline, or the time when the caller leaves
// if that is earlier.
func (x *exchange) usefulUntil() time.Time {
	end := x.deadline
	if x.route.Kind != registrar.Stream || x.call.LastEvent != "" {
		return end
	}
	if patience := arbiter.Patience(x.route.Objective, x.route.MaxPause); patience > 0 {
		if left := x.arrivedAt.Add(patience); left.Before(end) {
			return left
		}
	}
	return end
}

// refuseEarly decides on the request after the selection of an endpoint. Only streams from model engines have a learned
// expected time. A request that may have run isn't rejected, because the rejection would have to leave that open.
func (x *exchange) refuseEarly() *Refusal {
	if x.mayHaveRun || x.forecast.isTrial || x.route.Kind != registrar.Stream || x.call.Model.Model == "" || x.call.LastEvent != "" {
		return nil
	}
	now, a := x.f.elapsed(), &x.f.admission
	r := x.arbiterRequest()
	if r.IsNew {
		x.forecast.at, x.forecast.expected = x.chosen.at, x.chosen.expected
	}
	a.mu.Lock()
	state := a.states[x.service]
	x.f.mu.Lock()
	d := x.f.config.Admission.Decide(now, r, &state, x.f.rng)
	x.f.mu.Unlock()
	next := state.WithDecision(now, r, d)
	a.states[x.service] = next
	a.mu.Unlock()
	if state.Load.IsShort() != next.Load.IsShort() {
		x.f.config.Log.Info().Str("Service", x.service).Bool("IsShort", next.Load.IsShort()).Float64("LatePart", next.Load.LatePart()).
			Msg("forwarder: capacity became short or sufficient")
	}
	if d.Kind == arbiter.Admitted {
		return nil
	}
	x.forecast.isTrial = d.Kind == arbiter.Trial
	x.f.config.Observer.Admission(x.organisationName(), string(d.Kind))
	x.f.config.Log.Info().Str("Request", x.call.ID).Str("Decision", string(d.Kind)).Str("Organisation", x.organisationName()).
		Dur("Expected", r.Expected).Dur("Lowest", state.Accuracy.Lowest(now, r.Expected)).Dur("Remaining", r.Remaining).
		Dur("Typical", state.Accuracy.Typical(now, r.Expected)).Dur("Timely", r.Timely).Dur("Idle", r.Idle).Float64("LatePart", next.Load.LatePart()).
		Dur("RetryAfter", d.RetryAfter).Msg("forwarder: admission decided")
	if !d.IsRejected() {
		return nil
	}
	x.forecast = forecast{}
	return refuseUnavailable(string(d.Kind), d.RetryAfter)
}

// arbiterRequest returns what the decision on the request depends on.
func (x *exchange) arbiterRequest() arbiter.Request {
	now := x.f.config.Now()
	r := arbiter.Request{
		Expected: x.chosen.fastest, Remaining: x.usefulUntil().Sub(now), Objective: x.route.Objective,
		Timely: x.arrivedAt.Add(x.route.Objective).Sub(now), Idle: x.chosen.idle, Queued: x.chosen.expected - x.chosen.idle,
		IsNew: x.forecast.at.IsZero(), Organisation: x.organisationName(), Tokens: x.chosen.ownTokens + x.call.AnswerTokens,
	}
	if x.organisation != nil && x.organisation.CountsTokens {
		r.Weight = x.organisation.Rate
	}
	return r
}

// recordForecast records the error of the expected time when the request gets its first event or ends without one.
func (x *exchange) recordForecast(hasFirstEvent bool) {
	if x.forecast.at.IsZero() {
		return
	}
	now, a := x.f.elapsed(), &x.f.admission
	took, expected := x.f.config.Now().Sub(x.forecast.at), x.forecast.expected
	x.forecast = forecast{isTrial: x.forecast.isTrial}
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.states[x.service]
	if hasFirstEvent {
		state.Accuracy = state.Accuracy.WithFirstEvent(now, expected, took)
	} else {
		state.Accuracy = state.Accuracy.WithoutFirstEvent(now, expected, took)
	}
	a.states[x.service] = state
}
