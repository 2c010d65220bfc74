package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Bound of the requests to a cold engine in each sliding second: ColdPerSecond*coldOverage + coldSlack.
const (
	coldOverage = 1.5
	coldSlack   = 5.0
	coldWindow  = time.Second
	// DefaultColdFactor is by how much the steps of a cold engine take longer.
	DefaultColdFactor = 4
)

// coldState is the state of an engine that has started recently or has been made cold.
type coldState struct {
	until time.Time
	// arrivals are those of the requests within the last coldWindow, while the engine was cold.
	arrivals []time.Time
}

func (c *coldState) isCold(now time.Time) bool { return now.Before(c.until) }

// overloads counts a request and reports whether the engine crashes with it.
func (c *coldState) overloads(now time.Time, perSecond float64) bool {
	if !c.isCold(now) || perSecond <= 0 {
		return false
	}
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) > coldWindow {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, now)
	return float64(len(c.arrivals)) > perSecond*coldOverage+coldSlack
}

// SetCold makes the engine cold for a time; 0 makes it warm.
func (e *Engine) SetCold(d time.Duration) {
	e.state.Lock()
	defer e.state.Unlock()
	e.cold = coldState{until: time.Now().Add(d)}
}

// ColdRemaining returns how long the engine is still cold, as an engine registers it.
func (e *Engine) ColdRemaining() time.Duration {
	e.state.Lock()
	defer e.state.Unlock()
	return max(0, time.Until(e.cold.until))
}

// acceptCold counts a request to a cold engine. If that is one too many, the engine crashes and it returns false.
func (e *Engine) acceptCold() bool {
	e.state.Lock()
	overloads := e.cold.overloads(time.Now(), e.config.ColdPerSecond)
	if overloads {
		e.stats.ColdCrashes++
	}
	e.state.Unlock()
	if overloads {
		e.Crash()
	}
	return !overloads
}

// coldStatus is the body of the requests and responses at /cold.
type coldStatus struct {
	// For is how long the engine is cold from now on.
	For Duration
}

func (e *Engine) getCold(x echo.Context) error {
	return x.JSON(http.StatusOK, coldStatus{For: Duration(e.ColdRemaining())})
}

func (e *Engine) setCold(x echo.Context) error {
	var s coldStatus
	if err := json.NewDecoder(x.Request().Body).Decode(&s); err != nil || s.For < 0 {
		return respondError(x, http.StatusBadRequest, "For must be a time such as 5s")
	}
	e.SetCold(time.Duration(s.For))
	return x.NoContent(http.StatusNoContent)
}
