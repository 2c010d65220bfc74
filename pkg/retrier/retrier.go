// Package retrier limits retries to a share of recent requests, so that the loss of a failure domain does not multiply
// the load on the rest. It owns the counts of requests and retries of one entry, which only that entry writes. It needs
// no store and is unaffected when the platform's store is unavailable.
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

// Config configures a Retrier. A field that is 0 has its default.
type Config struct {
	// Ratio is the number of retries allowed for each request of the window.
	Ratio float64
	// Constant is the number of retries allowed in a window besides, so that an entry with few requests can retry.
	Constant float64
	// Window is the time that counts as recent.
	Window time.Duration
	// Base is the longest delay before the first retry; it doubles with each further one, up to Cap.
	Base time.Duration
	Cap  time.Duration
}

// slots is the number of parts of a window that are counted separately.
const slots = 10

type count struct {
	requests, retries int32
}

// Retrier is an immutable value. At the moment of each retry that it allows, the retries of the last Window are at most
// Ratio times the requests of that time plus Constant.
type Retrier struct {
	config Config
	// counts holds the part of the window that runs at [part % len], and the slots parts before it.
	counts [slots + 1]count
	part   int64
}

// New returns a Retrier with an unused budget.
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

// WithRequest counts a request's first attempt.
func (r Retrier) WithRequest(now time.Duration) Retrier {
	r = r.advanced(now)
	r.counts[r.part%int64(len(r.counts))].requests++
	return r
}

// Allow says whether a retry may be made now, and counts it if so.
func (r Retrier) Allow(now time.Duration) (Retrier, bool) {
	r = r.advanced(now)
	current := r.part % int64(len(r.counts))
	var requests, retries int32
	for i, c := range r.counts {
		retries += c.retries
		// The oldest part lies only partly in the window: its retries count and its requests do not.
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

// Backoff returns how long to wait before the given retry, 1 being the first, and false when the time that remains to
// the request's deadline is not longer than that. The delay is uniform between 0 and its bound (full jitter), which
// spreads the retries of requests that failed together.
func (r Retrier) Backoff(retry int, rng *rand.Rand, remaining time.Duration) (time.Duration, bool) {
	bound := r.config.Base
	for i := 1; i < retry && bound < r.config.Cap; i++ {
		bound *= 2
	}
	delay := time.Duration(rng.Float64() * float64(min(bound, r.config.Cap)))
	return delay, delay < remaining
}

// advanced clears the parts that have left the window. A time before the last one counts as the last one.
func (r Retrier) advanced(now time.Duration) Retrier {
	part := int64(now / max(r.config.Window/slots, 1))
	if part-r.part > int64(len(r.counts)) {
		r.part = part - int64(len(r.counts))
	}
	for r.part < part {
		r.part++
		r.counts[r.part%int64(len(r.counts))] = count{}
	}
	return r
}

// WithConfig changes the budget and keeps the counts. The window must stay the same.
func (r Retrier) WithConfig(c Config) Retrier {
	next := New(c)
	r.config = next.config
	return r
}
