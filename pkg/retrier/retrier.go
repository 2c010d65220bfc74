// Package retrier implements a retry budget: it limits retries to a fraction of recent requests, so that losing a
// failure domain does not multiply the load on the others. A Retrier counts the requests and retries of one entry and
// is written only by that entry. It keeps no external state, so an outage of the platform's store does not affect it.
package retrier

import (
	"math/rand/v2"
	"time"
)

// Defaults of Config.
const (
	DefaultRatio    = 0.1
	DefaultConstant = 5
	DefaultWindow   = 10 * time.Second
	DefaultBase     = 25 * time.Millisecond
	DefaultCap      = time.Second
)

// Config configures a Retrier. Fields that are zero take their defaults.
type Config struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Constant is the number of retries allowed per window in addition to Ratio, so that an entry with few requests can
	// still retry.
	Constant float64
	// Window is the length of the sliding window over which requests and retries are counted.
	Window time.Duration
	// Base is the maximum delay before the first retry. It doubles with each further retry, up to Cap.
	Base time.Duration
	Cap  time.Duration
}

// slots is the number of equal slots that a window is divided into; each slot has its own counts.
const slots = 10

type slotCounts struct {
	requests, retries int32
}

// Retrier is a retry budget over a sliding window. It is an immutable value. Whenever it allows a retry, the retries
// within the last Window, including the new one, number at most Ratio times the requests in that window plus Constant.
type Retrier struct {
	config Config
	// counts is a ring buffer: the current slot is at index slot % len(counts), the others are the slots before it.
	counts [slots + 1]slotCounts
	slot   int64
}

// New returns a Retrier whose window is empty.
func New(c Config) Retrier {
	c.Ratio = orDefault(c.Ratio, DefaultRatio)
	c.Constant = orDefault(c.Constant, DefaultConstant)
	c.Window = orDefault(c.Window, DefaultWindow)
	c.Base = orDefault(c.Base, DefaultBase)
	c.Cap = orDefault(c.Cap, DefaultCap)
	return Retrier{config: c}
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// WithRequest counts a request. It is called once per request, at the first attempt.
func (r Retrier) WithRequest(now time.Duration) Retrier {
	r = r.advance(now)
	r.counts[r.slot%int64(len(r.counts))].requests++
	return r
}

// Allow reports whether the budget permits a retry at now, and if so counts it.
func (r Retrier) Allow(now time.Duration) (Retrier, bool) {
	r = r.advance(now)
	current := r.slot % int64(len(r.counts))
	var requests, retries int32
	for i, c := range r.counts {
		retries += c.retries
		// The oldest slot is only partly inside the window. Counting its retries but not its requests keeps the bound.
		if int64(i) != (current+1)%int64(len(r.counts)) {
			requests += c.requests
		}
	}
	if float64(retries+1) > r.config.Ratio*float64(requests)+r.config.Constant {
		return r, false
	}
	r.counts[current].retries++
	return r, true
}

// Backoff returns the delay before the given retry, counted from 1, and whether it is shorter than the time remaining
// until the request's deadline. The delay is exponential with full jitter, that is, uniform between 0 and the bound, so
// that requests that failed together do not retry at the same time.
func (r Retrier) Backoff(retry int, rng *rand.Rand, remaining time.Duration) (time.Duration, bool) {
	bound := r.config.Base
	for i := 1; i < retry && bound < r.config.Cap; i++ {
		bound *= 2
	}
	delay := time.Duration(rng.Float64() * float64(min(bound, r.config.Cap)))
	return delay, delay < remaining
}

func (r Retrier) slotLength() time.Duration { return max(r.config.Window/slots, 1) }

// advance clears the slots that have left the window. A time earlier than the latest one seen changes nothing.
func (r Retrier) advance(now time.Duration) Retrier {
	slot := int64(now / r.slotLength())
	if slot-r.slot > int64(len(r.counts)) {
		r.slot = slot - int64(len(r.counts))
	}
	for r.slot < slot {
		r.slot++
		r.counts[r.slot%int64(len(r.counts))] = slotCounts{}
	}
	return r
}

// WithConfig replaces the configuration and keeps the counts. Retries that were made before the last window of the earlier
// configuration are not known any more.
func (r Retrier) WithConfig(c Config, now time.Duration) Retrier {
	next := New(c)
	if next.config.Window == r.config.Window {
		r.config = next.config
		return r
	}
	r, next = r.advance(now), next.advance(now)
	length, nextLength := r.slotLength(), next.slotLength()
	for slot := r.slot; slot >= max(0, r.slot-slots); slot-- {
		counts := r.counts[slot%int64(len(r.counts))]
		// Requests count as made at the beginning of their slot and retries at its end, so that the bound is kept.
		if at := int64(time.Duration(slot) * length / nextLength); at >= next.slot-slots {
			next.counts[at%int64(len(next.counts))].requests += counts.requests
		}
		if at := min(next.slot, int64((time.Duration(slot+1)*length-1)/nextLength)); at >= next.slot-slots {
			next.counts[at%int64(len(next.counts))].retries += counts.retries
		}
	}
	return next
}
