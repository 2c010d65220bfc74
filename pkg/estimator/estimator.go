// Package estimator learns the speed of model engines from the times of their responses.
//
// The load that it answers: engines of one service run at different speeds, such as a quarter of them at half the speed of
// the others. A time to the first event that is estimated with one fixed speed sends long prompts to slow engines, where
// the requests are late and the streams that run there pause for too long.
//
// A Service holds what is common to the engines of a service, an Engine the speed of one engine relative to it, and a
// Backlog the prompt tokens that an engine has yet to read. An engine has one speed for reading prompts and for generating
// tokens: both rest on the same accelerator, and one number needs fewer responses to learn.
//
// All estimates are weighted medians of the recent logarithms of actual to expected time, so that a response that was held
// up once, or a prefix that was not in the engine's cache after all, doesn't change them. The package has no clock and no
// goroutines.
package estimator

import (
	"math"
	"time"

	"geraniumladder/pkg/selector"
)

const (
	// engineHalfLife and serviceHalfLife are the ages at which an observation counts half. The mean of an engine's speed
	// must follow a change within seconds; that of the service changes only with its configuration.
	engineHalfLife  = 4 * time.Second
	serviceHalfLife = 30 * time.Second
	// serviceSpacing is the least time between the observations that a Service keeps, so that they come from several
	// streams.
	serviceSpacing = 100 * time.Millisecond
	// speedRetention is the time after which the speed of an engine without observations is forgotten.
	speedRetention = 30 * time.Second
	// priorWeight is the weight of the assumption that an engine runs at the common speed. It is above 1, the largest
	// weight of one observation, and below 2, so that two observations suffice.
	priorWeight = 1.5
	// maxFactor bounds the estimates to between 1/8 and 8 times their defaults.
	maxFactor = 8
	// minOwnWeight is the weight of the observations from which an engine's own speed is told to others.
	minOwnWeight = 1
	// minCertainty is the part of the expected time that must not rest on assumptions about other requests.
	minCertainty = 0.2
	// dominance is the part of the expected time from which an observation tells of reading or of generation alone.
	dominance = 0.6
	// trackSize is the number of observations that an estimate rests on.
	trackSize = 16
)

// Observation is the time that an engine took for some events of a stream.
type Observation struct {
	// IsFirst means that the time ends with the first event, so that the prompt was read in it.
	IsFirst bool
	// Events is the number of events.
	Events int
	// Batch is the number of requests that ran at the time.
	Batch int
	// ReadTokens is the number of prompt tokens that the engine is assumed to have read meanwhile, and CertainTokens the
	// part of them that doesn't depend on assumptions about other requests or the engine's cache.
	ReadTokens, CertainTokens float64
	Actual                    time.Duration
}

// expected returns the parts of the expected time in which the engine reads prompts and in which it generates tokens.
func (o Observation) expected(c *selector.Config) (read, generation float64) {
	if o.IsFirst {
		read = o.ReadTokens / c.PrefillTokensPerMs
	} else {
		read = c.PrefillDelayMs(o.ReadTokens)
	}
	event := c.EventTime + time.Duration(o.Batch)*c.StepTimePerRequest
	return read, float64(o.Events) * milliseconds(event)
}

