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
	// DefaultLoadTime is the duration of a load while at most InFlight loads are in progress.
	DefaultLoadTime = 250 * time.Millisecond
	// DefaultLoadsInFlight is the number of concurrent loads that the store serves at full speed.
	DefaultLoadsInFlight = 8
	defaultWeightBytes   = 1 << 10
)

// WeightsConfig configures Weights.
type WeightsConfig struct {
	// Rate is the maximum number of loads started per second; excess requests get status 429. 0 means no limit.
	Rate float64
	// LoadTime is the duration of a load at full speed; DefaultLoadTime if 0.
	LoadTime time.Duration
	// InFlight is the number of concurrent loads served at full speed; DefaultLoadsInFlight if 0. More loads share the
	// same total throughput equally.
	InFlight int
	// Size is the size of each adapter in bytes; 1 KiB if 0.
	Size int
	// Seed of the random numbers for faults with a rate.
	Seed uint64
}

// WeightStats counts the loads of a weight store.
type WeightStats struct {
	Started  int
	Finished int
	Refused  int
	// MostInFlight is the maximum number of concurrent loads.
	MostInFlight int
}

// Weights emulates the rate-limited weight store. Every path under /weights exists.
type Weights struct {
	*faultInjector

	config WeightsConfig

	stateMu     sync.Mutex
	startBucket tokenBucket
	stats       WeightStats
	// virtualTime implements processor sharing: it is the service in seconds that a load in progress from the start
	// would have received until updatedAt. A load ends when virtualTime has advanced by LoadTime.
	virtualTime float64
	updatedAt   time.Time
	inFlight    int
	// inFlightChanged is closed and replaced when inFlight changes.
	inFlightChanged chan struct{}
}

// NewWeights returns a weight store, with defaults for the zero fields of c.
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
		faultInjector: newFaultInjector(c.Seed, func(*http.Request) bool { return true }, nil),
		config:        c, startBucket: tokenBucket{ratePerSecond: c.Rate}, inFlightChanged: make(chan struct{}),
	}
}

// Handler serves the weights under /weights, the faults and the request log.
func (w *Weights) Handler() http.Handler {
	e := newEcho()
	w.register(e)
	w.registerFaultRoutes(e, faultsPath)
	w.registerRequestLog(e)
	return e
}

func (w *Weights) register(e *echo.Echo) { e.GET("/weights/*", w.getWeights, w.withFaults) }

// Stats returns a snapshot of the counters.
func (w *Weights) Stats() WeightStats {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.stats
}

func (w *Weights) getWeights(e echo.Context) error {
	if strings.Trim(e.Param("*"), "/") == "" {
		return e.JSON(http.StatusNotFound, newErrorBody(http.StatusNotFound, "give the path of an adapter after /weights/"))
	}
	if !w.admitLoad() {
		e.Response().Header().Set("Retry-After", "1")
		return e.JSON(http.StatusTooManyRequests, newErrorBody(http.StatusTooManyRequests, "the rate of loads is exceeded; wait for a second"))
	}
	if err := w.load(e.Request().Context()); err != nil {
		return err
	}
	return e.Blob(http.StatusOK, echo.MIMEOctetStream, make([]byte, w.config.Size))
}

func (w *Weights) admitLoad() bool {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	if !w.startBucket.take(1, time.Now()) {
		w.stats.Refused++
		return false
	}
	w.stats.Started++
	return true
}

// loadSpeed returns the rate at which virtualTime advances: 1 unless more than InFlight loads are in progress.
func (w *Weights) loadSpeed() float64 {
	return min(1, float64(w.config.InFlight)/float64(max(1, w.inFlight)))
}

// addInFlight advances virtualTime to now and then adds n to the number of loads in progress.
func (w *Weights) addInFlight(n int, now time.Time) {
	w.virtualTime += now.Sub(w.updatedAt).Seconds() * w.loadSpeed()
	w.updatedAt = now
	if n == 0 {
		return
	}
	w.inFlight += n
	w.stats.MostInFlight = max(w.stats.MostInFlight, w.inFlight)
	close(w.inFlightChanged)
	w.inFlightChanged = make(chan struct{})
}

// load waits until a load that starts now has received LoadTime of service.
func (w *Weights) load(ctx context.Context) error {
	w.stateMu.Lock()
	w.addInFlight(+1, time.Now())
	finishTime := w.virtualTime + w.config.LoadTime.Seconds()
	w.stateMu.Unlock()
	for {
		w.stateMu.Lock()
		w.addInFlight(0, time.Now())
		remaining := finishTime - w.virtualTime
		// Rounding errors stay below a microsecond.
		if remaining < 1e-6 {
			w.stats.Finished++
			w.addInFlight(-1, w.updatedAt)
			w.stateMu.Unlock()
			return nil
		}
		wait := time.Duration(remaining / w.loadSpeed() * float64(time.Second))
		inFlightChanged := w.inFlightChanged
		w.stateMu.Unlock()
		timer := time.NewTimer(wait + time.Nanosecond)
		select {
		case <-timer.C:
		case <-inFlightChanged:
		case <-ctx.Done():
			timer.Stop()
			w.stateMu.Lock()
			w.addInFlight(-1, time.Now())
			w.stateMu.Unlock()
			return ctx.Err()
		}
		timer.Stop()
	}
}
