package arbiter

import (
	"slices"
	"time"
)

const (
	// maxSamples and sampleMaxAge bound the measurements. Half a minute is also how long learned speeds of engines last.
	maxSamples   = 64
	sampleMaxAge = 30 * time.Second
	// minExpected is the expected time below which requests aren't measured: their error says little about long waits.
	minExpected = 250 * time.Millisecond
	// similarShare is the part of an expected time from which on others count as similar. Long expected times are more often
	// far too high than short ones.
	similarShare = 0.5
	// minSamples is the number of similar requests from which on their error is known.
	minSamples = 12
	// lowQuantile is the part of the similar requests whose ratio of actual to expected time may be below the assumed one: a
	// request that is rejected would have been served with about this probability.
	lowQuantile = 0.1
	// unknownRatio is the ratio assumed while the error is unknown. A tenth of the requests was below 0.17 with a fixed speed
	// of the engines, and below 0.6 to 0.7 with learned ones.
	unknownRatio = 0.25
	// unknownTypical is the median ratio assumed while the error is unknown. Medians of 0.9 to 1.02 have been measured.
	unknownTypical = 0.9
	// maxRatio bounds the ratio, so that a rejection always needs a clear excess.
	maxRatio = 0.8
)

// sample is the error of one estimate.
type sample struct {
	at, expected time.Duration
	ratio        float64
}

// Accuracy measures the ratio of actual to expected time to the first event of recent requests. It is an immutable value;
// the zero value has no measurements.
type Accuracy struct {
	// samples are ordered by time and number at most maxSamples.
	samples []sample
}

// WithFirstEvent returns the Accuracy after a request got its first event.
func (a Accuracy) WithFirstEvent(now, expected, actual time.Duration) Accuracy {
	if expected < minExpected {
		return a
	}
	first := 0
	for first < len(a.samples) && (now-a.samples[first].at > sampleMaxAge || len(a.samples)-first >= maxSamples) {
		first++
	}
	samples := make([]sample, 0, len(a.samples)-first+1)
	samples = append(samples, a.samples[first:]...)
	return Accuracy{samples: append(samples, sample{at: now, expected: expected, ratio: float64(actual) / float64(expected)})}
}

// WithoutFirstEvent returns the Accuracy after a request ended without a first event. It counts only if it lasted at least
// as long as expected, because otherwise nothing is known about the estimate.
func (a Accuracy) WithoutFirstEvent(now, expected, lasted time.Duration) Accuracy {
	if lasted < expected {
		return a
	}
	return a.WithFirstEvent(now, expected, lasted)
}

// Lowest returns the time to the first event that is exceeded with a probability of about nine tenths.
func (a *Accuracy) Lowest(now, expected time.Duration) time.Duration {
	return a.quantile(now, expected, lowQuantile, unknownRatio, maxRatio)
}

// Typical returns the median time to the first event, at most the expected time.
func (a *Accuracy) Typical(now, expected time.Duration) time.Duration {
	return a.quantile(now, expected, 0.5, unknownTypical, 1)
}

// quantile returns a quantile of the time to the first event by the errors of similar requests. The ratio of actual to
// expected time is at most the highest one, and unknown if it hasn't been measured.
func (a *Accuracy) quantile(now, expected time.Duration, q, unknown, highest float64) time.Duration {
	ratios := make([]float64, 0, maxSamples)
	for _, s := range a.samples {
		if now-s.at <= sampleMaxAge && float64(s.expected) >= similarShare*float64(expected) {
			ratios = append(ratios, s.ratio)
		}
	}
	ratio := unknown
	if len(ratios) >= minSamples {
		slices.Sort(ratios)
		ratio = min(highest, ratios[int(q*float64(len(ratios)))])
	}
	return time.Duration(ratio * float64(expected))
}