// certainty returns the part of the expected time that doesn't rest on assumptions.
func (o Observation) certainty(read, generation float64) float64 {
	if o.ReadTokens <= 0 {
		return 1
	}
	return (read*min(1, o.CertainTokens/o.ReadTokens) + generation) / (read + generation)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Service is what the engines of a service have in common. It is an immutable value.
type Service struct {
	defaults, learned selector.Config
	// reading and generation hold the logarithms of actual to default time.
	reading, generation track
}

// NewService returns a Service that assumes the defaults, which must be complete.
func NewService(defaults selector.Config) Service {
	return Service{defaults: defaults, learned: defaults}
}

// Config returns the selector's configuration with the learned times of an engine at the common speed.
func (s *Service) Config() selector.Config { return s.learned }

// WithObservation returns the Service after an observation at one of its engines.
func (s Service) WithObservation(now time.Time, o Observation) Service {
	read, generation := o.expected(&s.defaults)
	total := read + generation
	if o.Actual <= 0 || total <= 0 || o.certainty(read, generation) < minCertainty {
		return s
	}
	logRatio := math.Log(milliseconds(o.Actual) / total)
	switch {
	case read >= dominance*total && now.Sub(s.reading.newest) >= serviceSpacing:
		s.reading = s.reading.with(now, logRatio, o.certainty(read, generation))
		s.learned.PrefillTokensPerMs = s.defaults.PrefillTokensPerMs / s.reading.factor(now, serviceHalfLife)
	case generation >= dominance*total && now.Sub(s.generation.newest) >= serviceSpacing:
		s.generation = s.generation.with(now, logRatio, o.certainty(read, generation))
		factor := s.generation.factor(now, serviceHalfLife)
		s.learned.EventTime = time.Duration(float64(s.defaults.EventTime) * factor)
		s.learned.StepTimePerRequest = time.Duration(float64(s.defaults.StepTimePerRequest) * factor)
	}
	return s
}

// Engine is the speed of one engine as seen by one process. It is an immutable value; the zero value has the service's
// common speed.
//
// A process that sends a service's requests beside many others sees few responses of one engine. The processes therefore
// tell each other their own speeds; the median of those takes precedence, and is never part of the own speed.
type Engine struct {
	// slowness holds the logarithms of actual to expected time at the common speed.
	slowness track
	// own is 0 before the first observation, and shared before the first message.
	own, shared float64
	sharedAt    time.Time
}

// Speed returns the speed relative to the service's common speed.
func (e *Engine) Speed(now time.Time) float64 {
	switch {
	case e.shared > 0 && now.Sub(e.sharedAt) <= speedRetention:
		return e.shared
	case e.own > 0 && now.Sub(e.slowness.newest) <= speedRetention:
		return e.own
	}
	return 1
}

// OwnSpeed returns the speed that this process has observed, for the other ones; 0 if it has observed too little lately.
func (e *Engine) OwnSpeed(now time.Time) float64 {
	if e.own == 0 || e.slowness.weight(now, engineHalfLife) < minOwnWeight {
		return 0
	}
	return e.own
}

// WithShared returns the Engine after a message with the median of all processes' own speeds. A message without a speed
// changes nothing.
func (e Engine) WithShared(now time.Time, speed float64) Engine {
	if speed > 0 {
		e.shared, e.sharedAt = min(maxFactor, max(1.0/maxFactor, speed)), now
	}
	return e
}

// WithObservation returns the Engine after an observation.
func (e Engine) WithObservation(now time.Time, s *Service, o Observation) Engine {
	read, generation := o.expected(&s.learned)
	weight := o.certainty(read, generation)
	if o.Actual <= 0 || read+generation <= 0 || weight < minCertainty {
		return e
	}
	e.slowness = e.slowness.with(now, math.Log(milliseconds(o.Actual)/(read+generation)), weight)
	e.own = 1 / e.slowness.factor(now, engineHalfLife)
	return e
}

// sample is an observed logarithm.
type sample struct {
	value, weight float64
	at            time.Time
}

// weightAt returns the weight, halved for each half-life.
func (s *sample) weightAt(now time.Time, halfLife time.Duration) float64 {
	if s.weight == 0 {
		return 0
	}
	return s.weight * math.Exp2(-float64(now.Sub(s.at))/float64(halfLife))
}

// track holds the newest samples.
type track struct {
	samples [trackSize]sample
	// next is the index that the next sample gets. Samples without a weight are empty.
	next   int
	newest time.Time
}

func (t track) with(now time.Time, value, weight float64) track {
	t.samples[t.next] = sample{value: value, weight: weight, at: now}
	t.next = (t.next + 1) % trackSize
	t.newest = now
	return t
}

// weight returns the sum of the samples' weights.
func (t *track) weight(now time.Time, halfLife time.Duration) float64 {
	sum := 0.0
	for _, s := range t.samples {
		sum += s.weightAt(now, halfLife)
	}
	return sum
}

// factor returns the exponential of the weighted median of the samples and of a prior sample of 0, within its bounds.
func (t *track) factor(now time.Time, halfLife time.Duration) float64 {
	var sorted [trackSize + 1]sample
	sorted[0].weight = priorWeight
	n, total := 1, priorWeight
	for _, s := range t.samples {
		if s.weight == 0 {
			continue
		}
		s.weight = s.weightAt(now, halfLife)
		total += s.weight
		i := n
		for ; i > 0 && sorted[i-1].value > s.value; i-- {
			sorted[i] = sorted[i-1]
		}
		sorted[i] = s
		n++
	}
	sum := 0.0
	for _, s := range sorted[:n] {
		if sum += s.weight; sum >= total/2 {
			return min(maxFactor, max(1.0/maxFactor, math.Exp(s.value)))
		}
	}
	return 1
}
