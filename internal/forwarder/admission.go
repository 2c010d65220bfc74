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
	// accuracies hold the error of the expected times by service.
	accuracies map[string]arbiter.Accuracy
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
// expected time. A request that has been sent before isn't rejected, because it may have run.
func (x *exchange) refuseEarly() *Refusal {
	if x.sendCount > 0 || x.forecast.isTrial || x.route.Kind != registrar.Stream || x.call.Model.Model == "" || x.call.LastEvent != "" {
		return nil
	}
	now, a := x.f.elapsed(), &x.f.admission
	if x.forecast.at.IsZero() {
		x.forecast.at, x.forecast.expected = x.chosen.at, x.chosen.expected
	}
	r := arbiter.Request{
		Expected: x.chosen.fastest, Remaining: x.usefulUntil().Sub(x.f.config.Now()), Objective: x.route.Objective,
	}
	a.mu.Lock()
	accuracy := a.accuracies[x.service]
	a.mu.Unlock()
	x.f.mu.Lock()
	d := x.f.config.Admission.Decide(now, r, &accuracy, x.f.rng)
	x.f.mu.Unlock()
	if d.Kind == arbiter.Admitted {
		return nil
	}
	x.forecast.isTrial = d.Kind == arbiter.Trial
	x.f.config.Observer.Admission(x.organisationName(), string(d.Kind))
	x.f.config.Log.Info().Str("Request", x.call.ID).Str("Decision", string(d.Kind)).Str("Organisation", x.organisationName()).
		Dur("Expected", r.Expected).Dur("Lowest", accuracy.Lowest(now, r.Expected)).Dur("Remaining", r.Remaining).
		Dur("RetryAfter", d.RetryAfter).Msg("forwarder: admission decided")
	if !d.IsRejected() {
		return nil
	}
	x.forecast = forecast{}
	return refuseUnavailable(string(d.Kind), d.RetryAfter)
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
	accuracy := a.accuracies[x.service]
	if hasFirstEvent {
		a.accuracies[x.service] = accuracy.WithFirstEvent(now, expected, took)
	} else {
		a.accuracies[x.service] = accuracy.WithoutFirstEvent(now, expected, took)
	}
}
