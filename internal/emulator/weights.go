package emulator

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// DefaultLoadTime is how long one load takes while the store is not crowded.
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultLoadsInFlight is how many loads the store serves at full speed at once.
	DefaultLoadsInFlight = 8
	defaultWeightBytes   = 1 << 10
)

// WeightsConfig configures Weights.
type WeightsConfig struct {
	// Rate bounds the loads that start in a second; others are refused with 429. 0 is unlimited.
	Rate float64
	// LoadTime is DefaultLoadTime when 0.
	LoadTime time.Duration
	// InFlight is DefaultLoadsInFlight when 0. With more loads at once all become slower in proportion.
	InFlight int
	// Size is the number of bytes of each adapter; 1 KiB when 0.
	Size int
	// Seed of the faults with a rate.
	Seed uint64
}

// WeightStats counts the loads of a weight store.
type WeightStats struct {
	Started  int
	Finished int
	Refused  int
	// MostInFlight is the largest number of loads at once.
	MostInFlight int
}

// Weights is the rate-limited weight store. Every path under /weights exists.
type Weights struct {
	*control

	config WeightsConfig

	state sync.Mutex
	limit rate
	stats WeightStats
	// served is the work in seconds that each load present all the time would have received until at.
	served   float64
	at       time.Time
	inFlight int
	// changed is closed and replaced when the number of loads in flight changes.
	changed chan struct{}
}

// NewWeights returns a weight store.
func NewWeights(c WeightsConfig) *Weights {
	if c.LoadTime == 0 {
		c.LoadTime = DefaultLoadTime
	}
	if c.InFlight == 0 {
		c.InFlight = DefaultLoadsInFlight
	}
	if c.Size == 0 {
		c.Size = defaultWeightBytes
	}
	return &Weights{
		control: newControl(c.Seed, func(*http.Request) bool { return true }, nil),
		config:  c, limit: rate{perSecond: c.Rate}, changed: make(chan struct{}),
	}
}

// Handler serves the weights under /weights and the fault pages.
func (w *Weights) Handler() http.Handler {
	e := newEcho()
	w.register(e)
	w.registerPages(e, pageFaults)
	w.registerSeen(e)
	return e
}

func (w *Weights) register(e *echo.Echo) { e.GET("/weights/*", w.get, w.wrap) }

// Stats returns the counts so far.
func (w *Weights) Stats() WeightStats {
	w.state.Lock()
	defer w.state.Unlock()
	return w.stats
}

func (w *Weights) get(e echo.Context) error {
	if strings.Trim(e.Param("*"), "/") == "" {
		return e.JSON(http.StatusNotFound, failure(http.StatusNotFound, "give the path of an adapter after /weights/"))
	}
	if !w.start() {
		e.Response().Header().Set("Retry-After", "1")
		return e.JSON(http.StatusTooManyRequests, failure(http.StatusTooManyRequests, "the rate of loads is exceeded; wait for a second"))
	}
	if err := w.load(e.Request().Context()); err != nil {
		return err
	}
	return e.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, w.config.Size))
}

func (w *Weights) start() bool {
	w.state.Lock()
	defer w.state.Unlock()
	if !w.limit.take(1, time.Now()) {
		w.stats.Refused++
		return false
	}
	w.stats.Started++
	return true
}

// speed is the work in seconds that each load receives in a second.
func (w *Weights) speed() float64 {
	return min(1, float64(w.config.InFlight)/float64(max(1, w.inFlight)))
}

// shift counts the work done until now, and then changes the number of loads by n.
func (w *Weights) shift(n int, now time.Time) {
	w.served += now.Sub(w.at).Seconds() * w.speed()
	w.at = now
	if n == 0 {
		return
	}
	w.inFlight += n
	w.stats.MostInFlight = max(w.stats.MostInFlight, w.inFlight)
	close(w.changed)
	w.changed = make(chan struct{})
}

// load waits until the store has done the work of one load.
func (w *Weights) load(ctx context.Context) error {
	w.state.Lock()
	w.shift(+1, time.Now())
	goal := w.served + w.config.LoadTime.Seconds()
	w.state.Unlock()
	for {
		w.state.Lock()
		w.shift(0, time.Now())
		left := goal - w.served
		// A part of a microsecond is left over by rounding.
		if left < 1e-6 {
			w.stats.Finished++
			w.shift(-1, w.at)
			w.state.Unlock()
			return nil
		}
		wait := time.Duration(left / w.speed() * float64(time.Second))
		changed := w.changed
		w.state.Unlock()
		timer := time.NewTimer(wait + time.Nanosecond)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			w.state.Lock()
			w.shift(-1, time.Now())
			w.state.Unlock()
			return ctx.Err()
		}
		timer.Stop()
	}
}
